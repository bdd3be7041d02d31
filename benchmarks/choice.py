"""Compare the rule for choosing a target with baselines: ``python -m benchmarks.choice``.

The choosers of eighteen boxes send calls to thirty simulated targets with noisy
neighbours, on a discrete-event clock and with fixed seeds.  Prints the latencies
p50, p99 and p99.9 as ratios to the shortest queue with full knowledge.
"""

from __future__ import annotations

import argparse
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from benchmarks._model import (
    MEAN_SPEED,
    MEAN_WORK_S,
    ONE_WAY_DELAY_S,
    EventQueue,
    FakeTarget,
    Job,
    quantile,
)
from dunlinnotch.coordination.budgets.probes import ProbeBudget, probes_per_second
from dunlinnotch.coordination.choosing.least_load import Chooser
from dunlinnotch.coordination.choosing.subset import assign_subsets
from dunlinnotch.state.schema import Settings
from dunlinnotch.state.targets import Flight, TargetRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

BOXES = 18
TARGETS = 30
#: Offered load as a share of the capacity of all targets.
UTILISATION = 0.85
SUBSET_SIZE = 10
_WARM_UP_S = 0.5
_PROBE_INTERVAL_S = 0.1
_PROBE_WORK_S = 0.006
PLACE = "hall-a"


class Rule(Protocol):
    """A rule that chooses a target for each call."""

    def choose(self, box: int) -> int:
        """Return the index of the target for a call at a box."""

    def end_call(self, box: int, target: int, began: float, *, succeeded: bool, load: int) -> None:
        """Record the end of a call."""


class Random:
    """Choose a target at random."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation

    def choose(self, box: int) -> int:
        """Return the index of the target for a call at a box."""
        return self._simulation.rng.randrange(len(self._simulation.targets))

    def end_call(self, box: int, target: int, began: float, *, succeeded: bool, load: int) -> None:
        """Record the end of a call."""


class RoundRobin(Random):
    """Choose the targets in turn, separately on each box."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._next = [simulation.rng.randrange(len(simulation.targets)) for _ in range(BOXES)]

    def choose(self, box: int) -> int:
        """Return the index of the target for a call at a box."""
        self._next[box] = (self._next[box] + 1) % len(self._simulation.targets)
        return self._next[box]


