"""Carry calls to targets on urllib3 connections.

urllib3's own pools and retries are not used: this module must know whether a
byte of a request may have reached the target, and a connection that broke off
in any way must never carry another request.
"""

from __future__ import annotations

import contextlib
import re
import select
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass
from http.client import HTTPException
from typing import TYPE_CHECKING

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from dunlinnotch._addresses import split_address
from dunlinnotch.protocol import http
from dunlinnotch.protocol.attempt import (
    Answered,
    BodyCutError,
    Broken,
    LoadReport,
    NotSent,
    Refused,
)
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.state.heads import AnswerHead, Header
from dunlinnotch.transport.exchange import peer_closed

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from urllib3 import BaseHTTPResponse, HTTPResponse

    from dunlinnotch.protocol.attempt import AttemptResult, CallerWatch, RequestBody
    from dunlinnotch.protocol.http import Call
    from dunlinnotch.types import Address, Clock, Seconds

CHUNK_BYTES = 64 * 1024
#: Idle connections older than this are closed, since a target may be about to do so.
IDLE_TIMEOUT_S = 15.0
#: Longest time to wait for a new connection.
CONNECT_TIMEOUT_S = 1.0
#: Longest time to wait for the next part of an answer's body.
BODY_TIMEOUT_S = 30.0
_MAX_REFUSAL_BYTES = 64 * 1024
#: Largest head of an answer.
MAX_HEAD_BYTES = 64 * 1024
_BODILESS = frozenset({204, 304})
_INTERIM = re.compile(rb"HTTP/1\.[01] 1")


@dataclass(slots=True)
class _IdleConnection:
    """A connection that may be used again."""

    conn: HTTPConnection
    since: Seconds


