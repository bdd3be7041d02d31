"""The operator's document, as the users' operators write it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """One route of the document.

    Parameters
    ----------
    name, prefix, service : str
    kind : str
        ``safe``, ``unsafe`` or ``upload``.
    target_latency_ms, timeout_ms : float
    attempts, priority : int
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
    """Return a whole configuration."""
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
