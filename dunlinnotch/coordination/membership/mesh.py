"""Membership of boxes: which are live, which read the store, and how fresh their tables are.

Each box sends heartbeats to its peers a few times a second, and at once after a
change.  One box of each place follows the store; the others fetch updates from a
peer that has them.  A box whose tables are stale reads the store itself.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.subset import highest_weighted
from dunlinnotch.coordination.membership.peer_selector import PeerSelector
from dunlinnotch.protocol.mesh import Heartbeat, TableState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from dunlinnotch.protocol.mesh import ForwardingState
    from dunlinnotch.state.table_replica import TableReplica
    from dunlinnotch.types import Address, Clock, Seconds

STARTING, RUNNING, DRAINING = "starting", "running", "draining"
#: Time without a heartbeat after which a box counts as failed, in seconds.
SUSPECT_S = 1.7
#: Time without a heartbeat after which a box is forgotten, in seconds.
FORGET_S = 60.0
#: Time without a heartbeat up to which a suspected box is offered to callers if no box is
#: live, in seconds.
_LAST_RESORT_S = 20.0
#: Age of a table above which a box reads the store itself, in seconds.
STALE_S = 2.2
#: Range of the random delay before a new box reads the store itself, in seconds: boxes that
#: start together must not all read it.
START_DELAY_RANGE_S = (0.6, 1.2)

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Received:
    """The latest heartbeat of a box, and when it was received, in monotonic seconds.

    ``silent`` is set once the box has been logged as silent.
    """

    heartbeat: Heartbeat
    at: Seconds
    silent: bool = False


class Mesh:
    """View of all boxes at one of them.

    Parameters
    ----------
    name, place : str
    incarnation : int
        Number of this start of the box; larger for a later start.
    caller, peer : str
        Addresses at which this box serves callers and peers.
    tables : iterable of TableReplica
    clock : callable
        Returns monotonic seconds.
    rng : random.Random

    Attributes
    ----------
    state : str
        State of this box: ``starting``, ``running`` or ``draining``.
    reading : bool
        Whether this box's reads of the store succeed.
    in_flight : int
        Requests in flight at this box.
    crash_digest : int or None
        Digest of this box's crash records; ``None`` until it has those of its peers.
    forwarding : ForwardingState or None
        How this box takes requests of peers; ``None`` if it takes none.
    """

    def __init__(
        self,
        *,
        name: str,
        place: str,
        incarnation: int,
        caller: Address,
        peer: Address,
        tables: Iterable[TableReplica],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.place = place
        self.state = STARTING
        self.reading = True
        self.in_flight = 0
        self.crash_digest: int | None = None
        self.forwarding: ForwardingState | None = None
        self.peer = peer
        self._incarnation = incarnation
        self._caller = caller
        self._tables = {table.name: table for table in tables}
        self._clock = clock
        self._seq = 0
        self._received: dict[str, _Received] = {}
        self._known_counts: Counter[str] = Counter()
        self._box_counts: dict[str, int] = {place: 1}
        self._peers = PeerSelector(name, place, rng=rng)
        self._start_delay_until = clock() + rng.uniform(*START_DELAY_RANGE_S)

    def own_heartbeat(self, *, reply_requested: bool = False) -> Heartbeat:
        """Return a new heartbeat of this box."""
        self._seq += 1
        now = self._clock()
        tables = {
            name: TableState(
                table.version,
                table.changed,
                -1 if table.verified_at is None else int((now - table.verified_at) * 1000),
                table.epoch,
            )
            for name, table in self._tables.items()
        }
        return Heartbeat(
            name=self.name,
            place=self.place,
            incarnation=self._incarnation,
            seq=self._seq,
            caller=self._caller,
            peer=self.peer,
            state=self.state,
            reading=self.reading,
            follows=self.is_follower(),
            in_flight=self.in_flight,
            box_counts=dict(self._box_counts),
            tables=tables,
            reply_requested=reply_requested,
            crash_digest=self.crash_digest,
            forwarding=self.forwarding,
        )

    def receive(self, heartbeat: Heartbeat) -> bool:
        """Record a heartbeat; return False if it is outdated or this box's own."""
        if heartbeat.name == self.name:
            self._renumber_start(heartbeat)
            return False
        now = self._clock()
        previous = self._received.get(heartbeat.name)
        if previous is not None and heartbeat.recency <= previous.heartbeat.recency:
            return False
        if previous is None or self._has_changed(previous.heartbeat, heartbeat):
            event(
                _log,
                "box",
                box=heartbeat.name,
                state=heartbeat.state,
                place=heartbeat.place,
                incarnation=heartbeat.incarnation,
                reading=heartbeat.reading,
                before=None if previous is None else previous.heartbeat.state,
            )
        if previous is not None and previous.silent:
            event(_log, "box-heard-again", box=heartbeat.name, silent_s=round(now - previous.at, 2))
        heartbeat = _with_known_forwarding(heartbeat, previous)
        self._known_counts[heartbeat.place] += previous is None
        self._received[heartbeat.name] = _Received(heartbeat, now)
        self._update_box_counts(heartbeat)
        self._apply_verified(heartbeat, now)
        return True

    def newer_incarnation(self, heartbeat: Heartbeat) -> Heartbeat | None:
        """Return the heartbeat of a later start of the sending box, or None if none is known."""
        previous = self._received.get(heartbeat.name)
        if previous is None or previous.heartbeat.incarnation <= heartbeat.incarnation:
            return None
        return previous.heartbeat

    def _renumber_start(self, heartbeat: Heartbeat) -> None:
        """Raise this box's incarnation above one that peers hold for a later start.

        Notes
        -----
        Incarnations come from the wall clock, which may have been set back.  Peers would
        drop all heartbeats of this box until they forget its previous start.
        """
        if heartbeat.incarnation > self._incarnation:
            event(_log, "start-renumbered", before=self._incarnation, known=heartbeat.incarnation)
            self._incarnation = heartbeat.incarnation + 1

    @property
    def max_boxes(self) -> int:
        """Sum over all places of the largest number of boxes known there at once by any box.

        Notes
        -----
        Only rises while the process runs.  It is too low until the process has heard from its
        peers, and among boxes that all started behind one interruption of the network; limits
        that must hold even then can't be divided by it.
        """
        return sum(self._box_counts.values())

    def _update_box_counts(self, heartbeat: Heartbeat) -> None:
        """Raise the number of boxes of each place to the largest known or reported."""
        known = self._known_counts[heartbeat.place] + (heartbeat.place == self.place)
        for place, boxes in {**heartbeat.box_counts, heartbeat.place: known}.items():
            reported = max(boxes, heartbeat.box_counts.get(place, 0))
            self._box_counts[place] = max(reported, self._box_counts.get(place, 0))

    @staticmethod
    def _has_changed(old: Heartbeat, new: Heartbeat) -> bool:
        return (old.state, old.incarnation, old.reading) != (
            new.state,
            new.incarnation,
            new.reading,
        )

    def _apply_verified(self, heartbeat: Heartbeat, now: Seconds) -> None:
        """Mark tables as verified that the sender has verified at the same version."""
        for name, state in heartbeat.tables.items():
            table = self._tables.get(name)
            if table is None or not table.loaded or state.age_ms < 0:
                continue
            at = now - state.age_ms / 1000
            table.confirm(state.changed, state.version, at=at, epoch=state.epoch)

    def newer_tables(self, heartbeat: Heartbeat) -> list[str]:
        """Return the names of the tables of which the sender has a newer version."""
        newer = []
        for name, state in heartbeat.tables.items():
            table = self._tables.get(name)
            if table is None or state.age_ms < 0:
                continue
            if (state.epoch, state.changed) > (table.epoch, table.version) or not table.loaded:
                newer.append(name)
        return newer

    def is_known(self, name: str) -> bool:
        """Return whether a box has sent a heartbeat and has not been forgotten."""
        return name in self._received

    def heartbeats(self) -> list[Heartbeat]:
        """Forget boxes silent for ``FORGET_S``; return the latest heartbeat of all others."""
        now = self._clock()
        gone = [name for name, received in self._received.items() if now - received.at > FORGET_S]
        for name in gone:
            place = self._received.pop(name).heartbeat.place
            self._known_counts[place] -= 1
            event(_log, "box-forgotten", box=name)
        return [received.heartbeat for received in self._received.values()]

    def log_silent(self) -> None:
        """Log each box that stopped sending heartbeats to this one, once."""
        now = self._clock()
        for heartbeat in self._peers.local(self.heartbeats()):
            received = self._received[heartbeat.name]
            if not received.silent and now - received.at > SUSPECT_S:
                received.silent = True
                silent_s = round(now - received.at, 2)
                event(
                    _log, "box-silent", box=heartbeat.name, place=heartbeat.place, silent_s=silent_s
                )

    def heartbeat_peers(self) -> list[Address]:
        """Return the peers that receive every heartbeat of this box."""
        return [heartbeat.peer for heartbeat in self._peers.local(self.heartbeats())]

    def remote_peers(self) -> list[Address]:
        """Return a few random peers of other places; none in a small system."""
        remote = self._peers.remote(self.heartbeats(), follows=self.is_follower())
        return [heartbeat.peer for heartbeat in remote]

    def local_follower(self) -> list[Heartbeat]:
        """Return the heartbeat of the follower of this place, with its age added."""
        now = self._clock()
        return [
            received.heartbeat.aged(now - received.at)
            for received in self._received.values()
            if received.heartbeat.follows
            and received.heartbeat.place == self.place
            and now - received.at <= SUSPECT_S
        ]

    def update_peers(self) -> list[Address]:
        """Return the peers that an update is sent to at once; they pass it on."""
        return [heartbeat.peer for heartbeat in self._peers.update_targets(self.heartbeats())]

    def introductions(self, place: str) -> list[Heartbeat]:
        """Return the heartbeats that a new box of a place is introduced with, with ages added."""
        now = self._clock()
        chosen = self._peers.introductions(place, self.live())
        return [heartbeat.aged(now - self._received[heartbeat.name].at) for heartbeat in chosen]

    def live(self) -> list[Heartbeat]:
        """Return the latest heartbeat of each live box, without this one."""
        now = self._clock()
        return [
            received.heartbeat
            for received in self._received.values()
            if now - received.at <= SUSPECT_S
        ]

    def silent_places(self) -> set[str]:
        """Return the other places that have boxes but no live one."""
        return set(self._box_counts) - {self.place, *(heartbeat.place for heartbeat in self.live())}

    def is_follower(self) -> bool:
        """Return whether this box is the one of its place that follows the store.

        Notes
        -----
        Boxes that can read the store go first, then those that are not draining.
        """
        candidates = [self.name] if self.reading and self.state != DRAINING else []
        staying = [self.name] if self.state != DRAINING else []
        for heartbeat in self.live():
            if heartbeat.place == self.place and heartbeat.state != DRAINING:
                staying.append(heartbeat.name)
                candidates += [heartbeat.name] if heartbeat.reading else []
        # One box stays the follower though none can read: if all were, each would send the
        # heartbeats of its place to all followers of other places.
        return highest_weighted(self.place, candidates or staying or [self.name], 1) == [self.name]

    def local_live_count(self) -> int:
        """Return the number of live boxes of this place, this one included."""
        return 1 + sum(heartbeat.place == self.place for heartbeat in self.live())

    def is_reader(self) -> bool:
        """Return whether this box reads the store: it is a follower, or its tables are stale."""
        return self.is_follower() or self.stale()

    def is_primary_reader(self) -> bool:
        """Return whether this box is the one of all followers that polls the store most often."""
        if not self.is_follower():
            return False
        names = [
            heartbeat.name
            for heartbeat in self.live()
            if heartbeat.follows and heartbeat.reading and heartbeat.state == RUNNING
        ]
        return self.name <= min(names, default=self.name)

    def stale(self) -> bool:
        """Return whether some table is so old that this box must read the store itself."""
        starting_up = self._clock() < self._start_delay_until
        return any(
            self.age(table) > STALE_S
            for table in self._tables.values()
            if table.loaded or not starting_up
        )

    def age(self, table: TableReplica) -> Seconds:
        """Return the seconds since a table was last known to be current; infinity if never."""
        if table.verified_at is None:
            return float("inf")
        return self._clock() - table.verified_at

    def forwarding_peers(self, service: str) -> list[Heartbeat]:
        """Return the live boxes that take requests from peers and reach a service's targets."""
        return [
            heartbeat
            for heartbeat in self.live()
            if heartbeat.state == RUNNING
            and heartbeat.forwarding is not None
            and service not in heartbeat.forwarding.unreached
        ]

    def offered_addresses(self, place: str) -> list[Address]:
        """Return the addresses of running boxes for a caller, of ``place`` alone if enough.

        Notes
        -----
        Boxes of one place alone are returned only if there are at least two, and if this
        box knows most boxes of that place as live and as able to reach all targets.  Boxes
        cut off from targets are left out while they are at most half of all, so that fewer
        requests take the way over a peer.
        """
        now = self._clock()
        latest = [
            received.heartbeat
            for received in self._received.values()
            if now - received.at <= SUSPECT_S
        ]
        running = [heartbeat for heartbeat in latest if heartbeat.state == RUNNING]
        if not running:
            latest = [
                received.heartbeat
                for received in self._received.values()
                if now - received.at <= _LAST_RESORT_S
            ]
            running = [heartbeat for heartbeat in latest if heartbeat.state == RUNNING]
        entries = [
            (heartbeat.place, heartbeat.caller, _reaches_all(heartbeat.forwarding))
            for heartbeat in running
        ]
        if self.state == RUNNING:
            entries.append((self.place, self._caller, _reaches_all(self.forwarding)))
        local_count = sum(box_place == place for box_place, _, _ in entries)
        reaching = [entry for entry in entries if entry[2]]
        if 2 * len(reaching) >= len(entries):
            entries = reaching
        local = [caller for box_place, caller, _ in entries if box_place == place]
        too_few = len(local) <= 1 or 2 * len(local) < local_count
        if too_few or (place != self.place and not self._knows_most(place)):
            return [caller for _, caller, _ in entries]
        return local

    def _knows_most(self, place: str) -> bool:
        """Return whether this box knows more than half of the boxes of a place as live."""
        live = sum(heartbeat.place == place for heartbeat in self.live())
        return live * 2 > self._box_counts.get(place, 0)


def _with_known_forwarding(heartbeat: Heartbeat, previous: _Received | None) -> Heartbeat:
    """Return a heartbeat with what is known of how its box takes requests of peers.

    Boxes of an earlier version drop this field when they forward a heartbeat.
    """
    if heartbeat.forwarding is not None or previous is None:
        return heartbeat
    if previous.heartbeat.incarnation != heartbeat.incarnation:
        return heartbeat
    return replace(heartbeat, forwarding=previous.heartbeat.forwarding)


def _reaches_all(forwarding: ForwardingState | None) -> bool:
    """Return whether a box reaches the targets of all services, as far as it tells."""
    return forwarding is None or not forwarding.unreached
