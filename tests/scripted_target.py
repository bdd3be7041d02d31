"""Test fixture: a target of which a test writes each answer, connection by connection."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.stream_world import StreamWorld

INSTANCE = "i-scripted"
#: Requests running and waiting, slots, and how long work takes, in percent of the usual time.
IDLE_LOAD = "0,0,6,100"

PART_BYTES = 1000


@dataclass(eq=False)
class Received:
    """A request or health check that the target has received.

    Parameters
    ----------
    request_id : str
        Empty for a health check.
    path : str
    connection : int
        Number of the connection, from 0.
    writer : asyncio.StreamWriter
    body_bytes : int
        Size of the received part of its body.
    body_read : asyncio.Event
        Set once the body has been received.
    """

    request_id: str
    path: str
    connection: int
    writer: asyncio.StreamWriter
    body_bytes: int = 0
    body_read: asyncio.Event = field(default_factory=asyncio.Event)

    def send(self, data: bytes) -> None:
        """Write bytes on the connection of this request."""
        if not self.writer.is_closing():
            self.writer.write(data)

    def success(self, body: bytes = b"done") -> bytes:
        """Return a complete success."""
        return self._answer(200, f"Response-Seal: seal-{self.request_id}", body=body)

    def failure(self) -> bytes:
        """Return the failure of a request that ran."""
        return self._answer(500, f"Response-Seal: seal-{self.request_id}", body=b"failed")

    def refusal(self) -> bytes:
        """Return a refusal that is marked as not run."""
        return self._answer(503, "Not-Executed: 1")

    def health(self, load: str = IDLE_LOAD) -> bytes:
        """Return the answer to a health check of a healthy target."""
        return self._answer(200, f"Instance-Id: {INSTANCE}", f"Instance-Load: {load}")

    def _answer(self, status: int, *lines: str, body: bytes = b"") -> bytes:
        head = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}", *lines]
        if self.request_id:
            head.append(f"Attempt-Id: {self.request_id}")
        return ("\r\n".join(head) + "\r\n\r\n").encode() + body


@dataclass
class ScriptedTarget:
    """A target that leaves its answers to a test.

    Parameters
    ----------
    holds_probes : bool, default False
        Whether health checks are left to the test as well; else they are answered at once.
    closes_at_end : bool, default True
        Whether a connection is closed as soon as the box has closed its side.
    answers_early : bool, default False
        Whether a request is left to the test before its body has been read.
    """

    holds_probes: bool = False
    address: str = ""
    received: asyncio.Queue[Received] = field(default_factory=asyncio.Queue)
    closes_at_end: bool = True
    answers_early: bool = False
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    probes: list[Received] = field(default_factory=list)

    async def next_request(self) -> Received:
        """Wait for the next request, or health check that the target holds."""
        return await self.received.get()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the requests of one connection until it ends."""
        connection = len(self.writers)
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                received, length, chunked = await _read_head(reader, writer, connection)
                if self.answers_early:
                    self._take(received)
                await _read_body(received, reader, length, chunked=chunked)
                if not self.answers_early:
                    self._take(received)
        if self.closes_at_end:
            writer.close()

    def close(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.close()

    def _take(self, received: Received) -> None:
        if not received.request_id:
            self.probes.append(received)
        if received.request_id or self.holds_probes:
            self.received.put_nowait(received)
        else:
            received.send(received.health())


async def _read_head(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: int
) -> tuple[Received, int, bool]:
    """Return a request, the length of its body, still to be read, and whether it is chunked."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.strip().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    request_id = headers.get("attempt-id", "")
    received = Received(request_id, first.split()[1], connection, writer)
    return received, int(headers.get("content-length", "0")), "transfer-encoding" in headers


async def _read_body(
    received: Received, reader: asyncio.StreamReader, length: int, *, chunked: bool
) -> None:
    while chunked and (size := int(await reader.readuntil(b"\r\n"), 16)):
        await reader.readexactly(size + 2)
        received.body_bytes += size
    if chunked:
        await reader.readuntil(b"\r\n")
    while received.body_bytes < length:
        part = await reader.readexactly(min(length - received.body_bytes, PART_BYTES))
        received.body_bytes += len(part)
    received.body_read.set()


def row(address: str, service: str) -> dict[str, object]:
    """Return the row with which the target is listed."""
    info = {"service": service, "version": "v1", "zone": "hall-a", "capacity": 6}
    status = {"state": "ready", "sequence": 1, "warmup-left": "0ms"}
    return {"address": address, "info": info, "status": status}


@contextlib.asynccontextmanager
async def scripted_target(
    world: StreamWorld, *, service: str = "loans", holds_probes: bool = False
) -> AsyncIterator[ScriptedTarget]:
    """Run a scripted target that all boxes of a world list as the service's only one."""
    target = ScriptedTarget(holds_probes)
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    target.address = f"{host}:{port}"
    world.store.put("servers", INSTANCE, row(target.address, service))
    try:
        async with asyncio.timeout(20.0):
            while not all(
                any(i.name == INSTANCE for i in box.instances.for_service(service))
                for box in world.boxes
            ):
                await asyncio.sleep(0.005)
        yield target
    finally:
        server.close()
        target.close()
