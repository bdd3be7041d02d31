"""Guards that crash records reach all boxes despite datagram loss, and survive in the store."""

from __future__ import annotations

import asyncio
import random

import pytest

from benchmarks._boxes import HEARTBEAT_INTERVAL_S, Boxes
from dunlinnotch.coordination.membership.crash_gossip import TABLE, CrashGossip
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.mesh import pack_messages
from dunlinnotch.protocol.store import RowsRead
from dunlinnotch.state.crashes import MIN_QUARANTINE_S, QUARANTINE_THRESHOLD, RETENTION_S, CrashLog
from dunlinnotch.state.table_replica import TableRow
from tests.test_crashes import targets

TARGETS = targets(QUARANTINE_THRESHOLD)


class Rows:
    """A store of rows that a test can make unavailable."""

    def __init__(self):
        self.rows = {}
        self.epoch = 1
        self.version = 0
        self.now = 500.0
        self.unavailable = False
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
        if self.unavailable:
            raise PlatformUnavailableError("unavailable")


class ReportingBoxes(Boxes):
    """Boxes that also send each other crash reports."""

    def __init__(self, count, *, lost=0.0, store=None):
        super().__init__(count, loss_rate=lost)
        self.store = store or Rows()
        self.report_bytes = 0
        self.queue = []
        self.logs = {name: CrashLog(clock=self.clock) for name in self.meshes}
        self.gossip = {name: self._make_gossip(name) for name in self.meshes}
        for gossip in self.gossip.values():
            gossip._mark_synced()

    def _make_gossip(self, name):
        def send(reports, to):
            for message in reports:
                size = sum(map(len, pack_messages([message])))
                self.report_bytes += size * len(list(to))
                self.queue += [(message, peer) for peer in to]

        rng = random.Random(1)
        return CrashGossip(
            self.logs[name],
            self.meshes[name],
            self.store,
            send=send,
            on_synced=lambda: None,
            epoch=lambda: self.store.epoch,
            rng=rng,
        )

    def _receive(self, name, heartbeat):
        self.gossip[name].compare_digest(heartbeat)
        return super()._receive(name, heartbeat)

    def deliver(self):
        """Deliver reports until none is in transit."""
        while self.queue:
            message, peer = self.queue.pop(0)
            if self.rng.random() >= self.loss_rate:
                self.gossip[peer].receive(message)

    def observe_crash(self, name, targets, *, request="worst"):
        """Have a box see targets crash while serving a request."""
        self.gossip[name].publish([self.logs[name].record_crashes(request, targets)])
        self.deliver()

    def beat_and_deliver(self):
        """Have all boxes send one heartbeat, and deliver all reports."""
        self.exchange_heartbeats()
        self.deliver()

    def quarantining(self, request="worst"):
        """Return how many boxes have a request in quarantine."""
        return sum(log.quarantine_left(request) > 0 for log in self.logs.values())


@pytest.mark.parametrize("count", [3, 18, 142])
def test_records_of_three_boxes_reach_most_boxes_at_once_and_all_within_four_heartbeats(count):
    boxes = ReportingBoxes(count).converge()
    for number, (target, span) in enumerate(TARGETS.items()):
        boxes.observe_crash(f"box-{number}", {target: span})
    assert boxes.quarantining() >= 0.9 * count
    for _ in range(4):
        boxes.beat_and_deliver()
    assert boxes.quarantining() == count


@pytest.mark.parametrize("lost", [0.1, 0.4])
def test_lost_datagrams_only_delay_a_quarantine(lost):
    boxes = ReportingBoxes(40, lost=lost).converge()
    for number, (target, span) in enumerate(TARGETS.items()):
        boxes.observe_crash(f"box-{number}", {target: span})
    intervals = 0
    while boxes.quarantining() < 40:
        boxes.beat_and_deliver()
        intervals += 1
        assert intervals * HEARTBEAT_INTERVAL_S <= 3.0


def test_boxes_with_equal_digests_send_no_reports():
    boxes = ReportingBoxes(18).converge()
    for number, (target, span) in enumerate(TARGETS.items()):
        boxes.observe_crash(f"box-{number}", {target: span})
    for _ in range(6):
        boxes.beat_and_deliver()
    boxes.report_bytes = 0
    for _ in range(6):
        boxes.beat_and_deliver()
    assert boxes.report_bytes == 0


def test_a_box_without_records_receives_them_in_reply_to_its_heartbeat():
    boxes = ReportingBoxes(6).converge()
    boxes.observe_crash("box-0", TARGETS)
    late = boxes.logs["box-5"]
    late._records.clear()
    boxes.gossip["box-5"]._update_digest()
    boxes.beat_and_deliver()
    boxes.beat_and_deliver()
    assert late.quarantine_left("worst") > 0


async def work(gossip, until):
    """Let a box read and write its rows until a condition holds, at most 20 s."""
    task = asyncio.create_task(gossip.run())
    try:
        async with asyncio.timeout(20):
            while not until():
                await asyncio.sleep(0.01)
    finally:
        task.cancel()


def box_without_peers(store, clock=None):
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
        epoch=lambda: store.epoch,
        rng=random.Random(1),
    )
    return gossip, log, boxes


