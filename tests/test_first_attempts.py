"""For how long callers have been asking, told by the time that they say they have left."""

from __future__ import annotations

import pytest

from dunlinnotch.coordination.requests.first_attempts import FirstAttempts


@pytest.fixture
def book():
    return FirstAttempts()


def stated(book, tries, *, times=1):
    """Have some times stated; return for how long the last caller is taken to have asked."""
    found = 0.0
    for _ in range(times):
        for left in tries:
            found = book.elapsed_since_first("read", left)
    return found


def test_one_who_states_less_than_first_tries_has_asked_since(book):
    stated(book, [4.0], times=16)
    assert round(book.elapsed_since_first("read", 3.4), 2) == 0.6
    assert book.elapsed_since_first("read", 4.0) == 0.0


def test_nothing_is_told_before_enough_was_heard_nor_of_another_kind(book):
    assert stated(book, [4.0, 3.0, 3.0]) == 0.0
    stated(book, [4.0], times=16)
    assert book.elapsed_since_first("write", 1.0) == 0.0


def test_first_tries_are_known_though_most_come_back(book):
    stated(book, [4.0, 3.37, 3.12, 4.0, 3.51, 2.88], times=12)
    assert round(book.elapsed_since_first("read", 3.0), 2) == 1.0


def test_one_odd_caller_makes_nobody_old(book):
    stated(book, [4.0], times=30)
    assert book.elapsed_since_first("read", 90.0) == 0.0
    assert stated(book, [4.0], times=10) == 0.0


def test_callers_that_state_all_kinds_of_times_count_as_first_attempts(book):
    assert stated(book, [n / 10 for n in range(20, 60)], times=3) == 0.0


def test_what_first_tries_state_may_change_either_way(book):
    stated(book, [4.0], times=64)
    stated(book, [2.0], times=64)
    assert book.elapsed_since_first("read", 2.0) == 0.0
    assert round(book.elapsed_since_first("read", 1.5), 2) == 0.5
    stated(book, [9.0], times=64)
    assert round(book.elapsed_since_first("read", 8.0), 2) == 1.0


def test_kinds_that_are_no_more_are_forgotten(book):
    stated(book, [4.0], times=16)
    book.keep_only({"write"})
    assert book.elapsed_since_first("read", 3.0) == 0.0
