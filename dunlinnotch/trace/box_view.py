"""The view that a box had of its environment, reconstructed from its log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.trace.lines import LogLine
    from dunlinnotch.types import Seconds

_TARGET_STATES = {
    "target-listed": "listed",
    "target-leaving": "leaving",
    "target-gone": "gone",
    "target-lapsed": "missing",
    "target-replaced": "replaced",
    "target-asks-rest": "backing off",
}
_PHASE_EVENTS = frozenset({"started", "serving", "stopping", "stopped"})
_STORE_EVENTS = frozenset({"store-lost", "store-regained"})


@dataclass(frozen=True, slots=True)
class ViewEntry:
    """One item of a box's view.

    Parameters
    ----------
    value : str
    since : float
        Unix time in seconds, by the box's own clock.
    reason : str, default ""
        Reason given by the log line.
    """

    value: str
    since: Seconds
    reason: str = ""


@dataclass(slots=True)
class BoxView:
    """The view that a box had after a line of its log.

    Parameters
    ----------
    phase, settings : ViewEntry or None
        None if the log has not stated it yet.
    tables : dict of str to ViewEntry
        Contact with the store, by table.
    targets : dict of str to ViewEntry
        By instance name.
    peers : dict of str to ViewEntry
        By box name.
    """

    phase: ViewEntry | None = None
    settings: ViewEntry | None = None
    tables: dict[str, ViewEntry] = field(default_factory=dict)
    targets: dict[str, ViewEntry] = field(default_factory=dict)
    peers: dict[str, ViewEntry] = field(default_factory=dict)

    def apply(self, line: LogLine) -> None:
        """Update the view by one line; lines must be applied in the order of the log."""
        event = line.event
        if event == "started":
            # A new process starts without the view of the previous one.
            self.settings = None
            self.tables, self.targets, self.peers = {}, {}, {}
        if event in _PHASE_EVENTS:
            self.phase = ViewEntry(event, line.time)
        elif event == "settings-in-force":
            previous = line.text("before") or "none"
            self.settings = ViewEntry(
                f"version {line.text('version')}", line.time, f"after {previous}"
            )
        elif event in _STORE_EVENTS:
            self.tables[line.text("table")] = ViewEntry(event, line.time, line.text("detail"))
        elif event in _TARGET_STATES:
            reason = line.text("why") or line.text("service")
            self.targets[line.text("instance")] = ViewEntry(
                _TARGET_STATES[event], line.time, reason
            )
        elif event in ("box", "box-silent"):
            state = line.text("state") if event == "box" else "silent"
            self.peers[line.text("box")] = ViewEntry(state, line.time, line.text("place"))
        elif event == "box-forgotten":
            self.peers.pop(line.text("box"), None)
