"""Messages between boxes, carried as a stream of msgpack objects."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Annotated, Protocol

from pydantic import Field

from dunlinnotch._wire import wire
from dunlinnotch.state.boxes import BoxRow
from dunlinnotch.state.tree import Edit, SettingsTree
from dunlinnotch.types import Version

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dunlinnotch.types import Address


@wire
@dataclass(frozen=True, slots=True)
class Sync:
    """One turn of a link: what the sender knows and the receiver may not.

    Parameters
    ----------
    sender : str
        Name of the box.
    incarnation : int
    version : int
        Settings version in force at the sender.
    table_age : float or None
        Seconds since the sender last read the table.
    rows : tuple of BoxRow
        Rows that are newer than what the receiver is known to have.
    edits : tuple of Edit
        Edits after the receiver's last known version.
    tree : SettingsTree or None
        The whole tree, if the edits no longer reach back far enough.
    """

    sender: Annotated[str, Field(alias="n")]
    incarnation: Annotated[int, Field(alias="i")]
    version: Annotated[Version, Field(alias="v")]
    table_age: Annotated[float | None, Field(alias="o")]
    rows: Annotated[tuple[BoxRow, ...], Field(alias="r")]
    edits: Annotated[tuple[Edit, ...], Field(alias="e")] = ()
    tree: Annotated[SettingsTree | None, Field(alias="t")] = None


@dataclass(slots=True)
class LinkState:
    """What a peer at the other end of one link is known to have.

    Parameters
    ----------
    rows : dict of str to (int, int)
        Newest row of each box that the peer sent or was sent.
    version : int
        Settings version that the peer last named.
    """

    rows: dict[str, tuple[int, int]] = field(default_factory=dict)
    version: Version = 0


class PeerExchange(Protocol):
    """What a link needs of the box's knowledge of its peers."""

    def next_sync(self, link: LinkState) -> Sync:
        """Return what the peer on ``link`` may not know yet."""

    def apply(self, sync: Sync, link: LinkState) -> None:
        """Take in what a peer sent."""

    def select_links(self, count: int, seeds: Iterable[Address]) -> dict[str, Address]:
        """Return the peers to connect to, by name."""
