"""Commands that read and change the settings tree."""

from __future__ import annotations

import configparser
import io
from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument, option

from dunlinnotch.cli.common import BoxCommand, EditCommand, Exit
from dunlinnotch.errors import SettingsError
from dunlinnotch.state.schema import check_name
from dunlinnotch.state.tree import Change, Edit, SettingsTree

_PATH_HELP = "/, PLACE, PLACE/SERVICE or PLACE/SERVICE/KIND; * for every place"


def export_ini(tree: SettingsTree) -> str:
    """Return a settings tree as INI text with one section for each node."""
    parser = _make_parser()
    for path in sorted(tree.nodes):
        parser[path] = dict(sorted(tree.nodes[path].items()))
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue()


def import_changes(tree: SettingsTree, text: str) -> list[Change]:
    """Return the changes that make ``tree`` equal to the tree in an INI text.

    Parameters
    ----------
    tree : SettingsTree
    text : str
        As written by ``settings export``.

    Returns
    -------
    list of Change
        Sorted by path; settings that the text lacks are removed.

    Raises
    ------
    SettingsError
        If the text is not valid INI.
    """
    parser = _make_parser()
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError(str(error)) from None
    new_nodes = {path: dict(parser[path]) for path in parser.sections()}
    changes = []
    for path in sorted({*tree.nodes, *new_nodes}):
        old, new = tree.nodes.get(path, {}), new_nodes.get(path, {})
        changes += [Change(path, n, v) for n, v in sorted(new.items()) if old.get(n) != v]
        changes += [Change(path, n, None) for n in sorted(old) if n not in new]
    return changes


def read_tree(file: Path) -> SettingsTree:
    """Read a settings tree from an INI file, as written by ``settings export``.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a setting in it is unknown or out of range.
    """
    empty_tree = SettingsTree()
    changes = import_changes(empty_tree, _read_text(file))
    for change in changes:
        change.check()
    return empty_tree.apply(Edit("check", 0, "check", tuple(changes), version=1))


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise SettingsError(str(error)) from None


def _make_parser() -> configparser.ConfigParser:
    # The default section is a name that no node can have, so no section applies to others.
    return configparser.ConfigParser(interpolation=None, default_section="\0", delimiters=("=",))


class SettingsShow(BoxCommand):
    """Show the settings tree."""

    name = "settings show"
    description = "Show the settings of each node of the tree"
    help = "Example: <info>dunlinnotch settings show --box 10.0.0.1:7003</info>"

    def act(self) -> Exit:
        """Print the settings of each node."""
        tree = self.client().tree()
        rows = [[p, n, v] for p in sorted(tree.nodes) for n, v in sorted(tree.nodes[p].items())]
        self.show(tree, ["node", "setting", "value"], rows)
        if not self.option("json"):
            self.line(f"version {tree.version}")
        return Exit.OK


class SettingsGet(BoxCommand):
    """Print the effective value of one setting."""

    name = "settings get"
    description = "Print the effective value of a setting at a node"
    help = "Example: <info>dunlinnotch settings get hall-a/holdings weight</info>"
    arguments: ClassVar[list[Any]] = [
        argument("path", _PATH_HELP),
        argument("name", "Name of the setting"),
    ]

    def act(self) -> Exit:
        """Print the value; with ``--json``, the value and its source."""
        name = self.argument("name")
        check_name(name)
        explained = self.client().explain(self.argument("path"))
        effective = next(item for item in explained if item.name == name)
        if self.option("json"):
            self.print_json(effective)
        else:
            self.line(effective.value)
        return Exit.OK


class SettingsSet(EditCommand):
    """Set one or more values of a node."""

    name = "settings set"
    description = "Set values of one node in a single edit"
    help = "Example: <info>dunlinnotch settings set hall-a/holdings weight=0.25</info>"
    arguments: ClassVar[list[Any]] = [
        argument("path", _PATH_HELP),
        argument("values", "NAME=VALUE", multiple=True),
    ]

    def act(self) -> Exit:
        """Make the edit."""
        changes = []
        for pair in self.argument("values"):
            name, equals, value = pair.partition("=")
            if not equals:
                msg = f"{pair!r}: allowed is NAME=VALUE"
                raise SettingsError(msg)
            changes.append(Change(self.argument("path"), name.strip(), value.strip()))
        return self.edit(changes)


