"""Ask a target for its health and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import urllib3
from urllib3.exceptions import HTTPError

from dunlinnotch.transport.targets import parse_load_report

if TYPE_CHECKING:
    from dunlinnotch.protocol.attempt import LoadReport
    from dunlinnotch.types import Address

#: Where targets answer probes.
HEALTH_PATH = "/health"
#: Seconds after which a probe is given up.
PROBE_S = 0.5

_http = urllib3.PoolManager(retries=False, timeout=PROBE_S, headers={"Connection": "close"})


def probe(target: Address) -> LoadReport | None:
    """Return what a target says of itself, or None if it does not answer."""
    try:
        response = _http.request("GET", f"http://{target}{HEALTH_PATH}")
    except (HTTPError, OSError):
        return None
    return parse_load_report(response)
