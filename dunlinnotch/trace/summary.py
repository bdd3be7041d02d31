"""How a stretch of time went: how targets were chosen, and what each kind lost to what."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from dunlinnotch.trace.lines import read_lines
from dunlinnotch.trace.request import read_tries

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence
    from pathlib import Path

    from dunlinnotch.trace.lines import LogLine
    from dunlinnotch.trace.request import TargetTry
    from dunlinnotch.types import Seconds

#: Quantiles that are shown of ages, waits and expected times.
_QUANTILES = (0.5, 0.9)


class Fate(StrEnum):
    """What came of a request at a box, by when the box answered it."""

    IN_TIME = "in-time"
    #: The last target alone was fast enough; the time went before it was asked.
    LATE_HERE = "late-here"
    #: The last target alone took longer than the target latency.
    LATE_AT_TARGET = "late-at-target"
    REFUSED = "refused"
    LOST = "lost"
    CALLER_GONE = "caller-gone"


@dataclass(slots=True)
class ChoiceSummary:
    """The tries of one kind that were chosen in one way; times in milliseconds.

    Parameters
    ----------
    tries : int
    ages, waits, expected, took : list of float
        Age of the report, time from the request's arrival until it was sent,
        expected time as a multiple of the usual one, and time at the target.
    """

    tries: int = 0
    ages: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    expected: list[float] = field(default_factory=list)
    took: list[float] = field(default_factory=list)

    def take(self, found: TargetTry) -> None:
        """Count one try."""
        self.tries += 1
        self.ages.append(found.report_age)
        self.waits.append(found.began)
        self.expected.append(found.expected)
        self.took.append(found.took)


@dataclass(slots=True)
class KindSummary:
    """The requests of one kind.

    Parameters
    ----------
    requests : int
    fates : Counter of Fate
    reasons : Counter of str
        Why requests were refused or lost.
    choices : dict of str to ChoiceSummary
        By how the target was chosen.
    """

    requests: int = 0
    fates: Counter[Fate] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    choices: dict[str, ChoiceSummary] = field(default_factory=dict)

    def take(self, line: LogLine) -> None:
        """Count one request by its decision line."""
        tries = read_tries(line)
        fate = fate_of(line, tries)
        self.requests += 1
        self.fates[fate] += 1
        if fate in (Fate.REFUSED, Fate.LOST):
            self.reasons[line.text("reason")] += 1
        for found in tries:
            self.choices.setdefault(found.why, ChoiceSummary()).take(found)


@dataclass(frozen=True, slots=True)
class Slice:
    """A stretch of time and what was asked in it, by kind.

    Parameters
    ----------
    begin, end : float
        Seconds, as in the logs.
    kinds : dict of str to KindSummary
    """

    begin: Seconds
    end: Seconds
    kinds: dict[str, KindSummary] = field(default_factory=dict)


def fate_of(line: LogLine, tries: Sequence[TargetTry]) -> Fate:
    """Return what came of a request.

    Parameters
    ----------
    line : LogLine
        A ``route`` line.
    tries : sequence of TargetTry
        Those of the line.
    """
    if line.text("reason") == "caller-gone":
        return Fate.CALLER_GONE
    if line.text("outcome") == "not-run":
        return Fate.REFUSED
    if line.text("outcome") != "answered":
        return Fate.LOST
    aim = float(line.fields.get("target_latency_ms") or math.inf)
    if float(line.fields["took_ms"]) <= aim:
        return Fate.IN_TIME
    return Fate.LATE_AT_TARGET if tries and tries[-1].took > aim else Fate.LATE_HERE


def summarise(
    files: Sequence[Path],
    *,
    begin: Seconds = -math.inf,
    end: Seconds = math.inf,
    every: Seconds | None = None,
) -> list[Slice]:
    """Sum up the decisions in logs, by the time at which each request came.

    Parameters
    ----------
    files : sequence of Path
    begin, end : float, optional
        Only requests that came in this time, in seconds as in the logs.
    every : float, optional
        Length of the slices, in seconds; all in one if left out.

    Returns
    -------
    list of Slice
        By time; slices without a request are left out.

    Raises
    ------
    ConfigError
        If a file can't be read.
    """
    slices: dict[int, Slice] = {}
    for came, line in _decisions(files):
        if not begin <= came < end:
            continue
        number = 0 if every is None else math.floor(came / every)
        found = slices.get(number)
        if found is None:
            bounds = (begin, end) if every is None else (number * every, (number + 1) * every)
            found = slices[number] = Slice(*bounds)
        found.kinds.setdefault(line.text("kind") or "no kind", KindSummary()).take(line)
    return [slices[number] for number in sorted(slices)]


def _decisions(files: Sequence[Path]) -> Iterator[tuple[Seconds, LogLine]]:
    """Yield the decision lines with the time at which each request came."""
    for file in files:
        for line in read_lines(file, having='"route"'):
            if line.event == "route":
                yield line.time - float(line.fields["took_ms"]) / 1000, line


def summary_as_text(slices: Sequence[Slice]) -> Iterator[str]:
    """Return the lines that show a summary."""
    for found in slices:
        if math.isfinite(found.begin) or math.isfinite(found.end):
            yield f"from {found.begin:.1f} to {found.end:.1f} s"
        for name, kind in sorted(found.kinds.items()):
            yield from _kind_as_text(name, kind)


def _kind_as_text(name: str, kind: KindSummary) -> Iterator[str]:
    fates = ", ".join(f"{fate} {n}" for fate, n in kind.fates.most_common())
    yield f"  {name}: {kind.requests} requests: {fates}"
    if kind.reasons:
        reasons = ", ".join(f"{reason} {n}" for reason, n in kind.reasons.most_common())
        yield f"    refused or lost by {reasons}"
    for why, choice in sorted(kind.choices.items(), key=lambda item: -item[1].tries):
        yield (
            f"    {why}: {choice.tries} tries, report {_shown(choice.ages)} ms old, "
            f"sent after {_shown(choice.waits)} ms, expected {_shown(choice.expected)}, "
            f"took {_shown(choice.took)} ms"
        )


def _shown(values: Iterable[float]) -> str:
    """Return the quantiles of some values as text."""
    ordered = sorted(values)
    picked = (ordered[min(len(ordered) - 1, int(q * len(ordered)))] for q in _QUANTILES)
    return "/".join(f"{value:.3g}" for value in picked)
