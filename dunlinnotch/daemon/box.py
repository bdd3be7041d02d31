"""One box as a process: the core with its ports and the threads that keep it going."""

from __future__ import annotations

import logging
import random
import sys
import threading
import time
from typing import TYPE_CHECKING

from dunlinnotch._addresses import split_address
from dunlinnotch._logs import event
from dunlinnotch.coordination.core import BoxCore, Timing
from dunlinnotch.daemon.metrics import Metric, Metrics
from dunlinnotch.daemon.operator import OperatorPort
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.operator import DrainPhase
from dunlinnotch.state.boxes import BoxRow
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
    from dunlinnotch.protocol.attempt import LoadReport
    from dunlinnotch.types import Address

#: How often waiting calls are looked at while some wait, in seconds.
_PUMP_S = 0.005
#: How often the prober looks for gaps, in seconds.
_PROBE_LOOK_S = 0.25
#: How often a drain looks whether it may go on, in seconds.
_DRAIN_LOOK_S = 0.05
#: A box that is no reader reads the table this many times more rarely.
_RARE_READS = 10
#: Renewals tried within one lease of a probe seat.
_RENEWALS = 3
#: How long a box without a seat waits before it asks again, in seconds.
_SEAT_WAIT_S = 5.0
#: How long a stopped box goes on telling its peers, in heartbeats.
_LAST_WORDS = 3
#: How long a thread may keep others from running, in seconds; see docs/design/hop.md.
_SWITCH_S = 0.0005

_log = logging.getLogger(__name__)


