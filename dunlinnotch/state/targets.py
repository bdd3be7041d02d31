"""What one box knows of one target: exact counts of its own, estimates of the rest."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Address, Seconds

#: Weight of a new sample in the share of reports that were found too low.
_DOUBT_GAIN = 0.1
#: Share of shortfall above which a target's own reports are no longer used.
MAX_REPORT_SHORTFALL = 0.35
#: Time constant, in seconds, over which the load charged for errors fades.
_ERROR_FADE_S = 0.5
#: Differences below a tenth of a call are noise; without them, idle targets tie and share.
_OCCUPANCY_DIGITS = 1
#: Load for errors below which they are forgotten, in calls.
_ERROR_LEAST = 0.5
#: Share of its slots that a wholly cold target is trusted with.
_COLD_SHARE = 0.2
#: Load charged for an overdue call, as a share of the target's slots, at most.
_OVERDUE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Flight:
    """One call of this box at a target.

    Parameters
    ----------
    began : float
        When it was sent, in monotonic seconds.
    expected : float
        Seconds that a call of its kind has taken of late, on any target.
    """

    began: Seconds
    expected: Seconds


@dataclass(slots=True)
class TargetRecord:
    """State of one target as seen by one box.

    Parameters
    ----------
    address : str
    place : str
    slots : int
        Calls the target runs at once.
    sharers : float, default 1.0
        Boxes that send to this target, this one included.

    Notes
    -----
    ``flights`` is exact.  ``others`` comes from the target's own word on its last
    answer and is stale by the time it is read; :meth:`occupancy` ages it
    back to the mean of all targets.
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
    warm_from: Seconds = -math.inf
    warm_up: Seconds = 0.0
    last_used: Seconds = -math.inf
    backoff_until: Seconds = -math.inf

    @property
    def own_in_flight(self) -> int:
        """Calls of this box that are in flight at the target."""
        return len(self.flights)

    def in_flight(self, now: Seconds, *, mean_others: float, fade: Seconds) -> float:
        """Return the calls of all boxes thought to be in flight at the target.

        Parameters
        ----------
        now : float
        mean_others : float
            Mean of the other boxes' calls over all targets.
        fade : float
            Time constant, in seconds, at which a report loses its worth.
        """
        own = len(self.flights)
        if self.report_shortfall > MAX_REPORT_SHORTFALL:
            return own + max(mean_others, own * (self.sharers - 1.0))
        weight = math.exp(-(now - self.reported_at) / fade)
        return own + mean_others + (self.others_in_flight - mean_others) * weight

    def occupancy(self, now: Seconds, *, mean_others: float, fade: Seconds) -> float:
        """Return the calls in flight plus what overdue calls and errors are charged.

        Parameters are those of :meth:`in_flight`.
        """
        known = self.in_flight(now, mean_others=mean_others, fade=fade)
        if self.flights:
            known += self.overdue(now)
        if self.error_load:
            known += self.charged_errors(now)
        return round(known, _OCCUPANCY_DIGITS)

    def overdue(self, now: Seconds) -> float:
        """Return the load charged for the call that is most overdue, in calls.

        A target that has turned slow reports rarely, so its last report
        flatters it; its unanswered calls tell sooner.
        """
        worst = 0.0
        for flight in self.flights:
            late = (now - flight.began) / flight.expected - 1.0
            worst = max(worst, late)
        return min(worst, self.slots * _OVERDUE_SHARE)

    def charged_errors(self, now: Seconds) -> float:
        """Return the load charged for recent errors, in calls."""
        charged = self.error_load * math.exp(-(now - self.error_at) / _ERROR_FADE_S)
        if charged < _ERROR_LEAST:
            # Or else an idle service would never call the target again.
            self.error_load = 0.0
            return 0.0
        return charged

    def capacity(self, now: Seconds) -> float:
        """Return the slots the target is trusted with; fewer while it is cold."""
        if self.warm_up <= 0.0 or now >= self.warm_from + self.warm_up:
            return float(self.slots)
        warmth = max(0.0, (now - self.warm_from) / self.warm_up)
        return self.slots * (_COLD_SHARE + (1.0 - _COLD_SHARE) * warmth)

    def record_report(self, now: Seconds, in_flight: int) -> float:
        """Take in a target's report; return its estimate of the others' calls.

        Parameters
        ----------
        now : float
        in_flight : int
            Calls at the target besides the one that was answered.
        """
        own_besides = max(0, self.own_in_flight - 1)
        if own_besides > 1:
            short = max(0.0, own_besides - in_flight) / own_besides
            self.report_shortfall += _DOUBT_GAIN * (short - self.report_shortfall)
        self.others_in_flight = float(max(0, in_flight - own_besides))
        self.reported_at = now
        return self.others_in_flight

    def record_failure(self, now: Seconds) -> None:
        """Charge an error as one full target's load, so that failing fast never looks fast."""
        self.error_load = min(self.charged_errors(now), 2.0 * self.slots) + self.slots
        self.error_at = now
        self.errors_in_row += 1

    def record_success(self) -> None:
        """Forget errors in a row; the charged load fades by itself."""
        self.errors_in_row = 0
        self.ejected = False
        self.trial_running = False

    def record_state(self, incarnation: str | None, *, leaving: bool) -> None:
        """Take in the target's own word on whether it leaves.

        Leaving is final for one start of a target, whatever a lagging report
        says later; only a target that says it has started anew takes work
        again.
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
        """Return whether the target leaves or rests."""
        return self.leaving or now < self.backoff_until

    def record_peer_leaving(self, incarnation: str | None) -> None:
        """Take in a peer's word that this start of the target leaves."""
        if incarnation is not None and self.incarnation not in (None, incarnation):
            return
        self.leaving = True
        self.incarnation = incarnation

    def begin_warm_up(self, now: Seconds, duration: Seconds) -> None:
        """Start the ramp of a target that said it is cold."""
        if now >= self.warm_from + self.warm_up:
            self.warm_from = now
            self.warm_up = duration
