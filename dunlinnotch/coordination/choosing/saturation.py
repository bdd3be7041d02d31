"""Estimate from probes what share of a service's targets is saturated.

A target whose slots are nearly all in use runs requests more slowly, so a service whose
targets are all saturated has a lower throughput and stays saturated.  The selector
therefore sends fewer requests to targets that are not good as this share grows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Clock, Seconds

#: Weight of a new probe result in the share.  A box gets 10 to 40 results a second.
_GAIN = 0.1
#: Time without a probe result after which the share counts as 0, in seconds.
_MAX_AGE_S = 1.0
#: Shares of saturated targets between which the admission share falls from 1 to 0.
FULL_ADMISSION_BELOW, NO_ADMISSION_ABOVE = 0.6, 0.85


class Saturation:
    """Running share of probe results that find a target of one service saturated.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._share = 0.0
        self._recorded_at: Seconds = clock()

    def record(self, *, saturated: bool) -> None:
        """Record whether a probed target was saturated."""
        self._share = self.share + _GAIN * (float(saturated) - self.share)
        self._recorded_at = self._clock()

    @property
    def share(self) -> float:
        """Share of targets found saturated, 0 to 1; 0 without recent probe results."""
        return self._share if self._clock() - self._recorded_at < _MAX_AGE_S else 0.0

    @property
    def admission_share(self) -> float:
        """Share of requests that may go to a target that is not good, 0 to 1."""
        headroom = (NO_ADMISSION_ABOVE - self.share) / (NO_ADMISSION_ABOVE - FULL_ADMISSION_BELOW)
        return min(1.0, max(0.0, headroom))
