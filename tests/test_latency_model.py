"""Learning the usual latency and the slowdown by utilisation."""

from __future__ import annotations

import random

import pytest

from dunlinnotch.coordination.choosing.latency_model import LatencyModel, LoadAtSend

USUAL_LATENCY_S = 0.2


def model_after(slots, slowdown_of, *, answers=400, seed=1):
    """Return a model that learnt from targets with the slowdown ``slowdown_of(utilisation)``."""
    rng = random.Random(seed)
    model = LatencyModel()
    for _ in range(answers):
        load = LoadAtSend(rng.randrange(slots), slots, latency_ratio=1.0, report_age=0.001)
        latency = USUAL_LATENCY_S * rng.uniform(0.6, 1.4) * slowdown_of(load.utilisation)
        model.record("read", "records", load, latency)
    return model


def no_slowdown(utilisation):
    return 1.0


def slowdown_above_80_percent(utilisation):
    return 1.7 if utilisation > 0.8 else 1.0


def slowdown_above_55_percent(utilisation):
    return 3.0 if utilisation > 0.55 else 1.0


@pytest.mark.parametrize("slots", [2, 3, 6, 16])
@pytest.mark.parametrize(
    "slowdown_of", [no_slowdown, slowdown_above_80_percent, slowdown_above_55_percent]
)
def test_slowdown_is_learnt_for_each_utilisation(slots, slowdown_of):
    model = model_after(slots, slowdown_of)
    assert model.usual_latency("read") == pytest.approx(USUAL_LATENCY_S, rel=0.15)
    for running in range(1, slots):
        utilisation = (running + 1) / slots
        if utilisation > 0.5:
            assert model.slowdown("records", utilisation) == pytest.approx(
                slowdown_of(utilisation), rel=0.25
            )


def test_default_slowdown_applies_only_to_nearly_saturated_targets():
    model = LatencyModel()
    assert model.usual_latency("read") is None
    assert model.slowdown("records", 0.5) == 1.0
    assert model.slowdown("records", 1.0) > 1.35


def test_few_answers_do_not_outweigh_the_default_slowdown():
    model = model_after(6, no_slowdown, answers=4)
    assert model.slowdown("records", 1.0) > 1.2


def test_trivial_requests_do_not_hide_the_slowdown():
    """A mean of ratios would let them make saturated targets look fast."""
    model = model_after(6, slowdown_above_80_percent)
    for _ in range(100):
        model.record("ping", "records", LoadAtSend(0, 6, 1.0, 0.001), 0.002)
        model.record("ping", "records", LoadAtSend(5, 6, 1.0, 0.001), 0.002)
        model.record("read", "records", LoadAtSend(5, 6, 1.0, 0.001), USUAL_LATENCY_S * 1.7)
    assert model.slowdown("records", 1.0) == pytest.approx(1.7, rel=0.1)


def test_services_are_learnt_separately():
    model = model_after(6, no_slowdown)
    assert model.slowdown("records", 1.0) < 1.2
    assert model.slowdown("loans", 1.0) > 1.35


def test_estimate_follows_a_change_of_the_targets():
    model = model_after(6, no_slowdown)
    for _ in range(60):
        model.record("read", "records", LoadAtSend(5, 6, 1.0, 0.001), USUAL_LATENCY_S * 2)
    assert model.slowdown("records", 1.0) > 1.7


@pytest.mark.parametrize(
    "load",
    [
        LoadAtSend(5, 6, latency_ratio=7.0, report_age=0.001),
        LoadAtSend(5, 6, latency_ratio=1.0, report_age=0.2),
        LoadAtSend(8, 6, latency_ratio=1.0, report_age=0.001),
    ],
)
def test_answers_with_another_explanation_are_ignored(load):
    model = model_after(6, no_slowdown)
    before = model.slowdown("records", 1.0)
    for _ in range(40):
        model.record("read", "records", load, USUAL_LATENCY_S * 5)
    assert model.slowdown("records", 1.0) == before


def test_unknown_utilisation_is_explored_more_often_than_a_known_one():
    model = LatencyModel()
    unknown = model.exploration_share("records", 1.0)
    known = model_after(6, slowdown_above_80_percent).exploration_share("records", 1.0)
    assert 0.1 > unknown > known > 0.0
