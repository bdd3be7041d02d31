"""An HTTP/1.1 server on cheroot: one thread for each connection.

cheroot reads request lines and hands out connections.  This module adds what
a load balancer needs: strict heads (no request smuggling), a time limit on
slow heads, framing checked to the last byte, and answers that go out in as
few writes as may be.
"""

from __future__ import annotations

import contextlib
import re
import select
import socket
import threading
import time
from typing import TYPE_CHECKING, Protocol

from cheroot import server as cheroot_server

from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.reader import SocketReader

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from dunlinnotch.types import Seconds

#: Largest request line and head together, in bytes.
HEAD_BYTES = 32 * 1024
HEADERS_MAX = 100
CHUNK = 64 * 1024
#: How often slow heads are looked for, in seconds.
_JANITOR_S = 0.25
#: How long a thread waits on an idle connection before it looks around, in seconds.
_IDLE_LOOK_S = 1.0
#: How long one write may wait for a caller that does not read, in seconds.
_WRITE_S = 30.0
#: Unread bytes of a refused request taken in, so that the refusal is not lost.
_DRAIN_BYTES = 256 * 1024
_SWALLOW_S = 0.2
_CHUNK_LINE_MAX = 1024

_TOKEN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_URI = re.compile(rb"^[\x21-\x7e]+$")
_LENGTH = re.compile(rb"^[0-9]{1,15}$")
_CHUNK_SIZE = re.compile(rb"^([0-9A-Fa-f]{1,12})(?:[ \t]*;[^\r\n]*)?\r\n$")
_SINGLE = frozenset({b"content-length", b"transfer-encoding", b"host"})


class HeadError(ValueError):
    """A request head that must not be passed on."""


class StrictHeaderReader:
    """Read header lines, refusing any form that two parsers may read differently.

    Attributes
    ----------
    lines : list of Header
        All header lines as received.
    """

    def __init__(self) -> None:
        self.lines: list[Header] = []

    def __call__(self, rfile: _LineReader, hdict: dict[bytes, bytes]) -> dict[bytes, bytes]:
        """Fill ``hdict``; raise :class:`HeadError` on a bad line."""
        self.lines = []
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            name, value = _split_line(line)
            if name in hdict and name.lower() in _SINGLE:
                msg = f"header {name.decode()} is given twice"
                raise HeadError(msg)
            hdict[name] = value if name not in hdict else hdict[name] + b", " + value
            self.lines.append(Header(name.decode(), value.decode("latin-1")))
            if len(self.lines) > HEADERS_MAX:
                msg = f"more than {HEADERS_MAX} headers"
                raise HeadError(msg)
        _check_framing(hdict)
        return hdict


class _LineReader(Protocol):
    def readline(self) -> bytes: ...


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        msg = "a header line does not end with CRLF"
        raise HeadError(msg)
    name, colon, value = line[:-2].partition(b":")
    if not colon or not _TOKEN.match(name):
        msg = f"header name {name[:40]!r} is not a token followed by a colon"
        raise HeadError(msg)
    value = value.strip(b" \t")
    if _BAD_VALUE.search(value):
        msg = f"header {name.decode()} holds a control character"
        raise HeadError(msg)
    return name.title(), value


def _check_framing(hdict: dict[bytes, bytes]) -> None:
    length = hdict.get(b"Content-Length")
    coding = hdict.get(b"Transfer-Encoding")
    if length is not None and coding is not None:
        msg = "both Content-Length and Transfer-Encoding are given"
        raise HeadError(msg)
    if length is not None and not _LENGTH.match(length):
        msg = f"Content-Length {length[:40]!r} is not a number"
        raise HeadError(msg)
    if coding is not None and coding.lower() != b"chunked":
        msg = f"Transfer-Encoding {coding[:40]!r} is not 'chunked'"
        raise HeadError(msg)


class BadHead(Protocol):
    """Turns a head that can't be used into an answer."""

    def __call__(self, reason: Reason, detail: str) -> tuple[int, Sequence[Header], bytes]:
        """Return status, headers and body."""


class Handler(Protocol):
    """Serves one exchange."""

    def __call__(self, exchange: Exchange) -> None:
        """Answer the request, or leave it unanswered to cut the connection."""


class _Request(cheroot_server.HTTPRequest):
    """A request whose head is read strictly and whose refusals carry a code."""

    def __init__(self, server: HttpServer, conn: _Connection) -> None:
        super().__init__(server, conn)
        self.header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read the head within the time limit."""
        self.conn.limit = time.monotonic() + self.server.head_s
        try:
            super().parse_request()
        finally:
            self.conn.limit = None

    def simple_response(self, status: object, msg: object = "") -> None:
        """Refuse a head."""
        code = int(str(status).split(" ", 1)[0])
        reason = Reason.HEAD_INVALID
        if self.conn.timed_out:
            reason = Reason.HEAD_TIMEOUT
        elif code in (413, 414):
            reason = Reason.HEAD_TOO_LARGE
        self.close_connection = True
        self.conn.refuse(reason, str(msg))


class _Connection(cheroot_server.HTTPConnection):
    """A caller's connection, with the time limit in force on its reads."""

    RequestHandlerClass = _Request

    def __init__(self, server: HttpServer, sock: socket.socket, *more: object) -> None:
        super().__init__(server, sock, *more)
        self.rfile = SocketReader(sock)

    limit: Seconds | None = None
    timed_out = False
    answered = False

    def refuse(self, reason: Reason, detail: str) -> None:
        """Answer a head that can't be used, then let the connection be closed."""
        self.answered = True
        status, headers, body = self.server.bad_head(reason, detail)
        head = format_head(status, "", [*headers, Header("Connection", "close")], length=len(body))
        try:
            self.socket.sendall(head + body)
        except OSError:
            return
        self.swallow()

    def swallow(self) -> None:
        """Read what a refused caller still sends, a bounded amount, so it gets the refusal."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            _swallow(self.socket)


def _swallow(sock: socket.socket) -> None:
    sock.settimeout(_SWALLOW_S)
    left = _DRAIN_BYTES
    while left > 0:
        data = sock.recv(CHUNK)
        if not data:
            return
        left -= len(data)


def format_head(
    status: int, phrase: str, headers: Sequence[Header], *, length: int | None
) -> bytes:
    """Return an answer's head as bytes; without a length the body is chunked."""
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    lines.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


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

    def __init__(self, request: _Request) -> None:
        self._request = request
        self._conn: _Connection = request.conn
        self._server: HttpServer = request.server
        self._sock: socket.socket = request.conn.socket
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


