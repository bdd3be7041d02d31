import random

import pytest

from dunlinnotch.coordination.choosing.least_load import Chooser, place_shares
from dunlinnotch.coordination.choosing.subset import assign_subsets
from dunlinnotch.state.targets import MAX_REPORT_SHORTFALL, TargetRecord


def make_chooser(count=4, *, places=("hall-a",), shares=None):
    targets = [
        TargetRecord(f"10.0.0.{n}:80", places[n % len(places)], 6, 6.0) for n in range(count)
    ]
    chooser = Chooser(rng=random.Random(3))
    chooser.set_targets(targets, shares or dict.fromkeys(places, 1.0))
    return chooser, targets


def run_call(chooser, now, *, failed=False, **options):
    """Choose a target, run one call there and return the target."""
    target = chooser.choose(now, **options).target
    flight = chooser.begin(target, now, kind="a")
    chooser.finish(target, flight, now + 0.001, kind="a", failed=failed)
    return target


def test_least_loaded_target_is_chosen_and_ties_are_random():
    chooser, targets = make_chooser()
    for target in targets[1:]:
        chooser.begin(target, 0.0, kind="a")
    assert chooser.choose(0.0).target is targets[0]
    chooser, targets = make_chooser()
    assert len({chooser.choose(0.0).target.address for _ in range(50)}) == 4


def test_load_report_counts_at_once_and_decays():
    chooser, targets = make_chooser(2)
    chooser.heard(targets[0], 0.0, 5)
    assert chooser.choose(0.0).target is targets[1]
    assert abs(chooser.score(targets[0], 10.0) - chooser.score(targets[1], 10.0)) < 0.01


def test_target_that_fails_fast_is_ejected():
    chooser, targets = make_chooser()
    failing = targets[0].address
    failures = 0
    now = 0.0
    for _ in range(2000):
        now += 0.005
        choice = chooser.choose(now)
        failed = choice.target.address == failing
        flight = chooser.begin(choice.target, now, kind="a")
        chooser.finish(choice.target, flight, now, kind="a", failed=failed)
        failures += failed
    assert failures <= 25
    assert targets[0].ejected


def test_ejected_share_is_limited_when_all_targets_fail():
    chooser, targets = make_chooser(10)
    for step in range(500):
        run_call(chooser, step * 0.01, failed=True)
    assert sum(target.ejected for target in targets) <= 4


def test_ejected_target_gets_only_allowed_trials_and_returns_after_a_success():
    chooser, targets = make_chooser(3)
    for _ in range(3):
        flight = chooser.begin(targets[0], 0.0, kind="a")
        chooser.finish(targets[0], flight, 0.0, kind="a", failed=True)
    assert targets[0].ejected
    for _ in range(20):
        assert run_call(chooser, 5.0, trial_allowed=False) is not targets[0]
    assert chooser.choose(5.0).reason == "trial"
    assert run_call(chooser, 5.0) is targets[0]
    assert not targets[0].ejected


def test_target_that_underreports_its_load_is_doubted():
    chooser, targets = make_chooser(1)
    flights = [chooser.begin(targets[0], 0.0, kind="a") for _ in range(4)]
    for _ in range(20):
        chooser.heard(targets[0], 0.0, 0)
    assert targets[0].report_shortfall > MAX_REPORT_SHORTFALL
    assert chooser.score(targets[0], 0.0) * 6 >= len(flights) * 6


def test_overdue_call_raises_the_score_of_its_target():
    chooser, targets = make_chooser(2)
    chooser.begin(targets[0], 0.0, kind="a")
    chooser.begin(targets[1], 0.9, kind="a")
    assert chooser.choose(1.0).target is targets[1] or targets[0].overdue(1.0) > 1.0
    assert targets[0].overdue(1.0) == 3.0


def test_capacity_grows_during_slow_start():
    chooser, targets = make_chooser(2)
    targets[0].begin_warm_up(0.0, 10.0)
    assert targets[0].capacity(0.0) == pytest.approx(1.2)
    assert targets[0].capacity(5.0) == pytest.approx(3.6)
    assert targets[0].capacity(10.0) == 6.0


def test_leaving_is_final_until_the_target_restarts():
    target = TargetRecord("10.0.0.1:80", "hall-a", 6)
    target.record_state("1", leaving=True)
    target.record_state("1", leaving=False)
    assert target.leaving
    target.record_state("2", leaving=False)
    assert not target.leaving


def test_saturated_place_spills_to_another():
    chooser, targets = make_chooser(
        4, places=("hall-a", "hall-b"), shares={"hall-a": 1.0, "hall-b": 1e-9}
    )
    for target in targets:
        if target.place == "hall-a":
            for _ in range(6):
                chooser.begin(target, 0.0, kind="a")
    choice = chooser.choose(0.0)
    assert (choice.reason, choice.target.place) == ("spill", "hall-b")


@pytest.mark.parametrize(
    ("home", "weights", "demand", "shares"),
    [
        ("a", {"a": 1, "b": 1}, {"a": 1, "b": 1}, {"a": 1.0}),
        ("a", {"a": 1, "b": 3}, {"a": 1, "b": 1}, {"a": 0.5, "b": 0.5}),
        ("b", {"a": 1, "b": 3}, {"a": 1, "b": 1}, {"b": 1.0}),
        ("a", {"a": 0, "b": 1}, {"a": 1, "b": 1}, {"b": 1.0}),
        ("c", {"a": 1, "b": 1}, {"a": 1, "b": 1, "c": 2}, {"a": 0.5, "b": 0.5}),
        ("a", {"a": 0, "b": 0}, {"a": 1, "b": 1}, {}),
    ],
)
def test_places_get_their_share_and_local_calls_stay_local(home, weights, demand, shares):
    assert place_shares(home, weights=weights, demand=demand) == pytest.approx(shares)


@pytest.mark.parametrize("boxes", [1, 6, 17, 18])
def test_subsets_are_balanced(boxes):
    names = [f"box-{n}" for n in range(boxes)]
    targets = [f"10.0.0.{n}:80" for n in range(30)]
    subsets = assign_subsets(names, targets, 10)
    counts = [sum(target in s for s in subsets.values()) for target in targets]
    assert {len(subset) for subset in subsets.values()} == {10}
    assert max(counts) <= -(-boxes * 10 // 30) + 1
