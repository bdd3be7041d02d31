"""Probe targets for their health and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from urllib3.exceptions import HTTPError

from dunlinnotch.transport.limited_answers import limited_pool_manager
from dunlinnotch.transport.targets import parse_load_report

if TYPE_CHECKING:
    from dunlinnotch.protocol.attempt import LoadReport
    from dunlinnotch.types import Address

#: Path at which targets answer probes.
HEALTH_PATH = "/health"
#: Timeout of a probe, in seconds.
PROBE_TIMEOUT_S = 0.5

_http = limited_pool_manager(timeout=PROBE_TIMEOUT_S, headers={"Connection": "close"})


def probe(target: Address) -> LoadReport | None:
    """Return the load and state that a target reports, or ``None`` if it does not answer."""
    try:
        # The body is not read: it may have no end.
        response = _http.request("GET", f"http://{target}{HEALTH_PATH}", preload_content=False)
    except (HTTPError, OSError):
        return None
    response.close()
    return parse_load_report(response)
