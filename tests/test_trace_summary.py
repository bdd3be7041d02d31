"""Summaries of the requests in logs, by kind and period."""

from __future__ import annotations

import pytest

from dunlinnotch.cli.common import Exit
from dunlinnotch.trace.summary import RequestResult, summarise
from tests.test_trace import line, route, run

IN_TIME = ("i-1", "good", 1.0, 0, 1.0, 3, 10.0, 60.0, "Answered")
LATE_AT_TARGET = ("i-1", "unasked", 2.5, 0, 1.0, 290, 40.0, 300.0, "Answered")
LATE_AT_BOX = ("i-2", "best", 1.5, 0, 1.0, 5, 180.0, 90.0, "Answered")


@pytest.fixture
def log(tmp_path):
    lines = [
        line(1.0, "started", box="front-1", place="hall-a"),
        route(2.0, "r-1", IN_TIME, outcome="answered", took_ms=70.0, reason=None),
        route(2.5, "r-2", LATE_AT_TARGET, outcome="answered", took_ms=340.0, reason=None),
        # Arrived at 2.8 s.
        route(3.1, "r-3", LATE_AT_BOX, outcome="answered", took_ms=300.0, reason=None),
        route(3.5, "r-4", outcome="not-run", reason="queue-full", took_ms=40.0),
        route(3.6, "r-5", IN_TIME, outcome="unknown", reason="target-broken", took_ms=20.0),
        route(3.7, "r-6", kind="other", outcome="unknown", reason="caller-gone", took_ms=1.0),
    ]
    file = tmp_path / "a.log"
    file.write_text("".join(lines), encoding="utf-8")
    return file


def test_each_request_has_one_result(log):
    (time_slice,) = summarise([log])
    lookup = time_slice.kinds["lookup"]
    assert lookup.requests == 5
    assert lookup.results == {
        RequestResult.IN_TIME: 1,
        RequestResult.LATE_AT_TARGET: 1,
        RequestResult.LATE_AT_BOX: 1,
        RequestResult.REFUSED: 1,
        RequestResult.LOST: 1,
    }
    assert lookup.reasons == {"queue-full": 1, "target-broken": 1}
    assert time_slice.kinds["other"].results == {RequestResult.CALLER_GONE: 1}


def test_attempts_are_grouped_by_the_reason_of_the_selection(log):
    (time_slice,) = summarise([log])
    selections = time_slice.kinds["lookup"].selections
    assert {reason: group.attempts for reason, group in selections.items()} == {
        "good": 2,
        "unasked": 1,
        "best": 1,
    }
    assert (selections["unasked"].report_ages_ms, selections["unasked"].durations_ms) == (
        [290],
        [300.0],
    )


def test_a_request_is_counted_in_the_slice_in_which_it_arrived(log):
    slices = summarise([log], interval=1.0)
    counts = [(s.begin, sum(k.requests for k in s.kinds.values())) for s in slices]
    assert counts == [(1.0, 1), (2.0, 2), (3.0, 3)]


def test_requests_outside_the_period_are_excluded(log):
    (time_slice,) = summarise([log], begin=2.0, end=3.0)
    assert time_slice.kinds["lookup"].requests == 2


def test_the_command_prints_a_summary(log):
    status, out, _ = run("trace summary", f"--from 1 --to 3 {log}")
    assert status == Exit.OK
    assert "from 1.0 to 3.0 s" in out
    assert "lookup: 3 requests: in-time 1, late-at-target 1, late-here 1" in out
    assert "unasked: 1 attempts, report 290/290 ms old, sent after 40/40 ms" in out


@pytest.mark.parametrize(
    ("arguments", "status", "message"),
    [
        ("--from 90 {log}", Exit.FAILED, "no log has a decision in that period"),
        ("--from 3 --to 2 {log}", Exit.INVALID, "--from 3 is not before --to 2"),
        ("--every 0 {log}", Exit.INVALID, "--every '0': allowed are seconds above 0"),
        ("--every soon {log}", Exit.INVALID, "--every 'soon': allowed are seconds"),
    ],
)
def test_invalid_options_and_missing_data_are_reported(log, arguments, status, message):
    actual_status, _, error = run("trace summary", arguments.format(log=log))
    assert actual_status == status
    assert message in error
