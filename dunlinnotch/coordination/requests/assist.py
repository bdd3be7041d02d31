"""Send requests of peers to targets that the peers can't reach."""

from __future__ import annotations

import asyncio
import functools
import hmac
import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from dunlinnotch._logs import event
from dunlinnotch.coordination.requests.bodies import MAX_BUFFERED_REQUEST_BYTES, BufferedBody
from dunlinnotch.coordination.requests.crash_guard import TrackedRequest
from dunlinnotch.coordination.requests.fingerprint import fingerprint
from dunlinnotch.coordination.requests.run import Ending, Run
from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.protocol.peer_forward import (
    PeerOutcome,
    PeerResult,
    peer_result_header,
    read_peer_request,
)
from dunlinnotch.protocol.relay import NotSent
from dunlinnotch.state.routes import RequestKind, ServiceShare

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from dunlinnotch.coordination.choosing.reach import TargetReach
    from dunlinnotch.coordination.choosing.selector import TargetSelector
    from dunlinnotch.coordination.choosing.waiting import Selection
    from dunlinnotch.coordination.requests.crash_guard import CrashGuard
    from dunlinnotch.coordination.requests.target_attempts import TargetAttempts
    from dunlinnotch.protocol.peer_forward import PeerRequest
    from dunlinnotch.protocol.relay import CallerRequest, ReplyPort
    from dunlinnotch.state.heads import Header

#: Maximum number of requests of peers served at once: several times what a box gets from its
#: own callers, and little enough for its memory and its event loop.
_MAX_ASSISTED = 64
#: Maximum number of targets to which a connection is tried for one request.
_MAX_CONNECTS = 3

_log = logging.getLogger(__name__)


class PeerExchange(Protocol):
    """One request of a peer, and the answer to it."""

    @property
    def headers(self) -> Sequence[Header]:
        """Headers as received."""

    def body(self) -> AsyncIterator[bytes]:
        """Yield the body."""


class _PeerReply:
    """Sends an answer to a peer, preceded by the result of the attempt.

    Parameters
    ----------
    reply : ReplyPort

    Attributes
    ----------
    run : Run or None
        The request; None until it is accepted.
    send_number : int
        Number of the peer's send, which each result repeats.
    """

    def __init__(self, reply: ReplyPort) -> None:
        self._reply = reply
        self.run: Run | None = None
        self.send_number = 0

    @property
    def begun(self) -> bool:
        """Whether a head has been sent."""
        return self._reply.begun

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Send the head of a target's answer."""
        self._reply.begin(status, self._with_result(headers), length=length, phrase=phrase)

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""
        await self._reply.send(part)

    def finish(self) -> None:
        """Complete the answer."""
        self._reply.finish()

    def reply(self, status: int, headers: Sequence[Header], body: bytes, phrase: str = "") -> None:
        """Send a complete answer of a target."""
        self._reply.reply(status, self._with_result(headers), body, phrase)

    def send_result(self, result: PeerResult, status: int = 503) -> None:
        """Send a result without an answer of a target."""
        self._reply.reply(status, [self._header(result)], b"")

    def _with_result(self, headers: Sequence[Header]) -> list[Header]:
        result = PeerResult(PeerOutcome.ANSWERED, _target_of(self.run))
        return [self._header(result), *headers]

    def _header(self, result: PeerResult) -> Header:
        return peer_result_header(replace(result, send=self.send_number))


