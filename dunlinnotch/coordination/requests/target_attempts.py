"""Attempts at targets: select one, send the request, and judge what comes back.

Used for requests of callers, and for those that a peer passed on.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.fresh_reports import MAX_GOOD_RATIO
from dunlinnotch.coordination.requests.relaying import relay_answer
from dunlinnotch.coordination.requests.run import Attempt, Ending
from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.protocol.relay import Answered, Broken, NotRun, NotSent

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
    from dunlinnotch.coordination.choosing.latency_model import LatencyModel
    from dunlinnotch.coordination.choosing.selector import TargetSelector
    from dunlinnotch.coordination.choosing.waiting import Selection
    from dunlinnotch.coordination.requests.crash_guard import CrashGuard
    from dunlinnotch.coordination.requests.run import Run
    from dunlinnotch.protocol.relay import AttemptEnd, TargetPort
    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.state.routes import RequestKind
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Seconds

#: Part of the target latency that a request may spend in the queue for a target.
QUEUE_LATENCY_FRACTION = 0.2

_log = logging.getLogger(__name__)


class TargetAttempts:
    """Make single attempts of requests at targets.

    Parameters
    ----------
    instances : InstanceList
    chooser : FreshReportChooser
    latency_model : LatencyModel
    selector : TargetSelector
    guard : CrashGuard
    targets : TargetPort
    """

    def __init__(
        self,
        *,
        instances: InstanceList,
        chooser: FreshReportChooser,
        latency_model: LatencyModel,
        selector: TargetSelector,
        guard: CrashGuard,
        targets: TargetPort,
    ) -> None:
        self._instances = instances
        self._chooser = chooser
        self._latency_model = latency_model
        self._selector = selector
        self._guard = guard
        self._targets = targets
        self._loop = asyncio.get_running_loop()

    async def choose(self, run: Run, kind: RequestKind, service: str) -> Selection | None:
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
            queue_deadline=queued_from + kind.target_latency * QUEUE_LATENCY_FRACTION,
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

    async def attempt(
        self,
        run: Run,
        kind: RequestKind,
        selection: Selection,
        *,
        may_send: Callable[[], bool],
        retries_left: float = 0.0,
    ) -> AttemptEnd:
        """Send a request to the selected target and wait for the head of its answer.

        Parameters
        ----------
        run : Run
        kind : RequestKind
        selection : Selection
        may_send : callable
            Called once there is a connection; returns whether the selection still holds.
        retries_left : float, default 0.0
            Retries of the service that this box has left, for the log.
        """
        instance = selection.instance
        now = self._loop.time()
        request = run.request
        remaining = min(request.deadline, request.arrived + kind.timeout) - now
        attempt = Attempt(began=now, selection=selection, retries_left=retries_left)
        run.begin_attempt(attempt)
        run.tried_instances.add(instance.name)
        instance.in_flight += 1
        try:
            end = await self._targets.attempt(
                instance.address,
                request,
                run.body,
                remaining=remaining,
                instance=instance.name,
                may_send=may_send,
                on_status=lambda status: self._record_status(attempt, instance, status),
                on_sent=attempt.record_send,
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

    def _record_status(self, attempt: Attempt, instance: Instance, status: TargetStatus) -> None:
        """Record the status that a target reported in its answer."""
        attempt.target_status = status
        self._selector.record_status(instance, status)

    async def handle_end(
        self, run: Run, kind: RequestKind, instance: Instance, end: AttemptEnd
    ) -> Ending:
        """Record the end of an attempt at a target, and relay an answer to the caller."""
        now = self._loop.time()
        if isinstance(end, Answered):
            return await self._relay(run, kind, instance, end)
        if isinstance(end, NotSent):
            run.undo_send()
            self._chooser.record_no_contact(instance, now)
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
        def replace_by(head: AnswerHead) -> Ending | None:
            if head.status < 500:
                self._chooser.record_success(instance)
                return None
            self._chooser.record_failure(instance, self._loop.time())
            return self.replace_failure(run, kind, head)

        try:
            ending = await relay_answer(run, answered.answer, replace_by=replace_by)
        except BodyCutError as error:
            self._chooser.record_failure(instance, self._loop.time())
            run.attempts[-1].result = "cut"
            await self._check_for_crash(run, instance)
            return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, str(error))
        selection = run.attempts[-1].selection
        if ending.status < 500 and selection is not None:
            # Failed answers are left out: they are fast and would lower the usual latency.
            took = self._loop.time() - run.attempts[-1].began
            self._latency_model.record(kind.name, run.service, selection.load_at_send, took)
        return ending

    def replace_failure(self, run: Run, kind: RequestKind, head: AnswerHead) -> Ending | None:
        """Return the ending of a failed answer that another target may replace, else None."""
        if head.status < 500 or not self._should_retry_failure(run, kind):
            return None
        detail = f"the target failed with status {head.status}"
        return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, detail)

    def _should_retry_failure(self, run: Run, kind: RequestKind) -> bool:
        if not kind.idempotent or run.sends >= kind.attempts or not run.body.resendable:
            return False
        others = [
            i for i in self._instances.for_service(run.service) if i.name not in run.tried_instances
        ]
        return bool(others)

    def no_target_refusal(self, service: str) -> Ending:
        """Return the refusal of a request for which no target is free in time."""
        if not self._instances.for_service(service):
            detail = f"service {service!r} has no target"
            return Ending(Outcome.NOT_RUN, 503, Reason.NO_TARGET, detail)
        if self._selector.backoff_left(service):
            detail = f"all targets of service {service!r} requested back-off"
            return Ending(Outcome.NOT_RUN, 503, Reason.TARGETS_RESTING, detail)
        return Ending(Outcome.NOT_RUN, 503, Reason.QUEUE_FULL, "no target is free in time")
