"""Check the promises from what callers and targets saw.

A finding names the promise, the attempt or target, and what was seen.  What a
box did while it was killed, frozen, stopped or cut off from the store, and for
``contact`` seconds after, is excused where a promise holds in time only.
"""

from __future__ import annotations

from dunlinnotch.lab.checker import answers, budgets, settings, stops, work
from dunlinnotch.lab.checker.common import (
    TIMED,
    BoxStop,
    FaultWindow,
    Guarantee,
    Observations,
    Seen,
    Violation,
)

__all__ = [
    "TIMED",
    "BoxStop",
    "Observations",
    "Violation",
    "Guarantee",
    "FaultWindow",
    "find_violations",
]

_CHECKS = (answers.check, work.check, settings.check, stops.check, budgets.check)


def find_violations(evidence: Observations) -> list[Violation]:
    """Return all broken promises of one day."""
    seen = Seen(evidence)
    return [finding for check in _CHECKS for finding in check(seen)]
