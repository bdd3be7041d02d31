"""Compare the rule for choosing a target with baselines: ``python -m benchmarks.choice``.

Eighteen boxes' real choosers against thirty fake targets with noisy
neighbours, on a clock moved by hand and with fixed seeds.  Prints p50, p99
and p99.9 as ratios to the shortest queue with full knowledge.
"""

from __future__ import annotations

import argparse
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from benchmarks._model import MEAN_SPEED, TRAVEL_S, WORK_S, Events, FakeTarget, Job, quantile
from dunlinnotch.coordination.budgets.probes import ProbeBudget, probes_per_second
from dunlinnotch.coordination.choosing.least_load import Chooser
from dunlinnotch.coordination.choosing.subset import assign_subsets
from dunlinnotch.state.schema import Settings
from dunlinnotch.state.targets import Flight, TargetRecord

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

BOXES = 18
TARGETS = 30
BUSY = 0.85
SUBSET = 10
_WARM_S = 0.5
_PROBE_LOOK_S = 0.1
_PROBE_WORK_S = 0.006
PLACE = "hall-a"


class Rule(Protocol):
    """Chooses a target for a call at a box."""

    def choose(self, box: int) -> int:
        """Return the index of the target."""

    def ended(self, box: int, target: int, began: float, *, well: bool, load: int) -> None:
        """Take in the end of a call."""


class Random:
    """Any target, by chance."""

    def __init__(self, model: Model) -> None:
        self._model = model

    def choose(self, box: int) -> int:
        """Return the index of the target."""
        return self._model.rng.randrange(len(self._model.targets))

    def ended(self, box: int, target: int, began: float, *, well: bool, load: int) -> None:
        """Take in the end of a call."""


class RoundRobin(Random):
    """Each target in turn, on each box."""

    def __init__(self, model: Model) -> None:
        super().__init__(model)
        self._next = [model.rng.randrange(len(model.targets)) for _ in range(BOXES)]

    def choose(self, box: int) -> int:
        """Return the index of the target."""
        self._next[box] = (self._next[box] + 1) % len(self._model.targets)
        return self._next[box]


class TwoChoices(Random):
    """The one of two targets that has fewer of the box's own calls."""

    def __init__(self, model: Model) -> None:
        super().__init__(model)
        self._own = [[0] * len(model.targets) for _ in range(BOXES)]

    def choose(self, box: int) -> int:
        """Return the index of the target."""
        own = self._own[box]
        first, second = self._model.rng.sample(range(len(own)), 2)
        target = first if own[first] <= own[second] else second
        own[target] += 1
        return target

    def ended(self, box: int, target: int, began: float, *, well: bool, load: int) -> None:
        """Take in the end of a call."""
        self._own[box][target] -= 1


class FullKnowledge(Random):
    """The shortest queue, with the true counts of all boxes and no failing target."""

    def __init__(self, model: Model) -> None:
        super().__init__(model)
        self._sent = [0] * len(model.targets)
        self._sound = [i for i, t in enumerate(model.targets) if not t.fails]

    def choose(self, box: int) -> int:
        """Return the index of the target."""
        draw = self._model.rng.random
        target = min(self._sound, key=lambda i: (self._sent[i], draw()))
        self._sent[target] += 1
        return target

    def ended(self, box: int, target: int, began: float, *, well: bool, load: int) -> None:
        """Take in the end of a call."""
        self._sent[target] -= 1


class Landed:
    """The project's own choosers, one for each box, each with its subset."""

    def __init__(self, model: Model) -> None:
        self._model = model
        names = [f"box-{n}" for n in range(BOXES)]
        addresses = [target.address for target in model.targets]
        subsets = assign_subsets(names, addresses, SUBSET)
        self._choosers = []
        self._records: list[dict[int, TargetRecord]] = []
        for name in names:
            records = {
                index: TargetRecord(
                    address, PLACE, model.slots, sum(address in s for s in subsets.values())
                )
                for index, address in enumerate(addresses)
                if address in subsets[name]
            }
            chooser = Chooser(rng=model.rng)
            chooser.set_targets(records.values(), {PLACE: 1.0})
            self._choosers.append(chooser)
            self._records.append(records)
        self._flights: dict[tuple[int, float], Flight] = {}
        self._index = {address: index for index, address in enumerate(addresses)}
        self._budgets = [ProbeBudget() for _ in names]
        self._settings = Settings(slots=model.slots)
        model.events.after(_PROBE_LOOK_S, self._probe)

    def choose(self, box: int) -> int:
        """Return the index of the target."""
        now = self._model.events.now
        choice = self._choosers[box].choose(now)
        if choice is None:
            msg = "no target is left"
            raise RuntimeError(msg)
        flight = self._choosers[box].begin(choice.target, now, kind="call")
        self._flights[box, now] = flight
        return self._index[choice.target.address]

    def ended(self, box: int, target: int, began: float, *, well: bool, load: int) -> None:
        """Take in the end of a call."""
        now = self._model.events.now
        record = self._records[box][target]
        if well:
            self._choosers[box].heard(record, now, load)
        flight = self._flights.pop((box, began))
        self._choosers[box].finish(record, flight, now, kind="call", failed=not well)

    def _probe(self) -> None:
        now = self._model.events.now
        for budget, records in zip(self._budgets, self._records, strict=True):
            for index, record in records.items():
                if budget.needs_probe(record, now) and budget.try_spend(
                    record.address, self._settings, now
                ):
                    self._send_probe(budget, record, index)
        self._model.events.after(_PROBE_LOOK_S, self._probe)

    def _send_probe(self, budget: ProbeBudget, record: TargetRecord, index: int) -> None:
        self._model.probes += 1
        job = Job(_PROBE_WORK_S, lambda _well, _load: budget.record_end(record.address))
        self._model.targets[index].send(job)


