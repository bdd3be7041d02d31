"""Once-keys that this box incarnation has seen, and what became of them.

A once-key names the one box incarnation that may run it, so the memory of
that process is enough: no store is written on the way of a call, and a box
that died can't run a key again.  See ``docs/design/at-most-once.md``.
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

#: Bytes of kept answers over which the oldest bodies are dropped.
MAX_STORED_BYTES = 16 * 1024 * 1024
#: Keys remembered; over it new keys are refused, never old ones forgotten.
MAX_KEYS = 200_000


class KeyState(Enum):
    """What is known of a once-key."""

    RUNNING = auto()
    ANSWERED = auto()
    UNKNOWN = auto()


class ClaimStatus(Enum):
    """What a caller that presents a key may do."""

    RUN = auto()
    KNOWN = auto()
    EXPIRED = auto()
    FULL = auto()


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer kept for callers that ask again.

    Parameters
    ----------
    head : AnswerHead
    body : bytes or None
        ``None`` if it was too large or has been dropped.
    """

    head: AnswerHead
    body: bytes | None


@dataclass(slots=True, eq=False)
class KeyEntry:
    """One remembered key."""

    key: str
    claimed_at: Seconds
    state: KeyState = KeyState.RUNNING
    answer: StoredAnswer | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """The answer to a claim.

    Parameters
    ----------
    status : ClaimStatus
    entry : KeyEntry or None
        The entry for ``RUN`` and ``KNOWN``.
    """

    status: ClaimStatus
    entry: KeyEntry | None = None


class IdempotencyLedger:
    """Let each once-key run at most once in this process.

    Parameters
    ----------
    clock : callable
        The same monotonic clock from which stems are minted.
    max_keys : int, default 200000

    Notes
    -----
    Thread-safe.  A key is remembered until ``window`` seconds after it was
    minted *and* claimed, and refused once it is older than ``window``, so it
    can't be forgotten while it would still be accepted.
    """

    def __init__(self, *, clock: Clock, max_keys: int = MAX_KEYS) -> None:
        self._clock = clock
        self._keys_max = max_keys
        self._entries: OrderedDict[str, KeyEntry] = OrderedDict()
        self._kept_bytes = 0
        # Keys minted up to here may have been claimed, and forgotten since.
        self._forgotten_before = -math.inf
        self._changed = threading.Condition()

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, key: str, *, issued_at: Seconds, window: Seconds) -> Claim:
        """Claim the right to run ``key``.

        Parameters
        ----------
        key : str
        issued_at : float
            When its stem was made, by this ledger's clock.
        window : float
            Seconds for which a key is valid.
        """
        with self._changed:
            now = self._clock()
            self._expire(now, window)
            known = self._entries.get(key)
            if known is not None:
                return Claim(ClaimStatus.KNOWN, known)
            if now - issued_at > window or issued_at > now:
                return Claim(ClaimStatus.EXPIRED)
            if len(self._entries) >= self._keys_max:
                return Claim(ClaimStatus.FULL)
            entry = self._entries[key] = KeyEntry(key, now)
            return Claim(ClaimStatus.RUN, entry)

    def release(self, entry: KeyEntry) -> None:
        """Forget a claim whose request positively did not run."""
        with self._changed:
            self._entries.pop(entry.key, None)
            entry.state = KeyState.UNKNOWN
            self._changed.notify_all()

    def record_answer(self, entry: KeyEntry, answer: StoredAnswer) -> None:
        """Keep the whole answer of a request that ran."""
        with self._changed:
            entry.state = KeyState.ANSWERED
            entry.answer = answer
            self._kept_bytes += len(answer.body or b"")
            self._drop_bodies()
            self._changed.notify_all()

    def record_unknown(self, entry: KeyEntry) -> None:
        """Note that nobody knows whether the request ran."""
        with self._changed:
            entry.state = KeyState.UNKNOWN
            self._changed.notify_all()

    def wait(self, entry: KeyEntry, timeout: Seconds) -> KeyState:
        """Wait for a running twin to end; return its state then."""
        with self._changed:
            self._changed.wait_for(lambda: entry.state is not KeyState.RUNNING, timeout)
            return entry.state

    def is_current(self, entry: KeyEntry) -> bool:
        """Return whether the entry is still the one remembered for its key."""
        return self._entries.get(entry.key) is entry

    def may_have_seen(self, key: str, *, issued_at: Seconds) -> bool:
        """Return whether ``key`` is remembered, or so old that it may have been forgotten."""
        with self._changed:
            return key in self._entries or issued_at <= self._forgotten_before

    def _expire(self, now: Seconds, window: Seconds) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.state is KeyState.RUNNING or now - oldest.claimed_at <= window:
                return
            del self._entries[oldest.key]
            self._forgotten_before = max(self._forgotten_before, oldest.claimed_at)
            if oldest.answer is not None:
                self._kept_bytes -= len(oldest.answer.body or b"")

    def _drop_bodies(self) -> None:
        for entry in self._entries.values():
            if self._kept_bytes <= MAX_STORED_BYTES:
                return
            if entry.answer is not None and entry.answer.body is not None:
                self._kept_bytes -= len(entry.answer.body)
                entry.answer = StoredAnswer(entry.answer.head, None)
