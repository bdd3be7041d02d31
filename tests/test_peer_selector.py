"""Guards that heartbeats of many boxes are bounded, and still inform every box."""

from __future__ import annotations

import random

import pytest

from benchmarks._boxes import PLACES, Boxes
from dunlinnotch.coordination.membership.mesh import STALE_S
from dunlinnotch.coordination.membership.peer_selector import (
    MAX_FULL_MESH,
    MAX_LOCAL_PEERS,
    PeerSelector,
)


def local_names(boxes, mesh):
    return {m.name for m in boxes.meshes.values() if m.place == mesh.place}


@pytest.mark.parametrize("loss_rate", [0.0, 0.05])
def test_every_box_knows_its_place_and_how_many_boxes_there_are(loss_rate):
    boxes = Boxes(142, loss_rate=loss_rate).converge()
    for mesh in boxes.meshes.values():
        known = {heartbeat.name for heartbeat in mesh.live() if heartbeat.place == mesh.place}
        assert known | {mesh.name} == local_names(boxes, mesh)
        assert mesh.max_boxes == 142
        assert {heartbeat.place for heartbeat in mesh.heartbeats()} == set(PLACES)


def test_boxes_that_receive_heartbeats_of_part_of_their_place_know_the_number_of_boxes():
    boxes = Boxes(250).converge()
    assert {mesh.max_boxes for mesh in boxes.meshes.values()} == {250}


@pytest.mark.parametrize("loss_rate", [0.0, 0.05])
def test_an_update_reaches_every_box_within_two_heartbeats(loss_rate):
    boxes = Boxes(142, loss_rate=loss_rate).converge()
    boxes.publish_version(6)
    reached = sum(table.version == 6 for table in boxes.tables.values())
    assert reached > 0.2 * 142
    boxes.exchange_heartbeats()
    boxes.exchange_heartbeats()
    assert {table.version for table in boxes.tables.values()} == {6}


def test_each_place_has_one_reader_and_one_of_them_is_the_primary_reader():
    boxes = Boxes(142).converge()
    assert all(age < STALE_S for age in _ages(boxes))
    readers = [m for m in boxes.meshes.values() if m.is_reader()]
    assert sorted(m.place for m in readers) == sorted(PLACES)
    assert [m.name for m in readers if m.is_primary_reader()] == [min(m.name for m in readers)]


def _ages(boxes):
    return [mesh.age(boxes.tables[name]) for name, mesh in boxes.meshes.items()]


@pytest.mark.parametrize("count", [20, 142, 250])
def test_the_number_of_heartbeats_per_interval_is_bounded(count):
    boxes = Boxes(count).converge()
    boxes.sent = 0
    boxes.exchange_heartbeats()
    assert boxes.sent <= count * max(MAX_FULL_MESH, MAX_LOCAL_PEERS + 2 * len(PLACES))
    max_peers = max(
        len(mesh.heartbeat_peers() + mesh.remote_peers()) for mesh in boxes.meshes.values()
    )
    assert max_peers <= max(MAX_FULL_MESH, MAX_LOCAL_PEERS + 2 * len(PLACES))


def test_few_boxes_send_to_all_others():
    boxes = Boxes(MAX_FULL_MESH + 1).converge()
    for mesh in boxes.meshes.values():
        assert len(mesh.heartbeat_peers()) == MAX_FULL_MESH
        assert len(mesh.update_peers()) == MAX_FULL_MESH
        assert mesh.remote_peers() == []


@pytest.mark.parametrize("loss_rate", [0.0, 0.05])
def test_a_system_above_the_full_mesh_limit_sends_mostly_within_its_places(loss_rate):
    """Heartbeats of 18 boxes must not dominate the traffic between places."""
    boxes = Boxes(18, loss_rate=loss_rate).converge()
    for mesh in boxes.meshes.values():
        local = local_names(boxes, mesh) - {mesh.name}
        assert len(mesh.heartbeat_peers()) == len(local)
        assert len(mesh.remote_peers()) <= 2 * (len(PLACES) - 1)
        assert local <= {heartbeat.name for heartbeat in mesh.live()}
        assert mesh.max_boxes == 18
    boxes.publish_version(6)
    boxes.exchange_heartbeats()
    boxes.exchange_heartbeats()
    assert {table.version for table in boxes.tables.values()} == {6}


def test_only_a_box_that_knows_a_place_offers_just_the_boxes_of_that_place():
    boxes = Boxes(142).converge()
    mesh = boxes.meshes["box-77"]
    local = mesh.offered_addresses(mesh.place)
    assert sorted(local) == sorted(f"{name}:1" for name in local_names(boxes, mesh))
    # Few boxes of another place are known; offering just these would overload them.
    remote = mesh.offered_addresses(next(place for place in PLACES if place != mesh.place))
    assert set(local) < set(remote)


def test_a_forwarded_heartbeat_keeps_its_age():
    boxes = Boxes(40).converge()
    seed, other = boxes.meshes["box-0"], boxes.meshes["box-4"]
    seed.receive(other.own_heartbeat())
    before = boxes.tables["box-4"].verified_at
    boxes.clock.now += 1.0
    forwarded = {heartbeat.name: heartbeat for heartbeat in seed.introductions(seed.place)}["box-4"]
    assert forwarded.tables["t"].age_ms == pytest.approx((boxes.clock.now - before) * 1000, abs=2)


def test_introductions_include_the_followers_of_the_store():
    heartbeats = [m.own_heartbeat() for m in Boxes(142).converge().meshes.values()]
    chosen = PeerSelector("box-0", "ikeja", rng=random.Random(1)).introductions("ikeja", heartbeats)
    assert {heartbeat.place for heartbeat in chosen if heartbeat.follows} == set(PLACES)
    assert len(chosen) <= MAX_LOCAL_PEERS + 2 * (len(PLACES) - 1)


def test_traffic_does_not_grow_while_no_box_can_read_the_store():
    """A place has one follower even if none of its boxes can read the store."""
    boxes = Boxes(99).converge()
    before = bytes_per_interval(boxes)
    for mesh in boxes.meshes.values():
        mesh.reading = False
    for _ in range(8):
        boxes.exchange_heartbeats()
    follower_places = [mesh.place for mesh in boxes.meshes.values() if mesh.is_follower()]
    assert sorted(follower_places) == sorted(PLACES)
    assert bytes_per_interval(boxes) < 1.2 * before


def bytes_per_interval(boxes):
    boxes.sent_bytes = 0
    boxes.exchange_heartbeats()
    return boxes.sent_bytes
