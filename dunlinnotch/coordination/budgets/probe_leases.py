"""Seats in the table that bound how many boxes may probe.

Each box's share of a probe budget is the budget divided by ``boxes_max``.
That holds only if no more than ``boxes_max`` boxes probe, whatever any box
believes of the others, so a box probes only while it holds one of
``boxes_max`` leased seats.  See ``docs/design/probe-budget.md``.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dunlinnotch import _codec
from dunlinnotch._logs import event
from dunlinnotch._wire import wire
from dunlinnotch.coordination.choosing.subset import rank_hash
from dunlinnotch.errors import PlatformUnavailableError, ProtocolError
from dunlinnotch.protocol.platform import Check, Put, Transaction, TransactResult
from dunlinnotch.state.lease import Lease
from dunlinnotch.types import Seconds

if TYPE_CHECKING:
    from dunlinnotch.protocol.platform import Platform, Row
    from dunlinnotch.types import Clock

KEY_PREFIX = "probe-seat/"
#: How long a lease lasts, in seconds.
DEFAULT_LEASE_S = 300.0
#: A seat is taken over only so long after its lease must have lapsed, as a
#: share of the lease: room for clocks that run at different speeds.
_DRIFT = 0.05
_SCAN_LIMIT = 10_000

_log = logging.getLogger(__name__)


@wire
@dataclass(frozen=True, slots=True)
class ProbeLeaseValue:
    """Value of a seat's row.

    Parameters
    ----------
    box : str
    incarnation : int
        With ``box``, the one process that holds the seat.
    lease_s : float
        Length of the lease.
    """

    box: str
    incarnation: int
    lease_s: Seconds


@dataclass(slots=True)
class _Seen:
    """A version of a seat's row, and when this box first saw it."""

    version: int
    at: Seconds


class ProbeLeaseHolder:
    """Hold one seat.

    Parameters
    ----------
    platform : Platform
    box : str
    incarnation : int
    clock : callable
    lease_s : float, default 300.0
    """

    def __init__(
        self,
        platform: Platform,
        *,
        box: str,
        incarnation: int,
        clock: Clock,
        lease_s: Seconds = DEFAULT_LEASE_S,
    ) -> None:
        self._platform = platform
        self._box = box
        self._incarnation = incarnation
        self._clock = clock
        self._lease_s = lease_s
        self._seen: dict[str, _Seen] = {}
        self.lease: Lease | None = None

    def held(self, seats: int) -> bool:
        """Return whether this box holds one of so many seats now, by its own clock."""
        if self.lease is None or _number(self.lease.key) >= seats:
            return False
        return self.lease.valid(self._clock())

    def renew(self, seats: int) -> bool:
        """Renew the seat held, or take a free one.

        Parameters
        ----------
        seats : int
            Seats that there are.

        Returns
        -------
        bool
            Whether a seat is held.  With the table down, the lease held runs
            on to its end.
        """
        try:
            if self._renew_own(seats):
                return True
            rows = {row.key: row for row in self._rows()}
            for key in self._wanted(seats):
                if self._free(key, rows.get(key)) and self._take(key, rows.get(key)):
                    return True
        except PlatformUnavailableError as error:
            event(_log, "seat-not-renewed", level=logging.WARNING, detail=str(error))
        return self.held(seats)

    def _renew_own(self, seats: int) -> bool:
        """Renew the seat held, reading its row only; return whether that went well."""
        if self.lease is None or _number(self.lease.key) >= seats:
            return False
        row = self._platform.read(self.lease.key)
        if row is None or not self._own(row):
            return False
        return self._take(self.lease.key, row)

    def _own(self, row: Row) -> bool:
        value = _seat_value(row)
        if value is None:
            return False
        return (value.box, value.incarnation) == (self._box, self._incarnation)

    def _rows(self) -> list[Row]:
        rows = self._platform.scan(KEY_PREFIX, after="", limit=_SCAN_LIMIT)
        now = self._clock()
        for row in rows:
            seen = self._seen.get(row.key)
            if seen is None or seen.version < row.version:
                self._seen[row.key] = _Seen(row.version, now)
        return rows

    def _wanted(self, seats: int) -> list[str]:
        """Return seats in the order in which to try them."""
        start = rank_hash(self._box, "seat") % seats
        return [_key((start + step) % seats) for step in range(seats)]

    def _free(self, key: str, row: Row | None) -> bool:
        """Return whether a seat is empty, ours, or lapsed for certain."""
        if row is None or self._own(row):
            return True
        value = _seat_value(row)
        if value is None:
            return False
        # The holder's lease began before the row was written, so before this box saw it.
        unchanged = self._clock() - self._seen[key].at
        return unchanged > value.lease_s * (1.0 + _DRIFT)

    def _take(self, key: str, row: Row | None) -> bool:
        version = row.version if row is not None else 0
        value = ProbeLeaseValue(self._box, self._incarnation, self._lease_s)
        asked = self._clock()
        result = self._platform.transact(
            Transaction((Check(key, version),), (Put(key, _codec.to_json(value).decode()),))
        )
        if result is not TransactResult.COMMITTED:
            return False
        if self.lease is None or self.lease.key != key:
            event(_log, "seat-taken", seat=key, fence=version + 1)
        self.lease = Lease(key, version + 1, asked + self._lease_s)
        return True


def _seat_value(row: Row) -> ProbeLeaseValue | None:
    """Return what a seat's row says, or None if it can't be read."""
    try:
        return _codec.from_json(ProbeLeaseValue, row.value.encode())
    except ProtocolError as error:
        event(_log, "seat-unreadable", level=logging.ERROR, seat=row.key, detail=str(error))
        return None


def _key(number: int) -> str:
    return f"{KEY_PREFIX}{number:05d}"


def _number(key: str) -> int:
    return int(key.removeprefix(KEY_PREFIX))
