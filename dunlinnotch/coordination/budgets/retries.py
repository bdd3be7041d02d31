"""Limit the retries of all boxes together, each box by what it has seen itself."""

from __future__ import annotations

#: Sums of shares such as 0.2 may fall short of a whole number by this much.
_ROUNDING = 1e-9


class RetryBudget:
    """Retries that one process may make, earned by the first attempts that it makes.

    Parameters
    ----------
    share : float, default 0.1
        Retries earned by each first attempt.
    max_saved : float, default 10.0
        Maximum number of unspent retries that are kept.

    Attributes
    ----------
    share : float
        May be changed at any time.
    spent, denied : int
        Retries spent, and retries refused because none was left.

    Notes
    -----
    The retries of all boxes are bounded in every period: each retry was earned by a first
    attempt within the period, or saved before it began, and at most ``max_saved`` per box was
    saved.  So their sum is at most ``share`` times the first attempts of the period, plus
    ``max_saved`` times the boxes that ran when it began.  This needs no clock and no count of
    boxes, and holds however often boxes start: a process begins with nothing saved, because
    it can't know what an earlier one on its box has spent.

    Not thread-safe; callers must hold a lock.

    Examples
    --------
    >>> budget = RetryBudget(0.5, max_saved=1.0)
    >>> budget.try_spend()
    False
    >>> for _ in range(4):
    ...     budget.record_first_attempt()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    def __init__(self, share: float = 0.1, *, max_saved: float = 10.0) -> None:
        self.share = share
        self._max_saved = max_saved
        self.spent = 0
        self.denied = 0
        self._saved = 0.0

    @property
    def max_saved(self) -> float:
        """Maximum number of unspent retries; what is saved beyond a lower one is lost."""
        return self._max_saved

    @max_saved.setter
    def max_saved(self, max_saved: float) -> None:
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    @property
    def left(self) -> float:
        """Retries that may be made now."""
        return self._saved

    def record_first_attempt(self) -> None:
        """Add the share of one first attempt to the budget."""
        self._saved = min(self._max_saved, self._saved + self.share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self._saved < 1.0 - _ROUNDING:
            self.denied += 1
            return False
        self._saved = max(0.0, self._saved - 1.0)
        self.spent += 1
        return True


def saved_retries(slack: float, boxes: int) -> float:
    """Return how many unspent retries each box may keep for one service.

    Parameters
    ----------
    slack : float
        Retries that all boxes together may make beyond their share of the first attempts.
    boxes : int
        Number of boxes.

    Returns
    -------
    float
        One retry, the least that a box needs to retry at all, or 0 if the slack does not
        hold one for each box.  Not more where the slack would allow it: a box that counts
        too few boxes would then keep more than its part.  What the slack holds beyond that
        covers requests and retries that are on their way when a period begins.
    """
    return 1.0 if boxes <= slack else 0.0
