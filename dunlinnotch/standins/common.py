"""HTTP server helpers shared by the stand-ins."""

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

JSON_CONTENT_TYPE = Header("Content-Type", "application/json")


def refuse_head(reason: Reason, detail: str) -> HeadRefusal:
    """Return the 400 answer to an invalid request head."""
    return HeadRefusal(400, [JSON_CONTENT_TYPE], f"{reason}: {detail}".encode())


def serve(handler: Handler, address: Address) -> HttpServer:
    """Start a server for ``handler`` in the background.

    Parameters
    ----------
    handler : Handler
    address : str
        As ``host:port``; port 0 lets the kernel choose a port.

    Returns
    -------
    HttpServer
    """
    server = HttpServer(split_address(address), handler, refuse_head, idle_timeout_s=600.0)
    server.start_in_background()
    return server


def send_json(exchange: Exchange, status: int, value: object, *headers: Header) -> None:
    """Send an answer whose body is a value as JSON."""
    exchange.reply(status, [JSON_CONTENT_TYPE, *headers], _codec.to_json(value))


def with_error_answers(handler: Handler) -> Handler:
    """Return a handler that answers an invalid request with status 400 and the error."""

    def handle(exchange: Exchange) -> None:
        try:
            handler(exchange)
        except DunlinnotchError as error:
            send_json(exchange, 400, str(error))

    return handle


def read_body(exchange: Exchange) -> bytes:
    """Return the complete body of a request."""
    return b"".join(exchange.body())


def run_until_signal() -> None:
    """Block until the process receives a signal to terminate."""
    EndSignals().wait()
