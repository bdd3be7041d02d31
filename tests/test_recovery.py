"""Replaced and partitioned boxes, racing edits, and drains, in the simulated world."""

import pytest

from dunlinnotch.protocol.outcome import EditStatus, Outcome, Reason
from dunlinnotch.standins.platform import PlatformFaults
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import Change, Edit
from tests.matrix import find_violations, setup
from tests.world import BOXES_MAX, CUT_OFF_S, LEASE_S, World


@pytest.fixture
def world():
    world = World()
    setup(world)
    return world


def rank(world):
    return {name: core.holder.tree.effective("hall-a").rank for name, core in world.boxes.items()}


def assert_recovered(world):
    world.heal()
    assert find_violations(world) == []


def test_boxes_replaced_one_by_one_during_a_table_outage_keep_the_settings(world):
    world.store.set_faults(PlatformFaults(down=True))
    for number, place in enumerate(("hall-a", "hall-b")):
        world.start_box(f"new-{number}", place)
        world.tick()
        assert world.boxes[f"new-{number}"].holder.version == 1
        world.kill(f"box-{number}")
        world.tick()
    assert world.call("loan").outcomes[-1] is Outcome.ANSWERED
    assert_recovered(world)


def test_boxes_replaced_all_at_once_read_the_settings_from_the_table(world):
    for name in list(world.boxes):
        world.kill(name)
    world.start_box("new-0", "hall-a")
    assert world.boxes["new-0"].holder.version == 1
    assert world.call("lookup").outcomes[-1] is Outcome.ANSWERED
    assert_recovered(world)


def test_boxes_replaced_all_at_once_refuse_calls_until_the_table_is_back(world):
    world.store.set_faults(PlatformFaults(down=True))
    for name in list(world.boxes):
        world.kill(name)
    world.start_box("new-0", "hall-a")
    world.tick()
    refusal = world.boxes["new-0"].gate.refusal()
    assert (refusal.outcome, refusal.reason) == (Outcome.NOT_RUN, Reason.NO_SETTINGS)
    world.store.set_faults(PlatformFaults())
    world.tick()
    assert world.call("lookup").outcomes[-1] is Outcome.ANSWERED
    assert_recovered(world)


def test_an_hour_of_table_outage_stops_no_calls(world):
    world.store.set_faults(PlatformFaults(down=True))
    for _ in range(360):
        world.tick(10.0)
        world.sync()
    assert world.call("loan").outcomes[-1] is Outcome.ANSWERED
    assert_recovered(world)


def test_boxes_cut_off_from_the_table_get_edits_from_peers(world):
    world.cut_from_table.add("box-1")
    status = world.edit("box-0", Change("hall-a", "rank", "3"))
    assert status is EditStatus.ACCEPTED
    assert set(rank(world).values()) == {3}
    assert_recovered(world)


@pytest.mark.parametrize("fault", ["cut_from_peers", "not_receiving"])
def test_an_isolated_box_stops_in_time_and_no_edit_is_accepted_before(world, fault):
    getattr(world, fault).add("box-1")
    world.cut_from_table.add("box-1")
    assert world.edit("box-0", Change("hall-a", "rank", "3"), rounds=3) is EditStatus.PENDING
    for _ in range(int(CUT_OFF_S) + 2):
        world.tick()
    assert world.boxes["box-1"].gate.refusal().reason is Reason.CUT_OFF
    assert_recovered(world)
    assert set(rank(world).values()) == {3}


def test_racing_edits_conflict_on_one_node_and_merge_on_two(world):
    base = {name: core.holder.version for name, core in world.boxes.items()}
    assert set(base.values()) == {1}
    first = world.edit("box-0", Change("hall-a", "rank", "3"))
    stale = world.boxes["box-1"].editor

    def edit(path):
        return stale.edit(Edit(path, 1, "bob", (Change(path, "rank", "4"),)), timeout=0.0)

    assert first is EditStatus.ACCEPTED
    assert edit("hall-a").status is EditStatus.CONFLICT
    assert edit("hall-b").status in (EditStatus.ACCEPTED, EditStatus.PENDING)
    world.tick()
    assert set(rank(world).values()) == {3}
    assert_recovered(world)


