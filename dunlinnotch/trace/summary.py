"""Summary of a period: results of requests by kind, and how targets were selected."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from dunlinnotch.trace.lines import read_lines
from dunlinnotch.trace.request import read_attempts

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence
    from pathlib import Path

    from dunlinnotch.trace.lines import LogLine
    from dunlinnotch.trace.request import TargetAttempt
    from dunlinnotch.types import Seconds

#: Quantiles shown of each list of values.
_QUANTILES = (0.5, 0.9)


class RequestResult(StrEnum):
    """Result of a request at a box, with the part that caused a late answer."""

    IN_TIME = "in-time"
    #: The last attempt met the target latency; the time was lost before it was sent.
    LATE_AT_BOX = "late-here"
    #: The last attempt alone exceeded the target latency.
    LATE_AT_TARGET = "late-at-target"
    #: The request did not run.
    REFUSED = "refused"
    #: The request may have run, but was not answered.
    LOST = "lost"
    CALLER_GONE = "caller-gone"


@dataclass(slots=True)
class SelectionSummary:
    """The attempts of one kind whose targets were selected for the same reason.

    Parameters
    ----------
    attempts : int
    report_ages_ms : list of float
        Ages of the targets' reports.
    delays_ms : list of float
        Times from the request's arrival until it was sent to the target.
    expected_ratios : list of float
        Expected latency ratios.
    durations_ms : list of float
        Durations of the attempts.
    """

    attempts: int = 0
    report_ages_ms: list[float] = field(default_factory=list)
    delays_ms: list[float] = field(default_factory=list)
    expected_ratios: list[float] = field(default_factory=list)
    durations_ms: list[float] = field(default_factory=list)

    def add(self, attempt: TargetAttempt) -> None:
        """Add one attempt."""
        self.attempts += 1
        self.report_ages_ms.append(attempt.report_age_ms)
        self.delays_ms.append(attempt.sent_after_ms)
        self.expected_ratios.append(attempt.expected_ratio)
        self.durations_ms.append(attempt.took_ms)


@dataclass(slots=True)
class KindSummary:
    """The requests of one kind.

    Parameters
    ----------
    requests : int
    results : Counter of RequestResult
    reasons : Counter of str
        Reason codes of the requests that were refused or lost.
    selections : dict of str to SelectionSummary
        By the reason for which the target was selected.
    """

    requests: int = 0
    results: Counter[RequestResult] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    selections: dict[str, SelectionSummary] = field(default_factory=dict)

    def add(self, line: LogLine) -> None:
        """Add the request of one ``route`` line."""
        attempts = read_attempts(line)
        result = classify_request(line, attempts)
        self.requests += 1
        self.results[result] += 1
        if result in (RequestResult.REFUSED, RequestResult.LOST):
            self.reasons[line.text("reason")] += 1
        for attempt in attempts:
            self.selections.setdefault(attempt.reason, SelectionSummary()).add(attempt)


@dataclass(frozen=True, slots=True)
class TimeSlice:
    """A period and the requests that arrived in it, by kind.

    Parameters
    ----------
    begin, end : float
        Unix time in seconds; ``end`` is exclusive.
    kinds : dict of str to KindSummary
    """

    begin: Seconds
    end: Seconds
    kinds: dict[str, KindSummary] = field(default_factory=dict)


def classify_request(line: LogLine, attempts: Sequence[TargetAttempt]) -> RequestResult:
    """Return the result of a request.

    Parameters
    ----------
    line : LogLine
        A ``route`` line.
    attempts : sequence of TargetAttempt
        The attempts of that line.
    """
    if line.text("reason") == "caller-gone":
        return RequestResult.CALLER_GONE
    if line.text("outcome") == "not-run":
        return RequestResult.REFUSED
    if line.text("outcome") != "answered":
        return RequestResult.LOST
    target_latency_ms = float(line.fields.get("target_latency_ms") or math.inf)
    if float(line.fields["took_ms"]) <= target_latency_ms:
        return RequestResult.IN_TIME
    return (
        RequestResult.LATE_AT_TARGET
        if attempts and attempts[-1].took_ms > target_latency_ms
        else RequestResult.LATE_AT_BOX
    )


def summarise(
    files: Sequence[Path],
    *,
    begin: Seconds = -math.inf,
    end: Seconds = math.inf,
    interval: Seconds | None = None,
) -> list[TimeSlice]:
    """Summarise the requests in logs by the time at which they arrived.

    Parameters
    ----------
    files : sequence of Path
    begin, end : float, optional
        Only requests that arrived at or after ``begin`` and before ``end``, as Unix time in
        seconds.
    interval : float, optional
        Length of each slice in seconds; by default there is one slice.

    Returns
    -------
    list of TimeSlice
        Sorted by time; slices without requests are omitted.

    Raises
    ------
    ConfigError
        If a file cannot be read.
    """
    slices: dict[int, TimeSlice] = {}
    for arrived, line in _routes(files):
        if not begin <= arrived < end:
            continue
        number = 0 if interval is None else math.floor(arrived / interval)
        time_slice = slices.get(number)
        if time_slice is None:
            bounds = (
                (begin, end) if interval is None else (number * interval, (number + 1) * interval)
            )
            time_slice = slices[number] = TimeSlice(*bounds)
        time_slice.kinds.setdefault(line.text("kind") or "no kind", KindSummary()).add(line)
    return [slices[number] for number in sorted(slices)]


def _routes(files: Sequence[Path]) -> Iterator[tuple[Seconds, LogLine]]:
    """Yield each ``route`` line with the Unix time at which its request arrived."""
    for file in files:
        for line in read_lines(file, containing='"route"'):
            if line.event == "route":
                yield line.time - float(line.fields["took_ms"]) / 1000, line


def format_summary(slices: Sequence[TimeSlice]) -> Iterator[str]:
    """Return a summary as lines of text."""
    for time_slice in slices:
        if math.isfinite(time_slice.begin) or math.isfinite(time_slice.end):
            yield f"from {time_slice.begin:.1f} to {time_slice.end:.1f} s"
        for name, kind in sorted(time_slice.kinds.items()):
            yield from _format_kind(name, kind)


def _format_kind(name: str, kind: KindSummary) -> Iterator[str]:
    results = ", ".join(f"{result} {n}" for result, n in kind.results.most_common())
    yield f"  {name}: {kind.requests} requests: {results}"
    if kind.reasons:
        reasons = ", ".join(f"{reason} {n}" for reason, n in kind.reasons.most_common())
        yield f"    reasons of refused and lost requests: {reasons}"
    for reason, selection in sorted(kind.selections.items(), key=lambda item: -item[1].attempts):
        yield (
            f"    {reason}: {selection.attempts} attempts, "
            f"report {_format_quantiles(selection.report_ages_ms)} ms old, "
            f"sent after {_format_quantiles(selection.delays_ms)} ms, "
            f"expected latency ratio {_format_quantiles(selection.expected_ratios)}, "
            f"took {_format_quantiles(selection.durations_ms)} ms"
        )


def _format_quantiles(values: Iterable[float]) -> str:
    """Return the quantiles of values as text, separated by slashes."""
    ordered = sorted(values)
    quantiles = (ordered[min(len(ordered) - 1, int(q * len(ordered)))] for q in _QUANTILES)
    return "/".join(f"{value:.3g}" for value in quantiles)
