"""Evidence reaches all boxes, over links that lose it, and outlives the boxes in the store."""

from __future__ import annotations

import asyncio
import random

import pytest

from benchmarks._boxes import BEAT_S, Boxes
from dunlinnotch.coordination.membership.crash_gossip import TABLE, CrashGossip
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.mesh import pack_messages
from dunlinnotch.protocol.store import RowsRead
from dunlinnotch.state.crashes import MIN_QUARANTINE_S, QUARANTINE_THRESHOLD, RETENTION_S, CrashLog
from dunlinnotch.state.table_replica import TableRow
from tests.test_crashes import targets

TARGETS = targets(QUARANTINE_THRESHOLD)


class Rows:
    """The rows of a store that may be away."""

    def __init__(self):
        self.rows = {}
        self.era = 1
        self.version = 0
        self.now = 500.0
        self.away = False
        self.calls = 0

    async def read_rows(self, table):
        self._call()
        rows = tuple(TableRow(key, version, v) for key, (version, v) in self.rows.items())
        return RowsRead(rows, self.now)

    async def change_rows(self, change):
        self._call()
        assert change.table == TABLE
        for key, version in change.expected.items():
            if self.rows.get(key, (0, b""))[0] != version:
                return False
        self.version += 1
        for key, value in change.put.items():
            self.rows[key] = (self.version, value)
        for key in change.remove:
            del self.rows[key]
        return True

    def _call(self):
        self.calls += 1
        if self.away:
            raise PlatformUnavailableError("away")


class TellingBoxes(Boxes):
    """Boxes that also tell each other of requests that end targets."""

    def __init__(self, count, *, lost=0.0, store=None):
        super().__init__(count, lost=lost)
        self.store = store or Rows()
        self.evidence_bytes = 0
        self.queue = []
        self.logs = {name: CrashLog(clock=self.clock) for name in self.meshes}
        self.gossip = {name: self._make_gossip(name) for name in self.meshes}
        for gossip in self.gossip.values():
            gossip._mark_synced()

    def _make_gossip(self, name):
        def send(seen, to):
            for message in seen:
                size = sum(map(len, pack_messages([message])))
                self.evidence_bytes += size * len(list(to))
                self.queue += [(message, peer) for peer in to]

        rng = random.Random(1)
        return CrashGossip(
            self.logs[name],
            self.meshes[name],
            self.store,
            send=send,
            on_synced=lambda: None,
            era=lambda: self.store.era,
            rng=rng,
        )

    def _take(self, name, word):
        self.gossip[name].compare_digest(word)
        return super()._take(name, word)

    def deliver(self):
        """Deliver evidence until none is on its way."""
        while self.queue:
            message, peer = self.queue.pop(0)
            if self.rng.random() >= self.lost:
                self.gossip[peer].receive(message)

    def see(self, name, targets, *, request="worst"):
        """Have a box see targets end under a request."""
        self.gossip[name].publish([self.logs[name].record_crashes(request, targets)])
        self.deliver()

    def turn(self):
        """Have all boxes send their words once."""
        self.beat()
        self.deliver()

    def barring(self, request="worst"):
        """Return how many boxes send a request to no target."""
        return sum(log.quarantine_left(request) > 0 for log in self.logs.values())


@pytest.mark.parametrize("count", [3, 18, 142])
def test_what_three_boxes_saw_is_known_to_nearly_all_at_once_and_to_all_soon(count):
    boxes = TellingBoxes(count).settled()
    for number, (target, span) in enumerate(TARGETS.items()):
        boxes.see(f"box-{number}", {target: span})
    assert boxes.barring() >= 0.9 * count
    for _ in range(4):
        boxes.turn()
    assert boxes.barring() == count


@pytest.mark.parametrize("lost", [0.1, 0.4])
def test_links_that_lose_datagrams_only_delay_it(lost):
    boxes = TellingBoxes(40, lost=lost).settled()
    for number, (target, span) in enumerate(TARGETS.items()):
        boxes.see(f"box-{number}", {target: span})
    turns = 0
    while boxes.barring() < 40:
        boxes.turn()
        turns += 1
        assert turns * BEAT_S <= 3.0


def test_boxes_that_agree_send_no_evidence():
    boxes = TellingBoxes(18).settled()
    for number, (target, span) in enumerate(TARGETS.items()):
        boxes.see(f"box-{number}", {target: span})
    for _ in range(6):
        boxes.turn()
    boxes.evidence_bytes = 0
    for _ in range(6):
        boxes.turn()
    assert boxes.evidence_bytes == 0


def test_a_box_that_was_cut_off_catches_up_by_the_words_of_others():
    boxes = TellingBoxes(6).settled()
    boxes.see("box-0", TARGETS)
    late = boxes.logs["box-5"]
    late._records.clear()
    boxes.gossip["box-5"]._update_digest()
    boxes.turn()
    boxes.turn()
    assert late.quarantine_left("worst") > 0


# -- the store


async def work(gossip, until):
    """Let a box read and write its rows until something holds."""
    task = asyncio.create_task(gossip.run())
    try:
        async with asyncio.timeout(20):
            while not until():
                await asyncio.sleep(0.01)
    finally:
        task.cancel()


def alone(store, clock=None):
    """Return a box without peers that has just started."""
    boxes = Boxes(1)
    if clock is not None:
        boxes.clock.now = clock
    log = CrashLog(clock=boxes.clock)
    mesh = boxes.meshes["box-0"]
    gossip = CrashGossip(
        log,
        mesh,
        store,
        send=lambda *_: None,
        on_synced=lambda: None,
        era=lambda: store.era,
        rng=random.Random(1),
    )
    return gossip, log, boxes