class TwoChoices(Random):
    """Choose the one of two random targets with fewer calls of the box in flight."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._in_flight = [[0] * len(simulation.targets) for _ in range(BOXES)]

    def choose(self, box: int) -> int:
        """Return the index of the target for a call at a box."""
        in_flight = self._in_flight[box]
        first, second = self._simulation.rng.sample(range(len(in_flight)), 2)
        target = first if in_flight[first] <= in_flight[second] else second
        in_flight[target] += 1
        return target

    def end_call(self, box: int, target: int, began: float, *, succeeded: bool, load: int) -> None:
        """Record the end of a call."""
        self._in_flight[box][target] -= 1


class FullKnowledge(Random):
    """Choose the healthy target with the fewest calls in flight of all boxes."""

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._sent = [0] * len(simulation.targets)
        self._healthy = [i for i, t in enumerate(simulation.targets) if not t.fails]

    def choose(self, box: int) -> int:
        """Return the index of the target for a call at a box."""
        tie_break = self._simulation.rng.random
        target = min(self._healthy, key=lambda i: (self._sent[i], tie_break()))
        self._sent[target] += 1
        return target

    def end_call(self, box: int, target: int, began: float, *, succeeded: bool, load: int) -> None:
        """Record the end of a call."""
        self._sent[target] -= 1


class BalancerRule:
    """The choosers of the balancer, one per box, each with its subset of the targets."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        names = [f"box-{n}" for n in range(BOXES)]
        addresses = [target.address for target in simulation.targets]
        subsets = assign_subsets(names, addresses, SUBSET_SIZE)
        self._choosers = []
        self._records: list[dict[int, TargetRecord]] = []
        for name in names:
            records = {
                index: TargetRecord(
                    address, PLACE, simulation.slots, sum(address in s for s in subsets.values())
                )
                for index, address in enumerate(addresses)
                if address in subsets[name]
            }
            chooser = Chooser(rng=simulation.rng)
            chooser.set_targets(records.values(), {PLACE: 1.0})
            self._choosers.append(chooser)
            self._records.append(records)
        self._flights: dict[tuple[int, float], Flight] = {}
        self._index = {address: index for index, address in enumerate(addresses)}
        self._budgets = [ProbeBudget() for _ in names]
        self._settings = Settings(slots=simulation.slots)
        simulation.events.after(_PROBE_INTERVAL_S, self._probe)

    def choose(self, box: int) -> int:
        """Return the index of the target for a call at a box."""
        now = self._simulation.events.now
        choice = self._choosers[box].choose(now)
        if choice is None:
            msg = f"box {box} has no target to choose"
            raise RuntimeError(msg)
        flight = self._choosers[box].begin(choice.target, now, kind="call")
        self._flights[box, now] = flight
        return self._index[choice.target.address]

    def end_call(self, box: int, target: int, began: float, *, succeeded: bool, load: int) -> None:
        """Record the end of a call."""
        now = self._simulation.events.now
        record = self._records[box][target]
        if succeeded:
            self._choosers[box].heard(record, now, load)
        flight = self._flights.pop((box, began))
        self._choosers[box].finish(record, flight, now, kind="call", failed=not succeeded)

    def _probe(self) -> None:
        now = self._simulation.events.now
        for budget, records in zip(self._budgets, self._records, strict=True):
            for index, record in records.items():
                if budget.needs_probe(record, now) and budget.try_spend(
                    record.address, self._settings, now
                ):
                    self._send_probe(budget, record, index)
        self._simulation.events.after(_PROBE_INTERVAL_S, self._probe)

    def _send_probe(self, budget: ProbeBudget, record: TargetRecord, index: int) -> None:
        self._simulation.probes += 1
        job = Job(_PROBE_WORK_S, lambda _succeeded, _load: budget.record_end(record.address))
        self._simulation.targets[index].send(job)


RULES: dict[str, Callable[[Simulation], Rule]] = {
    "full knowledge": FullKnowledge,
    "landed": BalancerRule,
    "two choices": TwoChoices,
    "random": Random,
    "round robin": RoundRobin,
}


@dataclass(slots=True)
class Simulation:
    """One run of one rule.

    Parameters
    ----------
    slots : int
        Of each target.
    seed : int
    faulty : bool
        One target fails fast and another reports no load.
    skew : float
        Calls of the busiest box relative to the least busy one.

    Attributes
    ----------
    latencies : list of float
        Of the calls that succeeded after the warm-up, in seconds.
    failed : int
        Calls that failed after the warm-up.
    probes : int
        Probes sent.
    """

    slots: int
    seed: int
    faulty: bool
    skew: float
    targets: list[FakeTarget] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    failed: int = 0
    probes: int = 0
    events: EventQueue = field(default_factory=EventQueue)
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.targets = [
            FakeTarget(
                f"10.0.0.{number}:80",
                self.slots,
                self.events,
                random.Random(self.seed * 1000 + number),
                fails=self.faulty and number == 0,
                reports_no_load=self.faulty and number == 1,
            )
            for number in range(TARGETS)
        ]

    def run(self, make_rule: Callable[[Simulation], Rule], calls: int) -> None:
        """Send ``calls`` calls to the targets that a rule chooses."""
        rule = make_rule(self)
        # A separate generator, so that all rules receive the same calls.
        traffic = random.Random(self.seed + 1)
        rate = UTILISATION * TARGETS * self.slots * MEAN_SPEED / MEAN_WORK_S
        weights = [1.0 + (self.skew - 1.0) * n / (BOXES - 1) for n in range(BOXES)]
        boxes = traffic.choices(range(BOXES), weights, k=calls)
        at = 0.0
        for box in boxes:
            at += traffic.expovariate(rate)
            work = traffic.expovariate(1 / MEAN_WORK_S)
            self.events.at(at, lambda box=box, work=work: self._call(rule, box, work))  # type: ignore[misc]
        self.events.run(at + 5.0)

    def _call(self, rule: Rule, box: int, work: float) -> None:
        began = self.events.now
        index = rule.choose(box)

        def received(succeeded: bool, load: int) -> None:
            rule.end_call(box, index, began, succeeded=succeeded, load=load)
            if began < _WARM_UP_S:
                return
            if succeeded:
                self.latencies.append(self.events.now - began)
            else:
                self.failed += 1

        def on_done(succeeded: bool, load: int) -> None:
            self.events.after(ONE_WAY_DELAY_S, lambda: received(succeeded, load))

        job = Job(work, on_done)
        self.events.after(ONE_WAY_DELAY_S, lambda: self._arrive(index, job))

    def _arrive(self, index: int, job: Job) -> None:
        self.targets[index].send(job)


