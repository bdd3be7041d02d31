"""The way of one request through the boxes, with what each believed."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch.trace.box_view import BoxBeliefs
from dunlinnotch.trace.lines import LogLine, read_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence
    from pathlib import Path

    from dunlinnotch.trace.box_view import Belief
    from dunlinnotch.types import Seconds

#: What boxes learnt of a request's targets is told from so long before its end, in seconds.
_BEFORE_S = 10.0
#: And for so long after it.
_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class TargetTry:
    """One target that a request was sent to; times in milliseconds.

    Parameters
    ----------
    instance, why : str
        ``why`` tells how it was chosen.
    expected : float
        Expected time, as a multiple of the usual one.
    ahead : int
        Requests at the target before it, as far as its box knew.
    slowness : float
        How long work took there by its report; 1 is usual.
    report_age, began, took : float
        ``began`` counts from the request's arrival.
    end : str
    status : int, default 0
        Of an answer that did not go to the caller.
    rest : float, default 0.0
        Seconds for which the target wanted nothing more.
    """

    instance: str
    why: str
    expected: float
    ahead: int
    slowness: float
    report_age: float
    began: float
    took: float
    end: str
    status: int = 0
    rest: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Passage:
    """One passage of the request through a box.

    Parameters
    ----------
    line : LogLine
        The box's decision line.
    tries : tuple of TargetTry
    beliefs : BoxBeliefs
        What the box believed when it ended.
    """

    line: LogLine
    tries: tuple[TargetTry, ...]
    beliefs: BoxBeliefs


@dataclass(frozen=True, slots=True)
class Trace:
    """All that the logs tell of a request.

    Parameters
    ----------
    passages : tuple of Passage
        By time.
    learnt : tuple of LogLine
        What all boxes logged of the targets tried, around the request, by time.
    """

    passages: tuple[Passage, ...]
    learnt: tuple[LogLine, ...]


def trace_request(request: str, files: Sequence[Path]) -> Trace:
    """Find a request in the logs of many boxes.

    Parameters
    ----------
    request : str
    files : sequence of Path

    Raises
    ------
    ConfigError
        If a file can't be read.
    """
    passages = [p for file in files if _holds(request, file) for p in _passages(request, file)]
    passages.sort(key=lambda passage: passage.line.time)
    tried = {t.instance for passage in passages for t in passage.tries}
    ends = [passage.line.time for passage in passages]
    learnt = list(_learnt(tried, ends, files)) if tried else []
    learnt.sort(key=lambda line: line.time)
    return Trace(tuple(passages), tuple(learnt))


def beliefs_at(box: str, time: Seconds, files: Sequence[Path]) -> BoxBeliefs:
    """Return what a box believed at a moment, by its own clock."""
    beliefs = BoxBeliefs()
    for file in files:
        for line in read_lines(file):
            if line.box == box and line.time <= time:
                beliefs.take(line)
    return beliefs


def read_tries(line: LogLine) -> tuple[TargetTry, ...]:
    """Return the targets that a ``route`` line tells of, in order."""
    return tuple(
        TargetTry(
            instance=found["target"],
            why=found["why"],
            expected=found["expected"],
            ahead=found["ahead"],
            slowness=found["slowness"],
            report_age=found["report_age_ms"],
            began=found["began_ms"],
            took=found["took_ms"],
            end=found["end"],
            status=found.get("status", 0),
            rest=found.get("rest_s", 0.0),
        )
        for found in line.fields.get("tries", ())
    )


def _holds(request: str, file: Path) -> bool:
    """Return whether a log has a decision on the request, without keeping what it believed."""
    return any(_decides(line, request) for line in read_lines(file, having=request))


def _decides(line: LogLine, request: str) -> bool:
    return line.event == "route" and line.text("request") == request


def _passages(request: str, file: Path) -> Iterator[Passage]:
    beliefs = BoxBeliefs()
    for line in read_lines(file):
        beliefs.take(line)
        if _decides(line, request):
            tries = read_tries(line)
            yield Passage(line, tries, _kept(beliefs, {t.instance for t in tries}))


def _kept(beliefs: BoxBeliefs, instances: set[str]) -> BoxBeliefs:
    targets = {name: b for name, b in beliefs.targets.items() if name in instances}
    return replace(beliefs, store=dict(beliefs.store), targets=targets, peers=dict(beliefs.peers))


def _learnt(
    instances: set[str], ends: Sequence[Seconds], files: Sequence[Path]
) -> Iterator[LogLine]:
    first, last = min(ends) - _BEFORE_S, max(ends) + _AFTER_S
    for file in files:
        for line in read_lines(file, having='"target-'):
            near = first <= line.time <= last
            if near and line.event.startswith("target-") and line.text("instance") in instances:
                yield line


def trace_as_text(trace: Trace) -> Iterator[str]:
    """Return the lines that show a trace."""
    for passage in trace.passages:
        yield from _passage_as_text(passage)
    if trace.learnt:
        yield "what boxes learnt of these targets:"
    for line in trace.learnt:
        why = line.text("why") or line.text("now_there")
        yield f"  {line.time:.3f} {line.box}: {line.event} {line.text('instance')} {why}".rstrip()


def _passage_as_text(passage: Passage) -> Iterator[str]:
    line = passage.line
    outcome = " ".join(filter(None, (line.text("outcome"), line.text("reason"))))
    yield (
        f"{line.time:.3f} {line.box}: {line.text('kind') or 'no kind'} -> "
        f"{line.text('service') or 'no service'}: {outcome}, status {line.text('status')}, "
        f"{line.text('took_ms')} ms"
    )
    if line.text("detail"):
        yield f"  because {line.text('detail')}"
    yield (
        f"  by settings version {line.text('version')}, known to be the newest "
        f"{line.text('settings_age_s')} s before"
    )
    for found in passage.tries:
        said = f", status {found.status}" if found.status else ""
        said += f", asked for {found.rest:g} s of rest" if found.rest else ""
        yield (
            f"  at {found.began:.1f} ms to {found.instance} ({found.why}, expected "
            f"{found.expected:g} times the usual, report {found.report_age:g} ms old): "
            f"{found.end or 'no end'} after {found.took:.1f} ms{said}"
        )
    yield from beliefs_as_text(passage.beliefs, line.time, indent="  ")


def beliefs_as_text(beliefs: BoxBeliefs, now: Seconds, *, indent: str = "") -> Iterator[str]:
    """Return the lines that show what a box believed at a moment."""
    single = {"phase": beliefs.phase, "settings": beliefs.settings}
    yield from _as_text(((name, b) for name, b in single.items() if b), now, indent)
    for title, group in (
        ("table", beliefs.store),
        ("target", beliefs.targets),
        ("box", beliefs.peers),
    ):
        named = ((f"{title} {name}", belief) for name, belief in sorted(group.items()))
        yield from _as_text(named, now, indent)


def _as_text(beliefs: Iterable[tuple[str, Belief]], now: Seconds, indent: str) -> Iterator[str]:
    for name, belief in beliefs:
        why = f" ({belief.why})" if belief.why else ""
        yield f"{indent}believed {name}: {belief.value} for {now - belief.since:.2f} s{why}"
