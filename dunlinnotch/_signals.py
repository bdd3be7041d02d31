"""Handling of termination signals without taking a lock in the signal handler."""

from __future__ import annotations

import os
import signal
import threading
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EndSignals:
    """Receives SIGTERM and SIGINT; to be created in the main thread.

    Notes
    -----
    A handler interrupts the main thread at any point.  If it set an event or started a
    thread, it could deadlock on a lock that the main thread holds.  The interpreter writes
    the signal number to a pipe instead, from which :meth:`wait` reads.
    """

    def __init__(self) -> None:
        self._read, write = os.pipe()
        os.set_blocking(write, False)
        signal.set_wakeup_fd(write)
        for number in _TERMINATION_SIGNALS:
            signal.signal(number, _do_nothing)

    def wait(self) -> None:
        """Wait for the next signal; return at once if one is pending."""
        os.read(self._read, 1)

    def each(self, action: Callable[[], None]) -> None:
        """Call ``action`` for each signal, in a separate thread."""
        threading.Thread(target=self._call_each, args=(action,), daemon=True).start()

    def _call_each(self, action: Callable[[], None]) -> None:
        while True:
            self.wait()
            action()


def _do_nothing(*_: object) -> None:
    """Replace the default action, which ends the process."""
