"""Limit retries to a share of first attempts."""

from __future__ import annotations

#: Retries that may be saved up in quiet times.
_MOST_SAVED = 10.0


class RetryBudget:
    """Let retries be at most a share of first attempts.

    Parameters
    ----------
    share : float, default 0.1
        Retries earned by one first attempt.

    Notes
    -----
    Not thread-safe; the caller holds a lock.
    """

    def __init__(self, share: float = 0.1) -> None:
        self.share = share
        self._saved = _MOST_SAVED

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._saved = min(_MOST_SAVED, self._saved + self.share)

    def try_spend(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
