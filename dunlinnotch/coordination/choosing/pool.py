"""Targets, wait queue and retry budget of one service on one box."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from dunlinnotch.coordination.budgets.retries import RetryBudget
from dunlinnotch.coordination.choosing.least_load import Choice, Chooser
from dunlinnotch.coordination.choosing.limits import Grant, Ticket, TicketState, WaitQueue
from dunlinnotch.state.boxes import LeavingTarget

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from dunlinnotch.protocol.attempt import LoadReport
    from dunlinnotch.state.schema import Settings
    from dunlinnotch.state.targets import TargetRecord
    from dunlinnotch.types import Address, Clock, Seconds

#: Fraction of its equal share of all slots that a box may use whatever the estimated load of
#: other boxes is.
_MIN_SHARE = 0.75


class ServicePool:
    """Admit calls of one service, choose their targets and track them in flight.

    Parameters
    ----------
    service : str
    clock : callable
        Monotonic seconds.
    rng : random.Random
    on_wait : callable, optional
        Called when a call starts to wait.  :meth:`pump` must then be called every few
        milliseconds until it returns False.

    Notes
    -----
    Thread-safe.  While all targets of this box's subset are estimated to be saturated,
    calls wait here rather than at a target.
    """

    def __init__(
        self,
        service: str,
        *,
        clock: Clock,
        rng: random.Random,
        on_wait: Callable[[], None] | None = None,
    ) -> None:
        self.service = service
        self._clock = clock
        self._on_wait = on_wait
        self._lock = threading.Lock()
        self._chooser = Chooser(rng=rng)
        self._records: dict[Address, TargetRecord] = {}
        self._queue = WaitQueue()
        self._retries = RetryBudget()
        self._target_queue = 1.0
        self._min_in_flight = 1
        self._in_flight = 0

    def configure(
        self,
        targets: Iterable[TargetRecord],
        *,
        shares: dict[str, float],
        settings: Settings,
    ) -> None:
        """Apply a new version of the settings or a new list of boxes.

        Parameters
        ----------
        targets : iterable of TargetRecord
            Records with address, place, slots and sharers.  For targets that the pool has
            already, only these fields of its records are updated.
        shares : dict of str to float
            Probability of each place.
        settings : Settings
            Settings of the service.
        """
        with self._lock:
            active = {target.address: self._merge(target) for target in targets}
            self._records.update(active)
            self._drop_removed(active)
            self._chooser.set_targets(active.values(), shares)
            self._chooser.eject_after = settings.eject_after
            self._chooser.eject_share = settings.eject_share
            self._chooser.trial_s = settings.trial_s
            self._chooser.warm_up_s = settings.warm_up_s
            self._retries.share = settings.retry_share
            self._target_queue = settings.target_queue
            equal_share = sum(target.slots / target.sharers for target in active.values())
            self._min_in_flight = max(1, round(equal_share * _MIN_SHARE))
            self._grant_waiting()

    def enter(self, ticket: Ticket) -> Seconds | None:
        """Grant a call, queue it, or refuse it at once.

        Parameters
        ----------
        ticket : Ticket
            On return, its state shows whether it was granted.

        Returns
        -------
        float or None
            Retry delay in seconds if the call was refused, else ``None``.
        """
        with self._lock:
            now = self._clock()
            self._retries.record_first_attempt()
            self._queue.push(ticket)
            self._grant_waiting()
            if ticket.state is TicketState.GRANTED:
                return None
            wait = self._queue.expected_wait(ticket.rank)
            if now + wait > ticket.queue_deadline:
                self._queue.cancel(ticket)
                return wait
        if self._on_wait is not None:
            self._on_wait()
        return None

    def cancel(self, ticket: Ticket) -> Seconds | None:
        """Cancel a waiting call.

        Returns
        -------
        float or None
            Retry delay in seconds, or ``None`` if the call was granted in the meantime.
        """
        with self._lock:
            if ticket.state is TicketState.GRANTED:
                return None
            self._queue.cancel(ticket)
            return self._queue.expected_wait(ticket.rank)

    def choose_retry(
        self, *, exclude: Collection[Address], kind: str, idempotent: bool
    ) -> Grant | None:
        """Choose another target to retry a call.

        Returns
        -------
        Grant or None
            ``None`` if the retry budget is spent or no other target is usable.
        """
        with self._lock:
            now = self._clock()
            choice = self._chooser.choose(now, exclude=exclude, trial_allowed=idempotent)
            if choice is None or not self._retries.try_spend():
                return None
            return self._record_send(choice, kind, now)

    def record_report(self, target: TargetRecord, report: LoadReport) -> None:
        """Record the load report and the status of a target."""
        with self._lock:
            now = self._clock()
            if report.in_flight is not None:
                self._chooser.heard(target, now, report.in_flight)
            target.record_state(report.incarnation, leaving=report.leaving)
            if report.backoff:
                target.backoff_until = max(target.backoff_until, now + report.backoff)
            if report.warming_up:
                target.begin_warm_up(now, self._chooser.warm_up_s)

    def record_leaving(self, leaving: Iterable[LeavingTarget]) -> None:
        """Record notices of peers about targets that are leaving."""
        with self._lock:
            for notice in leaving:
                target = self._records.get(notice.address)
                if target is not None:
                    target.record_peer_leaving(notice.incarnation)

    def leaving_targets(self) -> list[LeavingTarget]:
        """Return the targets in use that have notified this box that they are leaving."""
        with self._lock:
            leaving = [target for target in self._chooser.targets if target.reported_leaving]
            return [LeavingTarget(target.address, target.incarnation) for target in leaving]

    def finish(self, grant: Grant, *, failed: bool, counted: bool = True) -> None:
        """Record that an attempt ended, and grant waiting calls.

        Parameters
        ----------
        grant : Grant
        failed : bool
        counted : bool, default True
            Whether the attempt counts towards the target's latency and errors.
        """
        with self._lock:
            self._in_flight -= 1
            self._chooser.finish(
                grant.choice.target,
                grant.flight,
                self._clock(),
                kind=grant.kind,
                failed=failed,
                counted=counted,
            )
            self._grant_waiting()

    def has_usable_target(self) -> bool:
        """Return whether any target is not leaving."""
        with self._lock:
            return any(not target.leaving for target in self._chooser.targets_with_share())

    def pump(self) -> bool:
        """Grant waiting calls while targets are free; return whether any call still waits."""
        with self._lock:
            self._grant_waiting()
            return len(self._queue) > 0

    def records(self) -> list[TargetRecord]:
        """Return the records of the targets in use."""
        with self._lock:
            return self._chooser.targets

    def find(self, address: Address) -> TargetRecord | None:
        """Return the record of a target, or None if it is not used by this box."""
        with self._lock:
            return self._records.get(address)

    def scores(self) -> list[tuple[TargetRecord, float]]:
        """Return each target in use with its current score."""
        with self._lock:
            now = self._clock()
            return [(target, self._chooser.score(target, now)) for target in self._chooser.targets]

    @property
    def waiting(self) -> int:
        """Number of calls that wait for a target."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Number of calls of this box in flight at the service's targets."""
        return self._in_flight

    def _merge(self, target: TargetRecord) -> TargetRecord:
        existing = self._records.get(target.address)
        if existing is None:
            return target
        existing.place = target.place
        existing.slots = target.slots
        existing.sharers = target.sharers
        return existing

    def _drop_removed(self, active: dict[Address, TargetRecord]) -> None:
        removed = [a for a, t in self._records.items() if a not in active and t.own_in_flight == 0]
        for address in removed:
            del self._records[address]

    def _record_send(self, choice: Choice, kind: str, now: Seconds) -> Grant:
        self._in_flight += 1
        return Grant(choice, self._chooser.begin(choice.target, now, kind=kind), kind)

    def _grant_waiting(self) -> None:
        now = self._clock()
        while (ticket := self._queue.peek()) is not None:
            choice = self._chooser.choose(now, trial_allowed=ticket.idempotent)
            if choice is None or not self._may_send(choice, now):
                return
            self._queue.grant(ticket, self._record_send(choice, ticket.kind, now), now)
        self._queue.reset_pace()

    def _may_send(self, choice: Choice, now: Seconds) -> bool:
        """Return whether this box may send one more call to the chosen target."""
        if choice.reason in ("trial", "last-resort") or self._in_flight < self._min_in_flight:
            return True
        # Not the score: it includes penalties for overdue calls and errors, which rank
        # targets but don't occupy slots.
        in_flight = self._chooser.in_flight(choice.target, now)
        return in_flight < choice.target.capacity(now) + self._target_queue
