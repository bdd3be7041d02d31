"""What a day came to is counted from the first try of each request."""

from __future__ import annotations

from dunlinnotch.lab.checker import Observations
from dunlinnotch.lab.report import format_comparison, format_result, summarise
from dunlinnotch.standins.users.caller import AttemptOutcome
from tests.test_lab_checker import DAY, attempt


def summed(*attempts):
    evidence = Observations(DAY, 0.0, 30.0, attempts, [], (), {})
    result = summarise(evidence, [], store_calls=0, tool_late=0.0)
    return result, result.kinds[0]


def test_a_request_that_is_served_late_by_its_second_try_is_late():
    _, lookup = summed(
        attempt("a1", status=503, took=0.01),
        attempt("a2", sent=10.15, took=0.1),
        attempt("b1", request=2, took=0.1),
    )
    assert (lookup.asked, lookup.in_time, lookup.late) == (2, 1, 1)
    assert lookup.tries == 1.5
    assert lookup.held == 0.0


def test_time_held_counts_where_nobody_served_the_request_and_without_the_waits_between():
    result, lookup = summed(
        attempt("a1", status=503, took=0.01),
        attempt("a2", sent=10.5, status=503, took=0.03),
        attempt("b1", request=2, took=0.5),
        attempt("c1", request=3, status=0, outcome=AttemptOutcome.TIMED_OUT, took=2.0),
    )
    assert (lookup.refused, lookup.failed, lookup.late) == (1, 1, 1)
    assert lookup.held == 1020.0
    assert "1020.0" in format_result(result)
    assert "held ms" in format_comparison(result, result)
