"""Limit retries to a share of first attempts."""

from __future__ import annotations

#: Maximum number of unspent retries in the budget, which it also holds at first.
_MAX_SAVED = 10.0


class RetryBudget:
    """Budget that limits retries to a share of first attempts.

    Parameters
    ----------
    share : float, default 0.1
        Retries added to the budget by each first attempt.

    Notes
    -----
    Not thread-safe; callers must hold a lock.
    """

    def __init__(self, share: float = 0.1) -> None:
        self.share = share
        self._saved = _MAX_SAVED

    def record_first_attempt(self) -> None:
        """Add the share of one first attempt to the budget."""
        self._saved = min(_MAX_SAVED, self._saved + self.share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is spent."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
