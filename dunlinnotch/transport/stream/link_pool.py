"""All connections of this box to one target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.protocol.relay import NotSent
from dunlinnotch.transport.stream.target_link import IDLE_MOST_S, TargetLink

if TYPE_CHECKING:
    from dunlinnotch.types import Address, Seconds

#: Longest wait for a new connection, in seconds.
_CONNECT_S = 0.6
#: Time in which a process that is ending closes a connection it has just taken, in seconds.
_ENDING_S = 0.005
#: Time in which an address without a process refuses a connection, in seconds: some round
#: trips between places.
_REFUSAL_S = 0.05


class LinkPool:
    """All connections to one target.

    Parameters
    ----------
    address : str
    max_links : int
        Connections that may be open at once.
    """

    def __init__(self, address: Address, *, max_links: int) -> None:
        self.address = address
        self.max_links = max_links
        self.open: set[TargetLink] = set()
        self.opened = 0
        self._idle: list[TargetLink] = []
        self._loop = asyncio.get_running_loop()

    async def acquire_link(self, *, max_idle: Seconds = IDLE_MOST_S) -> TargetLink | NotSent:
        """Return an idle connection, the last used first, or open one.

        Parameters
        ----------
        max_idle : float, optional
            Seconds that the connection may have been idle.
        """
        while self._idle:
            link = self._idle.pop()
            if link.take(self._loop.time(), rested_most=max_idle):
                return link
            self._drop(link)
        return await self.connect()

    async def refuses(self) -> bool:
        """Return whether the address refuses a new connection: no process listens there.

        Notes
        -----
        A connection that comes about is kept for later.  Silence, and a reset after
        connecting, do not count: a link that is cut looks like the first, a target that
        has too many connections like the second.  A process that is just ending may take
        a connection and close it at once, so that is tried once more.
        """
        try:
            async with asyncio.timeout(_REFUSAL_S):
                link = await self.connect()
                if isinstance(link, NotSent):
                    return link.refused
                await asyncio.sleep(_ENDING_S)
                if not link.over:
                    self.release_link(link)
                    return False
                link = await self.connect()
        except TimeoutError:
            return False
        if isinstance(link, NotSent):
            return link.refused
        self.release_link(link)
        return False

    async def connect(self) -> TargetLink | NotSent:
        """Open a connection."""
        self._forget_closed()
        if len(self.open) >= self.max_links:
            return NotSent(Reason.CONNECT_FAILED, f"all {self.max_links} connections are in use")
        host, _, port = self.address.rpartition(":")
        link = TargetLink(self.address)
        self.open.add(link)
        try:
            async with asyncio.timeout(_CONNECT_S):
                await self._loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError) as error:
            self.open.discard(link)
            refused = isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__}: {error}"
            return NotSent(Reason.CONNECT_FAILED, detail, refused=refused)
        except asyncio.CancelledError:
            self.open.discard(link)
            raise
        self.opened += 1
        return link

    def release_link(self, link: TargetLink) -> None:
        """Keep a connection for later if it can be used again, else close it."""
        if link.rest(self._loop.time()):
            self._idle.append(link)
        else:
            self._drop(link)

    def discard(self, link: TargetLink) -> None:
        """Close a connection at once."""
        link.abort()
        self.open.discard(link)

    def close(self) -> None:
        """Close the idle connections; busy ones end with their request."""
        for link in self._idle:
            self._drop(link)
        self._idle.clear()

    def _drop(self, link: TargetLink) -> None:
        link.close()
        self.open.discard(link)

    def _forget_closed(self) -> None:
        for link in [link for link in self.open if link.over]:
            self.open.discard(link)
        self._idle = [link for link in self._idle if not link.over]
