"""One request of a connection and its answer, with framing checked to the last byte."""

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

CHUNK = 64 * 1024
_CHUNK_LINE_MAX = 1024
_CHUNK_SIZE = re.compile(rb"^([0-9A-Fa-f]{1,12})(?:[ \t]*;[^\r\n]*)?\r\n$")


class ParsedConnection(Protocol):
    """What an exchange uses of its caller's connection."""

    socket: socket.socket
    rfile: SocketReader
    limit: Seconds | None
    remote_addr: str
    remote_port: int


class ClosingServer(Protocol):
    """What an exchange uses of its server."""

    closing: bool


class ParsedRequest(Protocol):
    """A request whose head has been read."""

    conn: ParsedConnection
    server: ClosingServer
    method: bytes
    uri: bytes
    inheaders: dict[bytes, bytes]
    header_reader: StrictHeaderReader


class Exchange:
    """One request and its answer.

    Attributes
    ----------
    method, path : str
    headers : list of Header
        All header lines as received.
    length : int or None
        Bytes in the request's body; ``None`` if it is chunked.
    remote : str
        The caller's address.
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
        self._body_left: int | None = self.length
        self._body_done = self.length == 0
        self._body_begun = False
        self._head: bytes | None = None
        self._chunked = False
        self._answer_left: int | None = None
        self._ended = False

    def header(self, name: str) -> str | None:
        """Return one header's value, or None."""
        value = self._inheaders.get(name.title().encode())
        return None if value is None else value.decode("latin-1")

    def _body_length(self) -> int | None:
        if b"Transfer-Encoding" in self._inheaders:
            return None
        return int(self._inheaders.get(b"Content-Length", b"0"))

    def limit_reads(self, until: Seconds | None) -> None:
        """Set the monotonic time at which reads from the caller are broken off."""
        self._conn.limit = until

    @property
    def body_begun(self) -> bool:
        """Whether any of the body has been handed out."""
        return self._body_begun

    def body(self) -> Iterator[bytes]:
        """Yield the request's body.

        Raises
        ------
        BodyCutError
            If it ends early, is late or breaks its framing.
        """
        self._body_begun = True
        try:
            yield from self._plain_body() if self.length is not None else self._chunked_body()
        except OSError as error:
            msg = f"the caller's body broke off: {error}"
            raise BodyCutError(msg) from None
        self._body_done = True

    def _plain_body(self) -> Iterator[bytes]:
        while self._body_left:
            part = self._conn.rfile.read1(min(CHUNK, self._body_left))
            if not part:
                msg = f"the caller's body ended {self._body_left} bytes early"
                raise BodyCutError(msg)
            self._body_left -= len(part)
            yield part

    def _chunked_body(self) -> Iterator[bytes]:
        rfile = self._conn.rfile
        while size := self._chunk_size(rfile.readline(_CHUNK_LINE_MAX)):
            while size:
                part = rfile.read1(min(CHUNK, size))
                if not part:
                    msg = "the caller's body ended inside a chunk"
                    raise BodyCutError(msg)
                size -= len(part)
                yield part
            if rfile.read(2) != b"\r\n":
                msg = "a chunk of the caller's body is longer than it says"
                raise BodyCutError(msg)
        if rfile.readline(_CHUNK_LINE_MAX) != b"\r\n":
            msg = "trailers after the last chunk are not taken"
            raise BodyCutError(msg)

    @staticmethod
    def _chunk_size(line: bytes) -> int:
        match = _CHUNK_SIZE.match(line)
        if match is None:
            msg = f"chunk size {line[:40]!r} is not hexadecimal"
            raise BodyCutError(msg)
        return int(match.group(1), 16)

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Prepare the answer's head; it goes out with the first part of the body."""
        bodiless = self.method == "HEAD" or status in (204, 304) or status < 200
        if self.closing:
            headers = [*headers, Header("Connection", "close")]
        self._chunked = length is None and not bodiless
        self._answer_left = 0 if bodiless else length
        if bodiless and status in (204, 304):
            length = None
            self._head = format_head(status, phrase, headers, length=0)
            self._head = self._head.replace(b"Content-Length: 0\r\n", b"")
            return
        self._head = format_head(status, phrase, headers, length=length)

    def send(self, part: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        CallerGoneError
        """
        if not part:
            return
        if self._chunked:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        elif self._answer_left is not None:
            self._answer_left -= len(part)
        self._write(part)

    def finish(self) -> None:
        """End the answer cleanly."""
        self._ended = True
        self._write(b"0\r\n\r\n" if self._chunked else b"")

    def reply(self, status: int, headers: Sequence[Header], body: bytes) -> None:
        """Send a whole answer."""
        self.begin(status, headers, length=len(body))
        if self.method != "HEAD":
            self.send(body)
        self.finish()

    def _write(self, part: bytes) -> None:
        if self._head is not None:
            part, self._head = self._head + part, None
        if not part:
            return
        try:
            self._sock.sendall(part)
        except OSError as error:
            self.cut()
            msg = f"the caller stopped reading: {error}"
            raise CallerGoneError(msg) from None

    def cut(self) -> None:
        """Have the connection closed without a clean end to the answer."""
        self._ended = False

    @property
    def closing(self) -> bool:
        """Whether the connection will be closed after this answer."""
        stated = (self.header("Connection") or "").lower()
        return self._server.closing or "close" in stated or not self._body_done

    @property
    def refused_early(self) -> bool:
        """Whether a whole answer went out before the request was read."""
        return self._ended and not self._body_done

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._ended and self._body_done and not self.closing and not self._answer_left

    def fileno(self) -> int | None:
        """Return the caller's descriptor; None if it has sent more already."""
        return None if self._conn.rfile.has_data() else self._sock.fileno()

    def gone(self) -> bool:
        """Return whether the caller has closed its connection."""
        if self._conn.rfile.has_data():
            return False
        return peer_closed(self._sock)


def peer_closed(sock: socket.socket) -> bool:
    """Return whether the other end has closed, without reading anything."""
    poller = select.poll()
    try:
        poller.register(sock, select.POLLIN)
        # A socket with a timeout waits in recv, whatever its flags say, so look first.
        return bool(poller.poll(0)) and sock.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True