def test_a_bar_is_kept_and_read_by_boxes_that_start_anew_with_its_age():
    async def test():
        store = Rows()
        gossip, log, boxes = alone(store)
        await work(gossip, lambda: gossip.synced)
        boxes.clock.now += 1
        gossip.publish([log.record_crashes("worst", TARGETS)])
        await work(gossip, lambda: store.rows)
        store.now += 60
        again, later, _ = alone(store, clock=7.0)
        assert again.synced is False
        await work(again, lambda: again.synced)
        assert MIN_QUARANTINE_S - 62 < later.quarantine_left("worst") <= MIN_QUARANTINE_S - 60

    asyncio.run(test())


def test_a_bar_that_no_box_saw_alone_is_kept_by_one_that_hears_of_it():
    async def test():
        store = Rows()
        boxes = TellingBoxes(9, store=store).settled()
        told = [
            boxes.logs[f"box-{number}"].record_crashes("worst", {target: span})
            for number, (target, span) in enumerate(TARGETS.items())
        ]
        # All three tell at once, before they hear each other.
        for number, evidence in enumerate(told):
            boxes.gossip[f"box-{number}"].publish([evidence])
        boxes.deliver()
        assert boxes.barring() == 9
        first = next(m for m in boxes.meshes.values() if m.is_follower())
        await work(boxes.gossip[first.name], lambda: store.rows)

    asyncio.run(test())


async def with_bar_kept(store):
    """Return a box without peers that has had a bar kept in the store."""
    gossip, log, _ = alone(store)
    await work(gossip, lambda: gossip.synced)
    gossip.publish([log.record_crashes("worst", TARGETS)])
    await work(gossip, lambda: store.rows)
    return gossip


def test_a_bar_that_a_store_back_from_a_copy_lost_is_kept_again():
    """It would be unknown to boxes that start anew after all were lost."""

    async def test():
        store = Rows()
        gossip = await with_bar_kept(store)
        store.rows.clear()
        store.era += 1
        await work(gossip, lambda: store.rows)
        assert list(store.rows) == ["worst"]

    asyncio.run(test())


def test_a_bar_that_is_still_kept_after_the_store_came_back_costs_one_reading():
    async def test():
        store = Rows()
        gossip = await with_bar_kept(store)
        version, calls = store.version, store.calls
        store.era += 1
        await work(gossip, lambda: store.calls > calls and not gossip._to_keep)
        assert (store.version, store.calls) == (version, calls + 1)

    asyncio.run(test())


def test_what_bars_nothing_is_not_kept():
    async def test():
        store = Rows()
        gossip, log, _ = alone(store)
        await work(gossip, lambda: gossip.synced)
        gossip.publish([log.record_crashes("once", targets(1))])
        gossip.publish([log.record_crashes("worst", TARGETS)])
        await work(gossip, lambda: store.rows)
        assert list(store.rows) == ["worst"]

    asyncio.run(test())


def test_a_store_that_is_away_is_asked_again_until_it_keeps_the_bar():
    async def test():
        store = Rows()
        gossip, log, _ = alone(store)
        await work(gossip, lambda: gossip.synced)
        store.away = True
        calls = store.calls
        gossip.publish([log.record_crashes("worst", TARGETS)])
        await work(gossip, lambda: store.calls > calls + 1)
        assert not store.rows
        store.away = False
        await work(gossip, lambda: store.rows)

    asyncio.run(test())


def test_a_box_serves_without_evidence_once_nobody_can_tell_it():
    async def test():
        store = Rows()
        store.away = True
        gossip, _, boxes = alone(store)
        await work(gossip, lambda: store.calls > 1)
        assert not gossip.may_serve
        boxes.clock.now += 3
        assert gossip.may_serve
        assert boxes.meshes["box-0"].own_heartbeat().crash_digest is None

    asyncio.run(test())


def test_lapsed_and_unreadable_rows_are_removed_with_the_next_change(caplog):
    async def test():
        store = Rows()
        gossip, log, _ = alone(store)
        await work(gossip, lambda: gossip.synced)
        gossip.publish([log.record_crashes("old", TARGETS)])
        await work(gossip, lambda: store.rows)
        store.rows["noise"] = (77, b"\xc1")
        store.now += 2 * RETENTION_S
        again, later, _ = alone(store)
        await work(again, lambda: again.synced)
        assert later.quarantine_left("old") == 0
        again.publish([later.record_crashes("new", TARGETS)])
        await work(again, lambda: "new" in store.rows)
        assert list(store.rows) == ["new"]

    with caplog.at_level("INFO"):
        asyncio.run(test())
    assert any(record.message == "evidence-unreadable" for record in caplog.records)


def test_a_box_that_hears_no_box_of_another_place_reads_the_store():
    async def test():
        store = Rows()
        boxes = TellingBoxes(8, store=store).settled()
        boxes.see("box-0", TARGETS)
        await work(boxes.gossip["box-0"], lambda: store.rows)
        # Its place hears none of the others any more, and missed the gossip.
        first = next(m for m in boxes.meshes.values() if m.place == "lekki" and m.is_follower())
        log = boxes.logs[first.name]
        log._records.clear()
        boxes.clock.now += 30
        assert first.silent_places()
        await work(boxes.gossip[first.name], lambda: log.quarantine_left("worst") > 0)

    asyncio.run(test())
