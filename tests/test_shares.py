"""The shares of all boxes together stay within the budget, over every window."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinnotch.coordination.budgets.shares import ProbeShare, RetryShare


class Clock:
    """Clock that the test advances."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    boxes=st.integers(1, 18),
    gaps=st.lists(st.floats(0, 0.2), min_size=20, max_size=300),
)
def test_probes_of_all_boxes_to_one_target_stay_within_the_budget(boxes, gaps):
    clock = Clock()
    shares = [ProbeShare(60.0, clock=clock) for _ in range(boxes)]
    for share in shares:
        share.boxes = boxes
    sent = []
    for gap in gaps:
        clock.now += gap
        for share in shares:
            if share.try_spend("t"):
                sent.append(clock.now)
    length = clock.now - 100.0
    # Buckets start full: each box may exceed the rate by one second's share or one probe.
    assert len(sent) <= 60.0 * length + max(60.0, boxes)


def test_spent_share_refills():
    clock = Clock()
    share = ProbeShare(10.0, clock=clock)
    share.boxes = 1
    spent = sum(share.try_spend("t") for _ in range(100))
    assert spent == 8
    assert share.denied == 92
    assert share.try_spend("other")
    clock.now += 1.0
    assert sum(share.try_spend("t") for _ in range(100)) == 8


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    boxes=st.integers(1, 18),
    steps=st.lists(
        st.tuples(st.floats(0, 0.4), st.integers(0, 17), st.integers(0, 4), st.integers(0, 6)),
        min_size=10,
        max_size=200,
    ),
)
def test_retries_of_all_boxes_stay_within_the_budget_over_every_window(boxes, steps):
    clock = Clock()
    shares = [RetryShare(ratio=0.2, slack=62.0, window=10.0, clock=clock) for _ in range(boxes)]
    for share in shares:
        share.boxes = boxes
    requests, retries = [], []
    for gap, box, new_requests, new_retries in steps:
        clock.now += gap
        share = shares[box % boxes]
        for _ in range(new_requests):
            share.record_request()
            requests.append(clock.now)
        for _ in range(new_retries):
            if share.try_spend():
                retries.append(clock.now)
    for end in retries:
        retries_in_window = sum(end - 10.0 < at <= end for at in retries)
        max_requests = max(
            sum(end - offset - 10.0 < at <= end - offset for at in requests)
            for offset in (0.0, 5.0)
        )
        assert retries_in_window <= 0.2 * max_requests + 62.0 + 0.2 * max_requests * 0.1 + 1


def test_box_without_requests_has_its_share_of_the_slack():
    clock = Clock()
    share = RetryShare(ratio=0.2, slack=62.0, window=10.0, clock=clock)
    share.boxes = 17
    assert sum(share.try_spend() for _ in range(50)) == 3
    clock.now += 11.0
    assert sum(share.try_spend() for _ in range(50)) == 3
