"""A table of the platform's store as a box knows it, complete up to a version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.types import Seconds

#: Rows remembered as gone, so that others can be told what went.
MAX_TOMBSTONES = 2000


class TableRow(NamedTuple):
    """One row; ``value`` is None if it is gone.

    ``lost`` tells that nobody removed it: the store came back from a copy without it, and
    whoever wrote it may write it again.
    """

    key: str
    version: int
    value: bytes | None
    lost: bool = False


@dataclass(frozen=True, slots=True)
class TableDelta:
    """What changed in a table after a version.

    Parameters
    ----------
    table : str
    version : int
        The table is known completely up to here.
    is_snapshot : bool
        Whether ``rows`` are all rows that there are.
    rows : tuple of TableRow
    changed : int, default 0
        No row changed between here and ``version``, as far as a peer told; 0 if
        a store told.
    epoch : int, optional
        Rises each time the store comes back from a copy; versions of different epochs
        can't be compared, since those after the copy are given out again.  ``None``
        where a store does not tell it.
    """

    table: str
    version: int
    is_snapshot: bool
    rows: tuple[TableRow, ...]
    changed: int = 0
    epoch: int | None = None


class TableReplica:
    """Rows of one table, which only ever move to a higher version or a later epoch.

    Parameters
    ----------
    name : str
    on_change : callable
        Called with the rows that changed, gone ones included.

    Attributes
    ----------
    epoch : int
        The epoch of the store to which the versions belong.
    version : int
        The table is known completely up to here; 0 before anything is known.
    changed : int
        No row changed between here and ``version``.  The store counts versions over
        all its tables, so ``version`` moves on where nothing changed.
    verified_at : float or None
        Monotonic seconds at which this was all that the store held.
    """

    def __init__(self, name: str, on_change: Callable[[list[TableRow]], None]) -> None:
        self.name = name
        self.epoch = 0
        self.version = 0
        self.changed = 0
        self.verified_at: Seconds | None = None
        self._on_change = on_change
        self._rows: dict[str, TableRow] = {}
        self._gone: dict[str, TableRow] = {}
        self._gone_floor = 0

    @property
    def rows(self) -> list[TableRow]:
        """Rows that there are."""
        return list(self._rows.values())

    @property
    def loaded(self) -> bool:
        """Whether the table has been read, directly or through a peer."""
        return self.verified_at is not None

    def verify(self, at: Seconds) -> None:
        """Note that the store held no more than this at ``at``."""
        self.verified_at = at if self.verified_at is None else max(self.verified_at, at)

    def confirm(self, changed: int, version: int, *, at: Seconds, epoch: int = 0) -> bool:
        """Take over how far a peer knows the table, if it holds the same rows.

        Parameters
        ----------
        changed, version, epoch : int
            The peer's.
        at : float
            Monotonic seconds at which the store held no more than the peer knew.

        Returns
        -------
        bool
            False if the peer knows of a change that is not known here.

        Notes
        -----
        Both tables stood still from ``changed`` to ``version``; where these spans
        meet, they held the same rows.
        """
        if not self.loaded or (epoch, changed) > (self.epoch, self.version):
            return False
        if epoch == self.epoch and self.changed <= version:
            self.changed = max(self.changed, changed)
            self.version = max(self.version, version)
            self.verify(at)
        return True

    def apply(self, delta: TableDelta, *, at: Seconds) -> bool:
        """Take in what a store or peer says was so at ``at``.

        Returns
        -------
        bool
            Whether anything changed.  A delta that is older than what is
            known changes nothing, nor do changes alone from a later epoch: they leave out
            what was written anew below their version.
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
            changed = [row for row in delta.rows if self._take_row(row)]
        self._move_on(delta, epoch)
        if later_epoch:
            self.verified_at = at
        self.verify(at)
        if changed:
            self._on_change(changed)
        return later_epoch or bool(changed)

    def _replace(self, delta: TableDelta, *, lost: bool) -> list[TableRow]:
        """Take over all rows that there are; return what differs from before."""
        before = dict(self._rows)
        present = {row.key: row for row in delta.rows}
        if lost:
            self._gone.clear()
        missing = before.keys() - present.keys()
        changed = [self._remove(key, delta.version)._replace(lost=lost) for key in missing]
        for key, row in present.items():
            self._gone.pop(key, None)
            self._rows[key] = row
        # Rows may have come and gone unseen, so nobody is told of changes before this.
        self._gone_floor = delta.version if lost else max(self._gone_floor, delta.version)
        return changed + [row for key, row in present.items() if before.get(key) != row]

    def _move_on(self, delta: TableDelta, epoch: int) -> None:
        """Note up to where the table is known, and since when it stands still."""
        before = self.changed if epoch == self.epoch else 0
        if delta.is_snapshot and not delta.changed:
            # Rows may have gone unseen at any version up to this one.
            self.changed = delta.version
        else:
            self.changed = max(before, delta.changed, *(row.version for row in delta.rows), 0)
        self.epoch, self.version = epoch, delta.version

    def delta_since(self, version: int, epoch: int = 0) -> TableDelta:
        """Return what changed after a version; everything if that is not known."""
        if epoch != self.epoch or version < self._gone_floor or version <= 0:
            rows = list(self._rows.values())
            return TableDelta(self.name, self.version, True, tuple(rows), self.changed, self.epoch)
        rows = [row for row in self._rows.values() if row.version > version]
        rows += [row for row in self._gone.values() if row.version > version]
        rows.sort(key=_by_version)
        return TableDelta(self.name, self.version, False, tuple(rows), self.changed, self.epoch)

    def _take_row(self, row: TableRow) -> bool:
        known = self._rows.get(row.key) or self._gone.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        if row.value is None:
            had = row.key in self._rows
            self._remove(row.key, row.version)
            return had
        self._gone.pop(row.key, None)
        self._rows[row.key] = row
        return True

    def _remove(self, key: str, version: int) -> TableRow:
        self._rows.pop(key, None)
        gone = self._gone[key] = TableRow(key, version, None)
        while len(self._gone) > MAX_TOMBSTONES:
            oldest = min(self._gone.values(), key=_by_version)
            self._gone_floor = max(self._gone_floor, oldest.version)
            del self._gone[oldest.key]
        return gone


def _by_version(row: TableRow) -> int:
    return row.version
