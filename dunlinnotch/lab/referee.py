"""Check the promises from what callers and targets saw.

A finding names the promise, the attempt or target, and what was seen.  What a
box did while it was killed, frozen, stopped or cut off from the store, and for
``contact`` seconds after, is excused where a promise holds in time only.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from dunlinnotch.lab.day import PLANNED, TroubleKind
from dunlinnotch.lab.fleet import prefix_of
from dunlinnotch.standins.users.caller import PROMISES, AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dunlinnotch.lab.day import Day
    from dunlinnotch.lab.fleet import Target
    from dunlinnotch.standins.users.caller import AttemptRecord
    from dunlinnotch.standins.users.worker import Ran
    from dunlinnotch.types import Seconds

#: Time beyond a bound that is put down to timers, in seconds.
_SLACK_S = 0.3
#: A request that was cut later than so many seconds after it was sent had been read.
_READ_S = 0.2
#: Time by which an attempt may be held beyond what its caller gave it, in seconds.
_HELD_S = 0.5
#: Targets that may end under one request before all boxes are to know it, and after.
_ENDED_MOST = 3
#: Share that is to be served once all troubles are over.
_RECOVERED = 0.9
#: Requests in the time after the troubles that make that share worth a word.
_ENOUGH = 20


class Promise(StrEnum):
    """What must hold."""

    #: The whole answer, to its own request only.
    WHOLE = "whole-answer"
    #: Nothing runs that no caller sent, or not as it was sent.
    AS_SENT = "as-sent"
    #: What may not be repeated runs at most once.
    ONCE = "at-most-once"
    #: What is refused as not run has not run.
    NOT_RUN = "refused-as-not-run"
    #: A leaving target gets nothing new.
    DRAIN = "drain"
    #: A change of the settings is in force everywhere and stays so.
    SETTINGS = "settings-in-force"
    #: A planned stop cuts off no request.
    STOP = "planned-stop"
    #: Nothing is held beyond its time.
    IN_TIME = "in-time"
    #: A request under which three targets ended ends no more than three others.
    BARRED = "barred"
    #: Probes of a target stay within their budget.
    PROBES = "probe-budget"
    #: Callers are served again once the troubles are over.
    RECOVERY = "recovery"


#: Promises with a time in them: on a machine that is too busy they may seem broken.
TIMED = frozenset(
    {
        Promise.DRAIN,
        Promise.SETTINGS,
        Promise.IN_TIME,
        Promise.BARRED,
        Promise.PROBES,
        Promise.RECOVERY,
    }
)


@dataclass(frozen=True, slots=True)
class Finding:
    """One broken promise."""

    promise: Promise
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class Window:
    """A time in which something was wrong, in monotonic seconds."""

    kind: TroubleKind
    start: Seconds
    end: Seconds

    def touches(self, start: Seconds, end: Seconds) -> bool:
        """Return whether a span of time meets this one."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True, slots=True)
class Evidence:
    """What was seen in a day.

    Parameters
    ----------
    began, ended : float
        Of the traffic.
    moves : dict of str to sequence of (float, str)
        For each kind, when it went to which service.
    deadly : sequence of AttemptRecord
        Attempts of a request that ends the targets that run it; nobody misses them.
    """

    day: Day
    began: Seconds
    ended: Seconds
    attempts: Sequence[AttemptRecord]
    targets: Sequence[Target]
    windows: Sequence[Window]
    moves: dict[str, list[tuple[Seconds, str]]]
    deadly: Sequence[AttemptRecord] = ()