def test_an_edit_with_a_lost_answer_is_found_by_its_id(world):
    world.store.set_faults(PlatformFaults(lose_answers=1))
    key = "an-id"
    assert world.edit("box-0", Change("hall-a", "rank", "3"), key=key) is EditStatus.ACCEPTED
    assert world.edit("box-1", Change("hall-a", "rank", "3"), key=key) is EditStatus.ACCEPTED
    assert world.boxes["box-0"].holder.version == 2
    assert_recovered(world)


def test_a_stopped_place_drains_its_boxes_and_gets_no_new_calls(world):
    assert world.edit("box-0", Change("hall-b", "state", "stopped")) is EditStatus.ACCEPTED
    world.tick()
    assert world.boxes["box-1"].membership.own.state is RunState.DRAINING
    before = {a: sum(t.runs.values()) for a, t in world.targets.items()}
    for _ in range(20):
        assert world.call("lookup").outcomes[-1] is Outcome.ANSWERED
    used = {a for a, t in world.targets.items() if sum(t.runs.values()) > before[a]}
    assert used <= {"10.0.0.0:80", "10.0.0.1:80"}
    for _ in range(15):
        world.tick()
    assert world.boxes["box-1"].membership.own.state is RunState.STOPPED
    assert_recovered(world)


def test_a_box_serves_again_after_its_drain_is_cancelled(world):
    world.edit("box-1", Change("box:box-1", "state", "draining"))
    world.tick()
    assert world.boxes["box-1"].membership.own.state is RunState.DRAINING
    world.edit("box-0", Change("box:box-1", "state", None))
    world.tick()
    assert world.boxes["box-1"].membership.own.state is RunState.RUNNING
    assert_recovered(world)


def test_notice_of_a_leaving_target_reaches_the_other_boxes(world):
    target = world.targets["10.0.0.0:80"]
    target.leaving_since = world.clock()
    target.mode = "draining"
    world.start_box("box-2", "hall-a")
    for _ in range(6):
        world.call("lookup")
    assert target.leaving_reported_at is not None
    for _ in range(3):
        world.tick()
    for core in world.boxes.values():
        record = core.directory.pool("holdings").find(target.address)
        assert record is None or record.leaving
    assert_recovered(world)


def test_partitioned_boxes_accept_no_edit_that_the_other_half_misses(world):
    world.start_box("box-2", "hall-a")
    world.start_box("box-3", "hall-b")
    world.list_boxes()
    world.tick()
    world.second_partition = {"box-1", "box-3"}
    world.cut_from_table = {"box-1", "box-3"}
    assert world.edit("box-0", Change("hall-a", "rank", "3"), rounds=20) is EditStatus.PENDING
    assert rank(world) == {"box-0": 3, "box-1": 5, "box-2": 3, "box-3": 5}
    assert_recovered(world)
    assert set(rank(world).values()) == {3}


def test_many_boxes_that_join_at_once_stay_within_the_probe_budget(world):
    world.store.set_faults(PlatformFaults(list_frozen=True))
    for number in range(2, 8):
        world.start_box(f"box-{number}", "hall-a")
    for _ in range(40):
        world.tick()
    probed = [len(target.probes) for target in world.targets.values()]
    assert any(probed)
    assert_recovered(world)


@pytest.mark.parametrize("seconds", [LEASE_S * 0.5, LEASE_S * 1.1, LEASE_S * 3])
def test_a_paused_prober_does_not_spend_the_budget_of_its_successor(world, seconds):
    world.start_box("box-2", "hall-a")
    for _ in range(20):
        world.tick()
    paused = next(n for n, core in world.boxes.items() if core.probe_lease.held(BOXES_MAX))
    world.pause(paused, seconds)
    world.boxes[paused].probe_unreported_targets()
    for _ in range(20):
        world.tick()
    assert_recovered(world)
