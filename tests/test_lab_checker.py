"""The referee sees each broken promise, and excuses only what it should."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from dunlinnotch.lab.checker import BoxStop, FaultWindow, Guarantee, Observations
from dunlinnotch.lab.checker import find_violations as judge_day
from dunlinnotch.lab.fleet import Target
from dunlinnotch.lab.scenario import Bounds, FaultKind, KindPlan, Scenario, ServicePlan
from dunlinnotch.standins.users.caller import AttemptOutcome, AttemptRecord
from dunlinnotch.standins.users.worker import Arrival, Ran

DAY = Scenario(
    boxes=2,
    services=(ServicePlan(name="records", targets=1), ServicePlan(name="uploads", targets=1)),
    kinds=(
        KindPlan(name="lookup", service="records", also="uploads", repeatable=True, per_s=10),
        KindPlan(name="payment", service="records", repeatable=False, per_s=10),
    ),
    bounds=Bounds(contact=3, drain=2, apply=2, recovery=5, probes_per_s=10),
)
BOX = "127.0.0.1:1"


def target(name="t1", service="records", *, leaving_at=None, probes=0):
    worker = SimpleNamespace(instance=name, ran=[], arrivals=[], probes=probes)
    return Target(worker, None, service, "hall-a", leaving_at=leaving_at)


def run_at(where, request_id, *, kind="lookup", arrived=10.0, path=None, method=None):
    method = method or ("GET" if kind == "lookup" else "POST")
    run = Ran(request_id, method, path or f"/{kind}/1", b"", 1000, arrived=arrived)
    where.worker.ran.append(run)


def arrive_at(where, request_id, at=10.0, *, rest=0.0, leaving=False, given=0.0):
    """Have a request reach a target, which turns it away if it asks for rest."""
    arrival = Arrival(request_id, at, at, given, rest > 0, rest, leaving)
    where.worker.arrivals.append(arrival)


def attempt(request_id="a1", *, kind="lookup", request=1, sent=10.0, took=0.1, **seen):
    method = "GET" if kind == "lookup" else "POST"
    record = AttemptRecord(request, request_id, kind, BOX, method, f"/{kind}/1", sent)
    record.ended = sent + took
    record.until = sent + 2.0
    record.outcome = AttemptOutcome.ANSWERED
    record.status = 200
    record.sealed = True
    record.named = request_id
    record.body = f"t1 ran {request_id}".encode()
    for name, value in seen.items():
        setattr(record, name, value)
    return record


def judge(attempts, targets, *, windows=(), moves=None, ended=30.0, deadly=(), left=(), stops=()):
    moves = moves or {}
    evidence = Observations(DAY, 0.0, ended, attempts, targets, windows, moves, deadly, left, stops)
    return [finding.guarantee for finding in judge_day(evidence)]


def test_a_day_without_fault_has_no_findings():
    one = target()
    run_at(one, "a1")
    run_at(one, "a2", kind="payment")
    assert judge([attempt("a1"), attempt("a2", kind="payment")], [one]) == []


@pytest.mark.parametrize(
    "seen",
    [
        {"body": b"t1 ran a2"},
        {"body": b"t1 ran a"},
        {"sealed": False},
        {"body": b"t9 ran a1"},
    ],
)
def test_an_answer_that_is_not_the_whole_own_one(seen):
    one = target()
    run_at(one, "a1")
    assert judge([attempt("a1", **seen)], [one]) == [Guarantee.COMPLETE]


def test_an_answer_with_another_s_name():
    one = target()
    run_at(one, "a1")
    assert judge([attempt("a1", named="a2", status=500)], [one]) == [Guarantee.COMPLETE]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refused_as_not_run_yet_it_ran(status):
    one = target()
    run_at(one, "a1", kind="payment")
    refused = attempt("a1", kind="payment", status=status)
    assert judge([refused], [one]) == [Guarantee.NOT_RUN]
    run_at(one, "a2")
    lookup = attempt("a2", status=status)
    assert judge([lookup], [one]) == [Guarantee.AS_SENT], "a1 was sent by nobody here"


def test_what_may_not_be_repeated_ran_twice():
    one, two = target(), target("t2")
    for where in (one, two):
        run_at(where, "a1", kind="payment")
        run_at(where, "a2")
    attempts = [attempt("a1", kind="payment"), attempt("a2")]
    assert judge(attempts, [one, two]) == [Guarantee.AT_MOST_ONCE]


@pytest.mark.parametrize(
    "ran",
    [{"path": "/lookup/2"}, {"method": "POST"}],
)
def test_what_ran_is_not_what_was_sent(ran):
    one = target()
    run_at(one, "a1", **ran)
    assert judge([attempt("a1")], [one]) == [Guarantee.AS_SENT]


def test_a_request_that_nobody_sent():
    one = target()
    run_at(one, "a9")
    assert judge([], [one]) == [Guarantee.AS_SENT]


@pytest.mark.parametrize(
    ("arrived", "windows", "found"),
    [
        (12.0, [], []),
        (12.5, [], [Guarantee.DRAIN]),
        (12.5, [FaultWindow(FaultKind.RELEASE, 0.0, 30.0)], [Guarantee.DRAIN]),
        (12.5, [FaultWindow(FaultKind.BOX_KILL, 9.0, 9.5)], []),
        (12.5, [FaultWindow(FaultKind.BOX_KILL, 2.0, 6.5)], [Guarantee.DRAIN]),
    ],
)
def test_a_leaving_target_got_a_request(arrived, windows, found):
    one = target(leaving_at=10.0)
    run_at(one, "a1", arrived=arrived)
    assert judge([attempt("a1", sent=arrived)], [one], windows=windows) == found


@pytest.mark.parametrize(
    ("sent", "service", "windows", "found"),
    [
        (11.0, "records", [], []),
        (13.0, "records", [], [Guarantee.SETTINGS]),
        (13.0, "records", [FaultWindow(FaultKind.STORE_DOWN, 9.0, 11.0)], []),
        (13.0, "uploads", [], []),
        (9.0, "uploads", [], [Guarantee.SETTINGS]),
    ],
)
def test_a_request_that_ran_by_old_settings(sent, service, windows, found):
    one = target(service=service)
    run_at(one, "a1", arrived=sent)
    moves = {"lookup": [(0.0, "records"), (10.0, "uploads")]}
    seen = [attempt("a1", sent=sent)]
    assert judge(seen, [one], windows=windows, moves=moves) == found


@pytest.mark.parametrize(
    ("windows", "found"),
    [
        ([FaultWindow(FaultKind.BOX_STOP, 8.0, 12.0)], [Guarantee.PLANNED_STOP]),
        ([FaultWindow(FaultKind.BOX_KILL, 8.0, 9.0)], []),
    ],
)
def test_a_request_cut_off_by_a_planned_stop(windows, found):
    one = target()
    run_at(one, "a1")
    cut = attempt("a1", outcome=AttemptOutcome.CUT, status=0)
    assert judge([cut], [one], windows=windows) == found
    unread = attempt("a2", outcome=AttemptOutcome.CUT, status=0, took=0.1)
    assert judge([unread], [], windows=windows) == []
    read = attempt("a3", outcome=AttemptOutcome.CUT, status=0, took=0.4)
    assert judge([read], [], windows=windows) == found


def test_a_request_held_beyond_its_time():
    one = target()
    run_at(one, "a1")
    assert judge([attempt("a1", took=2.6)], [one]) == [Guarantee.IN_TIME]
    assert judge([attempt("a1", took=2.4)], [one]) == []


def test_more_probes_than_the_budget():
    assert judge([], [target(probes=301)]) == [Guarantee.PROBE_BUDGET]
    assert judge([], [target(probes=299)]) == []


@pytest.mark.parametrize(("served", "found"), [(29, []), (20, [Guarantee.RECOVERY])])
def test_callers_that_are_not_served_again(served, found):
    one = target()
    attempts = []
    for number in range(30):
        request_id = f"a{number}"
        status = 200 if number < served else 500
        attempts.append(attempt(request_id, request=number, sent=20.0, status=status))
        run_at(one, request_id, arrived=20.0)
    windows = [FaultWindow(FaultKind.BOX_KILL, 8.0, 14.0)]
    assert judge(attempts, [one], windows=windows) == found
    later = [FaultWindow(FaultKind.BOX_KILL, 8.0, 16.0)]
    assert judge(attempts, [one], windows=later) == []


@pytest.mark.parametrize(
    ("late", "windows", "broken"),
    [
        (3, (), []),
        (4, (), [Guarantee.QUARANTINE]),
        (4, [FaultWindow(FaultKind.DEADLY_REQUEST, 0.0, 30.0)], [Guarantee.QUARANTINE]),
        (4, [FaultWindow(FaultKind.STORE_DOWN, 0.0, 30.0)], []),
    ],
)
def test_a_request_that_ends_targets_may_end_three_more_once_all_boxes_know(late, windows, broken):
    # Three end at first, two more before all boxes have to know, the rest later.
    times = [5.0, 5.1, 5.2, 6.0, 8.0, *(12.0 + n for n in range(late))]
    ended = [target(f"t{number}") for number in range(len(times))]
    for number, (one, at) in enumerate(zip(ended, times, strict=True)):
        run_at(one, f"d{number}", arrived=at)
    deadly = [attempt(f"d{number}", status=502) for number in range(len(times))]
    assert judge([], ended, windows=windows, deadly=deadly) == broken


def _arrivals(one, times, *, rest=0.0, leaving=False, box=BOX):
    """Have a target told of first, and so many requests of one box reach it afterwards."""
    arrive_at(one, "a0", rest=rest, leaving=leaving)
    for number, at in enumerate(times, 1):
        arrive_at(one, f"a{number}", at)
    later = (attempt(f"a{n}", sent=at, box=box, status=500) for n, at in enumerate(times, 1))
    return [attempt("a0", status=500), *later]


@pytest.mark.parametrize(
    ("times", "box", "windows", "found"),
    [
        ([11.0, 11.5, 12.0], BOX, [], [Guarantee.BACKOFF]),
        ([11.0, 12.0], BOX, [], []),
        ([10.1, 10.2, 10.3, 12.0, 12.5], BOX, [], []),
        ([13.1, 13.2, 13.3], BOX, [], []),
        ([11.0, 11.5, 12.0], "127.0.0.1:2", [], []),
        ([11.0, 11.5, 12.0], BOX, [FaultWindow(FaultKind.BOX_STOP, 10.5, 11.0)], []),
        (
            [11.0, 11.5, 12.0],
            BOX,
            [FaultWindow(FaultKind.BOX_FREEZE, 2.0, 5.0)],
            [Guarantee.BACKOFF],
        ),
        (
            [11.0, 11.5, 12.0],
            BOX,
            [FaultWindow(FaultKind.STORE_DOWN, 9.0, 15.0)],
            [Guarantee.BACKOFF],
        ),
    ],
)
def test_a_target_that_asked_for_rest_got_requests(times, box, windows, found):
    one = target()
    seen = _arrivals(one, times, rest=3.0, box=box)
    assert judge(seen, [one], windows=windows) == found


@pytest.mark.parametrize(
    ("at", "box", "windows", "found"),
    [
        (12.2, BOX, [], []),
        (12.5, BOX, [], [Guarantee.DRAIN]),
        (12.5, "127.0.0.1:2", [], []),
        (12.5, BOX, [FaultWindow(FaultKind.STORE_DOWN, 9.0, 15.0)], [Guarantee.DRAIN]),
        (12.5, BOX, [FaultWindow(FaultKind.BOX_KILL, 11.0, 12.0)], []),
    ],
)
def test_a_target_that_said_that_it_leaves_got_a_request(at, box, windows, found):
    one = target()
    seen = _arrivals(one, [at], leaving=True, box=box)
    assert judge(seen, [one], windows=windows) == found


@pytest.mark.parametrize(("targets", "found"), [(3, []), (4, [Guarantee.MAX_ATTEMPTS])])
def test_a_request_that_went_to_more_targets_than_its_kind_allows(targets, found):
    reached = [target(f"t{n}") for n in range(targets)]
    for one in reached:
        arrive_at(one, "a1")
    assert judge([attempt("a1", status=500)], reached) == found


@pytest.mark.parametrize(
    ("repeats", "apart", "found"),
    [(62, 0.0, []), (63, 0.0, [Guarantee.RETRY_BUDGET]), (63, 0.2, [])],
)
def test_more_repeats_than_the_budget(repeats, apart, found):
    """Ten requests allow two repeats, and sixty beside."""
    one, two = target(), target("t2")
    seen = [attempt(f"a{n}", status=500) for n in range(10)]
    seen += [attempt(f"b{n}", sent=-100.0, status=500) for n in range(repeats)]
    for number in range(repeats):
        at = 10.0 + number * apart
        arrive_at(one, f"b{number}", at - 0.01)
        arrive_at(two, f"b{number}", at)
    assert judge(seen, [one, two]) == found


@pytest.mark.parametrize(
    ("given", "repeated", "windows", "found"),
    [
        (2.0, None, [], []),
        (2.4, None, [], []),
        (2.6, None, [], [Guarantee.TIME_LIMIT]),
        (2.6, None, [FaultWindow(FaultKind.BOX_FREEZE, 8.0, 9.0)], []),
        (2.6, None, [FaultWindow(FaultKind.BURST, 8.0, 20.0)], [Guarantee.TIME_LIMIT]),
        (2.0, (10.4, 2.0), [], []),
        (2.0, (11.0, 1.4), [], []),
        (2.0, (11.0, 1.6), [], [Guarantee.TIME_LIMIT]),
        (2.3, (11.0, 1.7), [], []),
    ],
)
def test_a_target_that_was_given_more_time_than_its_caller_has(given, repeated, windows, found):
    """Its caller states 2 s and waits until 12.0."""
    one, two = target(), target("t2")
    arrive_at(one, "a1", given=given)
    if repeated is not None:
        arrive_at(two, "a1", repeated[0], given=repeated[1])
    assert judge([attempt("a1", status=500)], [one, two], windows=windows) == found


@pytest.mark.parametrize(
    ("ends", "windows", "found"),
    [
        ([10.7, 10.7, 10.7, 10.7], [], []),
        ([12.0, 10.7, 10.7, 10.7], [], []),
        ([12.0, 12.0, 10.7, 10.7], [], [Guarantee.CALLER_GONE]),
        ([0.0, 0.0, 10.7, 10.7], [], [Guarantee.CALLER_GONE]),
        ([12.0, 12.0, 12.0], [], []),
        ([12.0] * 4, [FaultWindow(FaultKind.TARGET_SILENT, 8.0, 11.0)], []),
        ([12.0] * 4, [FaultWindow(FaultKind.CALLER_LEAVES, 8.0, 11.0)], [Guarantee.CALLER_GONE]),
    ],
)
def test_work_that_goes_on_after_its_caller_has_left(ends, windows, found):
    """The callers leave at 10.3; the work lasts until 12.0."""
    one = target()
    for number, ended in enumerate(ends):
        run_at(one, f"c{number}")
        one.worker.ran[-1].ended = ended
    left = [attempt(f"c{n}", took=0.3, outcome=AttemptOutcome.LEFT) for n in range(len(ends))]
    assert judge([], [one], windows=windows, left=left) == found


@pytest.mark.parametrize(("late", "found"), [(3, []), (4, [Guarantee.CALLER_GONE])])
def test_requests_that_are_sent_on_after_their_callers_have_left(late, found):
    one = target()
    for number in range(late):
        run_at(one, f"c{number}", arrived=10.9)
    left = [attempt(f"c{n}", took=0.3, outcome=AttemptOutcome.LEFT) for n in range(late)]
    assert judge([], [one], left=left) == found


@pytest.mark.parametrize(
    ("status", "found"),
    [(404, [Guarantee.NOT_REJECTED]), (307, [Guarantee.NOT_REJECTED]), (429, []), (502, [])],
)
def test_a_proper_request_that_is_turned_down(status, found):
    assert judge([attempt("a1", status=status)], []) == found


@pytest.mark.parametrize(
    ("not_ready", "windows", "found"),
    [
        (13.9, (), []),
        (14.5, (), [Guarantee.NOT_READY]),
        (float("inf"), (), [Guarantee.NOT_READY]),
        (14.5, (FaultWindow(FaultKind.BOX_FREEZE, 12.0, 13.0),), []),
        (14.5, (FaultWindow(FaultKind.STORE_DOWN, 12.0, 13.0),), [Guarantee.NOT_READY]),
    ],
)
def test_a_box_that_is_asked_to_stop_is_not_ready_in_time(not_ready, windows, found):
    assert judge([], [], windows=windows, stops=[BoxStop("box-1", 10.0, not_ready)]) == found


def test_a_day_that_ends_before_a_stopping_box_must_say_so_judges_nothing():
    assert judge([], [], ended=12.0, stops=[BoxStop("box-1", 10.0)]) == []


def test_a_request_run_by_older_settings_is_found_though_they_come_back_later():
    one = target()
    run_at(one, "a1", arrived=15.0)
    moves = {"lookup": [(0.0, "records"), (10.0, "uploads"), (20.0, "records")]}
    assert judge([attempt("a1", sent=15.0)], [one], moves=moves) == [Guarantee.SETTINGS]
