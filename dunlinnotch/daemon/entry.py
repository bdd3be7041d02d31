"""Run an entry box: build its parts around a platform adapter and run them on one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import signal
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch._clocks import elapsed
from dunlinnotch._logs import event
from dunlinnotch.coordination.budgets.retries import saved_retries
from dunlinnotch.coordination.budgets.shares import ProbeShare, count_sharing_boxes
from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
from dunlinnotch.coordination.choosing.latency_model import LatencyModel
from dunlinnotch.coordination.choosing.path_checks import PathChecks
from dunlinnotch.coordination.choosing.reach import TargetReach
from dunlinnotch.coordination.choosing.selector import TargetSelector
from dunlinnotch.coordination.membership.crash_gossip import CrashGossip
from dunlinnotch.coordination.membership.mesh import DRAINING, RUNNING, STALE_S, Mesh
from dunlinnotch.coordination.membership.pause_detector import PauseDetector
from dunlinnotch.coordination.requests.assist import PeerAssistant
from dunlinnotch.coordination.requests.crash_guard import CrashGuard
from dunlinnotch.coordination.requests.forward import Forwarder
from dunlinnotch.coordination.requests.peer_path import PeerPath
from dunlinnotch.coordination.requests.target_attempts import TargetAttempts
from dunlinnotch.coordination.settings.following import TableFollower
from dunlinnotch.coordination.settings.store_tables import ActiveRoutes, TargetListing
from dunlinnotch.daemon.gossip import Gossip
from dunlinnotch.daemon.metrics_text import TextMetrics
from dunlinnotch.daemon.stop import StopPlan
from dunlinnotch.protocol.mesh import ForwardingState, services_that_fit
from dunlinnotch.protocol.peer_forward import MAX_PEER_REQUEST_BYTES
from dunlinnotch.state.crashes import CrashLog
from dunlinnotch.state.heads import Header
from dunlinnotch.state.instances import InstanceList
from dunlinnotch.state.table_replica import TableReplica
from dunlinnotch.transport.stream.client import TargetClient
from dunlinnotch.transport.stream.peer_client import PeerClient
from dunlinnotch.transport.stream.server import ServerLimits, StreamServer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from dunlinnotch.protocol.relay import CallerRequest, TargetDialect
    from dunlinnotch.protocol.store import RowStore, TableSource
    from dunlinnotch.state.instances import ListedTarget
    from dunlinnotch.state.routes import RouteTable
    from dunlinnotch.state.table_replica import TableRow
    from dunlinnotch.transport.stream.server import Exchange
    from dunlinnotch.types import Address, Seconds

#: Interval between two runs of the periodic maintenance, in seconds.
_MAINTENANCE_INTERVAL_S = 0.05
#: Connections that a target accepts from all boxes while no settings name a number.
_DEFAULT_CONNECTIONS = 256
_FORWARD_KEY_BYTES = 16
#: Shortest time without the store, in heartbeats of targets, after which rows may expire.
#: They expire after three heartbeats, and the last was up to 1.25 before the interruption.
_MIN_EXPIRY_HEARTBEATS = 1.75

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry box.

    Parameters
    ----------
    name, place : str
        Name of the box, and the data hall in which it runs.
    caller, peer : str
        Addresses on which the box listens for callers and for peers.
    seeds : tuple of str
        Peers to contact while no other peer is known.
    grace : float
        Seconds between the stop signal and the kill by the platform.
    probes_per_s : float
        Maximum rate of probes per target, in probes per second over all boxes.
    retry_ratio : float
        Retries allowed per request of a service.
    retry_slack : float
        Retries allowed beyond that ratio in any period, from all boxes together; at least
        one for each box.
    forward_port : int, default 0
        Port, at the IP address of ``peer``, on which the box takes requests of peers that
        can't reach their targets; 0 to take none.
    drain : float, default 2.0
        Seconds after the removal of a target's row within which requests may still reach it.
    target_heartbeat : float, default 1.5
        Mean interval in seconds at which targets write their rows; rows expire after three.
    """

    name: str
    place: str
    caller: Address
    peer: Address
    seeds: tuple[Address, ...]
    grace: Seconds
    probes_per_s: float
    retry_ratio: float
    retry_slack: float
    forward_port: int = 0
    drain: Seconds = 2.0
    target_heartbeat: Seconds = 1.5


