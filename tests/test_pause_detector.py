"""Guards that a resumed box does not act on an outdated view."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from benchmarks._boxes import Clock
from dunlinnotch.coordination.membership import pause_detector
from dunlinnotch.coordination.membership.mesh import STALE_S
from dunlinnotch.coordination.membership.pause_detector import (
    CATCH_UP_TIMEOUT_S,
    PAUSE_THRESHOLD_S,
    PauseDetector,
)
from dunlinnotch.daemon import loop as loops
from dunlinnotch.state.table_replica import TableReplica
from tests.stream_world import TIMEOUT_S, call, stream_world, until

SUSPENDED_S = 5.0


def make_detector(*, outdated=True):
    clock = Clock()
    return clock, PauseDetector(clock=clock, outdated=lambda: outdated)


def test_a_running_box_is_never_catching_up():
    clock, detector = make_detector()
    for _ in range(20):
        clock.now += PAUSE_THRESHOLD_S / 2
        detector.check()
        assert not detector.catching_up


def test_a_resumed_box_waits_for_updates_until_the_catch_up_timeout():
    clock, detector = make_detector()
    clock.now += SUSPENDED_S
    # Requests are handled before the first check.
    assert detector.catching_up
    assert detector.check()
    assert detector.catching_up
    clock.now += CATCH_UP_TIMEOUT_S / 2
    assert not detector.check()
    assert detector.catching_up
    clock.now += CATCH_UP_TIMEOUT_S / 2
    detector.check()
    assert not detector.catching_up


def test_a_resumed_box_with_a_current_view_does_not_wait():
    clock, detector = make_detector(outdated=False)
    clock.now += SUSPENDED_S
    assert not detector.catching_up
    assert not detector.check()


@pytest.fixture
def suspended(monkeypatch):
    """Run the loop by a clock that a test advances, as after a suspension."""
    offset = [0.0]
    monkeypatch.setattr(loops, "elapsed", lambda: offset[0] + _real())
    return offset


_real = loops.elapsed


def run(test):
    """Run a test on the loop of an entry box."""
    with asyncio.Runner(loop_factory=loops.ElapsedTimeLoop) as runner:
        runner.run(test())


def test_timers_and_deadlines_include_the_time_of_a_suspension(suspended):
    async def test():
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 60
        with pytest.raises(TimeoutError):
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(0)
                suspended[0] += 61
                await asyncio.sleep(30)

    run(test)


def test_a_resumed_box_sends_no_request_by_an_outdated_list_and_then_serves(suspended, caplog):
    """A target that left during the suspension must receive no request."""

    async def test():
        async with stream_world(boxes=2, workers=2) as world:
            box = world.boxes[0]
            await until(lambda: len(box.instances.for_service("loans")) == 2)
            leaving, staying = world.workers
            # The tables are fresh; only the suspension makes them stale.
            assert max(box.mesh.age(table) for table in box.tables.values()) < STALE_S
            # The box learns nothing new until it has answered the request.
            with (
                mock.patch.object(TableReplica, "apply", return_value=False),
                mock.patch.object(TableReplica, "confirm"),
                mock.patch.object(pause_detector, "CATCH_UP_TIMEOUT_S", TIMEOUT_S),
            ):
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


def test_a_resumed_box_requests_heartbeats_of_its_peers_at_once(suspended):
    """Requests are refused until they arrive, so the box must not wait for the next ones."""

    async def test():
        async with stream_world(boxes=3) as world:
            box = world.boxes[0]
            await until(lambda: len(box.mesh.live()) == 2)
            requested = []
            send = box.gossip._gossip_port.send

            def watched(messages, to):
                messages = list(messages)
                requested.extend(to for m in messages if getattr(m, "reply_requested", False))
                send(messages, to)

            box.gossip._gossip_port.send = watched
            suspended[0] += SUSPENDED_S
            await until(lambda: requested)
            await until(lambda: box.ready)

    run(test)