@dataclass(frozen=True, slots=True)
class Result:
    """Results of one rule.

    Parameters
    ----------
    rule : str
    p50, p99, p999 : float
        Quantiles of the latency, in seconds.
    failed : float
        Share of the calls that failed.
    probes : float
        Probes per call.
    probe_share : float
        Share of the targets' processing time that was spent on probes.
    """

    rule: str
    p50: float
    p99: float
    p999: float
    failed: float
    probes: float
    probe_share: float


def measure(name: str, *, slots: int, faulty: bool, skew: float, calls: int, seed: int) -> Result:
    """Run one rule and return its results."""
    simulation = Simulation(slots, seed, faulty, skew)
    simulation.run(RULES[name], calls)
    latencies = sorted(simulation.latencies)
    ended = len(latencies) + simulation.failed
    total_busy_s = sum(target.busy_s for target in simulation.targets)
    return Result(
        name,
        quantile(latencies, 0.5),
        quantile(latencies, 0.99),
        quantile(latencies, 0.999),
        simulation.failed / ended,
        simulation.probes / ended,
        simulation.probes * _PROBE_WORK_S / total_busy_s,
    )


def print_results(title: str, results: Sequence[Result]) -> None:
    """Print results as ratios to the first one."""
    base = results[0]
    print(f"\n{title}; full knowledge: p99 {base.p99 * 1000:.1f} ms")
    print(
        f"{'rule':15} {'p50':>6} {'p99':>6} {'p99.9':>6} {'failed':>8} "
        f"{'probes/call':>12} {'probe time':>11}"
    )
    for row in results:
        ratios = f"{row.p50 / base.p50:6.2f} {row.p99 / base.p99:6.2f} {row.p999 / base.p999:6.2f}"
        costs = f"{row.failed:8.3%} {row.probes:12.5f} {row.probe_share:11.4%}"
        print(f"{row.rule:15} {ratios} {costs}")


def main() -> None:
    """Run all scenarios with each rule and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=60_000)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--rules", nargs="*", default=list(RULES))
    arguments = parser.parse_args()
    began = time.monotonic()
    scenarios = [
        (False, 1.0, "noisy"),
        (True, 1.0, "noisy, one fails fast, one lies"),
        (False, 6.0, "noisy, callers 6 to 1"),
    ]
    for slots in (6, 3):
        for faulty, skew, title in scenarios:
            results = [
                measure(
                    name,
                    slots=slots,
                    faulty=faulty,
                    skew=skew,
                    calls=arguments.calls,
                    seed=arguments.seed,
                )
                for name in arguments.rules
            ]
            print_results(f"{slots} slots, {UTILISATION:.0%} busy, {title}", results)
    budget = probes_per_second(Settings()) * BOXES
    print(f"\nprobe budget: {budget:.2f}/s for each target; took {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
