"""Checks of the answers that callers received: complete, truthful and within the deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import Guarantee, Violation
from dunlinnotch.lab.scenario import FaultKind
from dunlinnotch.standins.users.caller import NOT_RUN_STATUSES, AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.checker.common import ObservationIndex
    from dunlinnotch.lab.fleet import Target
    from dunlinnotch.standins.users.caller import AttemptRecord
    from dunlinnotch.standins.users.worker import Arrival

#: Allows for timers and scheduling after the deadline of an attempt.
_HOLD_TOLERANCE_S = 0.5
#: Faults by which an earlier send may arrive later than the last one: links hold back bytes.
_HOLDING_FAULTS = frozenset({FaultKind.TARGET_SILENT, FaultKind.BOX_CUT_OFF})


def check(index: ObservationIndex) -> Iterator[Violation]:
    """Yield violations in the answers that callers received."""
    for attempt in index.observations.attempts:
        yield from _check_complete(index, attempt)
        yield from _check_last_send(index, attempt)
        yield from _check_not_run(index, attempt)
        yield from _check_not_rejected(attempt)
        yield from _check_in_time(index, attempt)


def _check_complete(index: ObservationIndex, attempt: AttemptRecord) -> Iterator[Violation]:
    """Check that a successful answer is complete and belongs to its request."""
    if attempt.outcome is not AttemptOutcome.ANSWERED:
        return
    if attempt.answered_id and attempt.answered_id != attempt.id:
        yield Violation(
            Guarantee.COMPLETE, attempt.id, f"received the answer to {attempt.answered_id}"
        )
    if not attempt.succeeded:
        return
    bodies = {f"{t.worker.instance} ran {attempt.id}" for t, _ in index.runs_by_id[attempt.id]}
    if not attempt.sealed or attempt.body.decode("latin-1") not in bodies:
        yield Violation(Guarantee.COMPLETE, attempt.id, f"received the body {attempt.body[:60]!r}")


def _check_last_send(index: ObservationIndex, attempt: AttemptRecord) -> Iterator[Violation]:
    """Check that an answer that a target gave is the one to the last send of the request."""
    sends = index.sends_by_id[attempt.id]
    relayed = attempt.outcome is AttemptOutcome.ANSWERED and attempt.sealed
    if not relayed or not sends:
        return
    held_back = index.has_fault(_HOLDING_FAULTS, attempt.sent_at, attempt.ended_at)
    candidates = sends if held_back else sends[-1:]
    if not any(_is_answer_to(target, arrival, attempt) for target, arrival in candidates):
        record = ", ".join(
            f"{arrival.status or 'no answer'} from {target.worker.instance}"
            for target, arrival in sends
        )
        detail = f"received {attempt.status}; its sends were answered {record}"
        yield Violation(Guarantee.LAST_SEND, attempt.id, detail)


def _is_answer_to(target: Target, arrival: Arrival, attempt: AttemptRecord) -> bool:
    """Return whether a caller received what a target answered to one send of its request."""
    if arrival.rejected or arrival.status != attempt.status:
        return False
    own_body = f"{target.worker.instance} ran {attempt.id}"
    return not attempt.succeeded or attempt.body.decode("latin-1") == own_body


def _check_not_run(index: ObservationIndex, attempt: AttemptRecord) -> Iterator[Violation]:
    """Check that a request was not run if its answer says so."""
    refused = attempt.outcome is AttemptOutcome.ANSWERED and attempt.status in NOT_RUN_STATUSES
    if refused and index.runs_by_id[attempt.id]:
        instance = index.runs_by_id[attempt.id][0][0].worker.instance
        yield Violation(
            Guarantee.NOT_RUN, attempt.id, f"answered {attempt.status}, but {instance} ran it"
        )


def _check_in_time(index: ObservationIndex, attempt: AttemptRecord) -> Iterator[Violation]:
    """Check that an attempt ends by its deadline."""
    if index.has_unplanned_fault(attempt.sent_at - index.scenario.bounds.contact, attempt.ended_at):
        return
    limit_s = index.kinds_by_name[attempt.kind].deadline_ms / 1000 + _HOLD_TOLERANCE_S
    if attempt.ended_at - attempt.sent_at > limit_s:
        held_s = attempt.ended_at - attempt.sent_at
        yield Violation(Guarantee.IN_TIME, attempt.id, f"held {held_s:.2f} s at {attempt.box}")


def _check_not_rejected(attempt: AttemptRecord) -> Iterator[Violation]:
    """Check that no answer is a redirect or client error.

    All requests of a scenario are valid and its targets send no such answers, so one can
    only come from a box.
    """
    rejected = 300 <= attempt.status < 500 and attempt.status not in NOT_RUN_STATUSES
    if attempt.outcome is AttemptOutcome.ANSWERED and rejected:
        yield Violation(Guarantee.NOT_REJECTED, attempt.id, f"{attempt.status} from {attempt.box}")
