"""The retries of all boxes stay within the budget, in every period and whatever a box forgets."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from dunlinnotch.coordination.budgets.retries import RetryBudget, saved_retries

BOXES = 6
#: Retries that all boxes may make beyond their share, in any period.
SLACK = float(BOXES)
boxes = st.integers(0, BOXES - 1)
#: What a box takes for the number of boxes, right or wrong.
counts = st.integers(1, 2 * BOXES)


class RetriesOfAllBoxes(RuleBasedStateMachine):
    """Boxes start, end and count each other at any moment; each spends what its budget allows.

    ``excess`` is the largest number, over all periods that end now, of retries beyond the
    share of the requests in the period.
    """

    def __init__(self):
        super().__init__()
        self.budgets: list[RetryBudget | None] = [None] * BOXES
        self.share = 0.2
        self.excess = 0.0

    @initialize()
    def start_all(self):
        for box in range(BOXES):
            self.start(box, BOXES)

    @rule(box=boxes, count=counts)
    def start(self, box, count):
        self.budgets[box] = RetryBudget(self.share, max_saved=saved_retries(SLACK, count))

    @rule(box=boxes)
    def kill(self, box):
        self.budgets[box] = None

    @rule(count=counts)
    def kill_and_start_all(self, count):
        for box in range(BOXES):
            self.start(box, count)

    @rule(box=boxes, count=counts)
    def count_boxes(self, box, count):
        if self.budgets[box] is not None:
            self.budgets[box].max_saved = saved_retries(SLACK, count)

    @rule(share=st.sampled_from((0.0, 0.1, 0.2, 0.5)))
    def change_share(self, share):
        self.share = share
        for budget in self.budgets:
            if budget is not None:
                budget.share = share

    @rule(box=boxes, requests=st.integers(1, 60))
    def receive(self, box, requests):
        """Callers send requests to one box; if it is down, they count all the same."""
        for _ in range(requests):
            self.excess = max(0.0, self.excess - self.share)
            if self.budgets[box] is not None:
                self.budgets[box].record_first_attempt()

    @rule(requests=st.integers(1, 60))
    def receive_and_fail_everywhere(self, requests):
        for _ in range(requests):
            for box in range(BOXES):
                self.receive(box, 1)
                self.fail(box, 2)

    @precondition(lambda self: any(self.budgets))
    @rule(box=boxes, failures=st.integers(1, 30))
    def fail(self, box, failures):
        """Attempts of one box fail; it retries while its budget allows that."""
        for _ in range(failures):
            if self.budgets[box] is not None and self.budgets[box].try_spend():
                self.excess += 1.0
                assert self.excess <= SLACK + 1e-6


RetriesOfAllBoxes.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
test_no_period_has_retries_beyond_the_budget = RetriesOfAllBoxes.TestCase


def test_box_that_was_killed_again_and_again_earns_no_retry_by_starting():
    retries = 0
    for _ in range(100):
        budget = RetryBudget(0.2, max_saved=1.0)
        budget.record_first_attempt()
        retries += sum(budget.try_spend() for _ in range(10))
    assert retries == 0


def test_spent_and_denied_retries_are_counted():
    budget = RetryBudget(0.1)
    for _ in range(100):
        budget.record_first_attempt()
    assert sum(budget.try_spend() for _ in range(100)) == 10
    assert (budget.spent, budget.denied) == (10, 90)


def test_five_requests_earn_a_retry_of_a_share_of_one_fifth():
    budget = RetryBudget(0.2, max_saved=1.0)
    for _ in range(5):
        assert not budget.try_spend()
        budget.record_first_attempt()
    assert budget.try_spend()


def test_no_more_is_saved_than_the_maximum_even_after_it_was_lowered_and_raised():
    budget = RetryBudget(0.5, max_saved=3.0)
    for _ in range(100):
        budget.record_first_attempt()
    assert budget.left == 3.0
    budget.max_saved = 1.0
    budget.max_saved = 3.0
    assert sum(budget.try_spend() for _ in range(10)) == 1


@pytest.mark.parametrize(
    ("slack", "count", "expected"), [(62, 17, 1.0), (17, 17, 1.0), (16.5, 17, 0.0), (0, 1, 0.0)]
)
def test_a_slack_that_holds_no_retry_for_each_box_allows_no_retry(slack, count, expected):
    assert saved_retries(slack, count) == expected
