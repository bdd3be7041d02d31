"""Peers' datagrams, and the streams on which tables are fetched."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

import msgpack

from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.crashes import CrashReport
from dunlinnotch.protocol.mesh import (
    Heartbeat,
    pack_delta,
    pack_messages,
    unpack_delta,
    unpack_messages,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dunlinnotch.state.table_replica import TableDelta
    from dunlinnotch.types import Address, Seconds

    #: Given a table, a version and its era, returns the changes since and their age in ms.
    DeltaReader = Callable[[str, int, int], tuple[TableDelta, int]]

_MAX_REQUEST_BYTES = 4096
_MAX_TABLE_BYTES = 32 * 1024 * 1024
_READ_SIZE_BYTES = 64 * 1024
#: Time for a peer to ask once it has connected, in seconds.
_REQUEST_TIMEOUT_S = 2.0


class GossipPort(asyncio.DatagramProtocol):
    """Send and receive words, and evidence on requests.

    Parameters
    ----------
    on_heartbeat, on_crash_report : callable
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The loop's own class does not say that it is one.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Take in messages; anything else is counted."""
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
        """Do nothing: a peer that is not there is noticed by its silence."""

    def send(self, messages: Iterable[Heartbeat | CrashReport], to: Iterable[Address]) -> None:
        """Send messages to some peers."""
        if self._transport is None:
            return
        datagrams = list(pack_messages(messages))
        for address in to:
            host, _, port = address.rpartition(":")
            for data in datagrams:
                self._transport.sendto(data, (host, int(port)))
                self.sent_bytes += len(data)


class TablePort:
    """Tell peers that ask what changed in a table.

    Parameters
    ----------
    read_delta : callable
    """

    def __init__(self, read_delta: DeltaReader) -> None:
        self._read_delta = read_delta
        self._server: asyncio.Server | None = None
        self.sent_bytes = 0

    async def listen(self, address: Address) -> None:
        """Begin to listen."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def close(self) -> None:
        """Take no more questions."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(_REQUEST_TIMEOUT_S):
                question = await _read_object(reader, _MAX_REQUEST_BYTES)
            delta, age_ms = self._read_delta(
                str(question["t"]), int(question["v"]), int(question["e"])
            )
            data: bytes = msgpack.packb(pack_delta(delta, age_ms=age_ms))
            writer.write(data)
            self.sent_bytes += len(data)
            await writer.drain()
        except (TimeoutError, OSError, ProtocolError, KeyError, ValueError, TypeError):
            pass  # A peer that asks nothing sensible, or left, is not answered.
        finally:
            writer.close()


async def fetch_table(
    address: Address, table: str, version: int, *, epoch: int, timeout: Seconds
) -> tuple[TableDelta, int]:
    """Ask a peer for what changed in a table after a version of an era.

    Raises
    ------
    ProtocolError, OSError, TimeoutError
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(msgpack.packb({"t": table, "v": version, "e": epoch}))
            return unpack_delta(await _read_object(reader, _MAX_TABLE_BYTES))
        finally:
            writer.close()


async def _read_object(reader: asyncio.StreamReader, most: int) -> Any:  # noqa: ANN401
    unpacker = msgpack.Unpacker(max_buffer_size=most)
    while True:
        data = await reader.read(_READ_SIZE_BYTES)
        if not data:
            msg = "the stream ended inside an object"
            raise ProtocolError(msg)
        try:
            unpacker.feed(data)
            return unpacker.unpack()
        except msgpack.OutOfData:
            continue
        except (ValueError, msgpack.UnpackException) as error:
            msg = f"no msgpack object: {error}"
            raise ProtocolError(msg) from None
