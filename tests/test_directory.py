import random

from dunlinnotch.coordination.choosing.directory import PoolDirectory
from dunlinnotch.state.tree import Change, Edit, SettingsTree
from tests import FakeClock, box_row


def settings_tree(*changes):
    return SettingsTree().apply(Edit("a", 0, "anna", changes, 1))


def directory(place="hall-a"):
    return PoolDirectory(box="a", place=place, clock=FakeClock(), rng=random.Random(1))


TARGETS = ", ".join(f"10.0.0.{n}:80" for n in range(30))
SERVICE = (
    Change("hall-a/holdings", "targets", TARGETS),
    Change("hall-b/holdings", "targets", "10.1.0.1:80"),
    Change("hall-a/holdings", "connections", "250"),
)


def addresses(pools):
    return {target.address for target in pools.pool("holdings").records()}


def test_box_missing_from_the_list_has_empty_pools():
    pools = directory()
    pools.rebuild(settings_tree(*SERVICE), [box_row("b")])
    assert pools.pool("holdings").records() == []


def test_box_uses_a_subset_and_its_share_of_connections():
    pools = directory()
    pools.rebuild(settings_tree(*SERVICE), [box_row("a"), box_row("b")])
    assert len([a for a in addresses(pools) if a.startswith("10.0.0.")]) == 10
    assert pools.connection_limit("10.0.0.1:80") == 250 // 18
    assert pools.connection_limit("10.9.9.9:80") == 1


def test_stopped_place_and_draining_target_are_left_out():
    rows = [box_row("a")]
    pools = directory()
    pools.rebuild(settings_tree(*SERVICE, Change("hall-a", "state", "stopped")), rows)
    assert addresses(pools) == {"10.1.0.1:80"}
    pools.rebuild(settings_tree(*SERVICE, Change("target:10.1.0.1:80", "state", "draining")), rows)
    assert "10.1.0.1:80" not in addresses(pools)


def test_target_record_survives_a_new_version_of_the_settings():
    pools = directory()
    pools.rebuild(settings_tree(*SERVICE), [box_row("a")])
    target = pools.pool("holdings").records()[0]
    target.leaving = True
    pools.rebuild(settings_tree(*SERVICE, Change("/", "rank", "1")), [box_row("a"), box_row("b")])
    assert all(t.leaving for t in pools.pool("holdings").records() if t.address == target.address)
