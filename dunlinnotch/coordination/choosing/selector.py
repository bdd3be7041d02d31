"""Select a target for each request by load reports that are a few milliseconds old.

A report comes with the result of a probe or with the answer to another request.  A request
goes to the first target that its report shows to be good.  Requests that find none wait in
one queue for each service, ordered by rank and then by whether they can still end in time.
A few targets at a time are probed for the queue, to stay within the probe budget; each one
that proves good gets the first request in the queue.  See ``docs/design/overload.md``.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.fresh_reports import (
    MAX_FRESH_AGE_S,
    MAX_REPORT_AGE_S,
    overload,
)
from dunlinnotch.coordination.choosing.latency_model import LoadAtSend
from dunlinnotch.coordination.choosing.saturation import Saturation
from dunlinnotch.coordination.choosing.waiting import Selection, ServiceQueue, Waiter
from dunlinnotch.protocol.relay import ProbeResult
from dunlinnotch.state.target_status import TargetReport, TargetStatus

if TYPE_CHECKING:
    import logging
    import random
    from collections.abc import Callable, Collection, Coroutine, Iterator

    from dunlinnotch.coordination.budgets.shares import ProbeShare
    from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
    from dunlinnotch.protocol.relay import TargetPort
    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.types import Seconds

#: Interval between two probes of one target, in seconds.
_MIN_PROBE_INTERVAL_S = 0.015
#: Time without a good target in a service after which a request may go to a target where
#: it ends after its target latency, but within its timeout, in seconds.  It is longer than
#: a target that shares its machine with others is slow at a time.
_LATE_ALLOWED_AFTER_S = 0.5
#: Time after which an unanswered probe no longer counts against the limit of concurrent
#: probes, in seconds: several round trips between places.
_PROBE_OVERDUE_S = 0.015
#: Time after which an unanswered probe counts as a failure of the target, in seconds.
_PROBE_TIMEOUT_S = 0.3


class TargetSelector:
    """Select targets for requests, and probe targets where no fresh report is available.

    Parameters
    ----------
    instances : InstanceList
    chooser : FreshReportChooser
    probes : ProbeShare
    probe_path : callable
        Returns the path of a service's health check; empty if there is none.
    targets : TargetPort
    rng : random.Random
    log : logging.Logger
    """

    def __init__(
        self,
        *,
        instances: InstanceList,
        chooser: FreshReportChooser,
        probes: ProbeShare,
        probe_path: Callable[[str], str],
        targets: TargetPort,
        rng: random.Random,
        log: logging.Logger,
    ) -> None:
        self._instances = instances
        self._chooser = chooser
        self._probes = probes
        self._probe_path = probe_path
        self._targets = targets
        self._rng = rng
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._queues: dict[str, ServiceQueue] = {}
        self._arrivals = 0
        #: Number of times a target requested back-off from this box.
        self.backoffs_requested = 0

    async def choose(
        self,
        service: str,
        *,
        rank: int,
        tried: Collection[str],
        queue_deadline: Seconds,
        first_attempt_at: Seconds = 0.0,
        start_by: Seconds = math.inf,
        max_ratio: float = math.inf,
        max_ratio_late: float = math.inf,
    ) -> Selection | None:
        """Return a target for one request, or None if none becomes available in time.

        Parameters
        ----------
        service : str
        rank : int
            0 is the most urgent.
        tried : collection of str
            Names of the targets that the request was already sent to.  They are excluded
            unless the service has no other target.
        queue_deadline : float
            Monotonic seconds until which the request may wait for a good target.
        first_attempt_at : float, optional
            Monotonic seconds at which the caller made its first attempt.
        start_by : float, optional
            Monotonic seconds of the latest start at a good target that still ends in
            time.
        max_ratio : float, optional
            Expected latency ratio up to which the request ends within its target latency.
        max_ratio_late : float, optional
            Expected latency ratio up to which the request ends within its timeout.  It
            applies instead of `max_ratio` when the service has had no good target lately.
        """
        if all(i.name in tried for i in self._instances.for_service(service)):
            tried = ()
        backoff = self.backoff_left(service)
        if backoff and self._loop.time() + backoff > queue_deadline:
            return None
        queue = self._queue(service)
        selection = None if queue.waiters else self._select_fresh(service, tried)
        if selection is None:
            self._arrivals += 1
            selected = self._loop.create_future()
            waiter = Waiter(
                rank, self._arrivals, tried, queue_deadline, first_attempt_at, start_by, selected
            )
            selection = await self._wait(queue, waiter)
        if selection is not None:
            return selection
        return self._fallback(queue, tried, (max_ratio, max_ratio_late))

    def release(self, selection: Selection) -> None:
        """Release a selection that will not be used, with the connection of its probe."""
        instance = selection.instance
        instance.sent_since_report = max(0, instance.sent_since_report - 1)
        if selection.probe is not None:
            self._targets.release(instance.address, selection.probe)

    async def probe_now(self, instance: Instance) -> None:
        """Probe a target although no request waits, if its probe budget allows it.

        Notes
        -----
        Of a target without a health check, only the path to it is checked.
        """
        path = self._probe_path(instance.listed.service)
        if not path:
            await self._targets.check_path(instance.address)
            return
        queue = self._queue(instance.listed.service)
        if instance not in queue.probing and self._probes.try_spend(instance.name):
            queue.probing.add(instance)
            await self._probe(queue, instance, path)

    def record_status(self, instance: Instance, status: TargetStatus) -> None:
        """Record the status that came with a target's answer, and offer the target to the queue."""
        self._apply_notices(instance, status)
        if status.report is None or instance.removed:
            return
        instance.record_report(status.report, self._loop.time())
        queue = self._queues.get(instance.listed.service)
        if queue is not None:
            self._offer(queue, instance, None)

    def backoff_left(self, service: str) -> Seconds:
        """Return the seconds until the first target's back-off ends; 0 if a target is available."""
        return self._instances.backoff_left(service, self._loop.time())

    def _queue(self, service: str) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(service, Saturation(clock=self._loop.time))
            self._queues[service] = queue
        return queue

    def _select_fresh(self, service: str, tried: Collection[str]) -> Selection | None:
        """Return a target that is good by a fresh report, or None."""
        now = self._loop.time()
        for instance in self._chooser.order(
            self._instances.for_service(service), now, exclude=tried
        ):
            if now - instance.reported_at < MAX_FRESH_AGE_S and self._chooser.is_good(
                instance, now
            ):
                return self._select(instance, None, "fresh")
        return None

    async def _wait(self, queue: ServiceQueue, waiter: Waiter) -> Selection | None:
        """Wait in the queue for a good target; return None if the queue deadline passes."""
        queue.waiters.append(waiter)
        self._start_probes(queue)
        try:
            # A request past its queue deadline still waits for one round of probes.
            async with asyncio.timeout_at(
                max(waiter.queue_deadline, self._loop.time() + _PROBE_OVERDUE_S)
            ):
                return await asyncio.shield(waiter.selected)
        except TimeoutError:
            return waiter.selected.result() if waiter.selected.done() else None
        except asyncio.CancelledError:
            selection = waiter.selected.result() if waiter.selected.done() else None
            if selection is not None:
                self.release(selection)
            raise
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)

    def _offer(
        self, queue: ServiceQueue, instance: Instance, probe_result: ProbeResult | None
    ) -> bool:
        """Give a good target to waiting requests; return whether the probe was used."""
        used = False
        while queue.waiters and not instance.removed and self._accepts(instance):
            waiter = queue.pop_for(instance, self._loop.time())
            if waiter is None:
                break
            probe = None if used else probe_result
            waiter.selected.set_result(
                self._select(instance, probe, "good" if probe_result else "fresh")
            )
            used = used or probe_result is not None
        return used

    def _accepts(self, instance: Instance) -> bool:
        now = self._loop.time()
        return self._chooser.is_good(instance, now) or self._chooser.explores(instance, now)

    def _select(
        self, instance: Instance, probe_result: ProbeResult | None, reason: str
    ) -> Selection:
        now = self._loop.time()
        report = instance.report
        load = LoadAtSend(
            queued_ahead=instance.queued_ahead,
            slots=max(1, instance.listed.slots if report is None else report.slots),
            latency_ratio=1.0 if report is None else report.latency_ratio,
            report_age=now - instance.reported_at,
        )
        selection = Selection(
            instance, probe_result, reason, self._chooser.expected_ratio(instance, now), load
        )
        instance.sent_since_report += 1
        if reason in ("good", "fresh"):
            self._queue(instance.listed.service).last_good_at = now
        return selection

    def _fallback(
        self, queue: ServiceQueue, tried: Collection[str], max_ratios: tuple[float, float]
    ) -> Selection | None:
        """Return the target with the lowest expected latency ratio, if it is acceptable."""
        now = self._loop.time()
        ranked = self._chooser.order(self._instances.for_service(queue.service), now, exclude=tried)
        ranked = [i for i in ranked if now >= i.ejected_until] or ranked
        if not ranked:
            return None
        best = min(ranked, key=lambda i: self._chooser.expected_ratio(i, now))
        if not self._is_acceptable(queue, best, max_ratios, now):
            return None
        has_report = now - best.reported_at <= MAX_REPORT_AGE_S
        return self._select(best, None, "best" if has_report else "unasked")

    def _is_acceptable(
        self, queue: ServiceQueue, instance: Instance, max_ratios: tuple[float, float], now: Seconds
    ) -> bool:
        """Return whether a request may be sent to a target that was not good in time.

        Notes
        -----
        A request never goes to a target without a free slot.  One that waits there starts
        at a latency that can't be predicted, and delays the requests queued behind it.
        Where no target has been good for a while, all of them are slow, so the request may
        end late.
        """
        target_limit, timeout_limit = max_ratios
        limit = target_limit if now - queue.last_good_at < _LATE_ALLOWED_AFTER_S else timeout_limit
        if overload(instance) > 0 or self._chooser.expected_ratio(instance, now) > limit:
            return False
        return (
            self._chooser.is_good(instance, now)
            or self._rng.random() < queue.saturation.admission_share
        )

    def _start_probes(self, queue: ServiceQueue) -> None:
        """Start probes for the waiting requests, within the limit of concurrent probes."""
        path = self._probe_path(queue.service)
        if not path:
            return
        count = queue.probes_to_start
        if count <= 0:
            return
        candidates = list(itertools.islice(self._probe_candidates(queue), count))
        for instance in candidates:
            self._probes.try_spend(instance.name)
            queue.probing.add(instance)
            self._spawn(self._probe(queue, instance, path))
        if len(candidates) < count:
            self._schedule_probes(queue)

    def _probe_candidates(self, queue: ServiceQueue) -> Iterator[Instance]:
        """Yield targets that were not probed just now and have probe budget left."""
        now = self._loop.time()
        for instance in self._chooser.order(
            self._instances.for_service(queue.service), now, exclude=()
        ):
            if instance in queue.probing or now - instance.probed_at < _MIN_PROBE_INTERVAL_S:
                continue
            if self._probes.is_available(instance.name):
                yield instance

    def _schedule_probes(self, queue: ServiceQueue) -> None:
        if queue.probe_timer is None:
            queue.probe_timer = self._loop.call_later(
                _MIN_PROBE_INTERVAL_S, self._resume_probes, queue
            )

    def _resume_probes(self, queue: ServiceQueue) -> None:
        queue.probe_timer = None
        if queue.waiters:
            self._start_probes(queue)

    async def _probe(self, queue: ServiceQueue, instance: Instance, path: str) -> None:
        """Probe one target, and offer it to the waiting requests if it may be used."""
        instance.probed_at = self._loop.time()
        overdue_timer = self._loop.call_later(_PROBE_OVERDUE_S, self._mark_overdue, queue, instance)
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                probe_result = await self._targets.probe(instance.address, path)
        except TimeoutError:
            probe_result = ProbeResult(None, healthy=False, detail="no answer to a probe")
        finally:
            overdue_timer.cancel()
            queue.probing.discard(instance)
            queue.overdue.discard(instance)
        usable = self._record_probe(instance, probe_result)
        if usable:
            queue.saturation.record(saturated=self._chooser.is_saturated(instance))
        used = usable and self._offer(queue, instance, probe_result)
        if not used:
            self._targets.release(instance.address, probe_result)
        if queue.waiters:
            self._start_probes(queue)

    def _mark_overdue(self, queue: ServiceQueue, instance: Instance) -> None:
        queue.overdue.add(instance)
        if queue.waiters:
            self._start_probes(queue)

    def _record_probe(self, instance: Instance, probe_result: ProbeResult) -> bool:
        """Record the result of a probe; return whether the target may be used."""
        status = probe_result.status or TargetStatus()
        if probe_result.instance is None:
            self._apply_notices(instance, status)
            self._chooser.record_no_contact(instance, self._loop.time())
            return False
        if probe_result.instance != instance.name:
            if self._instances.remove(instance.name):
                event(
                    self._log,
                    "target-replaced",
                    instance=instance.name,
                    service=instance.listed.service,
                    target=instance.address,
                    sequence=instance.listed.sequence,
                    now_there=probe_result.instance,
                )
            return False
        instance.healthy = probe_result.healthy
        self._apply_notices(instance, status)
        # For a target that reports no load, only this box's own requests are known.
        estimate = TargetReport(instance.in_flight, 0, max(1, instance.listed.slots))
        instance.record_report(status.report or estimate, self._loop.time())
        return not instance.removed

    def _apply_notices(self, instance: Instance, status: TargetStatus) -> None:
        """Apply what a target announces: back-off for a while, or that it is leaving."""
        if status.backoff:
            self._apply_backoff(instance, status.backoff)
        if status.leaving and self._instances.retire(instance.name):
            event(
                self._log,
                "target-leaving",
                instance=instance.name,
                service=instance.listed.service,
                target=instance.address,
                sequence=instance.listed.sequence,
                why="said by itself",
            )

    def _apply_backoff(self, instance: Instance, backoff: Seconds) -> None:
        """Apply a requested back-off; refuse requests that can't wait until it ends."""
        # A target that refuses requests is idle, so by load alone it would be selected next.
        now = self._loop.time()
        self._instances.back_off(instance, now + backoff)
        remaining = self.backoff_left(instance.listed.service)
        if remaining:
            self._queue(instance.listed.service).refuse_until(now + remaining)
        self.backoffs_requested += 1
        event(
            self._log,
            "target-asks-rest",
            instance=instance.name,
            service=instance.listed.service,
            target=instance.address,
            rest_s=round(backoff, 3),
        )

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run a task that outlives the request that started it."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
