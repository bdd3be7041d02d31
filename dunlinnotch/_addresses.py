"""Take ``host:port`` texts apart."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dunlinnotch.types import Address


class HostPort(NamedTuple):
    """A host without brackets and a port, as sockets take them."""

    host: str
    port: int


def split_address(address: Address) -> HostPort:
    """Return the host and the port of a checked ``host:port``."""
    host, _, port = address.rpartition(":")
    return HostPort(host.strip("[]"), int(port))
