"""Keep alike, at all boxes, what was seen of requests that end their targets.

What a box sees goes at once to a few peers, which pass on what is new to them.  Each
word of a box carries the digest of the evidence that decides something; whoever hears
another digest than its own sends all that it has of this.  Requests that are barred are
also kept in the platform's store, for boxes that find no peer to tell them: after all
were lost, or cut off from the rest.  A store that comes back from a copy may have lost
them, so they are kept there again.
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

#: Our own table in the platform's store: a row for each barred request.
TABLE = "requests-that-end-targets"
#: All that decides something is sent to a peer that holds other evidence at most once in
#: so long, in seconds: what is new reaches most boxes by itself meanwhile.
_REPAIR_S = 0.8
#: Time between two looks whether the store is to be read or written, in seconds.
_LOOK_S = 0.1
#: Time for which a new box leaves it to its peers to tell it, in seconds: those of a
#: place that start together need one reader.
_PATIENCE_S = 0.8
#: A new box serves after so long without any evidence, in seconds: a store that answers
#: for the settings and not for this must not stop the service.
_SERVE_ANYHOW_S = 2.0
#: Time between two reads of a box that does not hear some place, in seconds: well under
#: the time within which all boxes are to know.
_CUT_OFF_S = 1.5
#: Pause after a call to the store that failed, in seconds.
_PAUSE_S = 0.4
#: Lapsed rows that are removed with one change.
_REMOVED_MOST = 40

_log = logging.getLogger(__name__)


class CrashGossip:
    """Tell the evidence of this box, and take in that of the others.

    Parameters
    ----------
    log : CrashLog
    mesh : Mesh
    store : RowStore
    send : callable
        Sends evidence to peers.
    on_synced : callable
        Called once this box holds what was seen before it started: its peers wait for that.
    era : callable
        Returns the era of the store: what was kept in an earlier one may be lost.
    rng : random.Random

    Attributes
    ----------
    synced : bool
        Whether this box holds what was seen before it started.
    """

    def __init__(
        self,
        log: CrashLog,
        mesh: Mesh,
        store: RowStore,
        *,
        send: Send,
        on_synced: Callable[[], None],
        era: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._evidence = log
        self._mesh = mesh
        self._store = store
        self._send = send
        self._on_synced = on_synced
        self._era = era
        self._kept_in_era: int | None = None
        self._rng = rng
        self._began = log.now
        self._read_at = -math.inf
        self._told_all_at: dict[str, Seconds] = {}
        self._to_keep: set[str] = set()
        self.synced = False

    @property
    def may_serve(self) -> bool:
        """Whether the box may take requests as far as this goes."""
        return self.synced or self._evidence.now - self._began > _SERVE_ANYHOW_S

    # -- to and from peers

    def publish(self, seen: Sequence[CrashRecord]) -> None:
        """Tell peers what this box has seen itself."""
        self._changed(seen, keeps=True)

    def receive(self, seen: CrashReport) -> None:
        """Take in what a peer tells; pass it on if it is new."""
        evidence = self._evidence.merge(from_ages(seen, self._evidence.now))
        if evidence is not None:
            self._changed([evidence], keeps=self._mesh.is_follower())

    def compare_digest(self, word: Heartbeat) -> None:
        """Compare a peer's evidence with this box's own."""
        digest = self._evidence.digest
        if word.crash_digest == digest:
            self._mark_synced()
            return
        last = self._told_all_at.get(word.name, -math.inf)
        if self._evidence.conclusive and self._evidence.now - last > _REPAIR_S:
            self._told_all_at[word.name] = self._evidence.now
            self._send(self._settled(), [word.peer])

    def _settled(self) -> list[CrashReport]:
        now = self._evidence.now
        return [as_ages(evidence, now) for evidence in self._evidence.conclusive]

    def _changed(self, new: Sequence[CrashRecord], *, keeps: bool) -> None:
        """Log what is new, pass it on, and have the bars among it kept in the store.

        Notes
        -----
        One box of each place keeps what it hears too: three boxes may each have seen one
        target end, so that none of them saw the bar, and the one that did may be lost.
        """
        for evidence in new:
            if keeps and evidence.consecutive_crashes >= QUARANTINE_THRESHOLD:
                self._to_keep.add(evidence.request)
            event(
                _log,
                "evidence",
                known_by=evidence.request,
                targets=sorted(evidence.targets),
                answers=evidence.answers,
                barred_for_s=round(self._evidence.quarantine_left(evidence.request), 1),
            )
        self._update_digest()
        peers = {*self._mesh.update_peers(), *self._mesh.remote_peers()}
        self._send([as_ages(evidence, self._evidence.now) for evidence in new], peers)

    def _update_digest(self) -> None:
        """Put the digest into the words of this box."""
        self._mesh.crash_digest = self._evidence.digest if self.synced else None

    def _mark_synced(self) -> None:
        before, self.synced = self.synced, True
        self._update_digest()
        if not before:
            event(_log, "evidence-known", requests=len(self._evidence.conclusive))
            self._on_synced()

    # -- to and from the store

    async def run(self) -> None:
        """Read and write the store's rows whenever this box is to."""
        while True:
            try:
                if self._is_to_read():
                    self._take_rows(await self._read())
                self._keep_again()
                for request in list(self._to_keep):
                    await self._keep(request)
            except PlatformUnavailableError as error:
                event(_log, "evidence-store-failed", level=logging.WARNING, detail=str(error))
                await asyncio.sleep(_PAUSE_S)
            await asyncio.sleep(_LOOK_S * (0.8 + 0.4 * self._rng.random()))

    def _is_to_read(self) -> bool:
        now = self._evidence.now
        if not self.synced:
            return self._mesh.is_follower() or now - self._began > _PATIENCE_S
        cut_off = self._mesh.is_follower() and bool(self._mesh.silent_places())
        return cut_off and now - self._read_at > _CUT_OFF_S

    async def _read(self) -> RowsRead:
        self._read_at = self._evidence.now
        return await self._store.read_rows(TABLE)

    def _take_rows(self, read: RowsRead) -> None:
        merged = [self._evidence.merge(evidence) for evidence in self._kept(read).values()]
        new = [evidence for evidence in merged if evidence is not None]
        if new:
            self._changed(new, keeps=False)
        self._mark_synced()

    def _kept(self, read: RowsRead) -> dict[str, CrashRecord]:
        """Return the evidence in rows, by this box's clock; what can't be read is logged."""
        kept = {}
        for row in read.rows:
            try:
                kept[row.key] = _by_clock(
                    unpack_crashes(row.value or b""), read, self._evidence.now
                )
            except ProtocolError as error:
                event(_log, "evidence-unreadable", level=logging.WARNING, detail=str(error))
        return kept

    def _keep_again(self) -> None:
        """Have all bars kept once more after the store has come back from a copy."""
        era = self._era()
        if self._kept_in_era is None:
            self._kept_in_era = era if self.synced else None
        elif era > self._kept_in_era and self._mesh.is_follower():
            self._kept_in_era = era
            barred = [
                e.request
                for e in self._evidence.conclusive
                if e.consecutive_crashes >= QUARANTINE_THRESHOLD
            ]
            self._to_keep.update(barred)

    async def _keep(self, request: str) -> None:
        """Keep a barred request in the store, unless it is kept already or barred no more."""
        read = await self._read()
        self._take_rows(read)
        own = self._evidence.find(request)
        kept = self._kept(read)
        if (
            own is None
            or own.consecutive_crashes < QUARANTINE_THRESHOLD
            or _covers(kept.get(request), own)
        ):
            self._to_keep.discard(request)
            return
        versions = {row.key: row.version for row in read.rows}
        lapsed = [k for k in versions if k not in kept or kept[k].last_at <= self._oldest]
        lapsed = [key for key in lapsed if key != request][:_REMOVED_MOST]
        expected = {key: versions[key] for key in lapsed}
        expected[request] = versions.get(request, 0)
        value = pack_crashes(_by_store(own, read, self._evidence.now))
        change = RowsChange(TABLE, expected, {request: value}, tuple(lapsed))
        if await self._store.change_rows(change):
            self._to_keep.discard(request)
            event(_log, "evidence-kept", known_by=request, removed=len(lapsed))

    @property
    def _oldest(self) -> Seconds:
        return self._evidence.now - RETENTION_S


def _covers(kept: CrashRecord | None, own: CrashRecord) -> bool:
    """Return whether what is kept bars a request for as long as what this box holds does."""
    return (
        kept is not None
        and kept.answers == own.answers
        and kept.consecutive_crashes >= own.consecutive_crashes
    )


def _by_store(evidence: CrashRecord, read: RowsRead, now: Seconds) -> CrashReport:
    """Return evidence with times of the store's clock."""
    return as_ages(evidence, now).counted_from(round(read.now * 1000))


def _by_clock(kept: CrashReport, read: RowsRead, now: Seconds) -> CrashRecord:
    """Return kept evidence with times of this box's clock."""
    return from_ages(kept.counted_from(round(read.now * 1000)), now)
