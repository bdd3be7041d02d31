"""Serve HTTP/1.1: one task for each connection, written straight down."""

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

_MAX_HEADERS = 100
#: Requests that a connection may send ahead of their answers.
_MAX_PIPELINED_REQUESTS = 4
#: Time given to the rest of a body that nobody wants, in seconds.
_DISCARD_TIMEOUT_S = 1.0
_BACKLOG = 1024
#: Linger on, for no time: closing resets.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ServerLimits:
    """What callers may send, and for how long they may be silent.

    Parameters
    ----------
    max_head_bytes, max_body_bytes : int
    head_timeout_s, idle_timeout_s : float
        Seconds for a whole head, and between two requests.
    """

    __slots__ = ("max_body_bytes", "max_head_bytes", "head_timeout_s", "idle_timeout_s")

    def __init__(
        self,
        *,
        max_head_bytes: int = 16384,
        max_body_bytes: int = 64 * 1024 * 1024,
        head_timeout_s: Seconds = 5.0,
        idle_timeout_s: Seconds = 60.0,
    ) -> None:
        self.max_head_bytes = max_head_bytes
        self.max_body_bytes = max_body_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class Exchange:
    """One request of a connection and its answer.

    Attributes
    ----------
    method, path : str
        As received.
    headers : list of Header
    length : int or None
        Bytes in the body; ``None`` if it comes in chunks.
    arrived : float
        Monotonic seconds at the end of the head.
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
        """Return a header's first value; ``name`` in lower case."""
        return find_header(self.headers, name)

    # -- body of the request

    def feed(self, part: bytes) -> None:
        """Take in a part of the body."""
        self._received_bytes += len(part)
        if self._received_bytes > self._link.server.limits.max_body_bytes:
            self.reject(413)
        self._body.put(part)

    def feed_end(self) -> None:
        """Note the end of the body."""
        self._body.end()

    def reject(self, status: int) -> None:
        """Note that the request can't be taken; the first reason counts."""
        self.error_status = self.error_status or status
        self._body.fail(f"the body can't be taken (status {self.error_status})")

    @property
    def body_done(self) -> bool:
        """Whether the whole request has been received."""
        return self._body.done

    async def body(self) -> AsyncIterator[bytes]:
        """Yield the request's body.

        Raises
        ------
        BodyCutError
            If it is longer than allowed or breaks its framing.
        """
        if not self.body_done and (self.header("expect") or "").lower() == "100-continue":
            self._link.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        async for part in self._body.parts():
            yield part

    async def discard_body(self) -> bool:
        """Read what is left of the body; return whether its end came in time."""
        if self.body_done:
            self._body.drop()
            return not self.error_status
        try:
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                async for _ in self.body():
                    pass
        except (TimeoutError, BodyCutError):
            return False
        return True

    # -- the answer

    @property
    def begun(self) -> bool:
        """Whether the answer's head has gone out."""
        return self._begun

    @property
    def finished(self) -> bool:
        """Whether the whole answer has gone out."""
        return self._finished

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Send the answer's head."""
        bodiless = self.method == "HEAD" or status in (204, 304)
        self._chunked = length is None and not bodiless
        self._begun = True
        self.keep_alive = self.keep_alive and not self._link.server.keep_alive_disabled
        close = self._link.closing or not self.keep_alive
        shown = None if status in (204, 304) else length
        self._link.write(answer_head(status, phrase, headers, length=shown, close=close))

    async def send(self, part: bytes) -> None:
        """Send a part of the answer's body.

        Raises
        ------
        CallerGoneError
        """
        if self._link.closed:
            msg = "the caller has closed its connection"
            raise CallerGoneError(msg)
        if part:
            self._link.write(b"%x\r\n%b\r\n" % (len(part), part) if self._chunked else part)
            await self._link.flow_control.wait()

    def finish(self) -> None:
        """End the answer cleanly."""
        if self._chunked:
            self._link.write(b"0\r\n\r\n")
        self._finished = True

    def reply(self, status: int, headers: Sequence[Header], body: bytes, phrase: str = "") -> None:
        """Send a whole answer."""
        self.begin(status, headers, length=len(body), phrase=phrase)
        if body and self.method != "HEAD":
            self._link.write(body)
        self._finished = True

    @property
    def remote_ip(self) -> str:
        """The caller's IP number."""
        return self._link.remote_ip

    def write_raw(self, data: bytes) -> None:
        """Send bytes as they are; for stand-ins that answer badly."""
        self._begun = True
        self._link.write(data)

    def mark_finished(self) -> None:
        """Count what was sent raw as a whole answer."""
        self._finished = True

    def abort(self) -> None:
        """Reset the connection."""
        self._link.abort()

    def close_after_answer(self) -> None:
        """Have the connection closed once this answer is out."""
        self.keep_alive = False


