"""Request kinds matched by host and path prefix, and the services that take them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds, Version


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service's part of a request kind."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One request kind and what an operator wants for it.

    Parameters
    ----------
    name : str
    host, prefix : str
        Requests of this host (lower case) whose path begins so.
    idempotent : bool
        Whether a request may run more than once without harm.
    upload : bool
        Whether large bodies are usual.
    timeout : float
        Longest time to hold a request, in seconds.
    target_latency : float
        Time within which an answer is of full use, in seconds.
    attempts : int
        Most targets that one request may be sent to.
    rank : int
        0 is the most urgent.
    shares : tuple of ServiceShare
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    upload: bool
    timeout: Seconds
    target_latency: Seconds
    attempts: int
    rank: int
    shares: tuple[ServiceShare, ...]

    def service_at(self, point: float) -> str:
        """Return the service at ``point`` (from 0 to 1) of the shares laid end to end."""
        total = sum(share.weight for share in self.shares)
        left = point * total
        for share in self.shares:
            if left < share.weight:
                return share.service
            left -= share.weight
        return max(self.shares, key=lambda share: share.weight).service


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """What an operator says of a service.

    Parameters
    ----------
    name : str
    probe_path : str
        Path of the targets' health check.
    connections : int
        Connections that one target accepts from all boxes together.
    """

    name: str
    probe_path: str
    connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, in bytes and seconds."""

    head_bytes: int = 16384
    body_bytes: int = 64 * 1024 * 1024
    head_s: Seconds = 5.0
    idle_s: Seconds = 60.0


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All request kinds and services of one settings version."""

    version: Version
    kinds: tuple[RequestKind, ...]
    services: dict[str, ServiceInfo]
    limits: CallerLimits
    _by_host: dict[str, list[RequestKind]] = field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        for kind in sorted(self.kinds, key=lambda kind: -len(kind.prefix)):
            self._by_host.setdefault(kind.host, []).append(kind)

    def match(self, host: str, path: str) -> RequestKind | None:
        """Return the kind with the longest prefix that begins ``path``, or None.

        Parameters
        ----------
        host : str
            As in the request's header; a port and upper case do not matter.
        path : str
            With or without a query.
        """
        name = host.lower()
        if name.count(":") == 1:
            name = name.partition(":")[0]
        bare = path.partition("?")[0]
        for kind in self._by_host.get(name, ()):
            if bare.startswith(kind.prefix):
                return kind
        return None
