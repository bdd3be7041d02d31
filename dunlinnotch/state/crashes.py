"""Which targets ended under which requests, as far as this box and its peers saw."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dunlinnotch.types import Clock, Seconds

#: A request under which so many targets have ended is sent to no other: fewer end by
#: chance under requests that only were at the same targets.
BAR_AT = 3
#: What was seen counts for so long, in seconds: targets are mended or replaced by a
#: release, and then the request is tried again.
KEEP_S = 600.0
#: Requests remembered; those that are barred are forgotten last.
REQUESTS_MOST = 256
#: Targets remembered for one request.
TARGETS_MOST = 8


@dataclass(slots=True)
class Evidence:
    """What is known of one request under which targets ended.

    Parameters
    ----------
    request : str
        The request's fingerprint.
    answers : int, default 0
        How often a target answered it after others had ended under it.
    answered_at : float, default -inf
        When it was last answered so.
    targets : dict of str to float
        Starts of targets that ended under it since, and when that was seen.

    Notes
    -----
    Times are seconds of the clock of whoever holds the evidence.
    """

    request: str
    answers: int = 0
    answered_at: Seconds = -math.inf
    targets: dict[str, Seconds] = field(default_factory=dict)

    @property
    def last_at(self) -> Seconds:
        """When something was last seen of it."""
        return max((self.answered_at, *self.targets.values()))

    @property
    def barred_until(self) -> Seconds:
        """Until when the request is to be sent to no target; 0 if it may be sent."""
        if len(self.targets) < BAR_AT:
            return 0.0
        return sorted(self.targets.values())[-BAR_AT] + KEEP_S

    @property
    def digest(self) -> int:
        """A number that is equal where the same was seen."""
        seen = "\0".join((self.request, str(self.answers), *sorted(self.targets)))
        return int(xxhash.xxh64_intdigest(seen.encode()))

    def merge(self, other: Evidence) -> bool:
        """Take in what somebody else saw of the same request; return whether it was new."""
        if other.answers < self.answers:
            return False
        if other.answers > self.answers:
            self.answers, self.answered_at = other.answers, other.answered_at
            self.targets = dict(other.targets)
            return True
        union = {**other.targets, **self.targets}
        # Whatever the order of arrival, the same ones are kept.
        kept = sorted(union)[:TARGETS_MOST]
        changed = set(kept) != set(self.targets)
        self.targets = {target: union[target] for target in kept}
        return changed

    def forget(self, before: Seconds) -> None:
        """Drop what was seen before a moment."""
        for target in [target for target, at in self.targets.items() if at <= before]:
            del self.targets[target]


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
        self._seen: dict[str, Evidence] = {}

    def __len__(self) -> int:
        return len(self._seen)

    def __iter__(self) -> Iterator[Evidence]:
        """Yield the evidence that still counts."""
        self._forget()
        return iter(list(self._seen.values()))

    @property
    def now(self) -> Seconds:
        """The time by which evidence is dated."""
        return self._clock()

    @property
    def barred(self) -> int:
        """How many requests are to be sent to no target."""
        now = self._clock()
        return sum(evidence.barred_until > now for evidence in self)

    @property
    def digest(self) -> int:
        """A number that is equal where two boxes hold the same evidence; 0 for none."""
        digest = 0
        for evidence in self:
            digest ^= evidence.digest
        return digest

    def find(self, request: str) -> Evidence | None:
        """Return the evidence on a request."""
        return self._seen.get(request)

    def note_ended(self, request: str, targets: Iterable[str]) -> Evidence | None:
        """Note targets that ended under a request; return the evidence if it is new."""
        known = self._seen.get(request)
        answers = 0 if known is None else known.answers
        now = self._clock()
        return self.merge(Evidence(request, answers, targets=dict.fromkeys(targets, now)))

    def note_answered(self, request: str) -> Evidence | None:
        """Note that a target answered a request; return the evidence if that is new."""
        known = self._seen.get(request)
        if known is None or not known.targets:
            return None
        return self.merge(Evidence(request, known.answers + 1, self._clock()))

    def merge(self, other: Evidence) -> Evidence | None:
        """Take in evidence; return all that is known of its request if some was new."""
        self._forget()
        if other.last_at <= self._clock() - KEEP_S:
            return None
        known = self._seen.get(other.request)
        if known is None:
            known = self._seen[other.request] = Evidence(other.request)
        return known if known.merge(other) else None

    def barred_for(self, request: str) -> Seconds:
        """Return how long a request is to be sent to no target; 0 if it may be sent."""
        known = self._seen.get(request)
        return 0.0 if known is None else max(0.0, known.barred_until - self._clock())

    def _forget(self) -> None:
        """Drop what has lapsed, and the oldest where there is too much."""
        oldest = self._clock() - KEEP_S
        for request, evidence in list(self._seen.items()):
            evidence.forget(oldest)
            if evidence.last_at <= oldest:
                del self._seen[request]
        while len(self._seen) > REQUESTS_MOST:
            del self._seen[min(self._seen.values(), key=_worth_keeping).request]


def _worth_keeping(evidence: Evidence) -> tuple[bool, Seconds]:
    return (evidence.barred_until > 0, evidence.last_at)
