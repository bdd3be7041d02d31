"""Whom a box takes for a request that ends its targets, and whom not."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks._boxes import Clock
from dunlinnotch.coordination.requests.crash_guard import CrashGuard, Suspect
from dunlinnotch.coordination.requests.fingerprint import Fingerprint
from dunlinnotch.protocol.relay import CallerRequest
from dunlinnotch.standins.users.worker import WorkerSettings
from dunlinnotch.state.crashes import QUARANTINE_THRESHOLD, CrashLog
from dunlinnotch.state.instances import Instance, ListedTarget
from tests.stream_world import call, stream_world, until
from tests.test_crashes import targets
from tests.test_crashing import WORST, ask_again, deadly_world, lost

WORST_KNOWN = Fingerprint("f", "o")
REQUEST = CallerRequest("one", "GET", "/read/a", "books", (), 0.0, 1.0)


class Targets:
    """Targets of which some have ended."""

    def __init__(self, *ended):
        self.ended = ended

    async def has_ended(self, address):
        return address in self.ended


def guard(*ended):
    told = []
    clock = Clock()
    log = CrashLog(clock=clock)
    crash_guard = CrashGuard(log, Targets(*ended), tell=told.extend)
    crash_guard.clock = clock
    return crash_guard, log, told


def instance(name):
    return Instance(ListedTarget(name, "s", "hall-a", name, 3, False, 1, 0.0))


def look(crash_guard, suspect, *names):
    """Have some targets break off a request, one after the other."""
    for name in names:
        crash_guard.clock.now += 1
        asyncio.run(crash_guard.look(suspect, REQUEST, instance(name), took=0.5))


def test_a_target_that_only_broke_off_an_answer_is_nothing_against_a_request():
    crash_guard, log, told = guard("a", "b")
    suspect = Suspect(WORST_KNOWN)
    look(crash_guard, suspect, "a", "b", "c", "d")
    crash_guard.finished(suspect, answered=False)
    assert set(log.find("f").targets) == {"a", "b"}
    assert crash_guard.barred_for(suspect) == 0
    assert crash_guard.targets_ended == 2
    assert [evidence.request for evidence in told] == ["f", "o"]


def test_targets_of_the_request_under_way_count_with_those_known():
    crash_guard, log, _ = guard("a", "b", "c")
    log.record_crashes("f", targets(1))
    suspect = Suspect(WORST_KNOWN)
    look(crash_guard, suspect, "a")
    assert crash_guard.barred_for(suspect) == 0
    look(crash_guard, suspect, "b")
    assert crash_guard.barred_for(suspect) > 0
    assert log.quarantine_left("f") == 0


def test_a_request_that_was_at_the_wrong_target_and_is_answered_is_told_of_to_nobody():
    crash_guard, log, told = guard("a")
    suspect = Suspect(WORST_KNOWN)
    look(crash_guard, suspect, "a")
    crash_guard.finished(suspect, answered=True)
    assert told == []
    assert len(log) == 0


def test_an_answer_takes_back_what_others_told():
    crash_guard, log, told = guard()
    log.record_crashes("f", targets(QUARANTINE_THRESHOLD - 1))
    crash_guard.finished(Suspect(WORST_KNOWN), answered=True)
    assert [evidence.answers for evidence in told] == [1]
    assert log.find("f").targets == {}


def test_a_caller_s_other_queries_clear_its_path_but_not_the_query_that_ends_targets():
    crash_guard, log, _ = guard("a", "b", "c")
    for target in "abc":
        suspect = Suspect(Fingerprint("worst query", "path"))
        look(crash_guard, suspect, target)
        crash_guard.finished(suspect, answered=False)
        crash_guard.finished(Suspect(Fingerprint(f"query {target}", "path")), answered=True)
    assert log.quarantine_left("worst query") > 0
    assert log.quarantine_left("path") == 0
    assert crash_guard.barred_for(Suspect(Fingerprint("another query", "path"))) == 0


@pytest.mark.parametrize("boxes", [1, 3])
def test_requests_at_the_same_targets_are_served_on(boxes):
    """Targets that a request ends have others' requests, and those are not to blame."""

    async def test():
        async with stream_world(boxes=boxes, workers=0) as world:
            await deadly_world(world)
            for worker in world.workers:
                worker.settings.work_s = 0.05
            calls = []
            for number in range(12):
                box = world.boxes[number % boxes]
                calls.append(asyncio.create_task(call(box, f"/read/{number}", f"r{number}")))
            await ask_again(world, 3)
            await asyncio.gather(*calls)
            assert lost(world) == 3
            for number in range(12):
                again = await call(world.boxes[0], f"/read/{number}", f"again{number}")
                assert again.status == 200
            assert (await call(world.boxes[0], WORST, "worst")).status == 503

    asyncio.run(test())


def test_a_request_that_is_answered_once_its_targets_were_mended_is_not_barred():
    async def test():
        async with stream_world(workers=0) as world:
            box = world.boxes[0]
            worker = await world.add_worker(WorkerSettings(ends_under=lambda path: path == WORST))
            await until(lambda: box.instances.for_service("loans"))
            for _ in range(QUARANTINE_THRESHOLD - 1):
                assert (await call(box, WORST, "worst")).status == 502
                before = worker.instance
                await worker.start_again()
                world.store.remove("servers", before)
                row = worker.row("loans", zone="hall-a")
                world.store.put("servers", worker.instance, row)
                name = worker.instance
                await until(lambda name=name: box.instances.find(name))
            worker.settings.ends_under = None
            assert (await call(box, WORST, "mended")).status == 200
            for evidence in box.crashes.conclusive:
                assert (evidence.answers, evidence.targets) == (1, {})
            assert len(box.crashes.conclusive) == 2

    asyncio.run(test())
