from dataclasses import replace

import pytest

from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.settings.gate import WorkGate
from dunlinnotch.coordination.settings.tree import SettingsHolder
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.protocol.peers import LinkState, Sync
from dunlinnotch.protocol.platform import ListedBox
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import Change, Edit
from tests import FakeClock, box_row


class Peer:
    """One box's membership, and its links to others."""

    def __init__(self, name, clock, **row):
        self.holder = SettingsHolder()
        self.members = Membership(box_row(name, **row), holder=self.holder, clock=clock)
        self.links = {}

    def sync_with(self, other):
        """Run one sync round on the link to another box, both ways."""
        ours, theirs = self.links.setdefault(other, (LinkState(), LinkState()))
        other.members.apply(self.members.next_sync(ours), theirs)
        self.members.apply(other.members.next_sync(theirs), ours)

    def edit(self, version):
        change = Change("/", "rank", str(version % 10))
        self.holder.advance([Edit(f"e{version}", version - 1, "anna", (change,), version)])
        self.members.refresh_own()


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def three(clock):
    return [Peer(name, clock) for name in ("a", "b", "c")]


def names(peer):
    return sorted(row.name for row in peer.members.live())


def test_rows_and_edits_spread_from_box_to_box(three):
    a, b, c = three
    a.edit(1)
    a.sync_with(b)
    b.sync_with(c)
    assert names(c) == ["a", "b", "c"]
    assert c.holder.version == 1
    assert a.members.unconfirmed_boxes(1) == ("b",)
    b.members.refresh_own()
    c.members.refresh_own()
    b.sync_with(c)
    a.sync_with(b)
    assert a.members.unconfirmed_boxes(1) == ()


def test_only_new_rows_are_sent(three):
    a, b, _ = three
    a.sync_with(b)
    a.sync_with(b)
    assert a.members.next_sync(a.links[b][0]).rows == ()
    a.members.refresh_own()
    assert [row.name for row in a.members.next_sync(a.links[b][0]).rows] == ["a"]


def test_a_peer_far_behind_receives_the_complete_tree(three):
    a, b, _ = three
    for version in range(1, 101):
        a.edit(version)
    a.sync_with(b)
    b.sync_with(a)
    assert b.holder.version == 100


@pytest.mark.parametrize("older", [{"seq": 4}, {"incarnation": 1, "seq": 99}])
def test_older_row_never_replaces_a_newer_one(clock, older):
    peer = Peer("a", clock)
    newer = box_row("z", incarnation=2, seq=5, in_flight=7)
    for row in (newer, replace(newer, in_flight=1, **older)):
        peer.members.apply(Sync("z", 2, 0, None, (row,)), LinkState())
    assert [row.in_flight for row in peer.members.rows() if row.name == "z"] == [7]


def test_silent_box_is_not_offered_but_delays_edits_until_it_is_unlisted(clock, three):
    a, b, _ = three
    a.members.apply_listing([ListedBox("b", "127.0.0.1:1")])
    a.sync_with(b)
    a.edit(1)
    clock.advance(5.0)
    assert names(a) == ["a"]
    assert a.members.unconfirmed_boxes(1) == ("b",)
    clock.advance(60.0)
    assert a.members.unconfirmed_boxes(1) == ("b",)
    a.members.apply_listing([])
    assert a.members.unconfirmed_boxes(1) == ()


def test_listed_box_without_a_row_counts_as_unconfirmed(clock):
    peer = Peer("a", clock)
    peer.members.apply_listing([ListedBox("ghost", "127.0.0.1:1")])
    peer.edit(1)
    assert peer.members.unconfirmed_boxes(1) == ("ghost",)


def test_stopped_box_does_not_delay_edits(three):
    a, b, _ = three
    a.sync_with(b)
    a.edit(1)
    b.members.refresh_own(state=RunState.STOPPED)
    a.sync_with(b)
    assert "b" not in names(a)
    assert a.members.unconfirmed_boxes(1) == ()


def test_process_replaced_by_a_later_start_refuses_requests(clock):
    old = Peer("a", clock)
    gate = WorkGate(old.members, old.holder, clock=clock)
    old.edit(1)
    old.members.record_table_read(clock())
    assert gate.refusal() is None
    row = box_row("a", incarnation=2)
    old.members.apply(Sync("z", 1, 1, None, (row,)), LinkState())
    assert gate.refusal().reason is Reason.BOX_DRAINED


def test_box_without_contact_refuses_requests_until_the_next_sync(clock, three):
    a, b, _ = three
    gate = WorkGate(a.members, a.holder, clock=clock)
    assert gate.refusal().reason is Reason.NO_SETTINGS
    a.edit(1)
    a.sync_with(b)
    assert gate.refusal() is None
    clock.advance(10.5)
    assert gate.refusal().reason is Reason.CUT_OFF
    a.sync_with(b)
    assert gate.refusal() is None


def test_links_are_bounded_and_connect_all_boxes(clock):
    peers = [Peer(f"box-{n:02}", clock, place=f"hall-{n % 3}") for n in range(18)]
    rows = tuple(peer.members.own for peer in peers)
    graph = {}
    for peer in peers:
        peer.members.apply(Sync("x", 1, 0, None, rows), LinkState())
        links = peer.members.select_links(4, [])
        assert len(links) == 4
        places = {row.place for row in rows if row.name in links}
        assert places - {peer.members.own.place}
        graph[peer.members.own.name] = set(links)
    reached, edge = {"box-00"}, ["box-00"]
    while edge:
        for name in graph[edge.pop()] - reached:
            reached.add(name)
            edge.append(name)
    assert len(reached) == 18


def test_seeds_are_used_while_no_peer_is_known(clock):
    peer = Peer("a", clock)
    assert peer.members.select_links(4, ["127.0.0.1:5"]) == {"127.0.0.1:5": "127.0.0.1:5"}
