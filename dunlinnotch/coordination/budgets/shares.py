"""Budgets over all boxes, each box keeping to its own share.

A box's share is the budget divided by the number of boxes: the largest that it has heard of,
or the largest that the settings allow while it has heard of none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from dunlinnotch.types import Clock, Seconds

#: Share of a budget that is used; the rest covers boxes that have just been added.
_USED_SHARE = 0.85
#: Lowest number of boxes assumed: boxes that start together hear of one another in turn.
MIN_BOXES = 6


def count_sharing_boxes(known: int, *, has_seeds: bool, retry_slack: float) -> int:
    """Return the number of boxes by which limits of all boxes together are divided.

    Parameters
    ----------
    known : int
        Largest number of boxes that this box has heard of since it started.
    has_seeds : bool
        Whether the settings name other boxes.
    retry_slack : float
        Retries that all boxes together may make beyond their share; it holds at least one
        for each box, so there are no more boxes than that.

    Returns
    -------
    int
        ``known``, but at least ``MIN_BOXES``.  A box that has heard of no other although
        there are some assumes the largest number that the settings allow, so that it never
        takes more than its part.
    """
    if known == 1 and has_seeds:
        return max(MIN_BOXES, int(retry_slack))
    return max(MIN_BOXES, known)


class ProbeShare:
    """One box's share of the probes that each target may receive.

    Parameters
    ----------
    max_per_s : float
        Maximum number of probes per second to one target, from all boxes together.
    clock : callable
    rng : random.Random
    started_at : float, optional
        When the process began, by ``clock``; now by default.

    Attributes
    ----------
    boxes : int
        Number of boxes that share the budget.
    spent, denied : int
        Probes spent, and probes refused because the share was spent.

    Notes
    -----
    One token bucket for each target.  A bucket holds the share of one second, but at least
    one probe.  It fills from the start of the process, and begins with a random part of one
    probe, as a process can't know what an earlier one on its box has spent: the mean number of
    probes sent within some seconds of a start is then at most the rate times these seconds,
    also where the rate is less than one a second, so that starts, however many, add nothing to
    the sum over all boxes.  That sum stays within the budget while no box counts fewer boxes
    than there are (see :func:`count_sharing_boxes`).
    """

    def __init__(
        self,
        max_per_s: float,
        *,
        clock: Clock,
        rng: random.Random,
        started_at: Seconds | None = None,
    ) -> None:
        self.max_per_s = max_per_s
        self.boxes = 1
        self._clock = clock
        self._rng = rng
        self._fill_from = clock() if started_at is None else started_at
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
        tokens, at = self._buckets.get(target) or (self._rng.random(), self._fill_from)
        tokens = min(max_tokens, tokens + (now - at) * rate)
        self._buckets[target] = (tokens, now)
        return tokens

    def retain(self, targets: set[str]) -> None:
        """Drop the buckets of all other targets."""
        dropped = [target for target in self._buckets if target not in targets]
        for target in dropped:
            del self._buckets[target]
        if dropped:
            # A target that comes back may have been probed until now.
            self._fill_from = self._clock()
