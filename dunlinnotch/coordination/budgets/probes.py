"""Budget for probing targets, and the choice of targets that need a probe.

Each box gets a fixed share of each target's budget: the budget divided by the maximum
number of boxes in the settings.  The sum stays within the budget without coordination.
Only targets that no call has reported on lately are probed.
See ``docs/design/probe-budget.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.state.schema import Settings
    from dunlinnotch.state.targets import TargetRecord
    from dunlinnotch.types import Address, Seconds

#: Time without a report or a call after which a target needs a probe, in seconds.
_PROBE_AFTER_SILENCE_S = 2.0


def probes_per_second(settings: Settings) -> float:
    """Return the rate at which one box may probe one target.

    Parameters
    ----------
    settings : Settings
        Settings of the target's service.

    Returns
    -------
    float
        Probes per second: the lower of the rate limit and the slot-time limit, divided by
        the maximum number of boxes.
    """
    slot_time_limit = settings.probe_share * settings.slots * 1000.0 / settings.probe_cost_ms
    return min(settings.probe_rate, slot_time_limit) / settings.boxes_max


@dataclass(slots=True)
class _LastProbe:
    """When a target was last probed, and whether the probe is in flight."""

    sent_at: Seconds = -math.inf
    in_flight: bool = False


class ProbeBudget:
    """Decide which targets this box may probe now.

    Notes
    -----
    Probes are spaced evenly and never saved up, so a box that was paused sends no burst
    when it resumes, and one that starts waits for a full interval before the first.  At most
    ``boxes_max`` boxes probe, as each needs a lease in the store, so the sum over all boxes
    stays within the budget however often boxes start.  Not thread-safe.
    """

    def __init__(self) -> None:
        self._last_probes: dict[Address, _LastProbe] = {}

    def needs_probe(self, target: TargetRecord, now: Seconds) -> bool:
        """Return whether a target is to be probed when the budget allows it.

        That is the case if no call has used or reported on it lately, or if it is leaving;
        not during its back-off.
        """
        if now < target.backoff_until:
            return False
        silent = now - max(target.reported_at, target.last_used) > _PROBE_AFTER_SILENCE_S
        return silent or target.leaving

    def try_spend(self, target: Address, settings: Settings, now: Seconds) -> bool:
        """Spend one probe of a target; return False if the budget does not allow it now."""
        rate = probes_per_second(settings)
        last = self._last_probes.get(target)
        if last is None:
            # Boxes that restart together would otherwise exceed the budget with first probes.
            self._last_probes[target] = _LastProbe(now)
            return False
        if last.in_flight or rate <= 0.0 or now - last.sent_at < 1.0 / rate:
            return False
        last.sent_at = now
        last.in_flight = True
        return True

    def record_end(self, target: Address) -> None:
        """Record that the probe of a target was answered or timed out."""
        self._last_probes[target].in_flight = False
