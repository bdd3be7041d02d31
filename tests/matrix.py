"""The fault matrix: every fault at every step, with all guarantees checked after each run.

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


def _set_mode(mode):
    def inject(world, _box, target):
        chosen = [target] if target is not None else list(world.targets.values())[:2]
        for chosen_target in chosen:
            chosen_target.mode = mode

    return inject


def _start_target_drain(world, _box, target):
    chosen = target or world.targets["10.0.0.0:80"]
    chosen.mode = "draining"
    chosen.leaving_since = chosen.leaving_since or world.clock()


def _set_store_faults(**faults):
    def inject(world, _box, _target):
        world.store.set_faults(replace(world.store.faults, **faults))

    return inject


def _slow_table(world, _box, _target):
    world.table_slow = True


def _pause(seconds):
    def inject(world, box, _target):
        if box is not None:
            world.pause(box, seconds)

    return inject


def _kill(world, box, _target):
    world.kill(box or "box-0")


def _kill_and_replace(world, box, _target):
    """Kill a box and start another in its place while the list of boxes stays as it was."""
    _set_store_faults(list_frozen=True)(world, box, None)
    name = box or "box-0"
    place = world.boxes[name].place if name in world.boxes else "hall-a"
    world.kill(name)
    world.start_box(f"{name}-new", place)


def _cut_from_peers(world, box, _target):
    world.cut_from_peers.add(box or "box-0")


def _stop_receiving(world, box, _target):
    """Let the box send to its peers but receive nothing from them."""
    world.not_receiving.add(box or "box-0")


def _partition(world, box, _target):
    """Move the box to the second partition, which exchanges nothing with the first."""
    world.second_partition.add(box or "box-0")


def _cut_from_peers_and_table(world, box, _target):
    world.cut_from_peers.add(box or "box-0")
    world.cut_from_table.add(box or "box-0")


def _make_competing_edit(world, box, _target):
    editing_box = next((name for name in world.active() if name != box), None)
    if editing_box is not None:
        status = world.edit(editing_box, Change("hall-a", "rank", "2"), rounds=1)
        assert status is not EditStatus.INVALID


FAULTS = {
    "target slow": _set_mode("slow"),
    "target frozen": _set_mode("frozen"),
    "target draining": _start_target_drain,
    "target fails fast": _set_mode("fail"),
    "target refuses, marked": _set_mode("refuse"),
    "target gone": _set_mode("gone"),
    "target closes before it runs": _set_mode("drop-before"),
    "target closes after it ran": _set_mode("drop-after"),
    "target cuts mid-answer": _set_mode("cut"),
    "target answers late": _set_mode("late"),
    "table down": _set_store_faults(down=True),
    "table slow": _slow_table,
    "table applies, answer lost": _set_store_faults(lose_answers=1),
    "table stale": _set_store_faults(stale=True),
    "lease lapses while its holder is paused": _pause(LEASE_S * 1.5),
    "list lags, a box replaced": _kill_and_replace,
    "operators race": _make_competing_edit,
    "box killed": _kill,
    "box frozen, then resumed": _pause(20.0),
    "box cut from peers": _cut_from_peers,
    "box cut from peers and table": _cut_from_peers_and_table,
    "box heard, but hears no peer": _stop_receiving,
    "boxes cut in two halves": _partition,
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
    """One run of the script with faults injected at a step.

    Parameters
    ----------
    faults : tuple of str
        Keys of ``FAULTS``.
    step : str
    times : int, optional
        At how many passes of the step each fault is injected: 1 or 2.
    """

    faults: tuple[str, ...]
    step: str
    times: int = 1

    def __str__(self):
        repetition = " twice" if self.times == 2 else ""
        return f"{' and '.join(self.faults)}{repetition} at {self.step}"


def list_cells():
    """Return every cell: single faults once and twice, pairs once."""
    single = [Cell((f,), s, n) for f in FAULTS for s in STEPS for n in (1, 2)]
    return single + [Cell(pair, s) for pair in PAIRS for s in STEPS]


def run_cell(cell):
    """Run one cell; return the violations and whether the step was reached."""
    world = World()
    setup(world)
    for fault in cell.faults:
        world.add_hook(cell.step, FAULTS[fault], times=cell.times)
    hook_count = len(world.hooks[cell.step])
    run_script(world)
    reached = len(world.hooks[cell.step]) < hook_count
    world.heal()
    return find_violations(world), reached


def setup(world):
    """Start two boxes and apply the initial settings."""
    world.start_box("box-0", "hall-a")
    world.start_box("box-1", "hall-b")
    world.list_boxes()
    world.sync()
    world.edit("box-0", *first_changes(list(world.targets)))
    assert world.accepted_edits
    world.tick()


def run_script(world):
    """Go through every step at least once."""
    world.start_box("box-2", "hall-a")
    world.list_boxes()
    world.tick()
    send_requests(world)
    for _ in range(30):
        world.tick()
    box = next(iter(world.active()), None)
    if box is not None:
        world.edit(box, Change("hall-a", "rank", "1"))
    send_requests(world)
    drain_box_and_target(world)
    send_requests(world)


def send_requests(world):
    """Send lookups and loans, with retries of loans whose outcome is unknown."""
    for _ in range(2):
        world.call("lookup")
        world.call("loan", retries=2)


def drain_box_and_target(world):
    """Drain one box and one target while callers still use an earlier address answer."""
    name = next(iter(world.active()), None)
    if name is None:
        return
    core = world.boxes[name]
    listing = world.request_addresses()
    world.reach("drain", box=None)
    if name not in world.boxes:
        return
    world.edit(name, draining(name), Change(TARGET_PREFIX + "10.0.0.3:80", "state", "draining"))
    for _ in range(15):
        world.tick()
        if name not in world.boxes:
            return
        phase = core.drain.phase
        in_use = listing is not None and any(
            until >= world.clock() and answer is listing for until, answer in world.address_answers
        )
        if phase in (DrainPhase.CALLS, DrainPhase.DONE) and in_use:
            world.violations.append(f"{name} closed while a valid address answer listed it")
        if phase is DrainPhase.DONE:
            if core.gate.in_flight:
                world.violations.append(f"{name} stopped with calls in flight")
            world.kill(name)
            return


def find_violations(world):
    """Return every violation of a guarantee, as text."""
    violations = list(world.violations)
    runs = Counter()
    for target in world.targets.values():
        runs.update(target.runs)
        violations += _find_probe_violations(world, target)
        if target.senders_while_leaving:
            senders = ", ".join(target.senders_while_leaving)
            violations.append(
                f"{target.address} got new requests from {senders} long after it reported leaving"
            )
    for request in world.requests:
        violations += _find_request_violations(request, runs[request.request_id])
    for (name, _), versions in world.versions.items():
        if versions != sorted(set(versions)):
            violations.append(f"{name} went back to an older version of the settings: {versions}")
    return violations + list(_find_recovery_violations(world))


def _find_probe_violations(world, target):
    # A probe lease allows at most one probe in each period and none in the first.
    allowed = PROBE_RATE * (world.clock() - world.started_at)
    if len(target.probes) > allowed:
        yield f"{target.address} got {len(target.probes)} probes, allowed {allowed:.1f}"


def _find_request_violations(request, runs):
    if request.kind == "loan" and runs > 1:
        yield f"loan {request.request_id} ran {runs} times"
    if request.outcomes and set(request.outcomes) == {Outcome.NOT_RUN} and runs:
        yield f"{request.kind} {request.request_id} was reported as not run and ran {runs} times"
    for body in request.bodies:
        if body != b"answer to " + request.request_id.encode() + b"body":
            yield f"{request.request_id} got the answer {body!r}"


def _find_recovery_violations(world):
    newest = max((version for _, version in world.accepted_edits), default=0)
    for name, core in world.boxes.items():
        if core.membership.own.state is not RunState.RUNNING:
            continue
        for key, version in world.accepted_edits:
            edit = core.holder.tree.find_edit(key)
            if edit is None or edit.version != version:
                yield f"{name} lost the accepted edit {version}"
        if core.holder.version < newest:
            yield f"{name} has settings version {core.holder.version}, accepted is {newest}"
    request = world.call("lookup")
    if Outcome.ANSWERED not in request.outcomes:
        yield f"a lookup after recovery had the outcomes {request.outcomes}; expected is ANSWERED"


def format_table(results):
    """Return the matrix as Markdown."""
    lines = [f"| fault | {' | '.join(STEPS)} |", f"| --- |{' --- |' * len(STEPS)}"]
    names = {cell.faults for cell in results}
    order = list(FAULTS)
    for faults in sorted(names, key=lambda f: (len(f), [order.index(name) for name in f])):
        row = []
        for step in STEPS:
            cell_results = [
                r for cell, r in results.items() if (cell.faults, cell.step) == (faults, step)
            ]
            row.append(_format_cell(cell_results))
        lines.append(f"| {' and '.join(faults)} | {' | '.join(row)} |")
    return "\n".join(lines)


def _format_cell(results):
    if any(violations for violations, _ in results):
        return "RED"
    return "ok" if all(reached for _, reached in results) else "n/r"


def main():
    """Print the matrix and update the page; return 1 if a cell has violations."""
    results = {cell: run_cell(cell) for cell in list_cells()}
    text = format_table(results)
    print(text)
    red = {str(cell): violations for cell, (violations, _) in results.items() if violations}
    for cell, violations in red.items():
        print(f"\n{cell}:", *violations, sep="\n  ")
    page = Path("docs/FAULTS.md")
    if page.exists():
        before, begin, rest = page.read_text().partition("<!-- matrix -->\n")
        _, end, after = rest.partition("<!-- end -->")
        page.write_text(f"{before}{begin}\n{text}\n\n{end}{after}")
    print(f"\n{len(results)} cells, {len(red)} red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
