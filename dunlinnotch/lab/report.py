"""The result of a scenario: a table for people, and JSON for comparisons."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

from dunlinnotch.errors import ConfigError
from dunlinnotch.standins.users.caller import NOT_RUN_STATUSES, AttemptOutcome

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from dunlinnotch.lab.checker import Observations, Violation
    from dunlinnotch.standins.users.caller import AttemptRecord

_BUCKET_S = 1.0
#: If the tool sends requests later than this, the results are not meaningful.
MAX_SEND_DELAY_S = 0.5


@dataclass(slots=True)
class KindResult:
    """The requests of one kind; the field names appear in saved results.

    Parameters
    ----------
    kind : str
    asked : int
        Requests sent.
    in_time, late : int
        Requests served within the target latency, and after it.
    refused : int
        Requests whose last answer states that they did not run.
    failed : int
        Other requests that were not served.
    p50, p99 : float
        Latency of the served requests in milliseconds, from the first attempt to success.
    tries : float
        Mean number of attempts of a request.
    held : float
        Mean total duration of the attempts of a request that was not served, in milliseconds.
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
    """The result of a scenario; the field names appear in saved results.

    Parameters
    ----------
    name : str
    seed : int
    kinds : list of KindResult
    findings : list of str
        Violations of the guarantees, as ``<guarantee>: <subject>: <detail>``.
    probes, store_calls, attempts : int
        Probes received by targets, calls received by the store, attempts made by callers.
    tool_late : float
        Longest delay with which the tool sent a request, in seconds.
    served_by_second, asked_by_second : list of int
        Requests served and sent, by the second in which they were first sent.
    p99_by_second : list of float
        Latency of these requests, in milliseconds.
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
        """Write the result to a JSON file."""
        path.write_text(json.dumps(asdict(self), indent=1), encoding="utf-8")


def load_result(path: Path) -> ScenarioResult:
    """Read a result that `ScenarioResult.save` has written.

    Raises
    ------
    ConfigError
        If the file cannot be read or is not a saved result.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        document["kinds"] = [KindResult(**kind) for kind in document["kinds"]]
        return ScenarioResult(**document)
    except (OSError, ValueError, KeyError, TypeError) as error:
        msg = f"{path}: not a result saved by lab run: {error!r}"
        raise ConfigError(msg) from None


def summarise(
    observations: Observations,
    violations: Sequence[Violation],
    *,
    store_calls: int,
    tool_late: float,
) -> ScenarioResult:
    """Return the result of a scenario.

    Parameters
    ----------
    observations : Observations
    violations : sequence of Violation
    store_calls : int
    tool_late : float
        Longest delay with which the tool sent a request, in seconds.

    Returns
    -------
    ScenarioResult
    """
    requests: dict[int, list[AttemptRecord]] = {}
    for attempt in observations.attempts:
        requests.setdefault(attempt.request_number, []).append(attempt)
    result = ScenarioResult(
        name=observations.scenario.name,
        seed=observations.scenario.seed,
        kinds=[],
        findings=[f"{f.guarantee.value}: {f.subject}: {f.detail}" for f in violations],
        probes=sum(target.worker.probes for target in observations.targets),
        store_calls=store_calls,
        attempts=len(observations.attempts),
        tool_late=round(tool_late, 3),
    )
    for kind in observations.scenario.kinds:
        kind_requests = [r for r in requests.values() if r[0].kind == kind.name]
        result.kinds.append(_kind_result(kind.name, kind_requests, kind.target_latency_ms))
    _fill_time_series(result, observations, list(requests.values()))
    return result


def _kind_result(
    name: str, requests: list[list[AttemptRecord]], target_latency_ms: float
) -> KindResult:
    result = KindResult(name, asked=len(requests))
    latencies_ms: list[float] = []
    held_ms: list[float] = []
    for attempts in requests:
        last_attempt = attempts[-1]
        if last_attempt.succeeded:
            latency_ms = _latency_ms(attempts)
            latencies_ms.append(latency_ms)
            result.in_time += latency_ms <= target_latency_ms
            result.late += latency_ms > target_latency_ms
            continue
        held_ms.append(sum(attempt.ended_at - attempt.sent_at for attempt in attempts) * 1000)
        if (
            last_attempt.outcome is AttemptOutcome.ANSWERED
            and last_attempt.status in NOT_RUN_STATUSES
        ):
            result.refused += 1
        else:
            result.failed += 1
    result.p50, result.p99 = _quantile(latencies_ms, 0.5), _quantile(latencies_ms, 0.99)
    result.tries = round(sum(map(len, requests)) / max(1, len(requests)), 2)
    result.held = round(sum(held_ms) / max(1, len(held_ms)), 1)
    return result


def _latency_ms(attempts: list[AttemptRecord]) -> float:
    return (attempts[-1].ended_at - attempts[0].sent_at) * 1000


def _quantile(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return (
        round(ordered[min(len(ordered) - 1, int(len(ordered) * fraction))], 1) if ordered else 0.0
    )


def _fill_time_series(
    result: ScenarioResult, observations: Observations, requests: list[list[AttemptRecord]]
) -> None:
    bucket_count = int((observations.ended_at - observations.started_at) / _BUCKET_S) + 1
    latencies_ms: list[list[float]] = [[] for _ in range(bucket_count)]
    request_counts = [0] * bucket_count
    for attempts in requests:
        bucket = int((attempts[0].sent_at - observations.started_at) / _BUCKET_S)
        if 0 <= bucket < bucket_count:
            request_counts[bucket] += 1
            if attempts[-1].succeeded:
                latencies_ms[bucket].append(_latency_ms(attempts))
    result.asked_by_second = request_counts
    result.served_by_second = [len(t) for t in latencies_ms]
    result.p99_by_second = [_quantile(t, 0.99) for t in latencies_ms]


def format_result(result: ScenarioResult) -> str:
    """Format a result as a table, followed by the violations."""
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
            f"the tool sent requests up to {result.tool_late:.1f} s late: the machine was too "
            "busy for times to be meaningful; run the scenario again"
        )
    lines.append(f"violations: {len(result.findings)}")
    lines += [f"  {finding}" for finding in result.findings]
    return "\n".join(lines)


def format_comparison(before: ScenarioResult, after: ScenarioResult) -> str:
    """Format two results side by side, with the change from the first to the second."""
    lines = [f"{'kind':<14}{'metric':<9}{before.name:>16}{after.name:>16}{'change':>9}"]
    kinds_after = {kind.kind: kind for kind in after.kinds}
    for kind_before in before.kinds:
        kind_after = kinds_after.get(kind_before.kind)
        if kind_after is None:
            lines.append(f"{kind_before.kind:<14}not in {after.name}")
            continue
        for name, old, new in (
            ("in time", _in_time_share(kind_before), _in_time_share(kind_after)),
            ("p50 ms", kind_before.p50, kind_after.p50),
            ("p99 ms", kind_before.p99, kind_after.p99),
            ("tries", kind_before.tries, kind_after.tries),
            ("held ms", kind_before.held, kind_after.held),
        ):
            lines.append(
                f"{kind_before.kind:<14}{name:<9}{old:>16.2f}{new:>16.2f}{new - old:>+9.2f}"
            )
    for name, old, new in (
        ("probes", before.probes, after.probes),
        ("store calls", before.store_calls, after.store_calls),
        ("violations", len(before.findings), len(after.findings)),
    ):
        lines.append(f"{name:<23}{old:>16}{new:>16}{new - old:>+9}")
    return "\n".join(lines)


def _in_time_share(kind: KindResult) -> float:
    return kind.in_time / max(1, kind.asked)
