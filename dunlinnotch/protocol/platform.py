"""Services of the platform: table, object store and list of boxes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from dunlinnotch._wire import wire
from dunlinnotch.types import Address, Version


@wire
@dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Parameters
    ----------
    key : str
    version : int
        Larger after each write to the row; 0 stands for a row that does not exist.
    value : str
    """

    key: str
    version: int
    value: str


@wire
@dataclass(frozen=True, slots=True)
class Check:
    """Precondition of a transaction: a row must have this version."""

    key: str
    version: int


@wire
@dataclass(frozen=True, slots=True)
class Put:
    """Write of a value to a row in a transaction."""

    key: str
    value: str


@wire
@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, or not at all if a check fails."""

    checks: tuple[Check, ...]
    puts: tuple[Put, ...]


class TransactResult(StrEnum):
    """Result of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"


@wire
@dataclass(frozen=True, slots=True)
class ListedBox:
    """One entry of the platform's list of boxes, which may be outdated.

    Parameters
    ----------
    name : str
    peer : str
        Address at which it serves peers.
    leaving : bool, default False
        Whether the platform lists the box as leaving.
    """

    name: str
    peer: Address
    leaving: bool = False


@wire
@dataclass(frozen=True, slots=True)
class SettingsHead:
    """Value of the row that names the newest settings version."""

    version: Version


class Platform(Protocol):
    """Client of the platform's services.

    Every method raises :class:`~dunlinnotch.errors.PlatformUnavailableError` if no usable
    answer was received; a write may nevertheless have taken effect.
    """

    def read(self, key: str) -> Row | None:
        """Return a row, which may be stale; ``None`` if it does not exist."""

    def scan(self, prefix: str, *, after: str, limit: int) -> list[Row]:
        """Return rows whose key starts with ``prefix`` and sorts after ``after``."""

    def transact(self, transaction: Transaction) -> TransactResult:
        """Run a transaction."""

    def get_object(self, name: str) -> bytes | None:
        """Return an object's bytes; ``None`` if it does not exist."""

    def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    def list_boxes(self) -> list[ListedBox]:
        """Return the boxes that the platform lists as live, which may be outdated."""
