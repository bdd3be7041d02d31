"""Commands that read the logs of boxes."""

from __future__ import annotations

import math
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option

from dunlinnotch.cli.common import Exit, FileCommand
from dunlinnotch.errors import ConfigError
from dunlinnotch.trace.request import beliefs_as_text, beliefs_at, trace_as_text, trace_request
from dunlinnotch.trace.summary import summarise, summary_as_text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dunlinnotch.types import Seconds


def _seconds(name: str, text: str) -> Seconds:
    """Return an argument or option that is a number of seconds."""
    try:
        return float(text)
    except ValueError:
        msg = f"{name} {text!r}: allowed are seconds, as in 1796217493.2"
        raise ConfigError(msg) from None


class LogCommand(FileCommand):
    """A command that reads logs."""

    def files(self) -> list[Path]:
        """Return the logs named."""
        return [Path(name) for name in self.argument("logs")]

    def show(self, lines: Iterable[str], *, found: bool, missing: str) -> Exit:
        """Print what the logs tell, or say what is missing; FAILED if nothing was found."""
        for line in lines:
            self.line(line)
        if found:
            return Exit.OK
        self.line_error(missing)
        return Exit.FAILED


class TraceRequest(LogCommand):
    """Follow one request."""

    name = "trace request"
    description = "Show a request's way through the boxes, with what each believed then"
    help = "Example: <info>dunlinnotch trace request 4ca6de1393d73a1e logs/*.log</info>"
    arguments: ClassVar[list[Any]] = [
        argument("request", "Id of the request, as its caller sent it"),
        argument("logs", "Logs of boxes", multiple=True),
    ]

    def act(self) -> Exit:
        """Print the trace; FAILED if no log has the request."""
        request = self.argument("request")
        trace = trace_request(request, self.files())
        missing = f"no log has a decision on request {request!r}; left out by its rate?"
        return self.show(trace_as_text(trace), found=bool(trace.passages), missing=missing)


class TraceBox(LogCommand):
    """Show what a box believed."""

    name = "trace box"
    description = "Show what a box believed at a moment, since when and why"
    help = "Example: <info>dunlinnotch trace box front-3 1796217493.2 logs/*.log</info>"
    arguments: ClassVar[list[Any]] = [
        argument("box", "Name of the box"),
        argument("time", "Seconds since the epoch, as in the logs"),
        argument("logs", "Logs of boxes", multiple=True),
    ]

    def act(self) -> Exit:
        """Print the beliefs; FAILED if there are none."""
        time = _seconds("time", self.argument("time"))
        box = self.argument("box")
        lines = list(beliefs_as_text(beliefs_at(box, time, self.files()), time))
        return self.show(lines, found=bool(lines), missing=f"no log tells of box {box!r} at {time}")


class TraceSummary(LogCommand):
    """Sum up a stretch of time."""

    name = "trace summary"
    description = "Show how targets were chosen, and what each kind of request lost to what"
    help = "Example: <info>dunlinnotch trace summary --every 2 logs/*.log</info>"
    arguments: ClassVar[list[Any]] = [argument("logs", "Logs of boxes", multiple=True)]
    options: ClassVar[list[Any]] = [
        option("from", None, "Only requests that came then or later, in seconds", flag=False),
        option("to", None, "Only requests that came before, in seconds", flag=False),
        option("every", None, "Show each stretch of so many seconds by itself", flag=False),
    ]

    def act(self) -> Exit:
        """Print the summary; FAILED if no log has a decision in that time."""
        begin, end, every = self._bounds()
        slices = summarise(self.files(), begin=begin, end=end, every=every)
        return self.show(
            summary_as_text(slices),
            found=bool(slices),
            missing="no log has a decision in that time",
        )

    def _bounds(self) -> tuple[Seconds, Seconds, Seconds | None]:
        begin = _seconds("--from", self.option("from") or "-inf")
        end = _seconds("--to", self.option("to") or "inf")
        if not begin < end:
            msg = f"--from {begin:g} is not before --to {end:g}: allowed is an earlier time"
            raise ConfigError(msg)
        text = self.option("every")
        every = None if text is None else _seconds("--every", text)
        if every is not None and not 0 < every < math.inf:
            msg = f"--every {text!r}: allowed are seconds above 0, as in 2 or 0.5"
            raise ConfigError(msg)
        return begin, end, every
