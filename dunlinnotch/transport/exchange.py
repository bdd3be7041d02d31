"""One HTTP request on a connection and its answer, with the body framing verified."""

from __future__ import annotations

import re
import select
import socket
from typing import TYPE_CHECKING, Protocol

from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.heads import format_head

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from dunlinnotch.transport.heads import StrictHeaderReader
    from dunlinnotch.transport.reader import SocketReader
    from dunlinnotch.types import Seconds

CHUNK_BYTES = 64 * 1024
_MAX_CHUNK_LINE_BYTES = 1024
_CHUNK_SIZE = re.compile(rb"^([0-9A-Fa-f]{1,12})(?:[ \t]*;[^\r\n]*)?\r\n$")


class ParsedConnection(Protocol):
    """The attributes of a connection that an :class:`Exchange` uses."""

    socket: socket.socket
    rfile: SocketReader
    read_deadline: Seconds | None
    remote_addr: str
    remote_port: int


class ClosingServer(Protocol):
    """The attributes of a server that an :class:`Exchange` uses."""

    closing: bool


class ParsedRequest(Protocol):
    """A request whose head has been parsed."""

    conn: ParsedConnection
    server: ClosingServer
    method: bytes
    uri: bytes
    inheaders: dict[bytes, bytes]
    header_reader: StrictHeaderReader


