"""The handler of the caller port: answers address lookups and routes all other requests."""

from __future__ import annotations

import itertools
import logging
import secrets
from typing import TYPE_CHECKING, Protocol
from urllib.parse import parse_qs, urlsplit

from dunlinnotch import _codec
from dunlinnotch._logs import event
from dunlinnotch.protocol import http
from dunlinnotch.protocol.answers import ADDRESSES_PATH
from dunlinnotch.protocol.http import Call
from dunlinnotch.protocol.outcome import CallResult, Outcome, Reason
from dunlinnotch.state.heads import AnswerHead, Header
from dunlinnotch.transport.server import HeadRefusal

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.protocol.answers import AddressAnswer
    from dunlinnotch.protocol.attempt import CallerWatch, ReplySink, RequestBody
    from dunlinnotch.transport.exchange import Exchange
    from dunlinnotch.types import Address, Clock, Seconds, Version

#: Maximum size of a body that is buffered, so that the call can be retried, in bytes.
MAX_REPLAY_BYTES = 64 * 1024
#: Maximum deadline that a caller may request, in milliseconds.
MAX_DEADLINE_MS = 3_600_000
_JSON = Header("Content-Type", "application/json")
_REFUSAL_STATUSES = {
    Reason.HEAD_TOO_LARGE: 431,
    Reason.HEAD_TIMEOUT: 408,
    Reason.TOO_MANY_CONNECTIONS: 503,
}
_BAD_REQUEST = 400

_log = logging.getLogger(__name__)


class CallerService(Protocol):
    """The interface of the box that the caller port uses."""

    @property
    def name(self) -> str:
        """The name of the box."""

    def route(
        self, call: Call, body: RequestBody, reply: ReplySink, watch: CallerWatch
    ) -> CallResult:
        """Serve one call.

        Parameters
        ----------
        call : Call
        body : RequestBody
        reply : ReplySink
            Where an answer of a target is sent.
        watch : CallerWatch

        Returns
        -------
        CallResult
        """

    def addresses(self, caller: str, place: str) -> AddressAnswer:
        """Return the addresses of the boxes that a caller at ``place`` should use."""

    def deadline_of(self, service: str, kind: str) -> Seconds:
        """Return the default time for a call in seconds, for calls without a deadline."""

    def version(self) -> Version:
        """Return the active settings version."""


