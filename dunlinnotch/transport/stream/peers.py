"""Messages between peers: datagrams for gossip, and streams for fetching tables."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any, cast

import msgpack

from dunlinnotch._logs import event
from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.crashes import CrashReport
from dunlinnotch.protocol.mesh import (
    Heartbeat,
    join_messages,
    pack_delta,
    pack_message,
    unpack_delta,
    unpack_messages,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from dunlinnotch.state.table_replica import TableDelta
    from dunlinnotch.types import Address, Seconds

    #: Takes a table, a version and the epoch of the version; returns the changes since then and
    #: the age of the table in ms (negative if the table has not been received yet).
    DeltaReader = Callable[[str, int, int], tuple[TableDelta, int]]

_MAX_REQUEST_BYTES = 4096
_MAX_TABLE_BYTES = 32 * 1024 * 1024
_READ_SIZE_BYTES = 64 * 1024
#: Time within which a peer that has connected must send its request, in seconds.
_REQUEST_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


class GossipPort(asyncio.DatagramProtocol):
    """Send and receive heartbeats and crash reports as datagrams.

    Parameters
    ----------
    on_heartbeat, on_crash_report : callable
        Called with each message received.

    Attributes
    ----------
    sent_bytes : int
        Number of bytes sent so far.
    malformed_datagrams : int
        Number of datagrams received that could not be parsed.
    unsent_messages : int
        Number of messages that could not be packed, and were left out.

    Notes
    -----
    What a box tells its peers is best effort: a message that can't be sent is logged and
    counted, and the box and its other messages go on.
    """

    def __init__(
        self,
        on_heartbeat: Callable[[Heartbeat], None],
        on_crash_report: Callable[[CrashReport], None],
    ) -> None:
        self._on_heartbeat = on_heartbeat
        self._on_crash_report = on_crash_report
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.malformed_datagrams = 0
        self.unsent_messages = 0
        self._logged_reason = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # Cast, because the class that the event loop uses is no subclass of DatagramTransport.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass on the messages of a datagram; count datagrams that can't be parsed."""
        try:
            messages = unpack_messages(data)
        except ProtocolError:
            self.malformed_datagrams += 1
            return
        for message in messages:
            if isinstance(message, CrashReport):
                self._on_crash_report(message)
            else:
                self._on_heartbeat(message)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: a peer that can't be reached is noticed by its missing heartbeats."""

    def send(self, messages: Iterable[Heartbeat | CrashReport], to: Iterable[Address]) -> None:
        """Send messages to all addresses listed, without those that can't be packed."""
        if self._transport is None:
            return
        datagrams = list(join_messages(self._pack(messages)))
        for address in to:
            host, _, port = address.rpartition(":")
            for data in datagrams:
                self._transport.sendto(data, (host, int(port)))
                self.sent_bytes += len(data)

    def _pack(self, messages: Iterable[Heartbeat | CrashReport]) -> Iterator[bytes]:
        for message in messages:
            try:
                packed = pack_message(message)
            except ProtocolError as error:
                self._record_unsent(str(error))
            else:
                yield packed

    def _record_unsent(self, reason: str) -> None:
        """Count a message that was left out; log the reason unless it is the last one logged."""
        self.unsent_messages += 1
        if reason != self._logged_reason:
            self._logged_reason = reason
            event(_log, "message-unsent", level=logging.ERROR, detail=reason)


class TablePort:
    """Server from which peers fetch the changes of a table.

    Parameters
    ----------
    read_delta : callable
        Returns the changes of a table; see :data:`DeltaReader`.

    Attributes
    ----------
    sent_bytes : int
        Number of bytes sent so far.
    """

    def __init__(self, read_delta: DeltaReader) -> None:
        self._read_delta = read_delta
        self._server: asyncio.Server | None = None
        self.sent_bytes = 0

    async def listen(self, address: Address) -> None:
        """Start to listen on an address."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        """Stop listening; requests in progress are still answered."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                request = await _read_object(reader, _MAX_REQUEST_BYTES)
            delta, age_ms = self._read_delta(
                str(request["t"]), int(request["v"]), int(request["e"])
            )
            data: bytes = msgpack.packb(pack_delta(delta, age_ms=age_ms))
            writer.write(data)
            self.sent_bytes += len(data)
            await writer.drain()
        except (TimeoutError, OSError, ProtocolError, KeyError, ValueError, TypeError):
            pass  # The request is invalid or the peer has gone: close without an answer.
        finally:
            writer.close()


async def fetch_table(
    address: Address, table: str, version: int, *, epoch: int, timeout: Seconds
) -> tuple[TableDelta, int]:
    """Fetch the changes of a table from a peer.

    Parameters
    ----------
    address : str
        Address of the peer.
    table : str
        Name of the table.
    version, epoch : int
        Version that this box has, and the epoch of the store to which it belongs.
    timeout : float
        Seconds for the whole request, including connecting.

    Returns
    -------
    delta : TableDelta
        Changes since the version.
    age_ms : int
        Age of the table at the peer in ms; negative if the peer does not have it.

    Raises
    ------
    ProtocolError
        If the answer is malformed.
    OSError
        If the connection fails.
    TimeoutError
        If there is no complete answer in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(msgpack.packb({"t": table, "v": version, "e": epoch}))
            return unpack_delta(await _read_object(reader, _MAX_TABLE_BYTES))
        finally:
            writer.close()


async def _read_object(reader: asyncio.StreamReader, max_bytes: int) -> Any:  # noqa: ANN401
    unpacker = msgpack.Unpacker(max_buffer_size=max_bytes)
    while True:
        data = await reader.read(_READ_SIZE_BYTES)
        if not data:
            msg = "the connection was closed before a complete msgpack object was received"
            raise ProtocolError(msg)
        try:
            unpacker.feed(data)
            return unpacker.unpack()
        except msgpack.OutOfData:
            continue
        except (ValueError, msgpack.UnpackException) as error:
            msg = f"invalid msgpack object: {error}"
            raise ProtocolError(msg) from None
