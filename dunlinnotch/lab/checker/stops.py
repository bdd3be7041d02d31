"""Checks of planned stops, and of recovery after the last fault."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import TIMER_TOLERANCE_S, Guarantee, Violation
from dunlinnotch.lab.scenario import FaultKind
from dunlinnotch.standins.users.caller import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.checker.common import ObservationIndex
    from dunlinnotch.standins.users.caller import AttemptRecord

#: A box is taken to have read a request whose connection breaks later than this after sending.
_REQUEST_READ_S = 0.2
_NOT_READY_LIMIT_S = 4.0
_MIN_SERVED_SHARE = 0.9
#: With fewer requests after the faults, the share served is not meaningful.
_MIN_REQUESTS = 20


def check(index: ObservationIndex) -> Iterator[Violation]:
    """Yield requests cut off by planned stops, boxes that stay ready, and failed recovery."""
    for attempt in index.observations.attempts:
        yield from _check_planned_stop(index, attempt)
    yield from _check_not_ready(index)
    yield from _check_recovery(index)


def _check_not_ready(index: ObservationIndex) -> Iterator[Violation]:
    """Check that a box reports that it is not ready soon after it is told to stop."""
    for stop in index.observations.stops:
        limit = stop.requested_at + _NOT_READY_LIMIT_S + TIMER_TOLERANCE_S
        frozen = index.has_fault({FaultKind.BOX_FREEZE}, stop.requested_at, limit)
        if stop.not_ready_at > limit and index.observations.ended_at > limit and not frozen:
            detail = f"still ready {_NOT_READY_LIMIT_S:g} s after it was told to stop"
            yield Violation(Guarantee.NOT_READY, stop.box, detail)


def _check_planned_stop(index: ObservationIndex, attempt: AttemptRecord) -> Iterator[Violation]:
    """Check that only an unplanned fault breaks a connection once a box has read the request."""
    if attempt.outcome is not AttemptOutcome.CUT:
        return
    contact = index.scenario.bounds.contact
    if index.has_unplanned_fault(attempt.sent_at - contact, attempt.ended_at):
        return
    request_read = (
        bool(index.runs_by_id[attempt.id]) or attempt.ended_at - attempt.sent_at > _REQUEST_READ_S
    )
    if request_read:
        duration_s = attempt.ended_at - attempt.sent_at
        yield Violation(
            Guarantee.PLANNED_STOP,
            attempt.id,
            f"connection broken by {attempt.box} after {duration_s:.2f} s",
        )


def _check_recovery(index: ObservationIndex) -> Iterator[Violation]:
    """Check that nearly all requests succeed once the recovery time after all faults is over."""
    last_fault_end = max(
        (w.end for w in index.observations.fault_windows), default=index.observations.started_at
    )
    recovered_at = last_fault_end + index.scenario.bounds.recovery
    requests: Counter[bool] = Counter()
    served: dict[int, bool] = {}
    for attempt in index.observations.attempts:
        if attempt.sent_at >= recovered_at:
            served[attempt.request_number] = (
                served.get(attempt.request_number, False) or attempt.succeeded
            )
    requests.update(served.values())
    served_share = requests[True] / max(1, requests.total())
    if requests.total() >= _MIN_REQUESTS and served_share < _MIN_SERVED_SHARE:
        detail = f"{served_share:.0%} of {requests.total()} requests served"
        yield Violation(Guarantee.RECOVERY, "all callers", detail)
