"""The body of a caller's request, held whole while it is small."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class HeldBody:
    """A request's body that can be sent again if all of it is held.

    Parameters
    ----------
    parts : async iterator of bytes
        As it comes from the caller.
    """

    def __init__(self, parts: AsyncIterator[bytes]) -> None:
        self._parts = parts
        self._held = bytearray()
        self._whole = False
        self._streamed = False

    async def hold(self, most: int) -> None:
        """Read until the end, or until more than ``most`` bytes are held."""
        async for part in self._parts:
            self._held += part
            if len(self._held) > most:
                return
        self._whole = True

    @property
    def complete(self) -> bytes | None:
        """The body if all of it is held."""
        return bytes(self._held) if self._whole else None

    @property
    def held(self) -> bytearray:
        """What is held of the body."""
        return self._held

    @property
    def resendable(self) -> bool:
        """Whether the body may be sent (again) from its start."""
        return self._whole or not self._streamed

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body, once if it is not held whole."""
        self._streamed = True
        held, self._held = bytes(self._held), self._held if self._whole else bytearray()
        yield held
        if not self._whole:
            async for part in self._parts:
                yield part
