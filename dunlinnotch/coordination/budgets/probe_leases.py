"""Leases in the store that limit how many boxes may probe.

Each box's share of a probe budget is the budget divided by ``boxes_max``.  The sum stays
within the budget only if at most ``boxes_max`` boxes probe, so a box probes only while it
holds one of ``boxes_max`` probe leases.  Each lease is one row of the store.  See
``docs/design/probe-budget.md``.
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
DEFAULT_LEASE_S = 300.0
#: Margin after the expiry of a lease before another box acquires it, as a share of the
#: lease: clocks may run at different speeds.
_CLOCK_DRIFT = 0.05
_SCAN_LIMIT = 10_000

_log = logging.getLogger(__name__)


@wire
@dataclass(frozen=True, slots=True)
class ProbeLeaseValue:
    """Value of the row of a probe lease.

    Parameters
    ----------
    box : str
    incarnation : int
        Together with ``box``, identifies the process that holds the lease.
    lease_s : float
        Length of the lease, in seconds.
    """

    box: str
    incarnation: int
    lease_s: Seconds


@dataclass(slots=True)
class _SeenVersion:
    """Version of a row, and when this box first read it, in monotonic seconds."""

    version: int
    since: Seconds


class ProbeLeaseHolder:
    """Acquire and renew one probe lease for this box.

    Parameters
    ----------
    platform : Platform
    box : str
    incarnation : int
    clock : callable
    lease_s : float, default 300.0
        Length of the lease, in seconds.
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
        self._seen: dict[str, _SeenVersion] = {}
        self.lease: Lease | None = None

    def held(self, lease_count: int) -> bool:
        """Return whether this box holds one of ``lease_count`` leases now, by its own clock."""
        if self.lease is None or _number(self.lease.key) >= lease_count:
            return False
        return self.lease.valid(self._clock())

    def renew(self, lease_count: int) -> bool:
        """Renew the lease held, or acquire a free one.

        Parameters
        ----------
        lease_count : int
            Number of leases that exist.

        Returns
        -------
        bool
            Whether a lease is held.  While the store is unavailable, a held lease stays
            valid until it expires.
        """
        try:
            if self._renew_held(lease_count):
                return True
            rows = {row.key: row for row in self._rows()}
            for key in self._keys_in_order(lease_count):
                if self._is_free(key, rows.get(key)) and self._acquire(key, rows.get(key)):
                    return True
        except PlatformUnavailableError as error:
            event(_log, "seat-not-renewed", level=logging.WARNING, detail=str(error))
        return self.held(lease_count)

    def _renew_held(self, lease_count: int) -> bool:
        """Renew the lease held, reading only its row; return False if that was not possible."""
        if self.lease is None or _number(self.lease.key) >= lease_count:
            return False
        row = self._platform.read(self.lease.key)
        if row is None or not self._is_own(row):
            return False
        return self._acquire(self.lease.key, row)

    def _is_own(self, row: Row) -> bool:
        value = _lease_value(row)
        if value is None:
            return False
        return (value.box, value.incarnation) == (self._box, self._incarnation)

    def _rows(self) -> list[Row]:
        rows = self._platform.scan(KEY_PREFIX, after="", limit=_SCAN_LIMIT)
        now = self._clock()
        for row in rows:
            seen = self._seen.get(row.key)
            if seen is None or seen.version < row.version:
                self._seen[row.key] = _SeenVersion(row.version, now)
        return rows

    def _keys_in_order(self, lease_count: int) -> list[str]:
        """Return the keys of all leases, in the order in which this box tries them."""
        start = rank_hash(self._box, "seat") % lease_count
        return [_key((start + offset) % lease_count) for offset in range(lease_count)]

    def _is_free(self, key: str, row: Row | None) -> bool:
        """Return whether a lease is vacant, held by this process, or certainly expired."""
        if row is None or self._is_own(row):
            return True
        value = _lease_value(row)
        if value is None:
            return False
        # The holder's lease began before the row was written, so before this box read it.
        unchanged_for = self._clock() - self._seen[key].since
        return unchanged_for > value.lease_s * (1.0 + _CLOCK_DRIFT)

    def _acquire(self, key: str, row: Row | None) -> bool:
        version = row.version if row is not None else 0
        value = ProbeLeaseValue(self._box, self._incarnation, self._lease_s)
        requested_at = self._clock()
        result = self._platform.transact(
            Transaction((Check(key, version),), (Put(key, _codec.to_json(value).decode()),))
        )
        if result is not TransactResult.COMMITTED:
            return False
        if self.lease is None or self.lease.key != key:
            event(_log, "seat-taken", seat=key, fence=version + 1)
        self.lease = Lease(key, version + 1, requested_at + self._lease_s)
        return True


def _lease_value(row: Row) -> ProbeLeaseValue | None:
    """Return the value of a lease's row, or None if it can't be parsed."""
    try:
        return _codec.from_json(ProbeLeaseValue, row.value.encode())
    except ProtocolError as error:
        event(_log, "seat-unreadable", level=logging.ERROR, seat=row.key, detail=str(error))
        return None


def _key(number: int) -> str:
    return f"{KEY_PREFIX}{number:05d}"


def _number(key: str) -> int:
    return int(key.removeprefix(KEY_PREFIX))
