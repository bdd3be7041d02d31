"""Which targets are good, in which order targets are probed, and when they are ejected."""

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
        ((4, 0, 6, 1.0), 0.0, False),  # nearly saturated, and nothing learnt yet
        ((6, 0, 6, 1.0), 0.0, False),
        ((0, 0, 1, 1.0), 0.0, True),
        ((1, 0, 1, 1.0), 0.0, False),
        ((0, 0, 6, 7.0), 0.0, False),
        ((0, 0, 6, 1.0), 0.5, False),
        (None, 0.0, False),
    ],
)
def test_good_needs_a_recent_report_of_free_slots_and_usual_latency(report, age, good):
    chooser = FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=random.Random(1))
    assert chooser.is_good(target(report=report, age=age), NOW) is good


def test_requests_sent_since_the_report_count():
    instance = target(report=(2, 0, 3, 1.0))
    before = expected_latency_ratio(instance, NOW)
    instance.sent_since_report = 2
    assert expected_latency_ratio(instance, NOW) > before
    assert overload(instance) == pytest.approx(2 / 3)


def test_unhealthy_target_ranks_below_good_and_above_very_slow_ones():
    unhealthy = target(report=(0, 0, 6, 1.0))
    unhealthy.healthy = False
    assert expected_latency_ratio(unhealthy, NOW) > MAX_GOOD_RATIO
    assert expected_latency_ratio(unhealthy, NOW) < expected_latency_ratio(
        target(report=(0, 0, 6, 7.0)), NOW
    )


def test_order_is_same_place_then_others_then_slow_then_ejected():
    chooser = FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=random.Random(1))
    near, far = target("near"), target("far", place="hall-b")
    slow = target("slow", report=(0, 0, 6, 7.0))
    ejected = target("ejected")
    for _ in range(3):
        chooser.record_failure(ejected, NOW)
    order = chooser.order([ejected, slow, far, near], NOW, exclude=())
    assert [i.name for i in order] == ["near", "far", "slow", "ejected"]
    assert [i.name for i in chooser.order([near, far], NOW, exclude={"near"})] == ["far"]


def test_failures_eject_for_a_while_and_a_success_ends_it():
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
    ("status", "ejected"),
    [
        (TargetStatus(TargetReport(0, 0, 6)), True),
        (TargetStatus(TargetReport(5, 0, 6)), True),
        (TargetStatus(TargetReport(6, 0, 6)), False),
        (TargetStatus(TargetReport(6, 9, 6)), False),
        (TargetStatus(TargetReport(0, 0, 6), backoff=1.0), False),
        (TargetStatus(), False),
    ],
)
def test_refusal_counts_as_failure_only_with_free_slots_and_no_backoff(status, ejected):
    chooser = FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=random.Random(1))
    instance = target()
    for _ in range(2):
        chooser.record_refusal(instance, status, NOW)
    assert (instance.ejected_until > NOW) is ejected


def test_target_that_keeps_failing_stays_ejected_for_the_longest_time():
    instance = target()
    for _ in range(3000):
        FreshReportChooser.record_failure(instance, NOW)
    assert instance.ejected_until == NOW + 4.0


def test_target_that_only_this_box_can_not_reach_is_not_ejected():
    unreached = {"s"}
    chooser = FreshReportChooser(
        place="hall-a",
        latency_model=LatencyModel(),
        rng=random.Random(1),
        only_unreached=unreached.__contains__,
    )
    instance = target()
    for _ in range(5):
        chooser.record_no_contact(instance, NOW)
    assert instance.ejected_until <= NOW
    unreached.clear()
    for _ in range(2):
        chooser.record_no_contact(instance, NOW)
    assert instance.ejected_until > NOW
