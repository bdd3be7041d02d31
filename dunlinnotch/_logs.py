"""JSON-lines logging, one object a line."""

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

#: Attribute of a log record that carries the structured fields.
FIELDS = "fields"
#: Events of which there may be one for each request: they are bounded.
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
    """Let at most so many decision lines through in a second, and count the rest.

    Parameters
    ----------
    most : int
        Lines in a second.
    clock : callable, default time.monotonic

    Notes
    -----
    The first decision line after some were left out carries their number as
    ``left_out``, so counts stay whole.
    """

    def __init__(self, most: int, *, clock: Clock = time.monotonic) -> None:
        super().__init__()
        self._most = most
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
            if self._passed >= self._most:
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
        Most decision lines in a second; the rest are counted.
    """
    _configure(logging.StreamHandler(sys.stderr), level, decisions_per_s)


def _configure(handler: logging.Handler, level: str, decisions_per_s: int) -> None:
    handler.setFormatter(JsonFormatter())
    handler.addFilter(DecisionLimit(decisions_per_s))
    # A record needs neither thread, process nor source line; finding them costs time.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None  # documented in the "Optimization" part of logging
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


class BoundedStream:
    """Write lines to a descriptor without ever waiting; drop and count what it can't take.

    Parameters
    ----------
    descriptor : int
        Made non-blocking.
    most : int, default 262144
        Bytes held while the reader is slow.
    """

    def __init__(self, descriptor: int, *, most: int = 256 * 1024) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most = most
        self._held = bytearray()
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a text, or hold it, or drop it."""
        data = text.encode()
        if len(self._held) + len(data) > self._most:
            self.dropped += 1
            self._push()
            return
        self._held += data
        self._push()

    def flush(self) -> None:
        """Write what is held, as far as the reader takes it."""
        self._push()

    def _push(self) -> None:
        while self._held:
            try:
                written = os.write(self._descriptor, self._held)
            except BlockingIOError:
                return
            except OSError:
                self._held.clear()  # Nobody reads any more.
                return
            del self._held[:written]


def configure_stream(
    stream: BoundedStream, *, level: str = "INFO", decisions_per_s: int = 200
) -> None:
    """Send all log records to a stream that never blocks, as JSON lines.

    Parameters
    ----------
    stream : BoundedStream
    level : str, default "INFO"
    decisions_per_s : int, default 200
        Most decision lines in a second; the rest are counted.
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
