"""How full a service is, by what probes find."""

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


def noted(*bad, clock=None):
    saturation = Saturation(clock=clock or Clock())
    for found in bad:
        saturation.record(full=found)
    return saturation


def test_where_nothing_was_heard_there_is_room():
    assert (noted().share, noted().admission_share) == (0.0, 1.0)


def test_the_share_follows_what_probes_find():
    share = noted(*[True, False] * 50).share
    assert 0.4 < share < 0.6
    assert noted(*[True] * 60).share > NO_ADMISSION_ABOVE


def test_room_ends_gradually():
    assert noted(*[True] * 5).admission_share == 1.0  # a few bad ones mean nothing
    some = noted(*[True] * 11)
    assert FULL_ADMISSION_BELOW < some.share < NO_ADMISSION_ABOVE
    assert 0.0 < some.admission_share < 1.0
    assert noted(*[True] * 60).admission_share == 0.0


def test_what_is_not_heard_any_more_is_forgotten():
    clock = Clock()
    saturation = noted(*[True] * 60, clock=clock)
    clock.now += 1.5
    assert (saturation.share, saturation.admission_share) == (0.0, 1.0)
    saturation.record(full=True)
    assert saturation.share < 0.2  # it starts anew
