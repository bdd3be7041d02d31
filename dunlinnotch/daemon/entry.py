"""An entry box on one event loop: what a platform's adapter gives, joined and run."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch._clocks import elapsed
from dunlinnotch._logs import event
from dunlinnotch.coordination.budgets.shares import ProbeShare, RepeatShare
from dunlinnotch.coordination.choosing.asking import TargetSeeker
from dunlinnotch.coordination.choosing.fresh import FreshChooser
from dunlinnotch.coordination.choosing.work_times import WorkTimes
from dunlinnotch.coordination.membership.crash_gossip import CrashGossip
from dunlinnotch.coordination.membership.mesh import DRAINING, RUNNING, STALE_S, Mesh
from dunlinnotch.coordination.membership.pause_detector import PauseDetector
from dunlinnotch.coordination.requests.crash_guard import CrashGuard
from dunlinnotch.coordination.requests.forward import Forwarder
from dunlinnotch.coordination.settings.beliefs import RoutesInForce, TargetsListed
from dunlinnotch.coordination.settings.following import TableFollower
from dunlinnotch.daemon.figures import Figures
from dunlinnotch.daemon.gossip import Gossip
from dunlinnotch.daemon.stop import StopPlan
from dunlinnotch.state.crashes import CrashLog
from dunlinnotch.state.followed import FollowedTable
from dunlinnotch.state.heads import Header
from dunlinnotch.state.instances import InstanceList
from dunlinnotch.transport.stream.client import TargetClient
from dunlinnotch.transport.stream.server import ServerLimits, StreamServer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine

    from dunlinnotch.protocol.relay import CallerRequest, TargetDialect
    from dunlinnotch.protocol.store import RowStore, TableSource
    from dunlinnotch.state.followed import TableRow
    from dunlinnotch.state.instances import ListedTarget
    from dunlinnotch.state.routes import RouteTable
    from dunlinnotch.transport.stream.server import Exchange
    from dunlinnotch.types import Address, Seconds

#: Time between two looks after what depends on time, in seconds.
_LOOK_S = 0.05
#: Connections that a target accepts are shared by at least so many boxes.
_BOXES_LEAST = 6

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """What one entry box is told at its start.

    Parameters
    ----------
    name, place : str
    caller, peer : str
        Addresses for callers and for peers.
    seeds : tuple of str
        Peers to ask while none is known.
    grace : float
        Seconds from the stop signal until the platform kills.
    probes_per_s : float
        Most probes a target may get from all boxes together.
    repeat_ratio, repeat_slack, repeat_window : float
        The budget of repeats for a service.
    """

    name: str
    place: str
    caller: Address
    peer: Address
    seeds: tuple[Address, ...]
    grace: Seconds
    probes_per_s: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window: Seconds


@dataclass(frozen=True, slots=True)
class Adapter:
    """How a platform is spoken to; an adapter only translates.

    Parameters
    ----------
    source : TableSource
    settings_table, settings_key : str
        The row that holds the settings in force.
    targets_table : str
    read_settings, read_target : callable
        Read a document and a row of the list of targets.
    targets : TargetDialect
    read_request : callable
        Makes a caller's request of an exchange; ``None`` if it is none.
    rows : RowStore
        Keeps the box's own rows.
    store_calls, store_failures : callable
        Counts, for the metrics.
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
    """One entry box.

    Parameters
    ----------
    settings : EntrySettings
    adapter : Adapter
    rng : random.Random
    dropped_lines : callable
        Returns how many log lines were left out.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adapter: Adapter,
        *,
        rng: random.Random,
        dropped_lines: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._adapter = adapter
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        clock = self._loop.time
        self._dropped_lines = dropped_lines
        self.instances = InstanceList()
        self.routes = RoutesInForce(
            adapter.read_settings, key=adapter.settings_key, on_change=self._on_routes
        )
        self._listed = TargetsListed(adapter.read_target, self.instances, clock=clock)
        self._settings_rows = FollowedTable(adapter.settings_table, self.routes.take)
        self._target_rows = FollowedTable(adapter.targets_table, self._take_targets)
        self.tables = {t.name: t for t in (self._settings_rows, self._target_rows)}
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
                table, adapter.source, self.mesh, on_answer=self.gossip.tell_answer, rng=rng
            )
            for table in self.tables.values()
        ]
        self.pause_detector = PauseDetector(clock=clock, outdated=self._outdated)
        self.figures = Figures(self._gauges)
        self._targets = TargetClient(adapter.targets)
        self.crashes = CrashLog(clock=elapsed)
        self.crash_gossip = CrashGossip(
            self.crashes,
            self.mesh,
            adapter.rows,
            send=self.gossip.send_crashes,
            on_synced=self.gossip.tell_state,
            era=lambda: max(table.era for table in self.tables.values()),
            rng=rng,
        )
        self.gossip.join(self.crash_gossip, self.followers)
        self._crash_guard = CrashGuard(self.crashes, self._targets, tell=self.crash_gossip.publish)
        self.probes = ProbeShare(settings.probes_per_s, clock=clock)
        self.times = WorkTimes()
        chooser = FreshChooser(place=settings.place, times=self.times, rng=rng)
        self.seeker = TargetSeeker(
            instances=self.instances,
            chooser=chooser,
            probes=self.probes,
            probe_path=self._probe_path,
            targets=self._targets,
            rng=rng,
            log=_log,
        )
        self.forwarder = Forwarder(
            routes=lambda: self.routes.table,
            age=lambda: self.mesh.age(self._settings_rows),
            catching_up=lambda: self.pause_detector.catching_up,
            instances=self.instances,
            chooser=chooser,
            times=self.times,
            seeker=self.seeker,
            make_repeats=self._make_repeats,
            guard=self._crash_guard,
            targets=self._targets,
            observer=self.figures,
            rng=rng,
        )
        self.limits = ServerLimits()
        self._front = StreamServer(self._serve, limits=self.limits)
        self._servers: list[StreamServer] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.refusing = False
        self._stop_asked = asyncio.Event()

    # -- running

    async def run(self) -> None:
        """Serve until stopped by a signal."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stop_asked.set)
        await self._front.listen(self._settings.caller)
        await self.gossip.listen(self._settings.peer)
        event(
            _log,
            "started",
            box=self.mesh.name,
            place=self.mesh.place,
            caller=self._settings.caller,
            peer=self._settings.peer,
        )
        self._spawn(self.gossip.run())
        await self.gossip.hear_peers()
        for follower in self.followers:
            self._spawn(follower.run())
        self._spawn(self.crash_gossip.run())
        self._spawn(self._look_after())
        await self._stop_asked.wait()
        await self._stop()

    def reload(self, settings: EntrySettings) -> None:
        """Take over changed settings; addresses, name and place need a restart.

        Parameters
        ----------
        settings : EntrySettings
        """
        kept = ("name", "place", "caller", "peer")
        moved = [n for n in kept if getattr(settings, n) != getattr(self._settings, n)]
        if moved:
            event(_log, "reload-needs-restart", level=logging.WARNING, fields=moved)
        self._settings = replace(settings, **{n: getattr(self._settings, n) for n in kept})
        self.probes.per_s = settings.probes_per_s
        self.forwarder.change_repeats(
            ratio=settings.repeat_ratio,
            slack=settings.repeat_slack,
            window=settings.repeat_window,
        )
        event(_log, "reloaded", box=self.mesh.name, seeds=list(settings.seeds))

    def ask_to_stop(self) -> None:
        """Begin a planned stop."""
        self._stop_asked.set()

    def add_server(self, server: StreamServer) -> None:
        """Have a further server closed with the box."""
        self._servers.append(server)

    @property
    def caller(self) -> Address:
        """Where callers connect."""
        return self._settings.caller

    @property
    def ready(self) -> bool:
        """Whether the box takes new work."""
        return self.mesh.state == RUNNING and not self.pause_detector.catching_up

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, work: Coroutine[None, None, None]) -> None:
        """Run a task; an error nobody foresaw ends the process, not just the task."""
        try:
            await work
        except Exception:
            _log.critical("task-failed", exc_info=True)
            self._stop_asked.set()
            raise

    async def _look_after(self) -> None:
        """Keep up what depends on time."""
        while True:
            if self.pause_detector.check():
                self.gossip.ask_few()
            if self.mesh.state not in (RUNNING, DRAINING) and self._can_serve():
                self.mesh.state = RUNNING
                era = self._settings_rows.era
                event(_log, "serving", box=self.mesh.name, version=self._version(), era=era)
                self.gossip.tell_state()
            self._listed.expire()
            reading = not any(follower.failing for follower in self.followers)
            if reading != self.mesh.reading:
                self.mesh.reading = reading
                self.gossip.tell_state()
            self.mesh.in_flight = self.forwarder.in_flight
            boxes = max(self.mesh.max_boxes, _BOXES_LEAST)
            self.probes.boxes = boxes
            self.forwarder.set_boxes(boxes)
            await asyncio.sleep(_LOOK_S)

    def _can_serve(self) -> bool:
        known = self.routes.table is not None and all(t.known for t in self.tables.values())
        return known and self.crash_gossip.may_serve

    def _outdated(self) -> bool:
        return any(self.mesh.age(table) > STALE_S for table in self.tables.values())

    def _version(self) -> int:
        return 0 if self.routes.table is None else self.routes.table.version

    # -- the planned stop

    async def _stop(self) -> None:
        plan = StopPlan.within(self._settings.grace)
        began = self._loop.time()
        event(_log, "stopping", box=self.mesh.name, in_flight=self.forwarder.in_flight)
        self.mesh.state = DRAINING
        self.gossip.tell_state()
        self._front.last_answers = True
        await asyncio.sleep(plan.refuse)
        self.refusing = True
        await asyncio.sleep(plan.close - plan.refuse)
        self._front.stop_listening()
        self._front.close_idle()
        while self.forwarder.in_flight and self._loop.time() - began < plan.end:
            await asyncio.sleep(_LOOK_S / 2)
        left = self.forwarder.in_flight
        # A target that says nothing is no reason to leave a caller without an answer.
        self.forwarder.give_up_all()
        await asyncio.sleep(plan.last)
        for server in (self._front, *self._servers):
            await server.close()
        self.gossip.close()
        event(_log, "stopped", box=self.mesh.name, given_up=left)

    # -- requests

    async def _serve(self, exchange: Exchange) -> None:
        if self.refusing:
            exchange.close_after()
            exchange.reply(503, [Header("Retry-After", "0.05")], b"")
            return
        request = self._adapter.read_request(exchange)
        if request is None:
            exchange.reply(400, (), b"")
            return
        await self.forwarder.serve(request, exchange.body(), exchange)

    def _make_repeats(self) -> RepeatShare:
        settings = self._settings
        share = RepeatShare(
            ratio=settings.repeat_ratio,
            slack=settings.repeat_slack,
            window=settings.repeat_window,
            clock=self._loop.time,
        )
        share.boxes = max(self.mesh.max_boxes, _BOXES_LEAST)
        return share

    def _probe_path(self, service: str) -> str:
        table = self.routes.table
        info = None if table is None else table.services.get(service)
        return "" if info is None else info.probe_path

    # -- what the box believes

    def _on_routes(self, table: RouteTable) -> None:
        limits = table.limits
        self.limits.head_bytes = limits.head_bytes
        self.limits.body_bytes = limits.body_bytes
        self.limits.head_s = limits.head_s
        self.limits.idle_s = limits.idle_s
        self.forwarder.keep_only({kind.name for kind in table.kinds})
        most = min((s.connections for s in table.services.values()), default=256)
        self._targets.set_most(max(4, most // max(self.mesh.max_boxes, _BOXES_LEAST)))

    def _take_targets(self, rows: list[TableRow]) -> None:
        self._listed.take(rows)
        self._targets.keep_only(self.instances.addresses())
        self.probes.keep_only({instance.name for instance in self.instances.all()})

    # -- metrics

    def _gauges(self) -> dict[str, float]:
        figures = {
            "probes_total": float(self.probes.spent),
            "probes_denied_total": float(self.probes.denied),
            "connections_opened_total": float(self._targets.opened),
            "entries_unreadable_total": float(self._listed.unreadable + self.routes.unreadable),
            "rests_asked_total": float(self.seeker.rests_asked),
            "targets_ended_total": float(self._crash_guard.targets_ended),
            "requests_barred": float(self.crashes.barred),
            "store_calls_total": float(self._adapter.store_calls()),
            "store_failures_total": float(self._adapter.store_failures()),
            "settings_version": float(self._version()),
            "boxes_live": float(len(self.mesh.live()) + 1),
            "in_flight": float(self.forwarder.in_flight),
            "word_bytes_total": float(self.gossip.sent_bytes),
            "log_lines_dropped_total": float(self._dropped_lines()),
        }
        for name, table in self.tables.items():
            figures[f'table_age_seconds{{table="{name}"}}'] = round(self.mesh.age(table), 3)
        return figures


async def run_until_stopped(box: EntryBox) -> None:
    """Run a box; a cancelled run ends quietly."""
    with contextlib.suppress(asyncio.CancelledError):
        await box.run()