class ServerLink(StreamLink):
    """One caller's connection."""

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

    # -- from the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        super().connection_made(transport)
        self.server.links.add(self)
        self._task = self.server.loop.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what runs for a caller that has gone."""
        self.closed = True
        self.server.links.discard(self)
        self.flow_control.resume()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close: a caller that ends its side has left."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
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
        """Note that the byte stream can't be read any further."""
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

    # -- from the parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._parsing = Exchange(self, 0.0)
        self._head_started_at = self.server.loop.time()
        # The connection's task waits for an idle time that no longer counts.
        self._changed.set()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request's target."""
        self._parsing.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        header = Header(name.decode("latin-1"), value.decode("latin-1"))
        if len(self._parsing.headers) >= _MAX_HEADERS:
            self._parsing.reject(431)
            return
        if header.name.lower() == "host" and self._parsing.header("host") is not None:
            self._parsing.reject(400)
        self._parsing.headers.append(header)

    def on_headers_complete(self) -> None:
        """Hand the request to the connection's task."""
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
        """Hand a part of the body on."""
        if self._receiving is not None:
            self._receiving.feed(body)

    def on_message_complete(self) -> None:
        """End the request."""
        if self._receiving is not None:
            self._receiving.feed_end()
        self._receiving = None

    # -- for exchanges

    @property
    def closing(self) -> bool:
        """Whether the connection is to be closed after the answer under way."""
        return self.server.closing or self._input_failed

    @property
    def remote_ip(self) -> str:
        """The caller's IP number."""
        peer = None if self._transport is None else self._transport.get_extra_info("peername")
        return "" if peer is None else str(peer[0])

    def abort(self) -> None:
        """Reset the connection rather than end it."""
        if self._transport is None or self.closed:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def close(self) -> None:
        """Close once what was written is out."""
        if self._transport is not None:
            self._transport.close()

    # -- the connection's task

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
        """Wait for a request; return False if the connection is to be closed."""
        limits = self.server.limits
        rested = self.server.loop.time()
        while not self._pending:
            if self.server.closing or self._input_failed:
                return False
            now = self.server.loop.time()
            if self._head_started_at is not None:
                until = self._head_started_at + limits.head_timeout_s
            else:
                until = rested + limits.idle_timeout_s
            if now >= until:
                if self._head_started_at is not None:
                    self._fail_input(408)
                    continue
                return False
            self._changed.clear()
            try:
                async with asyncio.timeout(until - now):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return True

    def notify_closing(self) -> None:
        """Have an idle connection see that the server closes."""
        self._changed.set()


class StreamServer:
    """Listen on one address and answer by one handler.

    Parameters
    ----------
    handler : callable
        Serves one :class:`Exchange`; it is cancelled when the caller goes.
    limits : ServerLimits, optional
    """

    def __init__(self, handler: Handler, *, limits: ServerLimits | None = None) -> None:
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.loop = asyncio.get_running_loop()
        self.links: set[ServerLink] = set()
        self.closing = False
        #: Whether each connection is closed after the answer it gets next.
        self.keep_alive_disabled = False
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> Address:
        """Begin to listen; return the address, its port filled in by the kernel if 0."""
        host, _, port = address.rpartition(":")
        self._server = await self.loop.create_server(
            lambda: ServerLink(self), host, int(port), backlog=_BACKLOG, reuse_address=True
        )
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def stop_listening(self) -> None:
        """Take no new connections; those that there are go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle(self) -> None:
        """Close idle connections, and each other one after its answer."""
        self.closing = True
        for link in list(self.links):
            link.notify_closing()

    async def close(self) -> None:
        """Close everything now."""
        self.stop_listening()
        self.close_idle()
        for link in list(self.links):
            link.close()
        await asyncio.sleep(0)
