"""Queue the requests that wait for a target of one service, and track their probes."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Collection

    from dunlinnotch.coordination.choosing.latency_model import LoadAtSend
    from dunlinnotch.coordination.choosing.saturation import Saturation
    from dunlinnotch.protocol.relay import ProbeResult
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.types import Seconds

#: Limit of concurrent probes for each waiting request.  The first good result ends the wait,
#: so further probes would be wasted.
_PROBES_PER_WAITER = 2
#: Limit of concurrent probes for one service.
_MAX_PROBES = 8


@dataclass(frozen=True, slots=True)
class Selection:
    """A target selected for a request, and what was known of it at that moment.

    Parameters
    ----------
    instance : Instance
    probe : ProbeResult or None
        The probe that found it, with the probe's connection; ``None`` if no probe did.
    reason : str
        ``good``: a probe for this queue found the target good.  ``fresh``: a recent report
        from elsewhere did.  ``best``: no target was good in time, and this one has the
        lowest expected latency ratio.  ``unasked``: as ``best``, without a recent report.
    expected_ratio : float
        Expected latency ratio, relative to the usual latency.
    load_at_send : LoadAtSend
    """

    instance: Instance
    probe: ProbeResult | None
    reason: str
    expected_ratio: float
    load_at_send: LoadAtSend


@dataclass(slots=True, eq=False)
class Waiter:
    """One request that waits for a target, until ``queue_deadline`` in monotonic seconds."""

    rank: int
    arrival_number: int
    tried: Collection[str]
    queue_deadline: Seconds
    #: When the caller made its first attempt, in monotonic seconds.
    first_attempt_at: Seconds
    #: Latest start at a good target that still ends in time, in monotonic seconds.
    start_by: Seconds
    #: Resolves to None if no target becomes available in time.
    selected: asyncio.Future[Selection | None]

    def sort_key(self, now: Seconds) -> tuple[int, bool, Seconds, int]:
        """Return the key by which waiting requests are served; the lowest goes first.

        Notes
        -----
        Rank comes first.  Requests that can still end in time go before those that can't:
        under overload, serving the oldest first would make every request late.  Then the
        caller that made its first attempt earliest goes first.
        """
        return (self.rank, now > self.start_by, self.first_attempt_at, self.arrival_number)


@dataclass(slots=True, eq=False)
class ServiceQueue:
    """The requests that wait for a target of one service, and the probes sent for them."""

    service: str
    saturation: Saturation
    waiters: list[Waiter] = field(default_factory=list)
    #: Targets with a probe under way.
    probing: set[Instance] = field(default_factory=set)
    #: Those of them that are overdue and no longer count against the limit.
    overdue: set[Instance] = field(default_factory=set)
    #: When a good target was last selected, in monotonic seconds.
    last_good_at: Seconds = -math.inf
    probe_timer: asyncio.TimerHandle | None = None

    def pop_for(self, instance: Instance, now: Seconds) -> Waiter | None:
        """Remove and return the first request that may go to a target; None if there is none."""
        eligible = [waiter for waiter in self.waiters if instance.name not in waiter.tried]
        if not eligible:
            return None
        first = min(eligible, key=lambda waiter: waiter.sort_key(now))
        self.waiters.remove(first)
        return first

    def refuse_until(self, available_at: Seconds) -> None:
        """Refuse the requests whose queue deadline is before a target becomes available."""
        for waiter in [w for w in self.waiters if w.queue_deadline < available_at]:
            self.waiters.remove(waiter)
            waiter.selected.set_result(None)

    @property
    def probes_to_start(self) -> int:
        """Number of probes that may be started now."""
        limit = min(_MAX_PROBES, _PROBES_PER_WAITER * len(self.waiters))
        return limit - len(self.probing) + len(self.overdue)
