"""An event loop whose clock jumps to the next thing to do, so that a minute takes a second."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that moves the clock on in place of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready at once."""
        if timeout is None:
            msg = "nothing is scheduled and nothing is ready: the loop would wait for ever"
            raise RuntimeError(msg)
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping.now


def run_virtually(main: Coroutine[None, None, T]) -> T:
    """Run a coroutine on virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
