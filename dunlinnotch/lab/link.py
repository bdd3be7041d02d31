"""A loopback TCP proxy that simulates network faults on a link."""

from __future__ import annotations

import asyncio
import contextlib
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Address

_CHUNK_BYTES = 64 * 1024


class LinkState(StrEnum):
    """How a link treats its connections."""

    PASS = "pass"
    #: Connections stay open, and bytes are held back until the link passes them again.
    SILENT = "silent"
    #: Open and new connections are reset.
    RESET = "reset"
    #: Open connections pass bytes, and new ones are reset.
    RESET_NEW = "reset-new"


class FaultyLink:
    """Forward bytes between clients and one address, with faults on demand.

    Parameters
    ----------
    target : str
        Address to which connections are forwarded.

    Attributes
    ----------
    address : str
        Address that the link listens on; empty until it is started.
    state : LinkState
    """

    def __init__(self, target: Address) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        #: Both ends of each connection, with the IP address of its client.
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        self._client_states: dict[str, LinkState] = {}
        self.state = LinkState.PASS
        self.address = ""

    async def start(self) -> Address:
        """Listen on a free loopback port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self._abort_connections()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_state(self, state: LinkState) -> None:
        """Change how the link treats its open and new connections."""
        self.state = state
        if state is LinkState.RESET:
            self._abort_connections()
        self._wake()

    def set_client_state(self, ip: str, state: LinkState) -> None:
        """Change how the link treats the connections of one client.

        Parameters
        ----------
        ip : str
            IP address from which the client connects.
        state : LinkState
            Holds besides the state for all clients, if that is worse.
        """
        self._client_states[ip] = state
        if state is LinkState.RESET:
            self._abort_connections(ip)
        self._wake()

    def _state_for(self, ip: str) -> LinkState:
        if self.state is not LinkState.PASS:
            return self.state
        return self._client_states.get(ip, LinkState.PASS)

    def _abort_connections(self, ip: str | None = None) -> None:
        for writer, client in list(self._writers.items()):
            if ip is None or client == ip:
                writer.transport.abort()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _wait_until_passing(self, ip: str) -> None:
        while self._state_for(ip) is LinkState.SILENT:
            await self._changed.wait()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        ip = str(writer.get_extra_info("peername")[0])
        self._tasks.add(task)
        self._writers[writer] = ip
        try:
            if self._state_for(ip) in (LinkState.RESET, LinkState.RESET_NEW):
                writer.transport.abort()
            else:
                await self._forward(reader, writer, ip)
        except (OSError, asyncio.CancelledError):
            # A broken connection on one side must appear as broken on the other.
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.pop(writer, None)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ip: str
    ) -> None:
        await self._wait_until_passing(ip)
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        self._writers[target_writer] = ip
        copies = {
            asyncio.ensure_future(self._copy(reader, target_writer, ip)),
            asyncio.ensure_future(self._copy(target_reader, writer, ip)),
        }
        try:
            # A half-closed connection may still receive its answer; an error closes both.
            await asyncio.wait(copies, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            self._writers.pop(target_writer, None)
            with contextlib.suppress(OSError):
                target_writer.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ip: str
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            await self._wait_until_passing(ip)
            writer.write(data)
            await writer.drain()
        await self._wait_until_passing(ip)
        if writer.can_write_eof() and not writer.is_closing():
            writer.write_eof()