class Exchange:
    """One HTTP request and its answer.

    Parameters
    ----------
    request : ParsedRequest

    Attributes
    ----------
    method, path : str
    headers : list of Header
        All header lines as received.
    length : int or None
        Length of the request body in bytes; ``None`` if the body is chunked.
    remote : str
        Address of the caller, as ``host:port``.

    Notes
    -----
    Implements :class:`~dunlinnotch.protocol.attempt.CallerWatch`.
    """

    def __init__(self, request: ParsedRequest) -> None:
        self._conn = request.conn
        self._server = request.server
        self._sock = request.conn.socket
        self.method: str = request.method.decode("latin-1")
        self.path: str = request.uri.decode("latin-1")
        self.headers: list[Header] = request.header_reader.lines
        self.remote = f"{request.conn.remote_addr}:{request.conn.remote_port}"
        self._inheaders: dict[bytes, bytes] = request.inheaders
        self.length = self._body_length()
        self._unread_body_bytes: int | None = self.length
        self._body_read = self.length == 0
        self._body_started = False
        self._unsent_head: bytes | None = None
        self._chunked = False
        self._unsent_body_bytes: int | None = None
        self._finished = False

    def header(self, name: str) -> str | None:
        """Return the value of a request header, or ``None`` if it is absent."""
        value = self._inheaders.get(name.title().encode())
        return None if value is None else value.decode("latin-1")

    def _body_length(self) -> int | None:
        if b"Transfer-Encoding" in self._inheaders:
            return None
        return int(self._inheaders.get(b"Content-Length", b"0"))

    def set_read_deadline(self, deadline: Seconds | None) -> None:
        """Set the monotonic time after which reads from the caller fail; ``None`` for none."""
        self._conn.read_deadline = deadline

    @property
    def body_started(self) -> bool:
        """Whether reading of the request body has started."""
        return self._body_started

    def body(self) -> Iterator[bytes]:
        """Yield the request body.

        Raises
        ------
        BodyCutError
            If the body is truncated, its framing is invalid or the read deadline passes.
        """
        self._body_started = True
        try:
            yield from self._sized_body() if self.length is not None else self._chunked_body()
        except OSError as error:
            msg = f"reading the request body failed: {error}"
            raise BodyCutError(msg) from None
        self._body_read = True

    def _sized_body(self) -> Iterator[bytes]:
        while self._unread_body_bytes:
            data = self._conn.rfile.read1(min(CHUNK_BYTES, self._unread_body_bytes))
            if not data:
                msg = f"request body truncated: {self._unread_body_bytes} bytes missing"
                raise BodyCutError(msg)
            self._unread_body_bytes -= len(data)
            yield data

    def _chunked_body(self) -> Iterator[bytes]:
        rfile = self._conn.rfile
        while size := self._chunk_size(rfile.readline(_MAX_CHUNK_LINE_BYTES)):
            while size:
                data = rfile.read1(min(CHUNK_BYTES, size))
                if not data:
                    msg = f"request body truncated: {size} bytes of a chunk missing"
                    raise BodyCutError(msg)
                size -= len(data)
                yield data
            if rfile.read(2) != b"\r\n":
                msg = "request body invalid: no CRLF after the data of a chunk"
                raise BodyCutError(msg)
        if rfile.readline(_MAX_CHUNK_LINE_BYTES) != b"\r\n":
            msg = "request body invalid: expected an empty line after the last chunk, not trailers"
            raise BodyCutError(msg)

    @staticmethod
    def _chunk_size(line: bytes) -> int:
        match = _CHUNK_SIZE.match(line)
        if match is None:
            msg = f"chunk size {line[:40]!r} invalid: expected 1 to 12 hexadecimal digits"
            raise BodyCutError(msg)
        return int(match.group(1), 16)

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Prepare the head of the answer, to be sent together with the first part of the body.

        Parameters
        ----------
        status : int
        headers : sequence of Header
        length : int or None
            Length of the body in bytes; ``None`` to send it chunked.
        phrase : str, default ""
            Reason phrase of the status line.
        """
        bodiless = self.method == "HEAD" or status in (204, 304) or status < 200
        if self.closing:
            headers = [*headers, Header("Connection", "close")]
        self._chunked = length is None and not bodiless
        self._unsent_body_bytes = 0 if bodiless else length
        if bodiless and status in (204, 304):
            # These statuses carry neither Content-Length nor Transfer-Encoding.
            length = None
            self._unsent_head = format_head(status, phrase, headers, length=0)
            self._unsent_head = self._unsent_head.replace(b"Content-Length: 0\r\n", b"")
            return
        self._unsent_head = format_head(status, phrase, headers, length=length)

    def send(self, data: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        CallerGoneError
            If the caller has closed its connection or does not read.
        """
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        elif self._unsent_body_bytes is not None:
            self._unsent_body_bytes -= len(data)
        self._write(data)

    def finish(self) -> None:
        """Complete the answer, including the last chunk of a chunked body."""
        self._finished = True
        self._write(b"0\r\n\r\n" if self._chunked else b"")

    def reply(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a complete answer."""
        self.begin(status, headers, length=len(body))
        if self.method != "HEAD":
            self.send(body)
        self.finish()

    def _write(self, data: bytes) -> None:
        if self._unsent_head is not None:
            data, self._unsent_head = self._unsent_head + data, None
        if not data:
            return
        try:
            self._sock.sendall(data)
        except OSError as error:
            self.abort()
            msg = f"sending to the caller failed: {error}"
            raise CallerGoneError(msg) from None

    def abort(self) -> None:
        """Mark the answer as incomplete, so that the server closes the connection."""
        self._finished = False

    @property
    def closing(self) -> bool:
        """Whether the connection is closed after this answer."""
        connection = (self.header("Connection") or "").lower()
        return self._server.closing or "close" in connection or not self._body_read

    @property
    def answered_early(self) -> bool:
        """Whether the answer was completed before the request body was read."""
        return self._finished and not self._body_read

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return (
            self._finished and self._body_read and not self.closing and not self._unsent_body_bytes
        )

    def fileno(self) -> int | None:
        """Return the descriptor to poll for the end of the connection.

        ``None`` if unread bytes are buffered: the caller has sent another request and is
        assumed to be connected.
        """
        return None if self._conn.rfile.has_data() else self._sock.fileno()

    def gone(self) -> bool:
        """Return whether the caller has closed its connection."""
        if self._conn.rfile.has_data():
            return False
        return peer_closed(self._sock)


def peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed the connection, without consuming any bytes."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLIN)
        # On a socket with a timeout, recv blocks regardless of flags; poll first to avoid that.
        return bool(poller.poll(0)) and sock.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
