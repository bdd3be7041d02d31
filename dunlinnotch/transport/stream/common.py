"""Heads and framing of HTTP/1.1 messages, used by server and client.

Messages are parsed by :mod:`httptools`, which rejects forms that another parser may read
differently: two lengths, a length with chunks, bare line ends, folded lines, and chunk sizes
with a sign.  This guards against request smuggling.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Iterable, Sequence

    from dunlinnotch.state.heads import Header

_REASON_PHRASES = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class FlowControl:
    """Makes writers wait while the buffer of the transport is full."""

    def __init__(self) -> None:
        self._waiter: asyncio.Event | None = None

    def pause(self) -> None:
        """Make writers wait, because the buffer of the transport is full."""
        import asyncio  # noqa: PLC0415 - needed only when a buffer is full

        self._waiter = self._waiter or asyncio.Event()

    def resume(self) -> None:
        """Let writers continue."""
        if self._waiter is not None:
            self._waiter.set()
            self._waiter = None

    async def wait(self) -> None:
        """Wait until the transport accepts more bytes."""
        if self._waiter is not None:
            await self._waiter.wait()


def find_header(headers: Iterable[Header], name: str) -> str | None:
    """Return the first value of a header, or None if it is missing.

    Parameters
    ----------
    headers : iterable of Header
    name : str
        Name of the header in lower case.
    """
    for header in headers:
        if header.name.lower() == name:
            return header.value
    return None


def request_head(method: str, path: str, headers: Iterable[Header], *, length: int | None) -> bytes:
    """Return the head of a request.

    Parameters
    ----------
    method, path : str
    headers : iterable of Header
        Without those of framing, which are added.
    length : int or None
        Length of the body in bytes; ``None`` if the body will be sent in chunks.
    """
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    elif length or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer_head(
    status: int, phrase: str, headers: Sequence[Header], *, length: int | None, close: bool
) -> bytes:
    """Return the head of an answer.

    Parameters
    ----------
    status : int
    phrase : str
        Reason phrase; the usual one of the status if empty.
    headers : sequence of Header
        Without those of framing and of the connection, which are added.
    length : int or None
        Length of the body in bytes; ``None`` if the body will be sent in chunks, or if the
        status allows no body.
    close : bool
        Whether the connection will be closed after the answer.
    """
    lines = [f"HTTP/1.1 {status} {phrase or _REASON_PHRASES.get(status, '')}"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    elif status not in (204, 304):
        lines.append("Transfer-Encoding: chunked")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
