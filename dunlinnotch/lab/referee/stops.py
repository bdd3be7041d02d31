"""Checks of planned stops, and of service once all troubles are over."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dunlinnotch.lab.referee.common import Finding, Promise
from dunlinnotch.standins.users.caller import AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.referee.common import Seen
    from dunlinnotch.standins.users.caller import AttemptRecord

#: A request that was cut later than so many seconds after it was sent had been read.
_READ_S = 0.2
#: Share that is to be served once all troubles are over.
_RECOVERED = 0.9
#: Requests in the time after the troubles that make that share worth a word.
_ENOUGH = 20


def check(seen: Seen) -> Iterator[Finding]:
    """Yield what planned stops cut off, and whether callers were served again."""
    for attempt in seen.evidence.attempts:
        yield from _stop(seen, attempt)
    yield from _recovery(seen)


def _stop(seen: Seen, attempt: AttemptRecord) -> Iterator[Finding]:
    if attempt.outcome is not AttemptOutcome.CUT:
        return
    contact = seen.day.bounds.contact
    if seen.unplanned(attempt.sent - contact, attempt.ended):
        return
    read = bool(seen.ran[attempt.id]) or attempt.ended - attempt.sent > _READ_S
    if read:
        took = attempt.ended - attempt.sent
        yield Finding(Promise.STOP, attempt.id, f"cut at {attempt.box} after {took:.2f} s")


def _recovery(seen: Seen) -> Iterator[Finding]:
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
        yield Finding(Promise.RECOVERY, "all callers", detail)