class PeerAssistant:
    """Make one attempt at a target for each request of a peer.

    Parameters
    ----------
    key : bytes
        Key that a request must carry.
    attempts : TargetAttempts
    selector : TargetSelector
    reach : TargetReach
    guard : CrashGuard
    running : set of Run
        Receives the requests in progress, so that a stop waits for them.
    accepts_work : callable
        Returns whether this box takes new requests.

    Notes
    -----
    A request is never passed on to a third box, so that none goes in a circle.  Its retries
    and its quarantine are up to the sender, which counts them once.
    """

    def __init__(
        self,
        *,
        key: bytes,
        attempts: TargetAttempts,
        selector: TargetSelector,
        reach: TargetReach,
        guard: CrashGuard,
        running: set[Run],
        accepts_work: Callable[[], bool],
    ) -> None:
        self._key = key
        self._attempts = attempts
        self._selector = selector
        self._reach = reach
        self._guard = guard
        self._running = running
        self._accepts_work = accepts_work
        self._loop = asyncio.get_running_loop()
        self._in_flight = 0
        #: Number of requests of peers that were served.
        self.assisted = 0

    async def serve(
        self,
        headers: Sequence[Header],
        parts: AsyncIterator[bytes],
        reply: ReplyPort,
        *,
        read_request: Callable[[], CallerRequest | None],
    ) -> None:
        """Serve one request; the task is cancelled if the peer disconnects.

        Parameters
        ----------
        headers : sequence of Header
            As received; the first one holds the peer request.
        parts : async iterator of bytes
            The body.
        reply : ReplyPort
        read_request : callable
            Returns the caller's request, by its headers.
        """
        peer_reply = _PeerReply(reply)
        try:
            peer_request = read_peer_request(headers)
        except ProtocolError as error:
            event(_log, "peer-request-unreadable", level=logging.WARNING, detail=str(error))
            peer_reply.send_result(_refusal(Reason.HEAD_INVALID, "unreadable"), status=400)
            return
        peer_reply.send_number = peer_request.send
        refusal = self._refusal(peer_request)
        caller_request = None if refusal is not None else read_request()
        if caller_request is None:
            refusal = refusal or _refusal(Reason.HEAD_INVALID, "the caller's head is invalid")
            event(
                _log,
                "peer-request-refused",
                sender=peer_request.sender,
                service=peer_request.service,
                detail=refusal.detail,
            )
            peer_reply.send_result(refusal)
            return
        request = replace(caller_request, headers=tuple(headers[1:]), caller=peer_request.caller)
        run = _make_run(peer_request, request, BufferedBody(parts), peer_reply)
        await self._serve(run, peer_request, peer_reply)

    def _refusal(self, peer_request: PeerRequest) -> PeerResult | None:
        """Return why a request is not served, or None."""
        if not hmac.compare_digest(peer_request.key, self._key):
            return _refusal(Reason.CUT_OFF, "the key is not that of this process")
        if not self._accepts_work():
            return _refusal(Reason.BOX_DRAINED, "the box takes no new requests")
        if self._in_flight >= _MAX_ASSISTED:
            return _refusal(Reason.QUEUE_FULL, f"{_MAX_ASSISTED} requests of peers in progress")
        if self._reach.is_cut_off(peer_request.service):
            return _refusal(Reason.CUT_OFF, "the box can't reach the targets either")
        return None

    async def _serve(self, run: Run, peer_request: PeerRequest, reply: _PeerReply) -> None:
        self._in_flight += 1
        self._running.add(run)
        self.assisted += 1
        ending = Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, "the sender left")
        try:
            ending = await self._attempt_in_time(run)
            if ending.outcome is not Outcome.ANSWERED:
                self._tell(run, ending, reply)
        finally:
            self._in_flight -= 1
            self._running.discard(run)
            self._log_end(run, peer_request, ending)

    def _tell(self, run: Run, ending: Ending, reply: _PeerReply) -> None:
        """Tell the sender how the attempt ended, unless an answer has begun and was cut."""
        if not reply.begun:
            reply.send_result(_result(run, ending))
        elif run.tracked.crashed:
            # The sender learns of a crash by a result only.
            self._guard.record_end(run.tracked, answered=False)

    def _log_end(self, run: Run, peer_request: PeerRequest, ending: Ending) -> None:
        event(
            _log,
            "assisted",
            request=run.request.request_id,
            sender=peer_request.sender,
            kind=peer_request.kind,
            service=run.service,
            outcome=ending.outcome,
            status=ending.status,
            reason=ending.reason,
            detail=ending.detail,
            took_ms=round((self._loop.time() - run.request.arrived) * 1000, 1),
            tries=[attempt.as_fields(run.request.arrived) for attempt in run.attempts],
        )

    async def _attempt_in_time(self, run: Run) -> Ending:
        try:
            async with asyncio.timeout_at(run.request.deadline) as run.timeout_scope:
                await run.body.buffer(MAX_BUFFERED_REQUEST_BYTES)
                run.tracked = TrackedRequest(fingerprint(run.request, run.body.buffered))
                return await self._attempt(run)
        except TimeoutError:
            reason = Reason.BOX_DRAINED if run.stopping else Reason.DEADLINE_EXPIRED
            if run.may_have_run:
                return Ending(Outcome.UNKNOWN, 504, reason, "no answer in time")
            return Ending(Outcome.NOT_RUN, 503, reason, "no target in time")
        except BodyCutError as error:
            outcome = Outcome.UNKNOWN if run.may_have_run else Outcome.NOT_RUN
            return Ending(outcome, 502, Reason.BODY_BROKEN, str(error))
        except CallerGoneError as error:
            return Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, str(error))

    async def _attempt(self, run: Run) -> Ending:
        """Send the request to one target; try others only while no byte was sent."""
        assert run.kind is not None
        ending: Ending | None = None
        for _ in range(_MAX_CONNECTS):
            selection = await self._attempts.choose(run, run.kind, run.service)
            if selection is None:
                return ending or self._attempts.no_target_refusal(run.service)
            if not self._holds(selection):
                self._selector.release(selection)
                continue
            end = await self._attempts.attempt(
                run, run.kind, selection, may_send=functools.partial(self._holds, selection)
            )
            ending = await self._attempts.handle_end(run, run.kind, selection.instance, end)
            if not isinstance(end, NotSent) or not run.body.resendable:
                return ending
        return ending or self._attempts.no_target_refusal(run.service)

    def _holds(self, selection: Selection) -> bool:
        instance = selection.instance
        return (
            self._accepts_work()
            and not instance.removed
            and self._loop.time() >= instance.backoff_until
        )


