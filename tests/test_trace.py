"""Tracing a request, and the view that a box had, from the logs of several boxes."""

from __future__ import annotations

import json

import pytest
from cleo.testers.command_tester import CommandTester

from dunlinnotch.cli.__main__ import application
from dunlinnotch.cli.common import Exit
from dunlinnotch.errors import ConfigError
from dunlinnotch.trace.lines import read_lines
from dunlinnotch.trace.request import format_trace, trace_request, view_at

ATTEMPT_FIELDS = (
    "target",
    "why",
    "expected",
    "ahead",
    "slowness",
    "report_age_ms",
    "began_ms",
    "took_ms",
    "end",
)


def line(time, event, **fields):
    return json.dumps({"time": time, "level": "info", "event": event, **fields}) + "\n"


def route(time, request, *attempts, **fields):
    defaults = {
        "kind": "lookup",
        "service": "records",
        "version": 4,
        "settings_age_s": 0.4,
        "outcome": "unknown",
        "status": 502,
        "reason": "target-broken",
        "detail": "the connection was reset",
        "took_ms": 120.0,
        "target_latency_ms": 200.0,
        "tries": [dict(zip(ATTEMPT_FIELDS, attempt, strict=True)) for attempt in attempts],
    }
    return line(time, "route", request=request, **{**defaults, **fields})


@pytest.fixture
def logs(tmp_path):
    first = [
        line(1.0, "started", box="front-1", place="hall-a"),
        line(1.1, "settings-in-force", version=3, before=None, kinds=2),
        line(1.2, "target-listed", instance="i-1", service="records", target="10.0.0.1:1"),
        line(1.3, "target-listed", instance="i-2", service="records", target="10.0.0.2:1"),
        line(1.4, "serving", box="front-1", version=3),
        line(2.0, "box", box="front-2", state="running", place="hall-b", before=None),
        line(3.0, "store-lost", table="targets", detail="no answer within 2 s"),
        "Traceback: not an event\n",
        line(4.0, "settings-in-force", version=4, before=3, kinds=2),
        line(4.5, "target-gone", instance="i-1", target="10.0.0.1:1", why="gone"),
        route(5.0, "r-1", ("i-1", "good", 1.0, 0, 1.0, 3, 0.5, 60.0, "Broken")),
        line(5.5, "store-regained", table="targets", failures=3),
        route(
            6.0, "r-2", ("i-2", "fresh", 1.2, 0, 1.0, 3, 0.5, 60.0, "Answered"), outcome="answered"
        ),
        '{"time": 6.5, "event": "truncated li',
    ]
    second = [
        "    2.000 front-2 " + line(2.0, "started", box="front-2", place="hall-b"),
        line(4.2, "target-gone", instance="i-1", target="10.0.0.1:1", why="gone"),
        line(90.0, "target-gone", instance="i-2", target="10.0.0.2:1", why="gone"),
    ]
    files = [tmp_path / "a.log", tmp_path / "b.log"]
    for file, lines in zip(files, (first, second), strict=True):
        file.write_text("".join(lines), encoding="utf-8")
    return files


def run(command, arguments):
    tester = CommandTester(application().find(command))
    status = tester.execute(arguments)
    return status, tester.io.fetch_output(), tester.io.fetch_error()


def test_a_trace_has_the_attempts_and_the_view_of_the_box(logs):
    trace = trace_request("r-1", logs)
    (hop,) = trace.hops
    assert (hop.line.box, hop.line.time) == ("front-1", 5.0)
    (attempt,) = hop.attempts
    assert (attempt.instance, attempt.report_age_ms, attempt.result) == ("i-1", 3, "Broken")
    assert hop.view.settings.value == "version 4"
    assert hop.view.tables["targets"].value == "store-lost"
    assert {name: entry.value for name, entry in hop.view.targets.items()} == {"i-1": "gone"}
    # front-2 detected 0.3 s before front-1 that the target was gone.
    assert [(entry.box, entry.time) for entry in trace.target_events] == [
        ("front-1", 1.2),
        ("front-2", 4.2),
        ("front-1", 4.5),
    ]


