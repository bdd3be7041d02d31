"""Ledger of the idempotency keys that this incarnation of the box has received.

An idempotency key names the only box incarnation that may run its request, so the
ledger is held in memory: a request needs no write to a store, and a box that
restarted can't run a key again.  See ``docs/design/at-most-once.md``.
"""

from __future__ import annotations

import math
import threading
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.types import Clock, Seconds

#: Limit of the answer bodies held; beyond it the oldest are dropped.
MAX_STORED_BYTES = 16 * 1024 * 1024
#: Limit of the keys held.  Beyond it new keys are refused: dropping an old key could let
#: its request run twice.
MAX_KEYS = 200_000


class KeyState(Enum):
    """State of the request of an idempotency key."""

    RUNNING = auto()
    ANSWERED = auto()
    UNKNOWN = auto()


class ClaimStatus(Enum):
    """Result of :meth:`IdempotencyLedger.claim`."""

    RUN = auto()
    KNOWN = auto()
    EXPIRED = auto()
    FULL = auto()


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete answer, held for callers that retry the request.

    Parameters
    ----------
    head : AnswerHead
    body : bytes or None
        None if it was too large or has been dropped.
    """

    head: AnswerHead
    body: bytes | None


@dataclass(slots=True, eq=False)
class KeyEntry:
    """Entry of one idempotency key.

    Parameters
    ----------
    key : str
    claimed_at : float
        Time of the claim, in monotonic seconds.
    state : KeyState
    answer : StoredAnswer, optional
    """

    key: str
    claimed_at: Seconds
    state: KeyState = KeyState.RUNNING
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """Result of a claim, with the entry of its key.

    Parameters
    ----------
    status : ClaimStatus
    entry : KeyEntry or None
        The entry if the status is ``RUN`` or ``KNOWN``.
    """

    status: ClaimStatus
    entry: KeyEntry | None = None


class IdempotencyLedger:
    """Lets the request of each idempotency key run at most once in this process.

    Parameters
    ----------
    clock : callable
        The monotonic clock by which keys are issued.
    max_keys : int, default 200000
        Number of keys held above which new ones are refused.

    Notes
    -----
    Thread-safe.  A key is held until ``window`` seconds after its claim and accepted only
    until ``window`` seconds after it was issued, so it is never dropped while it would
    still be accepted.
    """

    def __init__(self, *, clock: Clock, max_keys: int = MAX_KEYS) -> None:
        self._clock = clock
        self._max_keys = max_keys
        self._entries: OrderedDict[str, KeyEntry] = OrderedDict()
        self._stored_bytes = 0
        # Keys issued up to this time may have been claimed and dropped.
        self._dropped_before = -math.inf
        self._changed = threading.Condition()

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, key: str, *, issued_at: Seconds, window: Seconds) -> Claim:
        """Claim the right to run ``key``.

        Parameters
        ----------
        key : str
        issued_at : float
            Time at which the key was issued, by the clock of the ledger.
        window : float
            Seconds for which a key is valid.

        Returns
        -------
        Claim
            ``RUN`` if the request may run, ``KNOWN`` if the key was claimed before,
            ``EXPIRED`` if it is too old or issued in the future, ``FULL`` if the ledger
            can't hold another key.
        """
        with self._changed:
            now = self._clock()
            self._expire(now, window)
            existing = self._entries.get(key)
            if existing is not None:
                return Claim(ClaimStatus.KNOWN, existing)
            if now - issued_at > window or issued_at > now:
                return Claim(ClaimStatus.EXPIRED)
            if len(self._entries) >= self._max_keys:
                return Claim(ClaimStatus.FULL)
            entry = self._entries[key] = KeyEntry(key, now)
            return Claim(ClaimStatus.RUN, entry)

    def release(self, entry: KeyEntry) -> None:
        """Drop the claim of a request that certainly did not run."""
        with self._changed:
            self._entries.pop(entry.key, None)
            entry.state = KeyState.UNKNOWN
            self._changed.notify_all()

    def record_answer(self, entry: KeyEntry, answer: StoredAnswer) -> None:
        """Store the complete answer of a request that ran."""
        with self._changed:
            entry.state = KeyState.ANSWERED
            entry.answer = answer
            self._stored_bytes += len(answer.body or b"")
            self._drop_bodies()
            self._changed.notify_all()

    def record_unknown(self, entry: KeyEntry) -> None:
        """Record that it is unknown whether the request ran."""
        with self._changed:
            entry.state = KeyState.UNKNOWN
            self._changed.notify_all()

    def wait(self, entry: KeyEntry, timeout: Seconds) -> KeyState:
        """Wait until the request of an entry has ended or a timeout; return its state.

        Parameters
        ----------
        entry : KeyEntry
        timeout : float
            Seconds.
        """
        with self._changed:
            self._changed.wait_for(lambda: entry.state is not KeyState.RUNNING, timeout)
            return entry.state

    def is_current(self, entry: KeyEntry) -> bool:
        """Return whether the ledger still holds this entry for its key."""
        return self._entries.get(entry.key) is entry

    def may_have_seen(self, key: str, *, issued_at: Seconds) -> bool:
        """Return whether ``key`` is held, or so old that it may have been dropped."""
        with self._changed:
            return key in self._entries or issued_at <= self._dropped_before

    def _expire(self, now: Seconds, window: Seconds) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.state is KeyState.RUNNING or now - oldest.claimed_at <= window:
                return
            del self._entries[oldest.key]
            self._dropped_before = max(self._dropped_before, oldest.claimed_at)
            if oldest.answer is not None:
                self._stored_bytes -= len(oldest.answer.body or b"")

    def _drop_bodies(self) -> None:
        for entry in self._entries.values():
            if self._stored_bytes <= MAX_STORED_BYTES:
                return
            if entry.answer is not None and entry.answer.body is not None:
                self._stored_bytes -= len(entry.answer.body)
                entry.answer = StoredAnswer(entry.answer.head, None)
