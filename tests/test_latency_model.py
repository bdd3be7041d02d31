"""Learning how long work takes, and what fullness adds."""

from __future__ import annotations

import random

import pytest

from dunlinnotch.coordination.choosing.latency_model import LatencyModel, LoadAtSend

WORK_S = 0.2


def learnt(slots, slowed, *, answers=400, seed=1):
    """Return what is learnt of targets that ``slowed(fill)`` describes."""
    rng = random.Random(seed)
    times = LatencyModel()
    for _ in range(answers):
        start = LoadAtSend(rng.randrange(slots), slots, latency_ratio=1.0, report_age=0.001)
        took = WORK_S * rng.uniform(0.6, 1.4) * slowed(start.utilisation)
        times.record("read", "records", start, took)
    return times


def never(fill):
    return 1.0


def late(fill):
    return 1.7 if fill > 0.8 else 1.0


def early(fill):
    return 3.0 if fill > 0.55 else 1.0


@pytest.mark.parametrize("slots", [2, 3, 6, 16])
@pytest.mark.parametrize("slowed", [never, late, early])
def test_what_fullness_adds_is_learnt_for_each_share_of_the_slots(slots, slowed):
    times = learnt(slots, slowed)
    assert times.usual_latency("read") == pytest.approx(WORK_S, rel=0.15)
    for taken in range(1, slots):
        fill = (taken + 1) / slots
        if fill > 0.5:
            assert times.slowdown("records", fill) == pytest.approx(slowed(fill), rel=0.25)


def test_what_nobody_told_is_taken_to_slow_down_when_nearly_full():
    times = LatencyModel()
    assert times.usual_latency("read") is None
    assert times.slowdown("records", 0.5) == 1.0
    assert times.slowdown("records", 1.0) > 1.35


def test_a_few_answers_do_not_turn_what_was_taken_to_hold():
    times = learnt(6, never, answers=4)
    assert times.slowdown("records", 1.0) > 1.2


def test_what_takes_no_work_hides_nothing():
    """ikenga-gate: checks of 2 ms among work of 60 ms made full targets look fast."""
    times = learnt(6, late)
    for _ in range(100):
        times.record("ping", "records", LoadAtSend(0, 6, 1.0, 0.001), 0.002)
        times.record("ping", "records", LoadAtSend(5, 6, 1.0, 0.001), 0.002)
        times.record("read", "records", LoadAtSend(5, 6, 1.0, 0.001), WORK_S * 1.7)
    assert times.slowdown("records", 1.0) == pytest.approx(1.7, rel=0.1)


def test_each_service_is_learnt_by_itself():
    times = learnt(6, never)
    assert times.slowdown("records", 1.0) < 1.2
    assert times.slowdown("loans", 1.0) > 1.35


def test_a_change_of_the_targets_is_followed():
    times = learnt(6, never)
    for _ in range(60):
        times.record("read", "records", LoadAtSend(5, 6, 1.0, 0.001), WORK_S * 2)
    assert times.slowdown("records", 1.0) > 1.7


@pytest.mark.parametrize(
    "start",
    [
        LoadAtSend(5, 6, latency_ratio=7.0, report_age=0.001),
        LoadAtSend(5, 6, latency_ratio=1.0, report_age=0.2),
        LoadAtSend(8, 6, latency_ratio=1.0, report_age=0.001),
    ],
)
def test_nothing_is_learnt_where_something_else_may_have_taken_the_time(start):
    times = learnt(6, never)
    before = times.slowdown("records", 1.0)
    for _ in range(40):
        times.record("read", "records", start, WORK_S * 5)
    assert times.slowdown("records", 1.0) == before


def test_the_less_is_known_of_a_fullness_the_more_often_it_is_tried():
    times = LatencyModel()
    unknown = times.exploration_share("records", 1.0)
    known = learnt(6, late).exploration_share("records", 1.0)
    assert 0.1 > unknown > known > 0.0
