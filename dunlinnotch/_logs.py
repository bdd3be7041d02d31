"""JSON-lines logging, one object a line."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

#: Attribute of a log record that carries the structured fields.
FIELDS = "fields"

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


def configure(*, level: str = "INFO") -> None:
    """Send all log records to standard error as JSON lines.

    Parameters
    ----------
    level : str, default "INFO"
        A level name known to :mod:`logging`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    # A record needs neither thread, process nor source line; finding them costs time.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None  # documented in the "Optimization" part of logging
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


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
