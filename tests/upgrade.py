"""Replace the boxes of one version by those of another, one by one, under load and amid a cut.

``python -m tests.upgrade DIRECTORY`` takes a directory with an earlier version of the program
and runs scenarios with real processes, from it to this one and back.  It exits with 0 only if
the checker finds no violation, no box stops by itself, and one box of this version, which loses
the path to all targets while both versions run side by side, answers all requests.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from dunlinnotch.lab.checker import Observations, find_violations
from dunlinnotch.lab.faults import FaultInjector
from dunlinnotch.lab.fleet import HOST, Fleet, path_prefix
from dunlinnotch.lab.link import LinkState
from dunlinnotch.lab.report import format_result, summarise
from dunlinnotch.lab.run import LoadGenerator
from dunlinnotch.lab.scenario import KindPlan, Scenario, ServicePlan
from dunlinnotch.standins.users.caller import AttemptRecord

_LENGTH_S, _STEP_S = 29.0, 3.5
_CUT_S, _ASK_INTERVAL_S, _DEADLINE_S = 9.0, 0.05, 2.0
#: Time from the start to the cut: of the six boxes, three run this version at its begin or end.
_CUT_AT_S = {"to-this": 16.5, "to-earlier": 4.0}
SCENARIO = Scenario(
    name="upgrade",
    seed=3,
    length_s=_LENGTH_S,
    boxes=6,
    services=(ServicePlan(name="records", targets=6, slots=6),),
    kinds=(
        KindPlan(name="lookup", service="records", repeatable=True, per_s=60, retries=0),
        KindPlan(name="payment", service="records", repeatable=False, per_s=30, retries=0),
    ),
)


async def upgrade(earlier, directory, direction, state):
    """Run one scenario; return its result and the texts of the logs."""
    loop = asyncio.get_running_loop()
    before, after = (earlier, None) if direction == "to-this" else (None, earlier)
    fleet = Fleet(SCENARIO, directory)
    fleet.initial_source = before
    async with fleet:
        injector = FaultInjector(fleet)
        generator = LoadGenerator(fleet, injector)
        started_at = loop.time()
        statuses, asked = [], []

        async def replace_all():
            boxes = fleet.boxes if direction == "to-this" else fleet.boxes[::-1]
            async with asyncio.TaskGroup() as restarts:
                for box in boxes:
                    await asyncio.sleep(_STEP_S)
                    box.source = after
                    restarts.create_task(injector.restart_box(box))

        async def cut():
            await asyncio.sleep(_CUT_AT_S[direction])
            # The first box is replaced first on the way to this version, and last on the way back.
            assert fleet.boxes[0].source is None
            box = fleet.boxes[0]
            path_cut = asyncio.ensure_future(injector.cut_off([box], state, for_s=_CUT_S))
            number = 0
            began = loop.time()
            while loop.time() < began + _CUT_S:
                number += 1
                status = await ask(box, number, asked)
                if loop.time() > began + SCENARIO.bounds.contact:
                    statuses.append(status)
                await asyncio.sleep(_ASK_INTERVAL_S)
            await path_cut
            assert box.source is None

        tasks = [asyncio.ensure_future(task) for task in (replace_all(), cut())]
        await generator.run_until(started_at + SCENARIO.length_s)
        ended_at = loop.time()
        await asyncio.gather(*tasks)
        observations = Observations(
            scenario=SCENARIO,
            started_at=started_at,
            ended_at=ended_at,
            attempts=generator.attempts,
            targets=[*fleet.targets, *fleet.terminated],
            fault_windows=injector.fault_windows,
            route_changes=fleet.route_changes,
            stops=injector.stops,
            cuts=injector.cuts,
            abandoned=asked,
        )
        result = summarise(
            observations,
            find_violations(observations),
            store_calls=fleet.store.calls,
            tool_late=generator.max_send_delay,
        )
        return result, statuses, {box.name: box.read_log() for box in fleet.boxes}


async def ask(box, number, asked):
    """Send one request straight to a box, as callers with an old address do; return the status."""
    kind = SCENARIO.kinds[0]
    path = f"{path_prefix(kind)}direct-{number}"
    host, _, port = box.caller_address.rpartition(":")
    now = asyncio.get_running_loop().time()
    record = AttemptRecord(-number, f"d{number}", kind.name, box.caller_address, "GET", path, now)
    record.deadline = now + _DEADLINE_S
    asked.append(record)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [
            f"GET {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Attempt-Id: d{number}",
            f"Deadline-Ms: {_DEADLINE_S * 1000:.0f}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        return int((await reader.readline()).split()[1])
    finally:
        writer.close()


def main(words):
    """Run both directions with two kinds of cut; return 1 if anything was violated."""
    earlier = Path(words[0]).resolve()
    failed = False
    for direction in ("to-this", "to-earlier"):
        for state in (LinkState.RESET, LinkState.SILENT):
            with tempfile.TemporaryDirectory() as folder:
                result, statuses, logs = asyncio.run(
                    upgrade(earlier, Path(folder), direction, state)
                )
            print(f"{direction}, {state.value}: at the box cut off {Counter(statuses)}")
            print(format_result(result))
            for name, text in logs.items():
                bad = [line for line in text.splitlines() if not line.startswith("{")]
                starts = text.count('"event":"started"')
                refused = text.count('"event":"peer-request-unreadable"')
                passed = text.count('"event":"assisted"')
                print(f"{name}: {starts} starts, {passed} served for peers, {refused} unreadable")
                failed |= bool(bad) or starts != 2 or bool(refused) or "task-failed" in text
                for line in bad[:5]:
                    print(f"  {line}")
            failed |= bool(result.findings) or set(statuses) != {200}
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
