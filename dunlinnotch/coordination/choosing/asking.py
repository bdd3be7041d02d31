"""Find a target for each request by asking a few just before it is sent.

A request goes to the first target that is good.  While none is, others are
asked; after a share of the target latency the best that answered is taken,
unless too many requests wait there.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.fresh import FRESH_S, excess
from dunlinnotch.protocol.relay import Asked
from dunlinnotch.state.instances import TargetReport

if TYPE_CHECKING:
    import logging
    import random
    from collections.abc import Callable, Collection, Coroutine

    from dunlinnotch.coordination.budgets.shares import ProbeShare
    from dunlinnotch.coordination.choosing.fresh import FreshChooser
    from dunlinnotch.protocol.relay import TargetPort
    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.types import Seconds

#: Pause before targets are asked again, in seconds.
_PAUSE_S = 0.015
#: Requests that may wait at a target, as a share of its slots, by rank.
_WAIT_AT_TARGET = (1.0, 1.0, 0.67)
#: Longest wait for the answers of the targets asked at once, in seconds.
_ASK_S = 0.04
#: A probe without an answer for so long counts as a failure, in seconds.
_ASK_LOST_S = 0.3


@dataclass(frozen=True, slots=True)
class AskPlan:
    """How many targets are asked before a request is sent.

    Parameters
    ----------
    first, more : int
        Targets asked at once, and further ones if none of those is good.
    """

    first: int = 4
    more: int = 4


@dataclass(frozen=True, slots=True)
class Pick:
    """A target chosen, with the probe that spoke for it."""

    instance: Instance
    asked: Asked | None
    why: str


class TargetSeeker:
    """Find targets for requests.

    Parameters
    ----------
    instances : InstanceList
    chooser : FreshChooser
    probes : ProbeShare
    probe_path : callable
        Returns the path of a service's health check; empty if there is none.
    targets : TargetPort
    plan : AskPlan
    rng : random.Random
    log : logging.Logger
    """

    def __init__(
        self,
        *,
        instances: InstanceList,
        chooser: FreshChooser,
        probes: ProbeShare,
        probe_path: Callable[[str], str],
        targets: TargetPort,
        plan: AskPlan,
        rng: random.Random,
        log: logging.Logger,
    ) -> None:
        self._instances = instances
        self._chooser = chooser
        self._probes = probes
        self._probe_path = probe_path
        self._targets = targets
        self._plan = plan
        self._rng = rng
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._running: set[asyncio.Task[None]] = set()

    async def choose(
        self,
        service: str,
        *,
        rank: int,
        tried: Collection[str],
        give_up: Seconds,
        most: float = math.inf,
        most_waiting: float = math.inf,
    ) -> Pick | None:
        """Return a target for one request, or None if there is none in time.

        Parameters
        ----------
        service : str
        rank : int
            0 is the most urgent; the less urgent may not wait as long at a target.
        tried : collection of str
            Targets that the request has been sent to.
        give_up : float
            Monotonic seconds until which a good target is waited for.
        most : float, optional
            Greatest expected time, as a multiple of the usual one, at which the
            request still ends in time.
        most_waiting : float, optional
            The same for a target where it has to wait for others: a place in a queue
            that ends late would make those behind it late too.
        """
        while True:
            pick = self._known_good(service, tried) or await self._ask_round(service, tried)
            now = self._loop.time()
            last_chance = now + _PAUSE_S >= give_up
            if pick is not None:
                if self._chooser.good(pick.instance, now):
                    return pick
                if last_chance and self._bearable(pick.instance, rank, (most, most_waiting), now):
                    return pick
                self.release(pick)
            if last_chance:
                return None
            await asyncio.sleep(_PAUSE_S * (0.7 + 0.6 * self._rng.random()))

    def _bearable(
        self, instance: Instance, rank: int, most: tuple[float, float], now: Seconds
    ) -> bool:
        """Return whether a request may be sent to a target that is not good."""
        expected = self._chooser.expected(instance, now)
        if excess(instance) <= 0:
            return expected <= most[0]
        wait = _WAIT_AT_TARGET[min(rank, len(_WAIT_AT_TARGET) - 1)]
        return excess(instance) <= wait and expected <= min(most)

    def release(self, pick: Pick) -> None:
        """Give back a target that is not used."""
        if pick.asked is not None:
            self._targets.release(pick.instance.address, pick.asked)

    def heard(self, instance: Instance, report: TargetReport | None) -> None:
        """Take in a report that this box has got itself."""
        if report is None:
            return
        instance.heard(report, self._loop.time())

    # -- asking

    def _known_good(self, service: str, tried: Collection[str]) -> Pick | None:
        """Return one of those to ask that is good by a report of the last milliseconds.

        Notes
        -----
        Of those to ask only: taking the best known of all sends a box's
        requests to the one target that it has just heard, again and again.
        """
        now = self._loop.time()
        order = self._chooser.order(self._instances.of(service), now, exclude=tried)
        for instance in order[: self._plan.first]:
            if now - instance.reported_at < FRESH_S and self._chooser.good(instance, now):
                return Pick(instance, None, "fresh")
        return None

    async def _ask_round(self, service: str, tried: Collection[str]) -> Pick | None:
        """Ask a few targets; return the first good one, else the best that answered."""
        now = self._loop.time()
        instances = self._instances.of(service)
        order = self._chooser.order(instances, now, exclude=tried)
        order = order or self._chooser.order(instances, now, exclude=())
        if not order:
            return None
        answers: dict[Instance, Asked] = {}
        # Those whose probes are used up are passed over: the budget is for each target.
        askable = (i for i in order if self._probes.has_left(i.name))
        try:
            for count in (self._plan.first, self._plan.more):
                group = list(itertools.islice(askable, count))
                good = await self._ask_group(group, service, answers)
                if good is not None:
                    return self._take(good, answers, "good")
        except BaseException:
            for instance, asked in answers.items():
                self._targets.release(instance.address, asked)
            raise
        return self._best(order, answers)

    def _take(self, chosen: Instance, answers: dict[Instance, Asked], why: str) -> Pick:
        for instance, asked in answers.items():
            if instance is not chosen:
                self._targets.release(instance.address, asked)
        return Pick(chosen, answers.get(chosen), why)

    def _best(self, order: list[Instance], answers: dict[Instance, Asked]) -> Pick | None:
        now = self._loop.time()
        if answers:
            best = min(answers, key=lambda i: self._chooser.expected(i, now))
            return self._take(best, answers, "best")
        rest = [i for i in order if now >= i.aside_until] or order
        best = min(rest, key=lambda i: self._chooser.expected(i, now) + self._rng.random())
        return Pick(best, None, "unasked")

    async def _ask_group(
        self, group: list[Instance], service: str, answers: dict[Instance, Asked]
    ) -> Instance | None:
        """Ask some targets at once; return the first that is good."""
        path = self._probe_path(service)
        if not path:
            return None
        heard: asyncio.Queue[tuple[Instance, Asked]] = asyncio.Queue()
        waiting = 0
        for instance in group:
            if self._probes.take(instance.name):
                self._spawn(self._ask(instance, path, heard))
                waiting += 1
        until = self._loop.time() + _ASK_S
        try:
            while waiting:
                try:
                    async with asyncio.timeout_at(until):
                        instance, asked = await heard.get()
                except TimeoutError:
                    return None
                waiting -= 1
                if asked.instance is None:
                    continue
                if not self._usable(instance, asked):
                    self._targets.release(instance.address, asked)
                    continue
                answers[instance] = asked
                if self._chooser.good(instance, self._loop.time()):
                    return instance
            return None
        finally:
            if waiting:
                self._spawn(self._release_late(heard, waiting))

    def _usable(self, instance: Instance, asked: Asked) -> bool:
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
        return not instance.replaced

    async def _ask(
        self, instance: Instance, path: str, heard: asyncio.Queue[tuple[Instance, Asked]]
    ) -> None:
        try:
            async with asyncio.timeout(_ASK_LOST_S):
                asked = await self._targets.ask(instance.address, path)
        except TimeoutError:
            asked = Asked(None, False, None, "no answer to a probe")
        if asked.instance is None:
            self._chooser.failed(instance, self._loop.time())
        elif asked.instance == instance.name:
            instance.well = asked.well
            # A target that tells no load: what this box has there is all that is known.
            own = TargetReport(instance.own, 0, max(1, instance.listed.slots))
            instance.heard(asked.report or own, self._loop.time())
        heard.put_nowait((instance, asked))

    async def _release_late(
        self, heard: asyncio.Queue[tuple[Instance, Asked]], waiting: int
    ) -> None:
        """Give back the connections of probes that answer after the choice was made."""
        for _ in range(waiting):
            instance, asked = await heard.get()
            self._targets.release(instance.address, asked)

    def _spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run something that goes on when the request that began it does not wait for it."""
        task = self._loop.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return task
