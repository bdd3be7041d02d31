"""Routing of requests: request kinds by host and path prefix, and their services."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds, Version


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of one service among those that serve a request kind."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One request kind with its settings.

    Parameters
    ----------
    name : str
    host, prefix : str
        The kind matches requests of this host (lower case) whose path has this prefix.
    idempotent : bool
        Whether a request is safe to retry after it may have run.
    upload : bool
        Whether requests usually have large bodies.
    timeout : float
        Maximum time for a request, in seconds.
    target_latency : float
        Time within which an answer has its full value to the caller, in seconds.
    attempts : int
        Maximum number of targets to which one request is sent.
    rank : int
        Priority; 0 is the most urgent.
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
        """Return the service at a fraction of the summed weights.

        Parameters
        ----------
        point : float
            From 0 to 1; a uniformly random value selects services by weight.
        """
        total = sum(share.weight for share in self.shares)
        remaining = point * total
        for share in self.shares:
            if remaining < share.weight:
                return share.service
            remaining -= share.weight
        return max(self.shares, key=lambda share: share.weight).service


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """Settings of one service.

    Parameters
    ----------
    name : str
    probe_path : str
        Path of the targets' health check.
    connections : int
        Maximum number of connections that one target accepts from all boxes together.
    """

    name: str
    probe_path: str
    connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for callers' requests.

    Parameters
    ----------
    head_bytes, body_bytes : int
        Maximum size of a request's head and body.
    head_s : float
        Timeout for receiving a head, in seconds.
    idle_s : float
        Timeout of an idle connection, in seconds.
    """

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

    @property
    def routed_services(self) -> set[str]:
        """Services that requests may go to."""
        return {share.service for kind in self.kinds for share in kind.shares}

    def __post_init__(self) -> None:
        for kind in sorted(self.kinds, key=lambda kind: -len(kind.prefix)):
            self._by_host.setdefault(kind.host, []).append(kind)

    def match(self, host: str, path: str) -> RequestKind | None:
        """Return the kind of the host with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; a port is ignored, and so is letter case.
        path : str
            Path of the request; a query is ignored.
        """
        name = host.lower()
        if name.count(":") == 1:
            name = name.partition(":")[0]
        path_only = path.partition("?")[0]
        for kind in self._by_host.get(name, ()):
            if path_only.startswith(kind.prefix):
                return kind
        return None
