"""Targets that may get new work, with their listed data and their state at this box."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dunlinnotch.state.target_status import TargetReport
    from dunlinnotch.types import Address, Seconds

#: Removed instances that are remembered, so that an outdated row does not add one again.
_MAX_REMOVED = 4000
#: Back-offs that are remembered, in case a target's row is removed and added again.
_MAX_BACKOFFS = 1000
#: Recorded as the sequence number of a start that is leaving.  It is above those of all
#: rows, so that no later row of the same start is accepted.
_MAX_SEQUENCE = 1 << 62

#: Start time and sequence number of a target's row; the larger one is newer.
RowOrder = tuple[int, int]


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Row of the platform's list of targets, for one start of a target.

    Parameters
    ----------
    instance : str
        Name of the target, which may be the same after a restart.
    service, place : str
    address : str
    slots : int
        Maximum number of requests that it runs at once.
    leaving : bool
        Whether it is about to shut down and accepts no new requests.
    sequence : int
        Number that rises with each row of one start.
    slow_start_s : float
        Seconds for which the target is still warming up.
    born : int, default 0
        Time of the start, in Unix milliseconds; 0 if the platform does not state it, in
        which case each start has a name of its own.
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
    def order(self) -> RowOrder:
        """Order among the rows of one name; the larger one is newer."""
        return (self.born, self.sequence)


@dataclass(slots=True, eq=False)
class Instance:
    """One start of a target, with its state at this box.

    Parameters
    ----------
    listed : ListedTarget
    slow_start_until : float, default 0.0
        End of its warm-up.
    in_flight : int, default 0
        Requests of this box in progress at the target.
    sent_since_report : int, default 0
        Requests for which this box has selected it since its last report.
    report : TargetReport, optional
        Its last report.
    reported_at, probed_at : float
        Time of the last report, and of the last probe.
    failures : int, default 0
        Consecutive failures.
    ejected_until, backoff_until : float, default 0.0
        End of the outlier ejection, and of the back-off that the target requested.
    removed : bool, default False
        Whether it was removed from the list, for example replaced by a newer start.
    missing_since : float, optional
        Time at which its row disappeared, while it is kept as a last resort.
    kept_until : float, default 0.0
        End of the time for which it is kept without a row.
    lost : bool, default False
        Whether the row disappeared because the store lost it, not because it was removed.
    healthy : bool, default True
        Whether it reported itself healthy in its last probe result.

    Notes
    -----
    Times are in monotonic seconds.
    """

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
    kept_until: Seconds = 0.0
    lost: bool = False
    healthy: bool = True

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.listed.instance

    @property
    def start(self) -> str:
        """Name that is unique to this start of the target."""
        return f"{self.listed.instance}@{self.listed.born}" if self.listed.born else self.name

    @property
    def address(self) -> Address:
        """Address of the target."""
        return self.listed.address

    @property
    def queued_ahead(self) -> int:
        """Estimated requests at the target: those of its last report and those sent since."""
        report = self.report
        reported = self.in_flight if report is None else report.running + report.waiting
        return reported + self.sent_since_report

    def record_report(self, report: TargetReport, now: Seconds) -> None:
        """Record a load report of the target."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0


