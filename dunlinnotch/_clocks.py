"""The clock by which a box judges how old something is."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds


def elapsed() -> Seconds:
    """Return seconds that never step and go on while the box is suspended.

    Notes
    -----
    The event loop's clock stands still meanwhile, so what it measures looks younger than
    it is once the box goes on.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
