"""Learn the usual latency of each kind of request, and the slowdown by utilisation.

Many targets run requests more slowly while nearly all their slots are in use.  From which
utilisation, and by how much, differs between services.  It is learnt from the answers to
requests that were sent on a recent load report.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: Number of utilisation steps for which a slowdown is learnt: tenths of the slots.
_UTILISATION_STEPS = 10
#: Utilisation above which a slowdown is assumed until answers are known, and that slowdown:
#: the last fifth of the slots is taken to be slow (``docs/design/overload.md``).
_PRIOR_SLOWDOWN_ABOVE, _PRIOR_SLOWDOWN = 0.8, 1.7
#: Weight of the assumed slowdown, in answers.
_PRIOR_ANSWERS = 4
#: Minimum weight of a new answer, so that estimates follow changes within some 20 answers.
_MIN_GAIN = 0.05
#: Share of requests sent to explore a utilisation step taken to be slow, without answers
#: and with many.  A step that is never explored is never learnt, but each such request may
#: take longer.
_EXPLORE_UNKNOWN, _EXPLORE_KNOWN = 0.03, 0.01
#: Latency ratio at which a single answer is capped, so that outliers count less.
_MAX_RATIO = 5.0
#: Utilisation up to which an answer counts towards the usual latency of its kind.
_MAX_UNLOADED_UTILISATION = 0.5
#: Age up to which a report describes the load that a request met, in seconds.
_MAX_INFORMATIVE_AGE_S = 0.03
#: Reported latency ratio up to which a target counts as working at its usual speed.
_MAX_USUAL_LATENCY_RATIO = 1.25


@dataclass(slots=True)
class _RunningMean:
    """Running mean with a minimum weight for new values."""

    value: float
    weight: int

    def add(self, value: float) -> None:
        self.weight += 1
        self.value += max(_MIN_GAIN, 1 / self.weight) * (value - self.value)


@dataclass(slots=True)
class _Slowdown:
    """Slowdown as the ratio of two decaying sums: latencies, and usual latencies.

    A mean of ratios would give trivially short requests as much weight as long ones.
    """

    latency: Seconds
    usual_latency: Seconds
    answers: int = 0

    @classmethod
    def prior(cls, factor: float, usual_latency: Seconds) -> _Slowdown:
        return cls(factor * usual_latency * _PRIOR_ANSWERS, usual_latency * _PRIOR_ANSWERS)

    @property
    def factor(self) -> float:
        return self.latency / self.usual_latency

    def add(self, latency: Seconds, usual_latency: Seconds) -> None:
        decay = 1.0 - _MIN_GAIN
        self.latency = self.latency * decay + latency
        self.usual_latency = self.usual_latency * decay + usual_latency
        self.answers += 1


@dataclass(frozen=True, slots=True)
class LoadAtSend:
    """Load of a target, as known when a request was sent there.

    Parameters
    ----------
    queued_ahead, slots : int
        Requests at the target before this one, and its slots.
    latency_ratio : float
        Latency ratio that the target reported; 1.0 is usual.
    report_age : float
        Age of the load report, in seconds.
    """

    queued_ahead: int
    slots: int
    latency_ratio: float
    report_age: Seconds

    @property
    def utilisation(self) -> float:
        """Share of the slots in use with this request; above 1 it queues."""
        return (self.queued_ahead + 1) / self.slots

    @property
    def is_informative(self) -> bool:
        """Whether utilisation alone explains the latency of the request."""
        return (
            self.report_age <= _MAX_INFORMATIVE_AGE_S
            and self.latency_ratio <= _MAX_USUAL_LATENCY_RATIO
            and self.queued_ahead < self.slots
        )


class LatencyModel:
    """Usual latency of each kind of request, and slowdown by utilisation of each service."""

    def __init__(self) -> None:
        self._usual_latencies: dict[str, _RunningMean] = {}
        self._slowdowns: dict[tuple[str, int], _Slowdown] = {}

    def usual_latency(self, kind: str) -> Seconds | None:
        """Return the latency of a kind at a target with free slots, in seconds; None if unknown."""
        estimate = self._usual_latencies.get(kind)
        return None if estimate is None else estimate.value

    def slowdown(self, service: str, utilisation: float) -> float:
        """Return the factor by which a utilisation raises the latency.

        Parameters
        ----------
        service : str
        utilisation : float
            Share of the slots in use with this request.
        """
        estimate = self._slowdowns.get((service, _step(utilisation)))
        return _prior(utilisation) if estimate is None else estimate.factor

    def exploration_share(self, service: str, utilisation: float) -> float:
        """Return the share of requests to send to a utilisation that is taken to be slow."""
        estimate = self._slowdowns.get((service, _step(utilisation)))
        answers = 0 if estimate is None else estimate.answers
        return max(_EXPLORE_KNOWN, 1 / (1 / _EXPLORE_UNKNOWN + answers))

    def record(self, kind: str, service: str, load: LoadAtSend, latency: Seconds) -> None:
        """Record the latency of one answer.

        Parameters
        ----------
        kind, service : str
        load : LoadAtSend
        latency : float
            Seconds from sending the request to its answer.
        """
        if not load.is_informative:
            return
        if load.utilisation <= _MAX_UNLOADED_UTILISATION or load.queued_ahead == 0:
            self._usual_latencies.setdefault(kind, _RunningMean(latency, 0)).add(latency)
            return
        usual_latency = self.usual_latency(kind)
        if not usual_latency:
            return
        key = (service, _step(load.utilisation))
        estimate = self._slowdowns.get(key)
        if estimate is None:
            estimate = self._slowdowns[key] = _Slowdown.prior(
                _prior(load.utilisation), usual_latency
            )
        estimate.add(min(latency, _MAX_RATIO * usual_latency), usual_latency)


def _step(utilisation: float) -> int:
    return min(_UTILISATION_STEPS, math.ceil(utilisation * _UTILISATION_STEPS - 1e-9))


def _prior(utilisation: float) -> float:
    return _PRIOR_SLOWDOWN if utilisation > _PRIOR_SLOWDOWN_ABOVE else 1.0
