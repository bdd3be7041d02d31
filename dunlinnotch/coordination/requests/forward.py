"""Forward the requests of callers to targets, on the event loop.

For each request: match its kind, select a target, send, retry where that is safe,
and relay the answer.  Settings and targets may change while a request waits, so
kind, service and target are determined anew for each attempt.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Protocol

from dunlinnotch.coordination.budgets.retries import RetryBudget
from dunlinnotch.coordination.requests.bodies import MAX_BUFFERED_REQUEST_BYTES, BufferedBody
from dunlinnotch.coordination.requests.crash_guard import TrackedRequest
from dunlinnotch.coordination.requests.fingerprint import fingerprint
from dunlinnotch.coordination.requests.first_attempts import FirstAttempts
from dunlinnotch.coordination.requests.run import Ending, Run
from dunlinnotch.coordination.requests.target_attempts import QUEUE_LATENCY_FRACTION
from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable

    from dunlinnotch.coordination.choosing.selector import TargetSelector
    from dunlinnotch.coordination.choosing.waiting import Selection
    from dunlinnotch.coordination.requests.crash_guard import CrashGuard
    from dunlinnotch.coordination.requests.target_attempts import TargetAttempts
    from dunlinnotch.protocol.mesh import Heartbeat
    from dunlinnotch.protocol.relay import CallerRequest, ReplyPort
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.state.routes import RequestKind, RouteTable
    from dunlinnotch.types import Seconds

_MIN_RETRY_DELAY_S = 0.05
_RETRY_DELAY_WITHOUT_SETTINGS_S = 0.3
#: Result of an attempt that was not made, because what it was based on has changed.
_CHOOSE_AGAIN = Ending(Outcome.NOT_RUN, 503)

_log = logging.getLogger(__name__)


class ForwardObserver(Protocol):
    """Observes the end of each request, for metrics."""

    def request_ended(self, kind: str, ending: Ending, took: Seconds, sends: int) -> None:
        """Record the end of a request.

        Parameters
        ----------
        kind : str
            Empty if no kind matched.
        ending : Ending
        took : float
            Seconds since the request arrived.
        sends : int
            Number of times that the request was sent to a target.
        """


class PeerAttempts(Protocol):
    """Makes attempts through peers, see :class:`~.peer_path.PeerPath`."""

    def choose(self, service: str, *, tried: set[str]) -> Heartbeat | None:
        """Return the peer to pass a request to, or None to look for a target from here."""

    def is_unreached(self, instance: Instance) -> bool:
        """Return whether a target is out of reach because this box is cut off from it."""

    def is_hopeless(self, run: Run) -> bool:
        """Return whether neither this box nor a peer reaches the targets of a request."""

    async def attempt(
        self, run: Run, kind: RequestKind, peer: Heartbeat, *, may_send: Callable[[], bool]
    ) -> Ending:
        """Have a peer make one attempt, and relay an answer to the caller."""


class Forwarder:
    """Forward requests of callers to targets.

    Parameters
    ----------
    routes : callable
        Returns the active route table, or None while none is known.
    settings_age : callable
        Returns the seconds since the settings were last confirmed to be the newest.
    catching_up : callable
        Returns whether the process was paused and its view is not yet current again.
    attempts : TargetAttempts
    peer_path : PeerAttempts
    selector : TargetSelector
    retry_ratio : float
        Retries that each request of a service allows.
    saved_retries : float
        Maximum number of unspent retries that are kept for each service.
    guard : CrashGuard
    observer : ForwardObserver
    rng : random.Random
    """

    def __init__(
        self,
        *,
        routes: Callable[[], RouteTable | None],
        settings_age: Callable[[], Seconds],
        catching_up: Callable[[], bool],
        attempts: TargetAttempts,
        peer_path: PeerAttempts,
        selector: TargetSelector,
        retry_ratio: float,
        saved_retries: float,
        guard: CrashGuard,
        observer: ForwardObserver,
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._settings_age = settings_age
        self._catching_up = catching_up
        self._attempts = attempts
        self._peer_path = peer_path
        self._selector = selector
        self._retry_ratio = retry_ratio
        #: Maximum number of unspent retries kept for each service.
        self.saved_retries = saved_retries
        self._guard = guard
        self._observer = observer
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._split_points: dict[str, float] = {}
        self._first_attempts = FirstAttempts()
        #: Requests in progress, also those that are served for peers.
        self.running: set[Run] = set()

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return len(self.running)

    def cancel_all(self) -> None:
        """Answer every request in progress now, because the box is stopping."""
        for run in self.running:
            run.stopping = True
            if run.timeout_scope is not None:
                run.timeout_scope.reschedule(self._loop.time())

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this box's budget for retries at a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._retry_ratio, max_saved=self.saved_retries)
            self._retry_budgets[service] = budget
        return budget

    def configure_retries(self, *, ratio: float, saved: float) -> None:
        """Change the retry budgets of all services.

        Parameters
        ----------
        ratio : float
            Retries that each request allows.
        saved : float
            Maximum number of unspent retries that are kept.
        """
        self._retry_ratio, self.saved_retries = ratio, saved
        for budget in self._retry_budgets.values():
            budget.share, budget.max_saved = ratio, saved

    @property
    def retries_spent(self) -> int:
        """Number of retries made so far."""
        return sum(budget.spent for budget in self._retry_budgets.values())

    @property
    def retries_denied(self) -> int:
        """Number of retries not made because the budget was spent."""
        return sum(budget.denied for budget in self._retry_budgets.values())

    def keep_only(self, kinds: set[str]) -> None:
        """Drop the learnt times of kinds other than ``kinds``."""
        self._first_attempts.keep_only(kinds)

    async def serve(
        self, request: CallerRequest, parts: AsyncIterator[bytes], reply: ReplyPort
    ) -> Ending:
        """Serve one request; the task is cancelled if the caller disconnects."""
        run = Run(
            request, BufferedBody(parts), reply, split_point=0.0, first_attempt_at=request.arrived
        )
        self.running.add(run)
        try:
            ending = await self._match_and_attempt(run)
        except asyncio.CancelledError:
            self._end(run, Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, "the caller left"))
            raise
        finally:
            self.running.discard(run)
        self._end(run, ending)
        return ending

    def _end(self, run: Run, ending: Ending) -> None:
        answered = ending.outcome is Outcome.ANSWERED and ending.status < 500
        self._guard.record_end(run.tracked, answered=answered)
        took = self._loop.time() - run.request.arrived
        kind = "" if run.kind is None else run.kind.name
        self._observer.request_ended(kind, ending, took, run.sends)
        run.log(ending, took=took, settings_age=self._settings_age())

    async def _match_and_attempt(self, run: Run) -> Ending:
        request = run.request
        refusal = self._match(run)
        if refusal is not None:
            return self._refuse(run, refusal)
        assert run.kind is not None
        run.split_point = self._next_split_point(run.kind)
        remaining = request.deadline - request.arrived
        run.first_attempt_at -= self._first_attempts.elapsed_since_first(run.kind.name, remaining)
        timeout_at = min(request.deadline, request.arrived + run.kind.timeout)
        ending: Ending | None = None
        try:
            async with asyncio.timeout_at(timeout_at) as run.timeout_scope:
                await run.body.buffer(MAX_BUFFERED_REQUEST_BYTES)
                run.tracked = TrackedRequest(fingerprint(request, run.body.buffered))
                ending = await self._attempt_until_settled(run)
        except TimeoutError:
            if ending is None:
                ending = self._timeout_ending(run)
        except BodyCutError as error:
            ending = Ending(Outcome.NOT_RUN, 400, Reason.BODY_BROKEN, str(error))
            if run.may_have_run:
                ending = Ending(Outcome.UNKNOWN, 502, Reason.BODY_BROKEN, str(error))
        except CallerGoneError as error:
            return Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, str(error))
        if ending.outcome is Outcome.ANSWERED:
            return ending
        if ending.outcome is Outcome.NOT_RUN and run.may_have_run:
            # An attempt before the last one may have run the request.
            ending = Ending(Outcome.UNKNOWN, 502, ending.reason, ending.detail)
        return self._refuse(run, ending)

    def _match(self, run: Run) -> Ending | None:
        """Match the request by the active settings; return a refusal if that fails."""
        if self._catching_up():
            detail = "the box was paused and is learning what has changed"
            return Ending(Outcome.NOT_RUN, 503, Reason.CATCHING_UP, detail)
        table = self._routes()
        if table is None:
            return Ending(Outcome.NOT_RUN, 503, Reason.NO_SETTINGS, "no settings are known yet")
        run.version = table.version
        run.kind = table.match(run.request.host, run.request.path)
        if run.kind is None:
            return Ending(Outcome.NOT_RUN, 404, Reason.KIND_UNKNOWN, "no request kind matches")
        return None

    def _next_split_point(self, kind: RequestKind) -> float:
        """Return the next point of a low-discrepancy sequence over 0 to 1.

        Such points are spread evenly, so that a traffic split holds over few requests too.
        """
        point = self._split_points.get(kind.name)
        point = self._rng.random() if point is None else (point + 0.6180339887498949) % 1.0
        self._split_points[kind.name] = point
        return point

    @staticmethod
    def _timeout_ending(run: Run) -> Ending:
        if run.stopping and run.may_have_run:
            return Ending(
                Outcome.UNKNOWN, 504, Reason.BOX_DRAINED, "no answer before the box stopped"
            )
        if run.stopping:
            return Ending(
                Outcome.NOT_RUN, 503, Reason.BOX_DRAINED, "no target before the box stopped"
            )
        if run.may_have_run:
            return Ending(Outcome.UNKNOWN, 504, Reason.DEADLINE_EXPIRED, "no answer in time")
        return Ending(Outcome.NOT_RUN, 503, Reason.DEADLINE_EXPIRED, "no target in time")

    def _refuse(self, run: Run, ending: Ending) -> Ending:
        """Send a refusal to the caller, unless part of an answer has been sent."""
        if run.reply.begun:
            return ending
        headers = []
        if ending.status == 503:
            headers.append(Header("Retry-After", f"{self._retry_delay(run, ending):.3f}"))
        run.reply.reply(ending.status, headers, b"")
        return ending

    def _retry_delay(self, run: Run, ending: Ending) -> Seconds:
        """Return the seconds after which a refused caller may retry."""
        if ending.retry_after is not None:
            return ending.retry_after
        backoff = self._selector.backoff_left(run.service)
        without_settings = ending.reason in (Reason.NO_SETTINGS, Reason.CATCHING_UP)
        delay = _RETRY_DELAY_WITHOUT_SETTINGS_S if without_settings else _MIN_RETRY_DELAY_S
        if run.kind is not None:
            delay += run.kind.target_latency * QUEUE_LATENCY_FRACTION * self._rng.random()
        return backoff + delay

    async def _attempt_until_settled(self, run: Run) -> Ending:
        last_failure: Ending | None = None
        while True:
            refusal = self._match(run) or self._quarantine_refusal(run)
            if refusal is not None:
                return last_failure or refusal
            assert run.kind is not None
            kind = run.kind
            service = run.service = kind.service_at(run.split_point)
            if not run.counted_in_budget:
                run.counted_in_budget = True
                self.retry_budget(service).record_first_attempt()
            peer = self._peer_path.choose(service, tried=run.tried_peers)
            if peer is not None:
                ending = await self._attempt_through(run, kind, peer)
            else:
                ending = await self._attempt_from_here(run, kind)
            if ending is _CHOOSE_AGAIN:
                continue
            if ending is None:
                return last_failure or self._no_target_refusal(run)
            if ending.outcome is Outcome.ANSWERED or not self._may_retry(run, kind, ending):
                return ending
            last_failure = ending

    async def _attempt_through(self, run: Run, kind: RequestKind, peer: Heartbeat) -> Ending | None:
        """Have a peer make an attempt; return None if the retry budget forbids it."""
        if not self._may_send(run):
            return None
        return await self._peer_path.attempt(
            run, kind, peer, may_send=lambda: self._service_holds(run, run.service)
        )

    async def _attempt_from_here(self, run: Run, kind: RequestKind) -> Ending | None:
        """Make an attempt at a target; return None if no target is free in time."""
        selection = await self._attempts.choose(run, kind, run.service)
        # The box may have lost the path while the request waited.
        if selection is not None and self._peer_path.is_unreached(selection.instance):
            self._selector.release(selection)
            selection = None
        if selection is None:
            peer = self._peer_path.choose(run.service, tried=run.tried_peers)
            return None if peer is None else _CHOOSE_AGAIN
        if not self._selection_holds(run, selection):
            self._selector.release(selection)
            return _CHOOSE_AGAIN
        if not self._may_send(run):
            self._selector.release(selection)
            return None
        end = await self._attempts.attempt(
            run,
            kind,
            selection,
            may_send=lambda: self._selection_holds(run, selection),
            retries_left=self.retry_budget(run.service).left,
        )
        return await self._attempts.handle_end(run, kind, selection.instance, end)

    def _may_send(self, run: Run) -> bool:
        """Return whether the retry budget allows the next send; spend a retry if it is one.

        Notes
        -----
        A retry that reached no target is not spent again for the next target or peer.
        """
        if run.retries_spent < run.sends:
            if not self.retry_budget(run.service).try_spend():
                return False
            run.retries_spent += 1
        return True

    def _no_target_refusal(self, run: Run) -> Ending:
        if self._peer_path.is_hopeless(run):
            detail = f"neither this box nor a peer reaches the targets of {run.service!r}"
            return Ending(Outcome.NOT_RUN, 503, Reason.CUT_OFF, detail)
        return self._attempts.no_target_refusal(run.service)

    def _quarantine_refusal(self, run: Run) -> Ending | None:
        """Return the refusal if the request is quarantined, else None."""
        delay = self._guard.quarantine_left(run.tracked)
        if not delay:
            return None
        detail = "targets crashed while serving this request; it is quarantined"
        return Ending(Outcome.NOT_RUN, 503, Reason.REQUEST_BARRED, detail, retry_after=delay)

    def _selection_holds(self, run: Run, selection: Selection) -> bool:
        """Return whether a selection is still valid.

        Settings, targets and crash reports may have changed since it was made.
        """
        instance = selection.instance
        if instance.removed or self._loop.time() < instance.backoff_until:
            return False
        return self._service_holds(run, instance.listed.service)

    def _service_holds(self, run: Run, service: str) -> bool:
        """Return whether the request may still be sent to a service."""
        if self._catching_up():
            return False
        table = self._routes()
        kind = None if table is None else table.match(run.request.host, run.request.path)
        if kind is None or kind.service_at(run.split_point) != service:
            return False
        return self._quarantine_refusal(run) is None

    def _may_retry(self, run: Run, kind: RequestKind, ended: Ending) -> bool:
        if run.reply.begun or run.sends >= kind.attempts or not run.body.resendable:
            return False
        if ended.reason is Reason.CONNECT_FAILED and self._peer_path.is_hopeless(run):
            return False
        queue_deadline = run.request.arrived + kind.target_latency * QUEUE_LATENCY_FRACTION
        if ended.reason is Reason.QUEUE_FULL and self._loop.time() >= queue_deadline:
            # It has waited at a peer; waiting at another as well would hold the caller for nothing.
            return False
        return kind.idempotent or not run.may_have_run
