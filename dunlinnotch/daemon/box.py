"""One box: all parts joined, with the threads that keep them going."""

from __future__ import annotations

import logging
import random
import sys
import threading
import time
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.directory import PoolDirectory
from dunlinnotch.coordination.drain import Drain
from dunlinnotch.coordination.gate import WorkGate
from dunlinnotch.coordination.membership import Membership
from dunlinnotch.coordination.once import OnceGuard
from dunlinnotch.coordination.probes import ProbeBudget
from dunlinnotch.coordination.router import Router
from dunlinnotch.coordination.settings import SettingsEditor, SettingsFollower, SettingsHolder
from dunlinnotch.coordination.steering import Steering
from dunlinnotch.coordination.subset import highest
from dunlinnotch.daemon.metrics import Metric, Metrics
from dunlinnotch.daemon.operator import OperatorPort
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.operator import DrainPhase
from dunlinnotch.state.boxes import BoxRow
from dunlinnotch.state.ledger import OnceLedger
from dunlinnotch.state.schema import RunState
from dunlinnotch.transport.front import CallerFront
from dunlinnotch.transport.peers import PeerLinks, PeerServer
from dunlinnotch.transport.platform import PlatformClient
from dunlinnotch.transport.probes import probe
from dunlinnotch.transport.server import HttpServer
from dunlinnotch.transport.targets import ConnectionPools, TargetClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.config import Config
    from dunlinnotch.coordination.pool import ServicePool
    from dunlinnotch.protocol.answers import AddressAnswer
    from dunlinnotch.protocol.attempt import CallerWatch, ReplySink, RequestBody
    from dunlinnotch.protocol.http import Call
    from dunlinnotch.protocol.outcome import CallResult
    from dunlinnotch.state.targets import TargetRecord
    from dunlinnotch.state.tree import SettingsTree
    from dunlinnotch.types import Address, Seconds, Version

#: How often waiting calls are looked at while some wait, in seconds.
_PUMP_S = 0.005
#: How long a thread may keep others from running, in seconds; see docs/design/hop.md.
_SWITCH_S = 0.0005
#: How often the prober looks for gaps, in seconds.
_PROBE_LOOK_S = 0.1
#: A box that is no reader reads the table this many times more rarely.
_RARE_READS = 10
#: How long a stopped box goes on telling its peers, in heartbeats.
_LAST_WORDS = 3

_log = logging.getLogger(__name__)


