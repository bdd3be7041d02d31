"""Cut the paths between boxes of a stream world and their targets, inside the process."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum, auto
from typing import TYPE_CHECKING
from unittest import mock

from dunlinnotch.transport.stream.link_pool import LinkPool
from dunlinnotch.transport.stream.target_link import TargetLink

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.daemon.entry import EntryBox
    from dunlinnotch.types import Address

_HANG_S = 60.0
_open = LinkPool._open
_write = TargetLink.write
_data_received = TargetLink.data_received


class Cut(Enum):
    """What happens on a path that is cut."""

    #: Nothing passes, on open connections and on new ones.
    HANGS = auto()
    #: New connections open, and nothing passes.
    OPENS = auto()
    #: New connections open and are reset, like those that were open.
    OPENS_AND_RESETS = auto()
    #: Open connections are reset, and new ones refused.
    RESETS = auto()
    #: Open connections live on, and new ones are refused.
    REFUSES_NEW = auto()
    #: Requests pass and answers don't; new connections hang.
    ONE_WAY = auto()


class CutPaths:
    """Paths between boxes and addresses of targets that are cut now."""

    def __init__(self) -> None:
        self._cuts: list[tuple[EntryBox, frozenset[Address] | None, Cut]] = []

    def cut(
        self, box: EntryBox, how: Cut = Cut.HANGS, *, targets: frozenset[Address] | None = None
    ) -> None:
        """Cut the paths of a box to some targets, by default to all, also to later ones."""
        self._cuts.append((box, targets, how))
        if how in (Cut.RESETS, Cut.OPENS_AND_RESETS):
            for pool in list(box._target_client._pools.values()):
                if targets is None or pool.address in targets:
                    for link in list(pool.open_links):
                        link.abort()

    def heal(self, box: EntryBox) -> None:
        """End all cuts of a box."""
        self._cuts = [cut for cut in self._cuts if cut[0] is not box]

    def find(self, pool: LinkPool | None) -> Cut | None:
        """Return how the path of a pool is cut, or None."""
        for box, targets, how in self._cuts:
            if pool in box._target_client._pools.values() and (
                targets is None or pool.address in targets
            ):
                return how
        return None

    def find_link(self, link: TargetLink) -> Cut | None:
        """Return how the path of a connection is cut, or None."""
        for box, _, _ in self._cuts:
            pool = box._target_client._pools.get(link.address)
            if pool is not None and link in pool.open_links:
                return self.find(pool)
        return None


@contextlib.contextmanager
def cut_paths() -> Iterator[CutPaths]:
    """Allow paths to be cut until the context ends."""
    paths = CutPaths()

    async def open_connection(pool, link):
        how = paths.find(pool)
        if how in (Cut.RESETS, Cut.REFUSES_NEW):
            raise ConnectionRefusedError("the path is cut")
        if how in (Cut.HANGS, Cut.ONE_WAY):
            await asyncio.sleep(_HANG_S)
        await _open(pool, link)
        if how is Cut.OPENS_AND_RESETS:
            pool._loop.call_soon(link._transport.abort)

    def write(link, data):
        if paths.find_link(link) not in (Cut.HANGS, Cut.OPENS):
            _write(link, data)

    def data_received(link, data):
        if paths.find_link(link) not in (Cut.HANGS, Cut.OPENS, Cut.ONE_WAY):
            _data_received(link, data)

    with (
        mock.patch.object(LinkPool, "_open", open_connection),
        mock.patch.object(TargetLink, "write", write),
        mock.patch.object(TargetLink, "data_received", data_received),
    ):
        yield paths
