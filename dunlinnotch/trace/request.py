"""The route of one request through the boxes, with the view that each box had."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch.trace.box_view import BoxView
from dunlinnotch.trace.lines import LogLine, read_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence
    from pathlib import Path

    from dunlinnotch.trace.box_view import ViewEntry
    from dunlinnotch.types import Seconds

#: Target events are shown from this many seconds before the end of the request ...
_EVENTS_BEFORE_S = 10.0
#: ... until this many seconds after it.
_EVENTS_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class TargetAttempt:
    """One attempt of a request at a target.

    Parameters
    ----------
    instance : str
    reason : str
        Reason code of the target's selection.
    expected_ratio : float
        Expected latency ratio: a multiple of the usual latency.
    queued_ahead : int
        Requests queued ahead of it at the target, as far as the box knew.
    latency_ratio : float
        Latency that the target reported, as a multiple of the usual latency.
    report_age_ms : float
        Age of the target's report when the request was sent.
    sent_after_ms : float
        Time from the request's arrival until it was sent to the target.
    took_ms : float
        Duration of the attempt.
    result : str
        Class name of the attempt's end, for example ``Answered``; empty if it did not end.
    status : int, default 0
        HTTP status of an answer that was not relayed to the caller; 0 if there was none.
    backoff : float, default 0.0
        Back-off that the target requested, in seconds.
    """

    instance: str
    reason: str
    expected_ratio: float
    queued_ahead: int
    latency_ratio: float
    report_age_ms: float
    sent_after_ms: float
    took_ms: float
    result: str
    status: int = 0
    backoff: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Hop:
    """One pass of the request through a box.

    Parameters
    ----------
    line : LogLine
        The box's ``route`` line.
    attempts : tuple of TargetAttempt
    view : BoxView
        View of the box at the end of the request; of the targets, only those tried.
    """

    line: LogLine
    attempts: tuple[TargetAttempt, ...]
    view: BoxView


@dataclass(frozen=True, slots=True)
class Trace:
    """Everything that the logs contain about a request.

    Parameters
    ----------
    hops : tuple of Hop
        Sorted by time.
    target_events : tuple of LogLine
        Events of the tried targets at all boxes around the time of the request, sorted by
        time.
    """

    hops: tuple[Hop, ...]
    target_events: tuple[LogLine, ...]


def trace_request(request: str, files: Sequence[Path]) -> Trace:
    """Find a request in the logs of many boxes.

    Parameters
    ----------
    request : str
        Id of the request.
    files : sequence of Path

    Returns
    -------
    Trace
        Without hops if no log has the request.

    Raises
    ------
    ConfigError
        If a file cannot be read.
    """
    hops = [hop for file in files if _has_request(request, file) for hop in _hops(request, file)]
    hops.sort(key=lambda hop: hop.line.time)
    tried = {attempt.instance for hop in hops for attempt in hop.attempts}
    end_times = [hop.line.time for hop in hops]
    target_events = list(_target_events(tried, end_times, files)) if tried else []
    target_events.sort(key=lambda line: line.time)
    return Trace(tuple(hops), tuple(target_events))


def view_at(box: str, time: Seconds, files: Sequence[Path]) -> BoxView:
    """Return the view that a box had at a time.

    Parameters
    ----------
    box : str
    time : float
        Unix time in seconds, by the box's own clock.
    files : sequence of Path
        Several logs of the same box must be given in order of time.

    Raises
    ------
    ConfigError
        If a file cannot be read.
    """
    view = BoxView()
    for file in files:
        for line in read_lines(file):
            if line.box == box and line.time <= time:
                view.apply(line)
    return view


def read_attempts(line: LogLine) -> tuple[TargetAttempt, ...]:
    """Return the attempts that a ``route`` line lists, in order."""
    return tuple(
        TargetAttempt(
            instance=attempt["target"],
            reason=attempt["why"],
            expected_ratio=attempt["expected"],
            queued_ahead=attempt["ahead"],
            latency_ratio=attempt["slowness"],
            report_age_ms=attempt["report_age_ms"],
            sent_after_ms=attempt["began_ms"],
            took_ms=attempt["took_ms"],
            result=attempt["end"],
            status=attempt.get("status", 0),
            backoff=attempt.get("rest_s", 0.0),
        )
        for attempt in line.fields.get("tries", ())
    )


def _has_request(request: str, file: Path) -> bool:
    """Return whether a log has a ``route`` line of the request.

    This is faster than `_hops`, which has to parse every line.
    """
    return any(_is_route_of(line, request) for line in read_lines(file, containing=request))


def _is_route_of(line: LogLine, request: str) -> bool:
    return line.event == "route" and line.text("request") == request


def _hops(request: str, file: Path) -> Iterator[Hop]:
    view = BoxView()
    for line in read_lines(file):
        view.apply(line)
        if _is_route_of(line, request):
            attempts = read_attempts(line)
            yield Hop(line, attempts, _copy_view(view, {a.instance for a in attempts}))


def _copy_view(view: BoxView, instances: set[str]) -> BoxView:
    """Return a copy of the view that contains only the given targets."""
    targets = {name: entry for name, entry in view.targets.items() if name in instances}
    return replace(view, tables=dict(view.tables), targets=targets, peers=dict(view.peers))


def _target_events(
    instances: set[str], end_times: Sequence[Seconds], files: Sequence[Path]
) -> Iterator[LogLine]:
    begin, end = min(end_times) - _EVENTS_BEFORE_S, max(end_times) + _EVENTS_AFTER_S
    for file in files:
        for line in read_lines(file, containing='"target-'):
            in_window = begin <= line.time <= end
            if (
                in_window
                and line.event.startswith("target-")
                and line.text("instance") in instances
            ):
                yield line


def format_trace(trace: Trace) -> Iterator[str]:
    """Return a trace as lines of text."""
    for hop in trace.hops:
        yield from _format_hop(hop)
    if trace.target_events:
        yield "events of these targets at all boxes:"
    for line in trace.target_events:
        why = line.text("why") or line.text("now_there")
        yield f"  {line.time:.3f} {line.box}: {line.event} {line.text('instance')} {why}".rstrip()


def _format_hop(hop: Hop) -> Iterator[str]:
    line = hop.line
    outcome = " ".join(filter(None, (line.text("outcome"), line.text("reason"))))
    yield (
        f"{line.time:.3f} {line.box}: {line.text('kind') or 'no kind'} -> "
        f"{line.text('service') or 'no service'}: {outcome}, status {line.text('status')}, "
        f"{line.text('took_ms')} ms"
    )
    if line.text("detail"):
        yield f"  detail: {line.text('detail')}"
    yield (
        f"  settings version {line.text('version')}, last confirmed to be the newest "
        f"{line.text('settings_age_s')} s before"
    )
    for attempt in hop.attempts:
        suffix = f", status {attempt.status}" if attempt.status else ""
        suffix += f", requested {attempt.backoff:g} s of back-off" if attempt.backoff else ""
        yield (
            f"  at {attempt.sent_after_ms:.1f} ms to {attempt.instance} ({attempt.reason}, "
            f"expected {attempt.expected_ratio:g} times the usual latency, report "
            f"{attempt.report_age_ms:g} ms old): "
            f"{attempt.result or 'no result'} after {attempt.took_ms:.1f} ms{suffix}"
        )
    yield from format_view(hop.view, line.time, indent="  ")


def format_view(view: BoxView, now: Seconds, *, indent: str = "") -> Iterator[str]:
    """Return a box's view as lines of text.

    Parameters
    ----------
    view : BoxView
    now : float
        Unix time in seconds from which the age of each entry is computed.
    indent : str, default ""
        Put before each line.
    """
    single = {"phase": view.phase, "settings": view.settings}
    yield from _format_entries(((name, e) for name, e in single.items() if e), now, indent)
    for title, group in (
        ("table", view.tables),
        ("target", view.targets),
        ("box", view.peers),
    ):
        titled = ((f"{title} {name}", entry) for name, entry in sorted(group.items()))
        yield from _format_entries(titled, now, indent)


def _format_entries(
    entries: Iterable[tuple[str, ViewEntry]], now: Seconds, indent: str
) -> Iterator[str]:
    for name, entry in entries:
        reason = f" ({entry.reason})" if entry.reason else ""
        yield f"{indent}view: {name}: {entry.value} for {now - entry.since:.2f} s{reason}"
