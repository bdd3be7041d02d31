"""What the operator port takes and gives, as JSON."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dunlinnotch._wire import wire
from dunlinnotch.state.boxes import BoxRow
from dunlinnotch.state.tree import Edit
from dunlinnotch.types import Address, Seconds, Version

#: Seconds that an edit waits for the boxes' confirmations unless told otherwise.
EDIT_WAIT_S = 3.0


class DrainPhase(StrEnum):
    """How far a drain has come."""

    NONE = "none"
    ANSWERS = "waiting-for-answers"
    CALLS = "waiting-for-calls"
    DONE = "done"


@wire
@dataclass(frozen=True, slots=True)
class DrainStatus:
    """What a drain waits for.

    Parameters
    ----------
    phase : DrainPhase
    answers_s : float
        Seconds for which some caller may still keep an answer that named the box.
    calls : int
        Calls in flight.
    """

    phase: DrainPhase
    answers_s: Seconds
    calls: int


@wire
@dataclass(frozen=True, slots=True)
class EditRequest:
    """An edit, with the time to wait until it is in force everywhere."""

    edit: Edit
    wait_s: Seconds = EDIT_WAIT_S


@wire
@dataclass(frozen=True, slots=True)
class Status:
    """What a box says of itself and of the others.

    Parameters
    ----------
    refusing : str or None
        Why the box takes no new work.
    links : tuple of str
        Peers that this box has opened links to.
    peer_bytes : int
        Bytes sent to peers since the start.
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
    """One effective value and the node that it comes from."""

    name: str
    value: str
    source: str | None


@wire
@dataclass(frozen=True, slots=True)
class TargetSnapshot:
    """One target as this box sees it now."""

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
    """Why a request of an operator can't be served."""

    code: str
    detail: str
