"""Choose the target that takes a call.

The rule: draw a place by its share, then take the target with the fewest
calls thought to be in flight for its capacity, ties by chance.  See
``docs/design/choice.md`` for the ways weighed and the measurement.
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

#: Fade of a report before any answer time is known, in seconds.
_FIRST_FADE_S = 0.02
#: Least time that a call is expected to take, in seconds.
_LEAST_TIME_S = 0.0005
#: Weight of a new sample in the running means.
_GAIN = 0.05
#: Fades without any report after which nothing is known of the others' calls.
_SILENT_FADES = 20.0


class Candidate(NamedTuple):
    """One target that was looked at; the least one is chosen.

    Parameters
    ----------
    score : float
        1.0 means full.
    tie : float
        Drawn by chance, so that equal scores fall to any of their targets.
    target : TargetRecord
    """

    score: float
    tie: float
    target: TargetRecord


@dataclass(frozen=True, slots=True)
class Choice:
    """The target chosen and why.

    Parameters
    ----------
    target : TargetRecord
    score : float
        Calls thought to be in flight for each trusted slot.
    reason : str
        ``least``, ``spill``, ``trial`` or ``last-resort``.
    candidates : tuple of Candidate
    """

    target: TargetRecord
    score: float
    reason: str
    candidates: tuple[Candidate, ...]


class Chooser:
    """Choose among the targets of one service that this box works with.

    Parameters
    ----------
    rng : random.Random
        Breaks ties and draws places.
    eject_after : int, default 3
        Errors in a row after which a target is set aside.
    eject_share : float, default 0.4
        Most of the targets that may be set aside at once.
    trial_s : float, default 0.5
        Seconds between trial calls to a target set aside.
    warm_up_s : float, default 5.0
        Ramp of a cold target, in seconds.

    Notes
    -----
    Not thread-safe; the caller holds a lock.
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
        self._last_report = -math.inf
        self._answer_time = _FIRST_FADE_S
        self._answer_times: dict[str, Seconds] = {}

    def set_targets(self, targets: Iterable[TargetRecord], shares: dict[str, float]) -> None:
        """Replace the targets and the share of calls that each place takes.

        Parameters
        ----------
        targets : iterable of TargetRecord
        shares : dict of str to float
            Chance of each place; places left out take calls only by spill
            if they have targets with a share above 0 nowhere.
        """
        self._targets = {}
        for target in targets:
            self._targets.setdefault(target.place, []).append(target)
        self._shares = {place: s for place, s in shares.items() if place in self._targets and s > 0}

    @property
    def targets(self) -> list[TargetRecord]:
        """All targets in use, place by place."""
        return [target for group in self._targets.values() for target in group]

    def sharing(self) -> Iterator[TargetRecord]:
        """Yield the targets of places that take a share of the calls."""
        for place in self._shares:
            yield from self._targets[place]

    @property
    def mean_latency(self) -> Seconds:
        """Running mean of the time that an answer takes, in seconds."""
        return self._answer_time

    def score(self, target: TargetRecord, now: Seconds) -> float:
        """Return the calls thought to be in flight at ``target`` for each trusted slot."""
        mean = self._mean_now(now)
        occupancy = target.occupancy(now, mean_others=mean, fade=self._answer_time)
        return occupancy / target.capacity(now)

    def in_flight(self, target: TargetRecord, now: Seconds) -> float:
        """Return the calls of all boxes thought to be in flight at ``target``."""
        return target.in_flight(now, mean_others=self._mean_now(now), fade=self._answer_time)

    def choose(
        self,
        now: Seconds,
        *,
        exclude: Collection[Address] = (),
        trial_allowed: bool = True,
    ) -> Choice | None:
        """Return the target for one call, or None if no target may take it.

        Parameters
        ----------
        now : float
        exclude : collection of str, default ()
            Addresses already tried for this call.
        trial_allowed : bool, default True
            Whether the call may be used to try a target that was set aside.
        """
        if trial_allowed:
            trial = self._due_trial(now, exclude)
            if trial is not None:
                return Choice(trial, self.score(trial, now), "trial", ())
        home = self._draw_place()
        near = self._usable(home, now, exclude)
        best = min(near, default=None)
        if best is not None and best.score < 1.0:
            return Choice(best.target, best.score, "least", tuple(near))
        others = [place for place in self._shares if place != home]
        everything = near + [c for place in others for c in self._usable(place, now, exclude)]
        if not everything:
            return self._last_resort(now, exclude)
        least = min(everything)
        why = "least" if least is best else "spill"
        return Choice(least.target, least.score, why, tuple(everything))

    def begin(self, target: TargetRecord, now: Seconds, *, kind: str) -> Flight:
        """Count one call as in flight at ``target``.

        Returns
        -------
        Flight
            To be given to :meth:`finish`.
        """
        flight = Flight(now, self._answer_times.get(kind, self._answer_time))
        target.flights.append(flight)
        target.last_used = now
        if target.aside:
            target.trial_running = True
            target.next_trial = now + self.trial_s
        return flight

    def record_report(self, target: TargetRecord, now: Seconds, in_flight: int) -> None:
        """Take in a load report that came with an answer or a probe."""
        others = target.heard(now, in_flight)
        self._mean_others += _GAIN * (others - self._mean_others)
        self._last_report = now

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
        """Count one call as ended.

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
            Whether the call says anything of the target's speed or errors.
        """
        target.flights.remove(flight)
        target.trial_running = False
        if not counted:
            return
        if not failed:
            target.succeeded()
            self._learn_time(kind, now - flight.began)
            return
        target.failed(now)
        if target.errors_in_row >= self.eject_after and self._may_set_aside():
            target.aside = True
            target.next_trial = now + self.trial_s

    def _learn_time(self, kind: str, took: Seconds) -> None:
        self._answer_time += _GAIN * (took - self._answer_time)
        known = self._answer_times.get(kind, self._answer_time)
        self._answer_times[kind] = max(_LEAST_TIME_S, known + _GAIN * (took - known))

    def _mean_now(self, now: Seconds) -> float:
        silent = now - self._last_report
        return 0.0 if silent > _SILENT_FADES * self._answer_time else self._mean_others

    def _may_set_aside(self) -> bool:
        targets = self.targets
        aside = sum(target.aside for target in targets)
        return aside + 1 <= self.eject_share * len(targets)

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
        for target in self.sharing():
            due = target.aside and not target.trial_running and now >= target.next_trial
            if due and not target.wants_nothing(now) and target.address not in exclude:
                return target
        return None

    def _usable(self, place: str, now: Seconds, exclude: Collection[Address]) -> list[Candidate]:
        mean, fade, draw = self._mean_now(now), self._answer_time, self._rng.random
        return [
            Candidate(
                target.occupancy(now, mean_others=mean, fade=fade) / target.capacity(now),
                draw(),
                target,
            )
            for target in self._targets.get(place, ())
            if not (target.wants_nothing(now) or target.aside or target.address in exclude)
        ]

    def _last_resort(self, now: Seconds, exclude: Collection[Address]) -> Choice | None:
        """Use a target set aside rather than none at all."""
        aside = [t for t in self.sharing() if not (t.wants_nothing(now) or t.address in exclude)]
        if not aside:
            return None
        target = min(aside, key=lambda t: (t.own, self._rng.random()))
        return Choice(target, self.score(target, now), "last-resort", ())


