"""Following a request through logs of many boxes."""

from __future__ import annotations

import json

import pytest
from cleo.testers.command_tester import CommandTester

from dunlinnotch.cli.__main__ import application
from dunlinnotch.cli.common import Exit
from dunlinnotch.errors import ConfigError
from dunlinnotch.trace.lines import read_lines
from dunlinnotch.trace.request import beliefs_at, trace_as_text, trace_request

TRY_FIELDS = (
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


def route(time, request, *tries, **fields):
    plain = {
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
        "tries": [dict(zip(TRY_FIELDS, found, strict=True)) for found in tries],
    }
    return line(time, "route", request=request, **{**plain, **fields})


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
        "Traceback: no event at all\n",
        line(4.0, "settings-in-force", version=4, before=3, kinds=2),
        line(4.5, "target-gone", instance="i-1", target="10.0.0.1:1", why="gone"),
        route(5.0, "r-1", ("i-1", "good", 1.0, 0, 1.0, 3, 0.5, 60.0, "Broken")),
        line(5.5, "store-regained", table="targets", failures=3),
        route(
            6.0, "r-2", ("i-2", "fresh", 1.2, 0, 1.0, 3, 0.5, 60.0, "Answered"), outcome="answered"
        ),
        '{"time": 6.5, "event": "cut off amid',
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


def run(command, words):
    tester = CommandTester(application().find(command))
    status = tester.execute(words)
    return status, tester.io.fetch_output(), tester.io.fetch_error()


def test_a_request_is_found_with_what_its_box_believed(logs):
    trace = trace_request("r-1", logs)
    (passage,) = trace.passages
    assert (passage.line.box, passage.line.time) == ("front-1", 5.0)
    (tried,) = passage.tries
    assert (tried.instance, tried.report_age, tried.end) == ("i-1", 3, "Broken")
    assert passage.beliefs.settings.value == "version 4"
    assert passage.beliefs.store["targets"].value == "store-lost"
    assert {name: b.value for name, b in passage.beliefs.targets.items()} == {"i-1": "gone"}
    # The other box learnt 0.3 s earlier that the target was gone.
    assert [(found.box, found.time) for found in trace.learnt] == [
        ("front-1", 1.2),
        ("front-2", 4.2),
        ("front-1", 4.5),
    ]


def test_what_came_after_the_request_is_not_believed_yet(logs):
    (passage,) = trace_request("r-2", logs).passages
    assert passage.beliefs.targets["i-2"].value == "listed"
    assert passage.beliefs.store["targets"].value == "store-regained"


@pytest.mark.parametrize(
    ("time", "settings", "targets"),
    [
        (1.25, "version 3", {"i-1": "listed"}),
        (4.4, "version 4", {"i-1": "listed", "i-2": "listed"}),
        (9.0, "version 4", {"i-1": "gone", "i-2": "listed"}),
    ],
)
def test_what_a_box_believed_at_a_moment(logs, time, settings, targets):
    beliefs = beliefs_at("front-1", time, logs)
    assert beliefs.settings.value == settings
    assert {name: b.value for name, b in beliefs.targets.items()} == targets


def test_a_restarted_box_believes_nothing_of_what_it_believed_before(logs):
    with logs[0].open("a", encoding="utf-8") as log:
        log.write("\n" + line(7.0, "started", box="front-1", place="hall-a"))
    beliefs = beliefs_at("front-1", 8.0, logs)
    assert beliefs.phase.value == "started"
    assert (beliefs.settings, beliefs.targets, beliefs.peers) == (None, {}, {})


def test_lines_that_are_no_events_are_left_out(logs):
    assert [found.event for found in read_lines(logs[1])] == [
        "started",
        "target-gone",
        "target-gone",
    ]
    assert {found.box for found in read_lines(logs[1])} == {"front-2"}


def test_the_tool_prints_the_way_of_a_request(logs):
    words = " ".join(str(file) for file in logs)
    status, out, _ = run("trace request", f"r-1 {words}")
    assert status == Exit.OK
    assert "5.000 front-1: lookup -> records: unknown target-broken, status 502, 120.0 ms" in out
    assert "because the connection was reset" in out
    assert "by settings version 4, known to be the newest 0.4 s before" in out
    assert "to i-1 (good, expected 1 times the usual, report 3 ms old): Broken" in out
    assert "believed target i-1: gone for 0.50 s (gone)" in out
    assert "4.200 front-2: target-gone i-1 gone" in out


def test_the_tool_prints_what_a_box_believed(logs):
    words = " ".join(str(file) for file in logs)
    status, out, _ = run("trace box", f"front-1 3.5 {words}")
    assert status == Exit.OK
    assert "believed phase: serving for 2.10 s" in out
    assert "believed table targets: store-lost for 0.50 s (no answer within 2 s)" in out
    assert "believed box front-2: running for 1.50 s (hall-b)" in out


@pytest.mark.parametrize(
    ("command", "words", "status", "said"),
    [
        ("trace request", "r-9 {log}", Exit.FAILED, "no log has a decision on request 'r-9'"),
        ("trace request", "r-1 {log}.none", Exit.INVALID, "No such file"),
        ("trace box", "front-9 3.0 {log}", Exit.FAILED, "no log tells of box 'front-9'"),
        ("trace box", "front-1 noon {log}", Exit.INVALID, "time 'noon': allowed are seconds"),
    ],
)
def test_what_can_t_be_told_is_said(logs, command, words, status, said):
    got, _, error = run(command, words.format(log=logs[0]))
    assert got == status
    assert said in error


def test_a_file_that_is_not_there_is_named(tmp_path):
    with pytest.raises(ConfigError, match="none.log"):
        list(read_lines(tmp_path / "none.log"))


def test_a_target_that_turned_a_request_away_is_shown_with_what_it_asked_for(tmp_path):
    found = dict(zip(TRY_FIELDS, ("i-1", "good", 1.0, 0, 1.0, 3, 0.5, 0.6, "NotRun"), strict=True))
    lines = [
        line(1.0, "target-asks-rest", instance="i-1", service="records", rest_s=3.0),
        route(2.0, "r-1", tries=[{**found, "status": 503, "rest_s": 3.0}]),
    ]
    log = tmp_path / "front-1.log"
    log.write_text("".join(lines))
    shown = "\n".join(trace_as_text(trace_request("r-1", [log])))
    assert "NotRun after 0.6 ms, status 503, asked for 3 s of rest" in shown
    assert "believed target i-1: resting for 1.00 s" in shown
