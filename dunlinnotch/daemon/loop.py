"""Event loop of an entry box."""

from __future__ import annotations

import asyncio

from dunlinnotch._clocks import elapsed


class ElapsedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances while the machine is suspended.

    Notes
    -----
    Deadlines, budgets, delays and the ages of load reports and heartbeats are measured with
    the clock of the loop.  With the usual clock, which stops during suspension, a resumed box
    would treat outdated requests and reports as fresh.
    """

    def time(self) -> float:
        """Return monotonic seconds, including time during which the machine is suspended."""
        return elapsed()
