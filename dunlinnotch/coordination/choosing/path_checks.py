"""Probe unreached targets from time to time, to learn whether the path to them is back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dunlinnotch.coordination.choosing.reach import TargetReach
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.types import Seconds

#: Interval between two such probes of one target, in seconds.
_INTERVAL_S = 0.5
#: Maximum number of such probes under way.
_MAX_PROBES = 8


class PathChecks:
    """Probe targets of services that this box is cut off from.

    Parameters
    ----------
    reach : TargetReach
    probe : callable
        Probes one target, within the probe budget; the result reaches ``reach`` by itself.

    Notes
    -----
    While requests take the way over peers, nothing else shows that the path is back.
    """

    def __init__(self, reach: TargetReach, probe: Callable[[Instance], Awaitable[None]]) -> None:
        self._reach = reach
        self._probe = probe
        self._loop = asyncio.get_running_loop()
        self._probed_at: dict[str, Seconds] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start_due(self) -> None:
        """Start one probe for each service that is cut off; called many times a second."""
        if not self._reach.cut_off:
            self._probed_at.clear()
            return
        now = self._loop.time()
        for service in self._reach.cut_off:
            due = (
                instance
                for instance in self._reach.least_recent(service)
                if now - self._probed_at.get(instance.name, 0.0) >= _INTERVAL_S
            )
            instance = next(due, None)
            if instance is not None and len(self._tasks) < _MAX_PROBES:
                self._probed_at[instance.name] = now
                task = self._loop.create_task(self._run(instance))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _run(self, instance: Instance) -> None:
        await self._probe(instance)
