"""The landed rule through real daemons: ``python -m benchmarks.daemons``.

Six boxes and ten targets as processes, noisy neighbours at the targets'
fault ports.  Within one run, calls by way of the boxes take turns with direct
calls by two rules of a caller that sees all calls: the shortest queue, which
is full knowledge here, and chance.
"""

from __future__ import annotations

import argparse
import queue
import random
import tempfile
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

from benchmarks._model import MEAN_FULL_SPEED_S, MEAN_SLOW_S, MEAN_SPEED, SLOW_SPEED, quantile
from benchmarks.hop import Connection
from demo.fleet import Fleet, kind_changes, place_changes
from dunlinnotch.standins.target import TargetFaults
from dunlinnotch.state.tree import Change

if TYPE_CHECKING:
    from collections.abc import Callable

BOXES = 6
TARGETS = 10
SLOTS = 3
WORK_MS = 60.0
BUSY = 0.8
CALLERS = 120
ROUNDS = 4


class Rules:
    """Where each call goes."""

    def __init__(self, targets: list[str], boxes: list[str], rng: random.Random) -> None:
        self._targets = targets
        self._boxes = boxes
        self._rng = rng
        self._sent = dict.fromkeys(targets, 0)
        self._lock = threading.Lock()

    def shortest(self) -> str:
        """Return the target with the fewest calls in flight."""
        with self._lock:
            target = min(self._targets, key=lambda t: (self._sent[t], self._rng.random()))
            self._sent[target] += 1
            return target

    def ended(self, address: str) -> None:
        """Count out a call that :meth:`shortest` counted in."""
        with self._lock:
            self._sent[address] -= 1

    def chance(self) -> str:
        """Return any target."""
        return self._rng.choice(self._targets)

    def through(self) -> str:
        """Return any box."""
        return self._rng.choice(self._boxes)


class Callers:
    """Threads that call when told to, each with connections of its own."""

    def __init__(self, ended: Callable[[str], None] | None) -> None:
        self._ended = ended
        self._due: queue.Queue[tuple[str, float] | None] = queue.Queue()
        self.times: list[float] = []
        self.failed = 0
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(CALLERS)]
        for thread in self._threads:
            thread.start()

    def round(self, pick: Callable[[], str], *, rate: float, seconds: float, seed: int) -> None:
        """Send calls at a rate for some time and wait for their ends."""
        traffic = random.Random(seed)
        due = time.perf_counter()
        end = due + seconds
        while due < end:
            due += traffic.expovariate(rate)
            time.sleep(max(0.0, due - time.perf_counter()))
            self._due.put((pick(), due))
        self._due.join()

    def _run(self) -> None:
        connections: dict[str, Connection] = {}
        while (job := self._due.get()) is not None:
            address, due = job
            try:
                if address not in connections:
                    connections[address] = Connection(address)
                connections[address].call()
                self.times.append(time.perf_counter() - due)
            except (OSError, RuntimeError):
                connections.pop(address, None)
                self.failed += 1
            finally:
                if self._ended is not None:
                    self._ended(address)
                self._due.task_done()


def disturb(fleet: Fleet, stopped: threading.Event) -> None:
    """Slow targets down now and then, as the model of ``benchmarks.choice`` does."""
    rng = random.Random(7)
    ends = [rng.expovariate(1 / MEAN_FULL_SPEED_S) for _ in fleet.targets]
    slow = [False] * len(ends)
    began = time.monotonic()
    while not stopped.wait(0.01):
        now = time.monotonic() - began
        for index, end in enumerate(ends):
            if now >= end:
                slow[index] = not slow[index]
                ends[index] = now + rng.expovariate(
                    1 / (MEAN_SLOW_S if slow[index] else MEAN_FULL_SPEED_S)
                )
                slowness = 1 / SLOW_SPEED if slow[index] else 1.0
                fleet.set_target_faults(index, TargetFaults(slowness=slowness))


def main() -> None:
    """Compare the three ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0, help="of each way in each round")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.start_platform()
        targets = fleet.start_targets(TARGETS, slots=SLOTS, work_ms=WORK_MS)
        fleet.start_boxes({f"box-{n}": "hall-a" for n in range(BOXES)})
        fleet.wait_for_membership(BOXES)
        fleet.edit(
            "box-0",
            Change("/", "boxes_max", str(BOXES)),
            *place_changes("hall-a", "holdings", targets, slots=SLOTS),
            *kind_changes("holdings", "lookup", repeatable="yes", queue_ms=5000),
        )
        rules = Rules(targets, [box.caller for box in fleet.boxes.values()], random.Random(7))
        stopped = threading.Event()
        threading.Thread(target=disturb, args=(fleet, stopped), daemon=True).start()
        rate = BUSY * TARGETS * SLOTS * MEAN_SPEED / (WORK_MS / 1000)
        ways = {"shortest": rules.shortest, "through": rules.through, "chance": rules.chance}
        callers = {n: Callers(rules.ended if n == "shortest" else None) for n in ways}
        for number in range(ROUNDS):
            for name, pick in ways.items():
                callers[name].round(pick, rate=rate, seconds=arguments.seconds, seed=number)
        stopped.set()
        base = sorted(callers["shortest"].times)
        print(f"{rate:.0f} calls/s, {BUSY:.0%} busy; shortest: p99 {quantile(base, 0.99):.3f} s")
        for name, one in callers.items():
            times = sorted(one.times)
            ratios = " ".join(
                f"p{100 * q:g} {quantile(times, q) / quantile(base, q):5.2f}" for q in (0.5, 0.99)
            )
            print(f"{name:9} {ratios}  calls {len(times)}  failed {one.failed}")


if __name__ == "__main__":
    main()
