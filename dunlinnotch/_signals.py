"""Hear signals that ask the process to end, without a lock taken in their handler."""

from __future__ import annotations

import os
import signal
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_ENDING = (signal.SIGTERM, signal.SIGINT)


class EndSignals:
    """SIGTERM and SIGINT, from when this is made in the main thread.

    Notes
    -----
    A handler runs between two steps of the main thread.  Were it to set an event or start a
    thread, it would wait for ever for a lock that the step before has taken, so the
    interpreter writes the signal to a pipe instead.
    """

    def __init__(self) -> None:
        self._read, write = os.pipe()
        os.set_blocking(write, False)
        signal.set_wakeup_fd(write)
        for number in _ENDING:
            signal.signal(number, _do_nothing)

    def wait(self) -> None:
        """Return once the process is asked to end, or at once if it was."""
        os.read(self._read, 1)

    def each(self, action: Callable[[], None]) -> None:
        """Call something each time that the process is asked to end, from a thread."""
        threading.Thread(target=self._call_each, args=(action,), daemon=True).start()

    def _call_each(self, action: Callable[[], None]) -> None:
        while True:
            self.wait()
            action()


def _do_nothing(*_: object) -> None:
    """Keep a signal from ending the process; the pipe tells of it."""
