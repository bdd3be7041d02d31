"""The targets, queue and retry budget of one service on one box."""

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

#: Share of an even split of all slots that a box may always use.
_FLOOR_SHARE = 0.75


class ServicePool:
    """Admit calls of one service, choose their targets and count them.

    Parameters
    ----------
    service : str
    clock : callable
        Monotonic seconds.
    rng : random.Random
    on_wait : callable, optional
        Called when a call begins to wait; :meth:`pump` should then be called
        every few milliseconds until it returns False.

    Notes
    -----
    Thread-safe.  A call waits here, not at a target, once all targets that
    this box works with are thought to be full.
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
        self._floor = 1
        self._own = 0

    def configure(
        self,
        targets: Iterable[TargetRecord],
        *,
        shares: dict[str, float],
        settings: Settings,
    ) -> None:
        """Put a new version of the settings or a new list of boxes in force.

        Parameters
        ----------
        targets : iterable of TargetRecord
            Records with address, place, slots and sharers; what is known of
            a target already is kept.
        shares : dict of str to float
            Chance of each place.
        settings : Settings
            Of the service.
        """
        with self._lock:
            kept = {target.address: self._merge(target) for target in targets}
            self._records.update(kept)
            self._forget_gone(kept)
            self._chooser.set_targets(kept.values(), shares)
            self._chooser.eject_after = settings.eject_after
            self._chooser.eject_share = settings.eject_share
            self._chooser.trial_s = settings.trial_s
            self._chooser.warm_up_s = settings.warm_up_s
            self._retries.share = settings.retry_share
            self._target_queue = settings.target_queue
            fair = sum(target.slots / target.sharers for target in kept.values())
            self._floor = max(1, round(fair * _FLOOR_SHARE))
            self._pump()

    def enter(self, ticket: Ticket) -> Seconds | None:
        """Admit a call, let it wait, or refuse it at once.

        Parameters
        ----------
        ticket : Ticket
            Granted on return if a target was free.

        Returns
        -------
        float or None
            Seconds after which to come back if refused, else ``None``.
        """
        with self._lock:
            now = self._clock()
            self._retries.first_attempt()
            self._queue.push(ticket)
            self._pump()
            if ticket.state is TicketState.GRANTED:
                return None
            wait = self._queue.expected_wait(ticket.rank)
            if now + wait > ticket.give_up:
                self._queue.leave(ticket)
                return wait
        if self._on_wait is not None:
            self._on_wait()
        return None

    def give_up(self, ticket: Ticket) -> Seconds | None:
        """Take a waiting call out.

        Returns
        -------
        float or None
            Seconds after which to come back, or ``None`` if the call was
            granted in the meantime.
        """
        with self._lock:
            if ticket.state is TicketState.GRANTED:
                return None
            self._queue.leave(ticket)
            return self._queue.expected_wait(ticket.rank)

    def again(self, *, exclude: Collection[Address], kind: str, repeatable: bool) -> Grant | None:
        """Choose another target for a call that may be retried.

        Returns
        -------
        Grant or None
            ``None`` if the retry budget is spent or no other target is left.
        """
        with self._lock:
            now = self._clock()
            choice = self._chooser.choose(now, exclude=exclude, trial_allowed=repeatable)
            if choice is None or not self._retries.take():
                return None
            return self._begin(choice, kind, now)

    def heard(self, target: TargetRecord, report: LoadReport) -> None:
        """Take in what a target said of itself."""
        with self._lock:
            now = self._clock()
            if report.in_flight is not None:
                self._chooser.heard(target, now, report.in_flight)
            target.take_state(report.incarnation, leaving=report.leaving)
            if report.backoff:
                target.rest_until = max(target.rest_until, now + report.backoff)
            if report.warming_up:
                target.begin_warm_up(now, self._chooser.warm_up_s)

    def hear_leaving(self, leaving: Iterable[LeavingTarget]) -> None:
        """Take in what peers say of targets that leave."""
        with self._lock:
            for word in leaving:
                target = self._records.get(word.address)
                if target is not None:
                    target.hear_leaving(word.incarnation)

    def told_leaving(self) -> list[LeavingTarget]:
        """Return the targets in use that have told this box that they leave."""
        with self._lock:
            told = [target for target in self._chooser.targets if target.told_leaving]
            return [LeavingTarget(target.address, target.incarnation) for target in told]

    def finish(self, grant: Grant, *, failed: bool, counted: bool = True) -> None:
        """End an attempt and let waiting calls go.

        Parameters
        ----------
        grant : Grant
        failed : bool
        counted : bool, default True
            Whether the attempt says anything of the target's speed or errors.
        """
        with self._lock:
            self._own -= 1
            self._chooser.finish(
                grant.choice.target,
                grant.flight,
                self._clock(),
                kind=grant.kind,
                failed=failed,
                counted=counted,
            )
            self._pump()

    def usable(self) -> bool:
        """Return whether any target may take new work."""
        with self._lock:
            return any(not target.leaving for target in self._chooser.sharing())

    def pump(self) -> bool:
        """Let waiting calls go whose targets are free; return whether any still wait."""
        with self._lock:
            self._pump()
            return len(self._queue) > 0

    def records(self) -> list[TargetRecord]:
        """Return the records of the targets in use."""
        with self._lock:
            return self._chooser.targets

    def find(self, address: Address) -> TargetRecord | None:
        """Return the record of one target, if the box works with it."""
        with self._lock:
            return self._records.get(address)

    def scores(self) -> list[tuple[TargetRecord, float]]:
        """Return each target in use with its score now."""
        with self._lock:
            now = self._clock()
            return [(target, self._chooser.score(target, now)) for target in self._chooser.targets]

    @property
    def waiting(self) -> int:
        """Calls that wait for a target."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Calls of this box at the service's targets."""
        return self._own

    def _merge(self, target: TargetRecord) -> TargetRecord:
        known = self._records.get(target.address)
        if known is None:
            return target
        known.place = target.place
        known.slots = target.slots
        known.sharers = target.sharers
        return known

    def _forget_gone(self, kept: dict[Address, TargetRecord]) -> None:
        gone = [a for a, t in self._records.items() if a not in kept and t.own == 0]
        for address in gone:
            del self._records[address]

    def _begin(self, choice: Choice, kind: str, now: Seconds) -> Grant:
        self._own += 1
        return Grant(choice, self._chooser.begin(choice.target, now, kind=kind), kind)

    def _pump(self) -> None:
        now = self._clock()
        while (ticket := self._queue.peek()) is not None:
            choice = self._chooser.choose(now, trial_allowed=ticket.repeatable)
            if choice is None or not self._open(choice, now):
                return
            self._queue.grant(ticket, self._begin(choice, ticket.kind, now), now)
        self._queue.idle()

    def _open(self, choice: Choice, now: Seconds) -> bool:
        """Return whether the box may send one more call to the target chosen."""
        if choice.reason in ("trial", "last-resort") or self._own < self._floor:
            return True
        # Not the score: charges for overdue calls and errors say which target is
        # worse than others, not that a slot is taken.
        in_flight = self._chooser.in_flight(choice.target, now)
        return in_flight < choice.target.capacity(now) + self._target_queue
