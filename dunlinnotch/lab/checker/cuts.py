"""Check how callers of boxes that lost the path to all targets are served."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import Guarantee, Violation
from dunlinnotch.lab.scenario import PLANNED_FAULTS, FaultKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.checker.common import CutOff, ObservationIndex
    from dunlinnotch.standins.users.caller import AttemptRecord

#: Share of the others' success that is required at boxes that are cut off.
_MIN_RELATIVE_SHARE = 2 / 3
#: First attempts that may fail there: a number, and one in so many of all first attempts.
_MAX_FAILED, _ONE_IN = 10, 50


def check(index: ObservationIndex) -> Iterator[Violation]:
    """Yield the cuts during which callers of the boxes cut off were served far worse.

    Notes
    -----
    Only first attempts count, from ``contact`` after the cut began.  Cuts during which another
    unplanned fault lasts are left out.
    """
    for cut in index.observations.cuts:
        end = min(cut.end, index.observations.ended_at)
        if not _is_excused(index, cut):
            yield from _check_cut(index, cut, cut.start + index.scenario.bounds.contact, end)


def _is_excused(index: ObservationIndex, cut: CutOff) -> bool:
    return any(
        window.kind not in PLANNED_FAULTS
        and window.kind is not FaultKind.BOX_CUT_OFF
        and window.overlaps(cut.start, cut.end)
        for window in index.observations.fault_windows
    )


def _check_cut(
    index: ObservationIndex, cut: CutOff, start: float, end: float
) -> Iterator[Violation]:
    #: By whether the box is cut off, and whether the attempt succeeded.
    counts: Counter[tuple[bool, bool]] = Counter()
    for attempt in _first_attempts(index):
        if start <= attempt.sent_at < end:
            counts[attempt.box in cut.boxes, attempt.succeeded] += 1
    cut_off = counts[True, True] + counts[True, False]
    others = counts[False, True] + counts[False, False]
    if not cut_off or not others:
        return
    share, usual = counts[True, True] / cut_off, counts[False, True] / others
    failed_limit = _MAX_FAILED + counts.total() / _ONE_IN
    if share < _MIN_RELATIVE_SHARE * usual and counts[True, False] > failed_limit:
        detail = (
            f"served {counts[True, True]} of {cut_off} requests at the first attempt, "
            f"the others {counts[False, True]} of {others}"
        )
        yield Violation(Guarantee.CUT_OFF, f"{len(cut.boxes)} boxes", detail)


def _first_attempts(index: ObservationIndex) -> Iterator[AttemptRecord]:
    seen: set[int] = set()
    for attempt in sorted(index.observations.attempts, key=lambda attempt: attempt.sent_at):
        if attempt.request_number not in seen:
            seen.add(attempt.request_number)
            yield attempt
