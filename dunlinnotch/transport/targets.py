"""Send calls to targets on urllib3 connections.

The pools and retries of urllib3 are not used, because this module must know
whether any byte of a request may have reached the target, and a connection
that failed in any way must never carry another request.
"""

from __future__ import annotations

import contextlib
import re
import select
import socket
import time
from http.client import HTTPException
from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

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
from dunlinnotch.transport.connection_pools import CONNECT_TIMEOUT_S
from dunlinnotch.transport.embedded_answers import (
    EmbeddedAnswerError,
    EmbeddedAnswerFinder,
    check_head,
    check_next_answer,
)
from dunlinnotch.transport.exchange import peer_closed
from dunlinnotch.transport.sends import SendOwner

if TYPE_CHECKING:
    from collections.abc import Iterator

    from urllib3 import BaseHTTPResponse, HTTPResponse

    from dunlinnotch.protocol.attempt import AttemptResult, CallerWatch, RequestBody
    from dunlinnotch.protocol.http import Call
    from dunlinnotch.transport.connection_pools import ConnectionPools, TargetConnection
    from dunlinnotch.types import Address, Clock, Seconds

CHUNK_BYTES = 64 * 1024
#: Timeout for one read or write of a body, in seconds.
BODY_TIMEOUT_S = 30.0
#: Maximum size of a refusal's body for which the connection is kept, in bytes.
_MAX_REFUSAL_BYTES = 64 * 1024
#: Maximum size of the head of an answer, in bytes.
MAX_HEAD_BYTES = 64 * 1024
_CALL_ID = http.CALL_ID.lower()
_BODILESS_STATUSES = frozenset({204, 304})
#: Size of the start of a head up to the end of its status code.
_STATUS_CODE_END = len(b"HTTP/1.1 200")
_INTERIM_STATUS_LINE = re.compile(rb"HTTP/1\.[01] 1")


