"""Replica of a table of the store, complete up to a version."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.types import Seconds

#: Removed rows that are remembered, so that deltas can include the removals.
MAX_TOMBSTONES = 2000


class TableRow(NamedTuple):
    """One row of a table.

    Parameters
    ----------
    key : str
    version : int
    value : bytes or None
        None if the row was removed.
    lost : bool, default False
        Whether the row disappeared because the store was restored from a backup that
        lacks it.  Its writer may write it again.
    """

    key: str
    version: int
    value: bytes | None
    lost: bool = False


@dataclass(frozen=True, slots=True)
class TableDelta:
    """Changes of a table after a version, or a full snapshot.

    Parameters
    ----------
    table : str
    version : int
        Version up to which the delta is complete.
    is_snapshot : bool
        Whether ``rows`` are all rows of the table.
    rows : tuple of TableRow
    changed : int, default 0
        Version after which, up to ``version``, no row of the table changed, if the delta is
        from a peer; 0 if it is from the store.
    epoch : int, optional
        Number that rises each time the store is restored from a backup.  Versions of
        different epochs can't be compared, since a restored store assigns the versions
        after the backup again.  None if the store does not report it.
    """

    table: str
    version: int
    is_snapshot: bool
    rows: tuple[TableRow, ...]
    changed: int = 0
    epoch: int | None = None


class TableReplica:
    """Replica of one table; its version only rises within an epoch, and its epoch only rises.

    Parameters
    ----------
    name : str
    on_change : callable
        Called with the rows that changed, removed ones included.
    max_gap : callable, optional
        Returns the maximum seconds between two times at which the store held nothing newer
        while it is followed without interruption; infinity by default.

    Attributes
    ----------
    epoch : int
        Epoch of the store to which the versions belong.
    version : int
        Version up to which the replica is complete; 0 before the first read.
    changed : int
        Version after which, up to ``version``, no row of the table changed.  The store
        counts versions over all its tables, so ``version`` also rises when other tables
        change.
    verified_at : float or None
        Latest time, in monotonic seconds, at which the store held nothing newer.
    followed_since : float
        Time, in monotonic seconds, since which the store has been followed without
        interruption, by this box or by peers; minus infinity before the first read.  A change
        of the epoch counts as an interruption.
    """

    def __init__(
        self,
        name: str,
        on_change: Callable[[list[TableRow]], None],
        *,
        max_gap: Callable[[], Seconds] = lambda: math.inf,
    ) -> None:
        self.name = name
        self.epoch = 0
        self.version = 0
        self.changed = 0
        self.verified_at: Seconds | None = None
        self.followed_since: Seconds = -math.inf
        self._max_gap = max_gap
        self._on_change = on_change
        self._rows: dict[str, TableRow] = {}
        self._tombstones: dict[str, TableRow] = {}
        self._tombstone_floor = 0

    @property
    def rows(self) -> list[TableRow]:
        """All rows of the table."""
        return list(self._rows.values())

    @property
    def loaded(self) -> bool:
        """Whether the table has been read, from the store or from a peer."""
        return self.verified_at is not None

    def verify(self, at: Seconds) -> None:
        """Record that the store held nothing newer than the replica at the time ``at``."""
        if self.verified_at is None or at - self.verified_at > self._max_gap():
            self.followed_since = at
        self.verified_at = at if self.verified_at is None else max(self.verified_at, at)

    def confirm(self, changed: int, version: int, *, at: Seconds, epoch: int = 0) -> bool:
        """Advance the version to that of a peer's replica if the rows are the same.

        Parameters
        ----------
        changed, version, epoch : int
            State of the peer's replica.
        at : float
            Time, in monotonic seconds, at which the store held nothing newer than the
            peer's replica.

        Returns
        -------
        bool
            False if the peer has a change that this replica lacks.

        Notes
        -----
        The rows of a replica were the same at all versions from its ``changed`` to its
        ``version``.  Where these ranges overlap, both replicas hold the same rows.
        """
        if not self.loaded or (epoch, changed) > (self.epoch, self.version):
            return False
        if epoch == self.epoch and self.changed <= version:
            self.changed = max(self.changed, changed)
            self.version = max(self.version, version)
            self.verify(at)
        return True

    def apply(self, delta: TableDelta, *, at: Seconds) -> bool:
        """Apply a delta from the store or a peer.

        Parameters
        ----------
        delta : TableDelta
        at : float
            Time, in monotonic seconds, at which the delta was current.

        Returns
        -------
        bool
            Whether anything changed.  An outdated delta changes nothing, and neither does
            a delta of a later epoch that is no snapshot: it lacks the rows that the
            restored store wrote below its version.
        """
        epoch = self.epoch if delta.epoch is None else delta.epoch
        later_epoch = self.loaded and epoch > self.epoch
        if epoch < self.epoch or (later_epoch and not delta.is_snapshot):
            return False
        if not later_epoch and self.loaded and delta.version <= self.version:
            if delta.version == self.version:
                self.verify(at)
            return False
        if delta.is_snapshot:
            changed = self._replace(delta, lost=later_epoch)
        else:
            changed = [row for row in delta.rows if self._apply_row(row)]
        self._advance(delta, epoch)
        if later_epoch:
            self.verified_at = None
        self.verify(at)
        if changed:
            self._on_change(changed)
        return later_epoch or bool(changed)

    def _replace(self, delta: TableDelta, *, lost: bool) -> list[TableRow]:
        """Replace all rows by those of a snapshot; return the rows that differ."""
        before = dict(self._rows)
        rows = {row.key: row for row in delta.rows}
        if lost:
            self._tombstones.clear()
        removed = before.keys() - rows.keys()
        changed = [self._remove(key, delta.version)._replace(lost=lost) for key in removed]
        for key, row in rows.items():
            self._tombstones.pop(key, None)
            self._rows[key] = row
        # Rows may have been added and removed between the two snapshots, so changes
        # before this version are unknown.
        self._tombstone_floor = delta.version if lost else max(self._tombstone_floor, delta.version)
        return changed + [row for key, row in rows.items() if before.get(key) != row]

    def _advance(self, delta: TableDelta, epoch: int) -> None:
        """Update ``epoch``, ``version`` and ``changed`` after a delta."""
        before = self.changed if epoch == self.epoch else 0
        if delta.is_snapshot and not delta.changed:
            # A snapshot does not show at which versions rows were removed.
            self.changed = delta.version
        else:
            self.changed = max(before, delta.changed, *(row.version for row in delta.rows), 0)
        self.epoch, self.version = epoch, delta.version

    def delta_since(self, version: int, epoch: int = 0) -> TableDelta:
        """Return the changes after a version; a snapshot if they are no longer known."""
        if epoch != self.epoch or version < self._tombstone_floor or version <= 0:
            rows = list(self._rows.values())
            return TableDelta(self.name, self.version, True, tuple(rows), self.changed, self.epoch)
        rows = [row for row in self._rows.values() if row.version > version]
        rows += [row for row in self._tombstones.values() if row.version > version]
        rows.sort(key=_by_version)
        return TableDelta(self.name, self.version, False, tuple(rows), self.changed, self.epoch)

    def _apply_row(self, row: TableRow) -> bool:
        existing = self._rows.get(row.key) or self._tombstones.get(row.key)
        if existing is not None and existing.version >= row.version:
            return False
        if row.value is None:
            existed = row.key in self._rows
            self._remove(row.key, row.version)
            return existed
        self._tombstones.pop(row.key, None)
        self._rows[row.key] = row
        return True

    def _remove(self, key: str, version: int) -> TableRow:
        self._rows.pop(key, None)
        tombstone = self._tombstones[key] = TableRow(key, version, None)
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones.values(), key=_by_version)
            self._tombstone_floor = max(self._tombstone_floor, oldest.version)
            del self._tombstones[oldest.key]
        return tombstone


def _by_version(row: TableRow) -> int:
    return row.version
