"""What the stand-ins share: a server with a port for faults beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch import _codec
from dunlinnotch._addresses import split_address
from dunlinnotch._signals import EndSignals
from dunlinnotch.errors import DunlinnotchError
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.server import HeadRefusal, HttpServer

if TYPE_CHECKING:
    from dunlinnotch.protocol.outcome import Reason
    from dunlinnotch.transport.exchange import Exchange
    from dunlinnotch.transport.server import Handler
    from dunlinnotch.types import Address

JSON = Header("Content-Type", "application/json")


def refuse_head(reason: Reason, detail: str) -> HeadRefusal:
    """Return the answer to a head that can't be used."""
    return HeadRefusal(400, [JSON], f"{reason}: {detail}".encode())


def serve(handler: Handler, address: Address) -> HttpServer:
    """Serve ``handler`` at ``host:port`` (port 0: one from the kernel)."""
    server = HttpServer(split_address(address), handler, refuse_head, idle_timeout_s=600.0)
    server.start_in_background()
    return server


def send(exchange: Exchange, status: int, value: object, *headers: Header) -> None:
    """Answer with JSON."""
    exchange.reply(status, [JSON, *headers], _codec.to_json(value))


def guarded(handler: Handler) -> Handler:
    """Return a handler that answers bad input with 400."""

    def checked(exchange: Exchange) -> None:
        try:
            handler(exchange)
        except DunlinnotchError as error:
            send(exchange, 400, str(error))

    return checked


def body_of(exchange: Exchange) -> bytes:
    """Return the whole body of a request."""
    return b"".join(exchange.body())


def run_until_signal() -> None:
    """Wait for the signal that ends a stand-in."""
    EndSignals().wait()
