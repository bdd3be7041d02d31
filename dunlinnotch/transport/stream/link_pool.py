"""Connection pool for one address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.protocol.relay import NotSent
from dunlinnotch.transport.stream.target_link import MAX_IDLE_S, TargetLink

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.types import Address, Seconds

#: Timeout for opening a connection, in seconds.
_CONNECT_TIMEOUT_S = 0.6
#: Timeout of a check whether there is a path to the address, in seconds: many round trips
#: between places.
_PATH_CHECK_TIMEOUT_S = 0.2
#: A connection or a probe that is given up after this time, in seconds, shows that there is
#: no path.
UNREACHED_AFTER_S = 0.15
#: Time after which a new connection is checked for an early close, in seconds.  A process that
#: is exiting may accept a connection and close it at once.
_EARLY_CLOSE_DELAY_S = 0.005
#: Timeout for a refusal by an address where no process listens, in seconds; allows for some
#: round trips between places.
_REFUSAL_TIMEOUT_S = 0.05
#: Time for which an address that sent an answer too many is expected to send more, in seconds.
_SURPLUS_MEMORY_S = 60.0


class LinkPool:
    """Open and idle connections to one address.

    Parameters
    ----------
    address : str
    max_links : int
        Maximum number of connections that are open at the same time.
    on_heard : callable, optional
        Called whenever bytes arrive from the address.
    on_unreached : callable, optional
        Called with the time since which a connection to the address could not be opened.
    on_surplus : callable, optional
        Called when an answer arrives that belongs to no send that waits.
    named_send : callable, optional
        Of each :class:`~.target_link.TargetLink`.

    Attributes
    ----------
    open_links : set of TargetLink
        Open connections, idle or busy, and those being opened.
    opened : int
        Number of connections opened so far.
    """

    def __init__(
        self,
        address: Address,
        *,
        max_links: int,
        on_heard: Callable[[], None] = lambda: None,
        on_unreached: Callable[[Seconds], None] = lambda since: None,
        on_surplus: Callable[[], None] = lambda: None,
        named_send: Callable[[AnswerHead], str | None] | None = None,
    ) -> None:
        self._named_send = named_send
        self.address = address
        self.max_links = max_links
        self._on_heard = on_heard
        self._on_unreached = on_unreached
        self._on_surplus = on_surplus
        self.open_links: set[TargetLink] = set()
        self.opened = 0
        self._idle: list[TargetLink] = []
        self._surplus_until: Seconds = 0.0
        self._loop = asyncio.get_running_loop()

    async def acquire_link(
        self, key: str, *, max_idle: Seconds = MAX_IDLE_S, repeats: bool = False
    ) -> TargetLink | NotSent:
        """Return the idle connection that was used last and admits the send, or a new one.

        Parameters
        ----------
        key : str
            What the answer to the send will name.
        max_idle : float, optional
            Seconds that the connection may have been idle.
        repeats : bool, default False
            Whether the connection may have carried the key before, so that the answer of that
            send may be taken for the new one's; still refused while the address sends more
            answers than were asked for.

        Returns
        -------
        TargetLink or NotSent
            :class:`~.relay.NotSent` if no connection could be opened.
        """
        now = self._loop.time()
        repeats = repeats and now >= self._surplus_until
        for link in reversed(self._idle.copy()):
            if not link.is_usable(now, max_idle=max_idle):
                self._idle.remove(link)
                self._close_link(link)
            elif repeats or link.sends.admits(key):
                self._idle.remove(link)
                link.begin_use()
                return link
        return await self.connect()

    def _record_surplus(self) -> None:
        """Record that the address sent an answer that belongs to no send that waits."""
        self._surplus_until = self._loop.time() + _SURPLUS_MEMORY_S
        self._on_surplus()

    async def refuses_connections(self) -> bool:
        """Return whether the address refuses a new connection, as no process listens there.

        Notes
        -----
        A timeout or a reset of an open connection is no refusal: it may also mean that the
        network is interrupted, or that the target has too many connections.  A connection that
        is closed at once is opened a second time, because a process that is exiting may still
        accept connections.  A connection that stays open is kept in the pool.
        """
        link: TargetLink | NotSent | None = None
        try:
            async with asyncio.timeout(_REFUSAL_TIMEOUT_S):
                link = await self.connect()
                if isinstance(link, TargetLink):
                    await asyncio.sleep(_EARLY_CLOSE_DELAY_S)
                    if link.closed:
                        link = await self.connect()
        except TimeoutError:
            return False
        finally:
            if isinstance(link, TargetLink):
                self.release_link(link)
        return isinstance(link, NotSent) and link.refused

    async def connect(self) -> TargetLink | NotSent:
        """Open a connection, unless the maximum number is open.

        Returns
        -------
        TargetLink or NotSent
        """
        self._remove_closed()
        if len(self.open_links) >= self.max_links and self._idle:
            # No idle connection suits the send.
            self._close_link(self._idle.pop(0))
        if len(self.open_links) >= self.max_links:
            return NotSent(Reason.CONNECT_FAILED, f"all {self.max_links} connections are in use")
        link = TargetLink(
            self.address,
            on_data=self._on_heard,
            on_surplus=self._record_surplus,
            named_send=self._named_send,
        )
        self.open_links.add(link)
        began = self._loop.time()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await self._open(link)
        except (OSError, TimeoutError) as error:
            self.open_links.discard(link)
            self._on_unreached(began)
            refused = isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__}: {error}"
            return NotSent(Reason.CONNECT_FAILED, detail, refused=refused)
        except asyncio.CancelledError:
            self.open_links.discard(link)
            if self._loop.time() - began >= UNREACHED_AFTER_S:
                self._on_unreached(began)
            raise
        self.opened += 1
        return link

    async def _open(self, link: TargetLink) -> None:
        host, _, port = self.address.rpartition(":")
        await self._loop.create_connection(lambda: link, host, int(port))

    async def check_path(self) -> bool:
        """Return whether a new connection opens, and keep it in the pool."""
        try:
            async with asyncio.timeout(_PATH_CHECK_TIMEOUT_S):
                link = await self.connect()
        except TimeoutError:
            return False
        if isinstance(link, NotSent):
            return False
        self.release_link(link)
        return True

    def release_link(self, link: TargetLink) -> None:
        """Return a connection to the pool if it can be reused, else close it.

        Notes
        -----
        A connection beyond the maximum is closed: the maximum falls when a box learns of
        more boxes, which then need their part of what the target accepts.
        """
        within_limit = len(self.open_links) <= self.max_links
        if link.mark_idle(self._loop.time()) and within_limit:
            self._idle.append(link)
        else:
            self._close_link(link)

    def discard(self, link: TargetLink) -> None:
        """Close a connection at once."""
        link.abort()
        self.open_links.discard(link)

    def close(self) -> None:
        """Close the idle connections; those in use stay open."""
        for link in self._idle:
            self._close_link(link)
        self._idle.clear()

    def _close_link(self, link: TargetLink) -> None:
        link.close()
        self.open_links.discard(link)

    def _remove_closed(self) -> None:
        for link in [link for link in self.open_links if link.closed]:
            self.open_links.discard(link)
        self._idle = [link for link in self._idle if not link.closed]
