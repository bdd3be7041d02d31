"""Apply the rows of the store's tables: settings and targets.

The platform's adapter supplies the functions that parse values, so this module does not
depend on their format.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.errors import SettingsError
from dunlinnotch.state.table_replica import TableRow

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.state.instances import InstanceList, ListedTarget
    from dunlinnotch.state.routes import RouteTable
    from dunlinnotch.state.table_replica import TableDelta
    from dunlinnotch.types import Clock, Seconds

#: Where more than this share of a service's targets disappears at once, the cause is more
#: likely the list than the targets.
_MASS_DISAPPEARANCE_SHARE = 0.34
#: Grace period after the return of the store in which targets with missing rows are kept as
#: a last resort.  Targets write expired rows again within about two seconds after the store
#: returns; what is missing then is gone.
MISSING_GRACE_S = 2.2
#: Time that the news of a removed row, and a request to its target, may take at most.  The
#: grace period is shorter than the drain time by it.
DRAIN_MARGIN_S = 0.3
#: Limits for text in log lines that other writers of the store control.
_MAX_LOGGED_KEY_CHARS, _MAX_LOGGED_DETAIL_CHARS = 80, 300

_log = logging.getLogger(__name__)


class ActiveRoutes:
    """The active route table of this box; it is replaced by higher versions only.

    Parameters
    ----------
    parse : callable
        Parses a document; raises :class:`~dunlinnotch.errors.SettingsError`.
    key : str
        Key of the row that holds the settings.
    on_change : callable
        Called with each new table.

    Attributes
    ----------
    unreadable_count : int
        Documents that could not be parsed so far; the last valid one stays active.
    """

    def __init__(
        self,
        parse: Callable[[bytes], RouteTable],
        *,
        key: str,
        on_change: Callable[[RouteTable], None],
    ) -> None:
        self._parse = parse
        self._key = key
        self._on_change = on_change
        self.table: RouteTable | None = None
        self._document = b""
        self.unreadable_count = 0

    def with_active_settings(self, delta: TableDelta) -> TableDelta:
        """Return a delta for a peer, with the row of the active settings instead of an older one.

        Notes
        -----
        A store restored from a backup holds older settings until the operator writes them
        again.  A box that starts in the meantime must not serve by these.
        """
        if self.table is None:
            return delta
        rows = {row.key: row for row in delta.rows}
        if self._key in rows or delta.is_snapshot:
            version = rows[self._key].version if self._key in rows else delta.version
            rows[self._key] = TableRow(self._key, version, self._document)
        return replace(delta, rows=tuple(rows.values()))

    def apply(self, rows: list[TableRow]) -> None:
        """Apply changed rows."""
        for row in rows:
            if row.key == self._key and row.value is not None:
                self._apply_document(row.value, row.version)

    def _apply_document(self, data: bytes, row_version: int) -> None:
        before = None if self.table is None else self.table.version
        try:
            table = self._parse(data)
        except SettingsError as error:
            self.unreadable_count += 1
            event(
                _log,
                "settings-unreadable",
                level=logging.ERROR,
                row_version=row_version,
                in_force=before,
                detail=str(error)[:_MAX_LOGGED_DETAIL_CHARS],
            )
            return
        if before is not None and table.version <= before:
            if table.version < before:
                event(_log, "settings-older", listed=table.version, in_force=before)
            return
        self.table = table
        self._document = data
        event(
            _log, "settings-in-force", version=table.version, before=before, kinds=len(table.kinds)
        )
        self._on_change(table)


class TargetListing:
    """The targets that the platform lists.

    Parameters
    ----------
    parse : callable
        Parses one row; raises :class:`~dunlinnotch.errors.SettingsError`.
    instances : InstanceList
    clock : callable
    drain : callable
        Returns the seconds after the removal of a row within which requests may still reach
        its target.
    followed_since : callable
        Returns the time, in monotonic seconds, since which the store has been followed
        without interruption.

    Notes
    -----
    If a single row disappears, its target has left, also while the store is failing.  If
    the store reports a row as lost, its target still runs and will write the row again.

    If most rows of a service disappear at once, the reason is one of two.  While targets
    can't write to the store, their rows expire, and they write them again soon after its
    return; such targets are kept until then as a last resort.  While the store is followed
    without interruption, targets can write to it as well, so rows that disappear then are
    those of targets that left.

    The grace period runs from the return of the store, not from the disappearance: a row
    that was removed by its target after the return is never kept beyond the drain time.

    A target whose row becomes unreadable gets no new requests; those in progress go on.
    Where half of the targets or more state when they started, rows that do not are
    rejected, as another writer must have written them.

    Attributes
    ----------
    unreadable_count : int
        Rows that could not be parsed so far.
    """

    def __init__(
        self,
        parse: Callable[[str, bytes], ListedTarget],
        instances: InstanceList,
        *,
        clock: Clock,
        drain: Callable[[], Seconds],
        followed_since: Callable[[], Seconds],
    ) -> None:
        self._parse = parse
        self._instances = instances
        self._clock = clock
        self._drain = drain
        self._followed_since = followed_since
        self.unreadable_count = 0

    def apply(self, rows: list[TableRow]) -> None:
        """Apply changed rows."""
        listed = [self._parse_row(row.key, row.value) for row in rows if row.value is not None]
        readable = [target for target in listed if target is not None]
        starts_stated = self._targets_state_starts(readable)
        for target in readable:
            self._apply_target(target, starts_stated=starts_stated)
        removed_keys = [row.key for row in rows if row.value is None and not row.lost]
        if removed_keys:
            self._remove(removed_keys)
        for row in rows:
            if row.lost:
                self._mark_missing(row.key, lost=True)

    def expire(self) -> None:
        """Drop targets whose rows are still missing after the grace period."""
        now = self._clock()
        for instance in list(self._instances.all()):
            if instance.missing_since is not None and now >= instance.kept_until:
                self._drop(instance.name, "lapsed", lost=instance.lost)

    def _parse_row(self, key: str, value: bytes) -> ListedTarget | None:
        try:
            return self._parse(key, value)
        except SettingsError as error:
            self._reject(key, str(error))
            return None

    def _reject(self, key: str, detail: str) -> None:
        """Log a row that can't be used, and suspend its target."""
        self.unreadable_count += 1
        used = self._instances.suspend(key)
        event(
            _log,
            "target-unreadable",
            level=logging.ERROR,
            key=key[:_MAX_LOGGED_KEY_CHARS],
            detail=detail[:_MAX_LOGGED_DETAIL_CHARS],
            was_used=used,
        )

    def _targets_state_starts(self, new: list[ListedTarget]) -> bool:
        """Return whether half of the targets or more state when they started."""
        listed_by_name = {instance.name: instance.listed for instance in self._instances.all()}
        listed_by_name.update((listed.instance, listed) for listed in new)
        stating_start = sum(listed.born > 0 for listed in listed_by_name.values())
        return stating_start > 0 and 2 * stating_start >= len(listed_by_name)

    def _apply_target(self, listed: ListedTarget, *, starts_stated: bool) -> None:
        if starts_stated and not listed.born:
            self._reject(
                listed.instance,
                "the row does not state when the target started, as those of other targets do",
            )
            return
        previous = self._instances.find(listed.instance)
        if self._instances.apply(listed, self._clock()):
            event(
                _log,
                "target-leaving" if listed.leaving else "target-listed",
                instance=listed.instance,
                born=listed.born,
                service=listed.service,
                target=listed.address,
                sequence=listed.sequence,
                new=previous is None or previous.listed.born != listed.born,
            )

    def _remove(self, keys: list[str]) -> None:
        may_have_expired = self._clock() < self._grace_end()
        keep = may_have_expired and self._is_mass_disappearance(keys)
        for key in keys:
            if keep:
                self._mark_missing(key)
            else:
                self._drop(key, "gone")

    def _mark_missing(self, key: str, *, lost: bool = False) -> None:
        """Keep a target whose row is missing as a last resort until the grace period ends."""
        instance = self._instances.find(key)
        if instance is None:
            return
        instance.missing_since = self._clock()
        instance.kept_until = self._grace_end()
        instance.lost = lost
        event(_log, "target-lapsed", instance=key, target=instance.address, lost=lost)

    def _grace_end(self) -> Seconds:
        """Return the time until which rows may be missing because the store was away."""
        return self._followed_since() + min(MISSING_GRACE_S, self._drain() - DRAIN_MARGIN_S)

    def _is_mass_disappearance(self, keys: list[str]) -> bool:
        """Return whether over a third of a service's targets, and at least three, disappeared."""
        instances = [i for i in map(self._instances.find, keys) if i is not None]
        services = {i.listed.service for i in instances}
        for service in services:
            lost = sum(i.listed.service == service for i in instances)
            if lost > 2 and lost > _MASS_DISAPPEARANCE_SHARE * len(
                self._instances.for_service(service)
            ):
                return True
        return False

    def _drop(self, key: str, why: str, *, lost: bool = False) -> None:
        instance = self._instances.find(key)
        # A row that the store lost may be written again unchanged.
        remove = self._instances.suspend if lost else self._instances.remove
        if instance is not None and remove(key):
            event(_log, "target-gone", instance=key, target=instance.address, why=why)
