"""The answer of a target to one request, and what becomes of its connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import AsyncIterator

    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.transport.stream.link_pool import LinkPool
    from dunlinnotch.transport.stream.target_link import IncomingAnswer


class LinkAnswer:
    """An answer whose body is still being received.

    Parameters
    ----------
    pool : LinkPool
        Gets the connection back when the answer is closed.
    incoming : IncomingAnswer
    sender : asyncio.Task or None
        Task that still sends the body of the request, if there is one.
    head : AnswerHead
        As passed on to the caller.
    """

    def __init__(
        self,
        pool: LinkPool,
        incoming: IncomingAnswer,
        sender: asyncio.Task[None] | None,
        head: AnswerHead,
    ) -> None:
        self._pool = pool
        self._incoming = incoming
        self._sender = sender
        self._read_ahead: bytes = b""
        self.head = head

    async def read_complete(self, max_bytes: int) -> bytes | None:
        """Read the complete body, unless it is too long.

        Parameters
        ----------
        max_bytes : int

        Returns
        -------
        bytes or None
            ``None`` if the body is longer than ``max_bytes``; :meth:`parts` then still yields
            all of it.

        Raises
        ------
        BodyCutError
            If the body ends early.
        """
        if self.head.length is not None and self.head.length > max_bytes:
            return None
        data = bytearray()
        async for part in self._incoming.parts():
            data += part
            if len(data) > max_bytes:
                self._read_ahead = bytes(data)
                return None
        return bytes(data)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body, including what :meth:`read_complete` has read of one too long."""
        if self._read_ahead:
            yield self._read_ahead
            self._read_ahead = b""
        async for part in self._incoming.parts():
            yield part

    def close(self) -> None:
        """Release the connection if request and answer are complete, else close it."""
        link = self._incoming.link
        body_sent = self._sender is None or _sent_completely(self._sender)
        if self._sender is not None:
            self._sender.cancel()
        if self._incoming.done and body_sent:
            self._pool.release_link(link)
        else:
            self._pool.discard(link)


def _sent_completely(sender: asyncio.Task[None]) -> bool:
    """Return whether the whole body was sent, so that the target expects no more of it."""
    return sender.done() and not sender.cancelled() and sender.exception() is None
