"""Cost of each part of a box by size: ``python -m benchmarks.slopes``.

Fits a straight line to the costs at several sizes and prints it with the
standard error of its slope.  ``docs/CAPACITY.md`` is derived from these lines.
"""

from __future__ import annotations

import gc
import math
import random
import statistics
import time
import tracemalloc
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgpack

from dunlinnotch import _codec
from dunlinnotch.coordination.choosing.directory import PoolDirectory
from dunlinnotch.coordination.choosing.least_load import Chooser
from dunlinnotch.coordination.choosing.subset import assign_subsets
from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.membership.steering import Steering
from dunlinnotch.coordination.settings.tree import SettingsHolder
from dunlinnotch.protocol.peers import LinkState, Sync
from dunlinnotch.state.boxes import BoxRow
from dunlinnotch.state.heads import AnswerHead
from dunlinnotch.state.ledger import IdempotencyLedger, StoredAnswer
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.targets import TargetRecord
from dunlinnotch.state.tree import Change, Edit, SettingsTree

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PLACES = ("hall-a", "hall-b", "hall-c", "hall-d")
LINKS_PER_BOX = 3
_MIN_SERIES_S = 0.05
_SERIES = 5


@dataclass(frozen=True, slots=True)
class FittedLine:
    """A fitted line: ``at_zero + slope * size``.

    Parameters
    ----------
    name : str
    unit : str
        Of the cost.
    per : str
        What ``size`` counts.
    at_zero, slope : float
    error : float
        Standard error of ``slope``.
    """

    name: str
    unit: str
    per: str
    at_zero: float
    slope: float
    error: float


def fit(
    name: str, unit: str, per: str, sizes: Sequence[float], costs: Sequence[float]
) -> FittedLine:
    """Fit a line to the costs at several sizes by least squares."""
    regression = statistics.linear_regression(sizes, costs)
    mean = statistics.fmean(sizes)
    spread = sum((size - mean) ** 2 for size in sizes)
    squared_residuals = sum(
        (cost - regression.intercept - regression.slope * size) ** 2
        for size, cost in zip(sizes, costs, strict=True)
    )
    error = (squared_residuals / (len(sizes) - 2) / spread) ** 0.5
    return FittedLine(name, unit, per, regression.intercept, regression.slope, error)


def cpu_microseconds(action: Callable[[], object]) -> float:
    """Return the processor time of one ``action``, in microseconds: the minimum of all series."""
    best = float("inf")
    for _ in range(_SERIES):
        count, spent = 0, 0.0
        while spent < _MIN_SERIES_S:
            began = time.process_time()
            action()
            spent += time.process_time() - began
            count += 1
        best = min(best, spent / count)
    return best * 1e6


