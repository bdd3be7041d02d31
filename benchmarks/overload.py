"""Goodput of a service under overload: ``python -m benchmarks.overload``.

The pools of eighteen boxes (queue, choice, limits, retries) send calls to thirty
simulated targets that shed load, on a discrete-event clock and with fixed seeds.
The offered load is 0.8, 1.2 and 2 times the capacity.  Goodput counts the
answers within the deadline.
"""

from __future__ import annotations

import argparse
import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks._model import (
    MEAN_SPEED,
    MEAN_WORK_S,
    ONE_WAY_DELAY_S,
    EventQueue,
    FakeTarget,
    Job,
    quantile,
)
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
SUBSET_SIZE = 10
LOADS = (0.8, 1.2, 2.0)
PLACE = "hall-a"
_WARM_UP_S = 0.5
_PUMP_INTERVAL_S = 0.005
#: Queued calls above which a target sheds load.
_MAX_QUEUED_AT_TARGET = 12


@dataclass(frozen=True, slots=True)
class Kind:
    """A request kind.

    Parameters
    ----------
    name : str
    traffic_share : float
        Share of the calls that are of this kind.
    rank : int
    share : float
        Weight of the kind in the queue.
    is_idempotent : bool
    deadline_s : float, default 2.0
        Maximum latency of an answer in time, in seconds.
    """

    name: str
    traffic_share: float
    rank: int
    share: float
    is_idempotent: bool
    deadline_s: float = 2.0


KINDS = (
    Kind("check", 0.20, 0, 1.0, is_idempotent=True),
    Kind("lookup", 0.45, 5, 3.0, is_idempotent=True),
    Kind("dues", 0.15, 5, 1.0, is_idempotent=False),
    Kind("upload", 0.20, 7, 1.0, is_idempotent=False),
)


@dataclass(slots=True, eq=False)
class Call:
    """A call in flight, with the addresses of its attempts so far."""

    number: int
    kind: Kind
    box: int
    work: float
    began: float
    attempted: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Result:
    """Results of one offered load, counted by kind.

    Parameters
    ----------
    offered, in_time, late, refused : Counter
        Calls sent, answered within and after the deadline, and refused.
    latencies : dict
        Latencies of the answered calls, in seconds.
    processed : Counter
        How many times targets processed each call, by its number.
    not_idempotent : set of int
        Numbers of the calls that must be processed at most once.
    retries : int
    seconds : float
        Duration of the offered load after the warm-up.
    in_time_while_offered : int
        Answers within the deadline before the offered load ended.
    """

    offered: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    latencies: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    processed: Counter[int] = field(default_factory=Counter)
    not_idempotent: set[int] = field(default_factory=set)
    retries: int = 0
    seconds: float = 0.0
    in_time_while_offered: int = 0

    def goodput(self) -> float:
        """Return the answers within the deadline per second, while load was offered."""
        return self.in_time_while_offered / self.seconds

    def p99(self, kind: str) -> float:
        """Return the 99th percentile of the latency of a kind, in seconds."""
        return quantile(sorted(self.latencies[kind]), 0.99)

    def processed_twice(self) -> int:
        """Return the number of non-idempotent calls that were processed more than once."""
        return sum(self.processed[number] > 1 for number in self.not_idempotent)


