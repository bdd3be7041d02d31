"""Run requests that are not idempotent at most once, also if their callers retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.errors import InvariantError
from dunlinnotch.protocol.answers import parse_idempotency_key
from dunlinnotch.protocol.attempt import CallerGoneError
from dunlinnotch.protocol.outcome import CallResult, Outcome, Reason
from dunlinnotch.state.ledger import Claim, ClaimStatus, IdempotencyLedger, KeyState, StoredAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.protocol.attempt import ReplySink
    from dunlinnotch.protocol.http import AnswerHead, Call
    from dunlinnotch.protocol.outcome import CallResult as Result
    from dunlinnotch.state.ledger import KeyEntry
    from dunlinnotch.types import Address, Clock, Seconds

#: Larger bodies are not stored for retries.
MAX_STORED_BODY_BYTES = 64 * 1024

_BAD_REQUEST = 400
_CONFLICT = 409
_UNAVAILABLE = 503
_RETRY_AFTER_S = 1.0


class IdempotencyGuard:
    """Check idempotency keys and answer retries from the ledger.

    Parameters
    ----------
    ledger : IdempotencyLedger
    box : str
    incarnation : int
    clock : callable
    """

    def __init__(
        self, ledger: IdempotencyLedger, *, box: str, incarnation: int, clock: Clock
    ) -> None:
        self._ledger = ledger
        self._box = box
        self._incarnation = incarnation
        self._clock = clock

    def run(
        self,
        call: Call,
        reply: ReplySink,
        *,
        window: Seconds,
        route: Callable[[ReplySink], Result],
    ) -> CallResult:
        """Run ``route`` if the call's key has not run yet, else answer from the ledger.

        Parameters
        ----------
        call : Call
        reply : ReplySink
        window : float
            Seconds for which a key is valid.
        route : callable
            Sends the call to a target and relays the answer.

        Returns
        -------
        CallResult
            That of ``route``, or a refusal, or that of the answer from the ledger.
        """
        claim = self._claim(call, window)
        if isinstance(claim, CallResult):
            return claim
        entry = claim.entry
        if entry is None:
            msg = f"claim {claim.status} without an entry"
            raise InvariantError(msg)
        if claim.status is ClaimStatus.KNOWN:
            return self._answer_retry(entry, call, reply)
        recorder = _RecordingReply(reply)
        end_recorded = False
        try:
            result = route(recorder)
            self._record_end(entry, result, recorder)
            end_recorded = True
        finally:
            if not end_recorded:
                self._ledger.record_unknown(entry)
        return result

    def may_have_run(self, call: Call) -> bool:
        """Return whether an earlier copy of a call with an idempotency key may have run.

        Only the process named in the key can rule that out, and only while its ledger
        holds all keys of that age.
        """
        key = parse_idempotency_key(call.idempotency_key or "")
        if key is None:
            return False
        if (key.box, key.incarnation) != (self._box, self._incarnation):
            return True
        return self._ledger.may_have_seen(_ledger_key(call), issued_at=key.issued_ms / 1000)

    def _claim(self, call: Call, window: Seconds) -> Claim | CallResult:
        if call.idempotency_key is None:
            detail = (
                "this request kind is not idempotent and requires an idempotency key (once-key)"
            )
            return _not_run(Reason.ONCE_KEY_MISSING, detail)
        key = parse_idempotency_key(call.idempotency_key)
        if key is None:
            return _not_run(
                Reason.ONCE_KEY_INVALID,
                "the idempotency key is invalid; expected the prefix from an address answer, "
                "followed by a suffix of your own",
            )
        if (key.box, key.incarnation) != (self._box, self._incarnation):
            detail = f"only box {key.box}, incarnation {key.incarnation}, may run this key"
            return CallResult(Outcome.UNKNOWN, _CONFLICT, Reason.ONCE_KEY_ELSEWHERE, detail)
        claim = self._ledger.claim(_ledger_key(call), issued_at=key.issued_ms / 1000, window=window)
        if claim.status is ClaimStatus.EXPIRED:
            detail = (
                f"the key is older than {window:g} s; whether the request ran is no longer known"
            )
            return CallResult(Outcome.UNKNOWN, _CONFLICT, Reason.ONCE_KEY_EXPIRED, detail)
        if claim.status is ClaimStatus.FULL:
            detail = "the ledger of idempotency keys is full"
            return CallResult(
                Outcome.NOT_RUN, _UNAVAILABLE, Reason.QUEUE_FULL, detail, _RETRY_AFTER_S
            )
        return claim

    def _record_end(self, entry: KeyEntry, result: CallResult, recorder: _RecordingReply) -> None:
        if result.outcome is Outcome.NOT_RUN:
            self._ledger.release(entry)
        elif recorder.complete and recorder.head is not None:
            self._ledger.record_answer(entry, StoredAnswer(recorder.head, recorder.body()))
        else:
            self._ledger.record_unknown(entry)

    def _answer_retry(self, entry: KeyEntry, call: Call, reply: ReplySink) -> CallResult:
        state = self._ledger.wait(entry, max(0.0, call.deadline - self._clock()))
        if not self._ledger.is_current(entry):
            return _refuse_retry()
        if state is not KeyState.ANSWERED or entry.answer is None:
            detail = "a request with this key was sent to a target and its result is not known"
            return CallResult(Outcome.UNKNOWN, _CONFLICT, Reason.ONCE_KEY_KNOWN, detail)
        if entry.answer.body is None:
            detail = "a request with this key has run; its answer is no longer stored"
            return CallResult(Outcome.ANSWERED, _CONFLICT, Reason.ONCE_KEY_KNOWN, detail)
        reply.begin(entry.answer.head, target="")
        reply.send(entry.answer.body)
        reply.finish()
        return CallResult(Outcome.ANSWERED, entry.answer.head.status, begun=True)


class _RecordingReply:
    """Relay an answer and record a copy of it while it is small.

    Such an answer is read to its end even if the caller has disconnected, because a retry
    may ask for it.
    """

    def __init__(self, reply: ReplySink) -> None:
        self._reply = reply
        self._chunks: list[bytes] | None = []
        self._size = 0
        self._gone = False
        self.head: AnswerHead | None = None
        self.complete = False

    def body(self) -> bytes | None:
        """Return the copy, or None if the body was too large."""
        return None if self._chunks is None else b"".join(self._chunks)

    def begin(self, head: AnswerHead, *, target: Address) -> None:
        """Relay the head."""
        self.head = head
        self._forward(lambda: self._reply.begin(head, target=target))

    def send(self, chunk: bytes) -> None:
        """Relay a part and record it."""
        self._size += len(chunk)
        if self._size > MAX_STORED_BODY_BYTES:
            self._chunks = None
        elif self._chunks is not None:
            self._chunks.append(chunk)
        self._forward(lambda: self._reply.send(chunk))

    def finish(self) -> None:
        """Relay the clean end."""
        self.complete = True
        self._forward(self._reply.finish)

    def _forward(self, action: Callable[[], None]) -> None:
        if self._gone:
            return
        try:
            action()
        except CallerGoneError:
            if self._chunks is None:
                raise
            self._gone = True


def _ledger_key(call: Call) -> str:
    return f"{call.service}/{call.kind}/{call.idempotency_key}"


def _not_run(reason: Reason, detail: str) -> CallResult:
    return CallResult(Outcome.NOT_RUN, _BAD_REQUEST, reason, detail)


def _refuse_retry() -> CallResult:
    detail = "the first request with this key did not run; retry it"
    return CallResult(Outcome.NOT_RUN, _UNAVAILABLE, Reason.ONCE_KEY_KNOWN, detail, _RETRY_AFTER_S)
