"""Share of saturated targets by probe results, and the share of requests admitted."""

from __future__ import annotations

from dunlinnotch.coordination.choosing.saturation import (
    FULL_ADMISSION_BELOW,
    NO_ADMISSION_ABOVE,
    Saturation,
)


class Clock:
    now = 5.0

    def __call__(self):
        return self.now


def after_probes(*results, clock=None):
    saturation = Saturation(clock=clock or Clock())
    for saturated in results:
        saturation.record(saturated=saturated)
    return saturation


def test_everything_is_admitted_without_probe_results():
    assert (after_probes().share, after_probes().admission_share) == (0.0, 1.0)


def test_share_follows_the_probe_results():
    share = after_probes(*[True, False] * 50).share
    assert 0.4 < share < 0.6
    assert after_probes(*[True] * 60).share > NO_ADMISSION_ABOVE


def test_admission_share_falls_gradually():
    assert after_probes(*[True] * 5).admission_share == 1.0  # a few saturated targets do not matter
    partly_saturated = after_probes(*[True] * 11)
    assert FULL_ADMISSION_BELOW < partly_saturated.share < NO_ADMISSION_ABOVE
    assert 0.0 < partly_saturated.admission_share < 1.0
    assert after_probes(*[True] * 60).admission_share == 0.0


def test_share_is_forgotten_without_probe_results():
    clock = Clock()
    saturation = after_probes(*[True] * 60, clock=clock)
    clock.now += 1.5
    assert (saturation.share, saturation.admission_share) == (0.0, 1.0)
    saturation.record(saturated=True)
    assert saturation.share < 0.2  # the forgotten share does not count
