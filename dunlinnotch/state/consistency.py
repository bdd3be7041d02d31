"""Checks for contradictions between settings that are each valid by themselves.

Each message names the node, the values received, their consequence and the fix.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.state.schema import Settings
    from dunlinnotch.state.tree import SettingsTree

#: Interval between a box's probes of one target above which probing is useless.
_MAX_PROBE_INTERVAL_S = 30.0
_MS_PER_S = 1000.0


def contradictions(tree: SettingsTree) -> list[str]:
    """Return the contradictions in a settings tree.

    Parameters
    ----------
    tree : SettingsTree

    Returns
    -------
    list of str
        One message for each contradiction; empty if there is none.
    """
    messages: list[str] = []
    for place, service in tree.service_paths():
        path = f"{place}/{service}"
        settings = tree.effective(path)
        messages += [f"{path}: {text}" for text in _check_service(settings)]
    for path in sorted(tree.nodes):
        if path.count("/") == 2:
            messages += [f"{path}: {text}" for text in _check_kind(tree.effective(path))]
    root = tree.effective("/")
    if root.keep_s > root.once_window_s:
        messages.append(
            f"/: keep_s = {root.keep_s:g} but once_window_s = {root.once_window_s:g}: "
            "idempotency keys expire while callers still keep the address answer that holds "
            "their prefix; set keep_s to once_window_s or less"
        )
    return messages


def _check_service(settings: Settings) -> Iterator[str]:
    boxes = settings.boxes_max
    if settings.connections < boxes:
        yield (
            f"connections = {settings.connections} but boxes_max = {boxes}: each box opens at "
            f"least one connection, so a target would get {boxes}; set connections to {boxes} "
            "or more"
        )
    rate = min(
        settings.probe_rate,
        settings.probe_share * settings.slots * _MS_PER_S / settings.probe_cost_ms,
    )
    if rate > 0 and boxes / rate > _MAX_PROBE_INTERVAL_S:
        yield (
            f"probe_rate = {settings.probe_rate:g} and probe_share = {settings.probe_share:g} "
            f"over boxes_max = {boxes}: a box may probe a target once in {boxes / rate:.0f} s; "
            f"allow {boxes / _MAX_PROBE_INTERVAL_S:.1f} probes per second or more, or none"
        )


def _check_kind(settings: Settings) -> Iterator[str]:
    if settings.queue_ms >= settings.deadline_ms:
        yield (
            f"queue_ms = {settings.queue_ms:g} but deadline_ms = {settings.deadline_ms:g}: a call "
            "may wait until no time is left to run; set queue_ms below deadline_ms"
        )
    if settings.repeatable and settings.attempts > 1 and settings.retry_share == 0:
        yield (
            f"attempts = {settings.attempts} but retry_share = 0: no call is ever retried; "
            "set attempts to 1 or retry_share above 0"
        )
