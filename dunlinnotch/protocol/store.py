"""What a box needs of the platform's store when it follows tables there."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dunlinnotch.state.table_replica import TableDelta, TableRow
    from dunlinnotch.types import Seconds


class HistoryGone:
    """The store no longer knows what changed after a version; read all anew."""

    __slots__ = ()


class TableSource(Protocol):
    """A store whose tables can be read whole and followed.

    Each method raises :class:`~dunlinnotch.errors.PlatformUnavailableError`
    when no usable answer came in time.
    """

    async def read_table(self, table: str) -> TableDelta:
        """Return all rows of a table."""

    async def changes(self, table: str, after: int, wait: Seconds) -> TableDelta | HistoryGone:
        """Return what changed after a version, waiting for a change that long."""


@dataclass(frozen=True, slots=True)
class RowsRead:
    """All rows of a table.

    Parameters
    ----------
    rows : tuple of TableRow
    now : float
        When they were all, in seconds of the store's own steady clock.
    """

    rows: tuple[TableRow, ...]
    now: Seconds


@dataclass(frozen=True, slots=True)
class RowsChange:
    """A change of some rows of one table, done whole or not at all.

    Parameters
    ----------
    table : str
    expected : dict of str to int
        Versions that rows must have; 0 for a row that must not be there.
    put : dict of str to bytes
    remove : tuple of str
    """

    table: str
    expected: dict[str, int]
    put: dict[str, bytes] = field(default_factory=dict)
    remove: tuple[str, ...] = ()


class RowStore(Protocol):
    """A store in which a box keeps rows of its own.

    Each method raises :class:`~dunlinnotch.errors.PlatformUnavailableError`
    when no usable answer came in time; a change may then have been done, or be done
    later if what it expects still holds.
    """

    async def read_rows(self, table: str) -> RowsRead:
        """Return all rows of a table."""

    async def change_rows(self, change: RowsChange) -> bool:
        """Change rows; return False, and change nothing, if they are not as expected."""