RULES: dict[str, Callable[[Model], Rule]] = {
    "full knowledge": FullKnowledge,
    "landed": Landed,
    "two choices": TwoChoices,
    "random": Random,
    "round robin": RoundRobin,
}


@dataclass(slots=True)
class Model:
    """One run of one rule."""

    slots: int
    seed: int
    odd: bool
    skew: float
    targets: list[FakeTarget] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    failed: int = 0
    probes: int = 0
    events: Events = field(default_factory=Events)
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.targets = [
            FakeTarget(
                f"10.0.0.{number}:80",
                self.slots,
                self.events,
                random.Random(self.seed * 1000 + number),
                fails=self.odd and number == 0,
                lies=self.odd and number == 1,
            )
            for number in range(TARGETS)
        ]

    def run(self, make: Callable[[Model], Rule], calls: int) -> None:
        """Send ``calls`` calls by a rule."""
        rule = make(self)
        # Arrivals and work have their own generator, so each rule gets the same.
        traffic = random.Random(self.seed + 1)
        rate = BUSY * TARGETS * self.slots * MEAN_SPEED / WORK_S
        weights = [1.0 + (self.skew - 1.0) * n / (BOXES - 1) for n in range(BOXES)]
        boxes = traffic.choices(range(BOXES), weights, k=calls)
        at = 0.0
        for box in boxes:
            at += traffic.expovariate(rate)
            work = traffic.expovariate(1 / WORK_S)
            self.events.at(at, lambda box=box, work=work: self._call(rule, box, work))  # type: ignore[misc]
        self.events.run(at + 5.0)

    def _call(self, rule: Rule, box: int, work: float) -> None:
        began = self.events.now
        index = rule.choose(box)

        def received(well: bool, load: int) -> None:
            rule.ended(box, index, began, well=well, load=load)
            if began < _WARM_S:
                return
            if well:
                self.times.append(self.events.now - began)
            else:
                self.failed += 1

        def done(well: bool, load: int) -> None:
            self.events.after(TRAVEL_S, lambda: received(well, load))

        job = Job(work, done)
        self.events.after(TRAVEL_S, lambda: self._arrive(index, job))

    def _arrive(self, index: int, job: Job) -> None:
        self.targets[index].send(job)


@dataclass(frozen=True, slots=True)
class Row:
    """What one rule came to."""

    rule: str
    p50: float
    p99: float
    p999: float
    failed: float
    probes: float
    probe_share: float


def measure(name: str, *, slots: int, odd: bool, skew: float, calls: int, seed: int) -> Row:
    """Run one rule and return its figures."""
    model = Model(slots, seed, odd, skew)
    model.run(RULES[name], calls)
    times = sorted(model.times)
    ended = len(times) + model.failed
    busy = sum(target.busy_s for target in model.targets)
    return Row(
        name,
        quantile(times, 0.5),
        quantile(times, 0.99),
        quantile(times, 0.999),
        model.failed / ended,
        model.probes / ended,
        model.probes * _PROBE_WORK_S / busy,
    )


def show(title: str, rows: Sequence[Row]) -> None:
    """Print rows as ratios to the first one."""
    base = rows[0]
    print(f"\n{title}; full knowledge: p99 {base.p99 * 1000:.1f} ms")
    print(
        f"{'rule':15} {'p50':>6} {'p99':>6} {'p99.9':>6} {'failed':>8} "
        f"{'probes/call':>12} {'probe time':>11}"
    )
    for row in rows:
        ratios = f"{row.p50 / base.p50:6.2f} {row.p99 / base.p99:6.2f} {row.p999 / base.p999:6.2f}"
        costs = f"{row.failed:8.3%} {row.probes:12.5f} {row.probe_share:11.4%}"
        print(f"{row.rule:15} {ratios} {costs}")


def main() -> None:
    """Compare the rules."""
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
        for odd, skew, title in scenarios:
            rows = [
                measure(
                    name,
                    slots=slots,
                    odd=odd,
                    skew=skew,
                    calls=arguments.calls,
                    seed=arguments.seed,
                )
                for name in arguments.rules
            ]
            show(f"{slots} slots, {BUSY:.0%} busy, {title}", rows)
    budget = probes_per_second(Settings()) * BOXES
    print(f"\nprobe budget: {budget:.2f}/s for each target; took {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
