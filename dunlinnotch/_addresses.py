"""Splitting of ``host:port`` addresses."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dunlinnotch.types import Address

MAX_PORT = 65_535


class HostPort(NamedTuple):
    """A host without brackets and a port, as socket functions expect them."""

    host: str
    port: int


def split_address(address: Address) -> HostPort:
    """Return the host and the port of a valid ``host:port`` address."""
    host, _, port = address.rpartition(":")
    return HostPort(host.strip("[]"), int(port))


def is_ipv4_address(text: str) -> bool:
    """Return whether a text is an IPv4 address with a port, as in 10.0.0.1:80."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
        return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
    except ValueError:
        return False
