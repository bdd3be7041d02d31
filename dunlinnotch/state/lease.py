"""A lease, from the point of view of its holder."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds


@dataclass(frozen=True, slots=True)
class Lease:
    """An exclusive right of limited duration.

    Parameters
    ----------
    key : str
        Key of the row that names the holder.
    fence : int
        Fencing token: the version of that row, which is higher for each later holder.
    until : float
        Expiry by the holder's monotonic clock, counted from before the request for the
        lease was sent.
    """

    key: str
    fence: int
    until: Seconds

    def valid(self, now: Seconds) -> bool:
        """Return whether the lease has not expired at ``now``.

        Notes
        -----
        Check it before each action with the current time, since the lease may have
        expired while the process was paused.
        """
        return now < self.until
