"""Interfaces of the platform's store: following tables, and changing rows."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dunlinnotch.state.table_replica import TableDelta, TableRow
    from dunlinnotch.types import Seconds


class HistoryGone:
    """The store has no history of changes after a version; the table must be read anew."""

    __slots__ = ()


class TableSource(Protocol):
    """A store whose tables can be read completely and followed.

    Each method raises :class:`~dunlinnotch.errors.PlatformUnavailableError` if no usable
    answer was received in time.
    """

    async def read_table(self, table: str) -> TableDelta:
        """Return all rows of a table."""

    async def changes(self, table: str, after: int, wait: Seconds) -> TableDelta | HistoryGone:
        """Return the changes after a version; wait up to ``wait`` seconds for one."""


@dataclass(frozen=True, slots=True)
class RowsRead:
    """All rows of a table.

    Parameters
    ----------
    rows : tuple of TableRow
    now : float
        Time at which these were all rows, in seconds of the store's monotonic clock.
    """

    rows: tuple[TableRow, ...]
    now: Seconds


@dataclass(frozen=True, slots=True)
class RowsChange:
    """An atomic change of some rows of one table.

    Parameters
    ----------
    table : str
    expected : dict of str to int
        Versions that rows must have; 0 for a row that must not exist.
    put : dict of str to bytes
    remove : tuple of str
    """

    table: str
    expected: dict[str, int]
    put: dict[str, bytes] = field(default_factory=dict)
    remove: tuple[str, ...] = ()


class RowStore(Protocol):
    """A store in which a box reads and writes rows.

    Each method raises :class:`~dunlinnotch.errors.PlatformUnavailableError` if no usable
    answer was received in time; a change may then have taken effect, or take effect later
    while the versions that it expects still hold.
    """

    async def read_rows(self, table: str) -> RowsRead:
        """Return all rows of a table."""

    async def change_rows(self, change: RowsChange) -> bool:
        """Change rows; return False without a change if a version is not as expected."""
