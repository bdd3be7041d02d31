"""Check the guarantees from what callers and targets observed.

A violation names the guarantee, the attempt or target, and what was observed.
Guarantees that hold only within a time limit are not checked while an unplanned
fault lasts, nor for ``contact`` seconds after it.
"""

from __future__ import annotations

from dunlinnotch.lab.checker import answers, budgets, cuts, settings, stops, work
from dunlinnotch.lab.checker.common import (
    TIMED_GUARANTEES,
    BoxStop,
    CutOff,
    FaultWindow,
    Guarantee,
    ObservationIndex,
    Observations,
    Violation,
)

__all__ = [
    "TIMED_GUARANTEES",
    "BoxStop",
    "CutOff",
    "FaultWindow",
    "Guarantee",
    "Observations",
    "Violation",
    "find_violations",
]

_CHECKS = (answers.check, work.check, settings.check, stops.check, budgets.check, cuts.check)


def find_violations(observations: Observations) -> list[Violation]:
    """Return all violations of the guarantees in one scenario.

    Parameters
    ----------
    observations : Observations

    Returns
    -------
    list of Violation
    """
    index = ObservationIndex(observations)
    return [violation for check in _CHECKS for violation in check(index)]
