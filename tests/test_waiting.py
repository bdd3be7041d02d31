"""Which of the requests that wait for a target of one service gets the next one."""

from __future__ import annotations

import math
from types import SimpleNamespace

from dunlinnotch.coordination.choosing.saturation import Saturation
from dunlinnotch.coordination.choosing.waiting import ServiceQueue, Waiter

TARGET = SimpleNamespace(name="i-1")


def waiter(number, *, rank=1, first_try=0.0, start_by=math.inf, tried=()):
    return Waiter(rank, number, tried, math.inf, first_try, start_by, picked=None)


def served(*waiters, now=10.0):
    """Return the numbers of the waiters in the order in which they get a target."""
    queue = ServiceQueue("s", Saturation(clock=lambda: now), waiters=list(waiters))
    order = []
    while (first := queue.first_for(TARGET, now)) is not None:
        order.append(first.number)
    return order


def test_the_most_urgent_goes_first_though_another_has_waited_for_longer():
    assert served(waiter(1, rank=2, first_try=1.0), waiter(2, rank=0, first_try=9.0)) == [2, 1]


def test_one_who_came_back_goes_before_a_first_try_while_it_can_be_in_time():
    assert served(waiter(1, first_try=9.5), waiter(2, first_try=9.0, start_by=10.1)) == [2, 1]


def test_who_can_be_in_time_goes_before_who_can_not():
    late = waiter(1, first_try=5.0, start_by=9.9)
    later = waiter(2, first_try=4.0, start_by=9.0)
    assert served(late, later, waiter(3, first_try=9.9, start_by=10.2)) == [3, 2, 1]


def test_equal_ones_go_by_arrival():
    assert served(waiter(2), waiter(1), waiter(3)) == [1, 2, 3]


def test_a_target_that_was_tried_takes_another_request():
    queue = ServiceQueue("s", Saturation(clock=lambda: 0.0), waiters=[waiter(1, tried={"i-1"})])
    assert queue.first_for(TARGET, 0.0) is None
    assert len(queue.waiters) == 1
