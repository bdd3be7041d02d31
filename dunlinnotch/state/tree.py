"""Settings tree: immutable, versioned, with inheritance by path.

A path is ``/`` for the root, ``PLACE``, ``PLACE/SERVICE`` or
``PLACE/SERVICE/KIND``.  ``*`` stands for every place.  The reserved paths
``box:NAME`` and ``target:ADDRESS`` hold the run state of one box or target.
A deeper node overrides a shallower one; at the same depth a named place
overrides ``*``.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from dunlinnotch._wire import wire
from dunlinnotch.errors import SettingsError
from dunlinnotch.state.schema import RunState, Settings, check_name, check_value
from dunlinnotch.types import Address, Version

if TYPE_CHECKING:
    from collections.abc import Iterable

ROOT = "/"
ANY_PLACE = "*"
BOX_PREFIX = "box:"
TARGET_PREFIX = "target:"
#: Limit of the edits held, by which a retry of an edit whose answer was lost is recognised.
MAX_EDITS = 1024

_PART = r"[A-Za-z0-9][A-Za-z0-9_.-]{0,63}"
_PATH = re.compile(
    rf"^(/|(\*|{_PART})(/{_PART}){{0,2}}|{BOX_PREFIX}{_PART}|{TARGET_PREFIX}[0-9a-fA-F.:\[\]]+)$"
)


def check_path(path: str) -> None:
    """Check the form of a path.

    Raises
    ------
    SettingsError
        If it is invalid; names the path received and the forms allowed.
    """
    if not _PATH.match(path):
        msg = (
            f"path {path!r} is not of the form /, PLACE, PLACE/SERVICE, PLACE/SERVICE/KIND, "
            f"{BOX_PREFIX}NAME or {TARGET_PREFIX}ADDRESS"
        )
        raise SettingsError(msg)


@wire
@dataclass(frozen=True, slots=True)
class Change:
    """One setting of one node.

    Parameters
    ----------
    path : str
    name : str
    value : str or None
        None removes the setting, so that it is inherited again.
    """

    path: str
    name: str
    value: str | None

    def check(self) -> None:
        """Check the path, the name and the value.

        Raises
        ------
        SettingsError
            If one of them is invalid.
        """
        check_path(self.path)
        if self.value is None:
            check_name(self.name)
        else:
            check_value(self.name, self.value)


@wire
@dataclass(frozen=True, slots=True)
class Edit:
    """A set of changes that take effect together.

    Parameters
    ----------
    edit_id : str
        Chosen by the author; the same in each retry.
    base : int
        Version of the tree on which the edit is based.
    author : str
    changes : tuple of Change
    version : int, default 0
        Version of the tree after the edit; 0 until it is accepted.
    """

    edit_id: str
    base: Version
    author: str
    changes: tuple[Change, ...]
    version: Version = 0

    def paths(self) -> frozenset[str]:
        """Return the paths of the changed nodes."""
        return frozenset(change.path for change in self.changes)


@wire
@dataclass(frozen=True)
class SettingsTree:
    """One version of the settings.

    Parameters
    ----------
    version : int
    nodes : mapping of path to mapping of name to text
    changed : mapping of path to int
        Version of the last change of each node.
    edits : tuple of Edit
        The last accepted edits, oldest first.
    """

    version: Version = 0
    nodes: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    changed: Mapping[str, Version] = field(default_factory=dict)
    edits: tuple[Edit, ...] = ()

    def apply(self, edit: Edit) -> SettingsTree:
        """Return the tree after an edit.

        Parameters
        ----------
        edit : Edit
            Its version must be one above this tree's.

        Raises
        ------
        SettingsError
            If the version of the edit is not the next one or a change is invalid.
        """
        if edit.version != self.version + 1:
            msg = f"edit {edit.edit_id} has version {edit.version}; allowed: {self.version + 1}"
            raise SettingsError(msg)
        nodes = {path: dict(values) for path, values in self.nodes.items() if path in edit.paths()}
        for change in edit.changes:
            change.check()
            values = nodes.setdefault(change.path, {})
            if change.value is None:
                values.pop(change.name, None)
            else:
                values[change.name] = change.value
        merged = {path: values for path, values in {**self.nodes, **nodes}.items() if values}
        changed = {**self.changed, **dict.fromkeys(edit.paths(), edit.version)}
        return SettingsTree(edit.version, merged, changed, (*self.edits, edit)[-MAX_EDITS:])

    def find_edit(self, edit_id: str) -> Edit | None:
        """Return the accepted edit with this id, or None if it is unknown or too old."""
        return next((edit for edit in reversed(self.edits) if edit.edit_id == edit_id), None)

    def edits_after(self, version: Version) -> tuple[Edit, ...] | None:
        """Return the edits that lead from ``version`` to this tree.

        Returns
        -------
        tuple of Edit or None
            None if the tree no longer holds them all.
        """
        missing = self.version - version
        if missing <= 0:
            return ()
        return self.edits[-missing:] if missing <= len(self.edits) else None

    def conflicts(self, edit: Edit) -> tuple[str, ...]:
        """Return the paths that changed after the version the edit is based on."""
        return tuple(sorted(p for p in edit.paths() if self.changed.get(p, 0) > edit.base))

    def chain(self, path: str) -> tuple[str, ...]:
        """Return the paths from which a node inherits, from the root to the node itself."""
        if path == ROOT or path.startswith((BOX_PREFIX, TARGET_PREFIX)):
            return (ROOT,) if path == ROOT else (ROOT, path)
        parts = path.split("/")
        chain = [ROOT]
        for depth in range(1, len(parts) + 1):
            any_place = "/".join([ANY_PLACE, *parts[1:depth]])
            named_place = "/".join(parts[:depth])
            chain.extend(dict.fromkeys((any_place, named_place)))
        return tuple(chain)

    def effective(self, path: str) -> Settings:
        """Return the effective settings at ``path``, with defaults."""
        settings = self._effective.get(path)
        if settings is None:
            values: dict[str, str] = {}
            for ancestor in self.chain(path):
                values.update(self.nodes.get(ancestor, {}))
            settings = self._effective[path] = Settings.model_validate(values)
        return settings

    def source(self, path: str, name: str) -> str | None:
        """Return the path whose value of ``name`` is effective, or None for the default."""
        check_name(name)
        holders = [p for p in self.chain(path) if name in self.nodes.get(p, {})]
        return holders[-1] if holders else None

    def service_paths(self) -> Iterable[tuple[str, str]]:
        """Yield ``(place, service)`` of each node that lists targets in a named place."""
        for path, values in self.nodes.items():
            place, _, service = path.partition("/")
            if service and "/" not in service and place != ANY_PLACE and "targets" in values:
                yield place, service

    def has_kind(self, service: str, kind: str) -> bool:
        """Return whether any place has a node for the request kind."""
        return (service, kind) in self._kinds

    def has_service(self, service: str) -> bool:
        """Return whether any place lists targets of the service."""
        return service in self._services

    def place_state(self, place: str) -> RunState:
        """Return the run state of a place."""
        return self.effective(place).state

    def box_state(self, name: str) -> RunState:
        """Return the run state an operator gave to a box."""
        return self.effective(BOX_PREFIX + name).state

    def target_state(self, address: Address) -> RunState:
        """Return the run state an operator gave to a target."""
        return self.effective(TARGET_PREFIX + address).state

    @cached_property
    def _effective(self) -> dict[str, Settings]:
        return {}

    @cached_property
    def _services(self) -> frozenset[str]:
        return frozenset(service for _, service in self.service_paths())

    @cached_property
    def _kinds(self) -> frozenset[tuple[str, str]]:
        split = (path.split("/") for path in self.nodes)
        return frozenset((parts[1], parts[2]) for parts in split if len(parts) == 3 and parts[0])
