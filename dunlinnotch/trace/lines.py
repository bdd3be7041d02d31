"""Lines of boxes' logs, read one by one."""

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
        As its ``started`` line says; before that line, the name of the file.
    time : float
        Seconds since the epoch, by the box's own clock.
    event : str
    fields : dict
        All else that the line says.
    """

    box: str
    time: Seconds
    event: str
    fields: dict[str, Any]

    def text(self, name: str) -> str:
        """Return a field as text; empty if the line has none."""
        value = self.fields.get(name)
        return "" if value is None else str(value)


def read_lines(file: Path, *, having: str = "") -> Iterator[LogLine]:
    """Read the events of a log.

    Parameters
    ----------
    file : Path
        What stands before the first brace of a line is left out, and so is a
        line that is no event: a process may have ended amid one.
    having : str, default ""
        Only lines that hold this text are looked at, but for starts.

    Raises
    ------
    ConfigError
        If the file can't be read.
    """
    box = file.stem
    try:
        with file.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if having not in line and '"started"' not in line:
                    continue
                plain = _plain(line)
                if plain is None:
                    continue
                if plain["event"] == "started":
                    box = str(plain.get("box", box))
                yield LogLine(box, float(plain["time"]), str(plain["event"]), plain)
    except OSError as error:
        msg = f"{file}: {error}"
        raise ConfigError(msg) from None


def _plain(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        plain = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(plain, dict) or "event" not in plain:
        return None
    return plain if isinstance(plain.get("time"), int | float) else None
