"""Run a box as a process: its core, its servers and the threads that drive them."""

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
from dunlinnotch.transport.connection_pools import ConnectionPools
from dunlinnotch.transport.front import CallerFront
from dunlinnotch.transport.peers import PeerLinks, PeerServer
from dunlinnotch.transport.platform import PlatformClient
from dunlinnotch.transport.probes import probe
from dunlinnotch.transport.server import HttpServer
from dunlinnotch.transport.targets import TargetClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.config import Config
    from dunlinnotch.protocol.attempt import LoadReport
    from dunlinnotch.types import Address

#: Interval at which waiting calls are dispatched while there are any, in seconds.
_DISPATCH_INTERVAL_S = 0.005
#: Interval at which targets without recent reports are probed, in seconds.
_PROBE_INTERVAL_S = 0.25
#: Interval at which the progress of a drain is checked, in seconds.
_DRAIN_POLL_INTERVAL_S = 0.05
#: Factor by which boxes that are not readers poll the table less often.
_NON_READER_FACTOR = 10
#: Renewals attempted during one probe lease.
_RENEWALS_PER_LEASE = 3
#: Interval between two attempts to acquire a probe lease, in seconds.
_LEASE_RETRY_S = 5.0
#: Heartbeat intervals for which a stopped box still informs its peers.
_FINAL_HEARTBEATS = 3
#: Interval after which the interpreter may switch threads, in seconds: its default delays
#: requests while another thread computes; see docs/design/hop.md.
_THREAD_SWITCH_INTERVAL_S = 0.0005

_log = logging.getLogger(__name__)


class Box:
    """One box: serves callers, operators and peers from threads of this process.

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
        #: Whether a signal requested the stop; an edit of the settings can't cancel it then.
        self.signalled = False
        self.metrics = Metrics(
            config.metrics.statsd,
            prefix=f"{config.metrics.prefix}.{config.box.name}",
            clock=self._clock,
        )
        self.core = self._make_core()
        self.server = self._make_caller_server()
        self._peer_server = PeerServer(split_address(config.box.peer), self.core.membership)
        self.links = PeerLinks(
            self.core.membership,
            seeds=config.peers.seeds,
            max_links=config.peers.links,
            sync_interval_s=config.peers.heartbeat_ms / 1000,
            on_traffic=lambda size: self.metrics.count(Metric.PEER_BYTES, size),
        )
        operator = OperatorPort(self.core, self.links, peer_bytes=lambda: self.peer_bytes)
        self._operator_server = HttpServer(
            split_address(config.box.operator), operator, operator.refuse_head, max_connections=64
        )
        sys.setswitchinterval(_THREAD_SWITCH_INTERVAL_S)

    @property
    def closing(self) -> bool:
        """Whether connections of callers are closed after the current request."""
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

    def _make_caller_server(self) -> HttpServer:
        limits = self.config.limits
        front = CallerFront(self.core, clock=self._clock)
        return HttpServer(
            split_address(self.config.box.caller),
            front,
            front.refuse_head,
            max_connections=limits.connections,
            head_timeout_s=limits.head_ms / 1000,
            idle_timeout_s=limits.idle_ms / 1000,
        )

    def run(self) -> None:
        """Serve until the box has drained or a thread has failed."""
        self._peer_server.start()
        self.links.start()
        loops = (
            self._follow_table,
            self._maintain,
            self._dispatch_waiting,
            self._probe_targets,
            self._renew_probe_lease,
            self._advance_drain,
        )
        for loop in loops:
            thread = threading.Thread(target=self._run_or_stop, args=(loop,), daemon=True)
            thread.name = loop.__name__.strip("_")
            thread.start()
        self._operator_server.start_in_background()
        self.server.start_in_background()
        event(_log, "started", box=self.core.name, caller=self.config.box.caller)
        self._stopped.wait()
        self.links.sync_now()
        time.sleep(self.config.peers.heartbeat_ms / 1000 * _FINAL_HEARTBEATS)
        self.server.close()
        self._operator_server.close()
        self.links.close()
        self._peer_server.close()
        event(_log, "stopped", box=self.core.name)

    @property
    def peer_bytes(self) -> int:
        """Number of bytes sent to peers since the start."""
        return self.links.sent_bytes + self._peer_server.sent_bytes

    def stop(self) -> None:
        """Begin a planned stop that an edit of the settings can't cancel."""
        self.signalled = True
        self.core.begin_drain()
        self.links.sync_now()

    def _run_or_stop(self, loop: Callable[[], None]) -> None:
        """Run a loop; an unexpected exception stops the process, not just the thread."""
        try:
            loop()
        except Exception:
            _log.critical("thread-failed", exc_info=True)
            self._stopped.set()
            raise

    def _follow_table(self) -> None:
        """Poll the table; boxes that are not readers of their place poll less often."""
        poll = self.config.platform.poll_ms / 1000
        while not self._stopped.is_set():
            try:
                if self.core.poll_store():
                    self.links.sync_now()
            except PlatformUnavailableError as error:
                event(_log, "platform-unavailable", level=logging.WARNING, detail=str(error))
            factor = 1 if self.core.is_reader() else _NON_READER_FACTOR
            self._stopped.wait(poll * factor * (0.9 + 0.2 * self._rng.random()))

    def _maintain(self) -> None:
        """Renew the row of this box and all state that depends on the rows of other boxes."""
        period = self.config.peers.row_ms / 1000
        while not self._stopped.is_set():
            self.core.maintain()
            if not self.signalled:
                self.core.apply_run_state()
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

    def _dispatch_waiting(self) -> None:
        """Dispatch waiting calls at intervals, as load estimates change without an event."""
        directory = self.core.directory
        while not self._stopped.is_set():
            directory.calls_waiting.wait()
            directory.calls_waiting.clear()
            while any(pool.pump() for pool in directory.pools()):
                time.sleep(_DISPATCH_INTERVAL_S)

    def _probe_targets(self) -> None:
        while not self._stopped.wait(_PROBE_INTERVAL_S):
            self.core.probe_unreported_targets()

    def _advance_drain(self) -> None:
        while not self._stopped.is_set():
            self.core.drain.begun.wait()
            if self.core.drain.advance() is DrainPhase.DONE:
                self._stopped.set()
            self._stopped.wait(_DRAIN_POLL_INTERVAL_S)

    def _renew_probe_lease(self) -> None:
        while not self._stopped.is_set():
            held = self.core.renew_probe_lease()
            wait = self.config.platform.lease_s / _RENEWALS_PER_LEASE if held else _LEASE_RETRY_S
            self._stopped.wait(wait * (0.9 + 0.2 * self._rng.random()))

    def _probe_target(self, target: Address) -> LoadReport | None:
        started_at = self._clock()
        report = probe(target)
        self.metrics.timing(Metric.PROBE_TIME, self._clock() - started_at)
        self.metrics.count(Metric.PROBES, end="lost" if report is None else "answered")
        return report
