"""Commands that analyse the logs of boxes."""

from __future__ import annotations

import math
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option

from dunlinnotch.cli.common import Exit, FileCommand
from dunlinnotch.errors import ConfigError
from dunlinnotch.trace.request import format_trace, format_view, trace_request, view_at
from dunlinnotch.trace.summary import format_summary, summarise

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dunlinnotch.types import Seconds


def _parse_seconds(name: str, text: str) -> Seconds:
    """Return the value of an argument or option that is a number of seconds.

    Raises
    ------
    ConfigError
        If the text is not a number.
    """
    try:
        return float(text)
    except ValueError:
        msg = f"{name} {text!r}: allowed are seconds, for example 1796217493.2"
        raise ConfigError(msg) from None


class LogCommand(FileCommand):
    """A command that reads logs."""

    def files(self) -> list[Path]:
        """Return the paths of the logs given as arguments."""
        return [Path(name) for name in self.argument("logs")]

    def show(self, lines: Iterable[str], *, found: bool, missing: str) -> Exit:
        """Print the lines; if nothing was found, print ``missing`` and return FAILED."""
        for line in lines:
            self.line(line)
        if found:
            return Exit.OK
        self.line_error(missing)
        return Exit.FAILED


class TraceRequest(LogCommand):
    """Trace one request."""

    name = "trace request"
    description = "Show the route of a request through the boxes, with the view of each box"
    help = "Example: <info>dunlinnotch trace request 4ca6de1393d73a1e logs/*.log</info>"
    arguments: ClassVar[list[Any]] = [
        argument("request", "Id of the request, as sent by its caller"),
        argument("logs", "Logs of boxes", multiple=True),
    ]

    def act(self) -> Exit:
        """Print the trace; return FAILED if no log has the request."""
        request = self.argument("request")
        trace = trace_request(request, self.files())
        missing = (
            f"no log has a decision on request {request!r}; boxes omit decision lines above "
            "decisions_per_s"
        )
        return self.show(format_trace(trace), found=bool(trace.hops), missing=missing)


class TraceBox(LogCommand):
    """Show the view that a box had."""

    name = "trace box"
    description = "Show a box's view of settings, store, targets and peers at a given time"
    help = "Example: <info>dunlinnotch trace box front-3 1796217493.2 logs/*.log</info>"
    arguments: ClassVar[list[Any]] = [
        argument("box", "Name of the box"),
        argument("time", "Unix time in seconds, as in the logs"),
        argument("logs", "Logs of boxes", multiple=True),
    ]

    def act(self) -> Exit:
        """Print the view; return FAILED if it is empty."""
        time = _parse_seconds("time", self.argument("time"))
        box = self.argument("box")
        lines = list(format_view(view_at(box, time, self.files()), time))
        return self.show(
            lines,
            found=bool(lines),
            missing=f"no log shows the view of box {box!r} at {time}",
        )


class TraceSummary(LogCommand):
    """Summarise a period."""

    name = "trace summary"
    description = "Show the results of requests by kind, and how targets were selected"
    help = "Example: <info>dunlinnotch trace summary --every 2 logs/*.log</info>"
    arguments: ClassVar[list[Any]] = [argument("logs", "Logs of boxes", multiple=True)]
    options: ClassVar[list[Any]] = [
        option("from", None, "Only requests that arrived at this Unix time or later", flag=False),
        option("to", None, "Only requests that arrived before this Unix time", flag=False),
        option("every", None, "Summarise each interval of this many seconds", flag=False),
    ]

    def act(self) -> Exit:
        """Print the summary; return FAILED if no log has a decision in the period."""
        begin, end, interval = self._parse_bounds()
        slices = summarise(self.files(), begin=begin, end=end, interval=interval)
        return self.show(
            format_summary(slices),
            found=bool(slices),
            missing="no log has a decision in that period; widen --from and --to",
        )

    def _parse_bounds(self) -> tuple[Seconds, Seconds, Seconds | None]:
        """Return begin, end and interval, in seconds.

        Raises
        ------
        ConfigError
            If an option is not a number or out of range.
        """
        begin = _parse_seconds("--from", self.option("from") or "-inf")
        end = _parse_seconds("--to", self.option("to") or "inf")
        if not begin < end:
            msg = f"--from {begin:g} is not before --to {end:g}: set --from to an earlier time"
            raise ConfigError(msg)
        text = self.option("every")
        interval = None if text is None else _parse_seconds("--every", text)
        if interval is not None and not 0 < interval < math.inf:
            msg = f"--every {text!r}: allowed are seconds above 0, for example 2 or 0.5"
            raise ConfigError(msg)
        return begin, end, interval
