"""Gossip between entry boxes: heartbeats, crash reports, and table updates fetched from peers."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.errors import ProtocolError
from dunlinnotch.transport.stream.peers import GossipPort, TablePort, fetch_table

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Iterable, Sequence

    from dunlinnotch.coordination.membership.crash_gossip import CrashGossip
    from dunlinnotch.coordination.membership.mesh import Mesh
    from dunlinnotch.coordination.settings.following import TableFollower
    from dunlinnotch.coordination.settings.store_tables import ActiveRoutes
    from dunlinnotch.protocol.crashes import CrashReport
    from dunlinnotch.protocol.mesh import Heartbeat
    from dunlinnotch.state.table_replica import TableDelta, TableReplica
    from dunlinnotch.types import Address, Seconds

    Spawn = Callable[[Coroutine[None, None, None]], None]

#: Mean interval between two heartbeats of a box, in seconds.
HEARTBEAT_INTERVAL_S = 0.5
#: Time for which a new box waits for tables from its peers before it reads the store, in
#: seconds, and the maximum by which this is extended while no peer answers: boxes that start
#: together do not listen at once.
_INITIAL_SYNC_S = 0.12
_MAX_EXTRA_SYNC_S = 0.4
#: Interval at which a new box checks whether it has all tables, in seconds.
_SYNC_POLL_INTERVAL_S = 0.01
#: Number of such checks before a new box contacts its seeds again.
_POLLS_PER_REQUEST = 4
_FETCH_TIMEOUT_S = 1.0
#: Number of peers whose heartbeats are requested after a pause of this box: several, because
#: some may have been paused too.
_MAX_PEERS_ASKED_AFTER_PAUSE = 3

_log = logging.getLogger(__name__)


class Gossip:
    """Exchange heartbeats, crash reports and tables with the peers of a box.

    Parameters
    ----------
    mesh : Mesh
        Membership view of this box, updated by the heartbeats received.
    tables : sequence of TableReplica
        Replicas of store tables that boxes fetch from one another.
    routes : ActiveRoutes
    settings_table : str
        Name of the table that holds the settings.
    seeds : callable
        Returns the addresses of peers to contact while they are not known yet.
    spawn : callable
        Starts a task that is supervised by the box.
    rng : random.Random
    """

    def __init__(
        self,
        mesh: Mesh,
        tables: Sequence[TableReplica],
        routes: ActiveRoutes,
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
        self._configured_seeds = seeds
        self._spawn = spawn
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._gossip_port = GossipPort(self._on_heartbeat, self._on_crash_report)
        self._table_port = TablePort(self._read_delta)
        self._fetching: set[str] = set()
        self._crash_gossip: CrashGossip | None = None
        self._followers: Sequence[TableFollower] = ()

    def attach(self, crash_gossip: CrashGossip, followers: Sequence[TableFollower]) -> None:
        """Set the receivers of crash reports and of updates; to be called before :meth:`listen`."""
        self._crash_gossip = crash_gossip
        self._followers = followers

    async def listen(self, address: Address) -> None:
        """Start to listen for datagrams and table requests of peers."""
        await self._table_port.listen(address)
        host, _, port = address.rpartition(":")
        await self._loop.create_datagram_endpoint(
            lambda: self._gossip_port, local_addr=(host, int(port))
        )

    def close(self) -> None:
        """Stop serving tables to peers."""
        self._table_port.close()

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent in datagrams so far."""
        return self._gossip_port.sent_bytes

    @property
    def unsent_messages(self) -> int:
        """Number of messages that could not be sent so far."""
        return self._gossip_port.unsent_messages

    async def run(self) -> None:
        """Send a heartbeat at regular intervals."""
        while True:
            self._send_heartbeats()
            self._mesh.log_silent()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * (0.9 + 0.2 * self._rng.random()))

    async def sync_with_peers(self) -> None:
        """Wait, for a limited time, until the tables have been received from the seeds."""
        started_at = self._loop.time()
        extra = _MAX_EXTRA_SYNC_S * self._rng.random() if self._seeds() else 0.0
        while True:
            self._request_heartbeats(self._seeds())
            for _ in range(_POLLS_PER_REQUEST):
                await asyncio.sleep(_SYNC_POLL_INTERVAL_S)
                if all(table.loaded for table in self._tables.values()):
                    return
            wait = _INITIAL_SYNC_S + (0.0 if self._mesh.live() else extra)
            if self._loop.time() - started_at >= wait:
                return

    def request_updates(self) -> None:
        """Request the heartbeats of a few peers, which show within a round trip what changed."""
        peers = self._mesh.heartbeat_peers()
        self._request_heartbeats(
            self._rng.sample(peers, min(_MAX_PEERS_ASKED_AFTER_PAUSE, len(peers)))
        )

    def announce_state(self) -> None:
        """Send a heartbeat at once, because the state of this box changed."""
        self._announce(self._mesh.heartbeat_peers())

    def announce_read(self, changed: bool) -> None:
        """Send a heartbeat at once, because this box read the store.

        Parameters
        ----------
        changed : bool
            Whether the read changed the table.
        """
        if changed:
            self._announce(self._mesh.update_peers())
        elif self._mesh.is_follower():
            # Confirms to the other boxes of the place that their tables are current, so that
            # they need not read the store themselves.
            self._gossip_port.send([self._mesh.own_heartbeat()], self._mesh.heartbeat_peers())

    def send_crash_reports(self, reports: Iterable[CrashReport], to: Iterable[Address]) -> None:
        """Send reports of targets that crashed while serving a request."""
        self._gossip_port.send(reports, to)

    def _send_heartbeats(self) -> None:
        known = {heartbeat.peer for heartbeat in self._mesh.heartbeats()}
        unknown = [seed for seed in self._seeds() if seed not in known]
        if unknown:
            self._request_heartbeats(unknown)
        self._announce(self._mesh.heartbeat_peers())

    def _request_heartbeats(self, peers: Sequence[Address]) -> None:
        self._gossip_port.send([self._mesh.own_heartbeat(reply_requested=True)], peers)

    def _announce(self, peers: list[Address]) -> None:
        """Send a heartbeat to some peers and to a few of other places.

        Notes
        -----
        Peers of other places also get the heartbeat of the box that reads the store here.
        """
        heartbeat = self._mesh.own_heartbeat()
        self._gossip_port.send([heartbeat], peers)
        self._gossip_port.send([heartbeat, *self._mesh.local_follower()], self._mesh.remote_peers())

    def _introduce(self, heartbeat: Heartbeat) -> None:
        """Reply to a request for heartbeats with those of the peers that the sender needs."""
        heartbeats = [self._mesh.own_heartbeat(), *self._mesh.introductions(heartbeat.place)]
        self._gossip_port.send(heartbeats, [heartbeat.peer])

    @property
    def has_seeds(self) -> bool:
        """Whether the settings name other boxes."""
        return bool(self._seeds())

    def _seeds(self) -> list[Address]:
        return [seed for seed in self._configured_seeds() if seed != self._mesh.peer]

    def _on_heartbeat(self, heartbeat: Heartbeat) -> None:
        new = not self._mesh.is_known(heartbeat.name)
        if not self._mesh.receive(heartbeat):
            # The sender learns that peers know a later start of it and ignore this one.
            later = self._mesh.newer_incarnation(heartbeat)
            if later is not None:
                self._gossip_port.send([later], [heartbeat.peer])
            return
        if self._crash_gossip is not None:
            self._crash_gossip.compare_digest(heartbeat)
        if heartbeat.reply_requested:
            self._introduce(heartbeat)
        elif new:
            # The sender may not know this box yet either.
            self._gossip_port.send([self._mesh.own_heartbeat()], [heartbeat.peer])
        for table in self._mesh.newer_tables(heartbeat):
            if table not in self._fetching:
                self._fetching.add(table)
                self._spawn(self._fetch(table, heartbeat.peer))

    def _on_crash_report(self, report: CrashReport) -> None:
        if self._crash_gossip is not None:
            self._crash_gossip.receive(report)

    async def _fetch(self, table: str, peer: Address) -> None:
        """Fetch from a peer the changes of a table since the local version, and apply them."""
        replica = self._tables[table]
        version = replica.version if replica.loaded else 0
        sent_at = self._loop.time()
        try:
            delta, age_ms = await fetch_table(
                peer, table, version, epoch=replica.epoch, timeout=_FETCH_TIMEOUT_S
            )
        except (ProtocolError, OSError, TimeoutError) as error:
            event(_log, "fetch-failed", table=table, peer=peer, detail=repr(error))
            return
        finally:
            self._fetching.discard(table)
        if age_ms >= 0 and replica.apply(delta, at=sent_at - age_ms / 1000):
            event(_log, "table-fetched", table=table, peer=peer, version=delta.version)
            self._gossip_port.send([self._mesh.own_heartbeat()], self._mesh.update_peers())
            for follower in self._followers:
                follower.restart_if_behind()

    def _read_delta(self, table: str, version: int, epoch: int) -> tuple[TableDelta, int]:
        """Return the changes of a table since a version, and the age of the table in ms.

        Notes
        -----
        The age is -1 if this box has not received the table yet.
        """
        replica = self._tables[table]
        delta = replica.delta_since(version, epoch)
        if table == self._settings_table:
            delta = self._routes.with_active_settings(delta)
        age: Seconds = self._mesh.age(replica)
        return delta, int(age * 1000) if replica.loaded else -1
