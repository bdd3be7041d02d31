"""Checks of what callers got: whole answers, true refusals, in their time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import Guarantee, Violation
from dunlinnotch.standins.users.caller import PROMISES, AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.checker.common import Seen
    from dunlinnotch.standins.users.caller import AttemptRecord

#: Time by which an attempt may be held beyond what its caller gave it, in seconds.
_HELD_S = 0.5


def check(seen: Seen) -> Iterator[Violation]:
    """Yield what is wrong with the answers that callers got."""
    for attempt in seen.evidence.attempts:
        yield from _whole(seen, attempt)
        yield from _not_run(seen, attempt)
        yield from _denied(attempt)
        yield from _in_time(seen, attempt)


def _whole(seen: Seen, attempt: AttemptRecord) -> Iterator[Violation]:
    if attempt.outcome is not AttemptOutcome.ANSWERED:
        return
    if attempt.named and attempt.named != attempt.id:
        yield Violation(Guarantee.WHOLE, attempt.id, f"got the answer to {attempt.named}")
    if not attempt.succeeded:
        return
    bodies = {f"{t.worker.instance} ran {attempt.id}" for t, _ in seen.ran[attempt.id]}
    if not attempt.sealed or attempt.body.decode("latin-1") not in bodies:
        yield Violation(Guarantee.WHOLE, attempt.id, f"got {attempt.body[:60]!r}")


def _not_run(seen: Seen, attempt: AttemptRecord) -> Iterator[Violation]:
    refused = attempt.outcome is AttemptOutcome.ANSWERED and attempt.status in PROMISES
    if refused and not seen.kinds[attempt.kind].repeatable and seen.ran[attempt.id]:
        where = seen.ran[attempt.id][0][0].worker.instance
        yield Violation(Guarantee.NOT_RUN, attempt.id, f"{attempt.status}, yet {where} ran it")


def _in_time(seen: Seen, attempt: AttemptRecord) -> Iterator[Violation]:
    if seen.unplanned(attempt.sent - seen.day.bounds.contact, attempt.ended):
        return
    allowed = seen.kinds[attempt.kind].deadline_ms / 1000 + _HELD_S
    if attempt.ended - attempt.sent > allowed:
        held = attempt.ended - attempt.sent
        yield Violation(Guarantee.IN_TIME, attempt.id, f"held {held:.2f} s at {attempt.box}")


def _denied(attempt: AttemptRecord) -> Iterator[Violation]:
    """Check that no request ends with a 3xx or 4xx; targets here give none, and all is proper."""
    turned_down = 300 <= attempt.status < 500 and attempt.status not in PROMISES
    if attempt.outcome is AttemptOutcome.ANSWERED and turned_down:
        yield Violation(Guarantee.DENIED, attempt.id, f"{attempt.status} from {attempt.box}")
