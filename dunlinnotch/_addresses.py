"""Splitting of ``host:port`` addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from dunlinnotch.types import Address


class HostPort(NamedTuple):
    """A host without brackets and a port, as socket functions expect them."""

    host: str
    port: int


def split_address(address: Address) -> HostPort:
    """Return the host and the port of a valid ``host:port`` address."""
    host, _, port = address.rpartition(":")
    return HostPort(host.strip("[]"), int(port))
