"""Requests and responses of the operator port, as JSON."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dunlinnotch._wire import wire
from dunlinnotch.state.boxes import BoxRow
from dunlinnotch.state.tree import Edit
from dunlinnotch.types import Address, Seconds, Version

#: Default time for which an edit waits for confirmations of all boxes, in seconds.
EDIT_WAIT_S = 3.0


class DrainPhase(StrEnum):
    """Phase of a drain."""

    NONE = "none"
    ANSWERS = "waiting-for-answers"
    CALLS = "waiting-for-calls"
    DONE = "done"


@wire
@dataclass(frozen=True, slots=True)
class DrainStatus:
    """Progress of a drain.

    Parameters
    ----------
    phase : DrainPhase
    answers_s : float
        Seconds for which callers may still use an address answer that named the box.
    calls : int
        Calls in flight.
    """

    phase: DrainPhase
    answers_s: Seconds
    calls: int


@wire
@dataclass(frozen=True, slots=True)
class EditRequest:
    """An edit, with the seconds to wait until it is active on all boxes."""

    edit: Edit
    wait_s: Seconds = EDIT_WAIT_S


@wire
@dataclass(frozen=True, slots=True)
class Status:
    """State of a box, and its view of the others.

    Parameters
    ----------
    version : int
        Active settings version.
    in_flight : int
        Calls accepted and not completed.
    table_age_s : float or None
        Seconds since the box last read the table; ``None`` if it never did.
    refusing : str or None
        Why the box accepts no new calls; ``None`` if it does.
    links : tuple of str
        Peers that this box has opened links to.
    peer_bytes : int
        Bytes sent to peers since the box started.
    rows : tuple of BoxRow
        Newest row of each box that this box knows, its own included.
    """

    box: str
    version: Version
    in_flight: int
    table_age_s: Seconds | None
    refusing: str | None
    drain: DrainStatus
    links: tuple[str, ...]
    peer_bytes: int
    rows: tuple[BoxRow, ...]


@wire
@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """One effective value and the path of the node that sets it; ``None`` for a default."""

    name: str
    value: str
    source: str | None


@wire
@dataclass(frozen=True, slots=True)
class TargetSnapshot:
    """One box's current view of a target.

    Parameters
    ----------
    address, place : str
    score : float
        Load for each slot of the target's capacity: estimated calls in flight, and the load
        charged for overdue calls and errors.
    own : int
        Calls of this box in flight at the target.
    others : float
        Calls of other boxes in flight at the target, from its last report.
    doubt : float
        Moving average of the share of this box's calls that the target's reports lack.
    leaving : bool
        Whether the target is draining.
    aside : bool
        Whether the box has ejected the target.
    """

    address: Address
    place: str
    score: float
    own: int
    others: float
    doubt: float
    leaving: bool
    aside: bool


@wire
@dataclass(frozen=True, slots=True)
class Failure:
    """Error response to an operator's request.

    Notes
    -----
    Also the response to a change of the log level, with the code ``ok``.
    """

    code: str
    detail: str
