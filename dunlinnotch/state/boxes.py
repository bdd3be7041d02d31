"""Rows about boxes, each written by the one box that it describes."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinnotch._codec import wire
from dunlinnotch.state.schema import RunState
from dunlinnotch.types import Address, Seconds, Version


@wire
@dataclass(frozen=True, slots=True)
class LeavingTarget:
    """A target that has told the box that it leaves.

    Parameters
    ----------
    address : str
    incarnation : str or None
        The start of the target that leaves; a later start does not.
    """

    address: Address
    incarnation: str | None


@wire
@dataclass(frozen=True, slots=True)
class BoxRow:
    """What one box says of itself.

    Parameters
    ----------
    name : str
    incarnation : int
        Grows with each start of the box; wall-clock nanoseconds of the start.
    seq : int
        Grows with each row of this incarnation.
    place : str
    address : str
        Where callers connect.
    peer : str
        Where peers connect.
    state : RunState
    version : int
        The settings version in force on the box.
    in_flight : int
        Calls that the box is serving.
    tick : float
        The box's own monotonic clock, in seconds, when the row was made.
    leaving : tuple of LeavingTarget
        What targets have told this box itself; hearsay is not passed on.
    """

    name: str
    incarnation: int
    seq: int
    place: str
    address: Address
    peer: Address
    state: RunState
    version: Version
    in_flight: int
    tick: Seconds
    leaving: tuple[LeavingTarget, ...] = ()

    @property
    def age_key(self) -> tuple[int, int]:
        """Order of rows of one box: the larger one is newer."""
        return (self.incarnation, self.seq)
