"""Time since a caller's first attempt, estimated from the remaining time that it states."""

from __future__ import annotations

import pytest

from dunlinnotch.coordination.requests.first_attempts import FirstAttempts


@pytest.fixture
def attempts():
    return FirstAttempts()


def state_times(attempts, times, *, rounds=1):
    """State some times in turn; return the estimate for the last request."""
    elapsed = 0.0
    for _ in range(rounds):
        for remaining in times:
            elapsed = attempts.elapsed_since_first("read", remaining)
    return elapsed


def test_a_caller_that_states_less_time_than_first_attempts_is_retrying(attempts):
    state_times(attempts, [4.0], rounds=16)
    assert round(attempts.elapsed_since_first("read", 3.4), 2) == 0.6
    assert attempts.elapsed_since_first("read", 4.0) == 0.0


def test_elapsed_time_is_zero_for_few_requests_and_for_other_kinds(attempts):
    assert state_times(attempts, [4.0, 3.0, 3.0]) == 0.0
    state_times(attempts, [4.0], rounds=16)
    assert attempts.elapsed_since_first("write", 1.0) == 0.0


def test_first_attempts_are_recognised_where_most_requests_are_retries(attempts):
    state_times(attempts, [4.0, 3.37, 3.12, 4.0, 3.51, 2.88], rounds=12)
    assert round(attempts.elapsed_since_first("read", 3.0), 2) == 1.0


def test_one_caller_with_a_long_deadline_does_not_age_the_others(attempts):
    state_times(attempts, [4.0], rounds=30)
    assert attempts.elapsed_since_first("read", 90.0) == 0.0
    assert state_times(attempts, [4.0], rounds=10) == 0.0


def test_without_a_common_time_each_request_counts_as_a_first_attempt(attempts):
    assert state_times(attempts, [n / 10 for n in range(20, 60)], rounds=3) == 0.0


def test_the_time_of_first_attempts_may_grow_or_shrink(attempts):
    state_times(attempts, [4.0], rounds=64)
    state_times(attempts, [2.0], rounds=64)
    assert attempts.elapsed_since_first("read", 2.0) == 0.0
    assert round(attempts.elapsed_since_first("read", 1.5), 2) == 0.5
    state_times(attempts, [9.0], rounds=64)
    assert round(attempts.elapsed_since_first("read", 8.0), 2) == 1.0


def test_removed_kinds_are_dropped(attempts):
    state_times(attempts, [4.0], rounds=16)
    attempts.keep_only({"write"})
    assert attempts.elapsed_since_first("read", 3.0) == 0.0