class TargetClient:
    """Send calls to targets; implements :class:`TargetTransport`.

    Parameters
    ----------
    pools : ConnectionPools
    clock : callable
        Must return the same time as :func:`time.monotonic`.
    """

    def __init__(self, pools: ConnectionPools, *, clock: Clock = time.monotonic) -> None:
        self._pools = pools
        self._clock = clock

    def attempt(
        self, call: Call, target: Address, body: RequestBody, watch: CallerWatch, *, fresh: bool
    ) -> AttemptResult:
        """Send ``call`` to ``target`` and wait for the head of its answer."""
        conn = self._pools.acquire(target, call.call_id, fresh=fresh)
        if conn is None:
            return NotSent(
                Reason.CONNECT_FAILED, "all connections of this box to the target are in use"
            )
        result: AttemptResult | None = None
        try:
            result = self._connect(conn, call) or self._exchange(conn, call, target, body, watch)
        finally:
            if not isinstance(result, Answered | Refused):
                self._pools.discard(target, conn)
        return result

    def _connect(self, conn: TargetConnection, call: Call) -> NotSent | None:
        if conn.sock is not None:
            return None
        remaining_s = call.deadline - self._clock()
        if remaining_s <= 0:
            return NotSent(
                Reason.DEADLINE_EXPIRED, "the deadline expired before a connection was open"
            )
        conn.timeout = min(CONNECT_TIMEOUT_S, remaining_s)
        try:
            conn.connect()
        except (OSError, HTTPError) as error:
            return NotSent(Reason.CONNECT_FAILED, str(error))
        return None

    def _exchange(
        self,
        conn: TargetConnection,
        call: Call,
        target: Address,
        body: RequestBody,
        watch: CallerWatch,
    ) -> AttemptResult:
        send_failure = self._send(conn, call, body)
        if send_failure is not None and send_failure.reason is not Reason.TARGET_BROKEN:
            return send_failure
        # The target may have answered and closed before it had read the whole request.
        head_failure = self._await_head(conn, call, watch)
        if head_failure is not None:
            return send_failure or head_failure
        try:
            response = conn.getresponse()
        except (OSError, HTTPError, ValueError, HTTPException) as error:
            return send_failure or Broken(
                Reason.TARGET_BROKEN, f"reading the head of the answer failed: {error!r}"
            )
        return self._classify_answer(
            conn, call, target, response, request_complete=send_failure is None
        )

    def _send(self, conn: TargetConnection, call: Call, body: RequestBody) -> Broken | None:
        """Send the request; from here on, bytes may have reached the target."""
        conn.timeout = BODY_TIMEOUT_S
        if conn.sock is not None:
            conn.sock.settimeout(BODY_TIMEOUT_S)
        headers = self._headers(call)
        conn.sends.begin(call.call_id)
        try:
            conn.request(
                call.method,
                call.path,
                body=_request_body(call, body),
                headers=headers,
                chunked=call.length is None,
                preload_content=False,
                decode_content=False,
            )
        except BodyCutError as error:
            return Broken(Reason.BODY_BROKEN, str(error))
        except (OSError, HTTPError, HTTPException) as error:
            return Broken(Reason.TARGET_BROKEN, f"sending the request failed: {error}")
        return None

    def _headers(self, call: Call) -> dict[str, str]:
        headers: dict[str, str] = {}
        for header in call.headers:
            earlier = headers.get(header.name)
            headers[header.name] = header.value if earlier is None else f"{earlier}, {header.value}"
        remaining_ms = max(1, int((call.deadline - self._clock()) * 1000))
        headers[http.DEADLINE_MS] = str(remaining_ms)
        headers[http.CALL_ID] = call.call_id
        headers.setdefault("Accept-Encoding", "identity")
        headers.setdefault("User-Agent", "-")
        if call.length is not None and (call.length or call.method not in ("GET", "HEAD")):
            headers["Content-Length"] = str(call.length)
        return headers

    def _await_head(self, conn: TargetConnection, call: Call, watch: CallerWatch) -> Broken | None:
        """Wait until a complete head is received, the caller leaves or the deadline expires.

        Returns
        -------
        Broken or None
            ``None`` once the socket holds a complete head.

        Notes
        -----
        ``http.client`` accepts a truncated head as complete, so the head is
        peeked at and checked before it is read.
        """
        if conn.sock is None:
            return Broken(Reason.TARGET_BROKEN, "the target closed the connection")
        received_bytes = 0
        try:
            while True:
                failure = self._await_bytes(conn.sock, received_bytes + 1, call, watch)
                if failure is not None:
                    return failure
                head = conn.sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK)
                if b"\r\n\r\n" in head:
                    break
                if len(head) == received_bytes:
                    return Broken(
                        Reason.TARGET_BROKEN,
                        f"the target closed its connection {received_bytes} bytes into the head",
                    )
                received_bytes = len(head)
                if received_bytes >= MAX_HEAD_BYTES:
                    return Broken(
                        Reason.TARGET_BROKEN,
                        f"the head of the answer exceeds {MAX_HEAD_BYTES} bytes",
                    )
            if received_bytes:
                _set_receive_low_water_mark(conn.sock, 1)
        except OSError as error:
            return Broken(
                Reason.TARGET_BROKEN, f"waiting for the head of the answer failed: {error}"
            )
        return _unusable_head(head.partition(b"\r\n\r\n")[0])

    def _await_bytes(
        self, sock: socket.socket, size: int, call: Call, watch: CallerWatch
    ) -> Broken | None:
        """Wait until the socket holds ``size`` bytes or EOF.

        Returns
        -------
        Broken or None
            ``Broken`` if the caller leaves or the deadline expires first.
        """
        if size > 1:
            _set_receive_low_water_mark(sock, size)
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        caller = watch.fileno()
        if caller is not None:
            poller.register(caller, select.POLLIN)
        while True:
            remaining_s = call.deadline - self._clock()
            if remaining_s <= 0:
                return Broken(
                    Reason.DEADLINE_EXPIRED, "no complete head of the answer before the deadline"
                )
            ready = [descriptor for descriptor, _ in poller.poll(remaining_s * 1000)]
            if sock.fileno() in ready:
                return None
            if caller in ready:
                if watch.gone():
                    return Broken(
                        Reason.CALLER_GONE, "the caller closed its connection before the answer"
                    )
                poller.unregister(caller)

    def _classify_answer(
        self,
        conn: TargetConnection,
        call: Call,
        target: Address,
        response: HTTPResponse,
        *,
        request_complete: bool,
    ) -> AttemptResult:
        if not http.is_status(response.status):
            return Broken(
                Reason.TARGET_BROKEN, f"status {response.status} invalid: expected 100 to 599"
            )
        if not _has_body_framing(call, response):
            return Broken(
                Reason.TARGET_BROKEN,
                "the answer has neither a valid Content-Length nor chunked encoding",
            )
        named = response.headers.get(http.CALL_ID) or None
        if conn.sends.owner(named) is not SendOwner.CURRENT:
            return Broken(
                Reason.TARGET_BROKEN, f"the answer may be for another call: it names {named!r:.80}"
            )
        report = parse_load_report(response)
        # An answer that names no call could not be told from a later one's.
        reusable = request_complete and named is not None and not conn.sends.exhausted
        end_by = call.deadline - self._clock()
        body = TargetBody(
            self._pools, conn, target, response, reusable=reusable, end_timeout=max(0.001, end_by)
        )
        refusal_mark = response.headers.get(http.REFUSED)
        if refusal_mark is not None:
            self._discard_refusal(body)
            return Refused(refusal_mark, report)
        return Answered(_read_head(response), body, report)

    @staticmethod
    def _discard_refusal(body: TargetBody) -> None:
        size = 0
        complete = False
        with contextlib.suppress(BodyCutError):
            for chunk in body.chunks():
                size += len(chunk)
                if size > _MAX_REFUSAL_BYTES:
                    break
            else:
                complete = True
        body.close(complete=complete)


