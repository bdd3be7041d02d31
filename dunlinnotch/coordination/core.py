"""All coordination parts of one box joined, without a socket or a thread.

The daemon gives it transports and calls its steps from threads; others may
embed it, and the tests place faults between its steps.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.budgets.probes import ProbeBudget, probes_per_second
from dunlinnotch.coordination.budgets.seats import LEASE_S, SeatHolder
from dunlinnotch.coordination.choosing.directory import PoolDirectory
from dunlinnotch.coordination.choosing.subset import highest
from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.membership.steering import Steering
from dunlinnotch.coordination.requests.drain import Drain
from dunlinnotch.coordination.requests.once import OnceGuard
from dunlinnotch.coordination.requests.router import Router
from dunlinnotch.coordination.settings.gate import WorkGate
from dunlinnotch.coordination.settings.tree import SettingsEditor, SettingsFollower, SettingsHolder
from dunlinnotch.protocol.operator import DrainPhase
from dunlinnotch.state.ledger import OnceLedger
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
    """Times that a box works by, in seconds.

    Parameters
    ----------
    suspect_s : float, default 6.0
        Silence after which a box is not offered to callers.
    forget_s : float, default 30.0
        Silence after which the row of an unlisted box is dropped.
    drain_margin_s : float, default 1.0
        Added to the longest address answer in a drain.
    lease_s : float, default 300.0
        Length of the lease of a probe seat.
    readers : int, default 3
        Boxes of each place that read the table often.
    """

    suspect_s: Seconds = 6.0
    forget_s: Seconds = 30.0
    drain_margin_s: Seconds = 1.0
    lease_s: Seconds = LEASE_S
    readers: int = 3


class BoxCore:
    """One box.

    Parameters
    ----------
    row : BoxRow
        The box's first row, with a new incarnation.
    platform : Platform
    transport : TargetTransport
    probe : callable
        Given a target's address, returns its report, or None if it gave none.
    observer : CallObserver
    front : Front
        The caller port, told when to close connections.
    clock : callable
    rng : random.Random
    timing : Timing, optional
    on_settings : callable, optional
        Called after a new settings version is in force.
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
        self.holder = SettingsHolder(self._put_in_force)
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
        self.ledger = OnceLedger(clock=clock)
        self.seat = SeatHolder(
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
            once=OnceGuard(self.ledger, box=self.name, incarnation=row.incarnation, clock=clock),
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
        """Return the boxes that a caller should use."""
        return self.steering.answer(self.holder.tree, caller=caller, place=place)

    def deadline_of(self, service: str, kind: str) -> Seconds:
        """Return the time, in seconds, for a call that states none."""
        path = f"{self.place}/{service}/{kind}"
        return self.holder.tree.effective(path).deadline_ms / 1000

    def version(self) -> Version:
        """Return the settings version in force."""
        return self.holder.version

    def follow(self) -> bool:
        """Read the table and the list of boxes once.

        Returns
        -------
        bool
            Whether the settings moved.

        Raises
        ------
        PlatformUnavailableError
        """
        moved = self.follower.poll()
        if self.follower.read_at is not None:
            self.membership.record_table_read(self.follower.read_at)
        self.membership.apply_listing(self._platform.list_boxes())
        return moved

    def is_reader(self) -> bool:
        """Return whether this box reads the table often on behalf of its place."""
        names = [row.name for row in self.membership.live() if row.place == self.place]
        readers = highest(self.place, names, self.timing.readers)
        return self.holder.version == 0 or self.name in readers

    def maintain(self) -> None:
        """Renew this box's row and what depends on the other boxes' rows."""
        pools = self.directory.pools()
        told = tuple(word for pool in pools for word in pool.told_leaving())
        self.membership.refresh_own(in_flight=self.gate.in_flight, leaving=told)
        self.directory.rebuild(self.holder.tree, self.membership.live())
        heard = [word for row in self.membership.rows() for word in row.leaving]
        for pool in self.directory.pools():
            pool.hear_leaving(heard)

    def heed_operator(self) -> None:
        """Start or call off a drain, as the tree says."""
        tree = self.holder.tree
        states = (tree.box_state(self.name), tree.place_state(self.place))
        if any(state is not RunState.RUNNING for state in states):
            self.begin_drain()
        elif self.drain.phase is DrainPhase.ANSWERS:
            self.drain.resume()

    def begin_drain(self) -> None:
        """Start a planned stop of this box, unless one is under way."""
        tree = self.holder.tree
        longest = max(tree.effective(path).keep_s for path in (*tree.nodes, "/"))
        margin = self.timing.suspect_s + self.timing.drain_margin_s
        self.drain.start(longest_answer=longest + margin)

    def renew_seat(self) -> bool:
        """Renew the probe seat; return whether one is held."""
        return self.seat.renew(self.holder.tree.effective("/").boxes_max)

    def probes_allowed(self) -> float:
        """Return the probes a second that the budget lets this box send now."""
        found = (
            self._probe_settings(pool, target)
            for pool in self.directory.pools()
            for target in pool.records()
        )
        return sum(probes_per_second(s) for s in found if self.seat.held(s.boxes_max))

    def _probe_settings(self, pool: ServicePool, target: TargetRecord) -> Settings:
        return self.holder.tree.effective(f"{target.place}/{pool.service}")

    def probe_gaps(self) -> None:
        """Probe targets that calls tell nothing of, within the budget."""
        for pool in self.directory.pools():
            for target in pool.records():
                self._probe_if_due(pool, target)

    def _probe_if_due(self, pool: ServicePool, target: TargetRecord) -> None:
        now = self._clock()
        settings = self._probe_settings(pool, target)
        if not self._budget.wanted(target, now) or not self.seat.held(settings.boxes_max):
            return
        if not self._budget.take(target.address, settings, now):
            return
        try:
            report = self._probe(target.address)
        finally:
            self._budget.ended(target.address)
        if report is not None:
            pool.heard(target, report)
        event(_log, "probe", target=target.address, service=pool.service, report=report)

    def _put_in_force(self, tree: SettingsTree) -> None:
        self.directory.rebuild(tree, self.membership.live())
        self.membership.refresh_own(version=tree.version)
        if self._on_settings is not None:
            self._on_settings()
