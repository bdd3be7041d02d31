"""Sync messages between boxes, sent as a stream of msgpack objects."""

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
    """One message of a sync round: rows and edits that the receiver may lack.

    Parameters
    ----------
    sender : str
        Name of the box.
    incarnation : int
    version : int
        Settings version active at the sender.
    table_age : float or None
        Seconds since the sender last read the table; ``None`` if it never did.
    rows : tuple of BoxRow
        Rows newer than those that the receiver is known to have.
    edits : tuple of Edit
        Edits after the receiver's last known version.
    tree : SettingsTree or None
        Complete tree, if edits since that version are not available or too many.
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
    """State that the peer on one link is known to have.

    Parameters
    ----------
    rows : dict of str to (int, int)
        Recency of the newest row of each box that the peer sent or was sent.
    version : int
        Settings version that the peer last reported.
    """

    rows: dict[str, tuple[int, int]] = field(default_factory=dict)
    version: Version = 0


class PeerExchange(Protocol):
    """The box's membership, as links to peers use it."""

    def next_sync(self, link: LinkState) -> Sync:
        """Return the rows and edits that the peer on ``link`` may lack."""

    def apply(self, sync: Sync, link: LinkState) -> None:
        """Apply the rows and edits that a peer sent."""

    def select_links(self, count: int, seeds: Iterable[Address]) -> dict[str, Address]:
        """Return the peers to connect to, by name."""
