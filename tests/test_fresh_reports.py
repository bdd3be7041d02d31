"""A target without a fresh report never looks good, and full or slow ones wait their turn."""

from __future__ import annotations

import random

import pytest

from dunlinnotch.coordination.choosing.fresh_reports import (
    MAX_GOOD_RATIO,
    FreshReportChooser,
    expected_latency_ratio,
    overload,
)
from dunlinnotch.coordination.choosing.latency_model import LatencyModel
from dunlinnotch.state.instances import Instance, ListedTarget
from dunlinnotch.state.target_status import TargetReport, TargetStatus

NOW = 50.0


def target(name="i", *, place="hall-a", report=None, age=0.0):
    instance = Instance(ListedTarget(name, "s", place, "10.0.0.1:80", 6, False, 1, 0.0))
    if report is not None:
        instance.record_report(TargetReport(*report), NOW - age)
    return instance


@pytest.mark.parametrize(
    ("report", "age", "good"),
    [
        ((0, 0, 6, 1.0), 0.0, True),
        ((3, 0, 6, 1.0), 0.1, True),
        ((4, 0, 6, 1.0), 0.0, False),  # nearly full, and nothing learnt yet
        ((6, 0, 6, 1.0), 0.0, False),
        ((0, 0, 1, 1.0), 0.0, True),
        ((1, 0, 1, 1.0), 0.0, False),
        ((0, 0, 6, 7.0), 0.0, False),
        ((0, 0, 6, 1.0), 0.5, False),
        (None, 0.0, False),
    ],
)
def test_only_a_free_target_of_usual_speed_by_a_fresh_report_is_good(report, age, good):
    chooser = FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=random.Random(1))
    assert chooser.is_good(target(report=report, age=age), NOW) is good


def test_own_requests_sent_since_the_report_count():
    instance = target(report=(2, 0, 3, 1.0))
    before = expected_latency_ratio(instance, NOW)
    instance.sent_since_report = 2
    assert expected_latency_ratio(instance, NOW) > before
    assert overload(instance) == pytest.approx(2 / 3)


def test_a_target_that_says_it_is_ill_is_used_only_if_no_other_is_better():
    ill = target(report=(0, 0, 6, 1.0))
    ill.healthy = False
    assert expected_latency_ratio(ill, NOW) > MAX_GOOD_RATIO
    assert expected_latency_ratio(ill, NOW) < expected_latency_ratio(
        target(report=(0, 0, 6, 7.0)), NOW
    )


def test_order_is_own_place_then_others_then_slow_then_aside():
    chooser = FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=random.Random(1))
    near, far = target("near"), target("far", place="hall-b")
    slow = target("slow", report=(0, 0, 6, 7.0))
    aside = target("aside")
    for _ in range(3):
        chooser.record_failure(aside, NOW)
    order = chooser.order([aside, slow, far, near], NOW, exclude=())
    assert [i.name for i in order] == ["near", "far", "slow", "aside"]
    assert [i.name for i in chooser.order([near, far], NOW, exclude={"near"})] == ["far"]


def test_failures_set_aside_for_a_while_and_an_answer_ends_it():
    chooser = FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=random.Random(1))
    instance = target(report=(0, 0, 6, 1.0))
    chooser.record_failure(instance, NOW)
    assert chooser.is_good(instance, NOW)
    chooser.record_failure(instance, NOW)
    assert not chooser.is_good(instance, NOW)
    assert instance.ejected_until <= NOW + 4.0
    chooser.record_success(instance)
    assert chooser.is_good(instance, NOW)


@pytest.mark.parametrize(
    ("said", "aside"),
    [
        (TargetStatus(TargetReport(0, 0, 6)), True),
        (TargetStatus(TargetReport(5, 0, 6)), True),
        (TargetStatus(TargetReport(6, 0, 6)), False),
        (TargetStatus(TargetReport(6, 9, 6)), False),
        (TargetStatus(TargetReport(0, 0, 6), backoff=1.0), False),
        (TargetStatus(), False),
    ],
)
def test_only_what_is_turned_away_in_spite_of_room_counts_as_failures(said, aside):
    chooser = FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=random.Random(1))
    instance = target()
    for _ in range(2):
        chooser.record_refusal(instance, said, NOW)
    assert (instance.ejected_until > NOW) is aside
