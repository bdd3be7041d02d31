"""Take one call from its acceptance to its end.

The path is written straight down, once for each call's own thread: check,
wait for a target, send, retry where that is safe, relay the answer.
"""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass, field, replace
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.limits import Ticket, TicketState
from dunlinnotch.protocol.attempt import (
    Answered,
    BodyCutError,
    Broken,
    CallerGoneError,
    NotSent,
    Refused,
)
from dunlinnotch.protocol.outcome import CallResult, Outcome, Reason

if TYPE_CHECKING:
    from dunlinnotch.coordination.choosing.least_load import Choice
    from dunlinnotch.coordination.choosing.limits import Grant
    from dunlinnotch.coordination.choosing.pool import ServicePool
    from dunlinnotch.coordination.requests.once import OnceGuard
    from dunlinnotch.coordination.settings.gate import WorkGate
    from dunlinnotch.coordination.settings.tree import SettingsHolder
    from dunlinnotch.protocol.attempt import (
        AttemptResult,
        CallerWatch,
        ReplySink,
        RequestBody,
        TargetTransport,
    )
    from dunlinnotch.protocol.http import Call
    from dunlinnotch.state.schema import Settings
    from dunlinnotch.types import Address, Clock, Seconds

#: Answers up to this size are read whole before their head goes out, in bytes.
_READ_FIRST = 64 * 1024
_NOT_FOUND = 404
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_REQUEST = 400
#: When to come back if nothing better is known, in seconds.
_RETRY_AFTER_S = 1.0

_log = logging.getLogger(__name__)


class PoolDirectory(Protocol):
    """Finds the pool of a service."""

    def pool(self, service: str) -> ServicePool | None:
        """Return the pool, or None if the service has no targets anywhere."""


class CallObserver(Protocol):
    """Is told of the end of each attempt and call, for metrics."""

    def attempt_ended(self, result: AttemptResult, *, why: str, retry: bool) -> None:
        """Note the end of an attempt, and why its target was chosen."""

    def call_ended(
        self, call: Call, result: CallResult, *, waited: Seconds, at_targets: Seconds
    ) -> None:
        """Note the end of a call, its wait and its time with targets, in seconds."""


class _Ending(Enum):
    """How an attempt counts for its target."""

    WELL = auto()
    FAILED = auto()
    DECLINED = auto()


@dataclass(slots=True)
class _Run:
    """One call under way: what it is, who waits for it, and what has happened so far."""

    call: Call
    body: RequestBody
    reply: ReplySink
    watch: CallerWatch
    tried: list[Address] = field(default_factory=list)
    waited: Seconds = 0.0
    at_targets: Seconds = 0.0


