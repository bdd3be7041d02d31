"""Checks of budgets: probes, tries of a request, repeats at a service."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import Guarantee, Violation

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from dunlinnotch.lab.checker.common import Seen
    from dunlinnotch.types import Seconds


def check(seen: Seen) -> Iterator[Violation]:
    """Yield what went beyond a budget."""
    yield from _probes(seen)
    yield from _tries(seen)
    yield from _repeats(seen)


def _probes(seen: Seen) -> Iterator[Violation]:
    for target in seen.evidence.targets:
        seconds = max(1.0, seen.evidence.ended - seen.evidence.began)
        rate = target.worker.probes / seconds
        if rate > seen.day.bounds.probes_per_s:
            detail = f"{rate:.1f} probes a second"
            yield Violation(Guarantee.PROBES, target.worker.instance, detail)


def _tries(seen: Seen) -> Iterator[Violation]:
    tries: Counter[str] = Counter()
    for target in seen.evidence.targets:
        tries.update({arrival.request_id for arrival in target.worker.arrivals})
    for request_id, count in tries.items():
        attempt = seen.attempts.get(request_id)
        if attempt is not None and count > seen.kinds[attempt.kind].attempts:
            yield Violation(Guarantee.TRIES, request_id, f"reached {count} targets")


def _repeats(seen: Seen) -> Iterator[Violation]:
    """Check what arrived at each service beyond the first of each request, in each window."""
    bounds = seen.day.bounds
    for service, times in _repeats_of_services(seen).items():
        sent = _sent_to(seen, service)
        for start in times:
            end = start + bounds.repeat_window
            repeats = sum(start <= at <= end for at in times)
            requests = max(
                sum(start - back <= at <= end - back for at in sent)
                for back in (0.0, bounds.repeat_window / 2, bounds.repeat_window)
            )
            if repeats > bounds.repeat_ratio * requests + bounds.repeat_slack:
                detail = f"{repeats} repeats of {requests} requests in {bounds.repeat_window:g} s"
                yield Violation(Guarantee.REPEATS, service, detail)
                break


def _repeats_of_services(seen: Seen) -> dict[str, list[Seconds]]:
    """Return when something arrived at a service beyond the first of its request."""
    first: dict[str, Seconds] = {}
    arrived = sorted(
        (arrival.at, target.service, arrival.request_id)
        for target in seen.evidence.targets
        for arrival in target.worker.arrivals
    )
    repeats: dict[str, list[Seconds]] = defaultdict(list)
    for at, service, request_id in arrived:
        if first.setdefault(request_id, at) != at:
            repeats[service].append(at)
    return repeats


def _sent_to(seen: Seen, service: str) -> Sequence[Seconds]:
    """Return when callers sent a request of a kind that may go to a service."""
    kinds = {k.name for k in seen.day.kinds if service in (k.service, k.also)}
    return [a.sent for a in seen.evidence.attempts if a.kind in kinds]
