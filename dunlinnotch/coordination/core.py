"""The coordination parts of one box, without sockets or threads.

The daemon supplies transports and calls the steps from its threads.  Other programs may
embed it, and tests inject faults between the steps.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.budgets.probe_leases import DEFAULT_LEASE_S, ProbeLeaseHolder
from dunlinnotch.coordination.budgets.probes import ProbeBudget, probes_per_second
from dunlinnotch.coordination.choosing.directory import PoolDirectory
from dunlinnotch.coordination.choosing.subset import highest_weighted
from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.membership.steering import Steering
from dunlinnotch.coordination.requests.drain import Drain
from dunlinnotch.coordination.requests.idempotency import IdempotencyGuard
from dunlinnotch.coordination.requests.router import Router
from dunlinnotch.coordination.settings.gate import WorkGate
from dunlinnotch.coordination.settings.tree import SettingsEditor, SettingsFollower, SettingsHolder
from dunlinnotch.protocol.operator import DrainPhase
from dunlinnotch.state.ledger import IdempotencyLedger
from dunlinnotch.state.schema import RunState, Settings

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dunlinnotch.coordination.choosing.pool import ServicePool
    from dunlinnotch.coordination.requests.drain import Front
    from dunlinnotch.coordination.requests.router import CallObserver
    from dunlinnotch.protocol.answers import AddressAnswer
    from dunlinnotch.protocol.attempt import (
        CallerWatch,
        LoadReport,
        ReplySink,
        RequestBody,
        TargetTransport,
    )
    from dunlinnotch.protocol.http import Call
    from dunlinnotch.protocol.outcome import CallResult
    from dunlinnotch.protocol.platform import Platform
    from dunlinnotch.state.boxes import BoxRow
    from dunlinnotch.state.targets import TargetRecord
    from dunlinnotch.state.tree import SettingsTree
    from dunlinnotch.types import Address, Clock, Seconds, Version

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts of a box, and its number of readers.

    Parameters
    ----------
    suspect_s : float, default 6.0
        Seconds without contact after which a box is not offered to callers.
    forget_s : float, default 30.0
        Seconds without contact after which the row of an unlisted box is dropped.
    drain_margin_s : float, default 1.0
        Seconds added in a drain to the maximum lifetime of address answers.
    lease_s : float, default 300.0
        Duration of a probe lease in seconds.
    readers : int, default 3
        Number of boxes in each place that poll the table often.
    """

    suspect_s: Seconds = 6.0
    forget_s: Seconds = 30.0
    drain_margin_s: Seconds = 1.0
    lease_s: Seconds = DEFAULT_LEASE_S
    readers: int = 3


