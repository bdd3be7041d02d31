"""Checks of budgets: probes of a target, attempts of a request, retries at a service."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import Guarantee, Violation

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from dunlinnotch.lab.checker.common import ObservationIndex
    from dunlinnotch.types import Seconds


def check(index: ObservationIndex) -> Iterator[Violation]:
    """Yield violations of budgets."""
    yield from _check_probes(index)
    yield from _check_attempts(index)
    yield from _check_retries(index)


def _check_probes(index: ObservationIndex) -> Iterator[Violation]:
    """Check the mean rate of probes at each target."""
    for target in index.observations.targets:
        duration_s = max(1.0, index.observations.ended_at - index.observations.started_at)
        rate = target.worker.probes / duration_s
        if rate > index.scenario.bounds.probes_per_s:
            detail = f"{rate:.1f} probes a second"
            yield Violation(Guarantee.PROBE_BUDGET, target.worker.instance, detail)


def _check_attempts(index: ObservationIndex) -> Iterator[Violation]:
    """Check that a request is sent to no more targets than its kind allows."""
    target_counts: Counter[str] = Counter()
    for target in index.observations.targets:
        target_counts.update({arrival.request_id for arrival in target.worker.arrivals})
    for request_id, count in target_counts.items():
        attempt = index.attempts_by_id.get(request_id)
        if attempt is not None and count > index.kinds_by_name[attempt.kind].attempts:
            yield Violation(Guarantee.MAX_ATTEMPTS, request_id, f"reached {count} targets")


def _check_retries(index: ObservationIndex) -> Iterator[Violation]:
    """Check the retries at each service, from all boxes, in every window.

    A retry may belong to a request sent up to a window earlier, so the retries are
    compared with the largest number of requests in the window and in earlier ones.
    """
    bounds = index.scenario.bounds
    for service, retry_times in _retry_times_by_service(index).items():
        send_times = _send_times(index, service)
        for start in retry_times:
            end = start + bounds.repeat_window
            retries = sum(start <= at <= end for at in retry_times)
            requests = max(
                sum(start - shift <= at <= end - shift for at in send_times)
                for shift in (0.0, bounds.repeat_window / 2, bounds.repeat_window)
            )
            if retries > bounds.repeat_ratio * requests + bounds.repeat_slack:
                detail = f"{retries} retries for {requests} requests in {bounds.repeat_window:g} s"
                yield Violation(Guarantee.RETRY_BUDGET, service, detail)
                break


def _retry_times_by_service(index: ObservationIndex) -> dict[str, list[Seconds]]:
    """Return, for each service, when requests arrived that had reached a target before."""
    first_arrivals: dict[str, Seconds] = {}
    arrivals = sorted(
        (arrival.arrived_at, target.service, arrival.request_id)
        for target in index.observations.targets
        for arrival in target.worker.arrivals
    )
    retry_times: dict[str, list[Seconds]] = defaultdict(list)
    for at, service, request_id in arrivals:
        if first_arrivals.setdefault(request_id, at) != at:
            retry_times[service].append(at)
    return retry_times


def _send_times(index: ObservationIndex, service: str) -> Sequence[Seconds]:
    """Return when callers sent requests of the kinds that may be routed to a service."""
    kinds = {k.name for k in index.scenario.kinds if service in (k.service, k.also)}
    return [a.sent_at for a in index.observations.attempts if a.kind in kinds]
