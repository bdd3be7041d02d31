"""Membership by rows: the state of each box, and the peers to link to.

Rows spread as deltas along a bounded number of links.  Each row is written by the
box that it describes.  The row with the larger (incarnation, sequence) wins, so a
late row of an earlier start never replaces that of a later one.
"""

from __future__ import annotations

import logging
import threading
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.subset import highest_weighted
from dunlinnotch.protocol.peers import LinkState, Sync
from dunlinnotch.state.schema import RunState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dunlinnotch.coordination.settings.tree import SettingsHolder
    from dunlinnotch.protocol.platform import ListedBox
    from dunlinnotch.state.boxes import BoxRow, LeavingTarget
    from dunlinnotch.types import Address, Clock, Seconds, Version

#: Largest number of edits in one sync message; for more, the complete tree is sent.
_MAX_EDITS_PER_SYNC = 64

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _ReceivedRow:
    """A row with the local time at which it was received."""

    row: BoxRow
    received_at: Seconds


class Membership:
    """One box's view of the rows of all boxes.

    Parameters
    ----------
    own : BoxRow
        Initial row of this box.
    holder : SettingsHolder
    clock : callable
        Returns monotonic seconds.
    suspect_s : float, default 2.0
        Seconds without a newer row after which a box is no longer offered to
        callers.
    forget_s : float, default 30.0
        Seconds after which the row of a box that is not listed is dropped.

    Notes
    -----
    Thread-safe.
    """

    def __init__(
        self,
        own: BoxRow,
        *,
        holder: SettingsHolder,
        clock: Clock,
        suspect_s: Seconds = 2.0,
        forget_s: Seconds = 30.0,
    ) -> None:
        self._own = own
        self._holder = holder
        self._clock = clock
        self.suspect_s = suspect_s
        self._forget_s = forget_s
        self._received: dict[str, _ReceivedRow] = {}
        self._listed: dict[str, ListedBox] = {}
        self._changed = threading.Condition(threading.RLock())
        self._peer_received_at: Seconds | None = None
        self._table_read_at: Seconds | None = None

    @property
    def own(self) -> BoxRow:
        """The newest row of this box."""
        return self._own

    def refresh_own(
        self,
        *,
        in_flight: int | None = None,
        state: RunState | None = None,
        version: Version | None = None,
        leaving: tuple[LeavingTarget, ...] | None = None,
    ) -> BoxRow:
        """Make and return a newer row of this box.

        Parameters
        ----------
        in_flight : int, optional
        state : RunState, optional
        version : int, optional
            Settings version that has just become active.
        leaving : tuple of LeavingTarget, optional
        """
        with self._changed:
            row = self._own
            self._own = replace(
                row,
                seq=row.seq + 1,
                version=self._holder.version if version is None else version,
                in_flight=row.in_flight if in_flight is None else in_flight,
                state=state or row.state,
                leaving=row.leaving if leaving is None else leaving,
                tick=self._clock(),
            )
            self._changed.notify_all()
            return self._own

    def next_sync(self, link: LinkState) -> Sync:
        """Return the rows and edits that the peer on ``link`` may lack."""
        with self._changed:
            rows = tuple(r for r in self._all_rows() if r.recency > link.rows.get(r.name, (0, 0)))
            link.rows.update({row.name: row.recency for row in rows})
            tree = self._holder.tree
            edits = tree.edits_after(link.version)
            send_tree = edits is None or len(edits) > _MAX_EDITS_PER_SYNC
            return Sync(
                sender=self._own.name,
                incarnation=self._own.incarnation,
                version=tree.version,
                table_age=self.table_age(),
                rows=rows,
                edits=() if send_tree or edits is None else edits,
                tree=tree if send_tree else None,
            )

    def apply(self, sync: Sync, link: LinkState) -> None:
        """Apply the rows and edits that a peer sent."""
        link.version = sync.version
        if sync.tree is not None:
            self._holder.replace(sync.tree)
        self._holder.advance(sync.edits)
        with self._changed:
            now = self._clock()
            self._peer_received_at = now
            for row in sync.rows:
                link.rows[row.name] = max(row.recency, link.rows.get(row.name, (0, 0)))
                self._apply_row(row, now)
            self._changed.notify_all()

    def apply_listing(self, boxes: Iterable[ListedBox]) -> None:
        """Replace the platform's list of boxes, which may be outdated."""
        with self._changed:
            self._listed = {box.name: box for box in boxes}
            self._forget()

    def record_table_read(self, at: Seconds) -> None:
        """Record that a read of the table that began at ``at`` succeeded."""
        with self._changed:
            self._table_read_at = at

    def last_contact(self) -> Seconds | None:
        """Return when the table was last read or a peer last sent rows; None if never."""
        received = [
            moment for moment in (self._table_read_at, self._peer_received_at) if moment is not None
        ]
        return max(received, default=None)

    def rows(self) -> list[BoxRow]:
        """Return the newest row of each known box, this one first."""
        with self._changed:
            return self._all_rows()

    def live(self) -> list[BoxRow]:
        """Return the rows of live boxes that have not stopped, draining ones included."""
        with self._changed:
            now = self._clock()
            received = [
                entry.row
                for entry in self._received.values()
                if now - entry.received_at <= self.suspect_s
            ]
            return [row for row in (self._own, *received) if row.state is not RunState.STOPPED]

    def unconfirmed_boxes(self, version: Version) -> tuple[str, ...]:
        """Return the names of boxes that may serve and have not confirmed ``version``.

        Notes
        -----
        A box counts until it confirms, reports that it has stopped, or is both silent
        for ``forget_s`` and gone from the platform's list.  An unreachable box thus
        delays an edit, which must not count as accepted before that box applies it.
        """
        with self._changed:
            self._forget()
            behind = {
                row.name
                for row in self._all_rows()
                if row.version < version and row.state is not RunState.STOPPED
            }
            known = {row.name for row in self._all_rows()}
            unknown = {box.name for box in self._listed.values() if not box.leaving} - known
            return tuple(sorted(behind | unknown))

    def wait_confirmed(self, version: Version, timeout: Seconds) -> bool:
        """Wait until :meth:`unconfirmed_boxes` is empty; return False on a timeout."""
        with self._changed:
            return self._changed.wait_for(lambda: not self.unconfirmed_boxes(version), timeout)

    def select_links(self, count: int, seeds: Iterable[Address]) -> dict[str, Address]:
        """Return the peers to connect to, by name (an address for a seed).

        Parameters
        ----------
        count : int
            Largest number of links that this box opens.
        seeds : iterable of str
            Addresses used while no peer is known.

        Returns
        -------
        dict of str to str
            The next box by name, which keeps the graph of links connected, then a live
            one in another place, then those with the highest rendezvous weight.
        """
        with self._changed:
            others = {row.name: row for row in self.live() if row.name != self._own.name}
            listed = {b.name: b.peer for b in self._listed.values() if b.name != self._own.name}
        addresses = {**listed, **{name: row.peer for name, row in others.items()}}
        if not addresses:
            return {seed: seed for seed in seeds if seed != self._own.peer}
        chosen = [self._next_name(sorted(addresses))]
        other_place = [name for name, row in others.items() if row.place != self._own.place]
        chosen += highest_weighted(self._own.name, other_place, 1)
        chosen += highest_weighted(self._own.name, addresses, count)
        names = list(dict.fromkeys(chosen))[:count]
        return {name: addresses[name] for name in names}

    def _next_name(self, names: list[str]) -> str:
        return next((name for name in names if name > self._own.name), names[0])

    def _all_rows(self) -> list[BoxRow]:
        return [self._own, *(received.row for received in self._received.values())]

    def _apply_row(self, row: BoxRow, now: Seconds) -> None:
        if row.name == self._own.name:
            self._check_replaced(row)
            return
        previous = self._received.get(row.name)
        if previous is not None and row.recency <= previous.row.recency:
            return
        if (
            previous is None
            or previous.row.state is not row.state
            or previous.row.incarnation != row.incarnation
        ):
            event(
                _log,
                "box-row",
                box=row.name,
                state=row.state,
                incarnation=row.incarnation,
                place=row.place,
            )
        self._received[row.name] = _ReceivedRow(row, now)

    def _check_replaced(self, row: BoxRow) -> None:
        """Stop serving if a later start of this box exists."""
        if row.incarnation > self._own.incarnation and self._own.state is not RunState.STOPPED:
            event(_log, "replaced", level=logging.WARNING, incarnation=row.incarnation)
            self._own = replace(self._own, state=RunState.STOPPED)

    def _forget(self) -> None:
        now = self._clock()
        expired = [
            name
            for name, received in self._received.items()
            if now - received.received_at > self._forget_s and name not in self._listed
        ]
        for name in expired:
            event(_log, "box-forgotten", box=name)
            del self._received[name]

    def table_age(self) -> Seconds | None:
        """Return the seconds since this box last read the table, or None if it never did."""
        return None if self._table_read_at is None else self._clock() - self._table_read_at
