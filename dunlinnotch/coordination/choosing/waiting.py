"""The requests that wait for a target of one service, and what is being asked for them."""

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

#: Probes under way at once for each request that waits: the first good answer ends the
#: search, and what the others spend is missing when many wait.
_ASKED_PER_REQUEST = 2
#: Probes under way at once for one service, at most.
_ASKED_MOST = 8


@dataclass(frozen=True, slots=True)
class Selection:
    """A target chosen, and what was known of it then.

    Parameters
    ----------
    instance : Instance
    probe : ProbeResult or None
        The probe that spoke for it, with its connection.
    reason : str
        ``good`` by a probe just answered, ``fresh`` by a report that came otherwise,
        ``best`` of what is known where none was good in time, ``unasked`` if nothing is.
    expected_ratio : float
        Expected time, as a multiple of the usual one.
    load_at_send : LoadAtSend
    """

    instance: Instance
    probe: ProbeResult | None
    reason: str
    expected_ratio: float
    load_at_send: LoadAtSend


@dataclass(slots=True, eq=False)
class Waiter:
    """One request that waits for a target, until ``give_up`` in monotonic seconds."""

    rank: int
    number: int
    tried: Collection[str]
    give_up: Seconds
    #: When its caller first asked, in monotonic seconds.
    first_try: Seconds
    #: Up to when a start at a good target ends in time, in monotonic seconds.
    start_by: Seconds
    #: None if no target can be had in time.
    picked: asyncio.Future[Selection | None]

    def order(self, now: Seconds) -> tuple[int, bool, Seconds, int]:
        """Return the place among those that wait; the least goes first.

        Notes
        -----
        The most urgent go first, then those that can be answered in time, or nobody is
        under a load where each waits until that is over; then who has asked for longest.
        """
        return (self.rank, now > self.start_by, self.first_try, self.number)


@dataclass(slots=True, eq=False)
class ServiceQueue:
    """The requests that wait for a target of one service."""

    service: str
    saturation: Saturation
    waiters: list[Waiter] = field(default_factory=list)
    #: Targets asked, whose answers are being waited for.
    asking: set[Instance] = field(default_factory=set)
    #: Those of them that have had time enough.
    overdue: set[Instance] = field(default_factory=set)
    #: When a target was last chosen that was good.
    good_at: Seconds = -math.inf
    again: asyncio.TimerHandle | None = None

    def first_for(self, instance: Instance, now: Seconds) -> Waiter | None:
        """Take out the first request that may go to a target."""
        able = [waiter for waiter in self.waiters if instance.name not in waiter.tried]
        if not able:
            return None
        first = min(able, key=lambda waiter: waiter.order(now))
        self.waiters.remove(first)
        return first

    def refuse_before(self, back_at: Seconds) -> None:
        """End the wait of those that give up before any target can be had."""
        for waiter in [w for w in self.waiters if w.give_up < back_at]:
            self.waiters.remove(waiter)
            waiter.picked.set_result(None)

    @property
    def wanted(self) -> int:
        """Probes that may be sent now."""
        most = min(_ASKED_MOST, _ASKED_PER_REQUEST * len(self.waiters))
        return most - len(self.asking) + len(self.overdue)
