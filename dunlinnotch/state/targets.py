"""State of a target at one box: this box's calls exactly, those of other boxes estimated."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Address, Seconds

#: Weight of a new sample in the moving average of ``report_shortfall``.
_SHORTFALL_WEIGHT = 0.1
#: ``report_shortfall`` above which a target's reports are no longer used.
MAX_REPORT_SHORTFALL = 0.35
#: Time constant of the decay of the load charged for errors.
_ERROR_DECAY_S = 0.5
#: Decimal digits of the occupancy.  Rounding lets idle targets tie, so that they share
#: the calls.
_OCCUPANCY_DIGITS = 1
#: Load charged for errors, in calls, below which none is charged.
_MIN_ERROR_LOAD = 0.5
#: Share of its slots that a target gets at the beginning of its slow start.
_MIN_SLOW_START_SHARE = 0.2
#: Limit of the load charged for an overdue call, as a share of the target's slots.
_MAX_OVERDUE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Flight:
    """One call of this box in flight at a target.

    Parameters
    ----------
    began : float
        When it was sent, in monotonic seconds.
    expected : float
        Recent latency of calls of the same kind over all targets, in seconds.
    """

    began: Seconds
    expected: Seconds


@dataclass(slots=True)
class TargetRecord:
    """State of one target at one box.

    Parameters
    ----------
    address : str
    place : str
    slots : int
        Calls that the target runs at once.
    sharers : float, default 1.0
        Number of boxes that send to this target, this one included.
    flights : list of Flight
        Calls of this box in flight at the target.
    others_in_flight : float, default 0.0
        Calls of other boxes in flight at the target, derived from its last report.
    reported_at : float
        Time of the last report.
    report_shortfall : float, default 0.0
        Moving average of the share of this box's calls that the target's reports lack.
    error_load, error_at : float
        Load charged for errors, in calls, and the time from which it decays.
    errors_in_row : int, default 0
        Consecutive errors.
    ejected : bool, default False
    next_trial_at : float
        Time from which the next trial call may be sent while the target is ejected.
    trial_running : bool, default False
        Whether a trial call is in flight.
    leaving : bool, default False
        Whether the target is leaving, as it or a peer of this box reported.
    reported_leaving : bool, default False
        Whether the target itself reported to this box that it is leaving.
    incarnation : str or None
        Incarnation that the target, or a peer of this box, reported last.
    slow_start_at, slow_start_s : float
        Beginning and duration of the slow start.
    last_used : float
        Time at which this box last sent a call to the target.
    backoff_until : float
        End of the back-off that the target requested.

    Notes
    -----
    Times are in monotonic seconds.  ``flights`` is exact.  ``others_in_flight`` is soon
    outdated, so :meth:`in_flight` lets it decay to the mean of all targets.
    """

    address: Address
    place: str
    slots: int
    sharers: float = 1.0
    flights: list[Flight] = field(default_factory=list)
    others_in_flight: float = 0.0
    reported_at: Seconds = -math.inf
    report_shortfall: float = 0.0
    error_load: float = 0.0
    error_at: Seconds = -math.inf
    errors_in_row: int = 0
    ejected: bool = False
    next_trial_at: Seconds = -math.inf
    trial_running: bool = False
    leaving: bool = False
    reported_leaving: bool = False
    incarnation: str | None = None
    slow_start_at: Seconds = -math.inf
    slow_start_s: Seconds = 0.0
    last_used: Seconds = -math.inf
    backoff_until: Seconds = -math.inf

    @property
    def own_in_flight(self) -> int:
        """Calls of this box that are in flight at the target."""
        return len(self.flights)

    def in_flight(self, now: Seconds, *, mean_others: float, fade: Seconds) -> float:
        """Return the estimated calls of all boxes in flight at the target.

        Parameters
        ----------
        now : float
        mean_others : float
            Mean of the other boxes' calls over all targets.
        fade : float
            Time constant of the decay of a report, in seconds.
        """
        own = len(self.flights)
        if self.report_shortfall > MAX_REPORT_SHORTFALL:
            return own + max(mean_others, own * (self.sharers - 1.0))
        weight = math.exp(-(now - self.reported_at) / fade)
        return own + mean_others + (self.others_in_flight - mean_others) * weight

    def occupancy(self, now: Seconds, *, mean_others: float, fade: Seconds) -> float:
        """Return the calls in flight plus the load charged for overdue calls and errors.

        Parameters are those of :meth:`in_flight`.
        """
        occupancy = self.in_flight(now, mean_others=mean_others, fade=fade)
        if self.flights:
            occupancy += self.overdue(now)
        if self.error_load:
            occupancy += self.charged_errors(now)
        return round(occupancy, _OCCUPANCY_DIGITS)

    def overdue(self, now: Seconds) -> float:
        """Return the load charged for the call that is most overdue, in calls.

        A target that has become slow answers rarely, and so reports rarely.  Its last report
        understates its load, and its overdue calls show that it is slow before the next one.
        """
        max_overdue = 0.0
        for flight in self.flights:
            overdue = (now - flight.began) / flight.expected - 1.0
            max_overdue = max(max_overdue, overdue)
        return min(max_overdue, self.slots * _MAX_OVERDUE_SHARE)

    def charged_errors(self, now: Seconds) -> float:
        """Return the load charged for recent errors, in calls."""
        charged = self.error_load * math.exp(-(now - self.error_at) / _ERROR_DECAY_S)
        if charged < _MIN_ERROR_LOAD:
            # Otherwise an idle service would never call the target again.
            self.error_load = 0.0
            return 0.0
        return charged

    def capacity(self, now: Seconds) -> float:
        """Return the slots of the target; fewer during its slow start."""
        if self.slow_start_s <= 0.0 or now >= self.slow_start_at + self.slow_start_s:
            return float(self.slots)
        progress = max(0.0, (now - self.slow_start_at) / self.slow_start_s)
        return self.slots * (_MIN_SLOW_START_SHARE + (1.0 - _MIN_SLOW_START_SHARE) * progress)

    def record_report(self, now: Seconds, in_flight: int) -> float:
        """Record a target's report; return the calls of other boxes derived from it.

        Parameters
        ----------
        now : float
        in_flight : int
            Calls in flight at the target besides the one that was answered.
        """
        own_others = max(0, self.own_in_flight - 1)
        if own_others > 1:
            shortfall = max(0.0, own_others - in_flight) / own_others
            self.report_shortfall += _SHORTFALL_WEIGHT * (shortfall - self.report_shortfall)
        self.others_in_flight = float(max(0, in_flight - own_others))
        self.reported_at = now
        return self.others_in_flight

    def record_failure(self, now: Seconds) -> None:
        """Charge a saturated target's load, so that failing fast does not attract calls."""
        self.error_load = min(self.charged_errors(now), 2.0 * self.slots) + self.slots
        self.error_at = now
        self.errors_in_row += 1

    def record_success(self) -> None:
        """Reset the consecutive errors and end the ejection; the charged load decays."""
        self.errors_in_row = 0
        self.ejected = False
        self.trial_running = False

    def record_state(self, incarnation: str | None, *, leaving: bool) -> None:
        """Record whether the target reports that it is leaving.

        Leaving is final for one start of a target, whatever a delayed report says; only a
        target that reports a new incarnation gets work again.
        """
        restarted = incarnation is not None and incarnation != self.incarnation
        if restarted and self.incarnation is not None:
            self.leaving = False
            self.reported_leaving = False
            self.report_shortfall = 0.0
            self.backoff_until = -math.inf
        if incarnation is not None:
            self.incarnation = incarnation
        self.reported_leaving = self.reported_leaving or leaving
        self.leaving = self.leaving or leaving

    def refuses_work(self, now: Seconds) -> bool:
        """Return whether the target is leaving or requests back-off."""
        return self.leaving or now < self.backoff_until

    def record_peer_leaving(self, incarnation: str | None) -> None:
        """Record a peer's report that this start of the target is leaving."""
        if incarnation is not None and self.incarnation not in (None, incarnation):
            return
        self.leaving = True
        self.incarnation = incarnation

    def begin_warm_up(self, now: Seconds, duration: Seconds) -> None:
        """Begin the slow start of a target that reports that it is warming up.

        Parameters
        ----------
        now : float
        duration : float
            Seconds.
        """
        if now >= self.slow_start_at + self.slow_start_s:
            self.slow_start_at = now
            self.slow_start_s = duration
