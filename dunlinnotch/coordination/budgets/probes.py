"""Probe targets within a budget, and only where calls tell nothing.

Each box gets a fixed share of each target's budget, divided by the most boxes
that the settings allow, so the sum holds whatever any box believes of the
others.  See ``docs/design/probe-budget.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.state.schema import Settings
    from dunlinnotch.state.targets import TargetRecord
    from dunlinnotch.types import Address, Seconds

#: A target heard from within this time needs no probe, in seconds.
_FRESH_S = 2.0


def probes_per_second(settings: Settings) -> float:
    """Return how often one box may probe one target.

    Parameters
    ----------
    settings : Settings
        Of the target's service.

    Returns
    -------
    float
        The lower of the rate limit and the slot-time limit, for one box.
    """
    by_share = settings.probe_share * settings.slots * 1000.0 / settings.probe_cost_ms
    return min(settings.probe_rate, by_share) / settings.boxes_max


@dataclass(slots=True)
class _Spent:
    """When a target was last probed, and whether a probe is out."""

    at: Seconds = -math.inf
    out: bool = False


class ProbeBudget:
    """Say which targets this box may probe now.

    Notes
    -----
    Probes are spaced evenly and never saved up, so a box that was paused has
    no burst to send when it wakes.  Not thread-safe; one prober uses it.
    """

    def __init__(self) -> None:
        self._spent: dict[Address, _Spent] = {}

    def needs_probe(self, target: TargetRecord, now: Seconds) -> bool:
        """Return whether calls leave a gap that a probe would fill."""
        if now < target.rest_until:
            return False
        silent = now - max(target.reported_at, target.last_used) > _FRESH_S
        return silent or target.leaving

    def try_spend(self, target: Address, settings: Settings, now: Seconds) -> bool:
        """Spend one probe of ``target``; return whether the budget allows it."""
        rate = probes_per_second(settings)
        spent = self._spent.get(target)
        if spent is None:
            # A box that has just started may be one of many: its first probe waits its turn too.
            self._spent[target] = _Spent(now)
            return False
        if spent.out or rate <= 0.0 or now - spent.at < 1.0 / rate:
            return False
        spent.at = now
        spent.out = True
        return True

    def record_end(self, target: Address) -> None:
        """Note that the probe has come back or was given up."""
        self._spent[target].out = False
