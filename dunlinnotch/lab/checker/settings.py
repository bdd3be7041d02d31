"""Check that requests are routed by the active settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import TIMER_TOLERANCE_S, Guarantee, Violation
from dunlinnotch.lab.fleet import path_prefix

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.checker.common import ObservationIndex
    from dunlinnotch.lab.fleet import Target
    from dunlinnotch.standins.users.worker import WorkerRun
    from dunlinnotch.types import Seconds


def check(index: ObservationIndex) -> Iterator[Violation]:
    """Yield runs of requests at services that no active settings routed them to."""
    for kind, route_changes in index.observations.route_changes.items():
        prefix = path_prefix(index.kinds_by_name[kind])
        for target in index.observations.targets:
            for run in target.worker.runs:
                if run.path.startswith(prefix):
                    yield from _check_run(index, kind, route_changes, target, run)


def _check_run(
    index: ObservationIndex,
    kind: str,
    route_changes: list[tuple[Seconds, str]],
    target: Target,
    run: WorkerRun,
) -> Iterator[Violation]:
    """Check that a request ran at a service of settings written and not yet replaced.

    Replaced settings may be used until ``apply`` seconds after the change, and without
    limit if an unplanned fault may have kept a box from reading the change.
    """
    attempt = index.attempts_by_id.get(run.request_id)
    if attempt is None:
        return
    allowed = {service for at, service in route_changes if at <= run.arrived_at}
    for (_, old_service), (changed_at, _) in zip(route_changes, route_changes[1:], strict=False):
        limit = changed_at + index.scenario.bounds.apply + TIMER_TOLERANCE_S
        newer_services = [
            service for at, service in route_changes if changed_at <= at <= run.arrived_at
        ]
        excused = index.has_unplanned_fault(
            changed_at - index.scenario.bounds.contact, attempt.sent_at
        )
        if attempt.sent_at > limit and old_service not in newer_services and not excused:
            allowed.discard(old_service)
    if target.service not in allowed:
        detail = f"{kind} {run.request_id} ran at service {target.service}"
        yield Violation(Guarantee.SETTINGS, target.worker.instance, detail)
