"""Which boxes there are, who of them reads the store, and how fresh each knows its tables.

Each box sends its word to the others a few times a second, and at once when
something changed.  A few boxes, one in each place, follow the store; the
others fetch what is new from whoever has it.  Every box knows how old its
knowledge is, and reads for itself when nobody it hears knows better.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.subset import highest_weighted
from dunlinnotch.coordination.membership.peer_selector import PeerSelector
from dunlinnotch.protocol.mesh import Heartbeat, TableState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from dunlinnotch.state.table_replica import TableReplica
    from dunlinnotch.types import Address, Clock, Seconds

STARTING, RUNNING, DRAINING = "starting", "running", "draining"
#: Silence after which a box is not offered to callers nor counted on, in seconds.
SUSPECT_S = 1.7
#: Silence after which a box is forgotten, in seconds.
FORGET_S = 60.0
#: Silence up to which a suspect is offered if nobody else is left, in seconds.
_LAST_RESORT_S = 20.0
#: A table older than this, as far as a box can tell, is read by the box itself, in seconds.
STALE_S = 2.2
#: Shortest and longest time for which a new box leaves it to the readers of its place to
#: tell it the tables, in seconds: boxes that start together must not all read the store.
START_PATIENCE_S = (0.6, 1.2)

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Heard:
    word: Heartbeat
    at: Seconds
    silent: bool = False


class Mesh:
    """What this box knows of the others.

    Parameters
    ----------
    name, place : str
    incarnation : int
    caller, peer : str
        This box's own addresses.
    tables : iterable of TableReplica
    clock : callable
    rng : random.Random
        Draws whom to tell.
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
        self.peer = peer
        self._incarnation = incarnation
        self._caller = caller
        self._tables = {table.name: table for table in tables}
        self._clock = clock
        self._seq = 0
        self._heard: dict[str, _Heard] = {}
        self._known: Counter[str] = Counter()
        self._place_boxes: dict[str, int] = {place: 1}
        self._peers = PeerSelector(name, place, rng=rng)
        self._patient_until = clock() + rng.uniform(*START_PATIENCE_S)

    def own_heartbeat(self, *, reply_requested: bool = False) -> Heartbeat:
        """Return a new word of this box."""
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
            box_counts=dict(self._place_boxes),
            tables=tables,
            reply_requested=reply_requested,
            crash_digest=self.crash_digest,
        )

    def receive(self, word: Heartbeat) -> bool:
        """Take in a word; return False if it is old or this box's own."""
        if word.name == self.name:
            self._outgrow(word)
            return False
        now = self._clock()
        known = self._heard.get(word.name)
        if known is not None and word.recency <= known.word.recency:
            return False
        if known is None or self._differs(known.word, word):
            event(
                _log,
                "box",
                box=word.name,
                state=word.state,
                place=word.place,
                incarnation=word.incarnation,
                reading=word.reading,
                before=None if known is None else known.word.state,
            )
        if known is not None and known.silent:
            event(_log, "box-heard-again", box=word.name, silent_s=round(now - known.at, 2))
        self._known[word.place] += known is None
        self._heard[word.name] = _Heard(word, now)
        self._count(word)
        self._verify_by(word, now)
        return True

    def newer_incarnation(self, word: Heartbeat) -> Heartbeat | None:
        """Return the word of a later start of a box than the one that sent a word, if known."""
        known = self._heard.get(word.name)
        if known is None or known.word.incarnation <= word.incarnation:
            return None
        return known.word

    def _outgrow(self, word: Heartbeat) -> None:
        """Count this start after one that peers take for a later one.

        Notes
        -----
        Starts are numbered by the time of day, which may have gone back meanwhile; peers
        would take in nothing of this box until they forget the start before.
        """
        if word.incarnation > self._incarnation:
            event(_log, "start-renumbered", before=self._incarnation, known=word.incarnation)
            self._incarnation = word.incarnation + 1

    @property
    def max_boxes(self) -> int:
        """The most boxes that there may be, over all places."""
        return sum(self._place_boxes.values())

    def _count(self, word: Heartbeat) -> None:
        """Note how many boxes the places have: as many as are known, or as anybody tells."""
        known = self._known[word.place] + (word.place == self.place)
        for place, boxes in {**word.box_counts, word.place: known}.items():
            told = max(boxes, word.box_counts.get(place, 0))
            self._place_boxes[place] = max(told, self._place_boxes.get(place, 0))

    @staticmethod
    def _differs(old: Heartbeat, new: Heartbeat) -> bool:
        return (old.state, old.incarnation, old.reading) != (
            new.state,
            new.incarnation,
            new.reading,
        )

    def _verify_by(self, word: Heartbeat, now: Seconds) -> None:
        """Take over how fresh the sender's tables are where ours are as new."""
        for name, state in word.tables.items():
            table = self._tables.get(name)
            if table is None or not table.loaded or state.age_ms < 0:
                continue
            at = now - state.age_ms / 1000
            table.confirm(state.changed, state.version, at=at, epoch=state.era)

    def newer_tables(self, word: Heartbeat) -> list[str]:
        """Return the tables that the sender of a word knows further than this box."""
        found = []
        for name, state in word.tables.items():
            table = self._tables.get(name)
            if table is None or state.age_ms < 0:
                continue
            if (state.era, state.changed) > (table.epoch, table.version) or not table.loaded:
                found.append(name)
        return found

    def is_known(self, name: str) -> bool:
        """Return whether a box has been heard and not forgotten."""
        return name in self._heard

    def heartbeats(self) -> list[Heartbeat]:
        """Return the last words of all boxes not forgotten."""
        now = self._clock()
        gone = [name for name, heard in self._heard.items() if now - heard.at > FORGET_S]
        for name in gone:
            place = self._heard.pop(name).word.place
            self._known[place] -= 1
            event(_log, "box-forgotten", box=name)
        return [heard.word for heard in self._heard.values()]

    def log_silent(self) -> None:
        """Log, once each, the boxes that are heard all the time and are now silent."""
        now = self._clock()
        for word in self._peers.local(self.heartbeats()):
            heard = self._heard[word.name]
            if not heard.silent and now - heard.at > SUSPECT_S:
                heard.silent = True
                silent_s = round(now - heard.at, 2)
                event(_log, "box-silent", box=word.name, place=word.place, silent_s=silent_s)

    def heartbeat_peers(self) -> list[Address]:
        """Return the peers that are to hear this box's word at each turn."""
        return [word.peer for word in self._peers.local(self.heartbeats())]

    def remote_peers(self) -> list[Address]:
        """Return a few peers of other places, where there are too many boxes to tell all."""
        far = self._peers.remote(self.heartbeats(), follows=self.is_follower())
        return [word.peer for word in far]

    def local_follower(self) -> list[Heartbeat]:
        """Return the word of the box of this place that follows the store, aged until now."""
        now = self._clock()
        return [
            heard.word.aged(now - heard.at)
            for heard in self._heard.values()
            if heard.word.follows and heard.word.place == self.place and now - heard.at <= SUSPECT_S
        ]

    def update_peers(self) -> list[Address]:
        """Return the peers that are to hear at once of news of a table; they pass it on."""
        return [word.peer for word in self._peers.update_targets(self.heartbeats())]

    def introductions(self, place: str) -> list[Heartbeat]:
        """Return the words that a new box of a place needs to find its peers, aged until now."""
        now = self._clock()
        chosen = self._peers.introductions(place, self.live())
        return [word.aged(now - self._heard[word.name].at) for word in chosen]

    def live(self) -> list[Heartbeat]:
        """Return the last words of the boxes heard lately, without this one."""
        now = self._clock()
        return [h.word for h in self._heard.values() if now - h.at <= SUSPECT_S]

    def silent_places(self) -> set[str]:
        """Return the places that have boxes none of which is heard."""
        return set(self._place_boxes) - {self.place, *(word.place for word in self.live())}

    def is_follower(self) -> bool:
        """Return whether this box is the one of its place that follows the store."""
        able = [self.name] if self.reading and self.state != DRAINING else []
        staying = [self.name] if self.state != DRAINING else []
        for word in self.live():
            if word.place == self.place and word.state != DRAINING:
                staying.append(word.name)
                able += [word.name] if word.reading else []
        # Where nobody can read one still tries: if all did, all would tell all others.
        return highest_weighted(self.place, able or staying or [self.name], 1) == [self.name]

    def local_live_count(self) -> int:
        """Return how many boxes of this place are heard, this one included."""
        return 1 + sum(word.place == self.place for word in self.live())

    def is_reader(self) -> bool:
        """Return whether this box reads the store: the first of its place, or if need be."""
        return self.is_follower() or self.stale()

    def is_primary_reader(self) -> bool:
        """Return whether this box is the one, of those that follow the store, that looks often."""
        if not self.is_follower():
            return False
        names = [w.name for w in self.live() if w.follows and w.reading and w.state == RUNNING]
        return self.name <= min(names, default=self.name)

    def stale(self) -> bool:
        """Return whether some table is so old that this box must read for itself."""
        patient = self._clock() < self._patient_until
        return any(
            self.age(table) > STALE_S
            for table in self._tables.values()
            if table.loaded or not patient
        )

    def age(self, table: TableReplica) -> Seconds:
        """Return the seconds since a table was known to be all that there is."""
        if table.verified_at is None:
            return float("inf")
        return self._clock() - table.verified_at

    def offered_addresses(self, place: str) -> list[Address]:
        """Return the callers' addresses of boxes to offer, those of ``place`` if enough."""
        now = self._clock()
        words = [h.word for h in self._heard.values() if now - h.at <= SUSPECT_S]
        running = [word for word in words if word.state == RUNNING]
        if not running:
            words = [h.word for h in self._heard.values() if now - h.at <= _LAST_RESORT_S]
            running = [word for word in words if word.state == RUNNING]
        entries = [(word.place, word.caller) for word in running]
        if self.state == RUNNING:
            entries.append((self.place, self._caller))
        near = [caller for where, caller in entries if where == place]
        if len(near) <= 1 or (place != self.place and not self._knows_all(place)):
            return [caller for _, caller in entries]
        return near

    def _knows_all(self, place: str) -> bool:
        """Return whether this box hears most boxes of a place, not just a few drawn by chance."""
        heard = sum(word.place == place for word in self.live())
        return heard * 2 > self._place_boxes.get(place, 0)