class CallerBody:
    """The body of a caller's request; a small one is buffered so that it can be sent again."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._fits_buffer = exchange.length is not None and exchange.length <= MAX_REPLAY_BYTES
        self._buffered: bytes | None = None

    @property
    def replayable(self) -> bool:
        """Whether the body can be sent from its start, for the first time or again."""
        return self._fits_buffer or not self._exchange.body_started

    def chunks(self) -> Iterator[bytes]:
        """Yield the body.

        Raises
        ------
        BodyCutError
            If the body is truncated or its framing is invalid.
        """
        if not self._fits_buffer:
            yield from self._exchange.body()
            return
        if self._buffered is None:
            self._buffered = b"".join(self._exchange.body())
        yield self._buffered


class CallerReply:
    """Sends the answer of a target to the caller; implements :class:`ReplySink`."""

    def __init__(self, exchange: Exchange, call: Call, service: CallerService) -> None:
        self._exchange = exchange
        self._call = call
        self._service = service

    def begin(self, head: AnswerHead, *, target: Address) -> None:
        """Prepare the head of the answer, with the headers of this box added."""
        box_headers = (
            Header(http.OUTCOME, Outcome.ANSWERED.value),
            Header(http.CALL_ID, self._call.call_id),
            Header(http.BOX, self._service.name),
            Header(http.TARGET, target),
            Header(http.SETTINGS_VERSION, str(self._service.version())),
        )
        self._exchange.begin(
            head.status, (*head.headers, *box_headers), length=head.length, phrase=head.phrase
        )

    def send(self, chunk: bytes) -> None:
        """Send a part of the body.

        Raises
        ------
        CallerGoneError
            If the caller has closed its connection or does not read.
        """
        self._exchange.send(chunk)

    def finish(self) -> None:
        """Complete the answer."""
        self._exchange.finish()


class CallerFront:
    """Handler of the caller port: turns HTTP exchanges into calls.

    Parameters
    ----------
    service : CallerService
    clock : callable
    """

    def __init__(self, service: CallerService, *, clock: Clock) -> None:
        self._service = service
        self._clock = clock
        self._call_id_prefix = secrets.token_hex(4)
        self._call_numbers = itertools.count(1)

    def __call__(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.path.startswith("/.dunlinnotch/"):
            self._serve_addresses(exchange)
            return
        call = self._parse_call(exchange)
        if isinstance(call, CallResult):
            event(_log, "refused", reason=call.reason, detail=call.detail, caller=exchange.remote)
            self._refuse(exchange, call)
            return
        exchange.set_read_deadline(call.deadline)
        reply = CallerReply(exchange, call, self._service)
        result = self._service.route(call, CallerBody(exchange), reply, exchange)
        if result.begun and result.outcome is not Outcome.ANSWERED:
            exchange.abort()
        elif not result.begun and result.reason is not Reason.CALLER_GONE:
            self._refuse(exchange, result, call)

    def refuse_head(self, reason: Reason, detail: str) -> HeadRefusal:
        """Return the answer to a request head that cannot be served, and log the refusal."""
        result = CallResult(
            Outcome.NOT_RUN, _REFUSAL_STATUSES.get(reason, _BAD_REQUEST), reason, detail
        )
        event(_log, "refused", reason=reason, detail=detail)
        return HeadRefusal(result.status, self._refusal_headers(result), _codec.to_json(result))

    def _serve_addresses(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.path)
        if url.path != ADDRESSES_PATH or exchange.method not in ("GET", "HEAD"):
            detail = f"no such path: expected GET or HEAD {ADDRESSES_PATH}"
            self._refuse(exchange, CallResult(Outcome.NOT_RUN, 404, Reason.HEAD_INVALID, detail))
            return
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        caller = query.get("caller") or exchange.remote.rpartition(":")[0]
        answer = self._service.addresses(caller, query.get("place", ""))
        event(
            _log,
            "addresses",
            caller=caller,
            place=query.get("place", ""),
            boxes=[entry.box for entry in answer.addresses],
            keep_s=answer.keep_s,
            version=answer.version,
        )
        exchange.reply(200, [_JSON], _codec.to_json(answer))

    def _parse_call(self, exchange: Exchange) -> Call | CallResult:
        service = exchange.header(http.SERVICE)
        if not service:
            return _refusal(Reason.SERVICE_MISSING, f"header {http.SERVICE} is missing")
        kind = exchange.header(http.KIND)
        if not kind:
            return _refusal(Reason.KIND_MISSING, f"header {http.KIND} is missing")
        time_allowed = self._time_allowed(exchange, service, kind)
        if isinstance(time_allowed, CallResult):
            return time_allowed
        now = self._clock()
        return Call(
            call_id=f"{self._call_id_prefix}-{next(self._call_numbers)}",
            service=service,
            kind=kind,
            method=exchange.method,
            path=exchange.path,
            headers=http.end_to_end(exchange.headers, http.RESERVED_REQUEST_HEADERS),
            arrived=now,
            deadline=now + time_allowed,
            idempotency_key=exchange.header(http.ONCE_KEY),
            length=exchange.length,
        )

    def _time_allowed(self, exchange: Exchange, service: str, kind: str) -> Seconds | CallResult:
        text = exchange.header(http.DEADLINE_MS)
        if text is None:
            return self._service.deadline_of(service, kind)
        try:
            milliseconds = int(text)
        except ValueError:
            detail = f"header {http.DEADLINE_MS} {text[:40]!r} invalid: expected an integer (ms)"
            return _refusal(Reason.DEADLINE_INVALID, detail)
        if milliseconds > MAX_DEADLINE_MS:
            detail = (
                f"header {http.DEADLINE_MS} {milliseconds} exceeds the maximum of {MAX_DEADLINE_MS}"
            )
            return _refusal(Reason.DEADLINE_INVALID, detail)
        return max(0, milliseconds) / 1000

    def _refuse(self, exchange: Exchange, result: CallResult, call: Call | None = None) -> None:
        headers = self._refusal_headers(result)
        if call is not None:
            headers = [*headers, Header(http.CALL_ID, call.call_id)]
        exchange.reply(result.status, headers, _codec.to_json(result))

    def _refusal_headers(self, result: CallResult) -> list[Header]:
        box_headers = (
            Header(http.BOX, self._service.name),
            Header(http.SETTINGS_VERSION, str(self._service.version())),
        )
        return [_JSON, *http.refusal_headers(result), *box_headers]


def _refusal(reason: Reason, detail: str) -> CallResult:
    """Return the refusal of an invalid request, which was not run."""
    return CallResult(Outcome.NOT_RUN, _BAD_REQUEST, reason, detail)
