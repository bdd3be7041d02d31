"""Choose the least loaded target for a call.

A place is drawn at random by its share.  Within it, the target with the lowest estimated
number of calls in flight per slot is chosen; ties are broken at random.  See
``docs/design/choice.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from dunlinnotch.state.targets import Flight

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable, Iterator

    from dunlinnotch.state.targets import TargetRecord
    from dunlinnotch.types import Address, Seconds

#: Mean latency assumed before the first answer, in seconds.
_INITIAL_LATENCY_S = 0.02
#: Minimum expected latency of a call, in seconds.
_MIN_EXPECTED_LATENCY_S = 0.0005
#: Weight of a new sample in the running means.
_GAIN = 0.05
#: Time without any load report, in mean latencies, after which the other boxes are assumed
#: to send no calls.
_STALE_AFTER_LATENCIES = 20.0


class Candidate(NamedTuple):
    """One target considered for a call; the lowest one in tuple order is chosen.

    Parameters
    ----------
    score : float
        Estimated calls in flight for each slot; 1.0 means saturated.
    tie_breaker : float
        Random, so that equal scores are spread over their targets.
    target : TargetRecord
    """

    score: float
    tie_breaker: float
    target: TargetRecord


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen target and the reason.

    Parameters
    ----------
    target : TargetRecord
    score : float
        Estimated calls in flight for each slot of the target's capacity.
    reason : str
        ``least``: lowest score in the drawn place.  ``spill``: that place is saturated, and
        the lowest score is in another.  ``trial``: probes an ejected target with a call.
        ``last-resort``: no target is left but ejected ones.
    candidates : tuple of Candidate
    """

    target: TargetRecord
    score: float
    reason: str
    candidates: tuple[Candidate, ...]


class Chooser:
    """Choose among the targets of one service in this box's subset.

    Parameters
    ----------
    rng : random.Random
        Breaks ties and draws places.
    eject_after : int, default 3
        Consecutive errors after which a target is ejected.
    eject_share : float, default 0.4
        Maximum share of the targets that may be ejected at once.
    trial_s : float, default 0.5
        Seconds between trial calls to an ejected target.
    warm_up_s : float, default 5.0
        Length of the slow start of a target, in seconds.

    Notes
    -----
    Not thread-safe; callers must hold a lock.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        eject_after: int = 3,
        eject_share: float = 0.4,
        trial_s: Seconds = 0.5,
        warm_up_s: Seconds = 5.0,
    ) -> None:
        self._rng = rng
        self.eject_after = eject_after
        self.eject_share = eject_share
        self.trial_s = trial_s
        self.warm_up_s = warm_up_s
        self._targets: dict[str, list[TargetRecord]] = {}
        self._shares: dict[str, float] = {}
        self._mean_others = 0.0
        self._last_report_at = -math.inf
        self._mean_latency = _INITIAL_LATENCY_S
        self._latency_by_kind: dict[str, Seconds] = {}

    def set_targets(self, targets: Iterable[TargetRecord], shares: dict[str, float]) -> None:
        """Replace the targets and the share of calls for each place.

        Parameters
        ----------
        targets : iterable of TargetRecord
        shares : dict of str to float
            Probability of each place.  Places that are left out, have a share of 0 or have
            no targets are never drawn and receive no spilled calls.
        """
        self._targets = {}
        for target in targets:
            self._targets.setdefault(target.place, []).append(target)
        self._shares = {place: s for place, s in shares.items() if place in self._targets and s > 0}

    @property
    def targets(self) -> list[TargetRecord]:
        """All targets in use, grouped by place."""
        return [target for group in self._targets.values() for target in group]

    def targets_with_share(self) -> Iterator[TargetRecord]:
        """Yield the targets of places with a share of the calls."""
        for place in self._shares:
            yield from self._targets[place]

    @property
    def mean_latency(self) -> Seconds:
        """Running mean of the latency of calls, in seconds."""
        return self._mean_latency

    def score(self, target: TargetRecord, now: Seconds) -> float:
        """Return the estimated calls in flight for each slot of the target's capacity."""
        mean = self._current_mean_others(now)
        occupancy = target.occupancy(now, mean_others=mean, fade=self._mean_latency)
        return occupancy / target.capacity(now)

    def in_flight(self, target: TargetRecord, now: Seconds) -> float:
        """Return the estimated calls in flight at a target, from all boxes."""
        return target.in_flight(
            now, mean_others=self._current_mean_others(now), fade=self._mean_latency
        )

    def choose(
        self,
        now: Seconds,
        *,
        exclude: Collection[Address] = (),
        trial_allowed: bool = True,
    ) -> Choice | None:
        """Return the target for one call, or None if no target is usable.

        Parameters
        ----------
        now : float
        exclude : collection of str, default ()
            Addresses already tried for this call.
        trial_allowed : bool, default True
            Whether the call may be sent to an ejected target, as a trial.
        """
        if trial_allowed:
            trial = self._due_trial(now, exclude)
            if trial is not None:
                return Choice(trial, self.score(trial, now), "trial", ())
        home = self._draw_place()
        home_candidates = self._candidates(home, now, exclude)
        best = min(home_candidates, default=None)
        if best is not None and best.score < 1.0:
            return Choice(best.target, best.score, "least", tuple(home_candidates))
        others = [place for place in self._shares if place != home]
        all_candidates = home_candidates + [
            c for place in others for c in self._candidates(place, now, exclude)
        ]
        if not all_candidates:
            return self._last_resort(now, exclude)
        lowest = min(all_candidates)
        reason = "least" if lowest is best else "spill"
        return Choice(lowest.target, lowest.score, reason, tuple(all_candidates))

    def begin(self, target: TargetRecord, now: Seconds, *, kind: str) -> Flight:
        """Record that one call is sent to a target.

        Returns
        -------
        Flight
            To be passed to :meth:`finish`.
        """
        flight = Flight(now, self._latency_by_kind.get(kind, self._mean_latency))
        target.flights.append(flight)
        target.last_used = now
        if target.ejected:
            target.trial_running = True
            target.next_trial_at = now + self.trial_s
        return flight

    def heard(self, target: TargetRecord, now: Seconds, in_flight: int) -> None:
        """Record a load report that came with an answer or a probe result.

        Parameters
        ----------
        target : TargetRecord
        now : float
        in_flight : int
            Calls in flight at the target besides the one that was answered.
        """
        others = target.record_report(now, in_flight)
        self._mean_others += _GAIN * (others - self._mean_others)
        self._last_report_at = now

    def finish(
        self,
        target: TargetRecord,
        flight: Flight,
        now: Seconds,
        *,
        kind: str,
        failed: bool,
        counted: bool = True,
    ) -> None:
        """Record that one call ended.

        Parameters
        ----------
        target : TargetRecord
        flight : Flight
            As returned by :meth:`begin`.
        now : float
        kind : str
        failed : bool
            Whether the target answered with an error or not at all.
        counted : bool, default True
            Whether the call counts towards the target's latency and errors.
        """
        target.flights.remove(flight)
        target.trial_running = False
        if not counted:
            return
        if not failed:
            target.record_success()
            self._record_latency(kind, now - flight.began)
            return
        target.record_failure(now)
        if target.errors_in_row >= self.eject_after and self._may_eject():
            target.ejected = True
            target.next_trial_at = now + self.trial_s

    def _record_latency(self, kind: str, latency: Seconds) -> None:
        self._mean_latency += _GAIN * (latency - self._mean_latency)
        expected = self._latency_by_kind.get(kind, self._mean_latency)
        self._latency_by_kind[kind] = max(
            _MIN_EXPECTED_LATENCY_S, expected + _GAIN * (latency - expected)
        )

    def _current_mean_others(self, now: Seconds) -> float:
        silence = now - self._last_report_at
        return 0.0 if silence > _STALE_AFTER_LATENCIES * self._mean_latency else self._mean_others

    def _may_eject(self) -> bool:
        targets = self.targets
        ejected_count = sum(target.ejected for target in targets)
        return ejected_count + 1 <= self.eject_share * len(targets)

    def _draw_place(self) -> str:
        if len(self._shares) <= 1:
            return next(iter(self._shares), "")
        draw = self._rng.random() * sum(self._shares.values())
        for place, share in self._shares.items():
            draw -= share
            if draw < 0:
                return place
        return place

    def _due_trial(self, now: Seconds, exclude: Collection[Address]) -> TargetRecord | None:
        for target in self.targets_with_share():
            due = target.ejected and not target.trial_running and now >= target.next_trial_at
            if due and not target.refuses_work(now) and target.address not in exclude:
                return target
        return None

    def _candidates(
        self, place: str, now: Seconds, exclude: Collection[Address]
    ) -> list[Candidate]:
        mean, fade, draw = self._current_mean_others(now), self._mean_latency, self._rng.random
        return [
            Candidate(
                target.occupancy(now, mean_others=mean, fade=fade) / target.capacity(now),
                draw(),
                target,
            )
            for target in self._targets.get(place, ())
            if not (target.refuses_work(now) or target.ejected or target.address in exclude)
        ]

    def _last_resort(self, now: Seconds, exclude: Collection[Address]) -> Choice | None:
        """Choose an ejected target rather than none."""
        ejected = [
            t
            for t in self.targets_with_share()
            if not (t.refuses_work(now) or t.address in exclude)
        ]
        if not ejected:
            return None
        target = min(ejected, key=lambda t: (t.own_in_flight, self._rng.random()))
        return Choice(target, self.score(target, now), "last-resort", ())


