"""Rows about boxes, each written by the one box that it describes."""

from __future__ import annotations

from dataclasses import dataclass

from dunlinnotch._codec import wire
from dunlinnotch.state.schema import RunState
from dunlinnotch.types import Address, Seconds, Version


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

    @property
    def age_key(self) -> tuple[int, int]:
        """Order of rows of one box: the larger one is newer."""
        return (self.incarnation, self.seq)