def test_a_stored_quarantine_is_read_with_its_age_by_a_restarted_box():
    async def test():
        store = Rows()
        gossip, log, boxes = box_without_peers(store)
        await work(gossip, lambda: gossip.synced)
        boxes.clock.now += 1
        gossip.publish([log.record_crashes("worst", TARGETS)])
        await work(gossip, lambda: store.rows)
        store.now += 60
        again, later, _ = box_without_peers(store, clock=7.0)
        assert again.synced is False
        await work(again, lambda: again.synced)
        assert MIN_QUARANTINE_S - 62 < later.quarantine_left("worst") <= MIN_QUARANTINE_S - 60

    asyncio.run(test())


def test_a_quarantine_that_results_from_records_of_several_boxes_is_stored():
    async def test():
        store = Rows()
        boxes = ReportingBoxes(9, store=store).converge()
        records = [
            boxes.logs[f"box-{number}"].record_crashes("worst", {target: span})
            for number, (target, span) in enumerate(TARGETS.items())
        ]
        # All three send before any receives a report.
        for number, record in enumerate(records):
            boxes.gossip[f"box-{number}"].publish([record])
        boxes.deliver()
        assert boxes.quarantining() == 9
        follower = next(m for m in boxes.meshes.values() if m.is_follower())
        await work(boxes.gossip[follower.name], lambda: store.rows)

    asyncio.run(test())


async def box_with_stored_quarantine(store):
    """Return a box without peers that has stored a quarantined request."""
    gossip, log, _ = box_without_peers(store)
    await work(gossip, lambda: gossip.synced)
    gossip.publish([log.record_crashes("worst", TARGETS)])
    await work(gossip, lambda: store.rows)
    return gossip


def test_a_quarantine_lost_by_a_restored_store_is_stored_again():
    """Otherwise it would be lost if all boxes restarted."""

    async def test():
        store = Rows()
        gossip = await box_with_stored_quarantine(store)
        store.rows.clear()
        store.epoch += 1
        await work(gossip, lambda: store.rows)
        assert list(store.rows) == ["worst"]

    asyncio.run(test())


def test_a_quarantine_still_present_in_a_restored_store_is_only_read():
    async def test():
        store = Rows()
        gossip = await box_with_stored_quarantine(store)
        version, calls = store.version, store.calls
        store.epoch += 1
        await work(gossip, lambda: store.calls > calls and not gossip._to_store)
        assert (store.version, store.calls) == (version, calls + 1)

    asyncio.run(test())


def test_a_record_without_a_quarantine_is_not_stored():
    async def test():
        store = Rows()
        gossip, log, _ = box_without_peers(store)
        await work(gossip, lambda: gossip.synced)
        gossip.publish([log.record_crashes("once", targets(1))])
        gossip.publish([log.record_crashes("worst", TARGETS)])
        await work(gossip, lambda: store.rows)
        assert list(store.rows) == ["worst"]

    asyncio.run(test())


def test_storing_a_quarantine_is_retried_while_the_store_is_unavailable():
    async def test():
        store = Rows()
        gossip, log, _ = box_without_peers(store)
        await work(gossip, lambda: gossip.synced)
        store.unavailable = True
        calls = store.calls
        gossip.publish([log.record_crashes("worst", TARGETS)])
        await work(gossip, lambda: store.calls > calls + 1)
        assert not store.rows
        store.unavailable = False
        await work(gossip, lambda: store.rows)

    asyncio.run(test())


def test_a_box_serves_without_records_after_the_sync_timeout():
    async def test():
        store = Rows()
        store.unavailable = True
        gossip, _, boxes = box_without_peers(store)
        await work(gossip, lambda: store.calls > 1)
        assert not gossip.may_serve
        boxes.clock.now += 3
        assert gossip.may_serve
        assert boxes.meshes["box-0"].own_heartbeat().crash_digest is None

    asyncio.run(test())


def test_expired_and_unreadable_rows_are_removed_with_the_next_change(caplog):
    async def test():
        store = Rows()
        gossip, log, _ = box_without_peers(store)
        await work(gossip, lambda: gossip.synced)
        gossip.publish([log.record_crashes("old", TARGETS)])
        await work(gossip, lambda: store.rows)
        store.rows["noise"] = (77, b"\xc1")
        store.now += 2 * RETENTION_S
        again, later, _ = box_without_peers(store)
        await work(again, lambda: again.synced)
        assert later.quarantine_left("old") == 0
        again.publish([later.record_crashes("new", TARGETS)])
        await work(again, lambda: "new" in store.rows)
        assert list(store.rows) == ["new"]

    with caplog.at_level("INFO"):
        asyncio.run(test())
    assert any(record.message == "evidence-unreadable" for record in caplog.records)


def test_a_follower_without_live_boxes_in_another_place_reads_the_store():
    async def test():
        store = Rows()
        boxes = ReportingBoxes(8, store=store).converge()
        boxes.observe_crash("box-0", TARGETS)
        await work(boxes.gossip["box-0"], lambda: store.rows)
        # Its place receives no heartbeats any more, and missed the reports.
        follower = next(m for m in boxes.meshes.values() if m.place == "lekki" and m.is_follower())
        log = boxes.logs[follower.name]
        log._records.clear()
        boxes.clock.now += 30
        assert follower.silent_places()
        await work(boxes.gossip[follower.name], lambda: log.quarantine_left("worst") > 0)

    asyncio.run(test())