class Box:
    """A running box.

    Parameters
    ----------
    config : Config
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self.box = config.box.name
        self._clock = time.monotonic
        self._rng = random.Random()
        self._stopped = threading.Event()
        self._changed = threading.Event()
        row = BoxRow(
            name=config.box.name,
            incarnation=time.time_ns(),
            seq=1,
            place=config.box.place,
            address=config.box.caller,
            peer=config.box.peer,
            state=RunState.RUNNING,
            version=0,
            in_flight=0,
            tick=self._clock(),
        )
        self.metrics = Metrics(
            config.metrics.statsd, prefix=f"{config.metrics.prefix}.{self.box}", clock=self._clock
        )
        self.holder = SettingsHolder(self._on_settings)
        self.membership = Membership(
            row,
            holder=self.holder,
            clock=self._clock,
            suspect_s=config.peers.suspect_ms / 1000,
            forget_s=config.peers.forget_ms / 1000,
        )
        self.directory = PoolDirectory(
            box=self.box, place=config.box.place, clock=self._clock, rng=self._rng
        )
        self._platform = PlatformClient(
            config.platform.address, timeout=config.platform.timeout_ms / 1000
        )
        self.follower = SettingsFollower(self._platform, self.holder, clock=self._clock)
        self.editor = SettingsEditor(
            self._platform,
            self.holder,
            self.follower,
            missing=self.membership.missing,
            wait=self.membership.wait_confirmed,
        )
        self.gate = WorkGate(self.membership, self.holder, clock=self._clock)
        self._steering = Steering(self.membership, rng=self._rng)
        ledger = OnceLedger(clock=self._clock)
        self._connections = ConnectionPools(limit=self._connection_limit, clock=self._clock)
        self._router = Router(
            box=self.box,
            place=config.box.place,
            holder=self.holder,
            pools=self.directory,
            gate=self.gate,
            once=OnceGuard(ledger, box=self.box, incarnation=row.incarnation, clock=self._clock),
            transport=TargetClient(self._connections, clock=self._clock),
            observer=self.metrics,
            clock=self._clock,
        )
        front = CallerFront(self, clock=self._clock)
        self.server = HttpServer(
            _split(config.box.caller),
            front,
            front.bad_head,
            connections=config.limits.connections,
            head_s=config.limits.head_ms / 1000,
            idle_s=config.limits.idle_ms / 1000,
        )
        self.drain = Drain(self.membership, self.gate, self.server, clock=self._clock)
        self._peer_server = PeerServer(_split(config.box.peer), self.membership)
        self.links = PeerLinks(
            self.membership,
            seeds=config.peers.seeds,
            count=config.peers.links,
            heartbeat_s=config.peers.heartbeat_ms / 1000,
            on_traffic=lambda size: self.metrics.count(Metric.PEER_BYTES, size),
        )
        sys.setswitchinterval(_SWITCH_S)
        operator = OperatorPort(self)
        self._operator_server = HttpServer(
            _split(config.box.operator), operator, operator.bad_head, connections=64
        )

    def run(self) -> None:
        """Serve until drained or stopped."""
        self._peer_server.start()
        self.links.start()
        self._start(self._follow, "follow")
        self._start(self._maintain, "maintain")
        self._start(self._pump, "pump")
        self._start(self._probe, "probe")
        self._operator_server.start_in_background()
        self.server.start_in_background()
        event(_log, "started", box=self.box, caller=self.config.box.caller)
        self._stopped.wait()
        self.links.wake()
        self.drain.done.wait(self.config.peers.heartbeat_ms / 1000 * _LAST_WORDS)
        time.sleep(self.config.peers.heartbeat_ms / 1000 * _LAST_WORDS)
        self.server.close()
        self._operator_server.close()
        self.links.close()
        self._peer_server.close()
        event(_log, "stopped", box=self.box)

    def begin_drain(self) -> None:
        """Start a planned stop of this box."""
        keep = max(
            (self.holder.tree.effective(p).keep_s for p in (*self.holder.tree.nodes, "/")),
            default=0.0,
        )
        margin = self.config.limits.drain_margin_ms / 1000
        told = self.config.peers.suspect_ms / 1000
        self.drain.start(longest_answer=keep + told + margin)
        self.links.wake()

    def route(
        self, call: Call, body: RequestBody, reply: ReplySink, watch: CallerWatch
    ) -> CallResult:
        """Serve one call."""
        return self._router.route(call, body, reply, watch)

    def addresses(self, caller: str, place: str) -> AddressAnswer:
        """Return the boxes that a caller should use."""
        return self._steering.answer(self.holder.tree, caller=caller, place=place)

    def deadline_of(self, service: str, kind: str) -> Seconds:
        """Return the time for a call that states none."""
        path = f"{self.config.box.place}/{service}/{kind}"
        return self.holder.tree.effective(path).deadline_ms / 1000

    def version(self) -> Version:
        """Return the settings version in force."""
        return self.holder.version

    def _start(self, loop: Callable[[], None], name: str) -> None:
        threading.Thread(target=self._keep_going, args=(loop,), name=name, daemon=True).start()

    def _keep_going(self, loop: Callable[[], None]) -> None:
        """Run a loop; an error nobody foresaw ends the process, not just a thread."""
        try:
            loop()
        except Exception:
            _log.critical("thread-failed", exc_info=True)
            self._stopped.set()
            raise

    def _on_settings(self, tree: SettingsTree) -> None:
        self.directory.rebuild(tree, self.membership.live())
        self.membership.refresh_own()
        self._changed.set()

    def _connection_limit(self, target: Address) -> int:
        for place, service in self.holder.tree.service_paths():
            settings = self.holder.tree.effective(f"{place}/{service}")
            if target in settings.targets:
                return max(1, settings.connections // settings.boxes_max)
        return 1

    def _follow(self) -> None:
        """Read the table: often if this box is one of its place's readers, else rarely."""
        poll = self.config.platform.poll_ms / 1000
        while not self._stopped.is_set():
            try:
                if self.follower.poll():
                    self.links.wake()
                if self.follower.read_at is not None:
                    self.membership.table_read(self.follower.read_at)
                self.membership.take_list(self._platform.list_boxes())
            except PlatformUnavailableError as error:
                event(_log, "platform-unavailable", level=logging.WARNING, detail=str(error))
            rare = 1 if self._is_reader() else _RARE_READS
            self._stopped.wait(poll * rare * (0.9 + 0.2 * self._rng.random()))

    def _is_reader(self) -> bool:
        place = self.config.box.place
        names = [row.name for row in self.membership.live() if row.place == place]
        readers = highest(place, names, self.config.platform.readers)
        return self.holder.version == 0 or self.box in readers

    def _maintain(self) -> None:
        """Renew this box's row and what depends on the other boxes' rows."""
        period = self.config.peers.row_ms / 1000
        while not self._stopped.is_set():
            self.membership.refresh_own(in_flight=self.gate.in_flight)
            self.links.wake()
            self.directory.rebuild(self.holder.tree, self.membership.live())
            self._heed_operator()
            self._send_gauges()
            self._changed.wait(period)
            self._changed.clear()
            if self.drain.done.is_set() or self._replaced():
                self._stopped.set()

    def _replaced(self) -> bool:
        return self.membership.own.state is RunState.STOPPED

    def _heed_operator(self) -> None:
        tree = self.holder.tree
        states = (tree.box_state(self.box), tree.place_state(self.config.box.place))
        if any(state is not RunState.RUNNING for state in states):
            if self.drain.phase is DrainPhase.NONE:
                self.begin_drain()
        elif self.drain.phase is DrainPhase.ANSWERS and not self.signalled:
            self.drain.resume()

    #: Whether the process was told to stop by a signal, which no edit calls off.
    signalled = False

    def _send_gauges(self) -> None:
        age = self.membership.table_age()
        self.metrics.gauge(Metric.IN_FLIGHT, self.gate.in_flight)
        self.metrics.gauge(Metric.VERSION, self.holder.version)
        self.metrics.gauge(Metric.PEERS, len(self.membership.live()))
        self.metrics.gauge(Metric.DRAINING, int(self.drain.phase is not DrainPhase.NONE))
        if age is not None:
            self.metrics.gauge(Metric.TABLE_AGE, age)

    def _pump(self) -> None:
        """Let waiting calls go as estimates age, while any wait."""
        while not self._stopped.is_set():
            self.directory.some_wait.wait()
            self.directory.some_wait.clear()
            while any(pool.pump() for pool in self.directory.pools()):
                time.sleep(_PUMP_S)

    def _probe(self) -> None:
        """Probe targets that calls tell nothing of, within the budget."""
        budget = ProbeBudget()
        while not self._stopped.wait(_PROBE_LOOK_S):
            for pool in self.directory.pools():
                for target in pool.records():
                    self._probe_if_due(budget, pool, target)

    def _probe_if_due(self, budget: ProbeBudget, pool: ServicePool, target: TargetRecord) -> None:
        now = self._clock()
        settings = self.holder.tree.effective(f"{target.place}/{pool.service}")
        if not budget.wanted(target, now) or not budget.take(target.address, settings, now):
            return
        report = probe(target.address)
        budget.ended(target.address)
        self.metrics.timing(Metric.PROBE_TIME, self._clock() - now)
        self.metrics.count(Metric.PROBES, end="lost" if report is None else "answered")
        if report is not None:
            pool.heard(target, report)
        event(_log, "probe", target=target.address, service=pool.service, report=report)


def _split(address: Address) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