@dataclass(frozen=True, slots=True)
class Adapter:
    """Interface to a platform: translates its formats and makes no decisions.

    Parameters
    ----------
    source : TableSource
        Store from which tables are read and followed.
    settings_table, settings_key : str
        Table and key of the row that holds the settings.
    targets_table : str
        Table that lists the targets.
    read_settings, read_target : callable
        Parse the settings document and one row of the targets table.
    targets : TargetDialect
        Headers of requests to targets and of their answers.
    read_request : callable
        Converts an exchange to a caller's request; returns ``None`` if required headers are
        missing or invalid.
    rows : RowStore
        Store of the rows that boxes write themselves.
    store_calls, store_failures : callable
        Return the number of calls made to the store and of those that failed, for the metrics.
    """

    source: TableSource
    settings_table: str
    settings_key: str
    targets_table: str
    read_settings: Callable[[bytes], RouteTable]
    read_target: Callable[[str, bytes], ListedTarget]
    targets: TargetDialect
    read_request: Callable[[Exchange], CallerRequest | None]
    rows: RowStore
    store_calls: Callable[[], int]
    store_failures: Callable[[], int]


class EntryBox:
    """One entry box: accepts callers' requests and forwards them to targets.

    Parameters
    ----------
    settings : EntrySettings
    adapter : Adapter
    rng : random.Random
    dropped_lines : callable
        Returns the number of log lines dropped so far.
    started_at : float, optional
        When the process began, by the clock of the event loop; now by default.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adapter: Adapter,
        *,
        rng: random.Random,
        dropped_lines: Callable[[], int],
        started_at: Seconds | None = None,
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        clock = self._loop.time
        self._dropped_lines = dropped_lines
        self.instances = InstanceList()
        self.routes = ActiveRoutes(
            adapter.read_settings, key=adapter.settings_key, on_change=self._apply_routes
        )
        self._target_listing = TargetListing(
            adapter.read_target,
            self.instances,
            clock=clock,
            drain=lambda: self._settings.drain,
            followed_since=lambda: self._targets_replica.followed_since,
        )
        self._settings_replica = TableReplica(adapter.settings_table, self.routes.apply)
        self._targets_replica = TableReplica(
            adapter.targets_table,
            self._apply_target_rows,
            max_gap=lambda: _MIN_EXPIRY_HEARTBEATS * self._settings.target_heartbeat,
        )
        self.tables = {t.name: t for t in (self._settings_replica, self._targets_replica)}
        self.mesh = Mesh(
            name=settings.name,
            place=settings.place,
            incarnation=time.time_ns() // 1000,
            caller=settings.caller,
            peer=settings.peer,
            tables=self.tables.values(),
            clock=clock,
            rng=rng,
        )
        self.gossip = Gossip(
            self.mesh,
            list(self.tables.values()),
            self.routes,
            settings_table=adapter.settings_table,
            seeds=lambda: self._settings.seeds,
            spawn=self._spawn,
            rng=rng,
        )
        self.followers = [
            TableFollower(
                table, adapter.source, self.mesh, on_answer=self.gossip.announce_read, rng=rng
            )
            for table in self.tables.values()
        ]
        self.pause_detector = PauseDetector(clock=clock, outdated=self._is_outdated)
        self.text_metrics = TextMetrics(self._gauges)
        self.reach = TargetReach(self.instances, clock=clock, routed=self._routed_services)
        self._target_client = TargetClient(
            adapter.targets,
            on_heard=self.reach.record_heard,
            on_unreached=self.reach.record_unreached,
        )
        self.crashes = CrashLog(clock=elapsed)
        self.crash_gossip = CrashGossip(
            self.crashes,
            self.mesh,
            adapter.rows,
            send=self.gossip.send_crash_reports,
            on_synced=self.gossip.announce_state,
            epoch=lambda: max(table.epoch for table in self.tables.values()),
            rng=rng,
        )
        self.gossip.attach(self.crash_gossip, self.followers)
        self._crash_guard = CrashGuard(
            self.crashes,
            self._target_client,
            publish=self.crash_gossip.publish,
            witnesses=lambda instance: self.reach.witnesses(instance, rng=rng),
        )
        self._peer_client = PeerClient()
        self.peer_path = PeerPath(
            mesh=self.mesh,
            reach=self.reach,
            guard=self._crash_guard,
            peers=self._peer_client,
            rng=rng,
        )
        self.probes = ProbeShare(settings.probes_per_s, clock=clock, rng=rng, started_at=started_at)
        self.latency_model = LatencyModel()
        chooser = FreshReportChooser(
            place=settings.place,
            latency_model=self.latency_model,
            rng=rng,
            only_unreached=self.peer_path.is_needed,
        )
        self.selector = TargetSelector(
            instances=self.instances,
            chooser=chooser,
            probes=self.probes,
            probe_path=self._probe_path,
            targets=self._target_client,
            rng=rng,
            log=_log,
        )
        self._path_checks = PathChecks(self.reach, self.selector.probe_now)
        attempts = TargetAttempts(
            instances=self.instances,
            chooser=chooser,
            latency_model=self.latency_model,
            selector=self.selector,
            guard=self._crash_guard,
            targets=self._target_client,
        )
        self.forwarder = Forwarder(
            routes=lambda: self.routes.table,
            settings_age=lambda: self.mesh.age(self._settings_replica),
            catching_up=lambda: self.pause_detector.catching_up,
            attempts=attempts,
            peer_path=self.peer_path,
            selector=self.selector,
            retry_ratio=settings.retry_ratio,
            saved_retries=0.0,
            guard=self._crash_guard,
            observer=self.text_metrics,
            rng=rng,
        )
        forward_key = secrets.token_bytes(_FORWARD_KEY_BYTES)
        self.assistant = PeerAssistant(
            key=forward_key,
            attempts=attempts,
            selector=self.selector,
            reach=self.reach,
            guard=self._crash_guard,
            running=self.forwarder.running,
            accepts_work=lambda: self.ready,
        )
        if settings.forward_port:
            self.mesh.forwarding = ForwardingState(settings.forward_port, forward_key)
        self.limits = ServerLimits()
        self._caller_server = StreamServer(self._serve, limits=self.limits)
        self._peer_limits = ServerLimits()
        self._peer_server = StreamServer(self._serve_peer, limits=self._peer_limits)
        self._servers: list[StreamServer] = []
        self._max_connections = _DEFAULT_CONNECTIONS
        self._tasks: set[asyncio.Task[None]] = set()
        self.refusing = False
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM, SIGINT or :meth:`request_stop`."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stop_requested.set)
        await self._caller_server.listen(self._settings.caller)
        await self.gossip.listen(self._settings.peer)
        if self._settings.forward_port:
            host = self._settings.peer.rpartition(":")[0]
            await self._peer_server.listen(f"{host}:{self._settings.forward_port}")
        event(
            _log,
            "started",
            box=self.mesh.name,
            place=self.mesh.place,
            caller=self._settings.caller,
            peer=self._settings.peer,
        )
        self._share_limits()
        self._spawn(self.gossip.run())
        await self.gossip.sync_with_peers()
        for follower in self.followers:
            self._spawn(follower.run())
        self._spawn(self.crash_gossip.run())
        self._spawn(self._maintain())
        await self._stop_requested.wait()
        await self._stop()

    def reload(self, settings: EntrySettings) -> None:
        """Apply changed settings; a new name, place or address takes effect only at a restart.

        Parameters
        ----------
        settings : EntrySettings
        """
        fixed = ("name", "place", "caller", "peer")
        changed = [n for n in fixed if getattr(settings, n) != getattr(self._settings, n)]
        if changed:
            event(_log, "reload-needs-restart", level=logging.WARNING, fields=changed)
        self._settings = replace(settings, **{n: getattr(self._settings, n) for n in fixed})
        self.probes.max_per_s = settings.probes_per_s
        self._share_limits()
        event(_log, "reloaded", box=self.mesh.name, seeds=list(settings.seeds))

    def request_stop(self) -> None:
        """Begin a planned stop."""
        self._stop_requested.set()

    def add_server(self, server: StreamServer) -> None:
        """Register a further server, which is closed when the box stops."""
        self._servers.append(server)

    @property
    def caller(self) -> Address:
        """Address on which the box listens for callers."""
        return self._settings.caller

    @property
    def ready(self) -> bool:
        """Whether the box accepts new requests."""
        return self.mesh.state == RUNNING and not self.pause_detector.catching_up

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(self._run_or_stop(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_or_stop(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run a task; an unexpected exception stops the whole box, not just the task."""
        try:
            await coroutine
        except Exception:
            _log.critical("task-failed", exc_info=True)
            self._stop_requested.set()
            raise

    async def _maintain(self) -> None:
        """Update, at regular intervals, all state that depends on time."""
        while True:
            if self.pause_detector.check():
                self.gossip.request_updates()
            if self.mesh.state not in (RUNNING, DRAINING) and self._can_serve():
                self.mesh.state = RUNNING
                epoch = self._settings_replica.epoch
                event(
                    _log, "serving", box=self.mesh.name, version=self._settings_version(), era=epoch
                )
                self.gossip.announce_state()
            self._target_listing.expire()
            reading = not any(follower.failing for follower in self.followers)
            if reading != self.mesh.reading:
                self.mesh.reading = reading
                self.gossip.announce_state()
            self.mesh.in_flight = self.forwarder.in_flight
            self._update_reach()
            self._share_limits()
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S)

    def _share_limits(self) -> None:
        """Divide the limits that hold for all boxes together by the number of boxes."""
        boxes = count_sharing_boxes(
            self.mesh.max_boxes,
            has_seeds=self.gossip.has_seeds,
            retry_slack=self._settings.retry_slack,
        )
        settings = self._settings
        saved = saved_retries(settings.retry_slack, boxes)
        if boxes != self.probes.boxes or saved != self.forwarder.saved_retries:
            event(
                _log,
                "limits-shared",
                # Without a saved retry, no request is retried until the slack is raised.
                level=logging.INFO if saved else logging.WARNING,
                boxes=boxes,
                before=self.probes.boxes,
                retry_slack=settings.retry_slack,
                saved_retries=saved,
            )
        self.probes.boxes = boxes
        self._target_client.set_max_connections(max(1, self._max_connections // boxes))
        self.forwarder.configure_retries(ratio=settings.retry_ratio, saved=saved)

    def _update_reach(self) -> None:
        """Tell peers of services that this box can't reach any more, or again."""
        changed = self.reach.update()
        self._path_checks.start_due()
        if changed and self.mesh.forwarding is not None:
            unreached = services_that_fit(self.reach.cut_off)
            left_out = len(self.reach.cut_off) - len(unreached)
            if left_out:
                event(_log, "unreached-left-out", level=logging.WARNING, left_out=left_out)
            lost = set(unreached) - set(self.mesh.forwarding.unreached)
            self.mesh.forwarding = replace(self.mesh.forwarding, unreached=unreached)
            # The next heartbeat is soon enough to say that a path is back.
            if lost:
                self.gossip.announce_state()

    def _can_serve(self) -> bool:
        tables_ready = self.routes.table is not None and all(t.loaded for t in self.tables.values())
        return tables_ready and self.crash_gossip.may_serve

    def _is_outdated(self) -> bool:
        return any(self.mesh.age(table) > STALE_S for table in self.tables.values())

    def _settings_version(self) -> int:
        return 0 if self.routes.table is None else self.routes.table.version

    async def _stop(self) -> None:
        """Announce that the box leaves, finish requests in flight, and close all servers."""
        plan = StopPlan.within(self._settings.grace)
        started_at = self._loop.time()
        event(_log, "stopping", box=self.mesh.name, in_flight=self.forwarder.in_flight)
        self.mesh.state = DRAINING
        self._announce_stop()
        self._caller_server.keep_alive_disabled = True
        await asyncio.sleep(plan.refuse)
        self.refusing = True
        await asyncio.sleep(plan.close - plan.refuse)
        self._caller_server.stop_listening()
        self._caller_server.close_idle()
        while self.forwarder.in_flight and self._loop.time() - started_at < plan.end:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_S / 2)
        unfinished = self.forwarder.in_flight
        # Callers whose target has not answered get an error instead of a closed connection.
        self.forwarder.cancel_all()
        await asyncio.sleep(plan.flush)
        for server in (self._caller_server, self._peer_server, *self._servers):
            await server.close()
        self.gossip.close()
        event(_log, "stopped", box=self.mesh.name, given_up=unfinished)

    def _announce_stop(self) -> None:
        """Tell peers that the box leaves; if that fails, it drains nevertheless."""
        try:
            self.gossip.announce_state()
        except Exception:
            # What failed may be why the box stops; its requests must not be cut off for that.
            _log.critical("announce-failed", exc_info=True)

    async def _serve(self, exchange: Exchange) -> None:
        if self.refusing:
            exchange.close_after_answer()
            exchange.reply(503, [Header("Retry-After", "0.05")], b"")
            return
        request = self._adapter.read_request(exchange)
        if request is None:
            exchange.reply(400, (), b"")
            return
        await self.forwarder.serve(request, exchange.body(), exchange)

    async def _serve_peer(self, exchange: Exchange) -> None:
        await self.assistant.serve(
            exchange.headers,
            exchange.body(),
            exchange,
            read_request=lambda: self._adapter.read_request(exchange),
        )

    def _probe_path(self, service: str) -> str:
        table = self.routes.table
        info = None if table is None else table.services.get(service)
        return "" if info is None else info.probe_path

    def _routed_services(self) -> set[str]:
        return set() if self.routes.table is None else self.routes.table.routed_services

    def _apply_routes(self, table: RouteTable) -> None:
        limits = table.limits
        self.limits.max_head_bytes = limits.head_bytes
        self.limits.max_body_bytes = limits.body_bytes
        self.limits.head_timeout_s = limits.head_s
        self.limits.idle_timeout_s = limits.idle_s
        # A peer has checked the caller's head and body; one header is added.
        self._peer_limits.max_head_bytes = limits.head_bytes + MAX_PEER_REQUEST_BYTES
        self._peer_limits.max_headers = self.limits.max_headers + 1
        self._peer_limits.max_body_bytes = limits.body_bytes
        self.forwarder.keep_only({kind.name for kind in table.kinds})
        self._max_connections = min(
            (s.connections for s in table.services.values()), default=_DEFAULT_CONNECTIONS
        )
        self._share_limits()

    def _apply_target_rows(self, rows: list[TableRow]) -> None:
        self._target_listing.apply(rows)
        addresses = self.instances.addresses()
        self._target_client.close_others(addresses)
        self.reach.retain(addresses)
        self.probes.retain({instance.name for instance in self.instances.all()})

    def _gauges(self) -> dict[str, float]:
        gauges = {
            "probes_total": float(self.probes.spent),
            "probes_denied_total": float(self.probes.denied),
            "retries_total": float(self.forwarder.retries_spent),
            "retries_denied_total": float(self.forwarder.retries_denied),
            "connections_opened_total": float(self._target_client.opened),
            "surplus_answers_total": float(self._target_client.surplus_answers),
            "entries_unreadable_total": float(
                self._target_listing.unreadable_count + self.routes.unreadable_count
            ),
            "rests_asked_total": float(self.selector.backoffs_requested),
            "targets_ended_total": float(self._crash_guard.targets_crashed),
            "requests_barred": float(self.crashes.quarantined),
            "store_calls_total": float(self._adapter.store_calls()),
            "store_failures_total": float(self._adapter.store_failures()),
            "settings_version": float(self._settings_version()),
            "boxes_live": float(len(self.mesh.live()) + 1),
            "peer_requests_sent_total": float(self.peer_path.forwarded),
            "peer_requests_served_total": float(self.assistant.assisted),
            "peer_connections_opened_total": float(self._peer_client.opened),
            "targets_unreached": float(self.reach.unreached_count),
            "boxes_sharing": float(self.probes.boxes),
            "in_flight": float(self.forwarder.in_flight),
            "word_bytes_total": float(self.gossip.sent_bytes),
            "messages_unsent_total": float(self.gossip.unsent_messages),
            "log_lines_dropped_total": float(self._dropped_lines()),
        }
        for name, table in self.tables.items():
            gauges[f'table_age_seconds{{table="{name}"}}'] = round(self.mesh.age(table), 3)
        return gauges


async def run_until_stopped(box: EntryBox) -> None:
    """Run a box until it stops; cancellation is not raised to the caller."""
    with contextlib.suppress(asyncio.CancelledError):
        await box.run()
