"""Logging as JSON lines."""

from __future__ import annotations

import json
import logging
import os
import sys
import threading
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from dunlinnotch.types import Clock

#: Attribute of a log record that holds the structured fields.
FIELDS = "fields"
#: Events that may occur once per request, so that their rate is limited.
DECISIONS = frozenset({"route", "refused", "addresses", "probe", "evidence"})

_ENCODER = json.JSONEncoder(default=str, separators=(",", ":"))


class JsonFormatter(logging.Formatter):
    """Format each record as one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as JSON text.

        Parameters
        ----------
        record : logging.LogRecord
            Its ``fields`` attribute, if any, is merged into the object.

        Returns
        -------
        str
        """
        line: dict[str, Any] = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update(getattr(record, FIELDS, {}))
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return _ENCODER.encode(line)


class DecisionLimit(logging.Filter):
    """Limit the rate of the events in ``DECISIONS`` and count those left out.

    Parameters
    ----------
    max_per_s : int
        Maximum number of such events per second.
    clock : callable, default time.monotonic

    Notes
    -----
    The next event that is written has the number of those left out as ``left_out``, so
    that events can still be counted.
    """

    def __init__(self, max_per_s: int, *, clock: Clock = time.monotonic) -> None:
        super().__init__()
        self._max_per_s = max_per_s
        self._clock = clock
        self._lock = threading.Lock()
        self._second = 0
        self._passed = 0
        self._left_out = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether ``record`` is written."""
        if record.getMessage() not in DECISIONS:
            return True
        with self._lock:
            second = int(self._clock())
            if second != self._second:
                self._second, self._passed = second, 0
            if self._passed >= self._max_per_s:
                self._left_out += 1
                return False
            self._passed += 1
            left_out, self._left_out = self._left_out, 0
        if left_out:
            getattr(record, FIELDS)["left_out"] = left_out
        return True


def configure(*, level: str = "INFO", decisions_per_s: int = 1000) -> None:
    """Send all log records to standard error as JSON lines.

    Parameters
    ----------
    level : str, default "INFO"
        A level name known to :mod:`logging`.
    decisions_per_s : int, default 1000
        Maximum number of ``DECISIONS`` events per second; others are counted.
    """
    _configure(logging.StreamHandler(sys.stderr), level, decisions_per_s)


def _configure(handler: logging.Handler, level: str, decisions_per_s: int) -> None:
    handler.setFormatter(JsonFormatter())
    handler.addFilter(DecisionLimit(decisions_per_s))
    # Records do not include thread, process and source line; skipping them saves time.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None  # documented in the "Optimization" part of logging
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


class BoundedStream:
    """Write text to a file descriptor without blocking; drop text beyond a limit.

    Parameters
    ----------
    descriptor : int
        File descriptor, which becomes non-blocking.
    max_buffered : int, default 262144
        Maximum bytes that are buffered while the reader is slow.

    Attributes
    ----------
    dropped : int
        Number of texts dropped because the buffer was full.
    """

    def __init__(self, descriptor: int, *, max_buffered: int = 256 * 1024) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_buffered = max_buffered
        self._buffer = bytearray()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a text as far as possible and buffer the rest; drop it if the buffer is full."""
        data = text.encode()
        if len(self._buffer) + len(data) > self._max_buffered:
            self.dropped += 1
            self._write_buffer()
            return
        self._buffer += data
        self._write_buffer()

    def flush(self) -> None:
        """Write the buffered text as far as possible without blocking."""
        self._write_buffer()

    def _write_buffer(self) -> None:
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()  # The reader has closed its end.
                return
            del self._buffer[:written]


def configure_stream(
    stream: BoundedStream, *, level: str = "INFO", decisions_per_s: int = 200
) -> None:
    """Send all log records to a stream that never blocks, as JSON lines.

    Parameters
    ----------
    stream : BoundedStream
    level : str, default "INFO"
    decisions_per_s : int, default 200
        Maximum number of ``DECISIONS`` events per second; others are counted.
    """
    _configure(logging.StreamHandler(stream), level, decisions_per_s)


def event(
    logger: logging.Logger, name: str, *, level: int = logging.INFO, **fields: object
) -> None:
    """Log one structured event.

    Parameters
    ----------
    logger : logging.Logger
        The logger of the calling module.
    name : str
        The event's name, in lower case with hyphens.
    level : int, default logging.INFO
    **fields : object
        JSON-serialisable details.
    """
    if logger.isEnabledFor(level):
        logger.log(level, name, extra={FIELDS: fields})
