"""Budgets over all boxes, each box keeping to its own share.

A box's share is the budget divided by the maximum number of boxes that may run, so the sum
stays within the budget even while the boxes' views of each other differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Clock, Seconds

#: Share of a budget that is used; the rest covers boxes that restart with full budgets.
_USED_SHARE = 0.85


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
