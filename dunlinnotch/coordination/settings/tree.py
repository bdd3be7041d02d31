"""The active settings tree: following the table and making edits.

The table holds one row with the newest version and one row for each edit, both written in
one transaction.  The object store holds a recent snapshot, so that a starting box need not
read every edit.  A tree is only ever replaced by one of a higher version.
"""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING

from dunlinnotch import _codec
from dunlinnotch._logs import event
from dunlinnotch.errors import PlatformUnavailableError, ProtocolError, SettingsError
from dunlinnotch.protocol.outcome import EditResult, EditStatus
from dunlinnotch.protocol.platform import Check, Put, SettingsHead, Transaction, TransactResult
from dunlinnotch.state.tree import Edit, SettingsTree

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dunlinnotch.protocol.platform import Platform, Row
    from dunlinnotch.types import Clock, Seconds, Version

HEAD_KEY = "settings/head"
EDIT_PREFIX = "settings/edit/"
SNAPSHOT = "settings/snapshot"
#: A snapshot is stored at each multiple of this version.
SNAPSHOT_EVERY = 64
_SCAN_LIMIT = 256
#: Attempts to write an edit or read it back before its result is reported as unknown.
_MAX_EDIT_ATTEMPTS = 6

_log = logging.getLogger(__name__)


def edit_key(version: Version) -> str:
    """Return the key of the row that holds the edit with this version."""
    return f"{EDIT_PREFIX}{version:012d}"


class SettingsHolder:
    """The active settings tree of this box.

    Parameters
    ----------
    on_change : callable, optional
        Called with each new tree, in order of version.

    Notes
    -----
    Thread-safe.  Reading :attr:`tree` takes no lock.
    """

    def __init__(self, on_change: Callable[[SettingsTree], None] | None = None) -> None:
        self.tree = SettingsTree()
        self._on_change = on_change
        self._lock = threading.Lock()

    @property
    def version(self) -> Version:
        """Active version; 0 before any is known."""
        return self.tree.version

    def advance(self, edits: Iterable[Edit]) -> bool:
        """Apply those edits that follow the active tree.

        Returns
        -------
        bool
            Whether the version changed.
        """
        with self._lock:
            tree = self.tree
            for edit in edits:
                if edit.version == tree.version + 1:
                    tree = tree.apply(edit)
            return self._activate(tree)

    def replace(self, tree: SettingsTree) -> bool:
        """Replace the tree if the given one is newer; return whether it was."""
        with self._lock:
            return self._activate(tree)

    def _activate(self, tree: SettingsTree) -> bool:
        if tree.version <= self.tree.version:
            return False
        old, self.tree = self.tree.version, tree
        if self._on_change is not None:
            self._on_change(tree)
        event(_log, "settings-in-force", version=tree.version, before=old)
        return True


class SettingsFollower:
    """Read new edits from the table into a holder.

    Parameters
    ----------
    platform : Platform
    holder : SettingsHolder
    clock : callable

    Attributes
    ----------
    read_at : float or None
        Clock time, in seconds, at which the last successful read was sent.
    head_row_version : int
        Version of the row that holds the newest settings version; 0 if it is missing.
    """

    def __init__(self, platform: Platform, holder: SettingsHolder, *, clock: Clock) -> None:
        self._platform = platform
        self._holder = holder
        self._clock = clock
        self.read_at: Seconds | None = None
        self.head_row_version = 0

    def poll(self) -> bool:
        """Update the holder to the table's newest version.

        Returns
        -------
        bool
            Whether the version changed.

        Raises
        ------
        PlatformUnavailableError
            If the table can't be read or holds an invalid row.
        """
        requested_at = self._clock()
        row = self._platform.read(HEAD_KEY)
        head = _head_version(row)
        self.head_row_version = row.version if row is not None else 0
        try:
            changed = self._catch_up(head)
        except (ProtocolError, SettingsError) as error:
            # An invalid row must not crash every box that reads it.
            msg = f"the settings in the table can't be read: {error}"
            raise PlatformUnavailableError(msg) from None
        self.read_at = requested_at
        return changed

    def _catch_up(self, head: Version) -> bool:
        start = self._holder.version
        if head > start and start == 0:
            self._load_snapshot()
        while self._holder.version < head:
            after = edit_key(self._holder.version)
            rows = self._platform.scan(EDIT_PREFIX, after=after, limit=_SCAN_LIMIT)
            edits = [_codec.from_json(Edit, row.value.encode()) for row in rows]
            if not self._holder.advance(edits):
                break
        return self._holder.version > start

    def _load_snapshot(self) -> None:
        data = self._platform.get_object(SNAPSHOT)
        if data is not None:
            self._holder.replace(_codec.from_json(SettingsTree, data))


