"""Many meshes in one process, connected by a simulated network that loses messages."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from dunlinnotch.coordination.membership.mesh import RUNNING, Mesh
from dunlinnotch.protocol.mesh import pack_messages
from dunlinnotch.state.table_replica import TableDelta, TableReplica, TableRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.protocol.mesh import Heartbeat

PLACES = ("ikeja", "lekki", "surulere", "yaba")
HEARTBEAT_INTERVAL_S = 0.5
_SEED_COUNT = 3
_FIRST_VERSION = 5


class Clock:
    """A clock that is advanced by assigning to ``now``, in seconds."""

    def __init__(self) -> None:
        self.now = 10.0

    def __call__(self) -> float:
        """Return the current time, in seconds."""
        return self.now


class Boxes:
    """Meshes that exchange heartbeats as entry boxes do.

    Parameters
    ----------
    count : int
        Number of boxes; they are distributed evenly over ``PLACES``.
    seed : int, default 1
        Of the random generator for peers and losses.
    loss_rate : float, default 0.0
        Share of the messages that are lost.

    Attributes
    ----------
    tables, meshes : dict
        The table and the mesh of each box, by name.
    sent, sent_bytes : int
        Number of messages sent, each with one or more heartbeats, and their total size.
    """

    def __init__(self, count: int, *, seed: int = 1, loss_rate: float = 0.0) -> None:
        self.clock = Clock()
        self.rng = random.Random(seed)
        self.loss_rate = loss_rate
        self.tables: dict[str, TableReplica] = {}
        self.meshes: dict[str, Mesh] = {}
        self.sent = 0
        self.sent_bytes = 0
        for number in range(count):
            self._add(f"box-{number}", PLACES[number % len(PLACES)])

    def _add(self, name: str, place: str) -> None:
        table = TableReplica("t", lambda _: None)
        mesh = Mesh(
            name=name,
            place=place,
            incarnation=1,
            caller=f"{name}:1",
            peer=name,
            tables=[table],
            clock=self.clock,
            rng=self.rng,
        )
        mesh.state = RUNNING
        self.tables[name] = table
        self.meshes[name] = mesh

    def send(self, heartbeats: Sequence[Heartbeat], peers: Sequence[str]) -> None:
        """Deliver heartbeats, and those that their receivers send in response.

        A receiver with an older table fetches it and notifies its peers.
        """
        queue = [(heartbeats, peer) for peer in peers]
        while queue:
            heartbeats, peer = queue.pop(0)
            self.sent += 1
            self.sent_bytes += sum(map(len, pack_messages(heartbeats)))
            if self.rng.random() >= self.loss_rate:
                for heartbeat in heartbeats:
                    queue += self._receive(peer, heartbeat)

    def _receive(self, name: str, heartbeat: Heartbeat) -> list[tuple[Sequence[Heartbeat], str]]:
        """Have a box receive a heartbeat; return its responses, each with the address."""
        mesh = self.meshes[name]
        is_new_box = not mesh.is_known(heartbeat.name)
        if not mesh.receive(heartbeat):
            return []
        responses: list[tuple[Sequence[Heartbeat], str]] = []
        if heartbeat.reply_requested:
            responses.append(
                ([mesh.own_heartbeat(), *mesh.introductions(heartbeat.place)], heartbeat.peer)
            )
        elif is_new_box:
            responses.append(([mesh.own_heartbeat()], heartbeat.peer))
        if mesh.newer_tables(heartbeat):
            self._fetch(name, heartbeat.name)
            responses += [([mesh.own_heartbeat()], other) for other in mesh.update_peers()]
        return responses

    def _fetch(self, name: str, sender: str) -> None:
        local_table, peer_table = self.tables[name], self.tables[sender]
        assert peer_table.verified_at is not None
        local_table.apply(peer_table.delta_since(local_table.version), at=peer_table.verified_at)

    def introduce_all(self) -> None:
        """Have each box request heartbeats from the seeds."""
        seeds = list(self.meshes)[:_SEED_COUNT]
        for name, mesh in self.meshes.items():
            self.send(
                [mesh.own_heartbeat(reply_requested=True)], [seed for seed in seeds if seed != name]
            )

    def exchange_heartbeats(self) -> None:
        """Advance the clock by an interval and have each box send its heartbeat."""
        self.clock.now += HEARTBEAT_INTERVAL_S
        for mesh in self.meshes.values():
            self.announce(mesh, mesh.heartbeat_peers())

    def announce(self, mesh: Mesh, local_peers: Sequence[str]) -> None:
        """Have a box send its heartbeat to peers of its place and of other places."""
        heartbeat = mesh.own_heartbeat()
        self.send([heartbeat], local_peers)
        self.send([heartbeat, *mesh.local_follower()], mesh.remote_peers())

    def publish_version(self, version: int) -> None:
        """Have the primary reader read a new version of the table and announce it."""
        primary_reader = next(m for m in self.meshes.values() if m.is_primary_reader())
        row = TableRow("k", version, b"v")
        self.tables[primary_reader.name].apply(
            TableDelta("t", version, True, (row,)), at=self.clock.now
        )
        self.announce(primary_reader, primary_reader.update_peers())

    def converge(self) -> Boxes:
        """Exchange heartbeats until all boxes know the others and the table; return self."""
        for _ in range(4):
            self.introduce_all()  # Repeated in case messages of the seeds are lost.
            self.exchange_heartbeats()
        self.publish_version(_FIRST_VERSION)
        for _ in range(3):
            self.exchange_heartbeats()
        return self
