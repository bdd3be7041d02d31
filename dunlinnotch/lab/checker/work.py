"""Checks of the work that reached targets, and of what they had told boxes before."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import BOX_OR_LINK, SLACK_S, Guarantee, Violation
from dunlinnotch.lab.fleet import LONG_S
from dunlinnotch.standins.users.caller import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from dunlinnotch.lab.checker.common import Seen
    from dunlinnotch.lab.fleet import Target
    from dunlinnotch.standins.users.worker import Arrival
    from dunlinnotch.types import Address, Seconds

#: Targets that may end under one request before all boxes are to know it, and after.
_ENDED_MOST = 3
#: What was under way when a target asked for rest may arrive for so long, in seconds.
_UNDER_WAY_S = 0.5
#: Requests that may reach a target in one rest all the same.
_IN_REST_MOST = 2
#: Time that a target is given beyond what its caller has left, at most, in seconds.
_GIVEN_S = 0.5
#: A repeat so long after the first try must have been given less time, in seconds.
_LATER_S = 0.5
#: What a caller has left may still arrive, or be worked on, for so long, in seconds.
_AFTER_LEAVING_S = 0.5
#: Requests that may arrive later all the same; share of those worked on that may go on,
#: and how many there must be for a share to say something.
_LATE_MOST, _WORKING_SHARE, _LASTING_LEAST = 3, 0.25, 4


def check(seen: Seen) -> Iterator[Violation]:
    """Yield what is wrong with the work that reached targets."""
    yield from _once(seen)
    yield from _as_sent(seen)
    yield from _time_given(seen)
    yield from _drain(seen)
    yield from _barred(seen)
    yield from _gone(seen)
    for target in seen.evidence.targets:
        for box, arrivals in seen.by_box(target):
            yield from _rest(seen, target, box, arrivals)
            yield from _drain_as_told(seen, target, box, arrivals)


def _once(seen: Seen) -> Iterator[Violation]:
    for request_id, runs in seen.ran.items():
        attempt = seen.attempts.get(request_id)
        if attempt is None or seen.kinds[attempt.kind].repeatable or len(runs) < 2:
            continue
        where = ", ".join(target.worker.instance for target, _ in runs)
        yield Violation(Guarantee.ONCE, request_id, f"ran at {where}")


def _as_sent(seen: Seen) -> Iterator[Violation]:
    for request_id, runs in seen.ran.items():
        attempt = seen.attempts.get(request_id)
        for target, run in runs:
            if attempt is None:
                yield Violation(Guarantee.AS_SENT, request_id, "no caller sent it")
            elif (run.method, run.path) != (attempt.method, attempt.path):
                detail = f"{target.worker.instance} ran {run.method} {run.path}"
                yield Violation(Guarantee.AS_SENT, request_id, detail)


def _drain(seen: Seen) -> Iterator[Violation]:
    bounds = seen.day.bounds
    for target in seen.evidence.targets:
        if target.leaving_at is None:
            continue
        allowed = target.leaving_at + bounds.drain + SLACK_S
        for run in target.worker.ran:
            late = run.arrived - allowed
            if late > 0 and not seen.unplanned(target.leaving_at - bounds.contact, allowed):
                detail = f"{run.request_id} reached it {late:.2f} s too late"
                yield Violation(Guarantee.DRAIN, target.worker.instance, detail)


def _barred(seen: Seen) -> Iterator[Violation]:
    """Check that targets are spared once some have ended under a request."""
    contact = seen.day.bounds.contact
    ids = {attempt.id for attempt in seen.evidence.deadly}
    runs = sorted(
        (run.arrived, target.worker.instance)
        for target in seen.evidence.targets
        for run in target.worker.ran
        if run.request_id in ids
    )
    if len(runs) <= _ENDED_MOST:
        return
    known_at = runs[_ENDED_MOST - 1][0] + contact + SLACK_S
    late = [
        (at, name) for at, name in runs if at > known_at and not seen.unplanned(at - contact, at)
    ]
    if len(late) > _ENDED_MOST:
        detail = f"{len(runs)} ended under one request, {len(late)} of them too late"
        yield Violation(Guarantee.BARRED, late[-1][1], detail)


def _time_given(seen: Seen) -> Iterator[Violation]:
    """Check that no target is given more time than the caller stated, nor more on a repeat.

    Notes
    -----
    What counts is the time that a box hands on.  A box that is held up before it has read
    a request can't know how long the request has waited for that.
    """
    reached: dict[str, list[Arrival]] = defaultdict(list)
    for target in seen.evidence.targets:
        for arrival in target.worker.arrivals:
            reached[arrival.request_id].append(arrival)
    for request_id, arrivals in reached.items():
        attempt = seen.attempts.get(request_id)
        if attempt is None or seen.unplanned(attempt.sent - seen.day.bounds.contact, attempt.until):
            continue
        first = min(arrivals, key=lambda arrival: arrival.at)
        for arrival in arrivals:
            beyond = arrival.given - (attempt.until - attempt.sent)
            if arrival.at > first.at + _LATER_S:
                end = max(first.at + first.given, attempt.until)
                beyond = max(beyond, arrival.at + arrival.given - end)
            if beyond > _GIVEN_S:
                detail = f"a target was given {beyond:.2f} s more than its caller has"
                yield Violation(Guarantee.TIME_GIVEN, request_id, detail)


def _gone(seen: Seen) -> Iterator[Violation]:
    """Check that what callers have left is neither sent on nor worked on for long."""
    late = lasting = working = 0
    for attempt in seen.evidence.left:
        over = attempt.ended + _AFTER_LEAVING_S
        left = attempt.outcome is AttemptOutcome.LEFT
        if not left or seen.unplanned(attempt.sent - seen.day.bounds.contact, over):
            continue
        for _, run in seen.ran[attempt.id]:
            late += run.arrived > over
            lasts = run.arrived <= over < run.arrived + LONG_S
            lasting += lasts
            working += lasts and not 0 < run.ended <= over
    if late > _LATE_MOST:
        yield Violation(Guarantee.GONE, "callers that left", f"{late} requests were sent on later")
    if lasting >= _LASTING_LEAST and working > lasting * _WORKING_SHARE:
        detail = f"{working} of {lasting} requests were still worked on"
        yield Violation(Guarantee.GONE, "callers that left", detail)


def _rest(
    seen: Seen, target: Target, box: Address, arrivals: Sequence[Arrival]
) -> Iterator[Violation]:
    """Check that a box sends nothing to a target that asked it for rest."""
    for asked in arrivals:
        if not asked.rest:
            continue
        over = asked.answered_at + asked.rest
        since = asked.answered_at + _UNDER_WAY_S
        got = sum(since < arrival.at < over for arrival in arrivals)
        if got > _IN_REST_MOST and not seen.troubled(BOX_OR_LINK, asked.answered_at, over):
            detail = f"got {got} requests from {box} in {asked.rest:g} s of rest"
            yield Violation(Guarantee.REST, target.worker.instance, detail)


def _drain_as_told(
    seen: Seen, target: Target, box: Address, arrivals: Sequence[Arrival]
) -> Iterator[Violation]:
    """Check that a box sends nothing to a target that told it in an answer that it leaves."""
    told: Seconds | None = min((a.answered_at for a in arrivals if a.said_leaving), default=None)
    if told is None:
        return
    limit = told + seen.day.bounds.drain + SLACK_S
    for arrival in arrivals:
        sent = seen.attempts[arrival.request_id].sent
        if sent > limit and not seen.troubled(BOX_OR_LINK, told, arrival.at):
            detail = f"{arrival.request_id} came from {box} {sent - told:.2f} s after its word"
            yield Violation(Guarantee.DRAIN, target.worker.instance, detail)
