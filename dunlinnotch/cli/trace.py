"""Commands that read the logs of boxes."""

from __future__ import annotations

from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument

from dunlinnotch.cli.common import Exit, FileCommand
from dunlinnotch.errors import ConfigError
from dunlinnotch.trace.request import beliefs_as_text, beliefs_at, trace_as_text, trace_request


class LogCommand(FileCommand):
    """A command that reads logs."""

    def files(self) -> list[Path]:
        """Return the logs named."""
        return [Path(name) for name in self.argument("logs")]


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
        for line in trace_as_text(trace):
            self.line(line)
        if trace.passages:
            return Exit.OK
        self.line_error(f"no log has a decision on request {request!r}; left out by its rate?")
        return Exit.FAILED


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
        try:
            time = float(self.argument("time"))
        except ValueError:
            msg = f"time {self.argument('time')!r}: allowed are seconds, as in 1796217493.2"
            raise ConfigError(msg) from None
        lines = list(beliefs_as_text(beliefs_at(self.argument("box"), time, self.files()), time))
        for line in lines:
            self.line(line)
        if lines:
            return Exit.OK
        self.line_error(f"no log tells of box {self.argument('box')!r} at {time}")
        return Exit.FAILED
