"""Estimate when callers made their first attempt, from the remaining time that they state."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: Last requests of a kind that are considered, some seconds' worth at a box, and how many
#: new ones lead to a new estimate.
_WINDOW_REQUESTS = 64
_UPDATE_EVERY_REQUESTS = 8
#: Stated times that are equal when rounded to this count as the same.
_ROUNDING_S = 0.01
#: Minimum share of requests that state the same time for it to count as that of first
#: attempts.  Where each caller retries twice, a third of the requests are first attempts.
_MIN_COMMON_SHARE = 0.2


@dataclass(slots=True)
class _StatedTimes:
    """Times stated with the last requests of one kind, in multiples of the rounding."""

    steps: deque[int] = field(default_factory=lambda: deque(maxlen=_WINDOW_REQUESTS))
    request_count: int = 0
    #: Time stated with first attempts, in the same multiples; 0 if not known.
    first_step: int = 0

    def record(self, step: int) -> None:
        self.steps.append(step)
        self.request_count += 1
        if self.request_count % _UPDATE_EVERY_REQUESTS == 0:
            self.first_step = self._max_common()

    def _max_common(self) -> int:
        counts = Counter(self.steps)
        min_count = _MIN_COMMON_SHARE * len(self.steps)
        return max((step for step, count in counts.items() if count >= min_count), default=0)


class FirstAttempts:
    """Time that callers state with their first attempts, by request kind.

    Notes
    -----
    A caller that retries after a refusal keeps its deadline, so it states less time than
    at its first attempt.  First attempts of a kind mostly state the same time.  Where no
    time is common, each request counts as a first attempt.
    """

    def __init__(self) -> None:
        self._stated_by_kind: dict[str, _StatedTimes] = {}

    def elapsed_since_first(self, kind: str, remaining: Seconds) -> Seconds:
        """Return the time since a caller made its first attempt.

        Parameters
        ----------
        kind : str
        remaining : float
            Seconds for which the caller still waits, as it states.

        Returns
        -------
        float
            Seconds; 0 for a first attempt, and where that is not known.
        """
        stated = self._stated_by_kind.setdefault(kind, _StatedTimes())
        stated.record(round(remaining / _ROUNDING_S))
        return max(0.0, stated.first_step * _ROUNDING_S - remaining) if stated.first_step else 0.0

    def keep_only(self, kinds: set[str]) -> None:
        """Drop the learnt times of kinds other than ``kinds``."""
        for kind in self._stated_by_kind.keys() - kinds:
            del self._stated_by_kind[kind]
