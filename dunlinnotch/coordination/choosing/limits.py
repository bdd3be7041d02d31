"""Queue calls of one service by rank and share while its targets are saturated."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.coordination.choosing.least_load import Choice
    from dunlinnotch.state.targets import Flight
    from dunlinnotch.types import Seconds

#: While several ranks wait, one of this many grants goes to a later rank.
_GRANTS_PER_LATER_RANK = 8
#: Weight of a new sample in the mean interval between two grants.
_GAIN = 0.1


class TicketState(Enum):
    """State of a call in the queue."""

    WAITING = auto()
    GRANTED = auto()
    CANCELLED = auto()


@dataclass(frozen=True, slots=True)
class Grant:
    """Permission to send one call to one target.

    Parameters
    ----------
    choice : Choice
    flight : Flight
        The call, as recorded at the target.
    kind : str
    """

    choice: Choice
    flight: Flight
    kind: str


@dataclass(slots=True, eq=False)
class Ticket:
    """One call in the queue.

    Parameters
    ----------
    kind : str
    rank : int
        0 is the most urgent.
    share : float
        Weight of the kind among the kinds of its rank.
    queue_deadline : float
        Monotonic seconds until which the call may wait.
    idempotent : bool
        Whether the call may be sent as a trial to an ejected target.
    on_granted : callable
        Called once, when the call is granted.
    state : TicketState
    grant : Grant, optional
        Set when the call is granted.
    """

    kind: str
    rank: int
    share: float
    queue_deadline: Seconds
    idempotent: bool
    on_granted: Callable[[], None]
    state: TicketState = TicketState.WAITING
    grant: Grant | None = None


@dataclass(slots=True)
class _KindQueue:
    """Waiting calls of one kind; ``virtual_time`` orders the kinds of a rank by share."""

    rank: int
    virtual_time: float = 0.0
    tickets: deque[Ticket] = field(default_factory=deque)


class WaitQueue:
    """Order waiting calls by rank, within a rank by the share of their kinds, then by age.

    Notes
    -----
    Lower ranks go first, but one grant in eight goes to a later rank, so that no rank
    starves.  Kinds of one rank are served by weighted fair queueing.  Not thread-safe;
    callers must hold a lock.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _KindQueue] = {}
        self._waiting = 0
        self._granted = 0
        self._mean_grant_interval: Seconds | None = None
        self._last_grant_at: Seconds | None = None

    def __len__(self) -> int:
        return self._waiting

    def push(self, ticket: Ticket) -> None:
        """Append a call to the queue of its kind."""
        queue = self._kinds.get(ticket.kind)
        if queue is None:
            queue = self._kinds[ticket.kind] = _KindQueue(ticket.rank)
        queue.rank = ticket.rank
        if not queue.tickets:
            queue.virtual_time = max(queue.virtual_time, self._min_virtual_time(ticket.rank))
        queue.tickets.append(ticket)
        self._waiting += 1

    def cancel(self, ticket: Ticket) -> None:
        """Remove a call from the queue, if it still waits."""
        if ticket.state is TicketState.WAITING:
            self._kinds[ticket.kind].tickets.remove(ticket)
            ticket.state = TicketState.CANCELLED
            self._waiting -= 1

    def peek(self) -> Ticket | None:
        """Return the next call to grant, or None if no call waits."""
        queue = self._next_queue()
        return queue.tickets[0] if queue is not None else None

    def grant(self, ticket: Ticket, grant: Grant, now: Seconds) -> None:
        """Grant a call returned by :meth:`peek`."""
        queue = self._kinds[ticket.kind]
        queue.tickets.remove(ticket)
        queue.virtual_time += 1.0 / ticket.share
        ticket.state = TicketState.GRANTED
        ticket.grant = grant
        self._waiting -= 1
        self._granted += 1
        self._record_grant_interval(now)
        ticket.on_granted()

    def expected_wait(self, rank: int) -> Seconds:
        """Return the seconds that a new call of a rank is expected to wait, by recent grants."""
        queued_ahead = sum(len(q.tickets) for q in self._kinds.values() if q.rank <= rank)
        return queued_ahead * (self._mean_grant_interval or 0.0)

    def reset_pace(self) -> None:
        """Restart the measurement of the grant interval, because no call waits."""
        self._last_grant_at = None

    def _record_grant_interval(self, now: Seconds) -> None:
        if self._last_grant_at is not None:
            interval = now - self._last_grant_at
            self._mean_grant_interval = (
                interval
                if self._mean_grant_interval is None
                else self._mean_grant_interval + _GAIN * (interval - self._mean_grant_interval)
            )
        self._last_grant_at = now

    def _min_virtual_time(self, rank: int) -> float:
        virtual_times = [
            q.virtual_time for q in self._kinds.values() if q.rank == rank and q.tickets
        ]
        return min(virtual_times, default=0.0)

    def _next_queue(self) -> _KindQueue | None:
        non_empty = [queue for queue in self._kinds.values() if queue.tickets]
        if not non_empty:
            return None
        first_rank = min(queue.rank for queue in non_empty)
        later_ranks = [queue for queue in non_empty if queue.rank > first_rank]
        if later_ranks and self._granted % _GRANTS_PER_LATER_RANK == _GRANTS_PER_LATER_RANK - 1:
            return min(later_ranks, key=lambda queue: queue.virtual_time)
        return min(
            (q for q in non_empty if q.rank == first_rank), key=lambda queue: queue.virtual_time
        )