class SettingsEditor:
    """Write operators' edits by compare-and-set on the table.

    Parameters
    ----------
    platform : Platform
    holder : SettingsHolder
    follower : SettingsFollower
    missing : callable
        Given a version, returns the names of the boxes that may serve and
        have not confirmed it.
    wait : callable
        Given a version and seconds, waits until ``missing`` is empty.
    """

    def __init__(
        self,
        platform: Platform,
        holder: SettingsHolder,
        follower: SettingsFollower,
        *,
        missing: Callable[[Version], tuple[str, ...]],
        wait: Callable[[Version, Seconds], bool],
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._follower = follower
        self._missing = missing
        self._wait = wait
        self._lock = threading.Lock()

    def edit(self, edit: Edit, *, timeout: Seconds) -> EditResult:
        """Write one edit and wait until it is active on all boxes.

        Parameters
        ----------
        edit : Edit
            A retry must have the same id.
        timeout : float
            Seconds to wait for the boxes' confirmations.

        Returns
        -------
        EditResult
        """
        with self._lock:
            result = self._commit(edit)
        event(
            _log,
            "settings-edit",
            edit=edit.edit_id,
            author=edit.author,
            status=result.status,
            version=result.version,
            paths=sorted(edit.paths()),
            detail=result.detail,
        )
        if result.status is not EditStatus.ACCEPTED:
            return result
        self._wait(result.version, timeout)
        missing = self._missing(result.version)
        status = EditStatus.PENDING if missing else EditStatus.ACCEPTED
        return EditResult(status, result.version, missing=missing)

    def _commit(self, edit: Edit) -> EditResult:
        """Write the edit; if an answer is lost, read back whether it was stored."""
        sent = False
        for _ in range(_MAX_EDIT_ATTEMPTS):
            try:
                self._follower.poll()
                existing = self._existing_result(edit)
                if existing is not None:
                    return existing
                sent = True
                if self._write(edit) is TransactResult.COMMITTED:
                    return self._activate_edit(edit)
            except PlatformUnavailableError as error:
                if not sent:
                    return EditResult(EditStatus.UNAVAILABLE, self._holder.version, str(error))
        detail = "the platform did not confirm whether the edit was stored; retry with the same id"
        return EditResult(EditStatus.UNKNOWN, self._holder.version, detail)

    def _existing_result(self, edit: Edit) -> EditResult | None:
        """Return the result if the edit is already stored, invalid or in conflict."""
        tree = self._holder.tree
        earlier = tree.find_edit(edit.edit_id)
        if earlier is not None:
            return EditResult(EditStatus.ACCEPTED, earlier.version)
        if conflicts := tree.conflicts(edit):
            detail = f"changed by another edit since version {edit.base}"
            return EditResult(EditStatus.CONFLICT, tree.version, detail, conflicts)
        try:
            tree.apply(_numbered(edit, tree.version + 1))
        except SettingsError as error:
            return EditResult(EditStatus.INVALID, tree.version, str(error))
        return None

    def _write(self, edit: Edit) -> TransactResult:
        version = self._holder.version + 1
        numbered = _numbered(edit, version)
        transaction = Transaction(
            checks=(Check(HEAD_KEY, self._follower.head_row_version), Check(edit_key(version), 0)),
            puts=(
                Put(HEAD_KEY, _codec.to_json(SettingsHead(version)).decode()),
                Put(edit_key(version), _codec.to_json(numbered).decode()),
            ),
        )
        return self._platform.transact(transaction)

    def _activate_edit(self, edit: Edit) -> EditResult:
        version = self._holder.version + 1
        self._holder.advance([_numbered(edit, version)])
        if version % SNAPSHOT_EVERY == 0:
            self._store_snapshot()
        return EditResult(EditStatus.ACCEPTED, version)

    def _store_snapshot(self) -> None:
        try:
            self._platform.put_object(SNAPSHOT, _codec.to_json(self._holder.tree))
        except PlatformUnavailableError as error:
            event(_log, "snapshot-failed", level=logging.WARNING, detail=str(error))


def _numbered(edit: Edit, version: Version) -> Edit:
    return Edit(edit.edit_id, edit.base, edit.author, edit.changes, version)


def _head_version(row: Row | None) -> Version:
    if row is None:
        return 0
    try:
        return _codec.from_json(SettingsHead, row.value.encode()).version
    except ProtocolError as error:
        raise PlatformUnavailableError(str(error)) from None
