"""HTTP endpoints of a box for the platform and clients: directory, readiness and metrics."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from dunlinnotch.platform.units import as_text
from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    from dunlinnotch.daemon.entry import EntryBox
    from dunlinnotch.transport.stream.server import Exchange

RESOLVE_PATH, READINESS_PATH, METRICS_PATH = "/api/resolve", "/api/readiness", "/metrics"
#: Maximum number of addresses in one answer.
_MAX_ADDRESSES = 64
#: Maximum time for which a client may cache an answer, in seconds.
_MAX_TTL_S = 5.0

_JSON = (Header("Content-Type", "application/json"),)
_TEXT = (Header("Content-Type", "text/plain; version=0.0.4"),)


class Endpoints:
    """Serve requests that are not forwarded to a worker.

    Parameters
    ----------
    box : EntryBox
    max_ttl : float
        Maximum time for which the platform lets clients cache an answer, in seconds.
    """

    def __init__(self, box: EntryBox, *, max_ttl: float) -> None:
        self._box = box
        self._ttl = as_text(min(_MAX_TTL_S, max_ttl))

    async def directory(self, exchange: Exchange) -> None:
        """Return the addresses of the boxes that a client should use."""
        path, _, query = exchange.path.partition("?")
        if path != RESOLVE_PATH:
            exchange.reply(404, (), b"")
            return
        place = parse_qs(query).get("zone", [""])[0]
        addresses = self._box.mesh.offered_addresses(place)[:_MAX_ADDRESSES]
        if not addresses or self._box.pause_detector.catching_up:
            exchange.reply(503, (Header("Retry-After", "0.2"),), b"")
            return
        body = json.dumps({"addresses": addresses, "ttl": self._ttl}).encode()
        exchange.reply(200, _JSON, body)

    async def readiness(self, exchange: Exchange) -> None:
        """Return whether the box accepts new requests, as status 200 or 503."""
        if exchange.path.partition("?")[0] != READINESS_PATH:
            exchange.reply(404, (), b"")
            return
        exchange.reply(200 if self._box.ready else 503, (), b"")

    async def control(self, exchange: Exchange) -> None:
        """Return the metrics of the box."""
        if exchange.path.partition("?")[0] != METRICS_PATH:
            exchange.reply(404, (), b"")
            return
        exchange.reply(200, _TEXT, self._box.text_metrics.text().encode())