def held_kilobytes(make: Callable[[], object]) -> float:
    """Return the memory that the result of ``make`` holds, in KiB."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del result
    return size


def rows(count: int) -> tuple[BoxRow, ...]:
    """Return rows of ``count`` boxes in four places."""
    return tuple(
        BoxRow(
            name=f"box-{number:05}",
            incarnation=1_796_205_229_814_327_432,
            seq=123_456,
            place=PLACES[number % 4],
            address="10.100.100.100:7001",
            peer="10.100.100.100:7002",
            state=RunState.RUNNING,
            version=123_456,
            in_flight=10,
            tick=1234567.123,
        )
        for number in range(count)
    )


def tree(services: int, targets: int = 7) -> SettingsTree:
    """Return a settings tree of services, each in two places with two kinds."""
    nodes: dict[str, dict[str, str]] = {"/": {"boxes_max": "5000", "keep_s": "10"}}
    for number in range(services):
        for place in PLACES[:2]:
            addresses = ", ".join(
                f"10.{number // 250}.{number % 250}.{t}:80" for t in range(targets)
            )
            nodes[f"{place}/service-{number}"] = {"targets": addresses, "slots": "6"}
        nodes[f"*/service-{number}/lookup"] = {"repeatable": "yes"}
        nodes[f"*/service-{number}/loan"] = {"rank": "1"}
    return SettingsTree(1, nodes, dict.fromkeys(nodes, 1))


def membership(count: int) -> Membership:
    """Return the membership of a box that knows ``count`` others."""
    own_row = replace(rows(1)[0], name="own")
    members = Membership(own_row, holder=SettingsHolder(), clock=lambda: 0.0)
    members.apply(Sync("x", 1, 0, None, rows(count)), LinkState())
    return members


def choice_line() -> FittedLine:
    """Cost of choosing a target and recording the call, by number of candidates."""
    sizes = (2, 5, 10, 20, 40)
    costs = []
    for size in sizes:
        chooser = Chooser(rng=random.Random(1))
        records = [TargetRecord(f"10.0.0.{n}:80", "a", 6, 6.0) for n in range(size)]
        chooser.set_targets(records, {"a": 1.0})

        def action(chooser: Chooser = chooser) -> None:
            choice = chooser.choose(1.0)
            if choice is not None:
                flight = chooser.begin(choice.target, 1.0, kind="a")
                chooser.heard(choice.target, 1.0, 2)
                chooser.finish(choice.target, flight, 1.0, kind="a", failed=False)

        costs.append(cpu_microseconds(action))
    return fit("choose, send, report, end", "us", "candidate", sizes, costs)


def subset_line() -> FittedLine:
    """Cost of assigning the subsets of a service, by boxes times targets."""
    sizes, costs = [], []
    for boxes, targets in ((6, 30), (18, 30), (50, 30), (50, 60), (100, 60)):
        names = [f"box-{n}" for n in range(boxes)]
        addresses = [f"10.0.0.{n}:80" for n in range(targets)]
        sizes.append(float(boxes * targets))
        costs.append(cpu_microseconds(lambda n=names, a=addresses: assign_subsets(n, a, 10)))  # type: ignore[misc]
    return fit("subsets of a service", "us", "box x target", sizes, costs)


def rebuild_line() -> FittedLine:
    """Cost of rebuilding the pools from a tree, by number of services, with 18 boxes."""
    sizes = (5, 10, 20, 40)
    costs = []
    for size in sizes:
        directory = PoolDirectory(
            box="box-00000", place="hall-a", clock=lambda: 0.0, rng=random.Random(1)
        )
        settings_tree = tree(size)
        boxes = rows(18)
        costs.append(
            cpu_microseconds(lambda d=directory, t=settings_tree, b=boxes: d.rebuild(t, b))  # type: ignore[misc]
        )
    return fit("pools rebuilt, 18 boxes, 14 targets a service", "us", "service", sizes, costs)


def edit_line() -> FittedLine:
    """Cost of applying an edit, by number of nodes of the tree."""
    sizes, costs = [], []
    for services in (10, 50, 200, 650):
        settings_tree = tree(services)
        edit = Edit("e", 1, "anna", (Change("hall-a/service-1", "weight", "0.5"),), 2)
        sizes.append(float(len(settings_tree.nodes)))
        costs.append(cpu_microseconds(lambda t=settings_tree, e=edit: t.apply(e)))  # type: ignore[misc]
    return fit("edit applied", "us", "tree node", sizes, costs)


def tree_lines() -> list[FittedLine]:
    """Memory, decoding time and encoded size of a tree, by number of nodes."""
    sizes, memory, decoding, size = [], [], [], []
    for services in (10, 50, 200, 650):
        data = _codec.to_json(tree(services))
        sizes.append(float(len(tree(services).nodes)))
        memory.append(held_kilobytes(lambda s=services: tree(s)))  # type: ignore[misc]
        decoding.append(cpu_microseconds(lambda d=data: _codec.from_json(SettingsTree, d)))  # type: ignore[misc]
        size.append(len(data) / 1024)
    return [
        fit("tree held", "KB", "tree node", sizes, memory),
        fit("snapshot decoded", "us", "tree node", sizes, decoding),
        fit("snapshot size", "KB", "tree node", sizes, size),
    ]


def steering_line() -> FittedLine:
    """Cost of an address answer, by number of known boxes."""
    sizes = (6, 18, 50, 200)
    costs = []
    for size in sizes:
        steering = Steering(membership(size), rng=random.Random(1))
        settings_tree = tree(2)
        costs.append(
            cpu_microseconds(
                lambda s=steering, t=settings_tree: s.answer(t, caller="branch-1", place="hall-a")  # type: ignore[misc]
            )
        )
    return fit("address answer", "us", "box known", sizes, costs)


def link_lines() -> list[FittedLine]:
    """Cost and size of a sync round, by number of its rows, and memory of the rows."""
    sizes = (0, 5, 18, 50, 200)
    costs, size, memory = [], [], []
    for count in sizes:
        sync = Sync("box-1", 1, 1, 0.5, rows(count))
        data = _codec.pack(sync)

        def action(sync: Sync = sync) -> None:
            packed = _codec.pack(sync)
            unpack_sync(packed)

        costs.append(cpu_microseconds(action))
        size.append(float(len(data)))
        memory.append(held_kilobytes(lambda c=count: membership(c)))  # type: ignore[misc]
    return [
        fit("turn packed and read", "us", "row", sizes, costs),
        fit("turn's size", "bytes", "row", sizes, size),
        fit("rows held", "KB", "box known", sizes, memory),
    ]


def unpack_sync(packed: bytes) -> Sync:
    """Decode a sync message, as the receiving box does."""
    return _codec.from_plain(Sync, msgpack.unpackb(packed))


def ledger_lines() -> list[FittedLine]:
    """Memory and cost of idempotency keys."""
    sizes = (1000, 5000, 20000)
    head = AnswerHead(200, "OK", (), 100)

    def make_ledger(count: int) -> IdempotencyLedger:
        ledger = IdempotencyLedger(clock=lambda: 1.0)
        for number in range(count):
            key = f"holdings/loan/box-00001~1796205229814327432~573829~{number:032}"
            entry = ledger.claim(key, issued_at=1.0, window=600.0).entry
            if entry is not None:
                ledger.record_answer(entry, StoredAnswer(head, b"x" * 100))
        return ledger

    memory = [held_kilobytes(lambda s=size: make_ledger(s)) for size in sizes]  # type: ignore[misc]
    costs = []
    for size in sizes:
        began = time.process_time()
        make_ledger(size)
        costs.append((time.process_time() - began) * 1e6)
    return [
        fit("once-keys held, 100 bytes answered", "KB", "key", sizes, memory),
        fit("once-key claimed and answered", "us", "key", sizes, costs),
    ]


def target_line() -> FittedLine:
    """Memory of the records of targets."""
    sizes = (10, 100, 1000)

    def make(count: int) -> list[TargetRecord]:
        return [TargetRecord(f"10.0.{n // 250}.{n % 250}:80", "hall-a", 6) for n in range(count)]

    memory = [held_kilobytes(lambda s=size: make(s)) for size in sizes]  # type: ignore[misc]
    return fit("targets known", "KB", "target", sizes, memory)


def hops_line() -> FittedLine:
    """Maximum number of links between two boxes, by the binary logarithm of the boxes."""
    sizes, hops = [], []
    for count in (18, 60, 200, 700):
        graph = _graph(count)
        max_hops = max(
            _max_hops_from(graph, start) for start in list(graph)[:: max(1, count // 20)]
        )
        sizes.append(math.log2(count))
        hops.append(float(max_hops))
    return fit("links between the farthest boxes", "links", "doubling of boxes", sizes, hops)


def _graph(count: int) -> dict[str, set[str]]:
    all_rows = rows(count)
    graph: dict[str, set[str]] = {row.name: set() for row in all_rows}
    for row in all_rows:
        members = Membership(row, holder=SettingsHolder(), clock=lambda: 0.0)
        members.apply(Sync("x", 1, 0, None, all_rows), LinkState())
        for name in members.select_links(LINKS_PER_BOX, []):
            graph[row.name].add(name)
            graph[name].add(row.name)
    return graph


def _max_hops_from(graph: dict[str, set[str]], start: str) -> int:
    reached, frontier, max_hops = {start}, {start}, 0
    while len(reached) < len(graph):
        frontier = {name for at in frontier for name in graph[at]} - reached
        reached |= frontier
        max_hops += 1
    return max_hops


def main() -> None:
    """Measure all costs and print the fitted lines."""
    began = time.monotonic()
    lines = [
        choice_line(),
        subset_line(),
        rebuild_line(),
        edit_line(),
        *tree_lines(),
        steering_line(),
        *link_lines(),
        *ledger_lines(),
        target_line(),
        hops_line(),
    ]
    edit = Edit("0" * 32, 1, "anna", (Change("hall-a/service-1", "weight", "0.5"),), 2)
    print(f"{'what':48} {'at zero':>10} {'slope':>10} {'error':>9}  unit, per")
    for line in lines:
        print(
            f"{line.name:48} {line.at_zero:10.2f} {line.slope:10.4f} {line.error:9.4f}  "
            f"{line.unit} per {line.per}"
        )
    print(f"one edit in msgpack: {len(_codec.pack(edit))} bytes")
    print(f"took {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
