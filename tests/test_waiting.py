"""Order in which requests waiting for a target of one service are served."""

from __future__ import annotations

import math
from types import SimpleNamespace

from dunlinnotch.coordination.choosing.saturation import Saturation
from dunlinnotch.coordination.choosing.waiting import ServiceQueue, Waiter

TARGET = SimpleNamespace(name="i-1")


def waiter(arrival_number, *, rank=1, first_attempt_at=0.0, start_by=math.inf, tried=()):
    return Waiter(rank, arrival_number, tried, math.inf, first_attempt_at, start_by, selected=None)


def service_order(*waiters, now=10.0):
    """Return the arrival numbers of the waiters in the order in which they are served."""
    queue = ServiceQueue("s", Saturation(clock=lambda: now), waiters=list(waiters))
    numbers = []
    while (first := queue.pop_for(TARGET, now)) is not None:
        numbers.append(first.arrival_number)
    return numbers


def test_lower_rank_goes_before_longer_waiting():
    assert service_order(
        waiter(1, rank=2, first_attempt_at=1.0), waiter(2, rank=0, first_attempt_at=9.0)
    ) == [2, 1]


def test_earlier_first_attempt_goes_first_while_it_can_end_in_time():
    assert service_order(
        waiter(1, first_attempt_at=9.5), waiter(2, first_attempt_at=9.0, start_by=10.1)
    ) == [2, 1]


def test_request_that_can_end_in_time_goes_before_one_that_can_not():
    late = waiter(1, first_attempt_at=5.0, start_by=9.9)
    later = waiter(2, first_attempt_at=4.0, start_by=9.0)
    assert service_order(late, later, waiter(3, first_attempt_at=9.9, start_by=10.2)) == [3, 2, 1]


def test_ties_go_by_arrival():
    assert service_order(waiter(2), waiter(1), waiter(3)) == [1, 2, 3]


def test_target_already_tried_is_not_given_to_the_same_request():
    queue = ServiceQueue("s", Saturation(clock=lambda: 0.0), waiters=[waiter(1, tried={"i-1"})])
    assert queue.pop_for(TARGET, 0.0) is None
    assert len(queue.waiters) == 1
