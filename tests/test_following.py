"""Following a table: hung calls, failures, dropped history, earlier epochs."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

import pytest

from dunlinnotch.coordination.membership.mesh import RUNNING, Mesh
from dunlinnotch.coordination.settings import following
from dunlinnotch.coordination.settings.following import TableFollower
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.store import HistoryGone
from dunlinnotch.state.table_replica import TableDelta, TableReplica, TableRow
from tests.stream_world import until


class Source:
    """A store that returns the answers set by the test."""

    def __init__(self):
        self.version = 1
        self.answers = []
        self.reads = 0
        self.requested_from = []

    def snapshot(self):
        return TableDelta("t", self.version, True, (TableRow("k", self.version, b"v"),))

    async def read_table(self, table):
        self.reads += 1
        return self.snapshot()

    async def changes(self, table, after, wait):
        self.requested_from.append(after)
        answer = self.answers.pop(0) if self.answers else "hang"
        if answer == "hang":
            await asyncio.sleep(3600)
        if isinstance(answer, Exception):
            raise answer
        return answer


def follow(test):
    """Run a test with the follower of a single box, which is therefore the reader."""

    async def bounded():
        source = Source()
        table = TableReplica("t", lambda _: None)
        mesh = Mesh(
            name="a",
            place="p",
            incarnation=1,
            caller="c",
            peer="q",
            tables=[table],
            clock=asyncio.get_running_loop().time,
            rng=random.Random(1),
        )
        mesh.state = RUNNING
        versions = []
        follower = TableFollower(
            table,
            source,
            mesh,
            on_answer=lambda changed: changed and versions.append(table.version),
            rng=random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        try:
            async with asyncio.timeout(20):
                await test(source, table, follower, versions)
        finally:
            task.cancel()

    asyncio.run(bounded())


def test_a_snapshot_is_read_first_and_then_changes():
    async def test(source, table, follower, versions):
        source.answers = [TableDelta("t", 3, False, (TableRow("k", 3, b"w"),))]
        await until(lambda: table.version == 3)
        assert source.reads == 1
        assert versions == [1, 3]
        await until(lambda: source.requested_from == [1, 3])

    follow(test)


def test_a_failed_call_counts_as_failing_until_the_next_succeeds():
    async def test(source, table, follower, versions):
        source.answers = [
            PlatformUnavailableError("lost"),
            TableDelta("t", 2, False, (TableRow("k", 2, b"w"),)),
        ]
        await until(lambda: follower.failing)
        assert table.version == 1
        await until(lambda: table.version == 2)
        assert not follower.failing

    follow(test)


def test_a_snapshot_is_read_if_the_store_dropped_the_history():
    async def test(source, table, follower, versions):
        await until(lambda: source.requested_from == [1])
        source.version = 9

    async def history_gone(source, table, follower, versions):
        source.answers = [HistoryGone()]
        source.version = 9
        await until(lambda: table.version == 9)

    follow(test)
    follow(history_gone)


def test_a_call_that_lags_behind_a_peer_is_restarted(monkeypatch):
    monkeypatch.setattr(following, "_BEHIND_GRACE_S", 0.02)
    # Only the peer's report may end the call.
    monkeypatch.setattr(following, "PRIMARY_POLL_TIMEOUT_S", 3600.0)

    async def test(source, table, follower, versions):
        await until(lambda: source.requested_from == [1])
        # A peer reports version 4, which the call in progress should have returned.
        table.apply(TableDelta("t", 4, False, (TableRow("k", 4, b"x"),)), at=0.0)
        follower.restart_if_behind()
        await until(lambda: source.requested_from == [1, 4])

    follow(test)


def test_reads_of_a_store_in_an_earlier_epoch_are_delayed():
    """Its answers are rejected, and it must not be flooded with reads."""

    async def test(source, table, follower, versions):
        table.apply(replace(source.snapshot(), version=9, epoch=3), at=0.0)
        source.snapshot = lambda: TableDelta("t", 20, True, (TableRow("k", 20, b"w"),), epoch=1)

        async def history_gone(table, after, wait):
            return HistoryGone()

        source.changes = history_gone
        await until(lambda: source.reads >= 5)
        assert follower.failing
        assert follower._failures >= 3
        assert (table.epoch, table.version) == (3, 9)

    follow(test)


def test_a_hung_call_times_out(monkeypatch, caplog):
    monkeypatch.setattr(following, "PRIMARY_POLL_TIMEOUT_S", 0.02)
    monkeypatch.setattr(following, "_HUNG_MARGIN_S", 0.02)

    async def test(source, table, follower, versions):
        await until(lambda: len(source.requested_from) >= 2)
        # The store may have been restored from a backup, so a snapshot is read first.
        assert source.reads == 2
        assert "store-lost" in caplog.messages

    caplog.set_level("INFO")
    follow(test)


def test_a_call_that_waits_for_a_change_is_not_restarted():
    """A peer confirmed that nothing changed up to a higher version."""

    async def test(source, table, follower, versions):
        source.answers = ["hang"]
        await until(lambda: source.requested_from == [1])
        table.apply(TableDelta("t", 7, False, ()), at=1.0)
        follower.restart_if_behind()
        await asyncio.sleep(following._BEHIND_GRACE_S * 2)
        assert source.requested_from == [1]
        assert not follower.failing

    follow(test)


@pytest.mark.parametrize(("boxes", "failures"), [(20, 9), (100, 9), (1000, 14), (1000, 5000)])
def test_retry_delay_of_boxes_grows_with_their_number_while_none_reaches_the_store(boxes, failures):
    """Calls to a store that is down must not grow with the number of boxes."""

    async def test(source, table, follower, versions):
        mesh = follower._mesh
        for number in range(boxes - 1):
            mesh.receive(replace(mesh.own_heartbeat(), name=f"b-{number}", reading=False))
        mesh.reading = False
        follower._failures = failures
        mesh.is_follower = lambda: False
        assert follower._retry_delay() == pytest.approx(0.4 * boxes)
        mesh.is_follower = lambda: True
        assert follower._retry_delay() == pytest.approx(0.8)

    follow(test)
