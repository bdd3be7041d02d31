"""Budgets of the whole system, held by each box keeping to its own share.

A box's share is the budget divided by the most boxes that may run, so the sum
holds whatever the boxes believe of each other.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Clock, Seconds

#: Part of a budget that is used; the rest covers boxes that restart and forget.
_USED = 0.85
#: Requests and repeats are counted in steps of so many seconds.
_STEP_S = 0.5


class ProbeShare:
    """The share of one box of the probes that one target may get.

    Parameters
    ----------
    max_per_s : float
        Most probes a target may get from all boxes together, a second.
    clock : callable

    Notes
    -----
    A token bucket for each target that holds at most one second's share (and
    never less than one probe).
    """

    def __init__(self, max_per_s: float, *, clock: Clock) -> None:
        self.max_per_s = max_per_s
        self.boxes = 1
        self._clock = clock
        self._buckets: dict[str, tuple[float, Seconds]] = {}
        self.spent = 0
        self.denied = 0

    @property
    def rate(self) -> float:
        """Probes a second that this box may send to one target."""
        return self.max_per_s * _USED / max(1, self.boxes)

    def is_available(self, target: str) -> bool:
        """Return whether a probe of a target may be sent now; count it as denied if not."""
        if self._tokens(target) >= 1.0:
            return True
        self.denied += 1
        return False

    def try_spend(self, target: str) -> bool:
        """Spend one probe of a target; return False if its share is used up."""
        tokens = self._tokens(target)
        if tokens < 1.0:
            self.denied += 1
            return False
        self._buckets[target] = (tokens - 1.0, self._clock())
        self.spent += 1
        return True

    def _tokens(self, target: str) -> float:
        """Return the probes of a target that are saved up."""
        now = self._clock()
        rate = self.rate
        most = max(1.0, rate)
        tokens, at = self._buckets.get(target, (most, now))
        tokens = min(most, tokens + (now - at) * rate)
        self._buckets[target] = (tokens, now)
        return tokens

    def retain(self, targets: set[str]) -> None:
        """Forget targets that are no more."""
        for target in [t for t in self._buckets if t not in targets]:
            del self._buckets[target]


class RetryShare:
    """The share of one box of the repeats that one service may get.

    Over each window, all boxes' repeats stay within ``ratio`` times the
    requests for the service, plus ``slack``.

    Parameters
    ----------
    ratio, slack : float
    window : float
        Seconds.
    clock : callable
    """

    def __init__(self, *, ratio: float, slack: float, window: Seconds, clock: Clock) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.boxes = 1
        self._clock = clock
        self._steps: deque[tuple[int, int, int]] = deque()

    def record_request(self) -> None:
        """Count a request for the service."""
        self._add(1, 0)

    def try_spend(self) -> bool:
        """Spend one repeat; return False if the share is used up."""
        self._forget()
        requests = sum(step[1] for step in self._steps)
        repeats = sum(step[2] for step in self._steps)
        allowed = _USED * (self.ratio * requests + self.slack / max(1, self.boxes))
        if repeats + 1 > allowed:
            return False
        self._add(0, 1)
        return True

    def _now(self) -> int:
        return int(self._clock() / _STEP_S)

    def _add(self, requests: int, repeats: int) -> None:
        now = self._now()
        if self._steps and self._steps[-1][0] == now:
            _, had_requests, had_repeats = self._steps.pop()
            requests += had_requests
            repeats += had_repeats
        self._steps.append((now, requests, repeats))
        self._forget()

    def _forget(self) -> None:
        oldest = self._now() - math.ceil(self.window / _STEP_S)
        while self._steps and self._steps[0][0] < oldest:
            self._steps.popleft()
