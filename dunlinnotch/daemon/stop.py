"""A planned stop on a signal: what a box still does at which moment of its grace."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: Parts of the grace after which the box takes no new work, closes idle
#: connections, gives a last answer to whatever is left, and the time for that to go out.
_REFUSE, _CLOSE, _END, _LAST = 0.5, 0.75, 0.94, 0.02


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Moments of a planned stop, in seconds from the signal.

    Parameters
    ----------
    refuse : float
        New requests are refused as not run: callers have had time to learn
        that the box leaves, and what is taken later might not end in time.
    close : float
        The box listens no more, closes idle connections, and ends as soon as
        nothing is in flight.
    end : float
        The box ends; what is in flight gets its final answer.
    last : float
        Time for those answers to go out.
    """

    refuse: Seconds
    close: Seconds
    end: Seconds
    last: Seconds

    @classmethod
    def within(cls, grace: Seconds) -> StopPlan:
        """Return the plan for a platform that kills after ``grace``."""
        return cls(grace * _REFUSE, grace * _CLOSE, grace * _END, grace * _LAST)