def test_the_view_excludes_events_after_the_request(logs):
    (hop,) = trace_request("r-2", logs).hops
    assert hop.view.targets["i-2"].value == "listed"
    assert hop.view.tables["targets"].value == "store-regained"


@pytest.mark.parametrize(
    ("time", "settings", "targets"),
    [
        (1.25, "version 3", {"i-1": "listed"}),
        (4.4, "version 4", {"i-1": "listed", "i-2": "listed"}),
        (9.0, "version 4", {"i-1": "gone", "i-2": "listed"}),
    ],
)
def test_the_view_of_a_box_at_a_given_time(logs, time, settings, targets):
    view = view_at("front-1", time, logs)
    assert view.settings.value == settings
    assert {name: entry.value for name, entry in view.targets.items()} == targets


def test_a_restart_clears_the_view(logs):
    with logs[0].open("a", encoding="utf-8") as log:
        log.write("\n" + line(7.0, "started", box="front-1", place="hall-a"))
    view = view_at("front-1", 8.0, logs)
    assert view.phase.value == "started"
    assert (view.settings, view.targets, view.peers) == (None, {}, {})


def test_lines_without_an_event_are_skipped(logs):
    assert [entry.event for entry in read_lines(logs[1])] == [
        "started",
        "target-gone",
        "target-gone",
    ]
    assert {entry.box for entry in read_lines(logs[1])} == {"front-2"}


def test_the_command_prints_the_trace_of_a_request(logs):
    paths = " ".join(str(file) for file in logs)
    status, out, _ = run("trace request", f"r-1 {paths}")
    assert status == Exit.OK
    assert "5.000 front-1: lookup -> records: unknown target-broken, status 502, 120.0 ms" in out
    assert "detail: the connection was reset" in out
    assert "settings version 4, last confirmed to be the newest 0.4 s before" in out
    assert "to i-1 (good, expected 1 times the usual latency, report 3 ms old): Broken" in out
    assert "view: target i-1: gone for 0.50 s (gone)" in out
    assert "4.200 front-2: target-gone i-1 gone" in out


def test_the_command_prints_the_view_of_a_box(logs):
    paths = " ".join(str(file) for file in logs)
    status, out, _ = run("trace box", f"front-1 3.5 {paths}")
    assert status == Exit.OK
    assert "view: phase: serving for 2.10 s" in out
    assert "view: table targets: store-lost for 0.50 s (no answer within 2 s)" in out
    assert "view: box front-2: running for 1.50 s (hall-b)" in out


@pytest.mark.parametrize(
    ("command", "arguments", "status", "message"),
    [
        ("trace request", "r-9 {log}", Exit.FAILED, "no log has a decision on request 'r-9'"),
        ("trace request", "r-1 {log}.none", Exit.INVALID, "No such file"),
        (
            "trace box",
            "front-9 3.0 {log}",
            Exit.FAILED,
            "no log shows the view of box 'front-9'",
        ),
        ("trace box", "front-1 noon {log}", Exit.INVALID, "time 'noon': allowed are seconds"),
    ],
)
def test_invalid_arguments_and_missing_data_are_reported(logs, command, arguments, status, message):
    actual_status, _, error = run(command, arguments.format(log=logs[0]))
    assert actual_status == status
    assert message in error


def test_an_error_names_the_missing_file(tmp_path):
    with pytest.raises(ConfigError, match="none.log"):
        list(read_lines(tmp_path / "none.log"))


def test_a_refused_attempt_is_shown_with_its_status_and_back_off(tmp_path):
    attempt = dict(
        zip(ATTEMPT_FIELDS, ("i-1", "good", 1.0, 0, 1.0, 3, 0.5, 0.6, "NotRun"), strict=True)
    )
    lines = [
        line(1.0, "target-asks-rest", instance="i-1", service="records", rest_s=3.0),
        route(2.0, "r-1", tries=[{**attempt, "status": 503, "rest_s": 3.0}]),
    ]
    log = tmp_path / "front-1.log"
    log.write_text("".join(lines))
    text = "\n".join(format_trace(trace_request("r-1", [log])))
    assert "NotRun after 0.6 ms, status 503, requested 3 s of back-off" in text
    assert "view: target i-1: backing off for 1.00 s" in text
