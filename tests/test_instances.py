"""A target that leaves does not come back by an old word."""

from __future__ import annotations

from dataclasses import replace

import pytest

from dunlinnotch.state.instances import InstanceList, ListedTarget

READY = ListedTarget("i-1", "loans", "hall-a", "10.0.0.1:80", 3, False, 4, 0.0)


def listed(**changes):
    return replace(READY, **changes)


def test_a_listed_target_is_found_by_service():
    instances = InstanceList()
    assert instances.take(READY, 0.0)
    assert [i.name for i in instances.of("loans")] == ["i-1"]
    assert instances.addresses() == {"10.0.0.1:80"}


@pytest.mark.parametrize("sequence", [0, 4, 5, 6, 1000])
def test_leaving_is_for_good(sequence):
    instances = InstanceList()
    instances.take(READY, 0.0)
    assert instances.take(listed(leaving=True, sequence=5), 1.0)
    assert instances.of("loans") == []
    assert not instances.take(listed(sequence=sequence), 2.0)
    assert instances.of("loans") == []


def test_leaving_heard_first_keeps_a_late_ready_word_out():
    instances = InstanceList()
    instances.take(listed(leaving=True, sequence=5), 1.0)
    assert not instances.take(READY, 2.0)


@pytest.mark.parametrize(("sequence", "back"), [(3, False), (4, False), (5, True)])
def test_a_row_that_vanished_comes_back_by_a_newer_word_only(sequence, back):
    instances = InstanceList()
    instances.take(READY, 0.0)
    instances.leave("i-1")
    assert instances.take(listed(sequence=sequence), 1.0) is back
    assert bool(instances.of("loans")) is back


def test_an_older_word_does_not_change_what_is_known():
    instances = InstanceList()
    instances.take(READY, 0.0)
    assert not instances.take(listed(sequence=3, slots=1), 1.0)
    assert instances.find("i-1").listed.slots == 3
