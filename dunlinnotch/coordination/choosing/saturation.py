"""Tell whether the targets of a service are full, from what probes find.

A target whose slots are nearly all taken works more slowly on what it starts,
so a service whose targets are all full serves less than one whose targets are
nearly full, and stays full.  What is sent to such targets is therefore thinned
out as more of the probes find them full.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Clock, Seconds

#: Weight of a new report in the share: a box hears 10 to 40 a second.
_GAIN = 0.1
#: What reports told is forgotten when none came for so long, in seconds.
_FORGET_S = 1.0
#: Share of full targets up to which a service has room, and from which it has none.
FULL_ADMISSION_BELOW, NO_ADMISSION_ABOVE = 0.6, 0.85


class Saturation:
    """The share of a service's targets that probes find full.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._share = 0.0
        self._noted_at: Seconds = clock()

    def record(self, *, full: bool) -> None:
        """Take in whether a target that was probed was full."""
        self._share = self.share + _GAIN * (float(full) - self.share)
        self._noted_at = self._clock()

    @property
    def share(self) -> float:
        """The share of targets found full lately; 0 where nothing was heard."""
        return self._share if self._clock() - self._noted_at < _FORGET_S else 0.0

    @property
    def admission_share(self) -> float:
        """Part of the requests that may go to a target that is not good, 0 to 1."""
        left = (NO_ADMISSION_ABOVE - self.share) / (NO_ADMISSION_ABOVE - FULL_ADMISSION_BELOW)
        return min(1.0, max(0.0, left))
