"""Schedule of a planned stop within the grace period between the stop signal and the kill."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: Fractions of the grace period after which the box refuses new requests, closes idle
#: connections and answers all requests still in flight; the last one is the time for sending
#: these answers.
_REFUSE_FRACTION, _CLOSE_FRACTION, _END_FRACTION, _FLUSH_FRACTION = 0.5, 0.75, 0.94, 0.02


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Schedule of a planned stop; all values are in seconds.

    Parameters
    ----------
    refuse : float
        Time after the signal from which new requests are refused as not run.  Callers have
        had time to learn that the box leaves, and later requests might not finish in time.
    close : float
        Time after the signal at which the box stops listening and closes idle connections.
        From then on it stops as soon as no request is in flight.
    end : float
        Time after the signal at which requests still in flight get their final answer.
    flush : float
        Time for sending these answers.
    """

    refuse: Seconds
    close: Seconds
    end: Seconds
    flush: Seconds

    @classmethod
    def within(cls, grace: Seconds) -> StopPlan:
        """Return the plan for a grace period in seconds."""
        return cls(
            grace * _REFUSE_FRACTION,
            grace * _CLOSE_FRACTION,
            grace * _END_FRACTION,
            grace * _FLUSH_FRACTION,
        )
