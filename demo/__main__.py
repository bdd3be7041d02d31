"""Run the main job on embedded stand-ins and show what each step did.

Platform, targets of two services in two places and three boxes run as plain
processes of their own.  Callers send lookups and loan requests while a weight
is changed and a box and a target are drained.  Then two entry
boxes show the same on the users' platform.  Ends by itself within 30 s;
the exit status is 1 if a call was lost.
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
    """What callers saw in one step."""

    calls: Counter[str] = field(default_factory=Counter)
    boxes: Counter[str] = field(default_factory=Counter)
    targets: Counter[str] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)


class Callers:
    """Callers that ask for addresses, keep the answer and connect there."""

    def __init__(self, boxes: list[str]) -> None:
        self._boxes = boxes
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._tally = Tally()
        self._threads = [
            threading.Thread(target=self._run, args=(number,)) for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the calls in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def take(self) -> Tally:
        """Return the tally since the last one was taken."""
        with self._lock:
            tally, self._tally = self._tally, Tally()
            return tally

    def _run(self, number: int) -> None:
        place = PLACES[number % len(PLACES)]
        client = CallerClient(self._boxes, caller=f"branch-{number}", place=place)
        count = 0
        while not self._stopped.is_set():
            count += 1
            loan = count % 4 == 0
            mark = f"{number}-{count}"
            request = Request(
                service="holdings" if count % 3 else "ingest",
                kind=("loan" if loan else "lookup") if count % 3 else "search",
                method="POST" if loan and count % 3 else "GET",
                body=b"{}" if loan and count % 3 else None,
                headers={"X-Mark": mark},
                at_most_once=bool(loan and count % 3),
            )
            self._note(client, request, mark)

    def _note(self, client: CallerClient, request: Request, mark: str) -> None:
        result = client.call(request)
        answered = result.outcome is Outcome.ANSWERED and result.status == 200
        own = answered and json.loads(result.data)["mark"] == mark
        with self._lock:
            self._tally.calls[f"{request.service}/{request.kind}"] += 1
            self._tally.boxes[result.box] += 1
            self._tally.targets[result.target] += 1
            if not own:
                self._tally.lost.append(f"{request.kind} {mark}: {result}")


class Demo:
    """The steps shown."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.lost = 0
        self.names: dict[str, str] = {}

    def run(self) -> int:
        """Run all steps; return the number of calls lost."""
        fleet = self.fleet
        fleet.start_platform()
        holdings = {place: fleet.start_targets(3) for place in PLACES}
        ingest = {place: fleet.start_targets(1) for place in PLACES}
        fleet.start_boxes({"box-1": "hall-a", "box-2": "hall-b", "box-3": "hall-a"})
        fleet.wait_for_membership(3)
        for place in PLACES:
            for number, address in enumerate((*holdings[place], *ingest[place]), 1):
                self.names[address] = f"{place}/target-{number}"
        self._edit("put two services into two places", *self._first_tree(holdings, ingest))
        callers = Callers([box.caller for box in fleet.boxes.values()])
        callers.start()
        try:
            self._show(callers, "all as usual")
            self._edit("weight of hall-b 1 -> 0.25", Change("hall-b/holdings", "weight", "0.25"))
            callers.take()
            self._show(callers, "a quarter for hall-b")
            drained = holdings["hall-a"][0]
            state = RunState.DRAINING
            self._edit("drain a target", Change(TARGET_PREFIX + drained, "state", state))
            time.sleep(0.5)
            callers.take()
            tally = self._show(callers, f"{self.names[drained]} drained")
            self._check(drained not in tally.targets, "the drained target got no new work")
            self._edit("drain box-3", Change(BOX_PREFIX + "box-3", "state", state))
            box = fleet.boxes["box-3"].process.popen
            wait_until(lambda: box.poll() is not None, what="box-3 has ended", timeout=12)
            self._check(box.returncode == 0, "box-3 waited for its callers and ended with status 0")
            callers.take()
            tally = self._show(callers, "box-3 gone")
            self._check("box-3" not in tally.boxes, "no caller uses box-3 any more")
        finally:
            callers.stop()
        self._show_log()
        return self.lost

    def _first_tree(
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
        running = [n for n, b in self.fleet.boxes.items() if b.process.popen.poll() is None]
        versions = {n: self.fleet.operator(n).status().version for n in running}
        print("   version in force:", ", ".join(f"{n} {v}" for n, v in versions.items()))

    def _show(self, callers: Callers, title: str) -> Tally:
        time.sleep(STEP_S)
        tally = callers.take()
        self.lost += len(tally.lost) + (not tally.calls)
        print(f"-- {title}: {sum(tally.calls.values())} calls, {len(tally.lost)} lost")
        print("   kinds:  ", _counts(tally.calls))
        print("   boxes:  ", _counts(tally.boxes))
        named = Counter({self.names.get(t, t): n for t, n in tally.targets.items()})
        print("   targets:", _counts(named))
        for line in tally.lost[:5]:
            print("   LOST:", line)
        return tally

    def _check(self, held: bool, what: str) -> None:
        print(f"   {'ok' if held else 'FAILED'}: {what}")
        self.lost += not held

    def _show_log(self) -> None:
        lines = self.fleet.boxes["box-1"].process.log.read_text(encoding="utf-8").splitlines()
        print("\n== some decision lines of box-1")
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
