"""Find a target for each request by reports of the last milliseconds.

A request goes to the first target that is good by a report just heard: one
that a probe brought, or the answer to another request.  Requests that find none
wait in one queue for each service, the most urgent first, and of those the ones that can
still be answered in time.  A few targets are
asked for the queue at a time, so that probes last; each target heard to be good
takes the first that waits.  See ``docs/design/overload.md``.
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
from dunlinnotch.protocol.relay import Asked
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

#: Pause before targets that were just heard are asked again, in seconds.
_PAUSE_S = 0.015
#: Where no target of a service was good for so long, slow ones are what there is, in
#: seconds: longer than a target shared with others is slow at a time.
_SLOW_FOR_S = 0.5
#: A probe without an answer for so long no longer holds up others, in seconds: several
#: round trips between places.
_ASK_PATIENCE_S = 0.015
#: A probe without an answer for so long counts as a failure, in seconds.
_ASK_LOST_S = 0.3


class TargetSelector:
    """Find targets for requests.

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
        self._running: set[asyncio.Task[None]] = set()
        self._queues: dict[str, ServiceQueue] = {}
        self._arrivals = 0
        #: Times that a target has asked this box for rest.
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
        """Return a target for one request, or None if there is none in time.

        Parameters
        ----------
        service : str
        rank : int
            0 is the most urgent.
        tried : collection of str
            Targets that the request has been sent to.
        queue_deadline : float
            Monotonic seconds until which a good target is waited for.
        first_attempt_at : float, optional
            Monotonic seconds at which the caller first asked.
        start_by : float, optional
            Monotonic seconds up to which a start at a good target ends in time.
        max_ratio : float, optional
            Greatest expected time, as a multiple of the usual one, at which the
            request still ends within its target latency.
        max_ratio_late : float, optional
            The same for an end within its timeout; it counts where no target of the
            service has been good for a while.
        """
        if all(i.name in tried for i in self._instances.of(service)):
            tried = ()
        rest = self.backoff_left(service)
        if rest and self._loop.time() + rest > queue_deadline:
            return None
        queue = self._queue(service)
        pick = None if queue.waiters else self._known_good(service, tried)
        if pick is None:
            self._arrivals += 1
            picked = self._loop.create_future()
            waiter = Waiter(
                rank, self._arrivals, tried, queue_deadline, first_attempt_at, start_by, picked
            )
            pick = await self._wait(queue, waiter)
        if pick is not None:
            return pick
        return self._last_chance(queue, tried, (max_ratio, max_ratio_late))

    def release(self, pick: Selection) -> None:
        """Give back a target that is not used."""
        instance = pick.instance
        instance.sent_since_report = max(0, instance.sent_since_report - 1)
        if pick.probe is not None:
            self._targets.release(instance.address, pick.probe)

    def record_status(self, instance: Instance, status: TargetStatus) -> None:
        """Take in what a target said with an answer; who waits may use it."""
        self._take_wishes(instance, status)
        if status.report is None or instance.replaced:
            return
        instance.heard(status.report, self._loop.time())
        queue = self._queues.get(instance.listed.service)
        if queue is not None:
            self._offer(queue, instance, None)

    def backoff_left(self, service: str) -> Seconds:
        """Return for how long no target of a service wants anything; 0 if one does."""
        return self._instances.rest_left(service, self._loop.time())

    def _queue(self, service: str) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(service, Saturation(clock=self._loop.time))
            self._queues[service] = queue
        return queue

    # -- waiting for a good target

    def _known_good(self, service: str, tried: Collection[str]) -> Selection | None:
        """Return a target that is good by a report of the last milliseconds."""
        now = self._loop.time()
        for instance in self._chooser.order(self._instances.of(service), now, exclude=tried):
            if now - instance.reported_at < MAX_FRESH_AGE_S and self._chooser.is_good(
                instance, now
            ):
                return self._pick(instance, None, "fresh")
        return None

    async def _wait(self, queue: ServiceQueue, waiter: Waiter) -> Selection | None:
        """Wait in a queue until a target is heard to be good."""
        queue.waiters.append(waiter)
        self._ask_for(queue)
        try:
            # Who comes late has at least the time of one probe.
            async with asyncio.timeout_at(max(waiter.give_up, self._loop.time() + _ASK_PATIENCE_S)):
                return await asyncio.shield(waiter.picked)
        except TimeoutError:
            return waiter.picked.result() if waiter.picked.done() else None
        except asyncio.CancelledError:
            pick = waiter.picked.result() if waiter.picked.done() else None
            if pick is not None:
                self.release(pick)
            raise
        finally:
            if waiter in queue.waiters:
                queue.waiters.remove(waiter)

    def _offer(self, queue: ServiceQueue, instance: Instance, asked: Asked | None) -> bool:
        """Hand a target to those that wait, as long as it is good; return if a probe was used."""
        used = False
        while queue.waiters and not instance.replaced and self._takes(instance):
            waiter = queue.first_for(instance, self._loop.time())
            if waiter is None:
                break
            probe = None if used else asked
            waiter.picked.set_result(self._pick(instance, probe, "good" if asked else "fresh"))
            used = used or asked is not None
        return used

    def _takes(self, instance: Instance) -> bool:
        now = self._loop.time()
        return self._chooser.is_good(instance, now) or self._chooser.explores(instance, now)

    def _pick(self, instance: Instance, asked: Asked | None, why: str) -> Selection:
        now = self._loop.time()
        report = instance.report
        start = LoadAtSend(
            queued_ahead=instance.ahead,
            slots=max(1, instance.listed.slots if report is None else report.slots),
            latency_ratio=1.0 if report is None else report.slowness,
            report_age=now - instance.reported_at,
        )
        pick = Selection(instance, asked, why, self._chooser.expected_ratio(instance, now), start)
        instance.sent_since_report += 1
        if why in ("good", "fresh"):
            self._queue(instance.listed.service).good_at = now
        return pick

    # -- where none was good in time

    def _last_chance(
        self, queue: ServiceQueue, tried: Collection[str], most: tuple[float, float]
    ) -> Selection | None:
        """Return the best of what is known, if the request may go there."""
        now = self._loop.time()
        order = self._chooser.order(self._instances.of(queue.service), now, exclude=tried)
        order = [i for i in order if now >= i.aside_until] or order
        if not order:
            return None
        best = min(order, key=lambda i: self._chooser.expected_ratio(i, now))
        if not self._bearable(queue, best, most, now):
            return None
        known = now - best.reported_at <= MAX_REPORT_AGE_S
        return self._pick(best, None, "best" if known else "unasked")

    def _bearable(
        self, queue: ServiceQueue, instance: Instance, most: tuple[float, float], now: Seconds
    ) -> bool:
        """Return whether a request may be sent to a target that was not good in time.

        Notes
        -----
        Nothing waits at a target: what starts there starts at a speed that nobody
        knows beforehand, and those behind it are late too.  Where none has been good
        for a while, slow ones are what there is, and an answer may be late.
        """
        in_time, late = most
        limit = in_time if now - queue.good_at < _SLOW_FOR_S else late
        if overload(instance) > 0 or self._chooser.expected_ratio(instance, now) > limit:
            return False
        return (
            self._chooser.is_good(instance, now)
            or self._rng.random() < queue.saturation.admission_share
        )

    # -- asking

    def _ask_for(self, queue: ServiceQueue) -> None:
        """Ask targets for those that wait, a few at a time."""
        path = self._probe_path(queue.service)
        if not path:
            return
        wanted = queue.wanted
        if wanted <= 0:
            return
        asked = list(itertools.islice(self._to_ask(queue), wanted))
        for instance in asked:
            self._probes.try_spend(instance.name)
            queue.asking.add(instance)
            self._spawn(self._ask(queue, instance, path))
        if len(asked) < wanted:
            self._ask_again_later(queue)

    def _to_ask(self, queue: ServiceQueue) -> Iterator[Instance]:
        """Yield the targets to ask: none just asked, none whose probes are used up."""
        now = self._loop.time()
        for instance in self._chooser.order(self._instances.of(queue.service), now, exclude=()):
            if instance in queue.asking or now - instance.asked_at < _PAUSE_S:
                continue
            if self._probes.is_available(instance.name):
                yield instance

    def _ask_again_later(self, queue: ServiceQueue) -> None:
        if queue.again is None:
            queue.again = self._loop.call_later(_PAUSE_S, self._ask_again, queue)

    def _ask_again(self, queue: ServiceQueue) -> None:
        queue.again = None
        if queue.waiters:
            self._ask_for(queue)

    async def _ask(self, queue: ServiceQueue, instance: Instance, path: str) -> None:
        """Ask one target; what it says is offered to those that wait."""
        instance.asked_at = self._loop.time()
        patience = self._loop.call_later(_ASK_PATIENCE_S, self._overdue, queue, instance)
        try:
            async with asyncio.timeout(_ASK_LOST_S):
                asked = await self._targets.ask(instance.address, path)
        except TimeoutError:
            asked = Asked(None, well=False, detail="no answer to a probe")
        finally:
            patience.cancel()
            queue.asking.discard(instance)
            queue.overdue.discard(instance)
        usable = self._take_answer(instance, asked)
        if usable:
            queue.saturation.record(full=self._chooser.is_saturated(instance))
        used = usable and self._offer(queue, instance, asked)
        if not used:
            self._targets.release(instance.address, asked)
        if queue.waiters:
            self._ask_for(queue)

    def _overdue(self, queue: ServiceQueue, instance: Instance) -> None:
        queue.overdue.add(instance)
        if queue.waiters:
            self._ask_for(queue)

    def _take_answer(self, instance: Instance, asked: Asked) -> bool:
        """Note what a probe told; return whether the target may be used."""
        status = asked.status or TargetStatus()
        if asked.instance is None:
            self._take_wishes(instance, status)
            self._chooser.record_failure(instance, self._loop.time())
            return False
        if asked.instance != instance.name:
            if self._instances.leave(instance.name):
                event(
                    self._log,
                    "target-replaced",
                    instance=instance.name,
                    service=instance.listed.service,
                    target=instance.address,
                    sequence=instance.listed.sequence,
                    now_there=asked.instance,
                )
            return False
        instance.well = asked.well
        self._take_wishes(instance, status)
        # A target that tells no load: what this box has there is all that is known.
        own = TargetReport(instance.own, 0, max(1, instance.listed.slots))
        instance.heard(status.report or own, self._loop.time())
        return not instance.replaced

    def _take_wishes(self, instance: Instance, status: TargetStatus) -> None:
        """Keep what a target wants: no work for a while, or none at all."""
        if status.rest:
            self._take_rest(instance, status.rest)
        if status.leaving and self._instances.leave_for_good(instance.name):
            event(
                self._log,
                "target-leaving",
                instance=instance.name,
                service=instance.listed.service,
                target=instance.address,
                sequence=instance.listed.sequence,
                why="said by itself",
            )

    def _take_rest(self, instance: Instance, rest: Seconds) -> None:
        """Grant a target the rest it asked for; who waits for it in vain need not wait."""
        # An idle target that turns requests away looks best of all by its load: without
        # this, the next request went to it after 0.3 s (median, 72 pairs of box and target).
        now = self._loop.time()
        self._instances.rest(instance, now + rest)
        left = self.backoff_left(instance.listed.service)
        if left:
            self._queue(instance.listed.service).refuse_before(now + left)
        self.backoffs_requested += 1
        event(
            self._log,
            "target-asks-rest",
            instance=instance.name,
            service=instance.listed.service,
            target=instance.address,
            rest_s=round(rest, 3),
        )

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run something that goes on when the request that began it does not wait for it."""
        task = self._loop.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task
