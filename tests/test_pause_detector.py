"""A box that stood still does nothing by what it knew before, until it knows better."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks._boxes import Clock
from dunlinnotch.coordination.membership.mesh import STALE_S
from dunlinnotch.coordination.membership.pause_detector import (
    CATCH_UP_TIMEOUT_S,
    PAUSE_THRESHOLD_S,
    PauseDetector,
)
from dunlinnotch.daemon import loop as loops
from tests.stream_world import call, stream_world, until

SUSPENDED_S = 5.0


def make_detector(*, outdated=True):
    clock = Clock()
    return clock, PauseDetector(clock=clock, outdated=lambda: outdated)


def test_a_box_that_runs_is_never_catching_up():
    clock, detector = make_detector()
    for _ in range(20):
        clock.now += PAUSE_THRESHOLD_S / 2
        detector.check()
        assert not detector.catching_up


def test_a_box_that_stood_still_waits_for_news_but_not_for_ever():
    clock, detector = make_detector()
    clock.now += SUSPENDED_S
    # Requests are taken before it looks after itself.
    assert detector.catching_up
    assert detector.check()
    assert detector.catching_up
    clock.now += CATCH_UP_TIMEOUT_S / 2
    assert not detector.check()
    assert detector.catching_up
    clock.now += CATCH_UP_TIMEOUT_S / 2
    detector.check()
    assert not detector.catching_up


def test_a_box_that_knows_enough_goes_on_at_once():
    clock, detector = make_detector(outdated=False)
    clock.now += SUSPENDED_S
    assert not detector.catching_up
    assert not detector.check()


@pytest.fixture
def suspended(monkeypatch):
    """Run the loop by a clock that a test moves on, as a suspended box finds it on waking."""
    ahead = [0.0]
    monkeypatch.setattr(loops, "elapsed", lambda: ahead[0] + _real())
    return ahead


_real = loops.elapsed


def run(test):
    """Run a test on the loop of an entry box."""
    with asyncio.Runner(loop_factory=loops.ElapsedTimeLoop) as runner:
        runner.run(test())


def test_timers_and_deadlines_count_the_time_of_a_suspension(suspended):
    async def test():
        loop = asyncio.get_running_loop()
        late = loop.time() + 60
        with pytest.raises(TimeoutError):
            async with asyncio.timeout_at(late):
                await asyncio.sleep(0)
                suspended[0] += 61
                await asyncio.sleep(30)

    run(test)


def test_a_box_that_wakes_sends_nothing_by_an_outdated_list_and_serves_again(suspended, caplog):
    """A target left while the box was suspended, and may not be sent anything since."""

    async def test():
        async with stream_world(boxes=2, workers=2) as world:
            box = world.boxes[0]
            await until(lambda: len(box.instances.for_service("loans")) == 2)
            leaving, staying = world.workers
            # Nobody tells the box anything before it is asked.
            assert max(box.mesh.age(table) for table in box.tables.values()) < STALE_S
            suspended[0] += SUSPENDED_S
            assert not box.ready
            row = leaving.row("loans", zone="hall-a", state="draining", sequence=7)
            world.store.put("servers", leaving.instance, row)
            answer = await call(box, "/read/a", "early")
            assert answer.status == 503
            assert "retry-after" in answer.headers
            assert world.ran == []
            await until(lambda: box.ready)
            await until(lambda: len(box.instances.for_service("loans")) == 1)
            assert (await call(box, "/read/a", "later")).status == 200
            assert [run.request_id for run in staying.runs] == ["later"]

    with caplog.at_level("INFO"):
        run(test)
    reasons = [r.fields["reason"] for r in caplog.records if r.message == "route"]
    assert reasons[0] == "catching-up"


def test_a_box_that_wakes_asks_its_peers_at_once(suspended):
    """Their next words come within 0.5 s, and callers are refused until then."""

    async def test():
        async with stream_world(boxes=3) as world:
            box = world.boxes[0]
            await until(lambda: len(box.mesh.live()) == 2)
            asked = []
            send = box.gossip._gossip_port.send

            def watched(messages, to):
                messages = list(messages)
                asked.extend(to for m in messages if getattr(m, "reply_requested", False))
                send(messages, to)

            box.gossip._gossip_port.send = watched
            suspended[0] += SUSPENDED_S
            await until(lambda: asked)
            await until(lambda: box.ready)

    run(test)
