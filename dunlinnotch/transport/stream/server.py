"""HTTP/1.1 server on the event loop, with one task for each connection.

The parser puts requests into a queue of their connection; the task of the connection takes
them from it one after the other and runs the handler.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING

import httptools

from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.stream.common import answer_head, find_header
from dunlinnotch.transport.stream.link import BodyQueue, StreamLink

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from dunlinnotch.types import Address, Seconds

    Handler = Callable[["Exchange"], Awaitable[None]]

#: Maximum number of requests of one connection that wait for their turn; beyond it, the
#: connection is not read.
_MAX_PIPELINED_REQUESTS = 4
#: Time to wait for the remaining body of a request that has been answered, in seconds.  The
#: connection can be used again only after its end.
_DISCARD_TIMEOUT_S = 1.0
_BACKLOG = 1024
#: Value of ``SO_LINGER`` (on, 0 s) with which closing a socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerLimits:
    """Limits on the size and the duration of requests.

    The limits may be changed while the server runs.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
        Maximum size of the head and of the body of a request, in bytes.
    max_headers : int
        Maximum number of headers of a request.
    head_timeout_s : float
        Seconds within which the head of a request must be complete once it has begun.
    idle_timeout_s : float
        Seconds for which a connection may wait for its next request.
    """

    __slots__ = (
        "max_body_bytes",
        "max_head_bytes",
        "max_headers",
        "head_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self,
        *,
        max_head_bytes: int = 16384,
        max_body_bytes: int = 64 * 1024 * 1024,
        max_headers: int = 100,
        head_timeout_s: Seconds = 5.0,
        idle_timeout_s: Seconds = 60.0,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.max_headers = max_headers
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Exchange:
    """One request received on a connection, and the answer to it.

    Parameters
    ----------
    link : ServerLink
        The connection.
    arrived : float
        Time at which the head was complete, in monotonic seconds.

    Attributes
    ----------
    method, path : str
        As received; ``path`` includes the query.
    headers : list of Header
        In the order received.
    length : int or None
        Length of the body in bytes; ``None`` if the body is chunked.
    keep_alive : bool
        Whether the connection stays open after the answer.
    error_status : int
        HTTP status with which the request is rejected; 0 if it is not.
    """

    def __init__(self, link: ServerLink, arrived: Seconds) -> None:
        self._link = link
        self.method = ""
        self.path = ""
        self.headers: list[Header] = []
        self.length: int | None = 0
        self.arrived = arrived
        self.keep_alive = True
        self.error_status: int = 0
        self._body = BodyQueue(link)
        self._received_bytes = 0
        self._begun = False
        self._finished = False
        self._chunked = False

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None; ``name`` is in lower case."""
        return find_header(self.headers, name)

    # Body of the request

    def feed(self, part: bytes) -> None:
        """Add a received part of the body; reject the request if the body is too long."""
        self._received_bytes += len(part)
        if self._received_bytes > self._link.server.limits.max_body_bytes:
            self.reject(413)
        self._body.put(part)

    def feed_end(self) -> None:
        """Mark the body as complete."""
        self._body.end()

    def reject(self, status: int) -> None:
        """Reject the request with a status; of several, the first is sent."""
        self.error_status = self.error_status or status
        self._body.fail(f"request rejected with status {self.error_status}")

    @property
    def body_done(self) -> bool:
        """Whether the complete body has been received."""
        return self._body.done

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body; send ``100 Continue`` first if the caller expects it.

        Raises
        ------
        BodyCutError
            If the body is longer than allowed or its framing is invalid.
        """
        if not self.body_done and (self.header("expect") or "").lower() == "100-continue":
            self._link.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        async for part in self._body.parts():
            yield part

    async def discard_body(self) -> bool:
        """Read and drop the rest of the body; return whether its end came in time."""
        if self.body_done:
            self._body.drop()
            return not self.error_status
        try:
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                # Not by `body`, which would send 100 Continue after the final answer.
                async for _ in self._body.parts():
                    pass
        except (TimeoutError, BodyCutError):
            return False
        return True

    # Answer

    @property
    def begun(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._begun

    @property
    def finished(self) -> bool:
        """Whether the complete answer has been sent."""
        return self._finished

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Send the head of the answer.

        Parameters
        ----------
        status : int
        headers : sequence of Header
            Without those of framing and of the connection, which are added.
        length : int or None
            Length of the body in bytes; ``None`` to send the body in chunks.
        phrase : str, optional
            Reason phrase; by default the usual one of the status.
        """
        bodiless = self.method == "HEAD" or status in (204, 304)
        self._chunked = length is None and not bodiless
        self._begun = True
        self.keep_alive = self.keep_alive and not self._link.server.keep_alive_disabled
        close = self._link.closing or not self.keep_alive
        declared_length = None if status in (204, 304) else length
        self._link.write(answer_head(status, phrase, headers, length=declared_length, close=close))

    async def send(self, part: bytes) -> None:
        """Send a part of the body; wait while the caller does not read.

        Raises
        ------
        CallerGoneError
            If the caller has closed the connection.
        """
        if self._link.closed:
            msg = "the caller has closed its connection"
            raise CallerGoneError(msg)
        if part:
            self._link.write(b"%x\r\n%b\r\n" % (len(part), part) if self._chunked else part)
            await self._link.flow_control.wait()

    def finish(self) -> None:
        """End the body of the answer."""
        if self._chunked:
            self._link.write(b"0\r\n\r\n")
        self._finished = True

    def reply(self, status: int, headers: Sequence[Header], body: bytes, phrase: str = "") -> None:
        """Send a complete answer."""
        self.begin(status, headers, length=len(body), phrase=phrase)
        if body and self.method != "HEAD":
            self._link.write(body)
        self._finished = True

    @property
    def remote_ip(self) -> str:
        """IP address of the caller; empty if it is unknown."""
        return self._link.remote_ip

    @property
    def remote_address(self) -> str:
        """Address of the caller's end of the connection; empty if it is unknown."""
        return self._link.remote_address

    def write_raw(self, data: bytes) -> None:
        """Send bytes without framing, for stand-ins that send invalid answers."""
        self._begun = True
        self._link.write(data)

    def mark_finished(self) -> None:
        """Mark the answer as complete, after :meth:`write_raw`."""
        self._finished = True

    def abort(self) -> None:
        """Reset the connection at once."""
        self._link.abort()

    def close_after_answer(self) -> None:
        """Close the connection after this answer."""
        self.keep_alive = False


