"""Budgets of the whole system hold over every window, however boxes share them."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from dunlinnotch.coordination.budgets.shares import ProbeShare, RetryShare


class Now:
    """A clock that the test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    boxes=st.integers(1, 18),
    gaps=st.lists(st.floats(0, 0.2), min_size=20, max_size=300),
)
def test_all_boxes_probes_of_one_target_stay_within_the_budget(boxes, gaps):
    clock = Now()
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
    # Each bucket begins full: at most one second's share, or one probe, beyond the rate.
    assert len(sent) <= 60.0 * length + max(60.0, boxes)


def test_a_share_that_is_used_up_fills_again():
    clock = Now()
    share = ProbeShare(10.0, clock=clock)
    share.boxes = 1
    taken = sum(share.try_spend("t") for _ in range(100))
    assert taken == 8
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
def test_all_boxes_repeats_stay_within_the_budget_over_every_window(boxes, steps):
    clock = Now()
    shares = [RetryShare(ratio=0.2, slack=62.0, window=10.0, clock=clock) for _ in range(boxes)]
    for share in shares:
        share.boxes = boxes
    requests, repeats = [], []
    for gap, box, fresh, again in steps:
        clock.now += gap
        share = shares[box % boxes]
        for _ in range(fresh):
            share.record_request()
            requests.append(clock.now)
        for _ in range(again):
            if share.try_spend():
                repeats.append(clock.now)
    for end in repeats:
        window = sum(end - 10.0 < at <= end for at in repeats)
        asked = max(
            sum(end - back - 10.0 < at <= end - back for at in requests) for back in (0.0, 5.0)
        )
        assert window <= 0.2 * asked + 62.0 + 0.2 * asked * 0.1 + 1


def test_a_box_without_requests_has_its_part_of_the_slack():
    clock = Now()
    share = RetryShare(ratio=0.2, slack=62.0, window=10.0, clock=clock)
    share.boxes = 17
    assert sum(share.try_spend() for _ in range(50)) == 3
    clock.now += 11.0
    assert sum(share.try_spend() for _ in range(50)) == 3
