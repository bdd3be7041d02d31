"""The caller port: address answers, and every other request is routed."""

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

#: Bodies up to this size are read whole, so that a call may be tried again.
REPLAY_BYTES = 64 * 1024
#: Longest deadline that a caller may state, in milliseconds.
DEADLINE_MAX_MS = 3_600_000
_JSON = Header("Content-Type", "application/json")
_STATUS_OF = {
    Reason.HEAD_TOO_LARGE: 431,
    Reason.HEAD_TIMEOUT: 408,
    Reason.TOO_MANY_CONNECTIONS: 503,
}
_BAD_REQUEST = 400

_log = logging.getLogger(__name__)


class Service(Protocol):
    """What the front needs of the box."""

    @property
    def name(self) -> str:
        """The box's name."""

    def route(
        self, call: Call, body: RequestBody, reply: ReplySink, watch: CallerWatch
    ) -> CallResult:
        """Serve one call."""

    def addresses(self, caller: str, place: str) -> AddressAnswer:
        """Return the boxes that a caller should use."""

    def deadline_of(self, service: str, kind: str) -> Seconds:
        """Return the time for a call that states none."""

    def version(self) -> Version:
        """Return the settings version in force."""


class CallerBody:
    """A caller's request body; a small one is kept so that it can be sent again."""

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange
        self._small = exchange.length is not None and exchange.length <= REPLAY_BYTES
        self._kept: bytes | None = None

    @property
    def replayable(self) -> bool:
        """Whether the body may be sent (again) from its start."""
        return self._small or not self._exchange.body_started

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise :class:`BodyCutError` if it is not whole."""
        if not self._small:
            yield from self._exchange.body()
            return
        if self._kept is None:
            self._kept = b"".join(self._exchange.body())
        yield self._kept


class CallerReply:
    """Where an answer goes out to the caller."""

    def __init__(self, exchange: Exchange, call: Call, service: Service) -> None:
        self._exchange = exchange
        self._call = call
        self._service = service

    def begin(self, head: AnswerHead, *, target: Address) -> None:
        """Send the head of a target's answer."""
        own = (
            Header(http.OUTCOME, Outcome.ANSWERED.value),
            Header(http.CALL_ID, self._call.call_id),
            Header(http.BOX, self._service.name),
            Header(http.TARGET, target),
            Header(http.SETTINGS_VERSION, str(self._service.version())),
        )
        self._exchange.begin(
            head.status, (*head.headers, *own), length=head.length, phrase=head.phrase
        )

    def send(self, chunk: bytes) -> None:
        """Send a part of the body."""
        self._exchange.send(chunk)

    def finish(self) -> None:
        """End the body cleanly."""
        self._exchange.finish()


class CallerFront:
    """Turn exchanges into calls.

    Parameters
    ----------
    service : Service
    clock : callable
    """

    def __init__(self, service: Service, *, clock: Clock) -> None:
        self._service = service
        self._clock = clock
        self._prefix = secrets.token_hex(4)
        self._numbers = itertools.count(1)

    def __call__(self, exchange: Exchange) -> None:
        """Serve one exchange."""
        if exchange.path.startswith("/.dunlinnotch/"):
            self._own_path(exchange)
            return
        call = self._call(exchange)
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
        """Return the answer to a head that can't be used."""
        result = CallResult(Outcome.NOT_RUN, _STATUS_OF.get(reason, _BAD_REQUEST), reason, detail)
        event(_log, "refused", reason=reason, detail=detail)
        return HeadRefusal(result.status, self._refusal_headers(result), _codec.to_json(result))

    def _own_path(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.path)
        if url.path != ADDRESSES_PATH or exchange.method not in ("GET", "HEAD"):
            detail = f"the only path here is GET {ADDRESSES_PATH}"
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

    def _call(self, exchange: Exchange) -> Call | CallResult:
        service = exchange.header(http.SERVICE)
        if not service:
            return _bad(Reason.SERVICE_MISSING, f"header {http.SERVICE} is missing")
        kind = exchange.header(http.KIND)
        if not kind:
            return _bad(Reason.KIND_MISSING, f"header {http.KIND} is missing")
        allowed = self._allowed_time(exchange, service, kind)
        if isinstance(allowed, CallResult):
            return allowed
        now = self._clock()
        return Call(
            call_id=f"{self._prefix}-{next(self._numbers)}",
            service=service,
            kind=kind,
            method=exchange.method,
            path=exchange.path,
            headers=http.end_to_end(exchange.headers, http.RESERVED_REQUEST_HEADERS),
            arrived=now,
            deadline=now + allowed,
            idempotency_key=exchange.header(http.ONCE_KEY),
            length=exchange.length,
        )

    def _allowed_time(self, exchange: Exchange, service: str, kind: str) -> Seconds | CallResult:
        text = exchange.header(http.DEADLINE_MS)
        if text is None:
            return self._service.deadline_of(service, kind)
        try:
            milliseconds = int(text)
        except ValueError:
            detail = f"{http.DEADLINE_MS} {text[:40]!r} is not a whole number of milliseconds"
            return _bad(Reason.DEADLINE_INVALID, detail)
        if milliseconds > DEADLINE_MAX_MS:
            detail = f"{http.DEADLINE_MS} {milliseconds} is over {DEADLINE_MAX_MS}"
            return _bad(Reason.DEADLINE_INVALID, detail)
        return max(0, milliseconds) / 1000

    def _refuse(self, exchange: Exchange, result: CallResult, call: Call | None = None) -> None:
        headers = self._refusal_headers(result)
        if call is not None:
            headers = [*headers, Header(http.CALL_ID, call.call_id)]
        exchange.reply(result.status, headers, _codec.to_json(result))

    def _refusal_headers(self, result: CallResult) -> list[Header]:
        own = (
            Header(http.BOX, self._service.name),
            Header(http.SETTINGS_VERSION, str(self._service.version())),
        )
        return [_JSON, *http.refusal_headers(result), *own]


def _bad(reason: Reason, detail: str) -> CallResult:
    """Return the refusal of a call that can't be read, said of this copy alone."""
    return CallResult(Outcome.NOT_RUN, _BAD_REQUEST, reason, detail)
