"""Replace the boxes of one version by those of another, one by one, under load and amid a cut.

``python -m dunlinnotch.lab.upgrade DIRECTORY`` takes a directory with an earlier version of
the program and runs scenarios with real processes, from it to this one and back.  It exits
with 0 only if the checker finds no violation, no box stops by itself, and one box of this
version, which loses the path to all targets while both run side by side, answers all requests.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker import Observations, find_violations
from dunlinnotch.lab.faults import FaultInjector
from dunlinnotch.lab.fleet import HOST, Fleet, path_prefix
from dunlinnotch.lab.link import LinkState
from dunlinnotch.lab.report import ScenarioResult, format_result, summarise
from dunlinnotch.lab.run import LoadGenerator
from dunlinnotch.lab.scenario import KindPlan, Scenario, ServicePlan
from dunlinnotch.standins.users.caller import CallerRequestPlan, CallerStandin

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.standins.users.box import BoxProcess
    from dunlinnotch.standins.users.caller import AttemptRecord

#: Interval between the starts of two replacements, in seconds.
_REPLACE_INTERVAL_S = 3.5
#: Duration of the cut, interval between requests to the box that is cut off, and their deadline.
_CUT_S, _ASK_INTERVAL_S, _DEADLINE_S = 9.0, 0.05, 2.0
_OK = 200
_SCENARIO = Scenario(
    name="upgrade",
    seed=3,
    length_s=29.0,
    boxes=6,
    services=(ServicePlan(name="records", targets=6, slots=6),),
    kinds=(
        KindPlan(name="lookup", service="records", repeatable=True, per_s=60, retries=0),
        KindPlan(name="payment", service="records", repeatable=False, per_s=30, retries=0),
    ),
)


class Direction(StrEnum):
    """Whether boxes of an earlier version are replaced by this one, or the other way round."""

    TO_THIS = "to-this"
    TO_EARLIER = "to-earlier"


#: Time from the start to the cut, in seconds: three boxes run this version then, or still do.
_CUT_AT_S = {Direction.TO_THIS: 16.5, Direction.TO_EARLIER: 4.0}


@dataclass(frozen=True, slots=True)
class UpgradeResult:
    """Result of one scenario.

    Parameters
    ----------
    scenario : ScenarioResult
    statuses : list of int
        Statuses with which the box that was cut off answered, from ``contact`` after the cut.
    logs : dict of str to str
        Text of the log of each box.
    """

    scenario: ScenarioResult
    statuses: list[int]
    logs: dict[str, str]


class Upgrade:
    """One scenario in which all boxes are replaced by those of another version.

    Parameters
    ----------
    earlier : pathlib.Path
        Directory with the earlier version.
    direction : Direction
    cut : LinkState
        How the links to targets treat the box that is cut off.
    """

    def __init__(self, earlier: Path, direction: Direction, cut: LinkState) -> None:
        self._earlier = earlier
        self._direction = direction
        self._cut = cut
        self._statuses: list[int] = []
        self._asked: list[AttemptRecord] = []

    async def run(self, directory: Path) -> UpgradeResult:
        """Run the scenario; logs are written to a directory that must exist."""
        loop = asyncio.get_running_loop()
        fleet = Fleet(_SCENARIO, directory)
        to_this = self._direction is Direction.TO_THIS
        fleet.initial_source = self._earlier if to_this else None
        async with fleet:
            injector = FaultInjector(fleet)
            generator = LoadGenerator(fleet, injector)
            started_at = loop.time()
            # The first box runs this version longest, in both directions.
            boxes = fleet.boxes if to_this else fleet.boxes[::-1]
            tasks = [
                asyncio.ensure_future(self._replace_all(injector, boxes)),
                asyncio.ensure_future(self._cut_off(injector, fleet.boxes[0])),
            ]
            await generator.run_until(started_at + _SCENARIO.length_s)
            ended_at = loop.time()
            await asyncio.gather(*tasks)
            observations = Observations(
                scenario=_SCENARIO,
                started_at=started_at,
                ended_at=ended_at,
                attempts=generator.attempts,
                targets=[*fleet.targets, *fleet.terminated],
                fault_windows=injector.fault_windows,
                route_changes=fleet.route_changes,
                abandoned=self._asked,
                stops=injector.stops,
                cuts=injector.cuts,
            )
            result = summarise(
                observations,
                find_violations(observations),
                store_calls=fleet.store.calls,
                tool_late=generator.max_send_delay,
            )
            logs = {box.name: box.read_log() for box in fleet.boxes}
            return UpgradeResult(result, self._statuses, logs)

    async def _replace_all(self, injector: FaultInjector, boxes: Sequence[BoxProcess]) -> None:
        async with asyncio.TaskGroup() as replacements:
            for box in boxes:
                await asyncio.sleep(_REPLACE_INTERVAL_S)
                box.source = None if self._direction is Direction.TO_THIS else self._earlier
                replacements.create_task(injector.restart_box(box))

    async def _cut_off(self, injector: FaultInjector, box: BoxProcess) -> None:
        """Cut off a box, and send it requests as callers with an old address do."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_CUT_AT_S[self._direction])
        assert box.source is None
        path_cut = asyncio.ensure_future(injector.cut_off([box], self._cut, for_s=_CUT_S))
        caller = CallerStandin(
            box.zone,
            HOST,
            directories=lambda zone: (),
            next_id=lambda: f"d{len(self._asked) + 1}",
            rng=random.Random(_SCENARIO.seed),
            keep_alive=False,
            only_box=box.caller_address,
        )
        began = loop.time()
        while loop.time() < began + _CUT_S:
            number = -1 - len(self._asked)
            path = f"{path_prefix(_SCENARIO.kinds[0])}direct{number}"
            request = CallerRequestPlan(
                _SCENARIO.kinds[0].name, "GET", path, b"", True, timeout=_DEADLINE_S, retries=0
            )
            attempts = await caller.request(number, request)
            self._asked += attempts
            if loop.time() > began + _SCENARIO.bounds.contact:
                self._statuses += [attempt.status for attempt in attempts]
            await asyncio.sleep(_ASK_INTERVAL_S)
        await path_cut
        assert box.source is None


def _report(result: UpgradeResult) -> bool:
    """Print a result; return whether all went well."""
    print(f"at the box cut off: {dict(Counter(result.statuses))}")
    print(format_result(result.scenario))
    well = not result.scenario.findings and set(result.statuses) == {_OK}
    for name, text in result.logs.items():
        unexpected = [line for line in text.splitlines() if not line.startswith("{")]
        starts = text.count('"event":"started"')
        unreadable = text.count('"event":"peer-request-unreadable"')
        assisted = text.count('"event":"assisted"')
        print(f"{name}: {starts} starts, {assisted} served for peers, {unreadable} unreadable")
        for line in unexpected[:5]:
            print(f"  {line}")
        failed = unexpected or unreadable or "task-failed" in text
        well = well and starts == 2 and not failed
    return well


def main(words: Sequence[str]) -> int:
    """Run both directions with two kinds of cut; return 1 if anything was violated."""
    earlier = Path(words[0]).resolve()
    well = True
    for direction in Direction:
        for cut in (LinkState.RESET, LinkState.SILENT):
            print(f"{direction}, {cut}", flush=True)
            with tempfile.TemporaryDirectory() as folder:
                result = asyncio.run(Upgrade(earlier, direction, cut).run(Path(folder)))
            well = _report(result) and well
    return 0 if well else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
