"""Records of requests that crashed targets, and the quarantine of such requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dunlinnotch.types import Clock, Seconds

#: Consecutive crashes after which a request is quarantined.  Fewer also occur by chance
#: for harmless requests that were at the same targets as the one that crashed them.
QUARANTINE_THRESHOLD = 3
#: Bounds of the quarantine, which doubles with each crash beyond the threshold.  It ends
#: because targets may have been fixed in the meantime.
MIN_QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 600.0
#: Age at which crashes and answers are forgotten; longer than any quarantine.
RETENTION_S = 1800.0
#: Limit of the conclusive records kept (quarantined, or answered after crashes).
MAX_CONCLUSIVE_RECORDS = 256
#: Limit of the other records kept; a sweep is due when twice as many are held.
_MAX_OTHER_RECORDS = 256
_SWEEP_THRESHOLD = MAX_CONCLUSIVE_RECORDS + 2 * _MAX_OTHER_RECORDS
_SWEEP_INTERVAL_S = 1.0
#: Tolerance when times are compared: messages between boxes round them.
_ROUNDING_S = 0.002
#: Limit of the targets kept for one request; more than the longest quarantine needs.
MAX_TARGETS_PER_REQUEST = 16


class ServingSpan(NamedTuple):
    """Time span in which a target served a request that was in progress when it crashed.

    Parameters
    ----------
    began, ended : float
        Start of the request and crash of the target, in seconds.
    """

    began: Seconds
    ended: Seconds


@dataclass(slots=True)
class CrashRecord:
    """Targets that crashed while serving one request.

    Parameters
    ----------
    request : str
        One of the fingerprints of the request.
    answers : int, default 0
        Number of answers received after crashes; each discards the crashes before it.
    answered_at : float, default -inf
        Time of the last such answer.
    targets : dict of str to ServingSpan
        Targets that crashed since that answer, by the name of their start.

    Notes
    -----
    Times are in seconds, by the clock of the box that holds the record.
    """

    request: str
    answers: int = 0
    answered_at: Seconds = -math.inf
    targets: dict[str, ServingSpan] = field(default_factory=dict)

    @property
    def last_at(self) -> Seconds:
        """Time of the last crash or answer."""
        return max((self.answered_at, *(span.ended for span in self.targets.values())))

    @property
    def consecutive_crashes(self) -> int:
        """Number of crashes whose serving spans do not overlap.

        Notes
        -----
        Targets that served the request at the same time count once.  A power loss ends
        many targets at once, and a request that many callers send is in progress at all
        of them.
        """
        count, last = 0, -math.inf
        for span in sorted(self.targets.values(), key=_by_end):
            if span.began >= last - _ROUNDING_S:
                count, last = count + 1, span.ended
        return count

    @property
    def quarantined_until(self) -> Seconds:
        """End of the quarantine; -inf if too few targets crashed."""
        beyond = self.consecutive_crashes - QUARANTINE_THRESHOLD
        if beyond < 0:
            return -math.inf
        last = max(span.ended for span in self.targets.values())
        return last + min(MAX_QUARANTINE_S, MIN_QUARANTINE_S * float(2**beyond))

    def quarantine_left(self, now: Seconds) -> Seconds:
        """Return the seconds of quarantine left at ``now``; 0 if the request may be sent."""
        return max(0.0, self.quarantined_until - now)

    @property
    def is_conclusive(self) -> bool:
        """Whether the record causes a quarantine or, by an answer, may end one."""
        return self.answers > 0 or self.consecutive_crashes >= QUARANTINE_THRESHOLD

    @property
    def digest(self) -> int:
        """Hash of the request, its number of answers and its crashed targets."""
        text = "\0".join((self.request, str(self.answers), *sorted(self.targets)))
        return int(xxhash.xxh64_intdigest(text.encode()))

    def merge(self, other: CrashRecord) -> bool:
        """Merge another record of the same request.

        Returns
        -------
        bool
            Whether this record changed.
        """
        if other.answers < self.answers:
            return False
        if other.answers > self.answers:
            self.answers, self.answered_at = other.answers, other.answered_at
            self.targets = dict(other.targets)
            return True
        before = set(self.targets)
        union = {**other.targets, **self.targets}
        latest = sorted(union, key=lambda target: union[target].ended)[-MAX_TARGETS_PER_REQUEST:]
        self.targets = {target: union[target] for target in latest}
        return set(latest) != before

    def forget(self, before: Seconds) -> None:
        """Drop crashes up to the time ``before``."""
        for target in [t for t, span in self.targets.items() if span.ended <= before]:
            del self.targets[target]


def _by_end(span: ServingSpan) -> Seconds:
    return span.ended


class CrashLog:
    """Crash records of all boxes; boxes with equal records quarantine the same requests.

    Parameters
    ----------
    clock : callable
        Clock that keeps running while the box is suspended.

    Notes
    -----
    Records may be merged in any order and repeatedly.  An answer discards all crashes
    before it, since a request that crashes its targets is never answered.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, CrashRecord] = {}
        self._swept_at = -math.inf

    def __len__(self) -> int:
        return len(self._records)

    @property
    def now(self) -> Seconds:
        """Current time of the clock that dates the records."""
        return self._clock()

    @property
    def conclusive(self) -> list[CrashRecord]:
        """Conclusive records that have not expired."""
        now = self._clock()
        return [
            r for r in self._records.values() if r.is_conclusive and r.last_at > now - RETENTION_S
        ]

    @property
    def quarantined(self) -> int:
        """Number of requests in quarantine."""
        now = self._clock()
        return sum(record.quarantined_until > now for record in self._records.values())

    @property
    def digest(self) -> int:
        """Hash over the conclusive records, by which boxes detect that theirs differ."""
        digest = 0
        for record in self.conclusive:
            digest ^= record.digest
        return digest

    def find(self, request: str) -> CrashRecord | None:
        """Return the record of a request, if there is one."""
        return self._records.get(request)

    def record_crashes(
        self, request: str, targets: Mapping[str, ServingSpan]
    ) -> CrashRecord | None:
        """Record targets that crashed while serving a request.

        Returns
        -------
        CrashRecord or None
            The merged record; None if it did not change.
        """
        return self.merge(self.with_crashes(request, targets))

    def with_crashes(self, request: str, targets: Mapping[str, ServingSpan]) -> CrashRecord:
        """Return the record of a request with further crashes, without storing it."""
        existing = self._records.get(request)
        record = CrashRecord(
            request, 0 if existing is None else existing.answers, targets=dict(targets)
        )
        if existing is not None:
            record.merge(existing)
        return record

    def record_answer(self, request: str) -> CrashRecord | None:
        """Record that a target answered a request.

        Returns
        -------
        CrashRecord or None
            The updated record; None if no crash was recorded before the answer.
        """
        existing = self._records.get(request)
        if existing is None or not existing.targets:
            return None
        return self.merge(CrashRecord(request, existing.answers + 1, self._clock()))

    def merge(self, other: CrashRecord) -> CrashRecord | None:
        """Merge a record, from this box or a peer.

        Returns
        -------
        CrashRecord or None
            The merged record; None if ``other`` has expired or added nothing.
        """
        now = self._clock()
        if other.last_at <= now - RETENTION_S:
            return None
        if now - self._swept_at >= _SWEEP_INTERVAL_S or len(self._records) >= _SWEEP_THRESHOLD:
            self._sweep(now)
        existing = self._records.get(other.request) or CrashRecord(other.request)
        if not existing.merge(other):
            return None
        self._records[other.request] = existing
        return existing

    def quarantine_left(self, request: str) -> Seconds:
        """Return the seconds of quarantine left for a request; 0 if it may be sent."""
        existing = self._records.get(request)
        return 0.0 if existing is None else existing.quarantine_left(self._clock())

    def _sweep(self, now: Seconds) -> None:
        """Drop expired records and those beyond the limits.

        Notes
        -----
        Conclusive records are dropped in the order of their requests, which is the same at
        all boxes.  Were each box to drop its oldest, its peers would send them again and
        again.  Other records are sent only when they change, so the oldest are dropped.
        """
        self._swept_at = now
        for request, record in list(self._records.items()):
            record.forget(now - RETENTION_S)
            if record.last_at <= now - RETENTION_S:
                del self._records[request]
        requests = sorted(request for request, r in self._records.items() if r.is_conclusive)
        others = [r for r in self._records.values() if not r.is_conclusive]
        others.sort(key=lambda record: record.last_at, reverse=True)
        for request in (
            *requests[MAX_CONCLUSIVE_RECORDS:],
            *(r.request for r in others[_MAX_OTHER_RECORDS:]),
        ):
            del self._records[request]
