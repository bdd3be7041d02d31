"""A lease as its holder sees it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds


@dataclass(frozen=True, slots=True)
class Lease:
    """The right to something, for a time.

    Parameters
    ----------
    key : str
        Row of the table that names the holder.
    fence : int
        Version of that row; a later holder has a higher one.
    until : float
        End by the holder's own monotonic clock, counted from before it asked.
    """

    key: str
    fence: int
    until: Seconds

    def valid(self, now: Seconds) -> bool:
        """Return whether the holder may still act.

        Notes
        -----
        To be asked before each act with a time read then: a holder that was
        paused finds its lease lapsed when it wakes.
        """
        return now < self.until
