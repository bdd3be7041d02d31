"""Rank targets by load reports that are a few milliseconds old.

Where the latency of a target changes many times a second, a report from an earlier answer
is stale when it is needed.  So a few candidates are probed just before a request is sent.
This module decides which targets to probe and which reports are good enough to send the
request.  See ``docs/design/fresh-reports.md``.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from dunlinnotch.coordination.choosing.latency_model import LatencyModel
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Seconds

#: Age up to which a report needs no new probe, in seconds: it is as good as a new one.
MAX_FRESH_AGE_S = 0.012
#: Age up to which a report is used at all, in seconds: it says something of a target's
#: latency for about this long.
MAX_REPORT_AGE_S = 0.3
#: Expected latency ratio up to which a request is sent without looking for a better target.
MAX_GOOD_RATIO = 1.35
#: Consecutive failures after which a target is ejected.
_EJECT_AFTER_FAILURES = 2
#: Minimum and maximum ejection time, in seconds; it doubles with each further failure.
_EJECTION_RANGE_S = (0.5, 4.0)
#: Doublings that reach the longest ejection; more would overflow after a thousand failures.
_MAX_EJECTION_DOUBLINGS = 8
#: Factors and penalty on the expected latency ratio of a target.
_SLOW_START_FACTOR = 1.6
#: Finite, because a failing health check may be wrong: the target stays a last choice.
_UNHEALTHY_FACTOR = 3.0
_REMOTE_PLACE_PENALTY = 0.15
#: Expected latency ratio of a target without a usable report.
_UNKNOWN_RATIO = 6.0


def expected_latency_ratio(
    instance: Instance, now: Seconds, *, place: str = "", slowdown: float = 1.0
) -> float:
    """Return the expected latency ratio of a request at a target: 1.0 is the usual latency.

    Parameters
    ----------
    instance : Instance
    now : float
    place : str, optional
        Place of this box; a target in another place gets a penalty.
    slowdown : float, default 1.0
        Factor by which the utilisation of the target raises the latency.

    Returns
    -------
    float
        Never within `MAX_GOOD_RATIO` for a target without a usable report.
    """
    report = instance.report
    if report is None or now - instance.reported_at > MAX_REPORT_AGE_S:
        return _UNKNOWN_RATIO + instance.in_flight
    queueing = 1.0 + max(0.0, overload(instance))
    slow_start = _SLOW_START_FACTOR if now < instance.slow_start_until else 1.0
    unhealthy = 1.0 if instance.healthy else _UNHEALTHY_FACTOR
    remote = _REMOTE_PLACE_PENALTY if place and instance.listed.place != place else 0.0
    return max(0.2, report.latency_ratio) * slowdown * queueing * slow_start * unhealthy + remote


def overload(instance: Instance) -> float:
    """Return by how much one more request would exceed the slots, as a share of the slots."""
    if instance.report is None:
        return 0.0
    return utilisation(instance) - 1.0


def utilisation(instance: Instance) -> float:
    """Return the share of a target's slots in use with one more request; above 1 it queues."""
    slots = 1 if instance.report is None else max(1, instance.report.slots)
    return (instance.queued_ahead + 1) / slots


def _is_excluded(instance: Instance, now: Seconds) -> bool:
    """Return whether a target is in back-off or ejected."""
    return now < max(instance.backoff_until, instance.ejected_until)