class Router:
    """Route calls.

    Parameters
    ----------
    place : str
        The place of this box.
    holder : SettingsHolder
    pools : PoolDirectory
    gate : WorkGate
    once : OnceGuard
    transport : TargetTransport
    observer : CallObserver
    clock : callable
    """

    def __init__(
        self,
        *,
        place: str,
        holder: SettingsHolder,
        pools: PoolDirectory,
        gate: WorkGate,
        once: OnceGuard,
        transport: TargetTransport,
        observer: CallObserver,
        clock: Clock,
    ) -> None:
        self._place = place
        self._holder = holder
        self._pools = pools
        self._gate = gate
        self._once = once
        self._transport = transport
        self._observer = observer
        self._clock = clock

    def route(
        self, call: Call, body: RequestBody, reply: ReplySink, watch: CallerWatch
    ) -> CallResult:
        """Serve one call.

        Parameters
        ----------
        call : Call
        body : RequestBody
        reply : ReplySink
            Gets the target's answer, if one comes; refusals are returned.
        watch : CallerWatch
            Tells whether the caller has gone.

        Returns
        -------
        CallResult
        """
        run = _Run(call, body, reply, watch)
        refusal = self._gate.enter()
        if refusal is not None:
            return self._ended(run, refusal)
        try:
            result = self._checked(run)
        finally:
            self._gate.leave()
        return self._ended(run, result)

    def _checked(self, run: _Run) -> CallResult:
        """Find service and kind; see to once-keys of kinds that may not be repeated."""
        call = run.call
        pool = self._pools.pool(call.service)
        if pool is None:
            detail = f"no service {call.service!r} in the settings"
            return _refused(Reason.SERVICE_UNKNOWN, detail, _NOT_FOUND)
        tree = self._holder.tree
        if not tree.has_kind(call.service, call.kind):
            detail = f"service {call.service!r} has no request kind {call.kind!r}"
            return _refused(Reason.KIND_UNKNOWN, detail, _NOT_FOUND)
        settings = tree.effective(f"{self._place}/{call.service}/{call.kind}")
        if settings.repeatable:
            return self._admitted(run, pool, settings)

        def once(kept: ReplySink) -> CallResult:
            run.reply = kept
            return self._admitted(run, pool, settings)

        return self._once.run(call, run.reply, window=settings.once_window_s, route=once)

    def _admitted(self, run: _Run, pool: ServicePool, settings: Settings) -> CallResult:
        """Send the call to a target, and to others while that is safe."""
        grant = self._wait_for_target(run, pool, settings)
        if isinstance(grant, CallResult):
            return grant
        while True:
            run.tried.append(grant.choice.target.address)
            began = self._clock()
            result = self._attempt(run, grant, settings)
            if isinstance(result, Answered):
                ended = self._relay(run.reply, grant, result, pool)
            else:
                ended = self._not_answered(result, grant, pool)
            run.at_targets += self._clock() - began
            why = grant.choice.reason
            self._observer.attempt_ended(result, why=why, retry=len(run.tried) > 1)
            self._log_choice(run, grant.choice, ended)
            if not self._may_retry(run, ended, settings):
                return ended
            again = pool.again(
                exclude=run.tried, kind=run.call.kind, repeatable=settings.repeatable
            )
            if again is None:
                return ended
            grant = again

    def _wait_for_target(
        self, run: _Run, pool: ServicePool, settings: Settings
    ) -> Grant | CallResult:
        if not pool.usable():
            detail = "no target of the service takes new work"
            return _refused(Reason.NO_TARGET, detail, _UNAVAILABLE)
        now = self._clock()
        if now >= run.call.deadline:
            return _refused(Reason.DEADLINE_EXPIRED, "the deadline had passed", _GATEWAY_TIMEOUT)
        granted = threading.Event()
        ticket = Ticket(
            kind=run.call.kind,
            rank=settings.rank,
            share=settings.share,
            give_up=min(run.call.deadline, now + settings.queue_ms / 1000),
            repeatable=settings.repeatable,
            wake=granted.set,
        )
        come_back = pool.enter(ticket)
        if come_back is None and ticket.state is TicketState.WAITING:
            granted.wait(max(0.0, ticket.give_up - self._clock()))
            come_back = pool.give_up(ticket)
        run.waited = self._clock() - now
        if ticket.grant is None:
            wait = max(come_back or 0.0, _RETRY_AFTER_S)
            return _refused(Reason.QUEUE_FULL, "all targets are full", _UNAVAILABLE, wait)
        return ticket.grant

    def _attempt(self, run: _Run, grant: Grant, settings: Settings) -> AttemptResult:
        if self._clock() >= run.call.deadline:
            return NotSent(Reason.DEADLINE_EXPIRED, "the deadline passed in the queue")
        if run.watch.gone():
            return NotSent(Reason.CALLER_GONE, "the caller left before its request was sent")
        address = grant.choice.target.address
        fresh = not settings.repeatable
        return self._transport.attempt(run.call, address, run.body, run.watch, fresh=fresh)

    def _relay(
        self, reply: ReplySink, grant: Grant, answered: Answered, pool: ServicePool
    ) -> CallResult:
        """Pass an answer to the caller, to its last byte or not cleanly at all."""
        target = grant.choice.target
        pool.heard(target, answered.report)
        ending = _Ending.FAILED if answered.head.status >= _SERVER_ERROR else _Ending.WELL
        whole = False
        begun = False
        try:
            chunks = answered.body.chunks()
            length = answered.head.length
            if length is not None and length <= _READ_FIRST:
                chunks = iter([b"".join(chunks)])
            begun = True
            reply.begin(answered.head, target=target.address)
            for chunk in chunks:
                reply.send(chunk)
            whole = True
            reply.finish()
            return CallResult(Outcome.ANSWERED, answered.head.status, begun=True)
        except BodyCutError as error:
            ending = _Ending.FAILED
            return CallResult(
                Outcome.UNKNOWN, _BAD_GATEWAY, Reason.TARGET_BROKEN, str(error), begun=begun
            )
        except CallerGoneError:
            outcome = Outcome.ANSWERED if whole else Outcome.UNKNOWN
            return CallResult(outcome, 0, Reason.CALLER_GONE, "the caller left", begun=True)
        finally:
            answered.body.close(complete=whole)
            self._finish(pool, grant, ending)

    def _not_answered(
        self, result: NotSent | Refused | Broken, grant: Grant, pool: ServicePool
    ) -> CallResult:
        if isinstance(result, Refused):
            pool.heard(grant.choice.target, result.report)
            self._finish(pool, grant, _Ending.DECLINED)
            detail = f"the target refused: {result.mark}"
            return _refused(Reason.TARGET_REFUSED, detail, _UNAVAILABLE)
        blameless = result.reason in (Reason.CALLER_GONE, Reason.BODY_BROKEN) or (
            isinstance(result, NotSent) and result.reason is Reason.DEADLINE_EXPIRED
        )
        self._finish(pool, grant, _Ending.DECLINED if blameless else _Ending.FAILED)
        late = result.reason is Reason.DEADLINE_EXPIRED
        if isinstance(result, Broken):
            status = _GATEWAY_TIMEOUT if late else _BAD_GATEWAY
            return CallResult(Outcome.UNKNOWN, status, result.reason, result.detail)
        if result.reason is Reason.BODY_BROKEN:
            return _refused(result.reason, result.detail, _BAD_REQUEST)
        return _refused(result.reason, result.detail, _GATEWAY_TIMEOUT if late else _UNAVAILABLE)

    @staticmethod
    def _finish(pool: ServicePool, grant: Grant, ending: _Ending) -> None:
        pool.finish(grant, failed=ending is _Ending.FAILED, counted=ending is not _Ending.DECLINED)

    def _may_retry(self, run: _Run, ended: CallResult, settings: Settings) -> bool:
        """Return whether another target may be tried without harm."""
        if ended.begun or ended.outcome is Outcome.ANSWERED:
            return False
        if ended.outcome is Outcome.UNKNOWN and not settings.repeatable:
            return False
        if ended.reason in (Reason.CALLER_GONE, Reason.DEADLINE_EXPIRED, Reason.BODY_BROKEN):
            return False
        if len(run.tried) >= settings.attempts or not run.body.replayable:
            return False
        return self._clock() < run.call.deadline

    def _log_choice(self, run: _Run, choice: Choice, ended: CallResult) -> None:
        """Log one decision and what came of it, once the answer is out."""
        event(
            _log,
            "route",
            call=run.call.call_id,
            service=run.call.service,
            kind=run.call.kind,
            target=choice.target.address,
            score=round(choice.score, 3),
            why=choice.reason,
            attempt=len(run.tried),
            waited_ms=round(run.waited * 1000, 2),
            took_ms=round((self._clock() - run.call.arrived) * 1000, 2),
            outcome=ended.outcome,
            status=ended.status,
            reason=ended.reason,
            detail=ended.detail,
            version=self._holder.version,
            candidates={c.target.address: round(c.score, 3) for c in choice.candidates},
        )

    def _ended(self, run: _Run, result: CallResult) -> CallResult:
        call = run.call
        if result.outcome is Outcome.NOT_RUN and self._once.may_have_run(call):
            # This copy did not run, but an earlier one may have: its caller must not
            # conclude that the request can be sent anew.
            result = replace(result, outcome=Outcome.UNKNOWN)
        self._observer.call_ended(call, result, waited=run.waited, at_targets=run.at_targets)
        if not run.tried:
            event(
                _log,
                "refused",
                call=call.call_id,
                service=call.service,
                kind=call.kind,
                outcome=result.outcome,
                reason=result.reason,
                detail=result.detail,
                waited_ms=round(run.waited * 1000, 2),
                version=self._holder.version,
            )
        return result


def _refused(
    reason: Reason, detail: str, status: int, retry_after: Seconds | None = None
) -> CallResult:
    if retry_after is None and status == _UNAVAILABLE:
        retry_after = _RETRY_AFTER_S
    return CallResult(Outcome.NOT_RUN, status, reason, detail, retry_after)
