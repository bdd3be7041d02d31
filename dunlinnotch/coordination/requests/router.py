"""Route one call to a target, on the thread of the call.

The steps are: validate, wait for a target, send, retry where that is safe, and relay the
answer.
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
    from dunlinnotch.coordination.requests.idempotency import IdempotencyGuard
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

#: Answers up to this size are read completely before their head is relayed.
_MAX_BUFFERED_ANSWER_BYTES = 64 * 1024
_NOT_FOUND = 404
_SERVER_ERROR = 500
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_BAD_REQUEST = 400
_DEFAULT_RETRY_AFTER_S = 1.0

_log = logging.getLogger(__name__)


class PoolDirectory(Protocol):
    """Finds the pool of a service."""

    def pool(self, service: str) -> ServicePool | None:
        """Return the pool, or None if the service has no targets anywhere."""


class CallObserver(Protocol):
    """Observes the end of each attempt and call, for metrics."""

    def attempt_ended(self, result: AttemptResult, *, why: str, retry: bool) -> None:
        """Record the end of an attempt and why its target was chosen."""

    def call_ended(
        self, call: Call, result: CallResult, *, waited: Seconds, at_targets: Seconds
    ) -> None:
        """Record the end of a call.

        Parameters
        ----------
        call : Call
        result : CallResult
        waited, at_targets : float
            Seconds spent in the queue and at targets.
        """


class _AttemptVerdict(Enum):
    """How an attempt counts for its target."""

    SUCCEEDED = auto()
    FAILED = auto()
    DECLINED = auto()


@dataclass(slots=True)
class _Run:
    """State of one call in progress.

    Parameters
    ----------
    call : Call
    body : RequestBody
    reply : ReplySink
    watch : CallerWatch
    tried : list of str
        Addresses of the targets that the call has been sent to.
    waited, at_targets : float
        Seconds spent in the queue and at targets so far.
    """

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
    idempotency : IdempotencyGuard
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
        idempotency: IdempotencyGuard,
        transport: TargetTransport,
        observer: CallObserver,
        clock: Clock,
    ) -> None:
        self._place = place
        self._holder = holder
        self._pools = pools
        self._gate = gate
        self._idempotency = idempotency
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
            Receives the target's answer, if there is one; refusals are returned.
        watch : CallerWatch
            Reports whether the caller has disconnected.

        Returns
        -------
        CallResult
        """
        run = _Run(call, body, reply, watch)
        refusal = self._gate.enter()
        if refusal is not None:
            return self._complete(run, refusal)
        try:
            result = self._validate_and_route(run)
        finally:
            self._gate.leave()
        return self._complete(run, result)

    def _validate_and_route(self, run: _Run) -> CallResult:
        """Find service and kind; check the idempotency key if the kind is not idempotent."""
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
            return self._attempt_until_settled(run, pool, settings)

        def route_once(recording_reply: ReplySink) -> CallResult:
            run.reply = recording_reply
            return self._attempt_until_settled(run, pool, settings)

        return self._idempotency.run(
            call, run.reply, window=settings.once_window_s, route=route_once
        )

    def _attempt_until_settled(
        self, run: _Run, pool: ServicePool, settings: Settings
    ) -> CallResult:
        """Send the call to a target, and retry at others while that is safe."""
        grant = self._wait_for_target(run, pool, settings)
        if isinstance(grant, CallResult):
            return grant
        while True:
            run.tried.append(grant.choice.target.address)
            began = self._clock()
            result = self._attempt(run, grant, settings)
            if isinstance(result, Answered):
                call_result = self._relay(run.reply, grant, result, pool)
            else:
                call_result = self._failure_result(result, grant, pool)
            run.at_targets += self._clock() - began
            why = grant.choice.reason
            self._observer.attempt_ended(result, why=why, retry=len(run.tried) > 1)
            self._log_choice(run, grant.choice, call_result)
            if not self._may_retry(run, call_result, settings):
                return call_result
            next_grant = pool.choose_retry(
                exclude=run.tried, kind=run.call.kind, idempotent=settings.repeatable
            )
            if next_grant is None:
                return call_result
            grant = next_grant

    def _wait_for_target(
        self, run: _Run, pool: ServicePool, settings: Settings
    ) -> Grant | CallResult:
        if not pool.has_usable_target():
            detail = "no target of the service accepts new calls"
            return _refused(Reason.NO_TARGET, detail, _UNAVAILABLE)
        now = self._clock()
        if now >= run.call.deadline:
            return _refused(Reason.DEADLINE_EXPIRED, "the deadline had passed", _GATEWAY_TIMEOUT)
        granted = threading.Event()
        ticket = Ticket(
            kind=run.call.kind,
            rank=settings.rank,
            share=settings.share,
            queue_deadline=min(run.call.deadline, now + settings.queue_ms / 1000),
            idempotent=settings.repeatable,
            on_granted=granted.set,
        )
        retry_delay = pool.enter(ticket)
        if retry_delay is None and ticket.state is TicketState.WAITING:
            granted.wait(max(0.0, ticket.queue_deadline - self._clock()))
            retry_delay = pool.cancel(ticket)
        run.waited = self._clock() - now
        if ticket.grant is None:
            wait = max(retry_delay or 0.0, _DEFAULT_RETRY_AFTER_S)
            return _refused(Reason.QUEUE_FULL, "all targets are saturated", _UNAVAILABLE, wait)
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
        """Relay an answer; one that breaks off never ends cleanly for the caller."""
        target = grant.choice.target
        pool.record_report(target, answered.report)
        verdict = (
            _AttemptVerdict.FAILED
            if answered.head.status >= _SERVER_ERROR
            else _AttemptVerdict.SUCCEEDED
        )
        complete = False
        begun = False
        try:
            chunks = answered.body.chunks()
            length = answered.head.length
            if length is not None and length <= _MAX_BUFFERED_ANSWER_BYTES:
                chunks = iter([b"".join(chunks)])
            begun = True
            reply.begin(answered.head, target=target.address)
            for chunk in chunks:
                reply.send(chunk)
            complete = True
            reply.finish()
            return CallResult(Outcome.ANSWERED, answered.head.status, begun=True)
        except BodyCutError as error:
            verdict = _AttemptVerdict.FAILED
            return CallResult(
                Outcome.UNKNOWN, _BAD_GATEWAY, Reason.TARGET_BROKEN, str(error), begun=begun
            )
        except CallerGoneError:
            outcome = Outcome.ANSWERED if complete else Outcome.UNKNOWN
            return CallResult(outcome, 0, Reason.CALLER_GONE, "the caller left", begun=True)
        finally:
            answered.body.close(complete=complete)
            self._finish(pool, grant, verdict)

    def _failure_result(
        self, result: NotSent | Refused | Broken, grant: Grant, pool: ServicePool
    ) -> CallResult:
        if isinstance(result, Refused):
            pool.record_report(grant.choice.target, result.report)
            self._finish(pool, grant, _AttemptVerdict.DECLINED)
            detail = f"the target refused: {result.mark}"
            return _refused(Reason.TARGET_REFUSED, detail, _UNAVAILABLE)
        target_not_at_fault = result.reason in (Reason.CALLER_GONE, Reason.BODY_BROKEN) or (
            isinstance(result, NotSent) and result.reason is Reason.DEADLINE_EXPIRED
        )
        self._finish(
            pool, grant, _AttemptVerdict.DECLINED if target_not_at_fault else _AttemptVerdict.FAILED
        )
        timed_out = result.reason is Reason.DEADLINE_EXPIRED
        if isinstance(result, Broken):
            status = _GATEWAY_TIMEOUT if timed_out else _BAD_GATEWAY
            return CallResult(Outcome.UNKNOWN, status, result.reason, result.detail)
        if result.reason is Reason.BODY_BROKEN:
            return _refused(result.reason, result.detail, _BAD_REQUEST)
        return _refused(
            result.reason, result.detail, _GATEWAY_TIMEOUT if timed_out else _UNAVAILABLE
        )

    @staticmethod
    def _finish(pool: ServicePool, grant: Grant, verdict: _AttemptVerdict) -> None:
        pool.finish(
            grant,
            failed=verdict is _AttemptVerdict.FAILED,
            counted=verdict is not _AttemptVerdict.DECLINED,
        )

    def _may_retry(self, run: _Run, call_result: CallResult, settings: Settings) -> bool:
        """Return whether the call may be retried at another target."""
        if call_result.begun or call_result.outcome is Outcome.ANSWERED:
            return False
        if call_result.outcome is Outcome.UNKNOWN and not settings.repeatable:
            return False
        if call_result.reason in (Reason.CALLER_GONE, Reason.DEADLINE_EXPIRED, Reason.BODY_BROKEN):
            return False
        if len(run.tried) >= settings.attempts or not run.body.replayable:
            return False
        return self._clock() < run.call.deadline

    def _log_choice(self, run: _Run, choice: Choice, call_result: CallResult) -> None:
        """Log the choice of a target and the result of the attempt."""
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
            outcome=call_result.outcome,
            status=call_result.status,
            reason=call_result.reason,
            detail=call_result.detail,
            version=self._holder.version,
            candidates={c.target.address: round(c.score, 3) for c in choice.candidates},
        )

    def _complete(self, run: _Run, result: CallResult) -> CallResult:
        call = run.call
        if result.outcome is Outcome.NOT_RUN and self._idempotency.may_have_run(call):
            # This copy did not run, but an earlier one may have, so the caller must not
            # conclude that it is safe to send the request again.
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
        retry_after = _DEFAULT_RETRY_AFTER_S
    return CallResult(Outcome.NOT_RUN, status, reason, detail, retry_after)
