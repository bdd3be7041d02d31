"""The event loop of an entry box."""

from __future__ import annotations

import asyncio

from dunlinnotch._clocks import elapsed


class ElapsedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time goes on while the box is suspended.

    Notes
    -----
    All that depends on how old something is asks the loop for its time: deadlines,
    knowledge of targets and peers, budgets, pauses.  By the usual clock a box that was
    suspended for seconds would take requests, reports and leaving targets for as fresh as
    when it stopped.
    """

    def time(self) -> float:
        """Return seconds that go on while the box is suspended."""
        return elapsed()
