"""Buffered reading of a socket, with less overhead per request than cheroot's own reader."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

_RECEIVE_BYTES = 64 * 1024


class SocketReader:
    """Buffered reader of lines and bytes from a socket.

    Parameters
    ----------
    sock : socket.socket
        The socket to read from; :meth:`close` does not close it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = b""
        self._position = 0

    def has_data(self) -> bool:
        """Return whether the buffer holds unread bytes."""
        return self._position < len(self._buffer)

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line including its line feed.

        Parameters
        ----------
        size : int or None, default -1
            Maximum number of bytes; if negative or ``None``, the size of one receive.

        Returns
        -------
        bytes
            Without a line feed if ``size`` or the end of the stream was reached first.
        """
        limit = _RECEIVE_BYTES if size is None or size < 0 else size
        while True:
            end = self._buffer.find(b"\n", self._position, self._position + limit) + 1
            if end > 0:
                return self._consume(end - self._position)
            if len(self._buffer) - self._position >= limit:
                return self._consume(limit)
            if not self._receive():
                return self._consume(len(self._buffer) - self._position)

    def read1(self, size: int) -> bytes:
        """Return 1 to ``size`` bytes, or no bytes at the end of the stream."""
        if not self.has_data() and not self._receive():
            return b""
        return self._consume(min(size, len(self._buffer) - self._position))

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, or fewer if the stream ends before."""
        parts = []
        while size > 0 and (part := self.read1(size)):
            parts.append(part)
            size -= len(part)
        return b"".join(parts)

    def close(self) -> None:
        """Discard the buffer."""
        self._buffer = b""
        self._position = 0

    def _consume(self, size: int) -> bytes:
        data = self._buffer[self._position : self._position + size]
        self._position += size
        return data

    def _receive(self) -> bool:
        received = self._sock.recv(_RECEIVE_BYTES)
        self._buffer = self._buffer[self._position :] + received
        self._position = 0
        return bool(received)
