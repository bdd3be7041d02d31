"""Commands that operate boxes, places and targets, and check configuration files."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from dunlinnotch.cli.common import BoxCommand, EditCommand, Exit
from dunlinnotch.cli.settings import read_tree
from dunlinnotch.config import contradictions as config_contradictions
from dunlinnotch.config import read_config
from dunlinnotch.errors import DunlinnotchError
from dunlinnotch.protocol.operator import DrainPhase
from dunlinnotch.state.consistency import contradictions
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import BOX_PREFIX, TARGET_PREFIX, Change

_POLL_INTERVAL_S = 0.5
_FOLLOW_TIMEOUT_S = 120.0


class BoxList(BoxCommand):
    """List the boxes."""

    name = "box list"
    description = "List the boxes known to a box, with state and settings version"
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
    description = "Take a box out of service without interrupting calls"
    help = "Example: <info>dunlinnotch box drain box-3 --follow --box 10.0.0.3:7003</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the box")]
    options: ClassVar[list[Any]] = [
        *EditCommand.options,
        option("follow", None, "Show what the drain waits for; --box must be the drained box"),
    ]

    def act(self) -> Exit:
        """Make the edit; with ``--follow``, show the drain until it is done."""
        change = Change(BOX_PREFIX + self.argument("name"), "state", RunState.DRAINING)
        exit_status = self.edit([change])
        if self.option("follow") and exit_status in (Exit.OK, Exit.PENDING):
            self._follow()
        return exit_status

    def _follow(self) -> None:
        deadline = time.monotonic() + _FOLLOW_TIMEOUT_S
        while time.monotonic() < deadline:
            drain = self.client().status().drain
            answers = f"address answers valid for {drain.answers_s:g} s" if drain.answers_s else ""
            calls = f"{drain.calls} calls in flight" if drain.calls else ""
            pending = ", ".join(text for text in (calls, answers) if text)
            self.line(f"{drain.phase}: {pending or 'nothing left to wait for'}")
            if drain.phase is DrainPhase.DONE:
                return
            time.sleep(_POLL_INTERVAL_S)


class _RunStateCommand(EditCommand):
    """Set or remove the run state of one node.

    Attributes
    ----------
    prefix : str
        Put before the name given by the user to form the path of the node.
    state : str or None
        None removes the state, so that the node inherits it.
    """

    prefix: ClassVar[str] = ""
    state: ClassVar[str | None] = None

    def act(self) -> Exit:
        """Make the edit."""
        return self.edit([Change(self.prefix + self.argument("name"), "state", self.state)])


class BoxResume(_RunStateCommand):
    """Cancel the drain of a box."""

    name = "box resume"
    description = "Cancel the drain of a box that is still serving"
    help = "Example: <info>dunlinnotch box resume box-3</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the box")]
    prefix = BOX_PREFIX


class PlaceStop(_RunStateCommand):
    """Stop a place."""

    name = "place stop"
    description = "Drain the boxes and the targets of a place"
    help = "Example: <info>dunlinnotch place stop hall-a --follow</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the place")]
    options: ClassVar[list[Any]] = [
        *EditCommand.options,
        option("follow", None, "Show what its boxes are waiting for until they are drained"),
    ]
    state = RunState.STOPPED

    def act(self) -> Exit:
        """Make the edit; with ``--follow``, show the stop until it is done."""
        exit_status = super().act()
        if self.option("follow") and exit_status in (Exit.OK, Exit.PENDING):
            return self._follow(exit_status)
        return exit_status

    def _follow(self, exit_status: Exit) -> Exit:
        """Show the boxes of the place until none of them is running or serving a call."""
        deadline = time.monotonic() + _FOLLOW_TIMEOUT_S
        while time.monotonic() < deadline:
            rows = [r for r in self.client().status().rows if r.place == self.argument("name")]
            busy = [r for r in rows if r.state is RunState.RUNNING or r.in_flight]
            pending = ", ".join(
                f"{r.name} {r.state.value} with {r.in_flight} calls in flight"
                for r in sorted(busy, key=lambda r: r.name)
            )
            self.line(pending or f"nothing left to wait for: {len(rows)} boxes drained")
            if not busy:
                return exit_status
            time.sleep(_POLL_INTERVAL_S)
        self.line_error(
            f"boxes still busy after {_FOLLOW_TIMEOUT_S:g} s; the stop continues, see box list"
        )
        return Exit.PENDING


class PlaceStart(_RunStateCommand):
    """Start a place."""

    name = "place start"
    description = "Let a place accept work again"
    help = "Example: <info>dunlinnotch place start hall-a</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Name of the place")]


class TargetDrain(_RunStateCommand):
    """Drain a target."""

    name = "target drain"
    description = "Stop sending new work to a target"
    help = "Example: <info>dunlinnotch target drain 10.1.0.5:8080</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Address of the target")]
    prefix = TARGET_PREFIX
    state = RunState.DRAINING


class TargetResume(_RunStateCommand):
    """Cancel the drain of a target."""

    name = "target resume"
    description = "Let a target accept work again"
    help = "Example: <info>dunlinnotch target resume 10.1.0.5:8080</info>"
    arguments: ClassVar[list[Any]] = [argument("name", "Address of the target")]
    prefix = TARGET_PREFIX


class ShowStatus(BoxCommand):
    """Show the status of a box."""

    name = "status"
    description = "Show the status of a box and whether it accepts work"
    help = "Example: <info>dunlinnotch status --json</info>"

    def act(self) -> Exit:
        """Print the status."""
        status = self.client().status()
        last_read = "never" if status.table_age_s is None else f"{status.table_age_s:.1f} s ago"
        rows = [
            ["box", status.box],
            ["settings version", str(status.version)],
            ["calls in flight", str(status.in_flight)],
            ["table last read", last_read],
            ["accepts work", f"no: {status.refusing}" if status.refusing else "yes"],
            ["drain", status.drain.phase.value],
            ["links", ", ".join(status.links)],
            ["boxes known", str(len(status.rows))],
        ]
        self.show(status, ["what", "value"], rows)
        return Exit.OK


class LogLevel(BoxCommand):
    """Change the log level of a running box."""

    name = "log-level"
    description = "Set the minimum level that a box logs until it restarts"
    help = "Example: <info>dunlinnotch log-level DEBUG --box 10.0.0.3:7003</info>"
    arguments: ClassVar[list[Any]] = [argument("level", "DEBUG, INFO, WARNING or ERROR")]

    def act(self) -> Exit:
        """Change the level."""
        self.client().set_log_level(self.argument("level"))
        self.line(f"log level is now {self.argument('level').upper()}")
        return Exit.OK


class CheckFile(Command):
    """Check a daemon's INI file, a settings tree, or both."""

    name = "check"
    description = "Check a daemon's INI file, a settings tree, or both, before use"
    help = "Example: <info>dunlinnotch check box.ini --tree tree.ini</info>"
    arguments: ClassVar[list[Any]] = [argument("file", "INI file of a daemon", optional=True)]
    options: ClassVar[list[Any]] = [
        option("tree", None, "INI file of a tree, as written by settings export", flag=False)
    ]

    def handle(self) -> int:
        """Check the files; return OK if they are valid and free of contradictions."""
        file, tree = self.argument("file"), self.option("tree")
        if file is None and tree is None:
            self.line_error("<error>nothing to check</error>: give an INI file, --tree, or both")
            return Exit.INVALID
        try:
            messages = [] if file is None else self._check_config(Path(file))
            messages += [] if tree is None else contradictions(read_tree(Path(tree)))
        except DunlinnotchError as error:
            self.line_error(f"<error>{error.code}</error>: {error}")
            return Exit.INVALID
        for message in messages:
            self.line_error(f"<error>contradiction</error>: {message}")
        return Exit.INVALID if messages else Exit.OK

    def _check_config(self, file: Path) -> list[str]:
        config = read_config(file)
        self.line(f"box {config.box.name} in {config.box.place}: settings are usable")
        return config_contradictions(config)
