"""An HTTP/1.1 server on cheroot: one thread for each connection.

cheroot reads request lines and hands out connections.  This module adds what
a load balancer needs: strict heads (no request smuggling), a time limit on
slow heads, framing checked to the last byte, and answers that go out in as
few writes as may be.
"""

from __future__ import annotations

import contextlib
import logging
import re
import select
import socket
import threading
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from cheroot import server as cheroot_server

from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.exchange import CHUNK, Exchange, peer_closed
from dunlinnotch.transport.heads import StrictHeaderReader, format_head
from dunlinnotch.transport.reader import SocketReader

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.types import Seconds

#: Largest request line and head together, in bytes.
MAX_HEAD_BYTES = 32 * 1024
#: How often slow heads are looked for, in seconds.
_JANITOR_S = 0.5
#: How long a thread waits on an idle connection before it looks around, in seconds.
_IDLE_LOOK_S = 1.0
#: How long one write may wait for a caller that does not read, in seconds.
_WRITE_S = 30.0
#: Unread bytes of a refused request taken in, so that the refusal is not lost.
_DRAIN_BYTES = 256 * 1024
_SWALLOW_S = 0.2

_log = logging.getLogger(__name__)
_URI = re.compile(rb"^[\x21-\x7e]+$")


@dataclass(frozen=True, slots=True)
class HeadRefusal:
    """The answer to a head that can't be used.

    Parameters
    ----------
    status : int
    headers : sequence of Header
    body : bytes
    """

    status: int
    headers: Sequence[Header]
    body: bytes


class HeadRefuser(Protocol):
    """Turns a head that can't be used into an answer."""

    def __call__(self, reason: Reason, detail: str) -> HeadRefusal:
        """Return the answer."""


class Handler(Protocol):
    """Serves one exchange."""

    def __call__(self, exchange: Exchange) -> None:
        """Answer the request, or leave it unanswered to cut the connection."""


class ServerRequest(cheroot_server.HTTPRequest):
    """A request whose head is read strictly and whose refusals carry a code."""

    def __init__(self, server: HttpServer, conn: ServerConnection) -> None:
        super().__init__(server, conn)
        self.header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read the head within the time limit."""
        self.conn.limit = time.monotonic() + self.server.head_timeout_s
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


class ServerConnection(cheroot_server.HTTPConnection):
    """A caller's connection, with the time limit in force on its reads."""

    RequestHandlerClass = ServerRequest

    def __init__(self, server: HttpServer, sock: socket.socket, *more: object) -> None:
        super().__init__(server, sock, *more)
        self.rfile = SocketReader(sock)

    limit: Seconds | None = None
    timed_out = False
    answered = False

    def refuse(self, reason: Reason, detail: str) -> None:
        """Answer a head that can't be used, then let the connection be closed."""
        self.answered = True
        refusal: HeadRefusal = self.server.refuse_head(reason, detail)
        headers = [*refusal.headers, Header("Connection", "close")]
        head = format_head(refusal.status, "", headers, length=len(refusal.body))
        try:
            self.socket.sendall(head + refusal.body)
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


class _Gateway(cheroot_server.Gateway):
    """Hands an accepted head to the server's handler."""

    def respond(self) -> None:
        """Serve the request."""
        request: ServerRequest = self.req
        request.sent_headers = True
        if request.response_protocol != "HTTP/1.1" or not _URI.match(request.uri):
            request.simple_response("400", "expected HTTP/1.1 and a path in visible ASCII")
            return
        exchange = Exchange(request)
        try:
            request.server.handler(exchange)
        except CallerGoneError:
            exchange.cut()
        except BodyCutError as error:
            exchange.cut()
            request.conn.refuse(Reason.BODY_BROKEN, str(error))
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
    refuse_head : HeadRefuser
    max_connections : int, default 1000
        Callers' connections served at once.
    head_timeout_s : float, default 5.0
        Seconds in which a head must be whole.
    idle_timeout_s : float, default 60.0
        Seconds after which an idle connection is closed.
    """

    ConnectionClass = ServerConnection
    request_queue_size = 512
    max_request_header_size = MAX_HEAD_BYTES
    keep_alive_conn_limit = 1_000_000

    def __init__(
        self,
        bind: tuple[str, int],
        handler: Handler,
        refuse_head: HeadRefuser,
        *,
        max_connections: int = 1000,
        head_timeout_s: Seconds = 5.0,
        idle_timeout_s: Seconds = 60.0,
    ) -> None:
        super().__init__(bind, _Gateway, minthreads=1, maxthreads=1)
        self.handler = handler
        self.refuse_head = refuse_head
        self.head_timeout_s = head_timeout_s
        self.closing = False
        self.timeout = _WRITE_S  # type: ignore[assignment]
        self._idle_timeout_s = idle_timeout_s
        self._max_connections = max_connections
        self._live: set[ServerConnection] = set()
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

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Log what cheroot has to say as a JSON line like any other."""
        _log.log(level, msg, exc_info=traceback)

    def process_conn(self, conn: ServerConnection) -> None:
        """Serve a new connection on a thread of its own."""
        with self._live_lock:
            full = len(self._live) >= self._max_connections
            if not full:
                self._live.add(conn)
        if full:
            conn.refuse(Reason.TOO_MANY_CONNECTIONS, f"at most {self._max_connections} connections")
            conn.close()
            return
        threading.Thread(target=self._serve, args=(conn,), name="http-conn", daemon=True).start()

    def _serve(self, conn: ServerConnection) -> None:
        try:
            while self._wait_readable(conn):
                keep = bool(conn.communicate())  # type: ignore[no-untyped-call]
                if conn.timed_out and not conn.answered:
                    conn.refuse(
                        Reason.HEAD_TIMEOUT, f"no whole head within {self.head_timeout_s} s"
                    )
                if not keep:
                    return
        finally:
            with self._live_lock:
                self._live.discard(conn)
            conn.close()

    def _wait_readable(self, conn: ServerConnection) -> bool:
        if conn.rfile.has_data():
            return True
        poller = select.poll()
        poller.register(conn.socket, select.POLLIN)
        until = time.monotonic() + self._idle_timeout_s
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
