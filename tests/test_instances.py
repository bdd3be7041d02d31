"""A target that leaves does not come back by an old word."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dunlinnotch.state.instances import InstanceList, ListedTarget
from dunlinnotch.state.target_status import TargetReport

READY = ListedTarget("i-1", "loans", "hall-a", "10.0.0.1:80", 3, False, 4, 0.0)


def listed(**changes):
    return replace(READY, **changes)


def test_a_listed_target_is_found_by_service():
    instances = InstanceList()
    assert instances.apply(READY, 0.0)
    assert [i.name for i in instances.for_service("loans")] == ["i-1"]
    assert instances.addresses() == {"10.0.0.1:80"}


@pytest.mark.parametrize("sequence", [0, 4, 5, 6, 1000])
def test_leaving_is_for_good(sequence):
    instances = InstanceList()
    instances.apply(READY, 0.0)
    assert instances.apply(listed(leaving=True, sequence=5), 1.0)
    assert instances.for_service("loans") == []
    assert not instances.apply(listed(sequence=sequence), 2.0)
    assert instances.for_service("loans") == []


def test_leaving_heard_first_keeps_a_late_ready_word_out():
    instances = InstanceList()
    instances.apply(listed(leaving=True, sequence=5), 1.0)
    assert not instances.apply(READY, 2.0)


@pytest.mark.parametrize(("sequence", "back"), [(3, False), (4, False), (5, True)])
def test_a_row_that_vanished_comes_back_by_a_newer_word_only(sequence, back):
    instances = InstanceList()
    instances.apply(READY, 0.0)
    instances.remove("i-1")
    assert instances.apply(listed(sequence=sequence), 1.0) is back
    assert bool(instances.for_service("loans")) is back


def test_an_older_word_does_not_change_what_is_known():
    instances = InstanceList()
    instances.apply(READY, 0.0)
    assert not instances.apply(listed(sequence=3, slots=1), 1.0)
    assert instances.find("i-1").listed.slots == 3


@pytest.mark.parametrize("left", ["said so", "went", "not at all"])
def test_a_target_that_starts_again_under_its_name_is_used_again(left):
    instances = InstanceList()
    instances.apply(listed(born=1000, sequence=40), 0.0)
    if left == "said so":
        instances.apply(listed(born=1000, sequence=41, leaving=True), 1.0)
    elif left == "went":
        instances.remove("i-1")
    assert instances.apply(listed(born=2000, sequence=0), 2.0)
    assert [i.listed.sequence for i in instances.for_service("loans")] == [0]


def test_a_start_knows_nothing_of_the_one_before():
    instances = InstanceList()
    instances.apply(listed(born=1000), 0.0)
    before = instances.find("i-1")
    before.record_report(TargetReport(3, 3, 3), 0.5)
    before.failures, before.ejected_until, before.in_flight = 7, 99.0, 2
    instances.apply(listed(born=2000, sequence=0, slow_start_s=3.0), 1.0)
    now = instances.find("i-1")
    assert before.removed
    assert not now.removed
    assert (now.report, now.failures, now.ejected_until, now.in_flight) == (None, 0, 0.0, 0)
    assert now.slow_start_until == 4.0
    assert now.start != before.start


def test_an_older_start_never_replaces_a_newer_one():
    instances = InstanceList()
    instances.apply(listed(born=2000, sequence=0), 0.0)
    assert not instances.apply(listed(born=1000, sequence=50), 1.0)
    assert not instances.apply(listed(born=1000, sequence=51, leaving=True), 1.0)
    assert instances.find("i-1").listed.born == 2000
    instances.apply(listed(born=2000, sequence=1, leaving=True), 2.0)
    assert not instances.apply(listed(born=1000, sequence=52), 3.0)
    assert instances.for_service("loans") == []


def test_a_target_whose_entry_could_not_be_read_comes_back_by_the_same_word():
    instances = InstanceList()
    instances.apply(READY, 0.0)
    assert instances.suspend("i-1")
    assert instances.for_service("loans") == []
    assert not instances.apply(listed(sequence=3), 1.0)
    assert instances.apply(READY, 1.0)


class Starts(RuleBasedStateMachine):
    """Words of several starts of one target arrive in any order."""

    @initialize()
    def begin(self):
        self.instances = InstanceList()
        self.newest = (0, -1)
        self.left = set()
        self.rests = {}

    @rule(born=st.integers(1, 4), sequence=st.integers(0, 5), leaving=st.booleans())
    def hear(self, born, sequence, leaving):
        self.instances.apply(listed(born=born, sequence=sequence, leaving=leaving), 0.0)
        if leaving and (born, sequence) >= self.newest:
            self.left.add(born)
        self.newest = max(self.newest, (born, sequence))

    @rule()
    def goes(self):
        self.instances.remove("i-1")

    @rule()
    def says_that_it_leaves(self):
        found = self.instances.find("i-1")
        if found is not None:
            self.instances.retire("i-1")
            self.left.add(found.listed.born)

    @rule(until=st.floats(1.0, 9.0))
    def asks_for_rest(self, until):
        found = self.instances.find("i-1")
        if found is not None:
            self.instances.back_off(found, until)
            born = found.listed.born
            self.rests[born] = max(until, self.rests.get(born, 0.0))

    @invariant()
    def a_start_rests_for_as_long_as_it_asked_whatever_becomes_of_its_row(self):
        found = self.instances.find("i-1") if hasattr(self, "instances") else None
        if found is not None:
            assert found.backoff_until == self.rests.get(found.listed.born, 0.0)
            assert self.instances.backoff_left("loans", 0.0) == found.backoff_until

    @invariant()
    def only_the_newest_start_that_does_not_leave_is_used(self):
        if not hasattr(self, "instances"):
            return
        found = self.instances.find("i-1")
        if found is not None:
            assert found.listed.born == self.newest[0]
            assert found.listed.born not in self.left
            assert not found.listed.leaving


TestStarts = Starts.TestCase


def test_rest_is_kept_by_start_and_never_made_shorter():
    instances = InstanceList()
    instances.apply(listed(born=1000), 0.0)
    instances.back_off(instances.find("i-1"), 30.0)
    instances.back_off(instances.find("i-1"), 20.0)
    assert instances.backoff_left("loans", 10.0) == 20.0
    instances.remove("i-1")
    instances.apply(listed(born=1000, sequence=50), 11.0)
    assert instances.find("i-1").backoff_until == 30.0
    assert instances.backoff_left("loans", 31.0) == 0.0
    instances.apply(listed(born=2000, sequence=0), 12.0)
    assert instances.backoff_left("loans", 13.0) == 0.0


def test_a_service_rests_as_long_as_none_of_its_targets_wants_anything():
    instances = InstanceList()
    assert instances.backoff_left("loans", 1.0) == 0.0
    instances.apply(listed(), 0.0)
    instances.back_off(instances.find("i-1"), 5.0)
    instances.apply(listed(instance="i-2"), 0.0)
    assert instances.backoff_left("loans", 1.0) == 0.0
    instances.back_off(instances.find("i-2"), 3.0)
    assert instances.backoff_left("loans", 1.0) == 2.0


@pytest.mark.parametrize("sequence", [4, 5, 1000])
def test_a_target_that_says_itself_that_it_leaves_does_not_come_back_by_its_row(sequence):
    instances = InstanceList()
    instances.apply(listed(born=1000), 0.0)
    before = instances.find("i-1")
    assert instances.retire("i-1")
    assert before.removed
    assert not instances.retire("i-1")
    assert not instances.apply(listed(born=1000, sequence=sequence), 1.0)
    assert instances.apply(listed(born=2000, sequence=0), 2.0)
