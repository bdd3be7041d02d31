"""Choose a target by reports of the last milliseconds.

Where a target's speed changes many times a second, what calls bring back is
stale when it is needed.  So a few candidates are asked just before a call is
sent; this module says whom to ask, and which of the answers is good enough.
See ``docs/design/fresh-reports.md``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterable

    from dunlinnotch.coordination.choosing.latency_model import LatencyModel
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Seconds

#: A report this young is as good as a new one, in seconds.
MAX_FRESH_AGE_S = 0.012
#: A report says something of a target's speed for about this long, in seconds.
MAX_REPORT_AGE_S = 0.3
#: Expected time, as a multiple of an idle target's, up to which a target is taken at once.
MAX_GOOD_RATIO = 1.35
#: Failures in a row after which a target is set aside.
_ASIDE_AFTER = 2
#: Shortest and longest time that a target is set aside, in seconds.
_ASIDE_S = (0.5, 4.0)
_COLD_FACTOR = 1.6
#: A health check that says no may lie; the target is used if no other is better.
_ILL_FACTOR = 3.0
#: What a target in another place is charged.
_AWAY = 0.15
#: Expected time of a target of which nothing is known.
_UNKNOWN = 6.0


def expected_latency_ratio(
    instance: Instance, now: Seconds, *, place: str = "", slowed: float = 1.0
) -> float:
    """Return how long work would take at a target, as a multiple of the usual time.

    Parameters
    ----------
    instance : Instance
    now : float
    place : str, optional
        The asking box's; targets elsewhere are charged for the way.
    slowed : float, default 1.0
        How many times longer work takes at a target so full.

    Returns
    -------
    float
        A target without a fresh report never looks good.
    """
    report = instance.report
    if report is None or now - instance.reported_at > MAX_REPORT_AGE_S:
        return _UNKNOWN + instance.in_flight
    rounds = 1.0 + max(0.0, overload(instance))
    cold = _COLD_FACTOR if now < instance.slow_start_until else 1.0
    ill = 1.0 if instance.healthy else _ILL_FACTOR
    away = _AWAY if place and instance.listed.place != place else 0.0
    return max(0.2, report.latency_ratio) * slowed * rounds * cold * ill + away


def overload(instance: Instance) -> float:
    """Return the requests at a target beyond its slots, as a share of the slots."""
    if instance.report is None:
        return 0.0
    return utilisation(instance) - 1.0


def utilisation(instance: Instance) -> float:
    """Return the share of a target's slots in use with one more request."""
    slots = 1 if instance.report is None else max(1, instance.report.slots)
    return (instance.queued_ahead + 1) / slots


def _is_out(instance: Instance, now: Seconds) -> bool:
    """Return whether a target rests or is set aside."""
    return now < max(instance.backoff_until, instance.ejected_until)


class FreshReportChooser:
    """Say whom to ask, and note how targets do.

    Parameters
    ----------
    place : str
        The box's own.
    latency_model : LatencyModel
        What was learnt of how long work takes.
    rng : random.Random
    """

    def __init__(self, *, place: str, latency_model: LatencyModel, rng: random.Random) -> None:
        self._place = place
        self._latency_model = latency_model
        self._rng = rng

    def order(
        self, instances: Iterable[Instance], now: Seconds, *, exclude: Collection[str]
    ) -> list[Instance]:
        """Return the targets in the order in which to ask them.

        Notes
        -----
        First those of the own place of which nothing bad was heard lately,
        then others, then those heard to be slow or full, then those set
        aside; by chance among equals, so that boxes do not run to the same one.
        Those that rest are neither asked nor sent anything.
        """
        usable = [
            i
            for i in instances
            if i.name not in exclude and not i.removed and now >= i.backoff_until
        ]
        return sorted(usable, key=lambda i: (self._tier(i, now), self._rng.random()))

    def _tier(self, instance: Instance, now: Seconds) -> int:
        away = instance.listed.place != self._place
        if now < instance.ejected_until:
            return 5
        if instance.missing_since is not None:
            return 4
        heard = now - instance.reported_at < MAX_REPORT_AGE_S
        if (
            heard
            and expected_latency_ratio(instance, now, slowed=self._slowed(instance))
            > MAX_GOOD_RATIO
        ):
            return 2 + away
        return int(away)

    def expected_ratio(self, instance: Instance, now: Seconds) -> float:
        """Return the expected time, the way to another place included."""
        return expected_latency_ratio(
            instance, now, place=self._place, slowed=self._slowed(instance)
        )

    def is_good(self, instance: Instance, now: Seconds) -> bool:
        """Return whether to send to a target without asking further ones."""
        if overload(instance) > 0 or _is_out(instance, now):
            return False
        return (
            expected_latency_ratio(instance, now, slowed=self._slowed(instance)) <= MAX_GOOD_RATIO
        )

    def is_saturated(self, instance: Instance) -> bool:
        """Return whether one more request would wait or be slowed down there."""
        return overload(instance) > 0 or self._slowed(instance) > MAX_GOOD_RATIO

    def explores(self, instance: Instance, now: Seconds) -> bool:
        """Return whether to send to a target nearly full, to learn what that costs."""
        if overload(instance) > 0 or _is_out(instance, now):
            return False
        if expected_latency_ratio(instance, now) > MAX_GOOD_RATIO:
            return False
        part = self._latency_model.exploration_share(instance.listed.service, utilisation(instance))
        return self._rng.random() < part

    def _slowed(self, instance: Instance) -> float:
        if instance.queued_ahead == 0:
            return 1.0
        return self._latency_model.slowdown(instance.listed.service, utilisation(instance))

    @staticmethod
    def record_failure(instance: Instance, now: Seconds) -> None:
        """Note a failure; several in a row set the target aside for a while."""
        instance.failures += 1
        over = instance.failures - _ASIDE_AFTER
        if over >= 0:
            shortest, longest = _ASIDE_S
            instance.ejected_until = now + min(longest, shortest * 2**over)

    def record_refusal(self, instance: Instance, said: TargetStatus, now: Seconds) -> None:
        """Note that a target turned a request away, and what it said with that.

        Notes
        -----
        One that is full, or asks for rest, says why.  One that says it has room is idle
        for turning work away and looks best of all by its load, so it is set aside as one
        that fails: with three in ten targets turning all away, refused requests fell from
        387 to 52 of 11,900 (one day of 17 boxes each).
        """
        report = said.report
        if report is not None and report.running < report.slots and not said.backoff:
            self.record_failure(instance, now)

    @staticmethod
    def record_success(instance: Instance) -> None:
        """Note an answer that was as it should be."""
        instance.failures = 0
        instance.ejected_until = 0.0