class SettingsUnset(EditCommand):
    """Remove one or more values of a node."""

    name = "settings unset"
    description = "Remove values of one node, so that it inherits them again"
    help = "Example: <info>dunlinnotch settings unset hall-a/holdings weight</info>"
    arguments: ClassVar[list[Any]] = [
        argument("path", _PATH_HELP),
        argument("names", "Names of settings", multiple=True),
    ]

    def act(self) -> Exit:
        """Make the edit."""
        return self.edit([Change(self.argument("path"), n, None) for n in self.argument("names")])


class SettingsExport(BoxCommand):
    """Print the settings tree as INI."""

    name = "settings export"
    description = "Print the settings tree as INI"
    help = "Example: <info>dunlinnotch settings export > tree.ini</info>"

    def act(self) -> Exit:
        """Print the INI text."""
        self.io.output.write(export_ini(self.client().tree()))
        return Exit.OK


class SettingsImport(EditCommand):
    """Make the settings tree equal to an INI file."""

    name = "settings import"
    description = "Make the settings tree equal to an INI file in a single edit"
    help = "Example: <info>dunlinnotch settings import tree.ini --dry-run</info>"
    arguments: ClassVar[list[Any]] = [argument("file", "INI file, as written by settings export")]
    options: ClassVar[list[Any]] = [
        *EditCommand.options,
        option("dry-run", None, "Show the changes without making them"),
    ]

    def act(self) -> Exit:
        """Make the edit."""
        text = _read_text(Path(self.argument("file")))
        changes = import_changes(self.client().tree(), text)
        for change in changes:
            change.check()
        if not changes:
            self.line("nothing to change")
            return Exit.OK
        if self.option("dry-run"):
            rows = [[c.path, c.name, "(inherit)" if c.value is None else c.value] for c in changes]
            self.render_table(["node", "setting", "new value"], rows, style="compact")
            return Exit.OK
        return self.edit(changes)


class SettingsHistory(BoxCommand):
    """Show the latest edits."""

    name = "settings history"
    description = "Show the latest edits with their authors, newest last"
    help = "Example: <info>dunlinnotch settings history --json</info>"

    def act(self) -> Exit:
        """Print the edits that the box holds."""
        edits = self.client().tree().edits
        rows = [
            [str(e.version), e.author, c.path, c.name, "(inherit)" if c.value is None else c.value]
            for e in edits
            for c in e.changes
        ]
        self.show(edits, ["version", "author", "node", "setting", "value"], rows)
        return Exit.OK


class Explain(BoxCommand):
    """Show where effective values come from, and the targets of a service."""

    name = "explain"
    description = "Show each effective value with its node, and the current targets of the service"
    help = "Example: <info>dunlinnotch explain hall-a/holdings/lookup</info>"
    arguments: ClassVar[list[Any]] = [argument("path", _PATH_HELP)]

    def act(self) -> Exit:
        """Print the values, and the targets if the path names a service."""
        path = self.argument("path")
        client = self.client()
        explained = client.explain(path)
        rows = [[e.name, e.value, e.source or "(default)"] for e in explained]
        self.show(explained, ["setting", "value", "from"], rows)
        parts = path.split("/")
        if len(parts) > 1 and parts[1] and not self.option("json"):
            targets = client.targets(parts[1])
            table = [
                [
                    t.address,
                    t.place,
                    f"{t.score:.2f}",
                    str(t.own),
                    _flags(t.leaving, t.aside),
                ]
                for t in sorted(targets, key=lambda t: t.score)
            ]
            self.render_table(
                ["target", "place", "score", "in flight", "notes"], table, style="compact"
            )
        return Exit.OK


def _flags(leaving: bool, ejected: bool) -> str:
    return ", ".join(
        flag for flag, is_set in (("leaving", leaving), ("ejected", ejected)) if is_set
    )