class ConnectionPools:
    """Connections to targets, at most so many each.

    Parameters
    ----------
    limit : callable
        Given a target, returns the connections this box may have there: its
        fixed share of what the target accepts.
    clock : callable

    Notes
    -----
    Thread-safe.  The most recently used connection is reused first.
    """

    def __init__(self, *, limit: Callable[[Address], int], clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[Address, deque[_IdleConnection]] = {}
        self._open: dict[Address, int] = {}

    def acquire(self, target: Address, *, fresh: bool) -> HTTPConnection | None:
        """Return an idle connection, or one not yet connected.

        Returns
        -------
        HTTPConnection or None
            ``None`` if the box has its share of connections there.
        """
        if not fresh:
            while (idle := self._pop_idle(target)) is not None:
                if self._is_usable(idle):
                    return idle.conn
                self.discard(target, idle.conn)
        with self._lock:
            at_limit = self._open.get(target, 0) >= self._limit(target)
        if at_limit and (idle := self._pop_idle(target)) is not None:
            self.discard(target, idle.conn)
        with self._lock:
            if self._open.get(target, 0) >= self._limit(target):
                return None
            self._open[target] = self._open.get(target, 0) + 1
        at = split_address(target)
        return HTTPConnection(at.host, at.port, timeout=CONNECT_TIMEOUT_S)

    def release(self, target: Address, conn: HTTPConnection) -> None:
        """Keep a connection whose last answer was read to its end."""
        with self._lock:
            self._idle.setdefault(target, deque()).append(_IdleConnection(conn, self._clock()))

    def discard(self, target: Address, conn: HTTPConnection) -> None:
        """Close a connection for good."""
        conn.close()
        with self._lock:
            self._open[target] -= 1

    def open_connections(self, target: Address) -> int:
        """Return the connections open to a target."""
        with self._lock:
            return self._open.get(target, 0)

    def _pop_idle(self, target: Address) -> _IdleConnection | None:
        with self._lock:
            idle = self._idle.get(target)
            return idle.pop() if idle else None

    def _is_usable(self, idle: _IdleConnection) -> bool:
        """Return whether nothing has come in on an idle connection, not even its end."""
        if self._clock() - idle.since > IDLE_TIMEOUT_S or idle.conn.sock is None:
            return False
        poller = select.poll()
        poller.register(idle.conn.sock, select.POLLIN)
        return not poller.poll(0)


class TargetClient:
    """Send calls to targets; the project's :class:`TargetTransport`.

    Parameters
    ----------
    pools : ConnectionPools
    clock : callable
        Must be :func:`time.monotonic` or agree with it.
    """

    def __init__(self, pools: ConnectionPools, *, clock: Clock = time.monotonic) -> None:
        self._pools = pools
        self._clock = clock

    def attempt(
        self, call: Call, target: Address, body: RequestBody, watch: CallerWatch, *, fresh: bool
    ) -> AttemptResult:
        """Send ``call`` to ``target`` and wait for the head of its answer."""
        conn = self._pools.acquire(target, fresh=fresh)
        if conn is None:
            return NotSent(Reason.CONNECT_FAILED, "this box's share of connections is in use")
        result: AttemptResult | None = None
        try:
            result = self._connect(conn, call) or self._exchange(conn, call, target, body, watch)
        finally:
            if not isinstance(result, Answered | Refused):
                self._pools.discard(target, conn)
        return result

    def _connect(self, conn: HTTPConnection, call: Call) -> NotSent | None:
        if conn.sock is not None:
            return None
        left = call.deadline - self._clock()
        if left <= 0:
            return NotSent(
                Reason.DEADLINE_EXPIRED, "the deadline passed before a connection was open"
            )
        conn.timeout = min(CONNECT_TIMEOUT_S, left)
        try:
            conn.connect()
        except (OSError, HTTPError) as error:
            return NotSent(Reason.CONNECT_FAILED, str(error))
        return None

    def _exchange(
        self,
        conn: HTTPConnection,
        call: Call,
        target: Address,
        body: RequestBody,
        watch: CallerWatch,
    ) -> AttemptResult:
        failure = self._send(conn, call, body)
        if failure is not None and failure.reason is not Reason.TARGET_BROKEN:
            return failure
        waited = self._await_head(conn, call, watch)
        if waited is not None:
            return failure or waited
        try:
            response = conn.getresponse()
        except (OSError, HTTPError, ValueError, HTTPException) as error:
            return failure or Broken(Reason.TARGET_BROKEN, f"no answer: {error!r}")
        return self._answered(conn, call, target, response, whole_request=failure is None)

    def _send(self, conn: HTTPConnection, call: Call, body: RequestBody) -> Broken | None:
        """Send head and body; after this, bytes may have reached the target."""
        conn.timeout = BODY_TIMEOUT_S
        if conn.sock is not None:
            conn.sock.settimeout(BODY_TIMEOUT_S)
        headers = self._headers(call)
        try:
            conn.request(
                call.method,
                call.path,
                body=_sent_body(call, body),
                headers=headers,
                chunked=call.length is None,
                preload_content=False,
                decode_content=False,
            )
        except BodyCutError as error:
            return Broken(Reason.BODY_BROKEN, str(error))
        except (OSError, HTTPError, HTTPException) as error:
            return Broken(Reason.TARGET_BROKEN, f"sending broke off: {error}")
        return None

    def _headers(self, call: Call) -> dict[str, str]:
        headers: dict[str, str] = {}
        for header in call.headers:
            known = headers.get(header.name)
            headers[header.name] = header.value if known is None else f"{known}, {header.value}"
        left_ms = max(1, int((call.deadline - self._clock()) * 1000))
        headers[http.DEADLINE_MS] = str(left_ms)
        headers[http.CALL_ID] = call.call_id
        headers.setdefault("Accept-Encoding", "identity")
        headers.setdefault("User-Agent", "-")
        if call.length is not None and (call.length or call.method not in ("GET", "HEAD")):
            headers["Content-Length"] = str(call.length)
        return headers

    def _await_head(self, conn: HTTPConnection, call: Call, watch: CallerWatch) -> Broken | None:
        """Wait for a whole head, the caller's end or the deadline.

        ``http.client`` takes a head that was cut for a whole one, so the head
        is looked at before it is read.
        """
        if conn.sock is None:
            return Broken(Reason.TARGET_BROKEN, "the target closed the connection")
        seen = 0
        try:
            while True:
                waited = self._await_more(conn.sock, seen + 1, call, watch)
                if waited is not None:
                    return waited
                head = conn.sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK)
                if b"\r\n\r\n" in head:
                    break
                if len(head) == seen:
                    return Broken(Reason.TARGET_BROKEN, f"cut after {seen} bytes of the head")
                seen = len(head)
                if seen >= MAX_HEAD_BYTES:
                    return Broken(Reason.TARGET_BROKEN, f"a head of over {MAX_HEAD_BYTES} bytes")
            if seen:
                _wake_at(conn.sock, 1)
        except OSError as error:
            return Broken(Reason.TARGET_BROKEN, f"no answer: {error}")
        if _INTERIM.match(head):
            return Broken(Reason.TARGET_BROKEN, "interim answers (1xx) are not taken")
        return None

    def _await_more(
        self, sock: socket.socket, size: int, call: Call, watch: CallerWatch
    ) -> Broken | None:
        """Wait until ``size`` bytes, or the end, have come from the target."""
        if size > 1:
            _wake_at(sock, size)
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        caller = watch.fileno()
        if caller is not None:
            poller.register(caller, select.POLLIN)
        while True:
            left = call.deadline - self._clock()
            if left <= 0:
                return Broken(Reason.DEADLINE_EXPIRED, "the target did not answer in time")
            ready = [descriptor for descriptor, _ in poller.poll(left * 1000)]
            if sock.fileno() in ready:
                return None
            if caller in ready:
                if watch.gone():
                    return Broken(Reason.CALLER_GONE, "the caller left while its request ran")
                poller.unregister(caller)

    def _answered(
        self,
        conn: HTTPConnection,
        call: Call,
        target: Address,
        response: HTTPResponse,
        *,
        whole_request: bool,
    ) -> AttemptResult:
        if not _bounded(call, response):
            return Broken(Reason.TARGET_BROKEN, "the answer has neither length nor chunks")
        marked = response.headers.get(http.CALL_ID)
        if marked is not None and marked != call.call_id:
            return Broken(
                Reason.TARGET_BROKEN, f"the answer belongs to another call, {marked!r:.80}"
            )
        report = parse_load_report(response)
        body = TargetBody(self._pools, conn, target, response, reusable=whole_request)
        mark = response.headers.get(http.REFUSED)
        if mark is not None:
            self._drop_refusal(body)
            return Refused(mark, report)
        return Answered(_read_head(response), body, report)

    @staticmethod
    def _drop_refusal(body: TargetBody) -> None:
        size = 0
        whole = False
        with contextlib.suppress(BodyCutError):
            for part in body.chunks():
                size += len(part)
                if size > _MAX_REFUSAL_BYTES:
                    break
            else:
                whole = True
        body.close(complete=whole)


