"""Guards sync over real sockets, and that an invalid message ends only its own link."""

import socket
import threading

import msgpack
import pytest

from demo.fleet import wait_until
from dunlinnotch import _codec
from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.settings.tree import SettingsHolder
from dunlinnotch.protocol.peers import LinkState, Sync
from dunlinnotch.state.tree import Change, Edit
from dunlinnotch.transport.peers import PeerLinks, PeerServer
from tests import FakeClock, box_row


def members(name, **row):
    return Membership(box_row(name, **row), holder=SettingsHolder(), clock=FakeClock())


@pytest.fixture
def served():
    membership = members("a")
    server = PeerServer(("127.0.0.1", 0), membership)
    server.start()
    yield membership, server
    server.close()


def test_two_boxes_exchange_rows_over_a_link(served):
    membership, server = served
    other = members("b")
    links = PeerLinks(other, seeds=[f"127.0.0.1:{server.port}"], max_links=3, sync_interval_s=0.01)
    links.start()
    wait_until(lambda: len(membership.rows()) == len(other.rows()) == 2, what="rows")
    links.close()


UNKNOWN_SETTING_EDIT = Edit("e", 0, "anna", (Change("/", "rank-of-tomorrow", "1"),), 1)


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        msgpack.packb({"n": "b"}),
        msgpack.packb([1, 2]),
        _codec.pack(Sync("b", 1, 1, None, (), (UNKNOWN_SETTING_EDIT,))),
    ],
    ids=["not-msgpack", "fields-missing", "not-a-map", "edit-of-another-release"],
)
def test_an_invalid_message_ends_its_link_and_nothing_else(served, data, monkeypatch):
    membership, server = served
    crashed = []
    monkeypatch.setattr(threading, "excepthook", crashed.append)
    with socket.create_connection(("127.0.0.1", server.port), 5.0) as sock:
        sock.sendall(data)
        assert sock.recv(65536) == b""
    with socket.create_connection(("127.0.0.1", server.port), 5.0) as sock:
        sock.sendall(_codec.pack(members("c").next_sync(LinkState())))
        assert sock.recv(65536)
    assert crashed == []
    assert {row.name for row in membership.rows()} == {"a", "c"}
