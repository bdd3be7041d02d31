"""An HTTP/1.1 server on cheroot: one thread for each connection.

cheroot accepts connections and parses request lines.  This module adds strict
parsing of heads (against request smuggling), a timeout for slow heads, and
verification of the body framing; it sends the head of an answer and the first
part of its body in one write.
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
from dunlinnotch.transport.exchange import CHUNK_BYTES, Exchange, peer_closed
from dunlinnotch.transport.heads import StrictHeaderReader, format_head
from dunlinnotch.transport.reader import SocketReader

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.types import Seconds

#: Maximum size of the request line and the headers together, in bytes.
MAX_HEAD_BYTES = 32 * 1024
#: Interval at which read deadlines are enforced, in seconds.
_DEADLINE_CHECK_INTERVAL_S = 0.5
#: Interval at which the thread of an idle connection checks for shutdown, in seconds.
_IDLE_POLL_INTERVAL_S = 1.0
#: Timeout for one write to a caller that does not read, in seconds.
_WRITE_TIMEOUT_S = 30.0
#: Limits for draining a refused request: closing a socket with unread input resets the
#: connection, and the caller may lose the refusal.
_MAX_DRAIN_BYTES = 256 * 1024
_DRAIN_TIMEOUT_S = 0.2

_log = logging.getLogger(__name__)
_URI = re.compile(rb"^[\x21-\x7e]+$")


@dataclass(frozen=True, slots=True)
class HeadRefusal:
    """The answer to a request head that cannot be served.

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
    """Builds the answer to a request head that cannot be served."""

    def __call__(self, reason: Reason, detail: str) -> HeadRefusal:
        """Return the answer.

        Parameters
        ----------
        reason : Reason
        detail : str
            Description of the fault for the caller.
        """


class Handler(Protocol):
    """Serves HTTP exchanges."""

    def __call__(self, exchange: Exchange) -> None:
        """Answer the request; if it is left unanswered, the connection is closed."""


class ServerRequest(cheroot_server.HTTPRequest):
    """A request whose head is parsed strictly and refused with a reason code."""

    def __init__(self, server: HttpServer, conn: ServerConnection) -> None:
        super().__init__(server, conn)
        self.header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read the head within the head timeout."""
        self.conn.read_deadline = time.monotonic() + self.server.head_timeout_s
        try:
            super().parse_request()
        finally:
            self.conn.read_deadline = None

    def simple_response(self, status: object, msg: object = "") -> None:
        """Refuse the head with the reason code for ``status``; called by cheroot."""
        code = int(str(status).split(" ", 1)[0])
        reason = Reason.HEAD_INVALID
        if self.conn.timed_out:
            reason = Reason.HEAD_TIMEOUT
        elif code in (413, 414):
            reason = Reason.HEAD_TOO_LARGE
        self.close_connection = True
        self.conn.refuse(reason, str(msg))


class ServerConnection(cheroot_server.HTTPConnection):
    """A caller's connection, with a deadline for reads from it.

    Attributes
    ----------
    read_deadline : float or None
        Monotonic time after which the server shuts down reading; ``None`` for no limit.
    timed_out : bool
        Whether the read deadline has passed.
    refused : bool
        Whether the connection has been refused.
    """

    RequestHandlerClass = ServerRequest

    def __init__(self, server: HttpServer, sock: socket.socket, *args: object) -> None:
        super().__init__(server, sock, *args)
        self.rfile = SocketReader(sock)

    read_deadline: Seconds | None = None
    timed_out = False
    refused = False

    def refuse(self, reason: Reason, detail: str) -> None:
        """Answer a request that cannot be served; the connection must be closed afterwards."""
        self.refused = True
        refusal: HeadRefusal = self.server.refuse_head(reason, detail)
        headers = [*refusal.headers, Header("Connection", "close")]
        head = format_head(refusal.status, "", headers, length=len(refusal.body))
        try:
            self.socket.sendall(head + refusal.body)
        except OSError:
            return
        self.drain_input()

    def drain_input(self) -> None:
        """Stop sending, then discard a bounded amount of input so that the answer is not lost."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
            _drain_socket(self.socket)


def _drain_socket(sock: socket.socket) -> None:
    sock.settimeout(_DRAIN_TIMEOUT_S)
    remaining_bytes = _MAX_DRAIN_BYTES
    while remaining_bytes > 0:
        data = sock.recv(CHUNK_BYTES)
        if not data:
            return
        remaining_bytes -= len(data)


