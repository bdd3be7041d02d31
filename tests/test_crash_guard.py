"""Guards which requests a box quarantines because they crash targets."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks._boxes import Clock
from dunlinnotch.coordination.requests.crash_guard import CrashGuard, TrackedRequest
from dunlinnotch.coordination.requests.fingerprint import Fingerprint
from dunlinnotch.protocol.relay import CallerRequest
from dunlinnotch.standins.users.worker import WorkerSettings
from dunlinnotch.state.crashes import QUARANTINE_THRESHOLD, CrashLog
from dunlinnotch.state.instances import Instance, ListedTarget
from tests.stream_world import call, stream_world, until
from tests.test_crashes import targets
from tests.test_crashing import WORST, add_crashing_targets, crash_count, send_worst

FINGERPRINT = Fingerprint("f", "o")
REQUEST = CallerRequest("one", "GET", "/read/a", "books", (), 0.0, 1.0)


class Targets:
    """Targets of which some no longer listen."""

    def __init__(self, *gone):
        self.gone = gone

    async def is_gone(self, address):
        return address in self.gone


def guard(*gone):
    published = []
    clock = Clock()
    log = CrashLog(clock=clock)
    crash_guard = CrashGuard(log, Targets(*gone), publish=published.extend)
    crash_guard.clock = clock
    return crash_guard, log, published


def instance(name):
    return Instance(ListedTarget(name, "s", "hall-a", name, 3, False, 1, 0.0))


def check_targets(crash_guard, tracked, *names):
    """Check some targets in turn, as if each had broken off the request."""
    for name in names:
        crash_guard.clock.now += 1
        asyncio.run(crash_guard.check_target(tracked, REQUEST, instance(name), took=0.5))


def test_a_target_that_broke_off_but_still_listens_is_no_crash():
    crash_guard, log, published = guard("a", "b")
    tracked = TrackedRequest(FINGERPRINT)
    check_targets(crash_guard, tracked, "a", "b", "c", "d")
    crash_guard.record_end(tracked, answered=False)
    assert set(log.find("f").targets) == {"a", "b"}
    assert crash_guard.quarantine_left(tracked) == 0
    assert crash_guard.targets_crashed == 2
    assert [record.request for record in published] == ["f", "o"]


def test_crashes_of_the_current_request_add_to_recorded_ones():
    crash_guard, log, _ = guard("a", "b", "c")
    log.record_crashes("f", targets(1))
    tracked = TrackedRequest(FINGERPRINT)
    check_targets(crash_guard, tracked, "a")
    assert crash_guard.quarantine_left(tracked) == 0
    check_targets(crash_guard, tracked, "b")
    assert crash_guard.quarantine_left(tracked) > 0
    assert log.quarantine_left("f") == 0


def test_crashes_are_not_published_if_the_request_is_answered():
    crash_guard, log, published = guard("a")
    tracked = TrackedRequest(FINGERPRINT)
    check_targets(crash_guard, tracked, "a")
    crash_guard.record_end(tracked, answered=True)
    assert published == []
    assert len(log) == 0


def test_an_answer_clears_crashes_reported_by_others():
    crash_guard, log, published = guard()
    log.record_crashes("f", targets(QUARANTINE_THRESHOLD - 1))
    crash_guard.record_end(TrackedRequest(FINGERPRINT), answered=True)
    assert [record.answers for record in published] == [1]
    assert log.find("f").targets == {}


def test_answers_to_other_queries_clear_the_origin_but_not_the_crashing_query():
    crash_guard, log, _ = guard("a", "b", "c")
    for target in "abc":
        tracked = TrackedRequest(Fingerprint("worst query", "path"))
        check_targets(crash_guard, tracked, target)
        crash_guard.record_end(tracked, answered=False)
        crash_guard.record_end(
            TrackedRequest(Fingerprint(f"query {target}", "path")), answered=True
        )
    assert log.quarantine_left("worst query") > 0
    assert log.quarantine_left("path") == 0
    assert crash_guard.quarantine_left(TrackedRequest(Fingerprint("another query", "path"))) == 0


@pytest.mark.parametrize("boxes", [1, 3])
def test_other_requests_at_the_crashed_targets_are_not_quarantined(boxes):
    """A crash breaks off all requests at the target, not only the one that caused it."""

    async def test():
        async with stream_world(boxes=boxes, workers=0) as world:
            await add_crashing_targets(world)
            for worker in world.workers:
                worker.settings.work_s = 0.05
            calls = []
            for number in range(12):
                box = world.boxes[number % boxes]
                calls.append(asyncio.create_task(call(box, f"/read/{number}", f"r{number}")))
            await send_worst(world, 3)
            await asyncio.gather(*calls)
            assert crash_count(world) == 3
            for number in range(12):
                retried = await call(world.boxes[0], f"/read/{number}", f"retried{number}")
                assert retried.status == 200
            assert (await call(world.boxes[0], WORST, "worst")).status == 503

    asyncio.run(test())


def test_a_request_answered_after_the_targets_were_fixed_is_not_quarantined():
    async def test():
        async with stream_world(workers=0) as world:
            box = world.boxes[0]
            worker = await world.add_worker(WorkerSettings(crashes_on=lambda path: path == WORST))
            await until(lambda: box.instances.for_service("loans"))
            for _ in range(QUARANTINE_THRESHOLD - 1):
                assert (await call(box, WORST, "worst")).status == 502
                old_instance = worker.instance
                await worker.restart()
                world.store.remove("servers", old_instance)
                row = worker.row("loans", zone="hall-a")
                world.store.put("servers", worker.instance, row)
                name = worker.instance
                await until(lambda name=name: box.instances.find(name))
            worker.settings.crashes_on = None
            assert (await call(box, WORST, "fixed")).status == 200
            for record in box.crashes.conclusive:
                assert (record.answers, record.targets) == (1, {})
            assert len(box.crashes.conclusive) == 2

    asyncio.run(test())


@pytest.mark.parametrize(
    ("reached", "crashed"),
    [((), False), (("w1",), False), (("w1", "w2"), True), (("w1", "w2", "w3"), True)],
)
def test_a_box_that_reaches_no_other_targets_either_records_no_crash(reached, crashed):
    class CutOffTargets(Targets):
        async def check_path(self, address):
            return address in reached

    log = CrashLog(clock=Clock())
    crash_guard = CrashGuard(
        log,
        CutOffTargets("a"),
        publish=lambda _: None,
        witnesses=lambda _: ("w1", "w2", "w3"),
    )
    crash_guard.clock = Clock()
    tracked = TrackedRequest(FINGERPRINT)
    check_targets(crash_guard, tracked, "a")
    assert bool(tracked.crashed) is crashed
    assert crash_guard.targets_crashed == crashed
