"""Connections whose answers are limited in all but their bodies."""

from __future__ import annotations

import io
import socket
from http.client import HTTPException, HTTPResponse
from typing import TYPE_CHECKING, Any

import urllib3
from urllib3.connection import HTTPConnection

if TYPE_CHECKING:
    from urllib3._base_connection import BaseHTTPConnection
    from urllib3.util import Timeout

    from dunlinnotch.types import Seconds

#: Maximum size of lines (heads, chunk sizes, trailers) received without a byte of a body.
MAX_LINES_BYTES = 128 * 1024


class _LimitedReader(io.BufferedReader):
    """Reads an answer; raises ``HTTPException`` for too many or truncated lines.

    Notes
    -----
    ``http.client`` and ``urllib3`` take a line that ends with the connection for a complete
    one.  A chunk size or a head that is cut short would then end the body early.
    """

    def __init__(self, raw: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__(raw)
        self._sock = sock
        self._lines_bytes = 0

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a complete line."""
        left = MAX_LINES_BYTES - self._lines_bytes + 1
        line = super().readline(left if size is None or size < 0 else min(size, left))
        self._lines_bytes += len(line)
        if self._lines_bytes > MAX_LINES_BYTES:
            msg = f"the lines of an answer exceed {MAX_LINES_BYTES} bytes, the maximum"
            raise HTTPException(msg)
        if not line.endswith(b"\n") and len(line) != size:
            msg = f"the answer ends within a line, after {line!r:.80}"
            raise HTTPException(msg)
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read a part of a body."""
        self._lines_bytes = 0
        return super().read(size)

    def readinto(self, buffer: Any, /) -> int:  # noqa: ANN401 - any writable buffer
        """Read a part of a body."""
        self._lines_bytes = 0
        return super().readinto(buffer)

    def look_ahead(self, timeout: Seconds) -> bytes:
        """Return received bytes that have not been read.

        Parameters
        ----------
        timeout : float
            Seconds to wait for them; 0 for none.

        Returns
        -------
        bytes
            Empty if there are none in time, or before the end of the connection.

        Raises
        ------
        OSError
            If the connection was reset, or if ``timeout`` is not 0 and passes.
        """
        before = self._sock.gettimeout()
        self._sock.settimeout(timeout)
        try:
            return self.peek(1)
        finally:
            self._sock.settimeout(before)


class _LimitedResponse(HTTPResponse):
    """An answer that is read with :class:`_LimitedReader`."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401
        super().__init__(sock, *args, **kwargs)
        self.reader = self.fp = _LimitedReader(self.fp.detach(), sock)


class _OpenEndedResponse(_LimitedResponse):
    """An answer whose reader stays open at its end, to look at what follows."""

    def _close_conn(self) -> None:
        self.fp = None  # type: ignore[assignment]


class LimitedConnection(HTTPConnection):
    """A connection to a target or service, whose answers are limited."""

    response_class = _LimitedResponse


class OpenEndedConnection(LimitedConnection):
    """A limited connection that tells what follows the answer read last."""

    _reader: _LimitedReader | None = None

    def __init__(self, host: str, port: int, **options: Any) -> None:  # noqa: ANN401
        super().__init__(host, port, **options)
        self.response_class = self._receive  # type: ignore[assignment]

    def _receive(self, sock: socket.socket, *args: Any, **kwargs: Any) -> HTTPResponse:  # noqa: ANN401
        self.close_reader()
        response = _OpenEndedResponse(sock, *args, **kwargs)
        self._reader = response.reader
        return response

    def look_ahead(self) -> bytes:
        """Return what has been received after the answer, without waiting for it."""
        assert self._reader is not None
        try:
            return self._reader.look_ahead(0.0)
        except OSError:
            return b""

    def await_end(self, timeout: Seconds) -> bytes:
        """End this side of the connection; return what the other still sends before its end.

        Parameters
        ----------
        timeout : float
            Seconds.

        Raises
        ------
        OSError
            If the connection is reset, or stays open for longer.
        """
        assert self._reader is not None
        if self.sock is not None:
            # It is None after an answer that closes the connection.
            self.sock.shutdown(socket.SHUT_WR)
        return self._reader.look_ahead(timeout)

    def close_reader(self) -> None:
        """Close the reader of the last answer, which keeps the connection open."""
        if self._reader is not None:
            self._reader.close()


class _SingleUsePool(urllib3.HTTPConnectionPool):
    """Opens a connection for each request."""

    ConnectionCls = LimitedConnection

    def _put_conn(self, conn: BaseHTTPConnection | None) -> None:
        if conn is not None:
            conn.close()


def limited_pool_manager(*, timeout: float | Timeout, **options: Any) -> urllib3.PoolManager:  # noqa: ANN401
    """Return a pool manager for HTTP without retries and with a connection for each request.

    Parameters
    ----------
    timeout : float or Timeout
        In seconds.
    **options
        Of :class:`urllib3.PoolManager`.

    Notes
    -----
    Answers to health checks, and those of the platform, name no request: on a connection that
    has carried another request, an answer could be that request's.
    """
    manager = urllib3.PoolManager(retries=False, timeout=timeout, **options)
    manager.pool_classes_by_scheme = {"http": _SingleUsePool}
    return manager
