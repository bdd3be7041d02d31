"""Probe targets for their health and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3
from urllib3.exceptions import HTTPError

from dunlinnotch.transport.targets import parse_load_report

if TYPE_CHECKING:
    from dunlinnotch.protocol.attempt import LoadReport
    from dunlinnotch.types import Address

#: Path at which targets answer probes.
HEALTH_PATH = "/health"
#: Timeout of a probe, in seconds.
PROBE_TIMEOUT_S = 0.5

_http = urllib3.PoolManager(retries=False, timeout=PROBE_TIMEOUT_S, headers={"Connection": "close"})


def probe(target: Address) -> LoadReport | None:
    """Return the load and state that a target reports, or ``None`` if it does not answer."""
    try:
        response = _http.request("GET", f"http://{target}{HEALTH_PATH}")
    except (HTTPError, OSError):
        return None
    return parse_load_report(response)
