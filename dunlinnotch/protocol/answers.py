"""The answer to a caller that asks which addresses to use, and once-keys."""

from __future__ import annotations

import re
from dataclasses import dataclass

from dunlinnotch._wire import wire
from dunlinnotch.types import Address, Seconds, Version

#: Where a caller asks for addresses.
ADDRESSES_PATH = "/.dunlinnotch/addresses"

_KEY = re.compile(r"^([A-Za-z0-9_.-]{1,64})~(\d{1,20})~(\d{1,16})~([\x21-\x7d]{1,128})$")


@wire
@dataclass(frozen=True, slots=True)
class AddressEntry:
    """One box that the caller may use.

    Parameters
    ----------
    box, place : str
    address : str
    once_stem : str
        Prefix of once-keys that this box will run; the caller appends a part
        that it never uses twice.
    """

    box: str
    place: str
    address: Address
    once_stem: str


@wire
@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Boxes in the order in which to use them.

    Parameters
    ----------
    addresses : tuple of AddressEntry
    keep_s : float
        Seconds for which the caller may keep this answer.
    version : int
        Settings version that it was made from.
    """

    addresses: tuple[AddressEntry, ...]
    keep_s: Seconds
    version: Version


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A key that names the one box incarnation that may run a request.

    Parameters
    ----------
    box : str
    incarnation : int
    issued_ms : int
        The box's own monotonic clock when it or a peer minted the stem.
    suffix : str
        The caller's part.
    """

    box: str
    incarnation: int
    issued_ms: int
    suffix: str


def idempotency_prefix(box: str, incarnation: int, issued: Seconds) -> str:
    """Return the stem of once-keys for one incarnation of a box."""
    return f"{box}~{incarnation}~{int(issued * 1000)}~"


def parse_idempotency_key(text: str) -> IdempotencyKey | None:
    """Return the parts of a once-key, or None if it has another form."""
    match = _KEY.match(text)
    if match is None:
        return None
    box, incarnation, issued, suffix = match.groups()
    return IdempotencyKey(box, int(incarnation), int(issued), suffix)
