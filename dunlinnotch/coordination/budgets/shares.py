"""Budgets over all boxes, each box keeping to its own share.

A box's share is the budget divided by the maximum number of boxes that may run, so the sum
stays within the budget even while the boxes' views of each other differ.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Clock, Seconds

#: Share of a budget that is used; the rest covers boxes that restart with full budgets.
_USED_SHARE = 0.85
#: Length of the intervals in which requests and retries are counted, in seconds.
_COUNT_INTERVAL_S = 0.5


class ProbeShare:
    """One box's share of the probes that each target may receive.

    Parameters
    ----------
    max_per_s : float
        Maximum number of probes per second to one target, from all boxes together.
    clock : callable

    Attributes
    ----------
    boxes : int
        Number of boxes that share the budget.
    spent, denied : int
        Probes spent, and probes refused because the share was spent.

    Notes
    -----
    One token bucket for each target.  A bucket holds the share of one second, but at least
    one probe.
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
        """Probes per second that this box may send to one target."""
        return self.max_per_s * _USED_SHARE / max(1, self.boxes)

    def is_available(self, target: str) -> bool:
        """Return whether a target may be probed now; if not, count a denied probe."""
        if self._tokens(target) >= 1.0:
            return True
        self.denied += 1
        return False

    def try_spend(self, target: str) -> bool:
        """Spend one probe of a target; return False if its share is spent."""
        tokens = self._tokens(target)
        if tokens < 1.0:
            self.denied += 1
            return False
        self._buckets[target] = (tokens - 1.0, self._clock())
        self.spent += 1
        return True

    def _tokens(self, target: str) -> float:
        """Refill the bucket of a target and return its tokens."""
        now = self._clock()
        rate = self.rate
        max_tokens = max(1.0, rate)
        tokens, at = self._buckets.get(target, (max_tokens, now))
        tokens = min(max_tokens, tokens + (now - at) * rate)
        self._buckets[target] = (tokens, now)
        return tokens

    def retain(self, targets: set[str]) -> None:
        """Drop the buckets of all other targets."""
        for target in [t for t in self._buckets if t not in targets]:
            del self._buckets[target]


class RetryShare:
    """One box's share of the retries that one service may receive.

    Over each window, the retries of all boxes stay within ``ratio`` times the requests for
    the service, plus ``slack``.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in addition, in each window, from all boxes together.
    window : float
        Length of the window, in seconds.
    clock : callable

    Attributes
    ----------
    boxes : int
        Number of boxes that share the slack.
    spent, denied : int
        Retries spent, and retries refused because the share was spent.
    """

    def __init__(self, *, ratio: float, slack: float, window: Seconds, clock: Clock) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.boxes = 1
        self._clock = clock
        self._intervals: deque[tuple[int, int, int]] = deque()
        self.spent = 0
        self.denied = 0

    @property
    def left(self) -> float:
        """Retries that this box may make now."""
        self._drop_expired()
        requests = sum(interval[1] for interval in self._intervals)
        retries = sum(interval[2] for interval in self._intervals)
        allowed = _USED_SHARE * (self.ratio * requests + self.slack / max(1, self.boxes))
        return allowed - retries

    def record_request(self) -> None:
        """Record a request for the service."""
        self._add(1, 0)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the share is spent."""
        if self.left < 1.0:
            self.denied += 1
            return False
        self._add(0, 1)
        self.spent += 1
        return True

    def _current_interval(self) -> int:
        return int(self._clock() / _COUNT_INTERVAL_S)

    def _add(self, requests: int, retries: int) -> None:
        now = self._current_interval()
        if self._intervals and self._intervals[-1][0] == now:
            _, earlier_requests, earlier_retries = self._intervals.pop()
            requests += earlier_requests
            retries += earlier_retries
        self._intervals.append((now, requests, retries))
        self._drop_expired()

    def _drop_expired(self) -> None:
        oldest = self._current_interval() - math.ceil(self.window / _COUNT_INTERVAL_S)
        while self._intervals and self._intervals[0][0] < oldest:
            self._intervals.popleft()
