"""Run a request that may not be repeated at most once, whatever its caller does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.errors import InvariantError
from dunlinnotch.protocol.answers import parse_once_key
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

#: Largest body kept for callers that ask again, in bytes.
KEPT_BODY = 64 * 1024

_BAD_REQUEST = 400
_CONFLICT = 409
_UNAVAILABLE = 503
_RETRY_AFTER_S = 1.0


class OnceGuard:
    """Check once-keys and answer repeats from the ledger.

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
        """Run ``route`` if this call's key was never run, else answer from memory.

        Parameters
        ----------
        call : Call
        reply : ReplySink
        window : float
            Seconds for which a key is valid.
        route : callable
            Sends the call to a target and relays the answer.
        """
        claim = self._claim(call, window)
        if isinstance(claim, CallResult):
            return claim
        entry = claim.entry
        if entry is None:
            msg = f"claim {claim.status} without an entry"
            raise InvariantError(msg)
        if claim.status is ClaimStatus.KNOWN:
            return self._answer_twin(entry, call, reply)
        keeper = _Keeper(reply)
        settled = False
        try:
            result = route(keeper)
            self._settle(entry, result, keeper)
            settled = True
        finally:
            if not settled:
                self._ledger.record_unknown(entry)
        return result

    def may_have_run(self, call: Call) -> bool:
        """Return whether an earlier copy of a call with a once-key may have run.

        Only the process that a key names can tell that it was never run, and
        only while it remembers all keys of that age.
        """
        key = parse_once_key(call.once_key or "")
        if key is None:
            return False
        if (key.box, key.incarnation) != (self._box, self._incarnation):
            return True
        return self._ledger.may_have_seen(_name(call), issued_at=key.minted_ms / 1000)

    def _claim(self, call: Call, window: Seconds) -> Claim | CallResult:
        if call.once_key is None:
            detail = "this request kind may not be repeated and needs a once-key"
            return _not_run(Reason.ONCE_KEY_MISSING, detail)
        key = parse_once_key(call.once_key)
        if key is None:
            return _not_run(
                Reason.ONCE_KEY_INVALID,
                "expected the stem from an address answer and a part of your own",
            )
        if (key.box, key.incarnation) != (self._box, self._incarnation):
            detail = f"only box {key.box}, incarnation {key.incarnation}, may run this key"
            return CallResult(Outcome.UNKNOWN, _CONFLICT, Reason.ONCE_KEY_ELSEWHERE, detail)
        claim = self._ledger.claim(_name(call), issued_at=key.minted_ms / 1000, window=window)
        if claim.status is ClaimStatus.EXPIRED:
            detail = f"the key is older than {window:g} s; whether it ran is no longer known"
            return CallResult(Outcome.UNKNOWN, _CONFLICT, Reason.ONCE_KEY_EXPIRED, detail)
        if claim.status is ClaimStatus.FULL:
            detail = "too many once-keys are remembered"
            return CallResult(
                Outcome.NOT_RUN, _UNAVAILABLE, Reason.QUEUE_FULL, detail, _RETRY_AFTER_S
            )
        return claim

    def _settle(self, entry: KeyEntry, result: CallResult, keeper: _Keeper) -> None:
        if result.outcome is Outcome.NOT_RUN:
            self._ledger.release(entry)
        elif keeper.whole and keeper.head is not None:
            self._ledger.record_answer(entry, StoredAnswer(keeper.head, keeper.body()))
        else:
            self._ledger.record_unknown(entry)

    def _answer_twin(self, entry: KeyEntry, call: Call, reply: ReplySink) -> CallResult:
        state = self._ledger.wait(entry, max(0.0, call.deadline - self._clock()))
        if not self._ledger.is_current(entry):
            return _refused_twin()
        if state is not KeyState.ANSWERED or entry.answer is None:
            detail = "a request with this key was sent on and its end is not known"
            return CallResult(Outcome.UNKNOWN, _CONFLICT, Reason.ONCE_KEY_KNOWN, detail)
        if entry.answer.body is None:
            detail = "a request with this key has run; its answer is no longer kept"
            return CallResult(Outcome.ANSWERED, _CONFLICT, Reason.ONCE_KEY_KNOWN, detail)
        reply.begin(entry.answer.head, target="")
        reply.send(entry.answer.body)
        reply.finish()
        return CallResult(Outcome.ANSWERED, entry.answer.head.status, begun=True)


class _Keeper:
    """Pass an answer on and keep a copy of it while it is small.

    A caller that has gone is no reason to stop reading: a repeat may ask
    for the answer.
    """

    def __init__(self, reply: ReplySink) -> None:
        self._reply = reply
        self._parts: list[bytes] | None = []
        self._size = 0
        self._gone = False
        self.head: AnswerHead | None = None
        self.whole = False

    def body(self) -> bytes | None:
        """Return the copy, or None if the body was too large."""
        return None if self._parts is None else b"".join(self._parts)

    def begin(self, head: AnswerHead, *, target: Address) -> None:
        """Pass the head on."""
        self.head = head
        self._pass(lambda: self._reply.begin(head, target=target))

    def send(self, chunk: bytes) -> None:
        """Pass a part on and keep it."""
        self._size += len(chunk)
        if self._size > KEPT_BODY:
            self._parts = None
        elif self._parts is not None:
            self._parts.append(chunk)
        self._pass(lambda: self._reply.send(chunk))

    def finish(self) -> None:
        """Pass the clean end on."""
        self.whole = True
        self._pass(self._reply.finish)

    def _pass(self, action: Callable[[], None]) -> None:
        if self._gone:
            return
        try:
            action()
        except CallerGoneError:
            if self._parts is None:
                raise
            self._gone = True


def _name(call: Call) -> str:
    return f"{call.service}/{call.kind}/{call.once_key}"


def _not_run(reason: Reason, detail: str) -> CallResult:
    return CallResult(Outcome.NOT_RUN, _BAD_REQUEST, reason, detail)


def _refused_twin() -> CallResult:
    detail = "the first request with this key did not run; ask again"
    return CallResult(Outcome.NOT_RUN, _UNAVAILABLE, Reason.ONCE_KEY_KNOWN, detail, _RETRY_AFTER_S)