class FreshReportChooser:
    """Order targets for probing, judge their reports and eject those that fail.

    Parameters
    ----------
    place : str
        Place of this box.
    latency_model : LatencyModel
        Learnt latencies and slowdowns.
    rng : random.Random
    only_unreached : callable, optional
        Returns whether this box is cut off from a service whose targets its peers reach.
    """

    def __init__(
        self,
        *,
        place: str,
        latency_model: LatencyModel,
        rng: random.Random,
        only_unreached: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._only_unreached = only_unreached
        self._place = place
        self._latency_model = latency_model
        self._rng = rng

    def order(
        self, instances: Iterable[Instance], now: Seconds, *, exclude: Collection[str]
    ) -> list[Instance]:
        """Return the usable targets in the order in which to probe them.

        Notes
        -----
        Targets of this box's place come first, then those of other places, then those
        reported slow or saturated, then those missing from the store, then ejected ones.
        Ties are ordered at random, so that boxes don't all use the same target.  Targets
        in back-off are left out.
        """
        usable = [
            i
            for i in instances
            if i.name not in exclude and not i.removed and now >= i.backoff_until
        ]
        return sorted(usable, key=lambda i: (self._tier(i, now), self._rng.random()))

    def _tier(self, instance: Instance, now: Seconds) -> int:
        remote = instance.listed.place != self._place
        if now < instance.ejected_until:
            return 5
        if instance.missing_since is not None:
            return 4
        reported = now - instance.reported_at < MAX_REPORT_AGE_S
        if (
            reported
            and expected_latency_ratio(instance, now, slowdown=self._slowdown(instance))
            > MAX_GOOD_RATIO
        ):
            return 2 + remote
        return int(remote)

    def expected_ratio(self, instance: Instance, now: Seconds) -> float:
        """Return the expected latency ratio, with the penalty for another place."""
        return expected_latency_ratio(
            instance, now, place=self._place, slowdown=self._slowdown(instance)
        )

    def is_good(self, instance: Instance, now: Seconds) -> bool:
        """Return whether a request may go to a target without probing others."""
        if overload(instance) > 0 or _is_excluded(instance, now):
            return False
        return (
            expected_latency_ratio(instance, now, slowdown=self._slowdown(instance))
            <= MAX_GOOD_RATIO
        )

    def is_saturated(self, instance: Instance) -> bool:
        """Return whether one more request would queue or be slowed down at a target."""
        return overload(instance) > 0 or self._slowdown(instance) > MAX_GOOD_RATIO

    def explores(self, instance: Instance, now: Seconds) -> bool:
        """Return whether to send to a nearly saturated target, to learn its slowdown."""
        if overload(instance) > 0 or _is_excluded(instance, now):
            return False
        if expected_latency_ratio(instance, now) > MAX_GOOD_RATIO:
            return False
        share = self._latency_model.exploration_share(
            instance.listed.service, utilisation(instance)
        )
        return self._rng.random() < share

    def _slowdown(self, instance: Instance) -> float:
        if instance.queued_ahead == 0:
            return 1.0
        return self._latency_model.slowdown(instance.listed.service, utilisation(instance))

    @staticmethod
    def record_failure(instance: Instance, now: Seconds) -> None:
        """Record a failure; consecutive failures eject the target for a while."""
        instance.failures += 1
        excess_failures = instance.failures - _EJECT_AFTER_FAILURES
        if excess_failures >= 0:
            min_s, max_s = _EJECTION_RANGE_S
            doublings = min(excess_failures, _MAX_EJECTION_DOUBLINGS)
            instance.ejected_until = now + min(max_s, math.ldexp(min_s, doublings))

    def record_no_contact(self, instance: Instance, now: Seconds) -> None:
        """Record that a target could not be reached, or did not answer a probe.

        Notes
        -----
        It is a failure of the target unless this box is cut off from it: targets ejected for
        that would stay out of use after the path is back.
        """
        if not self._only_unreached(instance.listed.service):
            self.record_failure(instance, now)

    def record_refusal(self, instance: Instance, status: TargetStatus, now: Seconds) -> None:
        """Record that a target refused a request, with the status it sent.

        Notes
        -----
        A refusal counts as a failure if the target reports free slots and requests no
        back-off.  Such a target is idle because it refuses, so by load alone it would keep
        attracting requests.
        """
        report = status.report
        if report is not None and report.running < report.slots and not status.backoff:
            self.record_failure(instance, now)

    @staticmethod
    def record_success(instance: Instance) -> None:
        """Record a successful answer, which ends an ejection."""
        instance.failures = 0
        instance.ejected_until = 0.0
