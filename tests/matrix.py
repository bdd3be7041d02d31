"""The fault matrix: every fault at every step, checked by one checker.

``python -m tests.matrix`` prints the table and writes ``docs/FAULTS.md``.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path

from dunlinnotch.protocol.operator import DrainPhase
from dunlinnotch.protocol.outcome import EditStatus, Outcome
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import TARGET_PREFIX, Change
from tests.world import LEASE_S, PROBE_RATE, STEPS, World, draining, first_changes


def _mode(mode):
    def put(world, _box, target):
        chosen = [target] if target is not None else list(world.targets.values())[:2]
        for one in chosen:
            one.mode = mode

    return put


def _drain_target(world, _box, target):
    chosen = target or world.targets["10.0.0.0:80"]
    chosen.mode = "draining"
    chosen.leaving_since = chosen.leaving_since or world.clock()


def _store(**faults):
    def put(world, _box, _target):
        world.store.set_faults(replace(world.store.faults, **faults))

    return put


def _table_slow(world, _box, _target):
    world.table_slow = True


def _pause(seconds):
    def put(world, box, _target):
        if box is not None:
            world.pause(box, seconds)

    return put


def _kill(world, box, _target):
    world.kill(box or "box-0")


def _kill_and_replace(world, box, _target):
    """A box dies and another process takes its name at once; the list lags behind."""
    _store(list_frozen=True)(world, box, None)
    name = box or "box-0"
    place = world.boxes[name].place if name in world.boxes else "hall-a"
    world.kill(name)
    world.start_box(f"{name}-new", place)


def _cut_from_peers(world, box, _target):
    world.cut_from_peers.add(box or "box-0")


def _deaf(world, box, _target):
    """The box is heard and hears nobody."""
    world.not_receiving.add(box or "box-0")


def _halves(world, box, _target):
    """The box, and whoever starts later, can't hear the rest, nor be heard by it."""
    world.second_partition.add(box or "box-0")


def _cut_off(world, box, _target):
    world.cut_from_peers.add(box or "box-0")
    world.cut_from_table.add(box or "box-0")


def _race(world, box, _target):
    other = next((name for name in world.active() if name != box), None)
    if other is not None:
        status = world.edit(other, Change("hall-a", "rank", "2"), rounds=1)
        assert status is not EditStatus.INVALID


FAULTS = {
    "target slow": _mode("slow"),
    "target frozen": _mode("frozen"),
    "target draining": _drain_target,
    "target fails fast": _mode("fail"),
    "target refuses, marked": _mode("refuse"),
    "target gone": _mode("gone"),
    "target closes before it runs": _mode("drop-before"),
    "target closes after it ran": _mode("drop-after"),
    "target cuts mid-answer": _mode("cut"),
    "target answers late": _mode("late"),
    "table down": _store(down=True),
    "table slow": _table_slow,
    "table applies, answer lost": _store(lose_answers=1),
    "table stale": _store(stale=True),
    "lease lapses while its holder is paused": _pause(LEASE_S * 1.5),
    "list lags, a box replaced": _kill_and_replace,
    "operators race": _race,
    "box killed": _kill,
    "box frozen, then resumed": _pause(20.0),
    "box cut from peers": _cut_from_peers,
    "box cut from peers and table": _cut_off,
    "box heard, but hears no peer": _deaf,
    "boxes cut in two halves": _halves,
}

PAIRS = (
    ("table down", "box killed"),
    ("table down", "box frozen, then resumed"),
    ("table down", "box cut from peers"),
    ("table applies, answer lost", "operators race"),
    ("table applies, answer lost", "box killed"),
    ("table stale", "operators race"),
    ("table stale", "list lags, a box replaced"),
    ("target frozen", "box killed"),
    ("target closes after it ran", "box frozen, then resumed"),
    ("target draining", "table down"),
    ("target draining", "box cut from peers and table"),
    ("lease lapses while its holder is paused", "table down"),
    ("lease lapses while its holder is paused", "list lags, a box replaced"),
    ("box frozen, then resumed", "operators race"),
    ("target answers late", "box cut from peers"),
    ("box heard, but hears no peer", "table down"),
    ("boxes cut in two halves", "operators race"),
)


@dataclass(frozen=True)
class Cell:
    """One run of the script with faults placed."""

    faults: tuple[str, ...]
    step: str
    times: int = 1

    def __str__(self):
        often = " twice" if self.times == 2 else ""
        return f"{' and '.join(self.faults)}{often} at {self.step}"


def cells():
    """Return every cell."""
    single = [Cell((f,), s, n) for f in FAULTS for s in STEPS for n in (1, 2)]
    return single + [Cell(pair, s) for pair in PAIRS for s in STEPS]


def run(cell):
    """Run one cell; return what was violated and whether the step was reached."""
    world = World()
    setup(world)
    for fault in cell.faults:
        world.add_hook(cell.step, FAULTS[fault], times=cell.times)
    placed = len(world.hooks[cell.step])
    script(world)
    reached = len(world.hooks[cell.step]) < placed
    world.heal()
    return find_violations(world), reached


