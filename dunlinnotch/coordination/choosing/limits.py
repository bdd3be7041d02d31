"""Queue calls of one service by rank and share while its targets are full."""

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

#: Of so many calls let go while several ranks wait, one is of a later rank.
_LATER_RANK_TURN = 8
#: Weight of a new sample in the mean time between two calls let go.
_GAIN = 0.1


class TicketState(Enum):
    """Where a call stands in the queue."""

    WAITING = auto()
    GRANTED = auto()
    CANCELLED = auto()


@dataclass(frozen=True, slots=True)
class Grant:
    """Leave to send one call to one target.

    Parameters
    ----------
    choice : Choice
    flight : Flight
        The call as it is counted at the target.
    kind : str
    """

    choice: Choice
    flight: Flight
    kind: str


@dataclass(slots=True, eq=False)
class Ticket:
    """One call's place in the queue.

    Parameters
    ----------
    kind : str
    rank : int
    share : float
    queue_deadline : float
        Monotonic seconds at which the call is refused instead.
    idempotent : bool
    on_granted : callable
        Called once, when the call is granted.
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
    """Waiting calls of one kind; ``turn`` orders kinds of one rank by share."""

    rank: int
    turn: float = 0.0
    tickets: deque[Ticket] = field(default_factory=deque)


class WaitQueue:
    """Order waiting calls: lower rank strictly first, then by share, then by age.

    Notes
    -----
    One turn in eight goes to a later rank while one waits, so that none
    starves.  Not thread-safe; the caller holds a lock.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _KindQueue] = {}
        self._waiting = 0
        self._granted = 0
        self._gap: Seconds | None = None
        self._last_grant: Seconds | None = None

    def __len__(self) -> int:
        return self._waiting

    def push(self, ticket: Ticket) -> None:
        """Add a call at the end of its kind's queue."""
        queue = self._kinds.get(ticket.kind)
        if queue is None:
            queue = self._kinds[ticket.kind] = _KindQueue(ticket.rank)
        queue.rank = ticket.rank
        if not queue.tickets:
            queue.turn = max(queue.turn, self._least_turn(ticket.rank))
        queue.tickets.append(ticket)
        self._waiting += 1

    def leave(self, ticket: Ticket) -> None:
        """Take a call that gave up out of the queue."""
        if ticket.state is TicketState.WAITING:
            self._kinds[ticket.kind].tickets.remove(ticket)
            ticket.state = TicketState.CANCELLED
            self._waiting -= 1

    def peek(self) -> Ticket | None:
        """Return the call that goes next."""
        queue = self._next_queue()
        return queue.tickets[0] if queue is not None else None

    def grant(self, ticket: Ticket, grant: Grant, now: Seconds) -> None:
        """Let a call that was peeked at go to the target chosen."""
        queue = self._kinds[ticket.kind]
        queue.tickets.remove(ticket)
        queue.turn += 1.0 / ticket.share
        ticket.state = TicketState.GRANTED
        ticket.grant = grant
        self._waiting -= 1
        self._granted += 1
        self._note_grant(now)
        ticket.on_granted()

    def expected_wait(self, rank: int) -> Seconds:
        """Return the time that a new call of ``rank`` will wait, from the pace of late."""
        ahead = sum(len(q.tickets) for q in self._kinds.values() if q.rank <= rank)
        return ahead * (self._gap or 0.0)

    def idle(self) -> None:
        """Forget the pace once nobody waits."""
        self._last_grant = None

    def _note_grant(self, now: Seconds) -> None:
        if self._last_grant is not None:
            gap = now - self._last_grant
            self._gap = gap if self._gap is None else self._gap + _GAIN * (gap - self._gap)
        self._last_grant = now

    def _least_turn(self, rank: int) -> float:
        turns = [q.turn for q in self._kinds.values() if q.rank == rank and q.tickets]
        return min(turns, default=0.0)

    def _next_queue(self) -> _KindQueue | None:
        waiting = [queue for queue in self._kinds.values() if queue.tickets]
        if not waiting:
            return None
        first = min(queue.rank for queue in waiting)
        later = [queue for queue in waiting if queue.rank > first]
        if later and self._granted % _LATER_RANK_TURN == _LATER_RANK_TURN - 1:
            return min(later, key=lambda queue: queue.turn)
        return min((q for q in waiting if q.rank == first), key=lambda queue: queue.turn)
