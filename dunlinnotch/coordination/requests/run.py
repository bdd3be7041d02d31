"""One request under way: what it came to so far, and its line in the log."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.requests.crash_guard import Suspect
from dunlinnotch.coordination.requests.fingerprint import Fingerprint
from dunlinnotch.state.target_status import TargetStatus

if TYPE_CHECKING:
    import asyncio

    from dunlinnotch.coordination.choosing.waiting import Pick
    from dunlinnotch.coordination.requests.bodies import HeldBody
    from dunlinnotch.protocol.outcome import Outcome, Reason
    from dunlinnotch.protocol.relay import CallerRequest, ReplyPort
    from dunlinnotch.state.routes import RequestKind
    from dunlinnotch.types import Seconds

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended.

    Parameters
    ----------
    outcome : Outcome
    status : int
    reason : Reason or None
    detail : str
    retry_after : float or None
        Seconds after which the caller may come back, if that is known.
    """

    outcome: Outcome
    status: int
    reason: Reason | None = None
    detail: str = ""
    retry_after: Seconds | None = None


@dataclass(slots=True)
class Try:
    """One target that a request was sent to, for the log.

    Parameters
    ----------
    pick : Pick
    began, took : float
    end : str
        Name of the :data:`~.relay.AttemptEnd`.
    status : int
        Of an answer that did not go to the caller; 0 if there was none.
    said : TargetStatus
        What the target said of itself beside its answer.
    """

    pick: Pick
    began: Seconds
    took: Seconds = 0.0
    end: str = ""
    status: int = 0
    said: TargetStatus = TargetStatus()

    def as_fields(self, arrived: Seconds) -> dict[str, object]:
        """Return what the log tells of it; ``began_ms`` counts from the request's arrival."""
        return {
            "target": self.pick.instance.name,
            "why": self.pick.why,
            "expected": round(self.pick.expected, 2),
            "ahead": self.pick.start.ahead,
            "slowness": self.pick.start.slowness,
            "report_age_ms": round(self.pick.start.report_age * 1000),
            "began_ms": round((self.began - arrived) * 1000, 1),
            "took_ms": round(self.took * 1000, 1),
            "end": self.end,
            "status": self.status,
            "rest_s": self.said.backoff,
        }


@dataclass(slots=True, eq=False)
class Run:
    """One request under way; ``first_try`` is when its caller first asked, in monotonic s."""

    request: CallerRequest
    body: HeldBody
    reply: ReplyPort
    point: float
    first_try: Seconds
    suspect: Suspect = field(default_factory=lambda: Suspect(Fingerprint("", "")))
    kind: RequestKind | None = None
    service: str = ""
    version: int = 0
    sends: int = 0
    may_have_run: bool = False
    counted: bool = False
    stopping: bool = False
    scope: asyncio.Timeout | None = None
    tries: list[Try] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)

    @property
    def ran_before(self) -> bool:
        """Whether an attempt before the last one may have run."""
        return any(t.end not in ("NotSent", "NotRun") for t in self.tries[:-1])

    def log(self, ending: Ending, *, took: Seconds, settings_age: Seconds) -> None:
        """Log how the request ended, and by what it was decided."""
        request, kind = self.request, self.kind
        event(
            _log,
            "route",
            request=request.request_id,
            caller=request.caller,
            content=self.suspect.fingerprint.content,
            origin=self.suspect.fingerprint.origin,
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
            tries=[t.as_fields(request.arrived) for t in self.tries],
        )
