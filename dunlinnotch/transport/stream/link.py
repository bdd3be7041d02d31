"""What each end of a connection needs: bytes held within bounds, both ways."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.transport.stream.common import FlowControl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Bytes of a body held before the sender is made to wait.
MAX_BUFFERED_BODY_BYTES = 64 * 1024


class StreamLink(asyncio.Protocol):
    """One connection; a subclass parses what comes.

    Attributes
    ----------
    over : bool
        Whether nothing is to be sent or taken any more.
    """

    def __init__(self) -> None:
        self.flow_control = FlowControl()
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def pause_writing(self) -> None:
        """Make writers wait."""
        self.flow_control.pause()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self.flow_control.resume()

    def write(self, data: bytes) -> None:
        """Write without waiting."""
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop taking bytes."""
        if not self._paused and self._transport is not None and not self.closed:
            self._paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Take bytes again."""
        if self._paused and self._transport is not None and not self.closed:
            self._paused = False
            self._transport.resume_reading()


class BodyQueue:
    """Parts of one body between the connection that it comes on and whoever reads it.

    Parameters
    ----------
    link : StreamLink
        Takes no more bytes while too much is held.

    Attributes
    ----------
    done : bool
        Whether the body has come to its end.
    error : str
        Why it can't be read to its end; empty if it can.
    """

    def __init__(self, link: StreamLink) -> None:
        self._link = link
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._changed = asyncio.Event()
        self.done = False
        self.error = ""

    def put(self, part: bytes) -> None:
        """Take in a part."""
        self._parts.append(part)
        self._buffered_bytes += len(part)
        if self._buffered_bytes > MAX_BUFFERED_BODY_BYTES:
            self._link.pause_reading()
        self._changed.set()

    def end(self) -> None:
        """Note the end of the body."""
        self.done = True
        self._changed.set()

    def fail(self, error: str) -> None:
        """Note that the rest of the body can't be had."""
        self.error = self.error or error
        self._changed.set()

    def drop(self) -> None:
        """Let go of the parts that nobody will read."""
        self._parts.clear()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises
        ------
        BodyCutError
            If it can't be read to its end; parts that came before are yielded first.
        """
        while True:
            while self._parts:
                part = self._parts.popleft()
                self._buffered_bytes -= len(part)
                if self._buffered_bytes <= MAX_BUFFERED_BODY_BYTES:
                    self._link.resume_reading()
                yield part
            if self.error:
                raise BodyCutError(self.error)
            if self.done:
                return
            self._changed.clear()
            await self._changed.wait()
