"""Settings that are each allowed, yet don't add up.

A finding names the node, the values received, what follows from them and what
would do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.state.schema import Settings
    from dunlinnotch.state.tree import SettingsTree

#: A box that may probe a target less often than this learns nothing by it, in seconds.
_PROBE_GAP_S = 30.0
_MS = 1000.0


def contradictions(tree: SettingsTree) -> list[str]:
    """Return what does not add up in a settings tree.

    Parameters
    ----------
    tree : SettingsTree

    Returns
    -------
    list of str
        Empty if all does.
    """
    found: list[str] = []
    for place, service in tree.service_paths():
        path = f"{place}/{service}"
        settings = tree.effective(path)
        found += [f"{path}: {text}" for text in _of_service(settings)]
    for path in sorted(tree.nodes):
        if path.count("/") == 2:
            found += [f"{path}: {text}" for text in _of_kind(tree.effective(path))]
    root = tree.effective("/")
    if root.keep_s > root.once_window_s:
        found.append(
            f"/: keep_s = {root.keep_s:g} but once_window_s = {root.once_window_s:g}: "
            "once-keys expire while the address answer that names them is still kept; "
            "keep_s of once_window_s or less would do"
        )
    return found


def _of_service(settings: Settings) -> Iterator[str]:
    boxes = settings.boxes_max
    if settings.connections < boxes:
        yield (
            f"connections = {settings.connections} but boxes_max = {boxes}: each box has one "
            f"connection at least, so a target would get {boxes}; connections of {boxes} or "
            "more would do"
        )
    per_s = min(
        settings.probe_rate,
        settings.probe_share * settings.slots * _MS / settings.probe_cost_ms,
    )
    if per_s > 0 and boxes / per_s > _PROBE_GAP_S:
        yield (
            f"probe_rate = {settings.probe_rate:g} and probe_share = {settings.probe_share:g} "
            f"over boxes_max = {boxes}: a box may probe a target once in {boxes / per_s:.0f} s; "
            f"{boxes / _PROBE_GAP_S:.1f} probes a second or more would do, or none"
        )


def _of_kind(settings: Settings) -> Iterator[str]:
    if settings.queue_ms >= settings.deadline_ms:
        yield (
            f"queue_ms = {settings.queue_ms:g} but deadline_ms = {settings.deadline_ms:g}: a call "
            "may wait until no time is left to run; less than deadline_ms would do"
        )
    if settings.repeatable and settings.attempts > 1 and settings.retry_share == 0:
        yield (
            f"attempts = {settings.attempts} but retry_share = 0: no call is ever tried again; "
            "attempts = 1 or a retry_share above 0 would do"
        )
