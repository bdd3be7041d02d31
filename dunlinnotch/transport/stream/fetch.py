"""HTTP client for services of the platform; reads complete answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.protocol.relay import NotSent
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.sends import UNNAMED
from dunlinnotch.transport.stream.common import request_head
from dunlinnotch.transport.stream.link_pool import LinkPool
from dunlinnotch.transport.stream.target_link import LinkBrokenError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.transport.stream.target_link import IncomingAnswer
    from dunlinnotch.types import Address, Seconds

#: Maximum size of the body of an answer; those of the services are pages of a few MiB at most.
MAX_BODY_BYTES = 32 * 1024 * 1024


class FetchedAnswer(NamedTuple):
    """A complete answer."""

    status: int
    headers: Sequence[Header]
    body: bytes


class Fetcher:
    """Send requests to one address, each on a connection of its own.

    Answers name no request, so on a connection that has carried another request, an answer
    could be that request's.

    Parameters
    ----------
    address : str
    max_links : int, default 8
        Maximum number of connections that are open at the same time.

    Attributes
    ----------
    calls, failures : int
        Number of requests so far, and of those that failed.
    """

    def __init__(self, address: Address, *, max_links: int = 8) -> None:
        self._pool = LinkPool(address, max_links=max_links)
        self._host = Header("Host", address)
        self.calls = 0
        self.failures = 0

    async def fetch(
        self, method: str, path: str, *, body: bytes = b"", timeout: Seconds
    ) -> FetchedAnswer:
        """Send a request and return the complete answer.

        Parameters
        ----------
        method, path : str
        body : bytes, optional
            Sent as JSON if not empty.
        timeout : float
            Seconds for the whole request, including connecting.

        Raises
        ------
        PlatformUnavailableError
            If no complete answer is received in time; the connection is then closed.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(timeout):
                return await self._fetch(method, path, body)
        except (TimeoutError, LinkBrokenError, BodyCutError) as error:
            self.failures += 1
            msg = f"{method} {path}: {str(error) or f'no answer within {timeout:g} s'}"
            raise PlatformUnavailableError(msg) from None

    async def _fetch(self, method: str, path: str, body: bytes) -> FetchedAnswer:
        link = await self._pool.connect()
        if isinstance(link, NotSent):
            raise LinkBrokenError(link.detail)
        try:
            headers = [self._host]
            if body:
                headers.append(Header("Content-Type", "application/json"))
            link.begin_send(UNNAMED)
            link.write(request_head(method, path, headers, length=len(body)) + body)
            incoming = await link.next_answer()
            data = await _read_body(incoming)
            return FetchedAnswer(incoming.status, incoming.headers, data)
        finally:
            self._pool.discard(link)


async def _read_body(incoming: IncomingAnswer) -> bytes:
    data = bytearray()
    async for part in incoming.parts():
        data += part
        if len(data) > MAX_BODY_BYTES:
            msg = f"the body of the answer exceeds {MAX_BODY_BYTES} bytes, the maximum"
            raise BodyCutError(msg)
    return bytes(data)
