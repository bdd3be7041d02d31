"""What the platform and clients ask a box besides requests: directory, readiness, figures."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from dunlinnotch.platform.units import as_text
from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    from dunlinnotch.daemon.entry import EntryBox
    from dunlinnotch.transport.stream.server import Exchange

RESOLVE, READY, FIGURES = "/api/resolve", "/api/readiness", "/metrics"
#: Addresses that one answer may hold.
_ADDRESSES_MOST = 64
#: How long a client may keep an answer, in seconds.
_TTL_S = 5.0

_JSON = (Header("Content-Type", "application/json"),)
_TEXT = (Header("Content-Type", "text/plain; version=0.0.4"),)


class Doors:
    """Answer what is not a request for a worker.

    Parameters
    ----------
    box : EntryBox
    longest_ttl : float
        Longest time that a client may be told to keep an answer, in seconds.
    """

    def __init__(self, box: EntryBox, *, longest_ttl: float) -> None:
        self._box = box
        self._ttl = as_text(min(_TTL_S, longest_ttl))

    async def directory(self, exchange: Exchange) -> None:
        """Tell a client which boxes to use."""
        path, _, query = exchange.path.partition("?")
        if path != RESOLVE:
            exchange.reply(404, (), b"")
            return
        place = parse_qs(query).get("zone", [""])[0]
        addresses = self._box.mesh.offered_addresses(place)[:_ADDRESSES_MOST]
        if not addresses or self._box.pause_detector.catching_up:
            exchange.reply(503, (Header("Retry-After", "0.2"),), b"")
            return
        body = json.dumps({"addresses": addresses, "ttl": self._ttl}).encode()
        exchange.reply(200, _JSON, body)

    async def readiness(self, exchange: Exchange) -> None:
        """Tell the platform whether the box takes new work."""
        if exchange.path.partition("?")[0] != READY:
            exchange.reply(404, (), b"")
            return
        exchange.reply(200 if self._box.ready else 503, (), b"")

    async def control(self, exchange: Exchange) -> None:
        """Tell the box's own figures."""
        if exchange.path.partition("?")[0] != FIGURES:
            exchange.reply(404, (), b"")
            return
        exchange.reply(200, _TEXT, self._box.figures.text().encode())
