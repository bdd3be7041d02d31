"""Commands on the settings tree."""

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
    """Return a tree as INI text, one section for each node."""
    parser = _parser()
    for path in sorted(tree.nodes):
        parser[path] = dict(sorted(tree.nodes[path].items()))
    out = io.StringIO()
    parser.write(out)
    return out.getvalue()


def import_changes(tree: SettingsTree, text: str) -> list[Change]:
    """Return the changes that turn ``tree`` into the one in INI text.

    Raises
    ------
    SettingsError
        If the text is not INI.
    """
    parser = _parser()
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError(str(error)) from None
    wanted = {path: dict(parser[path]) for path in parser.sections()}
    changes = []
    for path in sorted({*tree.nodes, *wanted}):
        old, new = tree.nodes.get(path, {}), wanted.get(path, {})
        changes += [Change(path, n, v) for n, v in sorted(new.items()) if old.get(n) != v]
        changes += [Change(path, n, None) for n in sorted(old) if n not in new]
    return changes


def read_tree(file: Path) -> SettingsTree:
    """Return the tree in an INI file, as written by ``settings export``.

    Raises
    ------
    SettingsError
        If the file can't be read, or a setting in it is unknown or out of range.
    """
    empty = SettingsTree()
    changes = import_changes(empty, _read_text(file))
    for change in changes:
        change.check()
    return empty.apply(Edit("check", 0, "check", tuple(changes), version=1))


def _read_text(file: Path) -> str:
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise SettingsError(str(error)) from None


def _parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(interpolation=None, default_section="\0", delimiters=("=",))


class SettingsShow(BoxCommand):
    """Show the tree."""

    name = "settings show"
    description = "Show what the tree's nodes set"
    help = "Example: <info>dunlinnotch settings show --box 10.0.0.1:7003</info>"

    def act(self) -> Exit:
        """Print each setting of each node."""
        tree = self.client().tree()
        rows = [[p, n, v] for p in sorted(tree.nodes) for n, v in sorted(tree.nodes[p].items())]
        self.show(tree, ["node", "setting", "value"], rows)
        if not self.option("json"):
            self.line(f"version {tree.version}")
        return Exit.OK


class SettingsGet(BoxCommand):
    """Print one effective value."""

    name = "settings get"
    description = "Print the value in force at a node"
    help = "Example: <info>dunlinnotch settings get hall-a/holdings weight</info>"
    arguments: ClassVar[list[Any]] = [
        argument("path", _PATH_HELP),
        argument("name", "Name of the setting"),
    ]

    def act(self) -> Exit:
        """Print the value, or value and source as JSON."""
        name = self.argument("name")
        check_name(name)
        explained = self.client().explain(self.argument("path"))
        found = next(item for item in explained if item.name == name)
        if self.option("json"):
            self.print_json(found)
        else:
            self.line(found.value)
        return Exit.OK


class SettingsSet(EditCommand):
    """Set one value or several."""

    name = "settings set"
    description = "Set values of one node, all at once"
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
                msg = f"{pair!r} is not of the form NAME=VALUE"
                raise SettingsError(msg)
            changes.append(Change(self.argument("path"), name.strip(), value.strip()))
        return self.edit(changes)


class SettingsUnset(EditCommand):
    """Remove one value or several."""

    name = "settings unset"
    description = "Remove values of one node, so that they are inherited again"
    help = "Example: <info>dunlinnotch settings unset hall-a/holdings weight</info>"
    arguments: ClassVar[list[Any]] = [
        argument("path", _PATH_HELP),
        argument("names", "Names of settings", multiple=True),
    ]

    def act(self) -> Exit:
        """Make the edit."""
        return self.edit([Change(self.argument("path"), n, None) for n in self.argument("names")])


class SettingsExport(BoxCommand):
    """Write the tree as INI."""

    name = "settings export"
    description = "Print the tree as INI"
    help = "Example: <info>dunlinnotch settings export > tree.ini</info>"

    def act(self) -> Exit:
        """Print the text."""
        self.io.output.write(export_ini(self.client().tree()))
        return Exit.OK


class SettingsImport(EditCommand):
    """Make the tree equal to an INI file."""

    name = "settings import"
    description = "Make the tree equal to an INI file, in one edit"
    help = "Example: <info>dunlinnotch settings import tree.ini --dry-run</info>"
    arguments: ClassVar[list[Any]] = [argument("file", "INI file, as written by export")]
    options: ClassVar[list[Any]] = [
        *EditCommand.options,
        option("dry-run", None, "Show what would change, and change nothing"),
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
    """Show the newest edits."""

    name = "settings history"
    description = "Show who changed what, newest last"
    help = "Example: <info>dunlinnotch settings history --json</info>"

    def act(self) -> Exit:
        """Print the edits that the box remembers."""
        edits = self.client().tree().edits
        rows = [
            [str(e.version), e.author, c.path, c.name, "(inherit)" if c.value is None else c.value]
            for e in edits
            for c in e.changes
        ]
        self.show(edits, ["version", "author", "node", "setting", "value"], rows)
        return Exit.OK


class Explain(BoxCommand):
    """Say why a value is in force and which targets may take a call."""

    name = "explain"
    description = "Show each effective value with the node it comes from, and the targets now"
    help = "Example: <info>dunlinnotch explain hall-a/holdings/lookup</info>"
    arguments: ClassVar[list[Any]] = [argument("path", _PATH_HELP)]

    def act(self) -> Exit:
        """Print values and targets."""
        path = self.argument("path")
        client = self.client()
        explained = client.explain(path)
        rows = [[e.name, e.value, e.source or "(default)"] for e in explained]
        self.show(explained, ["setting", "value", "from"], rows)
        parts = path.split("/")
        if len(parts) > 1 and parts[1] and not self.option("json"):
            targets = client.targets(parts[1])
            table = [
                [t.address, t.place, f"{t.score:.2f}", str(t.own), _notes(t.leaving, t.aside)]
                for t in sorted(targets, key=lambda t: t.score)
            ]
            self.render_table(["target", "place", "score", "own", "notes"], table, style="compact")
        return Exit.OK


def _notes(leaving: bool, aside: bool) -> str:
    return ", ".join(n for n, on in (("leaving", leaving), ("set aside", aside)) if on)
