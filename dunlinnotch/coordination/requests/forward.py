"""Forward the requests of callers to targets, on the event loop.

For each request: match its kind, select a target, send, retry where that is safe,
and relay the answer.  Settings and targets may change while a request waits, so
kind, service and target are determined anew for each attempt.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, Protocol

from dunlinnotch._logs import event
from dunlinnotch.coordination.budgets.retries import RetryBudget
from dunlinnotch.coordination.choosing.fresh_reports import MAX_GOOD_RATIO
from dunlinnotch.coordination.requests.bodies import BufferedBody
from dunlinnotch.coordination.requests.crash_guard import TrackedRequest
from dunlinnotch.coordination.requests.fingerprint import fingerprint
from dunlinnotch.coordination.requests.first_attempts import FirstAttempts
from dunlinnotch.coordination.requests.run import Attempt, Ending, Run
from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.protocol.relay import Answered, Broken, NotRun, NotSent
from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable

    from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
    from dunlinnotch.coordination.choosing.latency_model import LatencyModel
    from dunlinnotch.coordination.choosing.selector import TargetSelector
    from dunlinnotch.coordination.choosing.waiting import Selection
    from dunlinnotch.coordination.requests.crash_guard import CrashGuard
    from dunlinnotch.protocol.relay import AttemptEnd, CallerRequest, ReplyPort, TargetPort
    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.state.routes import RequestKind, RouteTable
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Seconds

#: Request bodies up to this size are buffered, so that they can be sent again.
_MAX_BUFFERED_REQUEST_BYTES = 256 * 1024
#: Answers up to this size are read completely before their head is relayed, so that an
#: answer that breaks off can still be retried or replaced by an error.
_MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
#: Part of the target latency that a request may spend in the queue for a target.
_QUEUE_LATENCY_FRACTION = 0.2
_MIN_RETRY_DELAY_S = 0.05
_RETRY_DELAY_WITHOUT_SETTINGS_S = 0.3

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
    instances : InstanceList
    chooser : FreshReportChooser
    latency_model : LatencyModel
    selector : TargetSelector
    retry_ratio : float
        Retries that each request of a service allows.
    saved_retries : float
        Maximum number of unspent retries that are kept for each service.
    guard : CrashGuard
    targets : TargetPort
    observer : ForwardObserver
    rng : random.Random
    """

    def __init__(
        self,
        *,
        routes: Callable[[], RouteTable | None],
        settings_age: Callable[[], Seconds],
        catching_up: Callable[[], bool],
        instances: InstanceList,
        chooser: FreshReportChooser,
        latency_model: LatencyModel,
        selector: TargetSelector,
        retry_ratio: float,
        saved_retries: float,
        guard: CrashGuard,
        targets: TargetPort,
        observer: ForwardObserver,
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._settings_age = settings_age
        self._catching_up = catching_up
        self._instances = instances
        self._chooser = chooser
        self._latency_model = latency_model
        self._selector = selector
        self._retry_ratio = retry_ratio
        #: Maximum number of unspent retries kept for each service.
        self.saved_retries = saved_retries
        self._guard = guard
        self._targets = targets
        self._observer = observer
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._split_points: dict[str, float] = {}
        self._first_attempts = FirstAttempts()
        self._running: set[Run] = set()

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return len(self._running)

    def cancel_all(self) -> None:
        """Answer every request in progress now, because the box is stopping."""
        for run in self._running:
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
        self._running.add(run)
        try:
            ending = await self._match_and_attempt(run)
        except asyncio.CancelledError:
            self._end(run, Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, "the caller left"))
            raise
        finally:
            self._running.discard(run)
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
                await run.body.buffer(_MAX_BUFFERED_REQUEST_BYTES)
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
            delay += run.kind.target_latency * _QUEUE_LATENCY_FRACTION * self._rng.random()
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
            selection = await self._choose(run, kind, service)
            if selection is None:
                return last_failure or self._no_target_refusal(run, service)
            if not self._selection_holds(run, selection):
                self._selector.release(selection)
                continue
            if run.sends and not self.retry_budget(service).try_spend():
                self._selector.release(selection)
                return last_failure or self._no_target_refusal(run, service)
            end = await self._attempt(run, kind, selection)
            ending = await self._handle_result(run, kind, selection.instance, end)
            if ending.outcome is Outcome.ANSWERED or not self._may_retry(run, kind, ending):
                return ending
            last_failure = ending

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
        if self._catching_up():
            return False
        table = self._routes()
        kind = None if table is None else table.match(run.request.host, run.request.path)
        if kind is None or kind.service_at(run.split_point) != selection.instance.listed.service:
            return False
        instance = selection.instance
        if instance.removed or self._loop.time() < instance.backoff_until:
            return False
        return self._quarantine_refusal(run) is None

    def _no_target_refusal(self, run: Run, service: str) -> Ending:
        if not self._instances.for_service(service):
            detail = f"service {service!r} has no target"
            return Ending(Outcome.NOT_RUN, 503, Reason.NO_TARGET, detail)
        if self._selector.backoff_left(service):
            detail = f"all targets of service {service!r} requested back-off"
            return Ending(Outcome.NOT_RUN, 503, Reason.TARGETS_RESTING, detail)
        return Ending(Outcome.NOT_RUN, 503, Reason.QUEUE_FULL, "no target is free in time")

    def _may_retry(self, run: Run, kind: RequestKind, ended: Ending) -> bool:
        if run.reply.begun or run.sends >= kind.attempts or not run.body.resendable:
            return False
        return kind.idempotent or not run.may_have_run

    async def _attempt(self, run: Run, kind: RequestKind, selection: Selection) -> AttemptEnd:
        instance = selection.instance
        now = self._loop.time()
        request = run.request
        remaining = min(request.deadline, request.arrived + kind.timeout) - now
        retries_left = self.retry_budget(run.service).left
        attempt = Attempt(selection, began=now, retries_left=retries_left)
        run.attempts.append(attempt)
        run.tried_instances.add(instance.name)
        run.sends += 1
        run.may_have_run = True
        instance.in_flight += 1
        try:
            end = await self._targets.attempt(
                instance.address,
                request,
                run.body,
                remaining=remaining,
                instance=instance.name,
                may_send=lambda: self._selection_holds(run, selection),
                on_status=lambda status: self._record_status(attempt, status),
                probe_result=selection.probe,
                at_most_once=not kind.idempotent,
            )
            attempt.result = type(end).__name__
            if isinstance(end, NotRun | Broken):
                attempt.status = end.status
            return end
        finally:
            instance.in_flight -= 1
            attempt.took = self._loop.time() - now

    def _record_status(self, attempt: Attempt, status: TargetStatus) -> None:
        """Record the status that a target reported in its answer."""
        attempt.target_status = status
        self._selector.record_status(attempt.selection.instance, status)

    async def _handle_result(
        self, run: Run, kind: RequestKind, instance: Instance, end: AttemptEnd
    ) -> Ending:
        now = self._loop.time()
        if isinstance(end, Answered):
            return await self._relay(run, kind, instance, end)
        if isinstance(end, NotSent):
            run.sends -= 1
            run.may_have_run = run.earlier_attempt_may_have_run
            self._chooser.record_failure(instance, now)
            return Ending(Outcome.NOT_RUN, 503, end.reason, end.detail)
        if isinstance(end, NotRun):
            run.may_have_run = run.earlier_attempt_may_have_run
            if end.wrong_target:
                self._instances.remove(instance.name)
                event(_log, "target-replaced", instance=instance.name, target=instance.address)
            else:
                self._chooser.record_refusal(instance, run.attempts[-1].target_status, now)
            detail = f"the target refused with status {end.status}"
            return Ending(Outcome.NOT_RUN, 503, Reason.TARGET_REFUSED, detail)
        if end.reason is not Reason.BODY_BROKEN:
            self._chooser.record_failure(instance, now)
            await self._check_for_crash(run, instance)
        return Ending(Outcome.UNKNOWN, 502, end.reason, end.detail)

    async def _check_for_crash(self, run: Run, instance: Instance) -> None:
        """Let the crash guard check whether the target of the last attempt has crashed."""
        took = self._loop.time() - run.attempts[-1].began
        await self._guard.check_target(run.tracked, run.request, instance, took=took)

    async def _relay(
        self, run: Run, kind: RequestKind, instance: Instance, answered: Answered
    ) -> Ending:
        """Relay an answer; one that breaks off never ends cleanly for the caller."""
        answer = answered.answer
        head = answer.head
        failed = head.status >= 500
        try:
            buffered_body = await answer.read_complete(_MAX_BUFFERED_ANSWER_BYTES)
            if failed:
                self._chooser.record_failure(instance, self._loop.time())
                if self._should_retry_failure(run, kind):
                    detail = f"the target failed with status {head.status}"
                    return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, detail)
            else:
                self._chooser.record_success(instance)
            if buffered_body is not None:
                run.reply.reply(head.status, head.headers, buffered_body, head.phrase)
            else:
                run.reply.begin(head.status, head.headers, length=head.length, phrase=head.phrase)
                async for part in answer.parts():
                    await run.reply.send(part)
                run.reply.finish()
            if not failed:
                # Failed answers are left out: they are fast and would lower the usual latency.
                took = self._loop.time() - run.attempts[-1].began
                self._latency_model.record(
                    kind.name, run.service, run.attempts[-1].selection.load_at_send, took
                )
            return Ending(Outcome.ANSWERED, head.status)
        except BodyCutError as error:
            self._chooser.record_failure(instance, self._loop.time())
            run.attempts[-1].result = "cut"
            await self._check_for_crash(run, instance)
            return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, str(error))
        finally:
            run.attempts[-1].took = self._loop.time() - run.attempts[-1].began
            answer.close()

    def _should_retry_failure(self, run: Run, kind: RequestKind) -> bool:
        if not kind.idempotent or run.sends >= kind.attempts or not run.body.resendable:
            return False
        others = [
            i for i in self._instances.for_service(run.service) if i.name not in run.tried_instances
        ]
        return bool(others)

    async def _choose(self, run: Run, kind: RequestKind, service: str) -> Selection | None:
        """Select a target, waiting for a part of the target latency at most."""
        queued_from = self._loop.time() if run.sends else run.request.arrived
        # The caller's latency counts from its first attempt, not from its last retry.
        latency_goal_at = min(run.request.deadline, run.first_attempt_at + kind.target_latency)
        timeout_at = min(run.request.deadline, run.request.arrived + kind.timeout)
        usual_s = self._latency_model.usual_latency(kind.name)
        return await self._selector.choose(
            service,
            rank=kind.rank,
            tried=run.tried_instances,
            queue_deadline=queued_from + kind.target_latency * _QUEUE_LATENCY_FRACTION,
            first_attempt_at=run.first_attempt_at,
            start_by=math.inf if usual_s is None else latency_goal_at - MAX_GOOD_RATIO * usual_s,
            max_ratio=self._max_latency_ratio(latency_goal_at, usual_s),
            max_ratio_late=self._max_latency_ratio(timeout_at, usual_s),
        )

    def _max_latency_ratio(self, until: Seconds, usual_s: Seconds | None) -> float:
        """Return the latency ratio at which a request sent now would end at ``until``."""
        if usual_s is None:
            return math.inf
        return max(0.0, until - self._loop.time()) / usual_s
