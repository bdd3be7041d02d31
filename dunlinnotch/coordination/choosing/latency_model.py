"""Learn how long work takes: the usual time of each kind, and what fullness adds to it.

Many targets work more slowly on what they start while nearly all their slots are
taken; where that begins, and how much it costs, differs from service to service.
It is learnt from answers to requests whose target was known when they were sent.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: A target is compared by the tenth of its slots in use.
_STEPS = 10
#: What is taken to hold until answers tell: the last fifth of the slots is slow, as on
#: the targets measured first (``docs/design/overload.md``).
_PRIOR_FROM, _PRIOR_FACTOR = 0.8, 1.7
#: Answers that outweigh what was taken to hold.
_PRIOR_WEIGHT = 4
#: Least weight of a new answer: what is learnt follows changes within some 20 answers.
_GAIN = 0.05
#: Part of the requests that try a fullness of which nothing is known, and one that is well
#: known: what no request tries is never learnt, and each try may take longer.
_TRY_UNKNOWN, _TRY_KNOWN = 0.03, 0.01
#: A single answer tells no more than so many times the usual time.
_RATIO_MOST = 5.0
#: Share of the slots in use up to which a target's answers tell a kind's usual time.
_FREE_UP_TO = 0.5
#: A report this young tells how a target was when a request started there, in seconds.
_YOUNG_S = 0.03
#: Up to this slowness a target works at its usual speed.
_USUAL_SLOWNESS = 1.25


@dataclass(slots=True)
class _Mean:
    """A mean that follows changes."""

    value: float
    weight: int

    def take(self, value: float) -> None:
        self.weight += 1
        self.value += max(_GAIN, 1 / self.weight) * (value - self.value)


@dataclass(slots=True)
class _Slowed:
    """How long work took against its usual time, both summed up with lapsing weight.

    Sums, not a mean of ratios: what takes next to no work tells next to nothing.
    """

    took: Seconds
    usual: Seconds
    answers: int = 0

    @classmethod
    def prior(cls, factor: float, usual: Seconds) -> _Slowed:
        return cls(factor * usual * _PRIOR_WEIGHT, usual * _PRIOR_WEIGHT)

    @property
    def factor(self) -> float:
        return self.took / self.usual

    def take(self, took: Seconds, usual: Seconds) -> None:
        keep = 1.0 - _GAIN
        self.took = self.took * keep + took
        self.usual = self.usual * keep + usual
        self.answers += 1


@dataclass(frozen=True, slots=True)
class LoadAtSend:
    """What was known of a target when a request was sent there.

    Parameters
    ----------
    queued_ahead, slots : int
        Requests there before it, and slots.
    latency_ratio : float
        How long work took there; 1 is usual.
    report_age : float
        Age of the report that told it, in seconds.
    """

    queued_ahead: int
    slots: int
    latency_ratio: float
    report_age: Seconds

    @property
    def utilisation(self) -> float:
        """Share of the slots in use once the request is there."""
        return (self.queued_ahead + 1) / self.slots

    @property
    def is_informative(self) -> bool:
        """Whether its answer tells of fullness alone."""
        return (
            self.report_age <= _YOUNG_S
            and self.latency_ratio <= _USUAL_SLOWNESS
            and self.queued_ahead < self.slots
        )


class LatencyModel:
    """The usual time of each kind of request, and what fullness adds in each service."""

    def __init__(self) -> None:
        self._usual: dict[str, _Mean] = {}
        self._slowed: dict[tuple[str, int], _Slowed] = {}

    def usual_latency(self, kind: str) -> Seconds | None:
        """Return how long a kind takes at a target with free slots; None if not known."""
        found = self._usual.get(kind)
        return None if found is None else found.value

    def slowdown(self, service: str, fill: float) -> float:
        """Return how many times longer work takes that starts at a target so full.

        Parameters
        ----------
        service : str
        fill : float
            Share of the slots in use with this request.
        """
        found = self._slowed.get((service, _step(fill)))
        return _prior(fill) if found is None else found.factor

    def exploration_share(self, service: str, fill: float) -> float:
        """Return which part of the requests is to try a fullness taken to be slow."""
        found = self._slowed.get((service, _step(fill)))
        known = 0 if found is None else found.answers
        return max(_TRY_KNOWN, 1 / (1 / _TRY_UNKNOWN + known))

    def record(self, kind: str, service: str, start: LoadAtSend, took: Seconds) -> None:
        """Learn from one answer.

        Parameters
        ----------
        kind, service : str
        start : LoadAtSend
        took : float
            Seconds from sending the request to its answer.
        """
        if not start.is_informative:
            return
        if start.utilisation <= _FREE_UP_TO or start.queued_ahead == 0:
            self._usual.setdefault(kind, _Mean(took, 0)).take(took)
            return
        usual = self.usual_latency(kind)
        if not usual:
            return
        key = (service, _step(start.utilisation))
        found = self._slowed.get(key)
        if found is None:
            found = self._slowed[key] = _Slowed.prior(_prior(start.utilisation), usual)
        found.take(min(took, _RATIO_MOST * usual), usual)


def _step(fill: float) -> int:
    return min(_STEPS, math.ceil(fill * _STEPS - 1e-9))


def _prior(fill: float) -> float:
    return _PRIOR_FACTOR if fill > _PRIOR_FROM else 1.0
