"""Play one day: start everything, send requests at their times, judge what was seen."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker import Observations, find_violations
from dunlinnotch.lab.faults import FaultInjector
from dunlinnotch.lab.fleet import HOST, Fleet, path_prefix
from dunlinnotch.lab.report import ScenarioResult, summarise
from dunlinnotch.standins.users.caller import CallerRequestPlan, CallerStandin

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from dunlinnotch.lab.scenario import KindPlan, Scenario
    from dunlinnotch.standins.users.caller import AttemptRecord
    from dunlinnotch.types import Seconds

#: Requests under way at once, at most; beyond it the tool itself would be measured.
_UNDER_WAY_MOST = 1000
#: Part of the callers that keep their connections.
_KEEP = 0.6
_BODY = b"x" * 2000
#: Longest wait, after the traffic, for troubles to end, in seconds.
_ENDS_S = 30.0


class Callers:
    """Open-loop callers of all kinds of a day.

    Parameters
    ----------
    fleet : Fleet
    troubles : Troubles
        Tells how much callers send now.
    """

    def __init__(self, fleet: Fleet, troubles: FaultInjector) -> None:
        self._fleet = fleet
        self._troubles = troubles
        self._rng = random.Random(fleet.scenario.seed + 2)
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._ids = itertools.count(1)
        self._idle: list[CallerStandin] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.attempts: list[AttemptRecord] = []
        self.asked = 0
        self.left_out = 0
        #: How late the tool sent a request at worst, in seconds.
        self.late = 0.0

    async def run(self, until: Seconds) -> None:
        """Send the requests of all kinds until a moment; wait for the last answers."""
        await asyncio.gather(*(self._run_kind(kind, until) for kind in self._fleet.scenario.kinds))
        while self._tasks:
            await asyncio.wait(self._tasks)
        for caller in self._idle:
            caller.close()

    async def _run_kind(self, kind: KindPlan, until: Seconds) -> None:
        at = self._loop.time()
        while True:
            at += self._rng.expovariate(kind.per_s * self._troubles.load_factor)
            if at >= until:
                return
            await asyncio.sleep(max(0.0, at - self._loop.time()))
            self.late = max(self.late, self._loop.time() - at)
            if len(self._tasks) >= _UNDER_WAY_MOST:
                self.left_out += 1
                continue
            task = self._loop.create_task(self._ask(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, kind: KindPlan) -> None:
        caller = self._idle.pop() if self._idle else self._make_caller()
        number = next(self._numbers)
        plan = CallerRequestPlan(
            kind=kind.name,
            method="GET" if kind.repeatable else "POST",
            path=f"{path_prefix(kind)}{number}",
            body=b"" if kind.repeatable else _BODY,
            repeatable=kind.repeatable,
            deadline=kind.deadline_ms / 1000,
            retries=kind.retries,
        )
        self.asked += 1
        self.attempts += await caller.request(number, plan)
        self._idle.append(caller)

    def _make_caller(self) -> CallerStandin:
        return CallerStandin(
            self._rng.choice(self._fleet.scenario.places),
            HOST,
            directories=self._fleet.directories,
            next_id=lambda: f"a{next(self._ids):07x}",
            rng=self._rng,
            keeps=self._rng.random() < _KEEP,
        )


async def run_scenario(
    day: Scenario, directory: Path, *, progress: Callable[[str], None] | None = None
) -> ScenarioResult:
    """Play a day.

    Parameters
    ----------
    day : Day
    directory : Path
        Gets settings files and logs; must exist.
    progress : callable, optional
        Is told, once a second, how far the day is.

    Returns
    -------
    DayResult
    """
    loop = asyncio.get_running_loop()
    async with Fleet(day, directory) as fleet:
        troubles = FaultInjector(fleet)
        callers = Callers(fleet, troubles)
        began = loop.time()
        causing = [asyncio.ensure_future(troubles.inject(plan)) for plan in day.troubles]
        telling = asyncio.ensure_future(_tell(callers, began, day, progress))
        try:
            await callers.run(began + day.length_s)
            ended = loop.time()
            if causing:
                await asyncio.wait(causing, timeout=_ENDS_S)
            await asyncio.gather(*(task for task in causing if task.done()))
        finally:
            for task in (telling, *causing):
                task.cancel()
            await asyncio.gather(telling, *causing, return_exceptions=True)
        evidence = Observations(
            scenario=day,
            started_at=began,
            ended_at=ended,
            attempts=callers.attempts,
            targets=[*fleet.targets, *fleet.terminated],
            fault_windows=troubles.fault_windows,
            route_changes=fleet.route_changes,
            crashing=troubles.crashing_attempts,
            abandoned=troubles.abandoned_attempts,
            stops=troubles.stops,
        )
        return summarise(
            evidence,
            find_violations(evidence),
            store_calls=fleet.store.calls,
            tool_late=callers.late,
        )


async def _tell(
    callers: Callers, began: Seconds, day: Scenario, progress: Callable[[str], None] | None
) -> None:
    loop = asyncio.get_running_loop()
    while progress is not None:
        await asyncio.sleep(1.0)
        done = min(day.length_s, loop.time() - began)
        progress(f"{day.name}: {done:.0f} of {day.length_s:.0f} s, {callers.asked} requests")
