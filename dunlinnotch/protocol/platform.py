"""What the platform offers: table service, object store, list of boxes."""

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
        Grows with each write to the row; 0 stands for a row that isn't there.
    value : str
    """

    key: str
    version: int
    value: str


@wire
@dataclass(frozen=True, slots=True)
class Check:
    """A row must have this version for a transaction to take effect."""

    key: str
    version: int


@wire
@dataclass(frozen=True, slots=True)
class Put:
    """A row gets this value if the transaction takes effect."""

    key: str
    value: str


@wire
@dataclass(frozen=True, slots=True)
class Transaction:
    """All puts take effect together, or none if a check fails."""

    checks: tuple[Check, ...]
    puts: tuple[Put, ...]


class TransactResult(StrEnum):
    """What the table says of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"


@wire
@dataclass(frozen=True, slots=True)
class ListedBox:
    """One entry of the platform's list of boxes, which lags.

    Parameters
    ----------
    name : str
    peer : str
        Where its peers connect.
    leaving : bool, default False
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
    """The platform's service.

    Every method raises :class:`~dunlinnotch.errors.PlatformUnavailableError`
    when no usable answer came; a write may then have taken effect.
    """

    def read(self, key: str) -> Row | None:
        """Return a row, perhaps a stale one."""

    def scan(self, prefix: str, *, after: str, limit: int) -> list[Row]:
        """Return rows whose key starts with ``prefix`` and sorts after ``after``."""

    def transact(self, transaction: Transaction) -> TransactResult:
        """Apply a transaction."""

    def get_object(self, name: str) -> bytes | None:
        """Return an object's bytes."""

    def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""

    def list_boxes(self) -> list[ListedBox]:
        """Return the boxes that the platform believes to be live."""
