"""The configuration document that operators write to the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """One route of the configuration document.

    Parameters
    ----------
    name, prefix, service : str
    kind : str
        Route type: ``safe``, ``unsafe`` or ``upload``.
    target_latency_ms, timeout_ms : float
    attempts : int
        Maximum number of attempts for each request.
    priority : int
    """

    name: str
    prefix: str
    service: str
    kind: str
    target_latency_ms: float = 1000.0
    timeout_ms: float = 4000.0
    attempts: int = 3
    priority: int = 1


def operator_document(
    version: int, *, host: str, routes: list[RoutePlan], services: list[str]
) -> dict[str, Any]:
    """Return a complete configuration document.

    Parameters
    ----------
    version : int
        Number of the version, without its prefix.
    host : str
        Host name that all routes match.
    routes : list of RoutePlan
    services : list of str
        Names of services; each has the health path ``/health``.
    """
    return {
        "version": f"r{version}",
        "routes": [
            {
                "name": route.name,
                "host": host,
                "path-prefix": route.prefix,
                "service": route.service,
                "route-type": route.kind,
                "timeout": f"{route.timeout_ms:g}ms",
                "target-latency": f"{route.target_latency_ms:g}ms",
                "max-attempts": route.attempts,
                "priority": route.priority,
            }
            for route in routes
        ],
        "services": [{"name": name, "health-path": "/health"} for name in services],
        "limits": {},
    }