class _Gateway(cheroot_server.Gateway):
    """Hands an accepted head to the server's handler."""

    def respond(self) -> None:
        """Serve the request."""
        request: _Request = self.req
        request.sent_headers = True
        if request.response_protocol != "HTTP/1.1" or not _URI.match(request.uri):
            request.simple_response("400", "expected HTTP/1.1 and a path in visible ASCII")
            return
        exchange = Exchange(request)
        try:
            request.server.handler(exchange)
        except CallerGoneError:
            exchange.cut()
        request.close_connection = not exchange.reusable
        if exchange.refused_early:
            request.conn.swallow()
        request.conn.limit = None


class HttpServer(cheroot_server.HTTPServer):
    """Serve exchanges, one thread for each connection.

    Parameters
    ----------
    bind : (str, int)
        Address; port 0 takes one from the kernel.
    handler : Handler
    bad_head : BadHead
    connections : int, default 1000
        Callers' connections served at once.
    head_s : float, default 5.0
        Seconds in which a head must be whole.
    idle_s : float, default 60.0
        Seconds after which an idle connection is closed.
    """

    ConnectionClass = _Connection
    request_queue_size = 512
    max_request_header_size = HEAD_BYTES
    keep_alive_conn_limit = 1_000_000

    def __init__(
        self,
        bind: tuple[str, int],
        handler: Handler,
        bad_head: BadHead,
        *,
        connections: int = 1000,
        head_s: Seconds = 5.0,
        idle_s: Seconds = 60.0,
    ) -> None:
        super().__init__(bind, _Gateway, minthreads=1, maxthreads=1)
        self.handler = handler
        self.bad_head = bad_head
        self.head_s = head_s
        self.closing = False
        self.timeout = _WRITE_S  # type: ignore[assignment]
        self._idle_s = idle_s
        self._connections_max = connections
        self._live: set[_Connection] = set()
        self._live_lock = threading.Lock()
        self._closed = threading.Event()

    def start_in_background(self) -> None:
        """Bind, then serve on threads of this process."""
        self.prepare()
        threading.Thread(target=self.serve, name="http-accept", daemon=True).start()
        threading.Thread(target=self._break_off_slow, name="http-janitor", daemon=True).start()

    @property
    def port(self) -> int:
        """The port bound."""
        return int(self.bind_addr[1])

    @property
    def open_connections(self) -> int:
        """Connections open now."""
        return len(self._live)

    def close(self) -> None:
        """Stop accepting and close idle connections."""
        self.closing = True
        self._closed.set()
        self.stop()

    def process_conn(self, conn: _Connection) -> None:
        """Serve a new connection on a thread of its own."""
        with self._live_lock:
            full = len(self._live) >= self._connections_max
            if not full:
                self._live.add(conn)
        if full:
            conn.refuse(Reason.TOO_MANY_CONNECTIONS, f"at most {self._connections_max} connections")
            conn.close()
            return
        threading.Thread(target=self._serve, args=(conn,), name="http-conn", daemon=True).start()

    def _serve(self, conn: _Connection) -> None:
        try:
            while self._wait_readable(conn):
                keep = bool(conn.communicate())  # type: ignore[no-untyped-call]
                if conn.timed_out and not conn.answered:
                    conn.refuse(Reason.HEAD_TIMEOUT, f"no whole head within {self.head_s} s")
                if not keep:
                    return
        finally:
            with self._live_lock:
                self._live.discard(conn)
            conn.close()

    def _wait_readable(self, conn: _Connection) -> bool:
        if conn.rfile.has_data():
            return True
        poller = select.poll()
        poller.register(conn.socket, select.POLLIN)
        until = time.monotonic() + self._idle_s
        while time.monotonic() < until:
            if poller.poll(_IDLE_LOOK_S * 1000):
                return not peer_closed(conn.socket)
            if self.closing:
                return False
        return False

    def _break_off_slow(self) -> None:
        while not self._closed.wait(_JANITOR_S):
            now = time.monotonic()
            with self._live_lock:
                late = [c for c in self._live if c.limit is not None and now > c.limit]
            for conn in late:
                conn.timed_out = True
                with contextlib.suppress(OSError):
                    conn.socket.shutdown(socket.SHUT_RD)
