"""Base classes and exit statuses of the commands."""

from __future__ import annotations

import getpass
import json
import os
import sys
import uuid
from enum import IntEnum
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from dunlinnotch import _codec
from dunlinnotch.errors import BoxUnreachableError, ConfigError, DunlinnotchError, SettingsError
from dunlinnotch.protocol.operator import EDIT_WAIT_S, EditRequest
from dunlinnotch.protocol.outcome import EditStatus
from dunlinnotch.state.tree import Change, Edit
from dunlinnotch.transport.operator import OperatorClient

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.protocol.outcome import EditResult

#: Environment variable with the operator addresses used without ``--box``, separated by commas.
BOX_VARIABLE = "DUNLINNOTCH_BOX"


class Exit(IntEnum):
    """Exit statuses; ``docs/OPERATIONS.md`` explains each."""

    OK = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNAVAILABLE = 5
    PENDING = 6


_EXIT_BY_STATUS = {
    EditStatus.ACCEPTED: Exit.OK,
    EditStatus.PENDING: Exit.PENDING,
    EditStatus.CONFLICT: Exit.CONFLICT,
    EditStatus.INVALID: Exit.INVALID,
    EditStatus.UNKNOWN: Exit.UNKNOWN,
    EditStatus.UNAVAILABLE: Exit.UNAVAILABLE,
}


class FileCommand(Command):
    """A command that works on files and does not connect to a box."""

    def handle(self) -> int:
        """Run the command; invalid input becomes an exit status."""
        try:
            return int(self.act())
        except ConfigError as error:
            self.line_error(f"<error>{error.code}</error>: {error}")
            return Exit.INVALID

    def act(self) -> Exit:
        """Do the work of the command and return its exit status."""
        raise NotImplementedError


class BoxCommand(Command):
    """A command that connects to a box."""

    options: ClassVar[list[Any]] = [
        option(
            "box",
            "b",
            f"Operator address of a box; may be repeated (default: ${BOX_VARIABLE})",
            flag=False,
            multiple=True,
        ),
        option("json", None, "Print JSON"),
    ]

    def client(self) -> OperatorClient:
        """Return a client of the boxes given by ``--box`` or the environment variable."""
        addresses = self.option("box") or os.environ.get(BOX_VARIABLE, "").split(",")
        return OperatorClient([address.strip() for address in addresses if address.strip()])

    def handle(self) -> int:
        """Run the command; turn errors into exit statuses."""
        try:
            return int(self.act())
        except BoxUnreachableError as error:
            self.line_error(f"<error>{error.code}: {error}</error>")
            return Exit.UNAVAILABLE
        except DunlinnotchError as error:
            self.line_error(f"<error>{error.code}: {error}</error>")
            return Exit.INVALID

    def act(self) -> Exit:
        """Do the work of the command and return its exit status."""
        raise NotImplementedError

    def show(self, value: object, headers: Sequence[str], rows: list[list[str]]) -> None:
        """Print ``value`` as JSON with ``--json``, otherwise ``rows`` as a table."""
        if self.option("json"):
            self.print_json(value)
            return
        self.render_table(list(headers), rows, style="compact")

    def print_json(self, value: object) -> None:
        """Print ``value`` as JSON on one line."""
        sys.stdout.write(json.dumps(_codec.to_plain(value)) + "\n")
        sys.stdout.flush()


class EditCommand(BoxCommand):
    """A command that changes the settings tree."""

    options: ClassVar[list[Any]] = [
        *BoxCommand.options,
        option(
            "wait",
            None,
            "Seconds to wait until the edit is in force on all boxes",
            flag=False,
            default=str(EDIT_WAIT_S),
        ),
        option(
            "base",
            None,
            "Version that the edit is based on (default: the newest)",
            flag=False,
        ),
        option("id", None, "Edit id of an earlier attempt whose result is unknown", flag=False),
    ]

    def edit(self, changes: Sequence[Change]) -> Exit:
        """Make one edit and print the old and new values and the result.

        Parameters
        ----------
        changes : sequence of Change

        Raises
        ------
        SettingsError
            If a change or an option is invalid.
        BoxUnreachableError
            If no box answers.
        RequestRefusedError
            If the box refuses the request.
        """
        for change in changes:
            change.check()
        client = self.client()
        tree = client.tree()
        base = int(self._float_option("base")) if self.option("base") else tree.version
        edit_id = self.option("id") or uuid.uuid4().hex
        edit = Edit(edit_id, base, getpass.getuser(), tuple(changes))
        result = client.edit(EditRequest(edit, self._float_option("wait")))
        if self.option("json"):
            self.print_json(result)
            return _EXIT_BY_STATUS[result.status]
        for change in changes:
            before = tree.nodes.get(change.path, {}).get(change.name, "(inherited)")
            after = "(inherited)" if change.value is None else change.value
            self.line(f"{change.path}  {change.name}: {before} -> {after}")
        self._print_result(result, edit_id)
        return _EXIT_BY_STATUS[result.status]

    def _float_option(self, name: str) -> float:
        """Return the value of an option as a number; 0 if the option is not given."""
        text = self.option(name)
        try:
            return float(text or 0)
        except ValueError:
            msg = f"--{name} {text!r}: allowed is a number"
            raise SettingsError(msg) from None

    def _print_result(self, result: EditResult, edit_id: str) -> None:
        if result.status is EditStatus.ACCEPTED:
            self.line(f"<info>accepted</info> as version {result.version}, in force on all boxes")
        elif result.status is EditStatus.PENDING:
            boxes = ", ".join(result.missing)
            self.line(f"stored as version {result.version}; not yet confirmed by: {boxes}")
        else:
            paths = f" ({', '.join(result.conflicts)})" if result.conflicts else ""
            self.line_error(f"<error>{result.status}</error>: {result.detail}{paths}")
            if result.status is EditStatus.UNKNOWN:
                self.line_error(f"to learn the result, run the command again with --id {edit_id}")
