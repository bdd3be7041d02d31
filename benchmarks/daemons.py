"""Compare calls through daemons with direct calls: ``python -m benchmarks.daemons``.

Six boxes and ten targets run as processes; targets are slowed down at random, as
by noisy neighbours.  Within one run, calls through the boxes alternate with
direct calls to the target with the fewest calls in flight, and to a random
target.  The caller sends all calls, so it knows the load of each target.
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
UTILISATION = 0.8
CALLERS = 120
ROUNDS = 4


class Rules:
    """The rules that choose the address for each call.

    Parameters
    ----------
    targets, boxes : list of str
        Addresses.
    rng : random.Random
    """

    def __init__(self, targets: list[str], boxes: list[str], rng: random.Random) -> None:
        self._targets = targets
        self._boxes = boxes
        self._rng = rng
        self._in_flight = dict.fromkeys(targets, 0)
        self._lock = threading.Lock()

    def shortest_queue(self) -> str:
        """Return the target with the fewest calls in flight."""
        with self._lock:
            target = min(self._targets, key=lambda t: (self._in_flight[t], self._rng.random()))
            self._in_flight[target] += 1
            return target

    def record_end(self, address: str) -> None:
        """Record the end of a call to a target chosen by :meth:`shortest_queue`."""
        with self._lock:
            self._in_flight[address] -= 1

    def random_target(self) -> str:
        """Return a random target."""
        return self._rng.choice(self._targets)

    def random_box(self) -> str:
        """Return a random box."""
        return self._rng.choice(self._boxes)


class Callers:
    """A pool of threads that send calls, each with connections of its own.

    Parameters
    ----------
    on_end : callable or None
        Called with the address at the end of each call.

    Attributes
    ----------
    latencies : list of float
        Of the calls that succeeded, in seconds, from the time at which each was due.
    failed : int
    """

    def __init__(self, on_end: Callable[[str], None] | None) -> None:
        self._on_end = on_end
        self._due_calls: queue.Queue[tuple[str, float] | None] = queue.Queue()
        self.latencies: list[float] = []
        self.failed = 0
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(CALLERS)]
        for thread in self._threads:
            thread.start()

    def run_round(
        self, choose: Callable[[], str], *, rate: float, seconds: float, seed: int
    ) -> None:
        """Send calls at random times and wait until all have ended.

        Parameters
        ----------
        choose : callable
            Returns the address for a call.
        rate : float
            Mean calls per second.
        seconds : float
            Duration of the round.
        seed : int
            Of the random times.
        """
        traffic = random.Random(seed)
        due = time.perf_counter()
        end = due + seconds
        while due < end:
            due += traffic.expovariate(rate)
            time.sleep(max(0.0, due - time.perf_counter()))
            self._due_calls.put((choose(), due))
        self._due_calls.join()

    def _run(self) -> None:
        connections: dict[str, Connection] = {}
        while (job := self._due_calls.get()) is not None:
            address, due = job
            try:
                if address not in connections:
                    connections[address] = Connection(address)
                connections[address].call()
                self.latencies.append(time.perf_counter() - due)
            except (OSError, RuntimeError):
                connections.pop(address, None)
                self.failed += 1
            finally:
                if self._on_end is not None:
                    self._on_end(address)
                self._due_calls.task_done()


def vary_speeds(fleet: Fleet, stopped: threading.Event) -> None:
    """Slow targets down at random, as the simulation of ``benchmarks.choice`` does."""
    rng = random.Random(7)
    phase_ends = [rng.expovariate(1 / MEAN_FULL_SPEED_S) for _ in fleet.targets]
    is_slow = [False] * len(phase_ends)
    began = time.monotonic()
    while not stopped.wait(0.01):
        now = time.monotonic() - began
        for index, end in enumerate(phase_ends):
            if now >= end:
                is_slow[index] = not is_slow[index]
                phase_ends[index] = now + rng.expovariate(
                    1 / (MEAN_SLOW_S if is_slow[index] else MEAN_FULL_SPEED_S)
                )
                slowness = 1 / SLOW_SPEED if is_slow[index] else 1.0
                fleet.set_target_faults(index, TargetFaults(slowness=slowness))


def main() -> None:
    """Measure the three routes in alternating rounds and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=6.0, help="duration of a round of each route"
    )
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
        threading.Thread(target=vary_speeds, args=(fleet, stopped), daemon=True).start()
        rate = UTILISATION * TARGETS * SLOTS * MEAN_SPEED / (WORK_MS / 1000)
        routes = {
            "shortest": rules.shortest_queue,
            "through": rules.random_box,
            "chance": rules.random_target,
        }
        callers = {n: Callers(rules.record_end if n == "shortest" else None) for n in routes}
        for number in range(ROUNDS):
            for name, choose in routes.items():
                callers[name].run_round(choose, rate=rate, seconds=arguments.seconds, seed=number)
        stopped.set()
        baseline = sorted(callers["shortest"].latencies)
        print(
            f"{rate:.0f} calls/s, {UTILISATION:.0%} busy; "
            f"shortest: p99 {quantile(baseline, 0.99):.3f} s"
        )
        for name, measured in callers.items():
            latencies = sorted(measured.latencies)
            ratios = " ".join(
                f"p{100 * q:g} {quantile(latencies, q) / quantile(baseline, q):5.2f}"
                for q in (0.5, 0.99)
            )
            print(f"{name:9} {ratios}  calls {len(latencies)}  failed {measured.failed}")


if __name__ == "__main__":
    main()
