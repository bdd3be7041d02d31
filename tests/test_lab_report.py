"""Results count requests, with latency measured from the first attempt of each."""

from __future__ import annotations

from dunlinnotch.lab.checker import Observations
from dunlinnotch.lab.report import format_comparison, format_result, summarise
from dunlinnotch.standins.users.caller import AttemptOutcome
from tests.test_lab_checker import SCENARIO, make_attempt


def summarise_attempts(*attempts):
    observations = Observations(SCENARIO, 0.0, 30.0, attempts, [], (), {})
    result = summarise(observations, [], store_calls=0, tool_late=0.0)
    return result, result.kinds[0]


def test_latency_counts_from_the_first_attempt():
    _, lookup = summarise_attempts(
        make_attempt("a1", status=503, took=0.01),
        make_attempt("a2", sent=10.15, took=0.1),
        make_attempt("b1", request=2, took=0.1),
    )
    assert (lookup.asked, lookup.in_time, lookup.late) == (2, 1, 1)
    assert lookup.tries == 1.5
    assert lookup.held == 0.0


def test_held_time_is_that_of_the_attempts_of_requests_never_served():
    result, lookup = summarise_attempts(
        make_attempt("a1", status=503, took=0.01),
        make_attempt("a2", sent=10.5, status=503, took=0.03),
        make_attempt("b1", request=2, took=0.5),
        make_attempt("c1", request=3, status=0, outcome=AttemptOutcome.TIMED_OUT, took=2.0),
    )
    assert (lookup.refused, lookup.failed, lookup.late) == (1, 1, 1)
    assert lookup.held == 1020.0
    assert "1020.0" in format_result(result)
    assert "held ms" in format_comparison(result, result)