class InstanceList:
    """Targets that may get new work, by service.

    Notes
    -----
    Only the newest start of each target is listed, in whatever order rows arrive.  A start
    that was leaving or removed is not added again by an outdated row.
    """

    def __init__(self) -> None:
        self._instances: dict[str, Instance] = {}
        self._removed: dict[str, RowOrder] = {}
        self._backoffs: dict[str, Seconds] = {}
        self._by_service: dict[str, list[Instance]] = {}

    def apply(self, listed: ListedTarget, now: Seconds) -> bool:
        """Apply one row of the platform's list; return whether it changed anything."""
        existing = self._instances.get(listed.instance)
        if listed.order < self._removed.get(listed.instance, (-1, -1)):
            return False
        if existing is not None and listed.order < existing.listed.order:
            return False
        if listed.leaving:
            return self._retire(listed)
        if existing is None or existing.listed.born < listed.born:
            self._add(listed, now)
        else:
            existing.listed = listed
            existing.missing_since = None
            existing.lost = False
            existing.slow_start_until = now + listed.slow_start_s
        self._index()
        return True

    def remove(self, instance: str) -> bool:
        """Remove a target until a newer row of it arrives; return whether it was listed.

        Parameters
        ----------
        instance : str
        """
        return self._remove(instance, needs_newer=True)

    def retire(self, instance: str) -> bool:
        """Remove a target until it has restarted; return whether it was listed.

        Parameters
        ----------
        instance : str
        """
        existing = self._instances.get(instance)
        return existing is not None and self._retire(existing.listed)

    def suspend(self, instance: str) -> bool:
        """Remove a target until its last row or a newer one arrives; return whether it was listed.

        Parameters
        ----------
        instance : str
        """
        return self._remove(instance, needs_newer=False)

    def back_off(self, instance: Instance, until: Seconds) -> None:
        """Send no work to a target until a given time, also if its row is added again.

        Parameters
        ----------
        instance : Instance
        until : float
            Monotonic seconds; does not shorten an earlier back-off.

        Notes
        -----
        Each box learns of a back-off from a refusal of its own, and forgets it when it ends.
        So all boxes together send a target in back-off what was in flight, and one request for
        each start of a box.
        """
        instance.backoff_until = max(instance.backoff_until, until)
        _store_newest(self._backoffs, instance.start, instance.backoff_until, limit=_MAX_BACKOFFS)

    def backoff_left(self, service: str, now: Seconds) -> Seconds:
        """Return the seconds until the first target of a service may get work again."""
        return max(
            0.0, min((i.backoff_until for i in self.for_service(service)), default=0.0) - now
        )

    def _add(self, listed: ListedTarget, now: Seconds) -> None:
        """Add a start of a target, without any state of the previous start."""
        before = self._instances.get(listed.instance)
        if before is not None:
            before.removed = True
        added = Instance(listed, slow_start_until=now + listed.slow_start_s)
        added.backoff_until = self._backoffs.get(added.start, 0.0)
        self._instances[listed.instance] = added
        self._removed.pop(listed.instance, None)

    def _retire(self, listed: ListedTarget) -> bool:
        existing = self._instances.pop(listed.instance, None)
        self._record_removal(listed.instance, (listed.born, _MAX_SEQUENCE))
        if existing is None:
            return False
        existing.removed = True
        self._index()
        return True

    def _remove(self, instance: str, *, needs_newer: bool) -> bool:
        existing = self._instances.pop(instance, None)
        if existing is None:
            return False
        born, sequence = existing.listed.order
        self._record_removal(instance, (born, sequence + needs_newer))
        existing.removed = True
        self._index()
        return True

    def for_service(self, service: str) -> list[Instance]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def all(self) -> Iterable[Instance]:
        """Return all targets."""
        return self._instances.values()

    def find(self, instance: str) -> Instance | None:
        """Return a target by name; None if it may not get new work."""
        return self._instances.get(instance)

    def addresses(self) -> set[Address]:
        """Return the addresses of all targets."""
        return {instance.address for instance in self._instances.values()}

    def _record_removal(self, instance: str, order: RowOrder) -> None:
        newest = max(order, self._removed.get(instance, order))
        _store_newest(self._removed, instance, newest, limit=_MAX_REMOVED)

    def _index(self) -> None:
        services: dict[str, list[Instance]] = {}
        for instance in self._instances.values():
            services.setdefault(instance.listed.service, []).append(instance)
        self._by_service = services


def _store_newest(entries: dict[str, Any], key: str, value: object, *, limit: int) -> None:
    """Store an entry as the newest, and drop the oldest ones above a limit."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > limit:
        entries.pop(next(iter(entries)))