class Overload:
    """One run at one offered load.

    Parameters
    ----------
    slots : int
        Of each target.
    load : float
        Multiple of the capacity.
    seed : int
    settings : Settings
    """

    def __init__(self, *, slots: int, load: float, seed: int, settings: Settings) -> None:
        self.events = EventQueue()
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
                max_queued=_MAX_QUEUED_AT_TARGET,
            )
            for n in range(TARGETS)
        }
        self.pools = self._make_pools()
        self._pumping = [False] * BOXES

    def _make_pools(self) -> list[ServicePool]:
        names = [f"box-{n}" for n in range(BOXES)]
        subsets = assign_subsets(names, list(self.targets), SUBSET_SIZE)
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
        """Calls per second that all targets can process."""
        return TARGETS * self._slots * MEAN_SPEED / MEAN_WORK_S

    def run(self, seconds: float) -> Result:
        """Offer the load for some seconds and return the results."""
        rate = self._load * self.capacity
        self._until = seconds
        kinds = {kind.name: kind for kind in KINDS}
        at, number = 0.0, 0
        while at < seconds:
            number += 1
            at += self._traffic.expovariate(rate)
            name = self._traffic.choices(list(kinds), [k.traffic_share for k in KINDS])[0]
            work = self._traffic.expovariate(1 / MEAN_WORK_S)
            call = Call(number, kinds[name], self._traffic.randrange(BOXES), work, at)
            self.events.at(at, lambda call=call: self._arrive(call))  # type: ignore[misc]
        self.events.run(seconds + 10.0)
        self.result.seconds = seconds - _WARM_UP_S
        return self.result

    def _is_counted(self, call: Call) -> bool:
        return call.began >= _WARM_UP_S

    def _arrive(self, call: Call) -> None:
        if self._is_counted(call):
            self.result.offered[call.kind.name] += 1
        if not call.kind.is_idempotent:
            self.result.not_idempotent.add(call.number)
        queue_deadline = call.began + min(call.kind.deadline_s, self._settings.queue_ms / 1000)
        ticket = Ticket(
            kind=call.kind.name,
            rank=call.kind.rank,
            share=call.kind.share,
            queue_deadline=queue_deadline,
            idempotent=call.kind.is_idempotent,
            on_granted=lambda: self.events.after(0.0, lambda: self._granted(call, ticket)),
        )
        if self.pools[call.box].enter(ticket) is not None:
            self._refuse(call)
        elif ticket.state is TicketState.WAITING:
            self.events.at(queue_deadline, lambda: self._cancel_if_waiting(call, ticket))
            self._schedule_pump(call.box)

    def _schedule_pump(self, box: int) -> None:
        if not self._pumping[box]:
            self._pumping[box] = True
            self.events.after(_PUMP_INTERVAL_S, lambda: self._pump(box))

    def _pump(self, box: int) -> None:
        self._pumping[box] = False
        if self.pools[box].pump():
            self._schedule_pump(box)

    def _cancel_if_waiting(self, call: Call, ticket: Ticket) -> None:
        if ticket.state is TicketState.WAITING:
            self.pools[call.box].cancel(ticket)
            self._refuse(call)

    def _granted(self, call: Call, ticket: Ticket) -> None:
        if ticket.grant is not None:
            self._send(call, ticket.grant)

    def _send(self, call: Call, grant: Grant) -> None:
        address = grant.choice.target.address
        call.attempted.append(address)

        def on_started() -> None:
            self.result.processed[call.number] += 1

        def on_done(_succeeded: bool, load: int) -> None:
            self.events.after(ONE_WAY_DELAY_S, lambda: self._answered(call, grant, load))

        def arrive() -> None:
            target = self.targets[address]
            if not target.send(Job(call.work, on_done, on_started)):
                load = target.load
                self.events.after(
                    ONE_WAY_DELAY_S, lambda: self._refused_by_target(call, grant, load)
                )

        self.events.after(ONE_WAY_DELAY_S, arrive)

    def _answered(self, call: Call, grant: Grant, load: int) -> None:
        pool = self.pools[call.box]
        pool.record_report(grant.choice.target, LoadReport(in_flight=load))
        pool.finish(grant, failed=False)
        took = self.events.now - call.began
        if _WARM_UP_S <= self.events.now < self._until and took <= call.kind.deadline_s:
            self.result.in_time_while_offered += 1
        if not self._is_counted(call):
            return
        name = call.kind.name
        self.result.latencies[name].append(took)
        (self.result.in_time if took <= call.kind.deadline_s else self.result.late)[name] += 1

    def _refused_by_target(self, call: Call, grant: Grant, load: int) -> None:
        pool = self.pools[call.box]
        pool.record_report(grant.choice.target, LoadReport(in_flight=load))
        pool.finish(grant, failed=False, counted=False)
        retry = None
        if len(call.attempted) < self._settings.attempts:
            retry = pool.choose_retry(
                exclude=call.attempted, kind=call.kind.name, idempotent=call.kind.is_idempotent
            )
        if retry is None:
            self._refuse(call)
            return
        self.result.retries += 1
        self._send(call, retry)

    def _refuse(self, call: Call) -> None:
        if self._is_counted(call):
            self.result.refused[call.kind.name] += 1


def print_results(slots: int, results: Sequence[tuple[float, Result]], capacity: float) -> None:
    """Print the results of each load, and latencies as ratios to the first load."""
    baseline = results[0][1]
    goodput_at_capacity = baseline.goodput() / results[0][0]
    print(f"\n{slots} slots, capacity {capacity:.0f} calls/s")
    print("load  goodput  of scaled  refused  late  retries  twice   per kind: good, p99 (to 0.8)")
    for load, result in results:
        offered = sum(result.offered.values())
        kinds = "  ".join(
            f"{k.name} {result.in_time[k.name] / result.offered[k.name]:.0%} "
            f"{result.p99(k.name) * 1000:.0f} ms ({result.p99(k.name) / baseline.p99(k.name):.2f})"
            for k in KINDS
        )
        print(
            f"{load:4.1f} {result.goodput() / capacity:8.1%} "
            f"{result.goodput() / min(goodput_at_capacity, goodput_at_capacity * load):10.1%} "
            f"{sum(result.refused.values()) / offered:8.1%} "
            f"{sum(result.late.values()) / offered:5.1%} "
            f"{result.retries / offered:8.2%} {result.processed_twice():6}   {kinds}"
        )


def main() -> None:
    """Run all loads and print the results."""
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
        print_results(slots, results, capacity)
    print(f"\ntook {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