def place_shares(
    home: str, *, weights: dict[str, float], demand: dict[str, float]
) -> dict[str, float]:
    """Return the chance with which a box at ``home`` sends to each place.

    Each place gets its weight's share of all calls.  A box fills its own
    place first, and sends what its place can't take to the places whose own
    boxes don't fill them.

    Parameters
    ----------
    home : str
        The place of the box.
    weights : dict of str to float
        Weight of each place that has targets and is running.
    demand : dict of str to float
        Calls that arrive at the boxes of each place, in any unit.

    Returns
    -------
    dict of str to float
        Sums to 1, or is empty if all weights are 0.

    Examples
    --------
    >>> place_shares("a", weights={"a": 1.0, "b": 1.0}, demand={"a": 3.0, "b": 1.0})
    {'a': 0.6666666666666666, 'b': 0.3333333333333333}
    """
    total_weight = sum(weights.values())
    if total_weight <= 0:
        return {}
    total_demand = sum(demand.values()) or 1.0
    want = {place: weight / total_weight for place, weight in weights.items()}
    have = {place: demand.get(place, 0.0) / total_demand for place in {*weights, *demand}}
    if have.get(home, 0.0) <= 0.0:
        return want
    kept = min(have[home], want.get(home, 0.0)) / have[home]
    lacking = {p: w - min(w, have.get(p, 0.0)) for p, w in want.items() if p != home}
    total_lacking = sum(lacking.values())
    if kept >= 1.0 or total_lacking <= 0.0:
        return {home: 1.0} if kept > 0 else want
    shares = {home: kept} if kept > 0 else {}
    shares.update({p: (1.0 - kept) * v / total_lacking for p, v in lacking.items() if v > 0})
    return shares
