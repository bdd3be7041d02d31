"""Rows that describe boxes, each written by the box itself.

Most messages between boxes consist of rows, so the fields have short aliases.
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
    """A target that has reported to the box that it is leaving.

    Parameters
    ----------
    address : str
    incarnation : str or None
        Incarnation that is leaving; a later one is not.
    """

    address: Address
    incarnation: str | None


@wire
@dataclass(frozen=True, slots=True)
class BoxRow:
    """State that one box publishes to its peers.

    Parameters
    ----------
    name : str
    incarnation : int
        Time of the box's start in Unix nanoseconds, which rises with each start.
    seq : int
        Number that rises with each row of this incarnation.
    place : str
    address : str
        Address for callers.
    peer : str
        Address for peers.
    state : RunState
    version : int
        Version of the settings that are effective at the box.
    in_flight : int
        Calls that the box is serving.
    tick : float
        Time at which the row was made, by the box's monotonic clock, in seconds.
    leaving : tuple of LeavingTarget
        Targets that reported to this box itself that they are leaving; reports of peers
        are not forwarded.
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
        """Order among the rows of one box; the larger one is newer."""
        return (self.incarnation, self.seq)
