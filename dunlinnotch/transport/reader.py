"""Buffered reading of a socket, in place of cheroot's reader in pure Python.

cheroot's own reader costs about a sixth of a hop, see ``docs/design/hop.md``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import socket

_RECEIVE = 64 * 1024


class SocketReader:
    """Read lines and bytes from a socket.

    Parameters
    ----------
    sock : socket.socket
        Closed by its owner, not by this reader.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._data = b""
        self._at = 0

    def has_data(self) -> bool:
        """Return whether bytes were received that nobody has read."""
        return self._at < len(self._data)

    def readline(self, size: int | None = -1) -> bytes:
        """Return bytes to the next line feed, at most ``size``, fewer at the end."""
        limit = _RECEIVE if size is None or size < 0 else size
        while True:
            end = self._data.find(b"\n", self._at, self._at + limit) + 1
            if end > 0:
                return self._take(end - self._at)
            if len(self._data) - self._at >= limit:
                return self._take(limit)
            if not self._receive():
                return self._take(len(self._data) - self._at)

    def read1(self, size: int) -> bytes:
        """Return at least one byte and at most ``size``; nothing at the end."""
        if not self.has_data() and not self._receive():
            return b""
        return self._take(min(size, len(self._data) - self._at))

    def read(self, size: int) -> bytes:
        """Return ``size`` bytes, fewer only at the end."""
        parts = []
        while size > 0 and (part := self.read1(size)):
            parts.append(part)
            size -= len(part)
        return b"".join(parts)

    def close(self) -> None:
        """Drop what was received."""
        self._data = b""
        self._at = 0

    def _take(self, size: int) -> bytes:
        taken = self._data[self._at : self._at + size]
        self._at += size
        return taken

    def _receive(self) -> bool:
        received = self._sock.recv(_RECEIVE)
        self._data = self._data[self._at :] + received
        self._at = 0
        return bool(received)
