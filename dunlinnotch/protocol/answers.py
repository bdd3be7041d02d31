"""Answers to callers that request addresses of boxes, and idempotency keys."""

from __future__ import annotations

import re
from dataclasses import dataclass

from dunlinnotch._wire import wire
from dunlinnotch.types import Address, Seconds, Version

#: Path at which a caller requests addresses.
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
        Prefix of the idempotency keys that this box accepts; the caller appends a
        suffix that it uses only once.
    """

    box: str
    place: str
    address: Address
    once_stem: str


@wire
@dataclass(frozen=True, slots=True)
class AddressAnswer:
    """Addresses of boxes, in the order of preference.

    Parameters
    ----------
    addresses : tuple of AddressEntry
    keep_s : float
        Seconds for which the caller may use this answer.
    version : int
        Settings version that the answer is based on.
    """

    addresses: tuple[AddressEntry, ...]
    keep_s: Seconds
    version: Version


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Key of a request, which names the one incarnation of a box that may run it.

    Parameters
    ----------
    box : str
    incarnation : int
    issued_ms : int
        Milliseconds of that box's monotonic clock when the prefix was issued.
    suffix : str
        Part that the caller appended.
    """

    box: str
    incarnation: int
    issued_ms: int
    suffix: str


def idempotency_prefix(box: str, incarnation: int, issued: Seconds) -> str:
    """Return the prefix of idempotency keys for one incarnation of a box.

    Parameters
    ----------
    box : str
    incarnation : int
    issued : float
        Seconds of the box's monotonic clock.
    """
    return f"{box}~{incarnation}~{int(issued * 1000)}~"


def parse_idempotency_key(text: str) -> IdempotencyKey | None:
    """Return the parts of an idempotency key, or None if it has another form."""
    match = _KEY.match(text)
    if match is None:
        return None
    box, incarnation, issued, suffix = match.groups()
    return IdempotencyKey(box, int(incarnation), int(issued), suffix)
