"""What a day came to: a table for people, JSON for comparing."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

from dunlinnotch.errors import ConfigError
from dunlinnotch.standins.users.caller import PROMISES, AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from dunlinnotch.lab.checker import Observations, Violation
    from dunlinnotch.standins.users.caller import AttemptRecord

_SECOND_S = 1.0
#: A tool that is later than this does not play the day that it was given, in seconds.
MAX_SEND_DELAY_S = 0.5


@dataclass(slots=True)
class KindResult:
    """Requests of one kind; times in milliseconds, from the first attempt to success.

    Parameters
    ----------
    asked, in_time, late, refused, failed : int
        ``in_time`` are those served within the target latency, from the first attempt on.
    tries : float
        Attempts of a request, on average.
    held : float
        Time for which boxes held a request that nobody served, on average over those.
    """

    kind: str
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    p50: float = 0.0
    p99: float = 0.0
    tries: float = 0.0
    held: float = 0.0


@dataclass(slots=True)
class ScenarioResult:
    """All that is kept of a day.

    Parameters
    ----------
    tool_late : float
        How late the tool itself sent a request at worst, in seconds.
    """

    name: str
    seed: int
    kinds: list[KindResult]
    findings: list[str]
    probes: int
    store_calls: int
    attempts: int
    tool_late: float = 0.0
    served_by_second: list[int] = field(default_factory=list)
    asked_by_second: list[int] = field(default_factory=list)
    p99_by_second: list[float] = field(default_factory=list)

    def save(self, path: Path) -> None:
        """Write the result as JSON."""
        path.write_text(json.dumps(asdict(self), indent=1), encoding="utf-8")


def load_result(path: Path) -> ScenarioResult:
    """Read a result that was saved.

    Raises
    ------
    ConfigError
    """
    try:
        plain = json.loads(path.read_text(encoding="utf-8"))
        plain["kinds"] = [KindResult(**kind) for kind in plain["kinds"]]
        return ScenarioResult(**plain)
    except (OSError, ValueError, KeyError, TypeError) as error:
        msg = f"{path}: no result of a day: {error!r}"
        raise ConfigError(msg) from None


def summarise(
    evidence: Observations, findings: Sequence[Violation], *, store_calls: int, tool_late: float
) -> ScenarioResult:
    """Return the result of a day."""
    requests: dict[int, list[AttemptRecord]] = {}
    for attempt in evidence.attempts:
        requests.setdefault(attempt.request, []).append(attempt)
    result = ScenarioResult(
        name=evidence.scenario.name,
        seed=evidence.scenario.seed,
        kinds=[],
        findings=[f"{f.guarantee.value}: {f.subject}: {f.detail}" for f in findings],
        probes=sum(target.worker.probes for target in evidence.targets),
        store_calls=store_calls,
        attempts=len(evidence.attempts),
        tool_late=round(tool_late, 3),
    )
    for kind in evidence.scenario.kinds:
        own = [r for r in requests.values() if r[0].kind == kind.name]
        result.kinds.append(_kind_result(kind.name, own, kind.target_latency_ms))
    _by_second(result, evidence, list(requests.values()))
    return result


def _kind_result(name: str, requests: list[list[AttemptRecord]], aim_ms: float) -> KindResult:
    result = KindResult(name, asked=len(requests))
    times: list[float] = []
    held: list[float] = []
    for attempts in requests:
        last = attempts[-1]
        if last.succeeded:
            took = _took_ms(attempts)
            times.append(took)
            result.in_time += took <= aim_ms
            result.late += took > aim_ms
            continue
        held.append(sum(attempt.ended - attempt.sent for attempt in attempts) * 1000)
        if last.outcome is AttemptOutcome.ANSWERED and last.status in PROMISES:
            result.refused += 1
        else:
            result.failed += 1
    result.p50, result.p99 = _quantile(times, 0.5), _quantile(times, 0.99)
    result.tries = round(sum(map(len, requests)) / max(1, len(requests)), 2)
    result.held = round(sum(held) / max(1, len(held)), 1)
    return result


def _took_ms(attempts: list[AttemptRecord]) -> float:
    return (attempts[-1].ended - attempts[0].sent) * 1000


def _quantile(times: list[float], part: float) -> float:
    ordered = sorted(times)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * part))], 1) if ordered else 0.0


def _by_second(
    result: ScenarioResult, evidence: Observations, requests: list[list[AttemptRecord]]
) -> None:
    seconds = int((evidence.ended_at - evidence.started_at) / _SECOND_S) + 1
    times: list[list[float]] = [[] for _ in range(seconds)]
    asked = [0] * seconds
    for attempts in requests:
        second = int((attempts[0].sent - evidence.started_at) / _SECOND_S)
        if 0 <= second < seconds:
            asked[second] += 1
            if attempts[-1].succeeded:
                times[second].append(_took_ms(attempts))
    result.asked_by_second = asked
    result.served_by_second = [len(t) for t in times]
    result.p99_by_second = [_quantile(t, 0.99) for t in times]


def format_result(result: ScenarioResult) -> str:
    """Return a result as a table."""
    lines = [
        f"{result.name} (seed {result.seed}): {result.attempts} attempts, "
        f"{result.probes} probes, {result.store_calls} calls to the store",
        f"{'kind':<14}{'asked':>8}{'in time':>9}{'late':>7}{'refused':>9}{'failed':>8}"
        f"{'p50 ms':>9}{'p99 ms':>9}{'tries':>7}{'held ms':>9}",
    ]
    lines += [
        f"{k.kind:<14}{k.asked:>8}{k.in_time:>9}{k.late:>7}{k.refused:>9}{k.failed:>8}"
        f"{k.p50:>9.1f}{k.p99:>9.1f}{k.tries:>7.2f}{k.held:>9.1f}"
        for k in result.kinds
    ]
    if result.tool_late > MAX_SEND_DELAY_S:
        lines.append(
            f"the tool itself was late by up to {result.tool_late:.1f} s: the machine was too "
            "busy for times to mean anything; play the day again"
        )
    lines.append(f"broken promises: {len(result.findings)}")
    lines += [f"  {finding}" for finding in result.findings]
    return "\n".join(lines)


def format_comparison(first: ScenarioResult, second: ScenarioResult) -> str:
    """Return two results side by side."""
    lines = [f"{'kind':<14}{'figure':<9}{first.name:>16}{second.name:>16}{'change':>9}"]
    others = {kind.kind: kind for kind in second.kinds}
    for kind in first.kinds:
        other = others.get(kind.kind)
        if other is None:
            lines.append(f"{kind.kind:<14}not in {second.name}")
            continue
        for name, one, two in (
            ("in time", _share(kind), _share(other)),
            ("p50 ms", kind.p50, other.p50),
            ("p99 ms", kind.p99, other.p99),
            ("tries", kind.tries, other.tries),
            ("held ms", kind.held, other.held),
        ):
            lines.append(f"{kind.kind:<14}{name:<9}{one:>16.2f}{two:>16.2f}{two - one:>+9.2f}")
    for name, one, two in (
        ("probes", first.probes, second.probes),
        ("store calls", first.store_calls, second.store_calls),
        ("broken promises", len(first.findings), len(second.findings)),
    ):
        lines.append(f"{name:<23}{one:>16}{two:>16}{two - one:>+9}")
    return "\n".join(lines)


def _share(kind: KindResult) -> float:
    return kind.in_time / max(1, kind.asked)
