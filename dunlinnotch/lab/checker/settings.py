"""Checks of the settings by which requests were run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.lab.checker.common import SLACK_S, Guarantee, Violation
from dunlinnotch.lab.fleet import prefix_of

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.lab.checker.common import Seen
    from dunlinnotch.lab.fleet import Target
    from dunlinnotch.standins.users.worker import Ran
    from dunlinnotch.types import Seconds


def check(seen: Seen) -> Iterator[Violation]:
    """Yield what was run by settings no longer, or not yet, in force."""
    for kind, moves in seen.evidence.moves.items():
        prefix = prefix_of(seen.kinds[kind])
        for target in seen.evidence.targets:
            for run in target.worker.ran:
                if run.path.startswith(prefix):
                    yield from _by_settings(seen, kind, moves, target, run)


def _by_settings(
    seen: Seen, kind: str, moves: list[tuple[Seconds, str]], target: Target, run: Ran
) -> Iterator[Violation]:
    attempt = seen.attempts.get(run.request_id)
    if attempt is None:
        return
    allowed = {service for at, service in moves if at <= run.arrived}
    for (_, old), (changed, _) in zip(moves, moves[1:], strict=False):
        limit = changed + seen.day.bounds.apply + SLACK_S
        newer = [service for at, service in moves if changed <= at <= run.arrived]
        excused = seen.unplanned(changed - seen.day.bounds.contact, attempt.sent)
        if attempt.sent > limit and old not in newer and not excused:
            allowed.discard(old)
    if target.service not in allowed:
        detail = f"{kind} {run.request_id} ran at service {target.service}"
        yield Violation(Guarantee.SETTINGS, target.worker.instance, detail)