class BoxCore:
    """Coordination of one box.

    Parameters
    ----------
    row : BoxRow
        The box's initial row, with a new incarnation.
    platform : Platform
    transport : TargetTransport
    probe : callable
        Given a target's address, returns its load report, or None if it gave none.
    observer : CallObserver
    front : Front
        The caller port; a drain makes it close connections.
    clock : callable
    rng : random.Random
    timing : Timing, optional
        Defaults to ``Timing()``.
    on_settings : callable, optional
        Called after a new settings version has become active.
    """

    def __init__(
        self,
        row: BoxRow,
        *,
        platform: Platform,
        transport: TargetTransport,
        probe: Callable[[Address], LoadReport | None],
        observer: CallObserver,
        front: Front,
        clock: Clock,
        rng: random.Random,
        timing: Timing | None = None,
        on_settings: Callable[[], None] | None = None,
    ) -> None:
        self.timing = timing or Timing()
        self.name = row.name
        self.place = row.place
        self._platform = platform
        self._probe = probe
        self._clock = clock
        self._on_settings = on_settings
        self.holder = SettingsHolder(self._activate)
        self.membership = Membership(
            row,
            holder=self.holder,
            clock=clock,
            suspect_s=self.timing.suspect_s,
            forget_s=self.timing.forget_s,
        )
        self.directory = PoolDirectory(box=self.name, place=self.place, clock=clock, rng=rng)
        self.follower = SettingsFollower(platform, self.holder, clock=clock)
        self.editor = SettingsEditor(
            platform,
            self.holder,
            self.follower,
            missing=self.membership.unconfirmed_boxes,
            wait=self.membership.wait_confirmed,
        )
        self.gate = WorkGate(self.membership, self.holder, clock=clock)
        self.steering = Steering(self.membership, rng=rng)
        self.ledger = IdempotencyLedger(clock=clock)
        self.probe_lease = ProbeLeaseHolder(
            platform,
            box=self.name,
            incarnation=row.incarnation,
            clock=clock,
            lease_s=self.timing.lease_s,
        )
        self.drain = Drain(self.membership, self.gate, front, clock=clock)
        self._budget = ProbeBudget()
        self._router = Router(
            place=self.place,
            holder=self.holder,
            pools=self.directory,
            gate=self.gate,
            idempotency=IdempotencyGuard(
                self.ledger, box=self.name, incarnation=row.incarnation, clock=clock
            ),
            transport=transport,
            observer=observer,
            clock=clock,
        )

    def route(
        self, call: Call, body: RequestBody, reply: ReplySink, watch: CallerWatch
    ) -> CallResult:
        """Serve one call; see :meth:`Router.route`."""
        return self._router.route(call, body, reply, watch)

    def addresses(self, caller: str, place: str) -> AddressAnswer:
        """Return the boxes that a caller in ``place`` should use."""
        return self.steering.answer(self.holder.tree, caller=caller, place=place)

    def deadline_of(self, service: str, kind: str) -> Seconds:
        """Return the default deadline of a call in seconds."""
        path = f"{self.place}/{service}/{kind}"
        return self.holder.tree.effective(path).deadline_ms / 1000

    def version(self) -> Version:
        """Return the active settings version; 0 before any is known."""
        return self.holder.version

    def poll_store(self) -> bool:
        """Poll the table and the list of boxes once.

        Returns
        -------
        bool
            Whether the settings changed.

        Raises
        ------
        PlatformUnavailableError
            If the table or the list can't be read, or a row of the settings is invalid.
        """
        changed = self.follower.poll()
        if self.follower.read_at is not None:
            self.membership.record_table_read(self.follower.read_at)
        self.membership.apply_listing(self._platform.list_boxes())
        return changed

    def is_reader(self) -> bool:
        """Return whether this box polls the table often on behalf of its place."""
        names = [row.name for row in self.membership.live() if row.place == self.place]
        readers = highest_weighted(self.place, names, self.timing.readers)
        return self.holder.version == 0 or self.name in readers

    def maintain(self) -> None:
        """Refresh this box's row and the pools, which depend on the rows of other boxes."""
        pools = self.directory.pools()
        leaving = tuple(notice for pool in pools for notice in pool.leaving_targets())
        self.membership.refresh_own(in_flight=self.gate.in_flight, leaving=leaving)
        self.directory.rebuild(self.holder.tree, self.membership.live())
        leaving_at_peers = [notice for row in self.membership.rows() for notice in row.leaving]
        for pool in self.directory.pools():
            pool.record_leaving(leaving_at_peers)

    def apply_run_state(self) -> None:
        """Start or cancel a drain, according to the states in the settings tree."""
        tree = self.holder.tree
        states = (tree.box_state(self.name), tree.place_state(self.place))
        if any(state is not RunState.RUNNING for state in states):
            self.begin_drain()
        elif self.drain.phase is DrainPhase.ANSWERS:
            self.drain.resume()

    def begin_drain(self) -> None:
        """Start a planned stop of this box, unless one is in progress."""
        tree = self.holder.tree
        max_keep_s = max(tree.effective(path).keep_s for path in (*tree.nodes, "/"))
        margin = self.timing.suspect_s + self.timing.drain_margin_s
        self.drain.start(max_answer_lifetime=max_keep_s + margin)

    def renew_probe_lease(self) -> bool:
        """Renew the probe lease; return whether this box holds one."""
        return self.probe_lease.renew(self.holder.tree.effective("/").boxes_max)

    def probes_allowed(self) -> float:
        """Return the probes per second that the budget allows this box now."""
        target_settings = (
            self._probe_settings(pool, target)
            for pool in self.directory.pools()
            for target in pool.records()
        )
        return sum(
            probes_per_second(s) for s in target_settings if self.probe_lease.held(s.boxes_max)
        )

    def _probe_settings(self, pool: ServicePool, target: TargetRecord) -> Settings:
        return self.holder.tree.effective(f"{target.place}/{pool.service}")

    def probe_unreported_targets(self) -> None:
        """Probe the targets that no call has reported on lately, within the budget."""
        for pool in self.directory.pools():
            for target in pool.records():
                self._probe_if_due(pool, target)

    def _probe_if_due(self, pool: ServicePool, target: TargetRecord) -> None:
        now = self._clock()
        settings = self._probe_settings(pool, target)
        if not self._budget.needs_probe(target, now) or not self.probe_lease.held(
            settings.boxes_max
        ):
            return
        if not self._budget.try_spend(target.address, settings, now):
            return
        try:
            report = self._probe(target.address)
        finally:
            self._budget.record_end(target.address)
        if report is not None:
            pool.record_report(target, report)
        event(_log, "probe", target=target.address, service=pool.service, report=report)

    def _activate(self, tree: SettingsTree) -> None:
        self.directory.rebuild(tree, self.membership.live())
        self.membership.refresh_own(version=tree.version)
        if self._on_settings is not None:
            self._on_settings()
