"""Targets by instance: what the platform lists and what this box has seen of each."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dunlinnotch.state.target_status import TargetReport
    from dunlinnotch.types import Address, Seconds

#: Ended instances remembered, so that a late word does not bring one back.
_ENDED_KEPT = 4000
#: Targets remembered that asked for rest, should their rows go and come back meanwhile.
_RESTS_KEPT = 1000
#: Above any sequence: a start that said it leaves never comes back.
_NEVER = 1 << 62

#: When a target started and how often it has spoken since: the larger one is newer.
WordOrder = tuple[int, int]


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """What the platform's list says of one start of a target.

    Parameters
    ----------
    instance : str
        Names the target; it may start again under its name.
    service, place : str
    address : str
    slots : int
    leaving : bool
    sequence : int
        Grows with each word of one start of the target.
    slow_start_s : float
        Seconds for which it is still slow from its start.
    born : int, default 0
        Unix milliseconds of its start; 0 where the platform does not tell: there each
        start has a name of its own.
    """

    instance: str
    service: str
    place: str
    address: Address
    slots: int
    leaving: bool
    sequence: int
    slow_start_s: Seconds
    born: int = 0

    @property
    def order(self) -> WordOrder:
        """Order of what is said under one name."""
        return (self.born, self.sequence)


@dataclass(slots=True, eq=False)
class Instance:
    """One target with what this box has seen of it."""

    listed: ListedTarget
    slow_start_until: Seconds = 0.0
    in_flight: int = 0
    sent_since_report: int = 0
    report: TargetReport | None = None
    reported_at: Seconds = -1e9
    probed_at: Seconds = -1e9
    failures: int = 0
    ejected_until: Seconds = 0.0
    backoff_until: Seconds = 0.0
    removed: bool = False
    missing_since: Seconds | None = None
    #: Whether the store lost its row, rather than somebody removed it.
    lost: bool = False
    healthy: bool = True

    @property
    def name(self) -> str:
        """The instance's own name."""
        return self.listed.instance

    @property
    def start(self) -> str:
        """Names this start of the target, and no other."""
        return f"{self.listed.instance}@{self.listed.born}" if self.listed.born else self.name

    @property
    def address(self) -> Address:
        """Where it is reached."""
        return self.listed.address

    @property
    def queued_ahead(self) -> int:
        """Requests there, as far as this box knows: by its last report, and sent since."""
        report = self.report
        known = self.in_flight if report is None else report.running + report.waiting
        return known + self.sent_since_report

    def record_report(self, report: TargetReport, now: Seconds) -> None:
        """Take in what the target says of its load."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0


class InstanceList:
    """The targets that may take new work, by service.

    Notes
    -----
    Of each target only the newest start counts, by whichever way older ones are heard of.
    Leaving is for good: a start that was leaving or gone does not come back by a word that
    is older than what is known of it.
    """

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._ended: dict[str, WordOrder] = {}
        self._rests: dict[str, Seconds] = {}
        self._by_service: dict[str, list[Instance]] = {}

    def apply(self, listed: ListedTarget, now: Seconds) -> bool:
        """Take in one row of the list; return whether it changed anything."""
        known = self._instances.get(listed.instance)
        if listed.order < self._ended.get(listed.instance, (-1, -1)):
            return False
        if known is not None and listed.order < known.listed.order:
            return False
        if listed.leaving:
            return self._take_leaving(listed)
        if known is None or known.listed.born < listed.born:
            self._begin(listed, now)
        else:
            known.listed = listed
            known.missing_since = None
            known.lost = False
            known.slow_start_until = now + listed.slow_start_s
        self._index()
        return True

    def remove(self, instance: str) -> bool:
        """Give a target no new work until a newer word; return whether it could get any.

        Parameters
        ----------
        instance : str
        """
        return self._drop(instance, next_word=True)

    def retire(self, instance: str) -> bool:
        """Give a target no new work until it has started again; return whether it could get any.

        Parameters
        ----------
        instance : str
        """
        known = self._instances.get(instance)
        return known is not None and self._take_leaving(known.listed)

    def suspend(self, instance: str) -> bool:
        """Give a target no new work until its last word, or a newer one, is heard again.

        Parameters
        ----------
        instance : str
        """
        return self._drop(instance, next_word=False)

    def back_off(self, instance: Instance, until: Seconds) -> None:
        """Have a target rest until a moment, also if its row goes and comes back meanwhile.

        Parameters
        ----------
        instance : Instance
        until : float
            Monotonic seconds; a rest granted before is not made shorter.
        """
        instance.backoff_until = max(instance.backoff_until, until)
        self._rests[instance.start] = instance.backoff_until
        _keep_newest(self._rests, _RESTS_KEPT)

    def backoff_left(self, service: str, now: Seconds) -> Seconds:
        """Return for how long all targets of a service still rest; 0 if one does not."""
        return max(
            0.0, min((i.backoff_until for i in self.for_service(service)), default=0.0) - now
        )

    def _begin(self, listed: ListedTarget, now: Seconds) -> None:
        """Use a start of a target that is new here; it has nothing of the one before."""
        before = self._instances.get(listed.instance)
        if before is not None:
            before.removed = True
        begun = Instance(listed, slow_start_until=now + listed.slow_start_s)
        begun.backoff_until = self._rests.get(begun.start, 0.0)
        self._instances[listed.instance] = begun
        self._ended.pop(listed.instance, None)

    def _take_leaving(self, listed: ListedTarget) -> bool:
        known = self._instances.pop(listed.instance, None)
        self._end(listed.instance, (listed.born, _NEVER))
        if known is None:
            return False
        known.removed = True
        self._index()
        return True

    def _drop(self, instance: str, *, next_word: bool) -> bool:
        known = self._instances.pop(instance, None)
        if known is None:
            return False
        born, sequence = known.listed.order
        self._end(instance, (born, sequence + next_word))
        known.removed = True
        self._index()
        return True

    def for_service(self, service: str) -> list[Instance]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def all(self) -> Iterable[Instance]:
        """Return all targets."""
        return self._instances.values()

    def find(self, instance: str) -> Instance | None:
        """Return one target, if it may take new work."""
        return self._instances.get(instance)

    def addresses(self) -> set[Address]:
        """Return where targets are reached."""
        return {instance.address for instance in self._instances.values()}

    def _end(self, instance: str, order: WordOrder) -> None:
        self._ended[instance] = max(order, self._ended.get(instance, order))
        _keep_newest(self._ended, _ENDED_KEPT)

    def _index(self) -> None:
        services: dict[str, list[Instance]] = {}
        for instance in self._instances.values():
            services.setdefault(instance.listed.service, []).append(instance)
        self._by_service = services


def _keep_newest(kept: dict[str, Any], most: int) -> None:
    """Drop what was added first, until so many are left."""
    while len(kept) > most:
        kept.pop(next(iter(kept)))
