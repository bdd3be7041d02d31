"""Demonstrate the load balancer on stand-ins: ``python -m demo``.

The platform stand-in, targets of two services in two places and three boxes run
as processes.  Callers send lookups and loan requests while a weight is changed
and a box and a target are drained.  Two entry boxes then do the same on
stand-ins of the users' platform.  The demo ends by itself within 30 s.  Its exit
status is 1 if a call or a check failed.
"""

from __future__ import annotations

import json
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from demo.fleet import Fleet, kind_changes, place_changes, wait_until
from demo.users import show as show_users
from dunlinnotch.protocol.outcome import Outcome
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import BOX_PREFIX, TARGET_PREFIX, Change
from dunlinnotch.transport.caller import CallerClient, Request

CALLERS = 6
PLACES = ("hall-a", "hall-b")
STEP_S = 1.5


@dataclass(slots=True)
class Tally:
    """Counts of the calls made in one step.

    Parameters
    ----------
    calls, boxes, targets : Counter
        Calls by service and kind, by box and by target.
    lost : list of str
        Descriptions of the calls without a correct answer.
    """

    calls: Counter[str] = field(default_factory=Counter)
    boxes: Counter[str] = field(default_factory=Counter)
    targets: Counter[str] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)


class Callers:
    """Threads that call through boxes until they are stopped.

    Parameters
    ----------
    boxes : list of str
        Caller addresses of the boxes.
    """

    def __init__(self, boxes: list[str]) -> None:
        self._boxes = boxes
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._tally = Tally()
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads once their current calls have ended."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def take_tally(self) -> Tally:
        """Return the tally since the previous call of this method, and start a new one."""
        with self._lock:
            tally, self._tally = self._tally, Tally()
            return tally

    def _run(self, number: int) -> None:
        place = PLACES[number % len(PLACES)]
        client = CallerClient(self._boxes, caller=f"branch-{number}", place=place)
        count = 0
        while not self._stopped.is_set():
            count += 1
            is_loan = count % 4 == 0
            mark = f"{number}-{count}"
            request = Request(
                service="holdings" if count % 3 else "ingest",
                kind=("loan" if is_loan else "lookup") if count % 3 else "search",
                method="POST" if is_loan and count % 3 else "GET",
                body=b"{}" if is_loan and count % 3 else None,
                headers={"X-Mark": mark},
                at_most_once=bool(is_loan and count % 3),
            )
            self._send(client, request, mark)

    def _send(self, client: CallerClient, request: Request, mark: str) -> None:
        result = client.call(request)
        succeeded = result.outcome is Outcome.ANSWERED and result.status == 200
        correct = succeeded and json.loads(result.data)["mark"] == mark
        with self._lock:
            self._tally.calls[f"{request.service}/{request.kind}"] += 1
            self._tally.boxes[result.box] += 1
            self._tally.targets[result.target] += 1
            if not correct:
                self._tally.lost.append(f"{request.kind} {mark}: {result}")


class Demo:
    """The steps of the demo.

    Parameters
    ----------
    fleet : Fleet

    Attributes
    ----------
    lost : int
        Calls and checks that failed.
    names : dict
        Names for printing, by target address.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.lost = 0
        self.names: dict[str, str] = {}

    def run(self) -> int:
        """Run all steps; return the number of calls and checks that failed."""
        fleet = self.fleet
        fleet.start_platform()
        holdings = {place: fleet.start_targets(3) for place in PLACES}
        ingest = {place: fleet.start_targets(1) for place in PLACES}
        fleet.start_boxes({"box-1": "hall-a", "box-2": "hall-b", "box-3": "hall-a"})
        fleet.wait_for_membership(3)
        for place in PLACES:
            for number, address in enumerate((*holdings[place], *ingest[place]), 1):
                self.names[address] = f"{place}/target-{number}"
        self._edit("configure two services in two places", *self._initial_changes(holdings, ingest))
        callers = Callers([box.caller for box in fleet.boxes.values()])
        callers.start()
        try:
            self._show(callers, "normal operation")
            self._edit("weight of hall-b 1 -> 0.25", Change("hall-b/holdings", "weight", "0.25"))
            callers.take_tally()
            self._show(callers, "hall-b at a quarter of its weight")
            drained = holdings["hall-a"][0]
            state = RunState.DRAINING
            self._edit("drain a target", Change(TARGET_PREFIX + drained, "state", state))
            time.sleep(0.5)
            callers.take_tally()
            tally = self._show(callers, f"{self.names[drained]} drained")
            self._check(drained not in tally.targets, "the drained target received no new calls")
            self._edit("drain box-3", Change(BOX_PREFIX + "box-3", "state", state))
            box = fleet.boxes["box-3"].process.popen
            wait_until(lambda: box.poll() is not None, what="box-3 exits", timeout=12)
            self._check(
                box.returncode == 0, "box-3 waited for its callers and exited with status 0"
            )
            callers.take_tally()
            tally = self._show(callers, "box-3 stopped")
            self._check("box-3" not in tally.boxes, "no caller uses box-3 any more")
        finally:
            callers.stop()
        self._show_log()
        return self.lost

    def _initial_changes(
        self, holdings: dict[str, list[str]], ingest: dict[str, list[str]]
    ) -> list[Change]:
        changes = [Change("/", "keep_s", "2"), Change("/", "boxes_max", "3")]
        for place in PLACES:
            changes += place_changes(place, "holdings", holdings[place])
            changes += place_changes(place, "ingest", ingest[place])
        changes += kind_changes("holdings", "lookup", repeatable="yes", rank=1)
        changes += kind_changes("holdings", "loan", repeatable="no")
        changes += kind_changes("ingest", "search", repeatable="yes")
        return changes

    def _edit(self, title: str, *changes: Change) -> None:
        began = time.monotonic()
        result = self.fleet.edit("box-1", *changes)
        took = time.monotonic() - began
        print(f"\n== {title}: {result.status}, version {result.version}, {took * 1000:.0f} ms")
        running_boxes = [n for n, b in self.fleet.boxes.items() if b.process.popen.poll() is None]
        versions = {n: self.fleet.operator(n).status().version for n in running_boxes}
        print("   version in force:", ", ".join(f"{n} {v}" for n, v in versions.items()))

    def _show(self, callers: Callers, title: str) -> Tally:
        time.sleep(STEP_S)
        tally = callers.take_tally()
        self.lost += len(tally.lost) + (not tally.calls)
        print(f"-- {title}: {sum(tally.calls.values())} calls, {len(tally.lost)} lost")
        print("   kinds:  ", _counts(tally.calls))
        print("   boxes:  ", _counts(tally.boxes))
        by_name = Counter({self.names.get(t, t): n for t, n in tally.targets.items()})
        print("   targets:", _counts(by_name))
        for line in tally.lost[:5]:
            print("   LOST:", line)
        return tally

    def _check(self, passed: bool, what: str) -> None:
        print(f"   {'ok' if passed else 'FAILED'}: {what}")
        self.lost += not passed

    def _show_log(self) -> None:
        lines = self.fleet.boxes["box-1"].process.log.read_text(encoding="utf-8").splitlines()
        print("\n== examples of log lines of box-1")
        for name in ("route", "addresses", "settings-in-force"):
            print("  ", next((x for x in reversed(lines) if f'"event":"{name}"' in x), "none"))


def _counts(counter: Counter[str]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counter.items()))


def main() -> int:
    """Run the demo; return its exit status."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        lost = Demo(fleet).run()
        lost += show_users(Path(directory))
    took = time.monotonic() - began
    print(f"\n{'all calls answered' if not lost else f'{lost} FAILED'} in {took:.1f} s")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
