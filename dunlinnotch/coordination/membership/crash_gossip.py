"""Replicate crash records, of requests whose targets crashed, to all boxes by gossip.

A box sends new crash records to a few peers at once, which pass on what is new to
them.  Each heartbeat carries the digest of the records that count towards a
quarantine; a box that receives another digest than its own replies with its records.
Quarantined requests are also stored in the platform's store, for boxes that reach no
peer.  A store that was restored from a backup may have lost them, so they are then
stored again.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.errors import PlatformUnavailableError, ProtocolError
from dunlinnotch.protocol.crashes import (
    CrashReport,
    as_ages,
    from_ages,
    pack_crashes,
    unpack_crashes,
)
from dunlinnotch.protocol.store import RowsChange
from dunlinnotch.state.crashes import QUARANTINE_THRESHOLD, RETENTION_S

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from dunlinnotch.coordination.membership.mesh import Mesh
    from dunlinnotch.protocol.mesh import Heartbeat
    from dunlinnotch.protocol.store import RowsRead, RowStore
    from dunlinnotch.state.crashes import CrashLog, CrashRecord
    from dunlinnotch.types import Address, Seconds

    Send = Callable[[Iterable[CrashReport], Iterable[Address]], None]

#: Table in the platform's store with one row for each quarantined request.
TABLE = "requests-that-end-targets"
#: Shortest time between two replies with all records to the same peer, in seconds: new
#: records reach most peers without such a reply.
_MIN_REPAIR_INTERVAL_S = 0.8
#: Interval between checks whether the store must be read or written, in seconds.
_POLL_INTERVAL_S = 0.1
#: Time for which a new box waits for the records of its peers before it reads the store,
#: in seconds: of boxes that start together, one per place should read.
_START_DELAY_S = 0.8
#: Time after which a new box serves without crash records, in seconds: failed reads of
#: this table alone must not stop the service.
_SYNC_TIMEOUT_S = 2.0
#: Interval between reads of the store while some place has no live box, in seconds: well
#: under the time within which all boxes must know of a quarantine.
_PARTITION_READ_INTERVAL_S = 1.5
#: Delay after a failed call to the store, in seconds.
_RETRY_DELAY_S = 0.4
#: Largest number of expired rows removed by one change.
_MAX_REMOVED_ROWS = 40

_log = logging.getLogger(__name__)


class CrashGossip:
    """Send this box's crash records to its peers, and merge theirs.

    Parameters
    ----------
    log : CrashLog
    mesh : Mesh
    store : RowStore
    send : callable
        Sends crash reports to peers.
    on_synced : callable
        Called once, when this box has obtained the records from before its start.
    epoch : callable
        Returns the epoch of the store: rows written in an earlier one may be lost.
    rng : random.Random

    Attributes
    ----------
    synced : bool
        Whether this box has obtained the records from before its start.
    """

    def __init__(
        self,
        log: CrashLog,
        mesh: Mesh,
        store: RowStore,
        *,
        send: Send,
        on_synced: Callable[[], None],
        epoch: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._records = log
        self._mesh = mesh
        self._store = store
        self._send = send
        self._on_synced = on_synced
        self._epoch = epoch
        self._stored_in_epoch: int | None = None
        self._rng = rng
        self._started_at = log.now
        self._read_at = -math.inf
        self._sent_all_at: dict[str, Seconds] = {}
        self._to_store: set[str] = set()
        self.synced = False

    @property
    def may_serve(self) -> bool:
        """Whether the box may serve requests: it is synced, or has waited long enough."""
        return self.synced or self._records.now - self._started_at > _SYNC_TIMEOUT_S

    def publish(self, records: Sequence[CrashRecord]) -> None:
        """Send the records of crashes that this box has seen itself to peers."""
        self._distribute(records, stores=True)

    def receive(self, report: CrashReport) -> None:
        """Merge a peer's report, and pass it on if it is new."""
        record = self._records.merge(from_ages(report, self._records.now))
        if record is not None:
            self._distribute([record], stores=self._mesh.is_follower())

    def compare_digest(self, heartbeat: Heartbeat) -> None:
        """Reply to a heartbeat with this box's records if the digests differ."""
        digest = self._records.digest
        if heartbeat.crash_digest == digest:
            self._mark_synced()
            return
        last = self._sent_all_at.get(heartbeat.name, -math.inf)
        if self._records.conclusive and self._records.now - last > _MIN_REPAIR_INTERVAL_S:
            self._sent_all_at[heartbeat.name] = self._records.now
            self._send(self._conclusive_reports(), [heartbeat.peer])

    def _conclusive_reports(self) -> list[CrashReport]:
        now = self._records.now
        return [as_ages(record, now) for record in self._records.conclusive]

    def _distribute(self, new: Sequence[CrashRecord], *, stores: bool) -> None:
        """Log new records, send them to peers, and store those of quarantined requests.

        Notes
        -----
        The follower of each place also stores records that it receives: three boxes may
        each have seen one target crash, so that none of them saw the quarantine itself.
        """
        for record in new:
            if stores and record.consecutive_crashes >= QUARANTINE_THRESHOLD:
                self._to_store.add(record.request)
            event(
                _log,
                "evidence",
                known_by=record.request,
                targets=sorted(record.targets),
                answers=record.answers,
                barred_for_s=round(self._records.quarantine_left(record.request), 1),
            )
        self._update_digest()
        peers = {*self._mesh.update_peers(), *self._mesh.remote_peers()}
        self._send([as_ages(record, self._records.now) for record in new], peers)

    def _update_digest(self) -> None:
        """Set the digest that this box's heartbeats carry."""
        self._mesh.crash_digest = self._records.digest if self.synced else None

    def _mark_synced(self) -> None:
        was_synced, self.synced = self.synced, True
        self._update_digest()
        if not was_synced:
            event(_log, "evidence-known", requests=len(self._records.conclusive))
            self._on_synced()

    async def run(self) -> None:
        """Read and write rows of the store whenever needed, until cancelled."""
        while True:
            try:
                if self._must_read():
                    self._merge_rows(await self._read())
                self._restore_lost()
                for request in list(self._to_store):
                    await self._store_record(request)
            except PlatformUnavailableError as error:
                event(_log, "evidence-store-failed", level=logging.WARNING, detail=str(error))
                await asyncio.sleep(_RETRY_DELAY_S)
            await asyncio.sleep(_POLL_INTERVAL_S * (0.8 + 0.4 * self._rng.random()))

    def _must_read(self) -> bool:
        now = self._records.now
        if not self.synced:
            return self._mesh.is_follower() or now - self._started_at > _START_DELAY_S
        partitioned = self._mesh.is_follower() and bool(self._mesh.silent_places())
        return partitioned and now - self._read_at > _PARTITION_READ_INTERVAL_S

    async def _read(self) -> RowsRead:
        self._read_at = self._records.now
        return await self._store.read_rows(TABLE)

    def _merge_rows(self, read: RowsRead) -> None:
        merged = [self._records.merge(record) for record in self._stored_records(read).values()]
        new = [record for record in merged if record is not None]
        if new:
            self._distribute(new, stores=False)
        self._mark_synced()

    def _stored_records(self, read: RowsRead) -> dict[str, CrashRecord]:
        """Return the records in rows, with times of this box's clock; log unreadable ones."""
        stored = {}
        for row in read.rows:
            try:
                stored[row.key] = _to_local_times(
                    unpack_crashes(row.value or b""), read, self._records.now
                )
            except ProtocolError as error:
                event(_log, "evidence-unreadable", level=logging.WARNING, detail=str(error))
        return stored

    def _restore_lost(self) -> None:
        """Store all quarantined requests again after the store's epoch has changed."""
        epoch = self._epoch()
        if self._stored_in_epoch is None:
            self._stored_in_epoch = epoch if self.synced else None
        elif epoch > self._stored_in_epoch and self._mesh.is_follower():
            self._stored_in_epoch = epoch
            quarantined = [
                record.request
                for record in self._records.conclusive
                if record.consecutive_crashes >= QUARANTINE_THRESHOLD
            ]
            self._to_store.update(quarantined)

    async def _store_record(self, request: str) -> None:
        """Store a request's record, unless it is stored already or quarantined no more."""
        read = await self._read()
        self._merge_rows(read)
        record = self._records.find(request)
        stored = self._stored_records(read)
        if (
            record is None
            or record.consecutive_crashes < QUARANTINE_THRESHOLD
            or _is_stored(stored.get(request), record)
        ):
            self._to_store.discard(request)
            return
        versions = {row.key: row.version for row in read.rows}
        expired = [
            k for k in versions if k not in stored or stored[k].last_at <= self._expired_before
        ]
        expired = [key for key in expired if key != request][:_MAX_REMOVED_ROWS]
        expected = {key: versions[key] for key in expired}
        expected[request] = versions.get(request, 0)
        value = pack_crashes(_to_store_times(record, read, self._records.now))
        change = RowsChange(TABLE, expected, {request: value}, tuple(expired))
        if await self._store.change_rows(change):
            self._to_store.discard(request)
            event(_log, "evidence-kept", known_by=request, removed=len(expired))

    @property
    def _expired_before(self) -> Seconds:
        return self._records.now - RETENTION_S


def _is_stored(stored: CrashRecord | None, record: CrashRecord) -> bool:
    """Return whether a stored record quarantines a request for as long as this box's does."""
    return (
        stored is not None
        and stored.answers == record.answers
        and stored.consecutive_crashes >= record.consecutive_crashes
    )


def _to_store_times(record: CrashRecord, read: RowsRead, now: Seconds) -> CrashReport:
    """Return a report of a record with times of the store's clock."""
    return as_ages(record, now).counted_from(round(read.now * 1000))


def _to_local_times(stored: CrashReport, read: RowsRead, now: Seconds) -> CrashRecord:
    """Return the record of a stored report, with times of this box's clock."""
    return from_ages(stored.counted_from(round(read.now * 1000)), now)