class _Gateway(cheroot_server.Gateway):
    """Passes requests with a valid head to the server's handler."""

    def respond(self) -> None:
        """Serve the request."""
        request: ServerRequest = self.req
        # The exchange sends the head; this stops cheroot from sending one of its own.
        request.sent_headers = True
        if request.response_protocol != "HTTP/1.1" or not _URI.match(request.uri):
            request.simple_response(
                "400", "request line invalid: expected HTTP/1.1 and a path in visible ASCII"
            )
            return
        exchange = Exchange(request)
        try:
            request.server.handler(exchange)
        except CallerGoneError:
            exchange.abort()
        except BodyCutError as error:
            exchange.abort()
            request.conn.refuse(Reason.BODY_BROKEN, str(error))
        request.close_connection = not exchange.reusable
        if exchange.answered_early:
            request.conn.drain_input()
        request.conn.read_deadline = None


class HttpServer(cheroot_server.HTTPServer):
    """Serve exchanges, one thread for each connection.

    Parameters
    ----------
    bind : (str, int)
        Host and port; port 0 lets the kernel choose a free one.
    handler : Handler
    refuse_head : HeadRefuser
    max_connections : int, default 1000
        Maximum number of connections served at the same time; more are refused.
    head_timeout_s : float, default 5.0
        Seconds within which a complete head must be received.
    idle_timeout_s : float, default 60.0
        Seconds after which an idle connection is closed.
    """

    ConnectionClass = ServerConnection
    request_queue_size = 512
    max_request_header_size = MAX_HEAD_BYTES
    # In effect no limit: ``max_connections`` applies instead.
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
        # The worker threads of cheroot are not used, see process_conn.
        super().__init__(bind, _Gateway, minthreads=1, maxthreads=1)
        self.handler = handler
        self.refuse_head = refuse_head
        self.head_timeout_s = head_timeout_s
        self.closing = False
        self.timeout = _WRITE_TIMEOUT_S  # type: ignore[assignment]
        self._idle_timeout_s = idle_timeout_s
        self._max_connections = max_connections
        self._open: set[ServerConnection] = set()
        self._connections_lock = threading.Lock()
        self._closed = threading.Event()

    def start_in_background(self) -> None:
        """Bind the address and serve on background threads."""
        self.prepare()
        threading.Thread(target=self.serve, name="http-accept", daemon=True).start()
        threading.Thread(
            target=self._enforce_read_deadlines, name="http-janitor", daemon=True
        ).start()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self.bind_addr[1])

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def close(self) -> None:
        """Stop accepting and close idle connections."""
        self.closing = True
        self._closed.set()
        self.stop()

    def error_log(self, msg: str = "", level: int = logging.INFO, traceback: bool = False) -> None:
        """Write cheroot's messages to the log of this module."""
        _log.log(level, msg, exc_info=traceback)

    def process_conn(self, conn: ServerConnection) -> None:
        """Serve a new connection on a thread of its own."""
        with self._connections_lock:
            at_limit = len(self._open) >= self._max_connections
            if not at_limit:
                self._open.add(conn)
        if at_limit:
            conn.refuse(
                Reason.TOO_MANY_CONNECTIONS, f"all {self._max_connections} connections are in use"
            )
            conn.close()
            return
        threading.Thread(target=self._serve, args=(conn,), name="http-conn", daemon=True).start()

    def _serve(self, conn: ServerConnection) -> None:
        try:
            while self._wait_readable(conn):
                keep_alive = bool(conn.communicate())  # type: ignore[no-untyped-call]
                if conn.timed_out and not conn.refused:
                    conn.refuse(
                        Reason.HEAD_TIMEOUT,
                        f"no complete request head within {self.head_timeout_s} s",
                    )
                if not keep_alive:
                    return
        finally:
            with self._connections_lock:
                self._open.discard(conn)
            conn.close()

    def _wait_readable(self, conn: ServerConnection) -> bool:
        if conn.rfile.has_data():
            return True
        poller = select.poll()
        poller.register(conn.socket, select.POLLIN)
        idle_deadline = time.monotonic() + self._idle_timeout_s
        while time.monotonic() < idle_deadline:
            if poller.poll(_IDLE_POLL_INTERVAL_S * 1000):
                return not peer_closed(conn.socket)
            if self.closing:
                return False
        return False

    def _enforce_read_deadlines(self) -> None:
        while not self._closed.wait(_DEADLINE_CHECK_INTERVAL_S):
            now = time.monotonic()
            with self._connections_lock:
                overdue = [
                    c for c in self._open if c.read_deadline is not None and now > c.read_deadline
                ]
            for conn in overdue:
                conn.timed_out = True
                with contextlib.suppress(OSError):
                    conn.socket.shutdown(socket.SHUT_RD)
