"""A target that has left is not added again by an outdated row."""

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


def test_a_leaving_row_that_arrives_first_outdates_the_rows_before_it():
    instances = InstanceList()
    instances.apply(listed(leaving=True, sequence=5), 1.0)
    assert not instances.apply(READY, 2.0)


@pytest.mark.parametrize(("sequence", "added"), [(3, False), (4, False), (5, True)])
def test_a_removed_target_is_added_again_by_a_newer_row_only(sequence, added):
    instances = InstanceList()
    instances.apply(READY, 0.0)
    instances.remove("i-1")
    assert instances.apply(listed(sequence=sequence), 1.0) is added
    assert bool(instances.for_service("loans")) is added


def test_an_outdated_row_changes_nothing():
    instances = InstanceList()
    instances.apply(READY, 0.0)
    assert not instances.apply(listed(sequence=3, slots=1), 1.0)
    assert instances.find("i-1").listed.slots == 3


@pytest.mark.parametrize("end", ["leaving", "removed", "none"])
def test_a_target_that_restarts_under_its_name_is_used_again(end):
    instances = InstanceList()
    instances.apply(listed(born=1000, sequence=40), 0.0)
    if end == "leaving":
        instances.apply(listed(born=1000, sequence=41, leaving=True), 1.0)
    elif end == "removed":
        instances.remove("i-1")
    assert instances.apply(listed(born=2000, sequence=0), 2.0)
    assert [i.listed.sequence for i in instances.for_service("loans")] == [0]


def test_a_new_start_has_no_state_of_the_previous_one():
    instances = InstanceList()
    instances.apply(listed(born=1000), 0.0)
    before = instances.find("i-1")
    before.record_report(TargetReport(3, 3, 3), 0.5)
    before.failures, before.ejected_until, before.in_flight = 7, 99.0, 2
    instances.apply(listed(born=2000, sequence=0, slow_start_s=3.0), 1.0)
    after = instances.find("i-1")
    assert before.removed
    assert not after.removed
    assert (after.report, after.failures, after.ejected_until, after.in_flight) == (None, 0, 0.0, 0)
    assert after.slow_start_until == 4.0
    assert after.start != before.start


def test_an_older_start_never_replaces_a_newer_one():
    instances = InstanceList()
    instances.apply(listed(born=2000, sequence=0), 0.0)
    assert not instances.apply(listed(born=1000, sequence=50), 1.0)
    assert not instances.apply(listed(born=1000, sequence=51, leaving=True), 1.0)
    assert instances.find("i-1").listed.born == 2000
    instances.apply(listed(born=2000, sequence=1, leaving=True), 2.0)
    assert not instances.apply(listed(born=1000, sequence=52), 3.0)
    assert instances.for_service("loans") == []


def test_a_suspended_target_is_added_again_by_the_same_row():
    instances = InstanceList()
    instances.apply(READY, 0.0)
    assert instances.suspend("i-1")
    assert instances.for_service("loans") == []
    assert not instances.apply(listed(sequence=3), 1.0)
    assert instances.apply(READY, 1.0)


class Starts(RuleBasedStateMachine):
    """Rows of several starts of one target arrive in any order."""

    @initialize()
    def begin(self):
        self.instances = InstanceList()
        self.newest = (0, -1)
        self.left = set()
        self.backoffs = {}

    @rule(born=st.integers(1, 4), sequence=st.integers(0, 5), leaving=st.booleans())
    def apply_row(self, born, sequence, leaving):
        self.instances.apply(listed(born=born, sequence=sequence, leaving=leaving), 0.0)
        if leaving and (born, sequence) >= self.newest:
            self.left.add(born)
        self.newest = max(self.newest, (born, sequence))

    @rule()
    def remove(self):
        self.instances.remove("i-1")

    @rule()
    def retire(self):
        instance = self.instances.find("i-1")
        if instance is not None:
            self.instances.retire("i-1")
            self.left.add(instance.listed.born)

    @rule(until=st.floats(1.0, 9.0))
    def request_backoff(self, until):
        instance = self.instances.find("i-1")
        if instance is not None:
            self.instances.back_off(instance, until)
            born = instance.listed.born
            self.backoffs[born] = max(until, self.backoffs.get(born, 0.0))

    @invariant()
    def a_start_backs_off_as_long_as_requested_whatever_happens_to_its_row(self):
        instance = self.instances.find("i-1") if hasattr(self, "instances") else None
        if instance is not None:
            assert instance.backoff_until == self.backoffs.get(instance.listed.born, 0.0)
            assert self.instances.backoff_left("loans", 0.0) == instance.backoff_until

    @invariant()
    def only_the_newest_start_that_is_not_leaving_is_listed(self):
        if not hasattr(self, "instances"):
            return
        instance = self.instances.find("i-1")
        if instance is not None:
            assert instance.listed.born == self.newest[0]
            assert instance.listed.born not in self.left
            assert not instance.listed.leaving


TestStarts = Starts.TestCase


def test_a_backoff_belongs_to_a_start_and_is_never_shortened():
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


def test_a_service_backs_off_until_its_first_target_accepts_work():
    instances = InstanceList()
    assert instances.backoff_left("loans", 1.0) == 0.0
    instances.apply(listed(), 0.0)
    instances.back_off(instances.find("i-1"), 5.0)
    instances.apply(listed(instance="i-2"), 0.0)
    assert instances.backoff_left("loans", 1.0) == 0.0
    instances.back_off(instances.find("i-2"), 3.0)
    assert instances.backoff_left("loans", 1.0) == 2.0


@pytest.mark.parametrize("sequence", [4, 5, 1000])
def test_a_retired_target_is_not_added_again_by_a_row_of_the_same_start(sequence):
    instances = InstanceList()
    instances.apply(listed(born=1000), 0.0)
    before = instances.find("i-1")
    assert instances.retire("i-1")
    assert before.removed
    assert not instances.retire("i-1")
    assert not instances.apply(listed(born=1000, sequence=sequence), 1.0)
    assert instances.apply(listed(born=2000, sequence=0), 2.0)


def test_a_renewed_backoff_is_not_dropped_as_the_oldest(monkeypatch):
    monkeypatch.setattr("dunlinnotch.state.instances._MAX_BACKOFFS", 2)
    instances = InstanceList()
    for name in "abc":
        instances.apply(listed(instance=name), 0.0)
    for name in "abac":
        instances.back_off(instances.find(name), 30.0)
    instances.remove("a")
    instances.apply(listed(instance="a", sequence=50), 1.0)
    assert instances.find("a").backoff_until == 30.0
