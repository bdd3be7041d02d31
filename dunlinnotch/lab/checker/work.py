"""Checks of the requests that reached targets."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import (
    BOX_OR_LINK_FAULTS,
    TIMER_TOLERANCE_S,
    Guarantee,
    Violation,
)
from dunlinnotch.lab.fleet import LONG_WORK_S
from dunlinnotch.standins.users.caller import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from dunlinnotch.lab.checker.common import ObservationIndex
    from dunlinnotch.lab.fleet import Target
    from dunlinnotch.standins.users.worker import Arrival
    from dunlinnotch.types import Address, Seconds

#: Crashes that a box may need to see before it quarantines a request; also the crashes
#: allowed after all boxes must know.
_MAX_CRASHES = 3
#: Requests already in flight may arrive for this long after a target requests back-off.
_IN_FLIGHT_S = 0.5
_MAX_DURING_BACKOFF = 2
#: Allows for timers when the time given to a target is compared with the caller's deadline.
_TIME_TOLERANCE_S = 0.5
#: Later than this after the first attempt, a retry must carry a shorter deadline.
_RETRY_GAP_S = 0.5
#: Time in which a box must notice that a caller has disconnected.
_DISCONNECT_GRACE_S = 0.5
#: Requests of callers that have left: late arrivals tolerated, share of the long requests
#: that may continue, and how many long requests it takes to check that share.
_MAX_LATE_RUNS, _MAX_WORKING_SHARE, _MIN_LONG_RUNS = 3, 0.25, 4


def check(index: ObservationIndex) -> Iterator[Violation]:
    """Yield violations in the requests that reached targets."""
    yield from _check_at_most_once(index)
    yield from _check_as_sent(index)
    yield from _check_time_limit(index)
    yield from _check_drain(index)
    yield from _check_quarantine(index)
    yield from _check_caller_gone(index)
    for target in index.observations.targets:
        for box, arrivals in index.arrivals_by_box(target):
            yield from _check_backoff(index, target, box, arrivals)
            yield from _check_announced_drain(index, target, box, arrivals)


def _check_at_most_once(index: ObservationIndex) -> Iterator[Violation]:
    """Check that no request that must not be repeated ran more than once."""
    for request_id, runs in index.runs_by_id.items():
        attempt = index.attempts_by_id.get(request_id)
        if attempt is None or index.kinds_by_name[attempt.kind].repeatable or len(runs) < 2:
            continue
        instances = ", ".join(target.worker.instance for target, _ in runs)
        yield Violation(Guarantee.AT_MOST_ONCE, request_id, f"ran at {instances}")


def _check_as_sent(index: ObservationIndex) -> Iterator[Violation]:
    """Check that whatever ran was sent by a caller, with the same method and path."""
    for request_id, runs in index.runs_by_id.items():
        attempt = index.attempts_by_id.get(request_id)
        for target, run in runs:
            if attempt is None:
                yield Violation(Guarantee.AS_SENT, request_id, "not sent by any caller")
            elif (run.method, run.path) != (attempt.method, attempt.path):
                detail = f"{target.worker.instance} ran {run.method} {run.path}"
                yield Violation(Guarantee.AS_SENT, request_id, detail)


def _check_drain(index: ObservationIndex) -> Iterator[Violation]:
    """Check that a leaving target receives no requests once boxes must know that it leaves."""
    bounds = index.scenario.bounds
    for target in index.observations.targets:
        if target.leaving_at is None:
            continue
        limit = target.leaving_at + bounds.drain + TIMER_TOLERANCE_S
        for run in target.worker.runs:
            delay_s = run.arrived_at - limit
            if delay_s > 0 and not index.has_unplanned_fault(
                target.leaving_at - bounds.contact, limit
            ):
                detail = f"{run.request_id} arrived {delay_s:.2f} s after the drain limit"
                yield Violation(Guarantee.DRAIN, target.worker.instance, detail)


def _check_quarantine(index: ObservationIndex) -> Iterator[Violation]:
    """Check that a request that crashes targets is sent to no more of them."""
    contact = index.scenario.bounds.contact
    ids = {attempt.id for attempt in index.observations.crashing}
    crashes = sorted(
        (run.arrived_at, target.worker.instance)
        for target in index.observations.targets
        for run in target.worker.runs
        if run.request_id in ids
    )
    if len(crashes) <= _MAX_CRASHES:
        return
    quarantined_by = crashes[_MAX_CRASHES - 1][0] + contact + TIMER_TOLERANCE_S
    late_crashes = [
        (at, name)
        for at, name in crashes
        if at > quarantined_by and not index.has_unplanned_fault(at - contact, at)
    ]
    if len(late_crashes) > _MAX_CRASHES:
        detail = (
            f"{len(crashes)} targets crashed while running one request, "
            f"{len(late_crashes)} of them after it should have been quarantined"
        )
        yield Violation(Guarantee.QUARANTINE, late_crashes[-1][1], detail)


def _check_time_limit(index: ObservationIndex) -> Iterator[Violation]:
    """Check that no target is given more time than the caller has left, also on retries.

    Notes
    -----
    The time that a box passes on is checked. A box that is delayed before it reads a
    request cannot know how long the request has waited.
    """
    arrivals_by_id: dict[str, list[Arrival]] = defaultdict(list)
    for target in index.observations.targets:
        for arrival in target.worker.arrivals:
            arrivals_by_id[arrival.request_id].append(arrival)
    for request_id, arrivals in arrivals_by_id.items():
        attempt = index.attempts_by_id.get(request_id)
        if attempt is None or index.has_unplanned_fault(
            attempt.sent_at - index.scenario.bounds.contact, attempt.deadline
        ):
            continue
        first = min(arrivals, key=lambda arrival: arrival.arrived_at)
        for arrival in arrivals:
            excess_s = arrival.time_limit - (attempt.deadline - attempt.sent_at)
            if arrival.arrived_at > first.arrived_at + _RETRY_GAP_S:
                end = max(first.arrived_at + first.time_limit, attempt.deadline)
                excess_s = max(excess_s, arrival.arrived_at + arrival.time_limit - end)
            if excess_s > _TIME_TOLERANCE_S:
                detail = f"a target was given {excess_s:.2f} s more than its caller has left"
                yield Violation(Guarantee.TIME_LIMIT, request_id, detail)


def _check_caller_gone(index: ObservationIndex) -> Iterator[Violation]:
    """Check that a caller's disconnection soon ends its request at boxes and targets."""
    late_runs = long_runs = working_runs = 0
    for attempt in index.observations.abandoned:
        limit = attempt.ended_at + _DISCONNECT_GRACE_S
        caller_left = attempt.outcome is AttemptOutcome.LEFT
        if not caller_left or index.has_unplanned_fault(
            attempt.sent_at - index.scenario.bounds.contact, limit
        ):
            continue
        for _, run in index.runs_by_id[attempt.id]:
            late_runs += run.arrived_at > limit
            is_long = run.arrived_at <= limit < run.arrived_at + LONG_WORK_S
            long_runs += is_long
            working_runs += is_long and not 0 < run.ended_at <= limit
    if late_runs > _MAX_LATE_RUNS:
        yield Violation(
            Guarantee.CALLER_GONE,
            "callers that left",
            f"{late_runs} requests were forwarded after their callers had left",
        )
    if long_runs >= _MIN_LONG_RUNS and working_runs > long_runs * _MAX_WORKING_SHARE:
        detail = f"{working_runs} of {long_runs} requests were not cancelled"
        yield Violation(Guarantee.CALLER_GONE, "callers that left", detail)


