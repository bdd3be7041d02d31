"""Which targets ended under which requests, as far as this box and its peers saw."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dunlinnotch.types import Clock, Seconds

#: A request that ended so many targets, one after the other, is sent to no other: fewer
#: end by chance under requests that only were at the same targets.
QUARANTINE_THRESHOLD = 3
#: How long a request is barred after its third target, and at most, in seconds; each
#: further target doubles it.  Targets may have been mended meanwhile, so it is tried again.
MIN_QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 600.0
#: What was seen counts for so long, in seconds: longer than any bar.
RETENTION_S = 1800.0
#: Requests remembered that are barred, or were answered after targets had ended.
MAX_CONCLUSIVE_RECORDS = 256
#: Other requests remembered: twice as many are let grow before the oldest are dropped.
_MAX_OTHER_RECORDS = 256
_SWEEP_AT = MAX_CONCLUSIVE_RECORDS + 2 * _MAX_OTHER_RECORDS
#: Time between two sweeps, in seconds.
_SWEEP_S = 1.0
#: Times told between boxes are rounded to this, in seconds, each way.
_ROUNDING_S = 0.002
#: Targets remembered for one request: more than the longest bar needs.
MAX_TARGETS_PER_REQUEST = 16


class ServingSpan(NamedTuple):
    """From when until when a target had a request under which it ended."""

    began: Seconds
    ended: Seconds


@dataclass(slots=True)
class CrashRecord:
    """What is known of one request under which targets ended.

    Parameters
    ----------
    request : str
        One of the texts by which the request is known again.
    answers : int, default 0
        How often a target answered it after others had ended under it.
    answered_at : float, default -inf
        When it was last answered so.
    targets : dict of str to ServingSpan
        Starts of targets that ended under it since.

    Notes
    -----
    Times are seconds of the clock of whoever holds the evidence.
    """

    request: str
    answers: int = 0
    answered_at: Seconds = -math.inf
    targets: dict[str, ServingSpan] = field(default_factory=dict)

    @property
    def last_at(self) -> Seconds:
        """When something was last seen of it."""
        return max((self.answered_at, *(span.ended for span in self.targets.values())))

    @property
    def consecutive_crashes(self) -> int:
        """How many targets ended one after the other.

        Notes
        -----
        Targets that had the request at the same time count as one: where many end at
        once, by a loss of power, a request that many callers send is at all of them.
        """
        count, last = 0, -math.inf
        for span in sorted(self.targets.values(), key=_by_end):
            if span.began >= last - _ROUNDING_S:
                count, last = count + 1, span.ended
        return count

    @property
    def quarantined_until(self) -> Seconds:
        """Until when the request is to be sent to no target; -inf if it may be sent."""
        beyond = self.consecutive_crashes - QUARANTINE_THRESHOLD
        if beyond < 0:
            return -math.inf
        last = max(span.ended for span in self.targets.values())
        return last + min(MAX_QUARANTINE_S, MIN_QUARANTINE_S * float(2**beyond))

    def quarantine_left(self, now: Seconds) -> Seconds:
        """Return how long the request is to be sent to no target; 0 if it may be sent."""
        return max(0.0, self.quarantined_until - now)

    @property
    def is_conclusive(self) -> bool:
        """Whether it decides something: a request is barred, or it was answered."""
        return self.answers > 0 or self.consecutive_crashes >= QUARANTINE_THRESHOLD

    @property
    def digest(self) -> int:
        """A number that is equal where the same was seen."""
        seen = "\0".join((self.request, str(self.answers), *sorted(self.targets)))
        return int(xxhash.xxh64_intdigest(seen.encode()))

    def merge(self, other: CrashRecord) -> bool:
        """Take in what somebody else saw of the same request; return whether it was new."""
        if other.answers < self.answers:
            return False
        if other.answers > self.answers:
            self.answers, self.answered_at = other.answers, other.answered_at
            self.targets = dict(other.targets)
            return True
        before = set(self.targets)
        union = {**other.targets, **self.targets}
        youngest = sorted(union, key=lambda target: union[target].ended)[-MAX_TARGETS_PER_REQUEST:]
        self.targets = {target: union[target] for target in youngest}
        return set(youngest) != before

    def forget(self, before: Seconds) -> None:
        """Drop what was seen before a moment."""
        for target in [t for t, span in self.targets.items() if span.ended <= before]:
            del self.targets[target]


def _by_end(span: ServingSpan) -> Seconds:
    return span.ended


class CrashLog:
    """The evidence of all boxes; boxes that hold the same judge alike.

    Parameters
    ----------
    clock : callable
        Goes on while the box is suspended.

    Notes
    -----
    Evidence may arrive in any order, by any way and more than once.  An answer takes back
    all that was seen before it: requests that end their targets are never answered.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, CrashRecord] = {}
        self._swept_at = -math.inf

    def __len__(self) -> int:
        return len(self._seen)

    @property
    def now(self) -> Seconds:
        """The time by which evidence is dated."""
        return self._clock()

    @property
    def conclusive(self) -> list[CrashRecord]:
        """The evidence that bars a request, or takes back what others may hold."""
        now = self._clock()
        return [e for e in self._seen.values() if e.is_conclusive and e.last_at > now - RETENTION_S]

    @property
    def quarantined(self) -> int:
        """How many requests are to be sent to no target."""
        now = self._clock()
        return sum(evidence.quarantined_until > now for evidence in self._seen.values())

    @property
    def digest(self) -> int:
        """A number that is equal where two boxes bar the same requests for the same reasons."""
        digest = 0
        for evidence in self.conclusive:
            digest ^= evidence.digest
        return digest

    def find(self, request: str) -> CrashRecord | None:
        """Return the evidence on a request."""
        return self._seen.get(request)

    def record_crashes(
        self, request: str, targets: Mapping[str, ServingSpan]
    ) -> CrashRecord | None:
        """Note targets that ended under a request; return the evidence if it is new."""
        return self.merge(self.with_crashes(request, targets))

    def with_crashes(self, request: str, targets: Mapping[str, ServingSpan]) -> CrashRecord:
        """Return what would be known with further targets, without noting them."""
        known = self._seen.get(request)
        evidence = CrashRecord(
            request, 0 if known is None else known.answers, targets=dict(targets)
        )
        if known is not None:
            evidence.merge(known)
        return evidence

    def record_answer(self, request: str) -> CrashRecord | None:
        """Note that a target answered a request; return the evidence if that is new."""
        known = self._seen.get(request)
        if known is None or not known.targets:
            return None
        return self.merge(CrashRecord(request, known.answers + 1, self._clock()))

    def merge(self, other: CrashRecord) -> CrashRecord | None:
        """Take in evidence; return all that is known of its request if some was new."""
        now = self._clock()
        if other.last_at <= now - RETENTION_S:
            return None
        if now - self._swept_at >= _SWEEP_S or len(self._seen) >= _SWEEP_AT:
            self._sweep(now)
        known = self._seen.get(other.request) or CrashRecord(other.request)
        if not known.merge(other):
            return None
        self._seen[other.request] = known
        return known

    def quarantine_left(self, request: str) -> Seconds:
        """Return how long a request is to be sent to no target; 0 if it may be sent."""
        known = self._seen.get(request)
        return 0.0 if known is None else known.quarantine_left(self._clock())

    def _sweep(self, now: Seconds) -> None:
        """Drop what has lapsed, and what is too much.

        Notes
        -----
        Of settled evidence all boxes drop the same: what one dropped by its age would come
        back from the others.  The rest is passed on only where it is new.
        """
        self._swept_at = now
        for request, evidence in list(self._seen.items()):
            evidence.forget(now - RETENTION_S)
            if evidence.last_at <= now - RETENTION_S:
                del self._seen[request]
        settled = sorted(r for r, e in self._seen.items() if e.is_conclusive)
        others = [e for e in self._seen.values() if not e.is_conclusive]
        others.sort(key=lambda evidence: evidence.last_at, reverse=True)
        for request in (
            *settled[MAX_CONCLUSIVE_RECORDS:],
            *(e.request for e in others[_MAX_OTHER_RECORDS:]),
        ):
            del self._seen[request]