class Box:
    """A running box.

    Parameters
    ----------
    config : Config
    """

    def __init__(self, config: Config) -> None:
        self.config = config
        self._clock = time.monotonic
        self._rng = random.Random()
        self._stopped = threading.Event()
        self._changed = threading.Event()
        #: Whether the process was told to stop by a signal, which no edit calls off.
        self.signalled = False
        self.metrics = Metrics(
            config.metrics.statsd,
            prefix=f"{config.metrics.prefix}.{config.box.name}",
            clock=self._clock,
        )
        self.core = self._make_core()
        self.server = self._make_front()
        self._peer_server = PeerServer(split_address(config.box.peer), self.core.membership)
        self.links = PeerLinks(
            self.core.membership,
            seeds=config.peers.seeds,
            count=config.peers.links,
            heartbeat_s=config.peers.heartbeat_ms / 1000,
            on_traffic=lambda size: self.metrics.count(Metric.PEER_BYTES, size),
        )
        operator = OperatorPort(self.core, self.links, peer_bytes=lambda: self.peer_bytes)
        self._operator_server = HttpServer(
            split_address(config.box.operator), operator, operator.bad_head, connections=64
        )
        sys.setswitchinterval(_SWITCH_S)

    @property
    def closing(self) -> bool:
        """Whether callers' connections are closed between requests."""
        return self.server.closing

    @closing.setter
    def closing(self, value: bool) -> None:
        self.server.closing = value

    def _make_core(self) -> BoxCore:
        config = self.config
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
        platform = PlatformClient(
            config.platform.address, timeout=config.platform.timeout_ms / 1000
        )
        connections = ConnectionPools(
            limit=lambda target: self.core.directory.connection_limit(target), clock=self._clock
        )
        timing = Timing(
            suspect_s=config.peers.suspect_ms / 1000,
            forget_s=config.peers.forget_ms / 1000,
            drain_margin_s=config.limits.drain_margin_ms / 1000,
            lease_s=config.platform.lease_s,
            readers=config.platform.readers,
        )
        return BoxCore(
            row,
            platform=platform,
            transport=TargetClient(connections, clock=self._clock),
            probe=self._probe_target,
            observer=self.metrics,
            front=self,
            clock=self._clock,
            rng=self._rng,
            timing=timing,
            on_settings=self._changed.set,
        )

    def _make_front(self) -> HttpServer:
        limits = self.config.limits
        front = CallerFront(self.core, clock=self._clock)
        return HttpServer(
            split_address(self.config.box.caller),
            front,
            front.bad_head,
            connections=limits.connections,
            head_s=limits.head_ms / 1000,
            idle_s=limits.idle_ms / 1000,
        )

    def run(self) -> None:
        """Serve until drained or stopped."""
        self._peer_server.start()
        self.links.start()
        loops = (
            self._follow,
            self._maintain,
            self._pump,
            self._probe,
            self._keep_seat,
            self._advance_drain,
        )
        for loop in loops:
            thread = threading.Thread(target=self._keep_going, args=(loop,), daemon=True)
            thread.name = loop.__name__.strip("_")
            thread.start()
        self._operator_server.start_in_background()
        self.server.start_in_background()
        event(_log, "started", box=self.core.name, caller=self.config.box.caller)
        self._stopped.wait()
        self.links.wake()
        time.sleep(self.config.peers.heartbeat_ms / 1000 * _LAST_WORDS)
        self.server.close()
        self._operator_server.close()
        self.links.close()
        self._peer_server.close()
        event(_log, "stopped", box=self.core.name)

    @property
    def peer_bytes(self) -> int:
        """Bytes sent to peers since the start."""
        return self.links.sent_bytes + self._peer_server.sent_bytes

    def stop(self) -> None:
        """Begin a planned stop that no edit calls off."""
        self.signalled = True
        self.core.begin_drain()
        self.links.wake()

    def _keep_going(self, loop: Callable[[], None]) -> None:
        """Run a loop; an error nobody foresaw ends the process, not just a thread."""
        try:
            loop()
        except Exception:
            _log.critical("thread-failed", exc_info=True)
            self._stopped.set()
            raise

    def _follow(self) -> None:
        """Read the table: often if this box is one of its place's readers, else rarely."""
        poll = self.config.platform.poll_ms / 1000
        while not self._stopped.is_set():
            try:
                if self.core.follow():
                    self.links.wake()
            except PlatformUnavailableError as error:
                event(_log, "platform-unavailable", level=logging.WARNING, detail=str(error))
            rare = 1 if self.core.is_reader() else _RARE_READS
            self._stopped.wait(poll * rare * (0.9 + 0.2 * self._rng.random()))

    def _maintain(self) -> None:
        """Renew this box's row and what depends on the other boxes' rows."""
        period = self.config.peers.row_ms / 1000
        while not self._stopped.is_set():
            self.core.maintain()
            if not self.signalled:
                self.core.heed_operator()
            self._send_gauges()
            self._changed.wait(period)
            self._changed.clear()
            if self.core.membership.own.state is RunState.STOPPED:
                self._stopped.set()

    def _send_gauges(self) -> None:
        core = self.core
        age = core.membership.table_age()
        self.metrics.gauge(Metric.IN_FLIGHT, core.gate.in_flight)
        self.metrics.gauge(Metric.PROBES_ALLOWED, core.probes_allowed())
        self.metrics.gauge(Metric.VERSION, core.holder.version)
        self.metrics.gauge(Metric.PEERS, len(core.membership.live()))
        self.metrics.gauge(Metric.DRAINING, int(core.drain.phase is not DrainPhase.NONE))
        if age is not None:
            self.metrics.gauge(Metric.TABLE_AGE, age)

    def _pump(self) -> None:
        """Let waiting calls go as estimates age, while any wait."""
        directory = self.core.directory
        while not self._stopped.is_set():
            directory.calls_waiting.wait()
            directory.calls_waiting.clear()
            while any(pool.pump() for pool in directory.pools()):
                time.sleep(_PUMP_S)

    def _probe(self) -> None:
        while not self._stopped.wait(_PROBE_LOOK_S):
            self.core.probe_gaps()

    def _advance_drain(self) -> None:
        while not self._stopped.is_set():
            self.core.drain.begun.wait()
            if self.core.drain.advance() is DrainPhase.DONE:
                self._stopped.set()
            self._stopped.wait(_DRAIN_LOOK_S)

    def _keep_seat(self) -> None:
        while not self._stopped.is_set():
            held = self.core.renew_seat()
            wait = self.config.platform.lease_s / _RENEWALS if held else _SEAT_WAIT_S
            self._stopped.wait(wait * (0.9 + 0.2 * self._rng.random()))

    def _probe_target(self, target: Address) -> LoadReport | None:
        began = self._clock()
        report = probe(target)
        self.metrics.timing(Metric.PROBE_TIME, self._clock() - began)
        self.metrics.count(Metric.PROBES, end="lost" if report is None else "answered")
        return report
