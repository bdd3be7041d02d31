"""A request that ends the targets that run it.

One request ended each target that began to run it.  Its caller sent it again
and again, to any box and each time under a new id, and each box took it for a
new one: it went to as many targets as a request of its kind may, and all were
lost, until a service of 28 targets had hardly any left.  The route lines of
all boxes showed it ``Broken`` at every target ("the target closed its
connection"), never with more than two tries; after three targets had ended
under it, 19 and 26 more were sent it.  Requests that only were at the same
targets ended ``Broken`` too, mostly once, and were answered elsewhere.
"""

from __future__ import annotations

import asyncio

from dunlinnotch.standins.users.worker import WorkerSettings
from tests.stream_world import call, document, stream_world, until

#: Time in which all boxes are to know of the third target that ended, in seconds.
KNOWN_S = 3.0
WORST = "/read/worst?of=all"
TARGETS = 14


def run(test):
    """Run an asynchronous test."""
    asyncio.run(test())


async def deadly_world(world, *, attempts=1):
    """Fill a world with targets that end under one request."""
    world.store.put("op", "config", document(2, **{"max-attempts": attempts}))
    for _ in range(TARGETS):
        settings = WorkerSettings(ends_under=lambda path: path.startswith("/read/worst"))
        await world.add_worker(settings)
    await until(lambda: all(len(b.instances.for_service("loans")) == TARGETS for b in world.boxes))
    await until(lambda: all(b.routes.table.version == 2 for b in world.boxes))


def lost(world):
    """Return how many targets have ended."""
    return sum(worker.ended.is_set() for worker in world.workers)


async def ask_again(world, times, *, path=lambda number: WORST):
    """Have one caller send the worst request so often, to each box in turn."""
    answers = []
    for number in range(times):
        box = world.boxes[number % len(world.boxes)]
        answers.append(await call(box, path(number), f"again-{lost(world)}-{number}"))
    return answers


def test_no_more_targets_are_lost_once_three_have_ended_under_a_request():
    async def test():
        async with stream_world(boxes=3, workers=0) as world:
            await deadly_world(world)
            await ask_again(world, 3)
            assert lost(world) == 3
            await asyncio.sleep(KNOWN_S)
            answers = await ask_again(world, 9)
            assert lost(world) <= 3 + 3
            assert {answer.status for answer in answers[-3:]} == {503}
            assert all(float(a.headers["retry-after"]) > 1 for a in answers[-3:])
            # All others are served as before, the callers of the same path's neighbours too.
            assert (await call(world.boxes[0], "/read/other", "other")).status == 200

    run(test)


def test_a_query_that_changes_each_time_makes_no_other_request():
    async def test():
        async with stream_world(boxes=3, workers=0) as world:
            await deadly_world(world)
            await ask_again(world, 3, path=lambda number: f"/read/worst?page={number}")
            await asyncio.sleep(KNOWN_S)
            await ask_again(world, 9, path=lambda number: f"/read/worst?page={90 + number}")
            assert lost(world) <= 3 + 3

    run(test)


def test_repeats_of_one_request_end_after_the_third_target():
    async def test():
        async with stream_world(boxes=1, workers=0) as world:
            await deadly_world(world, attempts=9)
            answer = await call(world.boxes[0], WORST, "worst")
            assert answer.status == 502
            assert lost(world) == 3

    run(test)


def test_what_ended_three_targets_is_known_after_all_boxes_were_lost():
    async def test():
        async with stream_world(boxes=2, workers=0) as world:
            await deadly_world(world)
            await ask_again(world, 3)
            await asyncio.sleep(KNOWN_S)
            for task in world.tasks:
                task.cancel()
            await asyncio.gather(*world.tasks, return_exceptions=True)
            world.tasks.clear()
            world.boxes.clear()
            box = await world.add_box()
            await world.add_box(seeds=(box.mesh.peer,))
            await until(lambda: all(b.instances.for_service("loans") for b in world.boxes))
            await ask_again(world, 8)
            assert lost(world) <= 3 + 3

    run(test)
