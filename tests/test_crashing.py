"""Quarantine of a request that crashes each target serving it.

The caller sends it again under new ids, to any box.  Without the quarantine it takes down
one target after another.
"""

from __future__ import annotations

import asyncio

from dunlinnotch.standins.users.worker import WorkerSettings
from tests.stream_world import call, document, stream_world, until

#: Time allowed for all boxes to learn of the third crash.
PROPAGATION_S = 3.0
WORST = "/read/worst?of=all"
TARGETS = 14


def run(test):
    """Run an asynchronous test."""
    asyncio.run(test())


async def add_crashing_targets(world, *, attempts=1):
    """Add targets that crash when they serve one certain request."""
    world.store.put("op", "config", document(2, **{"max-attempts": attempts}))
    for _ in range(TARGETS):
        settings = WorkerSettings(crashes_on=lambda path: path.startswith("/read/worst"))
        await world.add_worker(settings)
    await until(lambda: all(len(b.instances.for_service("loans")) == TARGETS for b in world.boxes))
    await until(lambda: all(b.routes.table.version == 2 for b in world.boxes))


def crash_count(world):
    """Return the number of targets that have crashed."""
    return sum(worker.crashed.is_set() for worker in world.workers)


async def send_worst(world, times, *, path=lambda number: WORST):
    """Send the crashing request from one caller, to each box in turn."""
    answers = []
    for number in range(times):
        box = world.boxes[number % len(world.boxes)]
        answers.append(await call(box, path(number), f"again-{crash_count(world)}-{number}"))
    return answers


def test_a_request_that_crashed_three_targets_is_refused_by_all_boxes():
    async def test():
        async with stream_world(boxes=3, workers=0) as world:
            await add_crashing_targets(world)
            await send_worst(world, 3)
            assert crash_count(world) == 3
            await asyncio.sleep(PROPAGATION_S)
            answers = await send_worst(world, 9)
            assert crash_count(world) <= 3 + 3
            assert {answer.status for answer in answers[-3:]} == {503}
            assert all(float(a.headers["retry-after"]) > 1 for a in answers[-3:])
            # Other requests are served as before.
            assert (await call(world.boxes[0], "/read/other", "other")).status == 200

    run(test)


def test_a_request_with_a_changing_query_is_quarantined_by_its_origin():
    async def test():
        async with stream_world(boxes=3, workers=0) as world:
            await add_crashing_targets(world)
            await send_worst(world, 3, path=lambda number: f"/read/worst?page={number}")
            await asyncio.sleep(PROPAGATION_S)
            await send_worst(world, 9, path=lambda number: f"/read/worst?page={90 + number}")
            assert crash_count(world) <= 3 + 3

    run(test)


def test_retries_of_one_request_stop_after_the_third_crash():
    async def test():
        async with stream_world(boxes=1, workers=0) as world:
            await add_crashing_targets(world, attempts=9)
            answer = await call(world.boxes[0], WORST, "worst")
            assert answer.status == 502
            assert crash_count(world) == 3

    run(test)


def test_crash_records_survive_the_loss_of_all_boxes():
    async def test():
        async with stream_world(boxes=2, workers=0) as world:
            await add_crashing_targets(world)
            await send_worst(world, 3)
            await asyncio.sleep(PROPAGATION_S)
            for task in world.tasks:
                task.cancel()
            await asyncio.gather(*world.tasks, return_exceptions=True)
            world.tasks.clear()
            world.boxes.clear()
            box = await world.add_box()
            await world.add_box(seeds=(box.mesh.peer,))
            await until(lambda: all(b.instances.for_service("loans") for b in world.boxes))
            await send_worst(world, 8)
            assert crash_count(world) <= 3 + 3

    run(test)
