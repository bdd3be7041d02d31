"""Checks of planned stops, and of service once all troubles are over."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import SLACK_S, Guarantee, Violation
from dunlinnotch.lab.scenario import FaultKind
from dunlinnotch.standins.users.caller import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.checker.common import Seen
    from dunlinnotch.standins.users.caller import AttemptRecord

#: A request that was cut later than so many seconds after it was sent had been read.
_READ_S = 0.2
#: A box that is asked to stop says so within this, in seconds.
_NOT_READY_S = 4.0
#: Share that is to be served once all troubles are over.
_RECOVERED = 0.9
#: Requests in the time after the troubles that make that share worth a word.
_ENOUGH = 20


def check(seen: Seen) -> Iterator[Violation]:
    """Yield what planned stops cut off, and whether callers were served again."""
    for attempt in seen.evidence.attempts:
        yield from _stop(seen, attempt)
    yield from _not_ready(seen)
    yield from _recovery(seen)


def _not_ready(seen: Seen) -> Iterator[Violation]:
    """Check that boxes asked to stop are soon taken out of use."""
    for stop in seen.evidence.stops:
        limit = stop.asked + _NOT_READY_S + SLACK_S
        troubled = seen.troubled({FaultKind.BOX_FREEZE}, stop.asked, limit)
        if stop.not_ready > limit and seen.evidence.ended > limit and not troubled:
            detail = f"ready {_NOT_READY_S:g} s after it was asked to stop"
            yield Violation(Guarantee.NOT_READY, stop.box, detail)


def _stop(seen: Seen, attempt: AttemptRecord) -> Iterator[Violation]:
    if attempt.outcome is not AttemptOutcome.CUT:
        return
    contact = seen.day.bounds.contact
    if seen.unplanned(attempt.sent - contact, attempt.ended):
        return
    read = bool(seen.ran[attempt.id]) or attempt.ended - attempt.sent > _READ_S
    if read:
        took = attempt.ended - attempt.sent
        yield Violation(Guarantee.STOP, attempt.id, f"cut at {attempt.box} after {took:.2f} s")


def _recovery(seen: Seen) -> Iterator[Violation]:
    over = max((w.end for w in seen.evidence.windows), default=seen.evidence.began)
    since = over + seen.day.bounds.recovery
    requests: Counter[bool] = Counter()
    served: dict[int, bool] = {}
    for attempt in seen.evidence.attempts:
        if attempt.sent >= since:
            served[attempt.request] = served.get(attempt.request, False) or attempt.succeeded
    requests.update(served.values())
    share = requests[True] / max(1, requests.total())
    if requests.total() >= _ENOUGH and share < _RECOVERED:
        detail = f"{share:.0%} of {requests.total()} served"
        yield Violation(Guarantee.RECOVERY, "all callers", detail)