def _make_run(
    peer_request: PeerRequest, request: CallerRequest, body: BufferedBody, reply: _PeerReply
) -> Run:
    """Return the state of an accepted request."""
    run = Run(
        replace(request, deadline=request.arrived + peer_request.remaining),
        body,
        reply,
        split_point=0.0,
        first_attempt_at=request.arrived - peer_request.waited,
        kind=_kind(peer_request),
        service=peer_request.service,
        tried_instances=set(peer_request.tried),
    )
    reply.run = run
    return run


def _kind(peer_request: PeerRequest) -> RequestKind:
    """Return the request kind as the sender matched it, with a single attempt."""
    return RequestKind(
        name=peer_request.kind,
        host="",
        prefix="",
        idempotent=peer_request.idempotent,
        upload=False,
        timeout=peer_request.remaining,
        target_latency=peer_request.target_latency,
        attempts=1,
        rank=peer_request.rank,
        shares=(ServiceShare(peer_request.service, 1.0),),
    )


def _refusal(reason: Reason, detail: str) -> PeerResult:
    return PeerResult(PeerOutcome.NOT_SENT, reason=reason, detail=detail)


def _target_of(run: Run | None) -> str:
    """Return the name of the target of the last attempt."""
    selection = run.attempts[-1].selection if run is not None and run.attempts else None
    return "" if selection is None else selection.instance.name


def _result(run: Run, ending: Ending) -> PeerResult:
    """Return what the sender is told of an attempt without an answer."""
    if ending.outcome is Outcome.UNKNOWN:
        outcome = PeerOutcome.UNKNOWN
    elif run.sends:
        outcome = PeerOutcome.NOT_RUN
    else:
        outcome = PeerOutcome.NOT_SENT
    return PeerResult(
        outcome,
        target=_target_of(run),
        crashed=next(iter(run.tracked.crashed), ""),
        status=run.attempts[-1].status if run.attempts else 0,
        reason=ending.reason,
        detail=ending.detail,
    )
