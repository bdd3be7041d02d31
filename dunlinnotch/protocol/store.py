"""What a box needs of the platform's store when it follows tables there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dunlinnotch.state.followed import TableDelta
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
