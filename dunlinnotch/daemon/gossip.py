"""What an entry box tells its peers, takes in from them, and fetches of what it lacks."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.errors import ProtocolError
from dunlinnotch.transport.stream.peers import TablePort, WordPort, fetch_table

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Iterable, Sequence

    from dunlinnotch.coordination.membership.crash_gossip import CrashGossip
    from dunlinnotch.coordination.membership.mesh import Mesh
    from dunlinnotch.coordination.settings.beliefs import RoutesInForce
    from dunlinnotch.coordination.settings.following import TableFollower
    from dunlinnotch.protocol.crashes import CrashReport
    from dunlinnotch.protocol.mesh import Heartbeat
    from dunlinnotch.state.followed import FollowedTable, TableDelta
    from dunlinnotch.types import Address, Seconds

    Spawn = Callable[[Coroutine[None, None, None]], None]

#: Time between two words of a box, in seconds.
WORD_S = 0.5
#: Time that a new box gives its peers to tell it their tables before it reads the store,
#: and up to how much more if it hears nobody: boxes that start together are not up at once.
_HEAR_FIRST_S = 0.12
_HEAR_ANYBODY_S = 0.4
#: Pause between two looks whether they have, in seconds.
_HEAR_LOOK_S = 0.01
#: Looks after each of which a box that starts asks its seeds again.
_HEAR_LOOKS = 4
_FETCH_S = 1.0
#: Peers that a box asks on waking: some of them may have stood still too.
_ASKED_ON_WAKING = 3

_log = logging.getLogger(__name__)


class Gossip:
    """Tell peers what this box knows, and take in what they tell.

    Parameters
    ----------
    mesh : Mesh
    tables : sequence of FollowedTable
        What a peer may lack, or have further than this box.
    routes : RoutesInForce
    settings_table : str
        The one of the tables that holds the settings.
    seeds : callable
        Returns the peers to ask while none is known.
    spawn : callable
        Runs a task that ends with the box.
    rng : random.Random
    """

    def __init__(
        self,
        mesh: Mesh,
        tables: Sequence[FollowedTable],
        routes: RoutesInForce,
        *,
        settings_table: str,
        seeds: Callable[[], Sequence[Address]],
        spawn: Spawn,
        rng: random.Random,
    ) -> None:
        self._mesh = mesh
        self._tables = {table.name: table for table in tables}
        self._routes = routes
        self._settings_table = settings_table
        self._all_seeds = seeds
        self._spawn = spawn
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._words = WordPort(self._take_word, self._take_crashes)
        self._table_port = TablePort(self._tell_table)
        self._fetching: set[str] = set()
        self._crash_gossip: CrashGossip | None = None
        self._followers: Sequence[TableFollower] = ()

    def join(self, crash_gossip: CrashGossip, followers: Sequence[TableFollower]) -> None:
        """Pass on what peers tell to those that also tell by this; once, before it listens."""
        self._crash_gossip = crash_gossip
        self._followers = followers

    async def listen(self, address: Address) -> None:
        """Begin to listen to peers."""
        await self._table_port.listen(address)
        host, _, port = address.rpartition(":")
        await self._loop.create_datagram_endpoint(lambda: self._words, local_addr=(host, int(port)))

    def close(self) -> None:
        """Tell no more tables."""
        self._table_port.close()

    @property
    def sent_bytes(self) -> int:
        """Bytes of datagrams sent so far."""
        return self._words.sent_bytes

    # -- telling

    async def run(self) -> None:
        """Send this box's word now and then."""
        while True:
            self._send_word()
            self._mesh.log_silent()
            await asyncio.sleep(WORD_S * (0.9 + 0.2 * self._rng.random()))

    async def hear_peers(self) -> None:
        """Ask the seeds for what they know before the store is read."""
        began = self._loop.time()
        alone = _HEAR_ANYBODY_S * self._rng.random() if self._seeds() else 0.0
        while True:
            self._ask(self._seeds())
            for _ in range(_HEAR_LOOKS):
                await asyncio.sleep(_HEAR_LOOK_S)
                if all(table.known for table in self._tables.values()):
                    return
            wait = _HEAR_FIRST_S + (0.0 if self._mesh.live() else alone)
            if self._loop.time() - began >= wait:
                return

    def ask_few(self) -> None:
        """Ask a few peers what has changed: their answers come within a round trip."""
        near = self._mesh.heartbeat_peers()
        self._ask(self._rng.sample(near, min(_ASKED_ON_WAKING, len(near))))

    def tell_state(self) -> None:
        """Tell peers at once that something changed at this box."""
        self._tell_all(self._mesh.heartbeat_peers())

    def tell_answer(self, changed: bool) -> None:
        """Tell peers at once what this box, as a reader, had from the store."""
        if changed:
            self._tell_all(self._mesh.update_peers())
        elif self._mesh.is_follower():
            # Its place knows by this that nothing changed, and need not read for itself.
            self._words.send([self._mesh.own_heartbeat()], self._mesh.heartbeat_peers())

    def send_crashes(self, seen: Iterable[CrashReport], to: Iterable[Address]) -> None:
        """Send evidence on requests under which targets ended."""
        self._words.send(seen, to)

    def _send_word(self) -> None:
        known = {word.peer for word in self._mesh.heartbeats()}
        strange = [seed for seed in self._seeds() if seed not in known]
        if strange:
            self._ask(strange)
        self._tell_all(self._mesh.heartbeat_peers())

    def _ask(self, peers: Sequence[Address]) -> None:
        self._words.send([self._mesh.own_heartbeat(reply_requested=True)], peers)

    def _tell_all(self, near: list[Address]) -> None:
        """Send this box's word to peers near by, and to a few far away with what they lack."""
        word = self._mesh.own_heartbeat()
        self._words.send([word], near)
        self._words.send([word, *self._mesh.local_follower()], self._mesh.remote_peers())

    def _introduce(self, word: Heartbeat) -> None:
        """Answer a box that knows few others with the words of those that it is to know."""
        words = [self._mesh.own_heartbeat(), *self._mesh.introductions(word.place)]
        self._words.send(words, [word.peer])

    def _seeds(self) -> list[Address]:
        return [seed for seed in self._all_seeds() if seed != self._mesh.peer]

    # -- hearing

    def _take_word(self, word: Heartbeat) -> None:
        new = not self._mesh.is_known(word.name)
        if not self._mesh.receive(word):
            later = self._mesh.newer_incarnation(word)
            if later is not None:
                self._words.send([later], [word.peer])
            return
        if self._crash_gossip is not None:
            self._crash_gossip.compare_digest(word)
        if word.reply_requested:
            self._introduce(word)
        elif new:
            # It may know this box as little.
            self._words.send([self._mesh.own_heartbeat()], [word.peer])
        for table in self._mesh.newer_tables(word):
            if table not in self._fetching:
                self._fetching.add(table)
                self._spawn(self._fetch(table, word.peer))

    def _take_crashes(self, seen: CrashReport) -> None:
        if self._crash_gossip is not None:
            self._crash_gossip.receive(seen)

    # -- tables

    async def _fetch(self, table: str, peer: Address) -> None:
        followed = self._tables[table]
        version = followed.version if followed.known else 0
        sent = self._loop.time()
        try:
            delta, age_ms = await fetch_table(
                peer, table, version, era=followed.era, timeout=_FETCH_S
            )
        except (ProtocolError, OSError, TimeoutError) as error:
            event(_log, "fetch-failed", table=table, peer=peer, detail=repr(error))
            return
        finally:
            self._fetching.discard(table)
        if age_ms >= 0 and followed.take(delta, at=sent - age_ms / 1000):
            event(_log, "table-fetched", table=table, peer=peer, version=delta.version)
            self._words.send([self._mesh.own_heartbeat()], self._mesh.update_peers())
            for follower in self._followers:
                follower.look_again()

    def _tell_table(self, table: str, version: int, era: int) -> tuple[TableDelta, int]:
        followed = self._tables[table]
        delta = followed.since(version, era)
        if table == self._settings_table:
            delta = self._routes.told(delta)
        age: Seconds = self._mesh.age(followed)
        return delta, int(age * 1000) if followed.known else -1
