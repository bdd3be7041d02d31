"""Tell for how long callers have been asking, by the time that they say they have left."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: Requests of a kind by which its first tries are judged: some seconds at a box.
_LATELY = 64
#: First tries are judged anew after so many requests, and not before there were so many.
_EVERY = 8
#: Stated times are the same if they are so once rounded to this, in seconds.
_ROUNDED_S = 0.01
#: Part of the requests that state the same time if that is the time of a first try: also
#: where each caller comes back twice, a third are first tries.
_COMMON = 0.2


@dataclass(slots=True)
class _Stated:
    """Times stated with the last requests of one kind, in steps of the rounding."""

    steps: deque[int] = field(default_factory=lambda: deque(maxlen=_LATELY))
    number: int = 0
    #: What first tries state; 0 if that is not known.
    first: int = 0

    def note(self, step: int) -> None:
        self.steps.append(step)
        self.number += 1
        if self.number % _EVERY == 0:
            self.first = self._longest_common()

    def _longest_common(self) -> int:
        counts = Counter(self.steps)
        least = _COMMON * len(self.steps)
        return max((step for step, count in counts.items() if count >= least), default=0)


class FirstAttempts:
    """What the first tries of each kind state as the time that their callers wait.

    Notes
    -----
    A caller that comes back after a refusal waits no longer than it meant to at first, so
    it states less.  First tries of a kind mostly state the same; where no time is common,
    each request counts as a first try.
    """

    def __init__(self) -> None:
        self._stated: dict[str, _Stated] = {}

    def elapsed_since_first(self, kind: str, left: Seconds) -> Seconds:
        """Return for how long a caller has been asking.

        Parameters
        ----------
        kind : str
        left : float
            Seconds for which it says that it still waits.

        Returns
        -------
        float
            Seconds; 0 for a first try, and where that can't be told.
        """
        stated = self._stated.setdefault(kind, _Stated())
        stated.note(round(left / _ROUNDED_S))
        return max(0.0, stated.first * _ROUNDED_S - left) if stated.first else 0.0

    def keep_only(self, kinds: set[str]) -> None:
        """Forget kinds that are no more."""
        for kind in self._stated.keys() - kinds:
            del self._stated[kind]
