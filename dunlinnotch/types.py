"""Type aliases shared by the whole package."""

from __future__ import annotations

from collections.abc import Callable

#: Monotonic time in seconds, as given by :func:`time.monotonic`.
Seconds = float

#: A source of monotonic time.
Clock = Callable[[], Seconds]

#: ``host:port`` with a numeric IP address.
Address = str

#: The number of a settings tree; grows by one with each accepted edit.
Version = int