def place_shares(
    home: str, *, weights: dict[str, float], demand: dict[str, float]
) -> dict[str, float]:
    """Return the probability with which a box at ``home`` sends a call to each place.

    Each place receives the share of all calls that its weight gives it.  A box sends calls
    to its own place first.  Calls beyond that place's share go to the places whose boxes
    send less than the place's share.

    Parameters
    ----------
    home : str
        The place of the box.
    weights : dict of str to float
        Weight of each place that has targets and is running.
    demand : dict of str to float
        Calls arriving at the boxes of each place, in any unit.

    Returns
    -------
    dict of str to float
        Sums to 1, or is empty if all weights are 0.

    Examples
    --------
    >>> place_shares("a", weights={"a": 1.0, "b": 1.0}, demand={"a": 3.0, "b": 1.0})
    {'a': 0.6666666666666666, 'b': 0.33333333333333337}
    """
    total_weight = sum(weights.values())
    if total_weight <= 0:
        return {}
    total_demand = sum(demand.values()) or 1.0
    weight_shares = {place: weight / total_weight for place, weight in weights.items()}
    demand_shares = {place: demand.get(place, 0.0) / total_demand for place in {*weights, *demand}}
    if demand_shares.get(home, 0.0) <= 0.0:
        return weight_shares
    local_share = min(demand_shares[home], weight_shares.get(home, 0.0)) / demand_shares[home]
    deficits = {
        p: w - min(w, demand_shares.get(p, 0.0)) for p, w in weight_shares.items() if p != home
    }
    total_deficit = sum(deficits.values())
    if local_share >= 1.0 or total_deficit <= 0.0:
        return {home: 1.0} if local_share > 0 else weight_shares
    shares = {home: local_share} if local_share > 0 else {}
    shares.update(
        {p: (1.0 - local_share) * v / total_deficit for p, v in deficits.items() if v > 0}
    )
    return shares
