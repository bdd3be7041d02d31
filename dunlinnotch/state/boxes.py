"""Rows about boxes, each written by the one box that it describes.

Rows are most of what boxes send to each other, so their fields have short
names on the wire.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from dunlinnotch._wire import wire
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

    name: Annotated[str, Field(alias="n")]
    incarnation: Annotated[int, Field(alias="i")]
    seq: Annotated[int, Field(alias="q")]
    place: Annotated[str, Field(alias="l")]
    address: Annotated[Address, Field(alias="a")]
    peer: Annotated[Address, Field(alias="p")]
    state: Annotated[RunState, Field(alias="s")]
    version: Annotated[Version, Field(alias="v")]
    in_flight: Annotated[int, Field(alias="f")]
    tick: Annotated[Seconds, Field(alias="t")]
    leaving: Annotated[tuple[LeavingTarget, ...], Field(alias="g")] = ()

    @property
    def recency(self) -> tuple[int, int]:
        """Order of rows of one box: the larger one is newer."""
        return (self.incarnation, self.seq)
