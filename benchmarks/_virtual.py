"""An event loop on virtual time: instead of waiting, it advances its clock."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class _VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the clock by the timeout instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by ``timeout`` and return what is ready now."""
        if timeout is None:
            msg = "deadlock on virtual time: no callback is scheduled and nothing is ready"
            raise RuntimeError(msg)
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, which starts at 0."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual_selector.now


def run_virtually(main: Coroutine[None, None, T]) -> T:
    """Run a coroutine in a new event loop on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
