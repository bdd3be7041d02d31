"""Commands that move work: boxes, places, targets, status."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from dunlinnotch.cli.common import BoxCommand, EditCommand, Exit
from dunlinnotch.config import read_config
from dunlinnotch.errors import ConfigError
from dunlinnotch.protocol.operator import DrainPhase
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import BOX_PREFIX, TARGET_PREFIX, Change

_LOOK_S = 0.5
_FOLLOW_S = 120.0


class BoxList(BoxCommand):
    """List the boxes."""

    name = "box list"
    description = "List the boxes that a box knows, with state and settings version"
    help = "Example: <info>dunlinnotch box list</info>"

    def act(self) -> Exit:
        """Print one line for each box."""
        rows = self.client().status().rows
        table = [
            [r.name, r.place, r.address, r.state.value, str(r.version), str(r.in_flight)]
            for r in sorted(rows, key=lambda r: r.name)
        ]
        self.show(rows, ["box", "place", "address", "state", "version", "in flight"], table)
        return Exit.OK


class BoxDrain(EditCommand):
    """Drain a box."""

    name = "box drain"
    description = "Stop a box without cutting off a call"
    help = "Example: <info>dunlinnotch box drain box-3 --follow --box 10.0.0.3:7003</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the box")]
    options: ClassVar[list[Any]] = [
        *EditCommand.options,
        option("follow", None, "Ask the box itself (--box) what it still waits for"),
    ]

    def act(self) -> Exit:
        """Make the edit; follow the drain if asked to."""
        change = Change(BOX_PREFIX + self.argument("name"), "state", RunState.DRAINING)
        exit_status = self.edit([change])
        if self.option("follow") and exit_status in (Exit.OK, Exit.PENDING):
            self._follow()
        return exit_status

    def _follow(self) -> None:
        until = time.monotonic() + _FOLLOW_S
        while time.monotonic() < until:
            drain = self.client().status().drain
            answers = f"caller answers valid for {drain.answers_s:g} s" if drain.answers_s else ""
            calls = f"{drain.calls} calls in flight" if drain.calls else ""
            waits = ", ".join(part for part in (calls, answers) if part)
            self.line(f"{drain.phase}: {waits or 'nothing left to wait for'}")
            if drain.phase is DrainPhase.DONE:
                return
            time.sleep(_LOOK_S)


class _StateEdit(EditCommand):
    """Set or remove the run state of one node."""

    prefix: ClassVar[str] = ""
    state: ClassVar[str | None] = None

    def act(self) -> Exit:
        """Make the edit."""
        return self.edit([Change(self.prefix + self.argument("name"), "state", self.state)])


class BoxResume(_StateEdit):
    """Call off the drain of a box."""

    name = "box resume"
    description = "Call off the drain of a box that still serves"
    help = "Example: <info>dunlinnotch box resume box-3</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the box")]
    prefix = BOX_PREFIX


class PlaceStop(_StateEdit):
    """Stop a place."""

    name = "place stop"
    description = "Drain the boxes and the targets of a place"
    help = "Example: <info>dunlinnotch place stop hall-a</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the place")]
    state = RunState.STOPPED


class PlaceStart(_StateEdit):
    """Start a place."""

    name = "place start"
    description = "Let a place take work again"
    help = "Example: <info>dunlinnotch place start hall-a</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the place")]


class TargetDrain(_StateEdit):
    """Drain a target."""

    name = "target drain"
    description = "Send a target no new work"
    help = "Example: <info>dunlinnotch target drain 10.1.0.5:8080</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Address of the target")]
    prefix = TARGET_PREFIX
    state = RunState.DRAINING


class TargetResume(_StateEdit):
    """Let a target take work again."""

    name = "target resume"
    description = "Let a target take work again"
    help = "Example: <info>dunlinnotch target resume 10.1.0.5:8080</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Address of the target")]
    prefix = TARGET_PREFIX


class ShowStatus(BoxCommand):
    """Show the status of a box."""

    name = "status"
    description = "Show what a box does and whether it takes work"
    help = "Example: <info>dunlinnotch status --json</info>"

    def act(self) -> Exit:
        """Print the status."""
        status = self.client().status()
        age = "never" if status.table_age_s is None else f"{status.table_age_s:.1f} s ago"
        rows = [
            ["box", status.box],
            ["settings version", str(status.version)],
            ["calls in flight", str(status.in_flight)],
            ["table last read", age],
            ["takes work", f"no: {status.refusing}" if status.refusing else "yes"],
            ["drain", status.drain.phase.value],
            ["links", ", ".join(status.links)],
            ["boxes known", str(len(status.rows))],
        ]
        self.show(status, ["what", "value"], rows)
        return Exit.OK


class LogLevel(BoxCommand):
    """Change the log level of a running box."""

    name = "log-level"
    description = "Change the least level that a box logs, until it restarts"
    help = "Example: <info>dunlinnotch log-level DEBUG --box 10.0.0.3:7003</info>"
    arguments: ClassVar[list[Any]] = [argument("level", "DEBUG, INFO, WARNING or ERROR")]

    def act(self) -> Exit:
        """Change the level."""
        self.client().log_level(self.argument("level"))
        self.line(f"level is now {self.argument('level').upper()}")
        return Exit.OK


class CheckFile(Command):
    """Check a daemon's INI file."""

    name = "check"
    description = "Check a daemon's INI file before it is used"
    help = "Example: <info>dunlinnotch check box.ini</info>"
    arguments: ClassVar[list[Any]] = [argument("file", "INI file of a daemon")]

    def handle(self) -> int:
        """Check the file; return 0 if the daemon would start with it."""
        try:
            config = read_config(Path(self.argument("file")))
        except ConfigError as error:
            self.line_error(f"<error>{error.code}</error>: {error}")
            return Exit.INVALID
        self.line(f"box {config.box.name} in {config.box.place}: settings are usable")
        return Exit.OK
