"""Buffering of the body of a caller's request, so that it can be sent again."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Request bodies up to this size are buffered, so that they can be sent again.
MAX_BUFFERED_REQUEST_BYTES = 256 * 1024


class BufferedBody:
    """A request's body, which can be sent again if all of it is buffered.

    Parameters
    ----------
    parts : async iterator of bytes
        The body as it arrives from the caller.
    """

    def __init__(self, parts: AsyncIterator[bytes]) -> None:
        self._parts = parts
        self._buffer = bytearray()
        self._complete = False
        self._streamed = False

    async def buffer(self, max_bytes: int) -> None:
        """Read until the end, or until more than ``max_bytes`` bytes are buffered."""
        async for part in self._parts:
            self._buffer += part
            if len(self._buffer) > max_bytes:
                return
        self._complete = True

    @property
    def complete(self) -> bytes | None:
        """The complete body, or None if only a part of it is buffered."""
        return bytes(self._buffer) if self._complete else None

    @property
    def buffered(self) -> bytearray:
        """The part of the body that is buffered."""
        return self._buffer

    @property
    def resendable(self) -> bool:
        """Whether the body can be sent from its start."""
        return self._complete or not self._streamed

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body; this works only once unless all of it is buffered."""
        self._streamed = True
        held, self._buffer = bytes(self._buffer), self._buffer if self._complete else bytearray()
        yield held
        if not self._complete:
            async for part in self._parts:
                yield part
