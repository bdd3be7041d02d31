"""Targets stay useful during an overload and recover after it, on virtual time."""

from __future__ import annotations

import logging

import pytest

from benchmarks.goodput import MODELS, goodput, simulate


@pytest.fixture(autouse=True)
def disable_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


#: Minimum goodput of each model at twice the capacity, as a multiple of the capacity.
MIN_GOODPUT = (0.38, 0.44, 0.16, 0.43, 0.33)


@pytest.mark.parametrize(
    ("model", "min_goodput"),
    list(zip(MODELS, MIN_GOODPUT, strict=True)),
    ids=[model.name for model in MODELS],
)
def test_goodput_at_twice_the_capacity_is_above_the_minimum(model, min_goodput):
    assert goodput(model, 2.0, seed=1, seconds=4.0) > min_goodput


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.name)
def test_two_seconds_after_an_overload_nine_in_ten_requests_are_in_time(model):
    stretches = simulate(model, [(0.4, 1.0), (2.5, 3.0), (0.4, 4.0)], seed=1, interval_s=0.5)
    after = [stretch for begun, stretch in stretches if begun >= 6.0]
    offered = sum(stretch.offered for stretch in after)
    assert sum(stretch.outcomes["in-time"] for stretch in after) > 0.9 * offered
