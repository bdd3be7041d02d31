"""Load a service beyond what it can do: ``python -m benchmarks.overload``.

Eighteen boxes' real pools (queue, choice, limits, retries) against thirty fake
targets that shed, on a clock moved by hand and with fixed seeds, at 0.8, 1.2
and 2 times the capacity.  Goodput counts answers within the deadline.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks._model import MEAN_SPEED, TRAVEL_S, WORK_S, Events, FakeTarget, Job, quantile
from dunlinnotch.coordination.choosing.limits import Grant, Ticket, TicketState
from dunlinnotch.coordination.choosing.pool import ServicePool
from dunlinnotch.coordination.choosing.subset import assign_subsets
from dunlinnotch.protocol.attempt import LoadReport
from dunlinnotch.state.schema import Settings
from dunlinnotch.state.targets import TargetRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

BOXES = 18
TARGETS = 30
SUBSET = 10
LOADS = (0.8, 1.2, 2.0)
PLACE = "hall-a"
_WARM_S = 0.5
_PUMP_S = 0.005
#: Calls that wait at a target before it sheds.
_TARGET_QUEUE = 12


@dataclass(frozen=True, slots=True)
class Kind:
    """A request kind and its part of the traffic."""

    name: str
    part: float
    rank: int
    share: float
    repeatable: bool
    deadline_s: float = 2.0


KINDS = (
    Kind("check", 0.20, 0, 1.0, repeatable=True),
    Kind("lookup", 0.45, 5, 3.0, repeatable=True),
    Kind("dues", 0.15, 5, 1.0, repeatable=False),
    Kind("upload", 0.20, 7, 1.0, repeatable=False),
)


@dataclass(slots=True, eq=False)
class Call:
    """One call under way."""

    number: int
    kind: Kind
    box: int
    work: float
    began: float
    tried: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Result:
    """What one load came to."""

    offered: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    times: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    runs: Counter[int] = field(default_factory=Counter)
    once: set[int] = field(default_factory=set)
    retries: int = 0
    seconds: float = 0.0
    in_window: int = 0

    def goodput(self) -> float:
        """Return good answers a second, of those that came while calls did."""
        return self.in_window / self.seconds

    def p99(self, kind: str) -> float:
        """Return the p99 of one kind, in seconds."""
        return quantile(sorted(self.times[kind]), 0.99)

    def run_twice(self) -> int:
        """Return the calls that may not be repeated and ran more than once."""
        return sum(self.runs[number] > 1 for number in self.once)


class Overload:
    """One run at one load."""

    def __init__(self, *, slots: int, load: float, seed: int, settings: Settings) -> None:
        self.events = Events()
        self.result = Result()
        self._load = load
        self._until = 0.0
        self._rng = random.Random(seed)
        self._traffic = random.Random(seed + 1)
        self._settings = settings
        self._slots = slots
        self.targets = {
            f"10.0.0.{n}:80": FakeTarget(
                f"10.0.0.{n}:80",
                slots,
                self.events,
                random.Random(seed * 1000 + n),
                queue_max=_TARGET_QUEUE,
            )
            for n in range(TARGETS)
        }
        self.pools = self._make_pools()
        self._pumping = [False] * BOXES

    def _make_pools(self) -> list[ServicePool]:
        names = [f"box-{n}" for n in range(BOXES)]
        subsets = assign_subsets(names, list(self.targets), SUBSET)
        pools = []
        for name in names:
            pool = ServicePool("rolls", clock=lambda: self.events.now, rng=self._rng)
            records = [
                TargetRecord(a, PLACE, self._slots, sum(a in s for s in subsets.values()))
                for a in sorted(subsets[name])
            ]
            pool.configure(records, shares={PLACE: 1.0}, settings=self._settings)
            pools.append(pool)
        return pools

    @property
    def capacity(self) -> float:
        """Calls a second that the targets can do."""
        return TARGETS * self._slots * MEAN_SPEED / WORK_S

    def run(self, seconds: float) -> Result:
        """Send calls for a time and return what came of them."""
        rate = self._load * self.capacity
        self._until = seconds
        kinds = {kind.name: kind for kind in KINDS}
        at, number = 0.0, 0
        while at < seconds:
            number += 1
            at += self._traffic.expovariate(rate)
            name = self._traffic.choices(list(kinds), [k.part for k in KINDS])[0]
            work = self._traffic.expovariate(1 / WORK_S)
            call = Call(number, kinds[name], self._traffic.randrange(BOXES), work, at)
            self.events.at(at, lambda call=call: self._arrive(call))  # type: ignore[misc]
        self.events.run(seconds + 10.0)
        self.result.seconds = seconds - _WARM_S
        return self.result

    def _counted(self, call: Call) -> bool:
        return call.began >= _WARM_S

    def _arrive(self, call: Call) -> None:
        if self._counted(call):
            self.result.offered[call.kind.name] += 1
        if not call.kind.repeatable:
            self.result.once.add(call.number)
        give_up = call.began + min(call.kind.deadline_s, self._settings.queue_ms / 1000)
        ticket = Ticket(
            kind=call.kind.name,
            rank=call.kind.rank,
            share=call.kind.share,
            queue_deadline=give_up,
            idempotent=call.kind.repeatable,
            on_granted=lambda: self.events.after(0.0, lambda: self._granted(call, ticket)),
        )
        if self.pools[call.box].enter(ticket) is not None:
            self._refuse(call)
        elif ticket.state is TicketState.WAITING:
            self.events.at(give_up, lambda: self._give_up(call, ticket))
            self._pump_later(call.box)

    def _pump_later(self, box: int) -> None:
        if not self._pumping[box]:
            self._pumping[box] = True
            self.events.after(_PUMP_S, lambda: self._pump(box))

    def _pump(self, box: int) -> None:
        self._pumping[box] = False
        if self.pools[box].pump():
            self._pump_later(box)

    def _give_up(self, call: Call, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            self.pools[call.box].cancel(ticket)
            self._refuse(call)

    def _granted(self, call: Call, ticket: Ticket) -> None:
        if ticket.grant is not None:
            self._send(call, ticket.grant)

    def _send(self, call: Call, grant: Grant) -> None:
        address = grant.choice.target.address
        call.tried.append(address)

        def started() -> None:
            self.result.runs[call.number] += 1

        def done(_well: bool, load: int) -> None:
            self.events.after(TRAVEL_S, lambda: self._answered(call, grant, load))

        def arrive() -> None:
            target = self.targets[address]
            if not target.send(Job(call.work, done, started)):
                load = target.load
                self.events.after(TRAVEL_S, lambda: self._shed(call, grant, load))

        self.events.after(TRAVEL_S, arrive)

    def _answered(self, call: Call, grant: Grant, load: int) -> None:
        pool = self.pools[call.box]
        pool.record_report(grant.choice.target, LoadReport(in_flight=load))
        pool.finish(grant, failed=False)
        took = self.events.now - call.began
        if _WARM_S <= self.events.now < self._until and took <= call.kind.deadline_s:
            self.result.in_window += 1
        if not self._counted(call):
            return
        name = call.kind.name
        self.result.times[name].append(took)
        (self.result.good if took <= call.kind.deadline_s else self.result.late)[name] += 1

    def _shed(self, call: Call, grant: Grant, load: int) -> None:
        pool = self.pools[call.box]
        pool.record_report(grant.choice.target, LoadReport(in_flight=load))
        pool.finish(grant, failed=False, counted=False)
        again = None
        if len(call.tried) < self._settings.attempts:
            again = pool.choose_retry(
                exclude=call.tried, kind=call.kind.name, idempotent=call.kind.repeatable
            )
        if again is None:
            self._refuse(call)
            return
        self.result.retries += 1
        self._send(call, again)

    def _refuse(self, call: Call) -> None:
        if self._counted(call):
            self.result.refused[call.kind.name] += 1


def show(slots: int, results: Sequence[tuple[float, Result]], capacity: float) -> None:
    """Print what each load came to, against the first."""
    base = results[0][1]
    full = base.goodput() / results[0][0]
    print(f"\n{slots} slots, capacity {capacity:.0f} calls/s")
    print("load  goodput  of scaled  refused  late  retries  twice   per kind: good, p99 (to 0.8)")
    for load, result in results:
        offered = sum(result.offered.values())
        kinds = "  ".join(
            f"{k.name} {result.good[k.name] / result.offered[k.name]:.0%} "
            f"{result.p99(k.name) * 1000:.0f} ms ({result.p99(k.name) / base.p99(k.name):.2f})"
            for k in KINDS
        )
        print(
            f"{load:4.1f} {result.goodput() / capacity:8.1%} "
            f"{result.goodput() / min(full, full * load):10.1%} "
            f"{sum(result.refused.values()) / offered:8.1%} "
            f"{sum(result.late.values()) / offered:5.1%} "
            f"{result.retries / offered:8.2%} {result.run_twice():6}   {kinds}"
        )


def main() -> None:
    """Measure overload."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--slots", type=int, nargs="*", default=[6, 3])
    arguments = parser.parse_args()
    began = time.monotonic()
    for slots in arguments.slots:
        results = []
        capacity = 0.0
        for load in LOADS:
            run = Overload(
                slots=slots, load=load, seed=arguments.seed, settings=Settings(slots=slots)
            )
            capacity = run.capacity
            results.append((load, run.run(arguments.seconds)))
        show(slots, results, capacity)
    print(f"\ntook {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
