"""Readers of the store: hung calls, lost answers, forgotten history, taking over."""

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
from dunlinnotch.state.followed import FollowedTable, TableDelta, TableRow
from tests.stream_world import until


class Source:
    """A store whose next answers the test sets."""

    def __init__(self):
        self.version = 1
        self.answers = []
        self.reads = 0
        self.asked = []

    def whole(self):
        return TableDelta("t", self.version, True, (TableRow("k", self.version, b"v"),))

    async def read_table(self, table):
        self.reads += 1
        return self.whole()

    async def changes(self, table, after, wait):
        self.asked.append(after)
        answer = self.answers.pop(0) if self.answers else "hang"
        if answer == "hang":
            await asyncio.sleep(3600)
        if isinstance(answer, Exception):
            raise answer
        return answer


def follow(test):
    """Run a test with a follower whose box is alone, so that it reads."""

    async def bounded():
        source = Source()
        table = FollowedTable("t", lambda _: None)
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
        news = []
        follower = TableFollower(
            table,
            source,
            mesh,
            on_answer=lambda changed: changed and news.append(table.version),
            rng=random.Random(1),
        )
        task = asyncio.create_task(follower.run())
        try:
            async with asyncio.timeout(20):
                await test(source, table, follower, news)
        finally:
            task.cancel()

    asyncio.run(bounded())


def test_a_table_is_read_whole_first_and_then_followed():
    async def test(source, table, follower, news):
        source.answers = [TableDelta("t", 3, False, (TableRow("k", 3, b"w"),))]
        await until(lambda: table.version == 3)
        assert source.reads == 1
        assert news == [1, 3]
        await until(lambda: source.asked == [1, 3])

    follow(test)


def test_a_lost_answer_is_a_failure_until_the_next_call_succeeds():
    async def test(source, table, follower, news):
        source.answers = [
            PlatformUnavailableError("lost"),
            TableDelta("t", 2, False, (TableRow("k", 2, b"w"),)),
        ]
        await until(lambda: follower.failing)
        assert table.version == 1
        await until(lambda: table.version == 2)
        assert not follower.failing

    follow(test)


def test_forgotten_history_is_read_whole():
    async def test(source, table, follower, news):
        await until(lambda: source.asked == [1])
        source.version = 9

    async def gone(source, table, follower, news):
        source.answers = [HistoryGone()]
        source.version = 9
        await until(lambda: table.version == 9)

    follow(test)
    follow(gone)


def test_a_call_that_does_not_tell_what_a_peer_told_is_made_anew(monkeypatch):
    monkeypatch.setattr(following, "_BEHIND_S", 0.02)
    # Nothing but what the peer told ends the call.
    monkeypatch.setattr(following, "WAIT_LEAD_S", 3600.0)

    async def test(source, table, follower, news):
        await until(lambda: source.asked == [1])
        # A peer tells version 4; the call that hangs should have told it as well.
        table.take(TableDelta("t", 4, False, (TableRow("k", 4, b"x"),)), at=0.0)
        follower.look_again()
        await until(lambda: source.asked == [1, 4])

    follow(test)


def test_a_store_that_tells_an_earlier_era_is_asked_again_after_a_pause_only():
    """It can't be followed, but it must not be read without end either."""

    async def test(source, table, follower, news):
        table.take(replace(source.whole(), version=9, era=3), at=0.0)
        source.whole = lambda: TableDelta("t", 20, True, (TableRow("k", 20, b"w"),), era=1)

        async def gone(table, after, wait):
            return HistoryGone()

        source.changes = gone
        await until(lambda: source.reads >= 5)
        assert follower.failing
        assert follower._failures >= 3
        assert (table.era, table.version) == (3, 9)

    follow(test)


def test_a_call_that_hangs_longer_than_it_may_is_given_up(monkeypatch, caplog):
    monkeypatch.setattr(following, "WAIT_LEAD_S", 0.02)
    monkeypatch.setattr(following, "_SLACK_S", 0.02)

    async def test(source, table, follower, news):
        await until(lambda: len(source.asked) >= 2)
        # The store may have come back from a copy meanwhile, so all is read first.
        assert source.reads == 2
        assert "store-lost" in caplog.messages

    caplog.set_level("INFO")
    follow(test)


def test_a_call_that_rightly_waits_is_not_taken_for_hung():
    """The peer has heard that nothing changed up to a higher version."""

    async def test(source, table, follower, news):
        source.answers = ["hang"]
        await until(lambda: source.asked == [1])
        table.take(TableDelta("t", 7, False, ()), at=1.0)
        follower.look_again()
        await asyncio.sleep(following._BEHIND_S * 2)
        assert source.asked == [1]
        assert not follower.failing

    follow(test)


def test_boxes_that_all_lack_the_store_try_in_turn_not_each_as_often():
    """wusta-listings-grown trouble-3: calls to a store that is down grew with the boxes."""

    async def test(source, table, follower, news):
        mesh = follower._mesh
        for number in range(19):
            mesh.receive(replace(mesh.own_heartbeat(), name=f"b-{number}", reading=False))
        mesh.reading = False
        follower._failures = 9
        mesh.is_follower = lambda: False
        assert follower._pause() == pytest.approx(0.4 * 20)
        mesh.is_follower = lambda: True
        assert follower._pause() == pytest.approx(0.8)

    follow(test)
