"""Type aliases shared by the whole package."""

from __future__ import annotations

from collections.abc import Callable

#: Monotonic time in seconds, as given by :func:`time.monotonic`.
Seconds = float

#: Function that returns monotonic time.
Clock = Callable[[], Seconds]

#: ``host:port`` with a numeric IP address.
Address = str

#: Version of a settings tree; rises by one with each accepted edit.
Version = int
