"""What a box believed at a moment, folded from the lines of its log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.trace.lines import LogLine
    from dunlinnotch.types import Seconds

_TARGET_EVENTS = {
    "target-listed": "listed",
    "target-leaving": "leaving",
    "target-gone": "gone",
    "target-lapsed": "lapsed",
    "target-replaced": "replaced",
    "target-asks-rest": "resting",
}
_PHASE_EVENTS = frozenset({"started", "serving", "stopping", "stopped"})
_STORE_EVENTS = frozenset({"store-lost", "store-regained"})


@dataclass(frozen=True, slots=True)
class Belief:
    """One thing that a box believed, since when, and the line's reason."""

    value: str
    since: Seconds
    why: str = ""


@dataclass(slots=True)
class BoxBeliefs:
    """What one box believed up to a line of its log.

    Parameters
    ----------
    phase, settings : Belief or None
    store, targets, peers : dict of str to Belief
        By table, by instance and by box.
    """

    phase: Belief | None = None
    settings: Belief | None = None
    store: dict[str, Belief] = field(default_factory=dict)
    targets: dict[str, Belief] = field(default_factory=dict)
    peers: dict[str, Belief] = field(default_factory=dict)

    def take(self, line: LogLine) -> None:
        """Take in one line; lines come in the order in which they were written."""
        event = line.event
        if event == "started":
            # A new process knows nothing of what the one before believed.
            self.settings = None
            self.store, self.targets, self.peers = {}, {}, {}
        if event in _PHASE_EVENTS:
            self.phase = Belief(event, line.time)
        elif event == "settings-in-force":
            before = line.text("before") or "none"
            self.settings = Belief(f"version {line.text('version')}", line.time, f"after {before}")
        elif event in _STORE_EVENTS:
            self.store[line.text("table")] = Belief(event, line.time, line.text("detail"))
        elif event in _TARGET_EVENTS:
            why = line.text("why") or line.text("service")
            self.targets[line.text("instance")] = Belief(_TARGET_EVENTS[event], line.time, why)
        elif event in ("box", "box-silent"):
            state = line.text("state") if event == "box" else "silent"
            self.peers[line.text("box")] = Belief(state, line.time, line.text("place"))
        elif event == "box-forgotten":
            self.peers.pop(line.text("box"), None)