def _wake_at(sock: socket.socket, size: int) -> None:
    """Have the socket count as readable only once it holds ``size`` bytes, or its end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)


def _bounded(call: Call, response: HTTPResponse) -> bool:
    """Return whether the end of an answer's body can be told from a cut."""
    if call.method == "HEAD" or response.status in _BODILESS:
        return True
    return bool(response.chunked) or response.headers.get("content-length") is not None


def _sent_body(call: Call, body: RequestBody) -> Iterator[bytes] | None:
    if call.length == 0:
        return None
    return body.chunks()


def parse_load_report(response: BaseHTTPResponse) -> LoadReport:
    """Return what a target says of itself in an answer's headers.

    Source: the headers :data:`~dunlinnotch.protocol.http.LOAD` (a count),
    :data:`~dunlinnotch.protocol.http.TARGET_STATE` and ``Retry-After``.  Values that make no
    sense are passed over.
    """
    load = response.headers.get(http.LOAD, "")
    state = response.headers.get(http.TARGET_STATE, "")
    return LoadReport(
        in_flight=int(load) if load.isascii() and load.isdigit() else None,
        leaving=state == "draining",
        warming_up=state == "cold",
        incarnation=response.headers.get(http.TARGET_INCARNATION),
        backoff=http.requested_backoff(response.status, response.headers.get("Retry-After")),
    )


def _read_head(response: HTTPResponse) -> AnswerHead:
    headers = http.end_to_end(
        (Header(name, value) for name, value in response.headers.items()),
        http.RESERVED_ANSWER_HEADERS,
    )
    length = response.headers.get("content-length")
    known = length is not None and length.isdigit() and not response.chunked
    return AnswerHead(
        response.status, response.reason or "", headers, int(length or 0) if known else None
    )


class TargetBody:
    """An answer's body; its connection is given back only if it was whole."""

    def __init__(
        self,
        pools: ConnectionPools,
        conn: HTTPConnection,
        target: Address,
        response: HTTPResponse,
        *,
        reusable: bool,
    ) -> None:
        self._pools = pools
        self._conn = conn
        self._target = target
        self._response = response
        self._reusable = reusable

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise :class:`BodyCutError` if it is not whole."""
        try:
            yield from self._response.stream(CHUNK_BYTES, decode_content=False)
        except (OSError, HTTPError, HTTPException, ValueError) as error:
            msg = f"the target's answer was cut: {error}"
            raise BodyCutError(msg) from None

    def close(self, *, complete: bool) -> None:
        """Give the connection back if the body was complete, else close it."""
        conn = self._conn
        keeps = self._response.headers.get("connection", "").lower() != "close"
        if (
            not (complete and self._reusable and keeps)
            or conn.sock is None
            or peer_closed(conn.sock)
        ):
            self._pools.discard(self._target, conn)
            return
        self._pools.release(self._target, conn)
