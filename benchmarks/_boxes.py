"""Many meshes in one process, joined by a network that loses a share of the words."""

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
_SEEDS = 3
_FIRST_VERSION = 5


class Clock:
    """A clock that its owner moves."""

    def __init__(self) -> None:
        self.now = 10.0

    def __call__(self) -> float:
        """Return the time, in seconds."""
        return self.now


class Boxes:
    """Meshes that tell each other as entry boxes do.

    Parameters
    ----------
    count : int
    seed : int, default 1
    loss_rate : float, default 0.0
        Share of the words that are lost.

    Attributes
    ----------
    sent, sent_bytes : int
        Messages, each of a word or a few, and their bytes.
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

    def send(self, words: Sequence[Heartbeat], peers: Sequence[str]) -> None:
        """Deliver words; whoever is behind takes the table over and passes the news on."""
        queue = [(words, peer) for peer in peers]
        while queue:
            words, peer = queue.pop(0)
            self.sent += 1
            self.sent_bytes += sum(map(len, pack_messages(words)))
            if self.rng.random() >= self.loss_rate:
                for word in words:
                    queue += self._receive(peer, word)

    def _receive(self, name: str, word: Heartbeat) -> list[tuple[Sequence[Heartbeat], str]]:
        """Have a box take in a word; return what it sends because of it."""
        mesh = self.meshes[name]
        new = not mesh.is_known(word.name)
        if not mesh.receive(word):
            return []
        answers: list[tuple[Sequence[Heartbeat], str]] = []
        if word.reply_requested:
            answers.append(([mesh.own_heartbeat(), *mesh.introductions(word.place)], word.peer))
        elif new:
            answers.append(([mesh.own_heartbeat()], word.peer))
        if mesh.newer_tables(word):
            self._fetch(name, word.name)
            answers += [([mesh.own_heartbeat()], other) for other in mesh.update_peers()]
        return answers

    def _fetch(self, name: str, teller: str) -> None:
        mine, theirs = self.tables[name], self.tables[teller]
        assert theirs.verified_at is not None
        mine.apply(theirs.delta_since(mine.version), at=theirs.verified_at)

    def introduce_all(self) -> None:
        """Have each box ask the seeds whom to know."""
        seeds = list(self.meshes)[:_SEEDS]
        for name, mesh in self.meshes.items():
            self.send(
                [mesh.own_heartbeat(reply_requested=True)], [seed for seed in seeds if seed != name]
            )

    def exchange_heartbeats(self) -> None:
        """Let a turn go by, and each box tell its word."""
        self.clock.now += HEARTBEAT_INTERVAL_S
        for mesh in self.meshes.values():
            self.announce(mesh, mesh.heartbeat_peers())

    def announce(self, mesh: Mesh, near: Sequence[str]) -> None:
        """Have a box tell its word near by and far away."""
        word = mesh.own_heartbeat()
        self.send([word], near)
        self.send([word, *mesh.local_follower()], mesh.remote_peers())

    def publish_version(self, version: int) -> None:
        """Have the lead read a new version and tell it, as a reader does."""
        lead = next(m for m in self.meshes.values() if m.is_primary_reader())
        row = TableRow("k", version, b"v")
        self.tables[lead.name].apply(TableDelta("t", version, True, (row,)), at=self.clock.now)
        self.announce(lead, lead.update_peers())

    def converge(self) -> Boxes:
        """Introduce all boxes and let them speak for a while; return self."""
        for _ in range(4):
            self.introduce_all()  # Until a seed has answered.
            self.exchange_heartbeats()
        self.publish_version(_FIRST_VERSION)
        for _ in range(3):
            self.exchange_heartbeats()
        return self
