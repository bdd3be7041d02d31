"""Many boxes that each tell a few: what they send is bounded, what they know is not."""

from __future__ import annotations

import random

import pytest

from benchmarks._boxes import PLACES, Boxes
from dunlinnotch.coordination.membership.links import FULL_MESH, NEAR_MOST, Links
from dunlinnotch.coordination.membership.mesh import STALE_S


def near_names(boxes, mesh):
    return {m.name for m in boxes.meshes.values() if m.place == mesh.place}


@pytest.mark.parametrize("lost", [0.0, 0.05])
def test_every_box_knows_its_place_and_how_many_boxes_there_are(lost):
    boxes = Boxes(142, lost=lost).settled()
    for mesh in boxes.meshes.values():
        known = {word.name for word in mesh.live() if word.place == mesh.place}
        assert known | {mesh.name} == near_names(boxes, mesh)
        assert mesh.max_boxes == 142
        assert {word.place for word in mesh.heartbeats()} == set(PLACES)


def test_boxes_that_hear_a_part_of_their_place_know_how_many_there_are():
    boxes = Boxes(250).settled()
    assert {mesh.max_boxes for mesh in boxes.meshes.values()} == {250}


@pytest.mark.parametrize("lost", [0.0, 0.05])
def test_news_reaches_every_box_within_two_turns(lost):
    boxes = Boxes(142, lost=lost).settled()
    boxes.write(6)
    reached = sum(table.version == 6 for table in boxes.tables.values())
    assert reached > 0.2 * 142
    boxes.beat()
    boxes.beat()
    assert {table.version for table in boxes.tables.values()} == {6}


def test_one_box_of_each_place_reads_and_one_of_them_leads():
    boxes = Boxes(142).settled()
    assert all(age < STALE_S for age in _ages(boxes))
    readers = [m for m in boxes.meshes.values() if m.is_reader()]
    assert sorted(m.place for m in readers) == sorted(PLACES)
    assert [m.name for m in readers if m.is_primary_reader()] == [min(m.name for m in readers)]


def _ages(boxes):
    return [mesh.age(boxes.tables[name]) for name, mesh in boxes.meshes.items()]


@pytest.mark.parametrize("count", [20, 142, 250])
def test_what_a_box_sends_in_a_turn_is_bounded(count):
    boxes = Boxes(count).settled()
    boxes.sent = 0
    boxes.beat()
    assert boxes.sent <= count * max(FULL_MESH, NEAR_MOST + 2 * len(PLACES))
    most = max(len(mesh.heartbeat_peers() + mesh.remote_peers()) for mesh in boxes.meshes.values())
    assert most <= max(FULL_MESH, NEAR_MOST + 2 * len(PLACES))


def test_few_boxes_tell_everybody():
    boxes = Boxes(FULL_MESH + 1).settled()
    for mesh in boxes.meshes.values():
        assert len(mesh.heartbeat_peers()) == FULL_MESH
        assert len(mesh.update_peers()) == FULL_MESH
        assert mesh.remote_peers() == []


@pytest.mark.parametrize("lost", [0.0, 0.05])
def test_a_small_system_tells_its_own_place_and_few_elsewhere(lost):
    """wusta-listings: what 17 boxes told each other was two fifths of the bytes between places."""
    boxes = Boxes(18, lost=lost).settled()
    for mesh in boxes.meshes.values():
        near = near_names(boxes, mesh) - {mesh.name}
        assert len(mesh.heartbeat_peers()) == len(near)
        assert len(mesh.remote_peers()) <= 2 * (len(PLACES) - 1)
        assert near <= {word.name for word in mesh.live()}
        assert mesh.max_boxes == 18
    boxes.write(6)
    boxes.beat()
    boxes.beat()
    assert {table.version for table in boxes.tables.values()} == {6}


def test_callers_of_a_place_are_sent_to_all_of_it_only_by_a_box_that_knows_it():
    boxes = Boxes(142).settled()
    mesh = boxes.meshes["box-77"]
    own = mesh.offered_addresses(mesh.place)
    assert sorted(own) == sorted(f"{name}:1" for name in near_names(boxes, mesh))
    # Of another place a few are known: all its callers would go to those.
    elsewhere = mesh.offered_addresses(next(place for place in PLACES if place != mesh.place))
    assert set(own) < set(elsewhere)


def test_a_word_told_on_is_as_old_as_it_is():
    boxes = Boxes(40).settled()
    seed, other = boxes.meshes["box-0"], boxes.meshes["box-4"]
    seed.receive(other.own_heartbeat())
    before = boxes.tables["box-4"].verified_at
    boxes.clock.now += 1.0
    told = {word.name: word for word in seed.introductions(seed.place)}["box-4"]
    assert told.tables["t"].age_ms == pytest.approx((boxes.clock.now - before) * 1000, abs=2)


def test_introductions_name_those_who_follow_the_store():
    words = [m.own_heartbeat() for m in Boxes(142).settled().meshes.values()]
    chosen = Links("box-0", "ikeja", rng=random.Random(1)).introduced("ikeja", words)
    assert {w.place for w in chosen if w.follows} == set(PLACES)
    assert len(chosen) <= NEAR_MOST + 2 * (len(PLACES) - 1)


def test_what_boxes_tell_while_nobody_can_read_the_store_is_no_more_than_before():
    """wusta-listings-grown trouble-3: every box took itself for the one that follows the
    store, so each told all others the words of its whole place, 0.5 of a day's worth."""
    boxes = Boxes(99).settled()
    before = bytes_of_a_turn(boxes)
    for mesh in boxes.meshes.values():
        mesh.reading = False
    for _ in range(8):
        boxes.beat()
    firsts = [mesh.place for mesh in boxes.meshes.values() if mesh.is_follower()]
    assert sorted(firsts) == sorted(PLACES)
    assert bytes_of_a_turn(boxes) < 1.2 * before


def bytes_of_a_turn(boxes):
    boxes.sent_bytes = 0
    boxes.beat()
    return boxes.sent_bytes