class ServerLink(StreamLink):
    """One connection of a caller.

    Parameters
    ----------
    server : StreamServer
    """

    def __init__(self, server: StreamServer) -> None:
        super().__init__()
        self.server = server
        self._parser = httptools.HttpRequestParser(self)
        self._receiving: Exchange | None = None
        self._pending: deque[Exchange] = deque()
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._head_bytes = 0
        self._head_started_at: Seconds | None = None
        self._input_failed = False
        self._parsing = Exchange(self, 0.0)

    # Called by the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that serves the connection."""
        super().connection_made(transport)
        self.server.links.add(self)
        self._task = self.server.loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the handler, because the caller has gone."""
        self.closed = True
        self.server.links.discard(self)
        self.flow_control.resume()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close the connection: a caller that closes its side is taken to have gone."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._input_failed:
            return
        if self._receiving is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self._fail_input(400)
        if self._receiving is None and self._head_bytes > self.server.limits.max_head_bytes:
            self._fail_input(431)
        if len(self._pending) > _MAX_PIPELINED_REQUESTS:
            self.pause_reading()

    def _fail_input(self, status: int) -> None:
        """Stop parsing, reject the current request and close the connection after that."""
        self._input_failed = True
        exchange = self._receiving
        if exchange is None:
            exchange = Exchange(self, self.server.loop.time())
            self._pending.append(exchange)
        exchange.reject(status)
        exchange.keep_alive = False
        exchange.feed_end()
        self._receiving = None
        self._changed.set()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Start to parse a request."""
        self._parsing = Exchange(self, 0.0)
        self._head_started_at = self.server.loop.time()
        # The task must switch from the idle timeout to that of the head.
        self._changed.set()

    def on_url(self, url: bytes) -> None:
        """Add a part of the path."""
        self._parsing.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; reject more than one ``Host`` or too many headers."""
        header = Header(name.decode("latin-1"), value.decode("latin-1"))
        if len(self._parsing.headers) >= self.server.limits.max_headers:
            self._parsing.reject(431)
            return
        if header.name.lower() == "host" and self._parsing.header("host") is not None:
            self._parsing.reject(400)
        self._parsing.headers.append(header)

    def on_headers_complete(self) -> None:
        """Check the head and queue the request for the task of the connection."""
        exchange = self._parsing
        exchange.method = self._parser.get_method().decode("latin-1")
        exchange.keep_alive = bool(self._parser.should_keep_alive())
        exchange.arrived = self.server.loop.time()
        coding = exchange.header("transfer-encoding")
        if coding is not None:
            exchange.length = None
            if coding.strip().lower() != "chunked":
                exchange.reject(400)
        else:
            exchange.length = int(exchange.header("content-length") or 0)
        if (exchange.length or 0) > self.server.limits.max_body_bytes:
            exchange.reject(413)
        self._receiving = exchange
        self._head_bytes = 0
        self._head_started_at = None
        self._pending.append(exchange)
        self._changed.set()

    def on_body(self, body: bytes) -> None:
        """Add a part of the body to its request."""
        if self._receiving is not None:
            self._receiving.feed(body)

    def on_message_complete(self) -> None:
        """Mark the request as completely received."""
        if self._receiving is not None:
            self._receiving.feed_end()
        self._receiving = None

    # Called by exchanges and the server

    @property
    def closing(self) -> bool:
        """Whether the connection will be closed after the current answer."""
        return self.server.closing or self._input_failed

    @property
    def remote_ip(self) -> str:
        """IP address of the caller; empty if it is unknown."""
        return self.remote_address.rpartition(":")[0]

    @property
    def remote_address(self) -> str:
        """Address of the caller's end of the connection; empty if it is unknown."""
        peer = None if self._transport is None else self._transport.get_extra_info("peername")
        return "" if peer is None else f"{peer[0]}:{peer[1]}"

    def abort(self) -> None:
        """Reset the connection instead of closing it cleanly."""
        if self._transport is None or self.closed:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def close(self) -> None:
        """Close the connection after the written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    # Task of the connection

    async def _serve(self) -> None:
        try:
            while await self._wait_for_request():
                exchange = self._pending.popleft()
                self.resume_reading()
                await self._answer(exchange)
                if not exchange.keep_alive or self.closing or not exchange.finished:
                    break
        except asyncio.CancelledError:
            if not self.closed:
                raise
        finally:
            self.close()

    async def _answer(self, exchange: Exchange) -> None:
        if exchange.error_status:
            exchange.close_after_answer()
            exchange.reply(exchange.error_status, (), b"")
        else:
            await self.server.handler(exchange)
        if not await exchange.discard_body():
            exchange.close_after_answer()

    async def _wait_for_request(self) -> bool:
        """Wait for the next request; return False if the connection should be closed."""
        limits = self.server.limits
        idle_since = self.server.loop.time()
        while not self._pending:
            if self.server.closing or self._input_failed:
                return False
            now = self.server.loop.time()
            if self._head_started_at is not None:
                deadline = self._head_started_at + limits.head_timeout_s
            else:
                deadline = idle_since + limits.idle_timeout_s
            if now >= deadline:
                if self._head_started_at is not None:
                    self._fail_input(408)
                    continue
                return False
            self._changed.clear()
            try:
                async with asyncio.timeout(deadline - now):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return True

    def notify_closing(self) -> None:
        """Wake the task, so that an idle connection is closed when the server closes."""
        self._changed.set()


class StreamServer:
    """HTTP server that listens on one address.

    Parameters
    ----------
    handler : callable
        Serves one :class:`Exchange`; it is cancelled when the caller closes the connection.
    limits : ServerLimits, optional

    Attributes
    ----------
    links : set of ServerLink
        Open connections.
    closing : bool
        Whether idle connections are closed, and the others after their current answer.
    keep_alive_disabled : bool
        Whether answers that begin from now on announce that the connection closes.
    """

    def __init__(self, handler: Handler, *, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.loop = asyncio.get_running_loop()
        self.links: set[ServerLink] = set()
        self.closing = False
        self.keep_alive_disabled = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Start to listen.

        Parameters
        ----------
        address : str
            Host and port; the system chooses a free port if it is 0.

        Returns
        -------
        str
            The address with the port in use.
        """
        host, _, port = address.rpartition(":")
        self._server = await self.loop.create_server(
            lambda: ServerLink(self), host, int(port), backlog=_BACKLOG, reuse_address=True
        )
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def stop_listening(self) -> None:
        """Accept no new connections; open ones are still served."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close idle connections now, and the others after their current answer."""
        self.closing = True
        for link in list(self.links):
            link.notify_closing()

    async def close(self) -> None:
        """Stop listening and close all connections, also those with a request in progress."""
        self.stop_listening()
        self.close_idle()
        for link in list(self.links):
            link.close()
        await asyncio.sleep(0)
