"""Run one scenario: start the fleet, send requests, inject faults and check the guarantees."""

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

#: With more requests in flight, the results would show the limits of the tool itself.
_MAX_IN_FLIGHT = 1000
#: Share of the callers that keep their connections open between requests.
_KEEP_ALIVE_SHARE = 0.6
_REQUEST_BODY = b"x" * 2000
#: Longest wait for faults to end after the traffic has ended.
_FAULT_END_TIMEOUT_S = 30.0


class LoadGenerator:
    """Sends the requests of all kinds of a scenario, without waiting for earlier answers.

    Parameters
    ----------
    fleet : Fleet
    injector : FaultInjector
        Its load factor scales the request rate.

    Attributes
    ----------
    attempts : list of AttemptRecord
        Attempts of all requests that have ended.
    request_count : int
        Requests sent.
    skipped_count : int
        Requests not sent because too many were in flight.
    max_send_delay : float
        Longest delay with which a request was sent, in seconds.
    """

    def __init__(self, fleet: Fleet, injector: FaultInjector) -> None:
        self._fleet = fleet
        self._injector = injector
        self._rng = random.Random(fleet.scenario.seed + 2)
        self._loop = asyncio.get_running_loop()
        self._request_numbers = itertools.count(1)
        self._attempt_ids = itertools.count(1)
        self._idle_callers: list[CallerStandin] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.attempts: list[AttemptRecord] = []
        self.request_count = 0
        self.skipped_count = 0
        self.max_send_delay = 0.0

    async def run_until(self, until: Seconds) -> None:
        """Send requests until a time of the event loop's clock, then wait for their answers."""
        await asyncio.gather(*(self._send_kind(kind, until) for kind in self._fleet.scenario.kinds))
        while self._tasks:
            await asyncio.wait(self._tasks)
        for caller in self._idle_callers:
            caller.close()

    async def _send_kind(self, kind: KindPlan, until: Seconds) -> None:
        due_at = self._loop.time()
        while True:
            due_at += self._rng.expovariate(kind.per_s * self._injector.load_factor)
            if due_at >= until:
                return
            await asyncio.sleep(max(0.0, due_at - self._loop.time()))
            self.max_send_delay = max(self.max_send_delay, self._loop.time() - due_at)
            if len(self._tasks) >= _MAX_IN_FLIGHT:
                self.skipped_count += 1
                continue
            task = self._loop.create_task(self._send_request(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_request(self, kind: KindPlan) -> None:
        caller = self._idle_callers.pop() if self._idle_callers else self._make_caller()
        number = next(self._request_numbers)
        plan = CallerRequestPlan(
            kind=kind.name,
            method="GET" if kind.repeatable else "POST",
            path=f"{path_prefix(kind)}{number}",
            body=b"" if kind.repeatable else _REQUEST_BODY,
            idempotent=kind.repeatable,
            timeout=kind.deadline_ms / 1000,
            retries=kind.retries,
        )
        self.request_count += 1
        self.attempts += await caller.request(number, plan)
        self._idle_callers.append(caller)

    def _make_caller(self) -> CallerStandin:
        return CallerStandin(
            self._rng.choice(self._fleet.scenario.places),
            HOST,
            directories=self._fleet.directories,
            next_id=lambda: f"a{next(self._attempt_ids):07x}",
            rng=self._rng,
            keep_alive=self._rng.random() < _KEEP_ALIVE_SHARE,
        )


async def run_scenario(
    scenario: Scenario, directory: Path, *, progress: Callable[[str], None] | None = None
) -> ScenarioResult:
    """Run a scenario and check its guarantees.

    Parameters
    ----------
    scenario : Scenario
    directory : pathlib.Path
        Receives settings files and logs; must exist.
    progress : callable, optional
        Receives a progress line once a second.

    Returns
    -------
    ScenarioResult
    """
    loop = asyncio.get_running_loop()
    async with Fleet(scenario, directory) as fleet:
        injector = FaultInjector(fleet)
        generator = LoadGenerator(fleet, injector)
        started_at = loop.time()
        fault_tasks = [asyncio.ensure_future(injector.inject(plan)) for plan in scenario.troubles]
        progress_task = asyncio.ensure_future(
            _report_progress(generator, started_at, scenario, progress)
        )
        try:
            await generator.run_until(started_at + scenario.length_s)
            ended_at = loop.time()
            if fault_tasks:
                await asyncio.wait(fault_tasks, timeout=_FAULT_END_TIMEOUT_S)
            await asyncio.gather(*(task for task in fault_tasks if task.done()))
        finally:
            for task in (progress_task, *fault_tasks):
                task.cancel()
            await asyncio.gather(progress_task, *fault_tasks, return_exceptions=True)
        observations = Observations(
            scenario=scenario,
            started_at=started_at,
            ended_at=ended_at,
            attempts=generator.attempts,
            targets=[*fleet.targets, *fleet.terminated],
            fault_windows=injector.fault_windows,
            route_changes=fleet.route_changes,
            crashing=injector.crashing_attempts,
            abandoned=injector.abandoned_attempts,
            stops=injector.stops,
            cuts=injector.cuts,
        )
        return summarise(
            observations,
            find_violations(observations),
            store_calls=fleet.store.calls,
            tool_late=generator.max_send_delay,
        )


async def _report_progress(
    generator: LoadGenerator,
    started_at: Seconds,
    scenario: Scenario,
    progress: Callable[[str], None] | None,
) -> None:
    loop = asyncio.get_running_loop()
    while progress is not None:
        await asyncio.sleep(1.0)
        elapsed_s = min(scenario.length_s, loop.time() - started_at)
        progress(
            f"{scenario.name}: {elapsed_s:.0f} of {scenario.length_s:.0f} s, "
            f"{generator.request_count} requests"
        )