def setup(world):
    """Bring up a system that serves."""
    world.start_box("box-0", "hall-a")
    world.start_box("box-1", "hall-b")
    world.list_boxes()
    world.sync()
    world.edit("box-0", *first_changes(list(world.targets)))
    assert world.accepted
    world.tick()


def script(world):
    """Go once through every step."""
    world.start_box("box-2", "hall-a")
    world.list_boxes()
    world.tick()
    calls(world)
    for _ in range(30):
        world.tick()
    some = next(iter(world.active()), None)
    if some is not None:
        world.edit(some, Change("hall-a", "rank", "1"))
    calls(world)
    drain(world)
    calls(world)


def calls(world):
    """Send lookups and loans, asking again for loans whose end is unknown."""
    for _ in range(2):
        world.call("lookup")
        world.call("loan", repeats=2)


def drain(world):
    """Drain one box by plan, and a target, while callers keep what they were told."""
    name = next(iter(world.active()), None)
    if name is None:
        return
    core = world.boxes[name]
    kept = world.request_addresses()
    world.reach("drain", box=None)
    if name not in world.boxes:
        return
    world.edit(name, draining(name), Change(TARGET_PREFIX + "10.0.0.3:80", "state", "draining"))
    for _ in range(15):
        world.tick()
        if name not in world.boxes:
            return
        phase = core.drain.phase
        in_use = kept is not None and any(
            until >= world.clock() and answer is kept for until, answer in world.kept_answers
        )
        if phase in (DrainPhase.CALLS, DrainPhase.DONE) and in_use:
            world.violations.append(f"{name} closed while an address answer named it")
        if phase is DrainPhase.DONE:
            if core.gate.in_flight:
                world.violations.append(f"{name} stopped with calls in flight")
            world.kill(name)
            return


def find_violations(world):
    """Return every broken promise."""
    wrong = list(world.violations)
    runs = Counter()
    for target in world.targets.values():
        runs.update(target.runs)
        wrong += _check_probes(world, target)
        if target.senders_while_leaving:
            senders = ", ".join(target.senders_while_leaving)
            wrong.append(f"{target.address} got new work from {senders} long after it had told")
    for request in world.requests:
        wrong += _check_request(request, runs[request.request_id])
    for (name, _), versions in world.versions.items():
        if versions != sorted(set(versions)):
            wrong.append(f"{name} went back in version: {versions}")
    return wrong + list(_check_healed(world))


def _check_probes(world, target):
    # Each seat sends at most one probe in each period, and none before the first is over.
    allowed = PROBE_RATE * (world.clock() - world.began)
    if len(target.probes) > allowed:
        yield f"{target.address} got {len(target.probes)} probes, allowed {allowed:.1f}"


def _check_request(request, runs):
    if request.kind == "loan" and runs > 1:
        yield f"loan {request.request_id} ran {runs} times"
    if request.outcomes and set(request.outcomes) == {Outcome.NOT_RUN} and runs:
        yield f"{request.kind} {request.request_id} was refused as not run and ran {runs} times"
    for data in request.bodies:
        if data != b"answer to " + request.request_id.encode() + b"body":
            yield f"{request.request_id} got {data!r}"


def _check_healed(world):
    newest = max((version for _, version in world.accepted), default=0)
    for name, core in world.boxes.items():
        if core.membership.own.state is not RunState.RUNNING:
            continue
        for key, version in world.accepted:
            edit = core.holder.tree.find_edit(key)
            if edit is None or edit.version != version:
                yield f"{name} lost the accepted edit {version}"
        if core.holder.version < newest:
            yield f"{name} is behind: {core.holder.version} < {newest}"
    request = world.call("lookup")
    if Outcome.ANSWERED not in request.outcomes:
        yield f"after healing a lookup came to {request.outcomes}"


def table(results):
    """Return the matrix as Markdown."""
    lines = [f"| fault | {' | '.join(STEPS)} |", f"| --- |{' --- |' * len(STEPS)}"]
    names = {cell.faults for cell in results}
    order = list(FAULTS)
    for faults in sorted(names, key=lambda f: (len(f), [order.index(name) for name in f])):
        row = []
        for step in STEPS:
            mine = [r for cell, r in results.items() if (cell.faults, cell.step) == (faults, step)]
            row.append(_mark(mine))
        lines.append(f"| {' and '.join(faults)} | {' | '.join(row)} |")
    return "\n".join(lines)


def _mark(results):
    if any(wrong for wrong, _ in results):
        return "RED"
    return "ok" if all(reached for _, reached in results) else "n/r"


def main():
    """Print the matrix and write the page."""
    results = {cell: run(cell) for cell in cells()}
    text = table(results)
    print(text)
    red = {str(cell): wrong for cell, (wrong, _) in results.items() if wrong}
    for cell, wrong in red.items():
        print(f"\n{cell}:", *wrong, sep="\n  ")
    page = Path("docs/FAULTS.md")
    if page.exists():
        before, begin, rest = page.read_text().partition("<!-- matrix -->\n")
        _, end, after = rest.partition("<!-- end -->")
        page.write_text(f"{before}{begin}\n{text}\n\n{end}{after}")
    print(f"\n{len(results)} cells, {len(red)} red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
