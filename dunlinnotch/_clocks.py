"""Clock for ages and durations that include the time a box is suspended."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds


def elapsed() -> Seconds:
    """Return monotonic seconds that include the time for which the box was suspended.

    Notes
    -----
    The event loop's clock stops while the box is suspended, so ages by that clock are too
    low afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
