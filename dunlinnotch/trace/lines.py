"""Reading of box logs, one line at a time."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dunlinnotch.errors import ConfigError

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from dunlinnotch.types import Seconds


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one box.

    Parameters
    ----------
    box : str
        Name of the box, from its ``started`` line; before that line, the name of the file
        without its suffix.
    time : float
        Unix time in seconds, by the box's own clock.
    event : str
    fields : dict
        All fields of the line.
    """

    box: str
    time: Seconds
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text; empty if the line does not have it."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


def read_lines(file: Path, *, containing: str = "") -> Iterator[LogLine]:
    """Read the events of a log.

    Parameters
    ----------
    file : Path
    containing : str, default ""
        Only lines that contain this text are parsed, in addition to ``started`` lines.

    Yields
    ------
    LogLine

    Raises
    ------
    ConfigError
        If the file cannot be read.

    Notes
    -----
    Text before the first brace of a line is ignored.  Lines that hold no event are skipped,
    since a process may have ended while writing one.
    """
    box = file.stem
    try:
        with file.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if containing not in line and '"started"' not in line:
                    continue
                fields = _parse_event(line)
                if fields is None:
                    continue
                if fields["event"] == "started":
                    box = str(fields.get("box", box))
                yield LogLine(box, float(fields["time"]), str(fields["event"]), fields)
    except OSError as error:
        msg = f"cannot read log {file}: {error}"
        raise ConfigError(msg) from None


def _parse_event(line: str) -> dict[str, Any] | None:
    """Return the fields of a line, or None if it holds no event."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(fields, dict) or "event" not in fields:
        return None
    return fields if isinstance(fields.get("time"), int | float) else None
