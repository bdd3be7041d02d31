import random

from dunlinnotch.coordination.choosing.directory import PoolDirectory
from dunlinnotch.state.tree import Change, Edit, SettingsTree
from tests import FakeClock, box_row


def tree(*changes):
    return SettingsTree().apply(Edit("a", 0, "anna", changes, 1))


def directory(place="hall-a"):
    return PoolDirectory(box="a", place=place, clock=FakeClock(), rng=random.Random(1))


TARGETS = ", ".join(f"10.0.0.{n}:80" for n in range(30))
SERVICE = (
    Change("hall-a/holdings", "targets", TARGETS),
    Change("hall-b/holdings", "targets", "10.1.0.1:80"),
    Change("hall-a/holdings", "connections", "250"),
)


def addresses(found):
    return {target.address for target in found.pool("holdings").records()}


def test_box_that_has_stopped_keeps_its_pools_empty_and_does_not_fail():
    found = directory()
    found.rebuild(tree(*SERVICE), [box_row("b")])
    assert found.pool("holdings").records() == []


def test_box_works_with_a_subset_and_shares_connections():
    found = directory()
    found.rebuild(tree(*SERVICE), [box_row("a"), box_row("b")])
    assert len([a for a in addresses(found) if a.startswith("10.0.0.")]) == 10
    assert found.connection_limit("10.0.0.1:80") == 250 // 18
    assert found.connection_limit("10.9.9.9:80") == 1


def test_stopped_place_and_drained_target_are_left_out():
    rows = [box_row("a")]
    found = directory()
    found.rebuild(tree(*SERVICE, Change("hall-a", "state", "stopped")), rows)
    assert addresses(found) == {"10.1.0.1:80"}
    found.rebuild(tree(*SERVICE, Change("target:10.1.0.1:80", "state", "draining")), rows)
    assert "10.1.0.1:80" not in addresses(found)


def test_what_is_known_of_a_target_outlives_a_new_version():
    found = directory()
    found.rebuild(tree(*SERVICE), [box_row("a")])
    target = found.pool("holdings").records()[0]
    target.leaving = True
    found.rebuild(tree(*SERVICE, Change("/", "rank", "1")), [box_row("a"), box_row("b")])
    assert all(t.leaving for t in found.pool("holdings").records() if t.address == target.address)