def _check_backoff(
    index: ObservationIndex, target: Target, box: Address, arrivals: Sequence[Arrival]
) -> Iterator[Violation]:
    """Check that a box sends nothing to a target during the back-off requested from it."""
    for refusal in arrivals:
        if not refusal.backoff:
            continue
        end = refusal.answered_at + refusal.backoff
        start = refusal.answered_at + _IN_FLIGHT_S
        received = sum(start < arrival.arrived_at < end for arrival in arrivals)
        if received > _MAX_DURING_BACKOFF and not index.has_fault(
            BOX_OR_LINK_FAULTS, refusal.answered_at, end
        ):
            detail = f"received {received} requests from {box} in {refusal.backoff:g} s of back-off"
            yield Violation(Guarantee.BACKOFF, target.worker.instance, detail)


def _check_announced_drain(
    index: ObservationIndex, target: Target, box: Address, arrivals: Sequence[Arrival]
) -> Iterator[Violation]:
    """Check that a box sends nothing to a target that announced in an answer that it leaves."""
    announced_at: Seconds | None = min(
        (a.answered_at for a in arrivals if a.announced_leaving), default=None
    )
    if announced_at is None:
        return
    limit = announced_at + index.scenario.bounds.drain + TIMER_TOLERANCE_S
    for arrival in arrivals:
        sent = index.attempts_by_id[arrival.request_id].sent_at
        if sent > limit and not index.has_fault(
            BOX_OR_LINK_FAULTS, announced_at, arrival.arrived_at
        ):
            detail = (
                f"{arrival.request_id} came from {box} {sent - announced_at:.2f} s after the "
                "target announced that it leaves"
            )
            yield Violation(Guarantee.DRAIN, target.worker.instance, detail)
