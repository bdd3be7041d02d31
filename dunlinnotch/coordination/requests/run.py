"""State of one request in progress, and its line in the log."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.requests.crash_guard import TrackedRequest
from dunlinnotch.coordination.requests.fingerprint import Fingerprint
from dunlinnotch.protocol.relay import SendPosition
from dunlinnotch.state.target_status import TargetStatus

if TYPE_CHECKING:
    import asyncio

    from dunlinnotch.coordination.choosing.waiting import Selection
    from dunlinnotch.coordination.requests.bodies import BufferedBody
    from dunlinnotch.protocol.outcome import Outcome, Reason
    from dunlinnotch.protocol.relay import CallerRequest, ReplyPort
    from dunlinnotch.state.routes import RequestKind
    from dunlinnotch.types import Seconds

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Ending:
    """Result of one request, as the caller sees it.

    Parameters
    ----------
    outcome : Outcome
    status : int
    reason : Reason or None
    detail : str
    retry_after : float or None
        Seconds after which the caller may retry; None if no better delay is known than
        the default.
    """

    outcome: Outcome
    status: int
    reason: Reason | None = None
    detail: str = ""
    retry_after: Seconds | None = None


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to a target, for the log.

    Parameters
    ----------
    began : float
        Monotonic seconds at which the attempt started.
    selection : Selection, optional
        The target that this box selected; None if a peer selects it.
    peer : str, default ""
        Name of the box that makes the attempt, if it is not this one.
    peer_target : str, default ""
        Name of the target that the peer selected.
    took : float
        Duration in seconds.
    result : str
        Class name of the :data:`~dunlinnotch.protocol.relay.AttemptEnd`, or ``cut`` if the
        answer broke off; empty while the attempt runs.
    status : int
        HTTP status of an answer that was not relayed to the caller; 0 if there was none.
    target_status : TargetStatus
        Load and back-off that the target reported in its answer.
    retries_left : float
        Retries of the service that this box had left when it sent the attempt.
    sent : SendPosition
        On which connection it was sent.
    """

    began: Seconds
    selection: Selection | None = None
    peer: str = ""
    peer_target: str = ""
    took: Seconds = 0.0
    result: str = ""
    status: int = 0
    target_status: TargetStatus = TargetStatus()
    retries_left: float = 0.0
    sent: SendPosition = SendPosition()

    def record_send(self, position: SendPosition) -> None:
        """Record on which connection the attempt is sent."""
        self.sent = position

    def as_fields(self, arrived: Seconds) -> dict[str, object]:
        """Return the fields to log.

        Parameters
        ----------
        arrived : float
            Monotonic seconds at which the request arrived; ``began_ms`` counts from it.
        """
        return {
            **self._choice_fields(),
            "began_ms": round((self.began - arrived) * 1000, 1),
            "took_ms": round(self.took * 1000, 1),
            "end": self.result,
            "status": self.status,
            "rest_s": self.target_status.backoff,
            "retries_left": round(self.retries_left, 1),
            "connection": self.sent.connection,
            "position": self.sent.position,
        }

    def _choice_fields(self) -> dict[str, object]:
        """Return the fields of the target and of why it was selected."""
        if self.selection is None:
            # A peer's reports are in its own log; the fields remain for readers of the line.
            unknown = {"expected": 0.0, "ahead": 0, "slowness": 0.0, "report_age_ms": 0}
            return {"target": self.peer_target, "why": "peer", "peer": self.peer, **unknown}
        load = self.selection.load_at_send
        return {
            "target": self.selection.instance.name,
            "why": self.selection.reason,
            "expected": round(self.selection.expected_ratio, 2),
            "ahead": load.queued_ahead,
            "slowness": load.latency_ratio,
            "report_age_ms": round(load.report_age * 1000),
        }


@dataclass(slots=True, eq=False)
class Run:
    """State of one request in progress.

    Parameters
    ----------
    request : CallerRequest
    body : BufferedBody
    reply : ReplyPort
    split_point : float
        Position from 0 to 1 in the kind's traffic split; it selects the service.
    first_attempt_at : float
        Monotonic seconds at which the caller made its first attempt, as far as known.
    tracked : TrackedRequest
    kind : RequestKind or None
        None until the request has been matched.
    service : str
    version : int
        Version of the settings by which the request was matched last.
    sends : int
        Number of times that the request has been sent to a target.
    retries_spent : int
        Retries that the budget was charged for the request.
    may_have_run : bool
        Whether a target may have run the request.
    counted_in_budget : bool
        Whether the retry budget has counted the request.
    stopping : bool
        Whether the box is stopping and has cancelled the request.
    timeout_scope : asyncio.Timeout or None
        The timeout that bounds the request.
    attempts : list of Attempt
    tried_instances : set of str
        Names of the instances that the request has been sent to.
    tried_peers : set of str
        Names of the boxes that this box has passed the request to.
    """

    request: CallerRequest
    body: BufferedBody
    reply: ReplyPort
    split_point: float
    first_attempt_at: Seconds
    tracked: TrackedRequest = field(default_factory=lambda: TrackedRequest(Fingerprint("", "")))
    kind: RequestKind | None = None
    service: str = ""
    version: int = 0
    sends: int = 0
    retries_spent: int = 0
    may_have_run: bool = False
    counted_in_budget: bool = False
    stopping: bool = False
    timeout_scope: asyncio.Timeout | None = None
    attempts: list[Attempt] = field(default_factory=list)
    tried_instances: set[str] = field(default_factory=set)
    tried_peers: set[str] = field(default_factory=set)

    def begin_attempt(self, attempt: Attempt) -> None:
        """Count an attempt as sent, until it is known that it was not."""
        self.attempts.append(attempt)
        self.sends += 1
        self.may_have_run = True

    def undo_send(self) -> None:
        """Record that the last attempt reached no target."""
        self.sends -= 1
        self.may_have_run = self.earlier_attempt_may_have_run

    @property
    def earlier_attempt_may_have_run(self) -> bool:
        """Whether the request may have run in an attempt before the last one."""
        return any(attempt.result not in ("NotSent", "NotRun") for attempt in self.attempts[:-1])

    def log(self, ending: Ending, *, took: Seconds, settings_age: Seconds) -> None:
        """Log the result of the request and the data on which decisions about it were based.

        Parameters
        ----------
        ending : Ending
        took : float
            Seconds since the request arrived.
        settings_age : float
            Seconds since the settings were last confirmed to be the newest.
        """
        request, kind = self.request, self.kind
        event(
            _log,
            "route",
            request=request.request_id,
            caller=request.caller,
            content=self.tracked.fingerprint.content,
            origin=self.tracked.fingerprint.origin,
            kind="" if kind is None else kind.name,
            service=self.service,
            version=self.version,
            settings_age_s=round(settings_age, 2),
            outcome=ending.outcome,
            status=ending.status,
            reason=ending.reason,
            detail=ending.detail,
            took_ms=round(took * 1000, 1),
            target_latency_ms=None if kind is None else kind.target_latency * 1000,
            tries=[attempt.as_fields(request.arrived) for attempt in self.attempts],
        )
