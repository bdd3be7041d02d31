"""The shares of all boxes together stay within the budget, over every window."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from dunlinnotch.coordination.budgets.shares import ProbeShare, count_sharing_boxes


class Clock:
    """Clock that the test advances."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


BOXES = 7
BUDGET = 60.0
SLACK = 12.0
boxes = st.integers(0, BOXES - 1)


class ProbesOfAllBoxes(RuleBasedStateMachine):
    """Boxes start, end, pause and hear of each other at any moment; each probes all it may.

    ``excess`` is the largest number of probes of one target beyond the budget, over all
    periods that end now.
    """

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.rng = random.Random(1)
        self.excess = 0.0
        self.shares: list[ProbeShare | None] = [None] * BOXES

    @initialize()
    def start_all(self):
        for box in range(BOXES):
            self.start(box)

    @rule(box=boxes)
    def start(self, box):
        share = self.shares[box] = ProbeShare(BUDGET, clock=self.clock, rng=self.rng)
        share.boxes = count_sharing_boxes(1, has_seeds=True, retry_slack=SLACK)

    @rule(box=boxes)
    def hear_of_the_others(self, box):
        if self.shares[box] is not None:
            self.shares[box].boxes = count_sharing_boxes(BOXES, has_seeds=True, retry_slack=SLACK)

    @rule(box=boxes)
    def kill(self, box):
        self.shares[box] = None

    @rule(gap=st.floats(0.0, 3.0))
    def wait(self, gap):
        self.clock.now += gap
        self.excess = max(0.0, self.excess - BUDGET * gap)

    @rule()
    def kill_and_start_all_for_a_while(self):
        for _ in range(20):
            for box in range(BOXES):
                self.start(box)
            self.wait(0.3)
            self.probe(range(BOXES))

    @rule(probing=st.sets(boxes, min_size=1))
    def probe(self, probing):
        for box in probing:
            share = self.shares[box]
            if share is not None:
                self.excess += sum(share.try_spend("t") for _ in range(int(BUDGET)))
        # Each box may have saved one second's part, or one probe, and begun with a part of one.
        assert self.excess <= max(BUDGET, BOXES) + BOXES


ProbesOfAllBoxes.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
test_no_period_has_probes_beyond_the_budget = ProbesOfAllBoxes.TestCase


def test_boxes_that_start_again_and_again_send_no_more_probes_in_the_mean():
    clock, rng = Clock(), random.Random(1)
    sent = 0
    for _ in range(1000):
        share = ProbeShare(10.0, clock=clock, rng=rng)
        clock.now += 0.05
        sent += sum(share.try_spend("t") for _ in range(100))
    assert sent <= 10.0 * 50.0


def test_target_that_goes_and_comes_back_gets_no_burst_of_probes():
    clock = Clock()
    share = ProbeShare(10.0, clock=clock, rng=random.Random(1), started_at=clock.now - 9.0)
    sent = 0
    for _ in range(50):
        sent += sum(share.try_spend("t") for _ in range(100))
        share.retain(set())
        clock.now += 0.05
    assert sent <= 10 + 10.0 * 50 * 0.05


@pytest.mark.parametrize(
    ("known", "has_seeds", "slack", "expected"),
    [
        (1, True, 62.0, 62),
        (1, True, 62.8, 62),
        (1, False, 62.0, 6),
        (2, True, 62.0, 6),
        (17, True, 62.0, 17),
        (80, True, 62.0, 80),
        (1, True, 0.0, 6),
    ],
)
def test_box_that_knows_no_other_takes_the_smallest_part(known, has_seeds, slack, expected):
    counted = count_sharing_boxes(known, has_seeds=has_seeds, retry_slack=slack)
    assert counted == expected


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    boxes=st.integers(1, 18),
    gaps=st.lists(st.floats(0, 0.2), min_size=20, max_size=300),
)
def test_probes_of_all_boxes_to_one_target_stay_within_the_budget(boxes, gaps):
    clock = Clock()
    shares = [ProbeShare(60.0, clock=clock, rng=random.Random(box)) for box in range(boxes)]
    for share in shares:
        share.boxes = boxes
    sent = []
    for gap in gaps:
        clock.now += gap
        for share in shares:
            if share.try_spend("t"):
                sent.append(clock.now)
    length = clock.now - 100.0
    assert len(sent) <= 60.0 * length + boxes


def test_spent_share_refills():
    clock = Clock()
    share = ProbeShare(10.0, clock=clock, rng=random.Random(1))
    share.boxes = 1
    clock.now += 1.0
    spent = sum(share.try_spend("t") for _ in range(100))
    assert spent == 8
    assert share.denied == 92
    assert share.try_spend("other")
    clock.now += 1.0
    assert sum(share.try_spend("t") for _ in range(100)) == 8