def _unusable_head(head: bytes) -> Broken | None:
    """Return why a complete head can't be used, or ``None``."""
    if _INTERIM_STATUS_LINE.match(head):
        return Broken(Reason.TARGET_BROKEN, "interim answers (1xx) are not supported")
    try:
        check_head(head[_STATUS_CODE_END:])
    except EmbeddedAnswerError as error:
        return Broken(Reason.TARGET_BROKEN, str(error))
    return None


def _set_receive_low_water_mark(sock: socket.socket, size: int) -> None:
    """Make the socket poll as readable only once it holds ``size`` bytes or EOF."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)


def _has_body_framing(call: Call, response: HTTPResponse) -> bool:
    """Return whether the framing of an answer makes a truncated body detectable."""
    if call.method == "HEAD" or response.status in _BODILESS_STATUSES:
        return True
    # An invalid length is no length: the body then ends with the connection.
    return bool(response.chunked) or response.length_remaining is not None


def _request_body(call: Call, body: RequestBody) -> Iterator[bytes] | None:
    if call.length == 0:
        return None
    return body.chunks()


def parse_load_report(response: BaseHTTPResponse) -> LoadReport:
    """Return the load and state that a target reports in the headers of an answer.

    Notes
    -----
    Reads :data:`~dunlinnotch.protocol.http.LOAD` (a count),
    :data:`~dunlinnotch.protocol.http.TARGET_STATE`,
    :data:`~dunlinnotch.protocol.http.TARGET_INCARNATION` and ``Retry-After``
    (seconds).  Invalid values are ignored.
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
    length_known = length is not None and length.isdigit() and not response.chunked
    return AnswerHead(
        response.status, response.reason or "", headers, int(length or 0) if length_known else None
    )


class TargetBody:
    """The body of an answer; its connection is reused only if the body was read completely."""

    def __init__(
        self,
        pools: ConnectionPools,
        conn: TargetConnection,
        target: Address,
        response: HTTPResponse,
        *,
        reusable: bool,
        end_timeout: Seconds,
    ) -> None:
        self._pools = pools
        self._conn = conn
        self._target = target
        self._response = response
        self._reusable = reusable
        self._end_timeout = end_timeout
        self._finder = EmbeddedAnswerFinder(self._names_send, is_framed=True)

    def _names_send(self, head: AnswerHead) -> bool:
        named = next((h.value for h in head.headers if h.name.lower() == _CALL_ID), None)
        return named is not None and self._conn.sends.has_carried(named)

    def chunks(self) -> Iterator[bytes]:
        """Yield the body.

        Raises
        ------
        BodyCutError
            If the body is truncated or its framing is invalid.
        """
        held = b""
        try:
            for chunk in self._response.stream(CHUNK_BYTES, decode_content=False):
                self._finder.check(chunk)
                if held:
                    yield held
                # The last chunk would make a body with a length look complete.
                held = chunk
            self._check_end()
            self._conn.close_reader()
        except (OSError, HTTPError, HTTPException, ValueError, EmbeddedAnswerError) as error:
            msg = f"reading the body of the answer failed: {error}"
            raise BodyCutError(msg) from None
        if held:
            yield held

    def _check_end(self) -> None:
        """Check that what follows the body shows that it is whole.

        Raises
        ------
        EmbeddedAnswerError
            If the body has been completed by the begin of another answer.
        """
        self._finder.finish()
        following = self._conn.look_ahead()
        if not following and self._finder.is_doubtful:
            self._reusable = False
            following = self._conn.await_end(self._end_timeout)
        if following:
            self._reusable = False
            check_next_answer(following)

    def close(self, *, complete: bool) -> None:
        """Release the connection to the pool if it can be reused, or close it.

        Parameters
        ----------
        complete : bool
            Whether the body was read completely.
        """
        conn = self._conn
        keep_alive = self._response.headers.get("connection", "").lower() != "close"
        if (
            not (complete and self._reusable and keep_alive)
            or conn.sock is None
            or peer_closed(conn.sock)
        ):
            self._pools.discard(self._target, conn)
            return
        self._pools.release(self._target, conn)