class Referee:
    """Judge one day.

    Parameters
    ----------
    evidence : Evidence
    """

    def __init__(self, evidence: Evidence) -> None:
        self._seen = evidence
        self._day = evidence.day
        self._attempts = {a.id: a for a in (*evidence.attempts, *evidence.deadly)}
        self._kinds = {kind.name: kind for kind in self._day.kinds}
        self._ran: dict[str, list[tuple[Target, Ran]]] = defaultdict(list)
        for target in evidence.targets:
            for run in target.worker.ran:
                self._ran[run.request_id].append((target, run))

    def findings(self) -> list[Finding]:
        """Return all broken promises."""
        found: list[Finding] = []
        for attempt in self._seen.attempts:
            found += self._whole(attempt)
            found += self._not_run(attempt)
            found += self._stop(attempt)
            found += self._in_time(attempt)
        found += self._once()
        found += self._as_sent()
        found += self._drain()
        found += self._settings()
        found += self._barred()
        found += self._probes()
        found += self._recovery()
        return found

    # -- each attempt

    def _whole(self, attempt: AttemptRecord) -> Iterable[Finding]:
        if attempt.outcome is not AttemptOutcome.ANSWERED:
            return
        if attempt.named and attempt.named != attempt.id:
            yield Finding(Promise.WHOLE, attempt.id, f"got the answer to {attempt.named}")
        if not attempt.succeeded:
            return
        bodies = {f"{t.worker.instance} ran {attempt.id}" for t, _ in self._ran[attempt.id]}
        if not attempt.sealed or attempt.body.decode("latin-1") not in bodies:
            yield Finding(Promise.WHOLE, attempt.id, f"got {attempt.body[:60]!r}")

    def _not_run(self, attempt: AttemptRecord) -> Iterable[Finding]:
        refused = attempt.outcome is AttemptOutcome.ANSWERED and attempt.status in PROMISES
        if refused and not self._kinds[attempt.kind].repeatable and self._ran[attempt.id]:
            where = self._ran[attempt.id][0][0].worker.instance
            yield Finding(Promise.NOT_RUN, attempt.id, f"{attempt.status}, yet {where} ran it")

    def _stop(self, attempt: AttemptRecord) -> Iterable[Finding]:
        if attempt.outcome is not AttemptOutcome.CUT:
            return
        contact = self._day.bounds.contact
        if self._unplanned(attempt.sent - contact, attempt.ended):
            return
        read = bool(self._ran[attempt.id]) or attempt.ended - attempt.sent > _READ_S
        if read:
            took = attempt.ended - attempt.sent
            yield Finding(Promise.STOP, attempt.id, f"cut at {attempt.box} after {took:.2f} s")

    def _in_time(self, attempt: AttemptRecord) -> Iterable[Finding]:
        if self._unplanned(attempt.sent - self._day.bounds.contact, attempt.ended):
            return
        allowed = self._kinds[attempt.kind].deadline_ms / 1000 + _HELD_S
        if attempt.ended - attempt.sent > allowed:
            held = attempt.ended - attempt.sent
            yield Finding(Promise.IN_TIME, attempt.id, f"held {held:.2f} s at {attempt.box}")

    # -- what targets ran

    def _once(self) -> Iterable[Finding]:
        for request_id, runs in self._ran.items():
            attempt = self._attempts.get(request_id)
            if attempt is None or self._kinds[attempt.kind].repeatable or len(runs) < 2:
                continue
            where = ", ".join(target.worker.instance for target, _ in runs)
            yield Finding(Promise.ONCE, request_id, f"ran at {where}")

    def _as_sent(self) -> Iterable[Finding]:
        for request_id, runs in self._ran.items():
            attempt = self._attempts.get(request_id)
            for target, run in runs:
                if attempt is None:
                    yield Finding(Promise.AS_SENT, request_id, "no caller sent it")
                elif (run.method, run.path) != (attempt.method, attempt.path):
                    detail = f"{target.worker.instance} ran {run.method} {run.path}"
                    yield Finding(Promise.AS_SENT, request_id, detail)

    def _drain(self) -> Iterable[Finding]:
        bounds = self._day.bounds
        for target in self._seen.targets:
            if target.leaving_at is None:
                continue
            allowed = target.leaving_at + bounds.drain + _SLACK_S
            for run in target.worker.ran:
                late = run.arrived - allowed
                if late > 0 and not self._unplanned(target.leaving_at - bounds.contact, allowed):
                    detail = f"{run.request_id} reached it {late:.2f} s too late"
                    yield Finding(Promise.DRAIN, target.worker.instance, detail)

    def _settings(self) -> Iterable[Finding]:
        for kind, moves in self._seen.moves.items():
            prefix = prefix_of(self._kinds[kind])
            for target in self._seen.targets:
                for run in target.worker.ran:
                    if run.path.startswith(prefix):
                        yield from self._by_settings(kind, moves, target, run)

    def _by_settings(
        self, kind: str, moves: list[tuple[Seconds, str]], target: Target, run: Ran
    ) -> Iterable[Finding]:
        attempt = self._attempts.get(run.request_id)
        if attempt is None:
            return
        allowed = {service for at, service in moves if at <= run.arrived}
        for (_, old), (changed, _) in zip(moves, moves[1:], strict=False):
            limit = changed + self._day.bounds.apply + _SLACK_S
            newer = [service for at, service in moves if at >= changed]
            excused = self._unplanned(changed - self._day.bounds.contact, attempt.sent)
            if attempt.sent > limit and old not in newer and not excused:
                allowed.discard(old)
        if target.service not in allowed:
            detail = f"{kind} {run.request_id} ran at service {target.service}"
            yield Finding(Promise.SETTINGS, target.worker.instance, detail)

    def _barred(self) -> Iterable[Finding]:
        """Check that targets are spared once some have ended under a request."""
        contact = self._day.bounds.contact
        ids = {attempt.id for attempt in self._seen.deadly}
        runs = sorted(
            (run.arrived, target.worker.instance)
            for target in self._seen.targets
            for run in target.worker.ran
            if run.request_id in ids
        )
        if len(runs) <= _ENDED_MOST:
            return
        known_at = runs[_ENDED_MOST - 1][0] + contact + _SLACK_S
        late = [
            (at, name)
            for at, name in runs
            if at > known_at and not self._unplanned(at - contact, at)
        ]
        if len(late) > _ENDED_MOST:
            detail = f"{len(runs)} ended under one request, {len(late)} of them too late"
            yield Finding(Promise.BARRED, late[-1][1], detail)

    def _probes(self) -> Iterable[Finding]:
        for target in self._seen.targets:
            seconds = max(1.0, self._seen.ended - self._seen.began)
            rate = target.worker.probes / seconds
            if rate > self._day.bounds.probes_per_s:
                detail = f"{rate:.1f} probes a second"
                yield Finding(Promise.PROBES, target.worker.instance, detail)

    # -- the whole day

    def _recovery(self) -> Iterable[Finding]:
        over = max((w.end for w in self._seen.windows), default=self._seen.began)
        since = over + self._day.bounds.recovery
        requests: Counter[bool] = Counter()
        served: dict[int, bool] = {}
        for attempt in self._seen.attempts:
            if attempt.sent >= since:
                served[attempt.request] = served.get(attempt.request, False) or attempt.succeeded
        requests.update(served.values())
        share = requests[True] / max(1, requests.total())
        if requests.total() >= _ENOUGH and share < _RECOVERED:
            detail = f"{share:.0%} of {requests.total()} served"
            yield Finding(Promise.RECOVERY, "all callers", detail)

    def _unplanned(self, start: Seconds, end: Seconds) -> bool:
        return any(w.kind not in PLANNED and w.touches(start, end) for w in self._seen.windows)
