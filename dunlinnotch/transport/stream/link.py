"""Base class of connections and a bounded queue for bodies, used by server and client."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.transport.stream.common import FlowControl

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Maximum size of the unread part of a body before the connection is no longer read.
MAX_BUFFERED_BODY_BYTES = 64 * 1024


#: Maximum number of bytes read from a connection before the others have their turn.
_READ_BYTES = 32 * 1024
#: Shared by all connections: each read is parsed before the next.
_read_buffer = memoryview(bytearray(_READ_BYTES))


class StreamLink(asyncio.BufferedProtocol):
    """One connection; a subclass parses the received bytes.

    Attributes
    ----------
    flow_control : FlowControl
        Makes writers wait while the other end does not read.
    closed : bool
        Whether nothing may be sent or received any more.
    """

    def __init__(self) -> None:
        self.flow_control = FlowControl()
        self.closed = False
        self._transport: asyncio.Transport | None = None
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Make writers wait."""
        self.flow_control.pause()

    def resume_writing(self) -> None:
        """Let writers continue."""
        self.flow_control.resume()

    def write(self, data: bytes) -> None:
        """Write bytes without waiting; ignored if the connection is closed."""
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading from the connection."""
        if not self._paused and self._transport is not None and not self.closed:
            self._paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue to read from the connection."""
        if self._paused and self._transport is not None and not self.closed:
            self._paused = False
            self._transport.resume_reading()


class BodyQueue:
    """Buffer between the connection that receives a body and the reader of the body.

    Parameters
    ----------
    link : StreamLink
        Reading from it is paused while too many bytes are buffered.

    Attributes
    ----------
    done : bool
        Whether the complete body has been received.
    error : str
        Why the body can't be received completely; empty if there is no error.
    """

    def __init__(self, link: StreamLink) -> None:
        self._link = link
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._changed = asyncio.Event()
        self._held = False
        self.done = False
        self.error = ""

    def put(self, part: bytes) -> None:
        """Add a received part."""
        self._parts.append(part)
        self._buffered_bytes += len(part)
        if self._buffered_bytes > MAX_BUFFERED_BODY_BYTES:
            self._link.pause_reading()
        self._changed.set()

    def hold(self) -> None:
        """Yield nothing more until the body is marked as complete or cut."""
        self._held = True
        # What decides this comes after the body.
        self._link.resume_reading()

    def end(self) -> None:
        """Mark the body as complete."""
        self.done = True
        self._held = False
        self._changed.set()

    def fail(self, error: str) -> None:
        """Mark the body as cut; the first error is kept."""
        self.error = self.error or error
        self._changed.set()

    def drop(self) -> None:
        """Drop the buffered parts, which will not be read, and continue to read."""
        self._parts.clear()
        self._buffered_bytes = 0
        self._link.resume_reading()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; wait for more until its end.

        Raises
        ------
        BodyCutError
            If the body is cut.  Buffered parts are not yielded then: the last one would make a
            body with a length look complete.
        """
        while True:
            if self.error:
                raise BodyCutError(self.error)
            if self._parts and not self._held:
                part = self._parts.popleft()
                self._buffered_bytes -= len(part)
                if self._buffered_bytes <= MAX_BUFFERED_BODY_BYTES:
                    self._link.resume_reading()
                yield part
                continue
            if self.done:
                return
            self._changed.clear()
            await self._changed.wait()
