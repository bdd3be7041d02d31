"""A loopback proxy that stands on a link and does to it what networks do."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Address

_CHUNK = 64 * 1024


class LinkState(StrEnum):
    """What a link does."""

    PASS = "pass"
    #: What is sent is kept back; nothing is said.
    SILENT = "silent"
    #: Connections are reset, new ones too.
    RESET = "reset"


class FaultyLink:
    """Pass bytes on between whoever connects and one address.

    Parameters
    ----------
    target : str
        Address that is reached through this link.
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._passing = asyncio.Event()
        self._passing.set()
        self.state = LinkState.PASS
        self.address = ""

    async def start(self) -> Address:
        """Begin to listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """End all connections and listen no more."""
        if self._server is not None:
            self._server.close()
        self._reset()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_state(self, state: LinkState) -> None:
        """Change what the link does from now on."""
        self.state = state
        if state is LinkState.RESET:
            self._reset()
        if state is LinkState.SILENT:
            self._passing.clear()
        else:
            self._passing.set()

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self.state is LinkState.RESET:
                writer.transport.abort()
            else:
                await self._join(reader, writer)
        except (OSError, asyncio.CancelledError):
            # An end that broke is what the other end sees too.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._passing.wait()
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._writers.add(far_writer)
        pumps = {
            asyncio.ensure_future(self._pump(reader, far_writer)),
            asyncio.ensure_future(self._pump(far_reader, writer)),
        }
        try:
            # One end may close its half and still be answered; an error ends both.
            await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._writers.discard(far_writer)
            with contextlib.suppress(OSError):
                far_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(_CHUNK):
            await self._passing.wait()
            writer.write(data)
            await writer.drain()
        await self._passing.wait()
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()
