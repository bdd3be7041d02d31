"""A store that comes back from a copy takes back versions, and gives them out again.

Two changes of the settings were confirmed and never came in force.  The store had been
away and had come back with versions below those that the boxes knew.  Boxes take over
only what has a higher version than they know, so they dropped each whole reading, read
again at once, and skipped what was written below the version they knew.  The logs of one
box show it: ``settings-in-force`` 21; from 18.5 s on ``{"event": "history-gone",
"table": "op", "after": 43}``, 4,384 times at all boxes, always after 43; the operator's
changes 24 and 26 confirmed at 21.9 and 23.1 s; then ``settings-in-force`` with
``"version": 29, "before": 21`` at 24.5 s, from row version 44.
"""

from __future__ import annotations

import asyncio

from dunlinnotch.standins.users.store import StoreFault
from tests.stream_world import document, stream_world, until

#: Time for which the calls of boxes are counted, in seconds.
COUNTED_S = 1.0


def run(test):
    """Run an asynchronous test with a bound on its whole time."""

    async def bounded():
        async with asyncio.timeout(60):
            await test()

    asyncio.run(bounded())


async def written_and_known(world, count):
    """Have the store count versions up in all tables, and all boxes know of it."""
    copied = world.store.now
    for number in range(count):
        version = world.store.put("op", "other", {"number": number})
    await until(lambda: all(box.tables["op"].version >= version for box in world.boxes))
    return copied


def all_have(world, version):
    return all(box.routes.table.version == version for box in world.boxes)


def test_a_change_with_a_version_below_the_known_one_comes_in_force():
    async def test():
        async with stream_world(boxes=2) as world:
            copied = await written_and_known(world, 40)
            world.store.come_back_from_copy(copied)
            assert world.store.put("op", "config", document(24)) < 40
            await until(lambda: all_have(world, 24))

    run(test)


def test_a_change_is_not_passed_over_once_versions_have_grown_past_the_known_one():
    async def test():
        async with stream_world(boxes=2) as world:
            copied = await written_and_known(world, 10)
            world.store.faults.fault = StoreFault.BUSY
            world.store.come_back_from_copy(copied)
            world.store.put("op", "config", document(24))
            for number in range(40):
                world.store.put("op", "other", {"number": number})
            world.store.faults.fault = StoreFault.NONE
            await until(lambda: all_have(world, 24))

    run(test)


def test_a_box_that_starts_meanwhile_serves_by_what_was_confirmed():
    """The copy holds older settings until the operator writes them again."""

    async def test():
        async with stream_world(boxes=1) as world:
            copied = world.store.now
            world.store.put("op", "config", document(24))
            await until(lambda: all_have(world, 24))
            world.store.come_back_from_copy(copied)
            box = world.boxes[0]
            await until(lambda: box.tables["op"].epoch == world.store.era)
            later = await world.add_box(seeds=(box.mesh.peer,))
            assert later.routes.table.version == 24

    run(test)


def test_a_target_that_the_copy_lacks_is_used_again_once_it_is_listed():
    async def test():
        async with stream_world(boxes=2) as world:
            copied = world.store.now
            worker = await world.add_worker()
            known = [box.instances for box in world.boxes]
            await until(lambda: all(i.find(worker.instance) for i in known))
            world.store.come_back_from_copy(copied)
            await until(lambda: all(i.find(worker.instance).lost for i in known))
            world.store.put("servers", worker.instance, worker.row("loans", zone="hall-a"))
            await until(lambda: all(i.find(worker.instance).missing_since is None for i in known))

    run(test)


def test_a_target_that_left_gets_nothing_though_the_copy_lists_it():
    async def test():
        async with stream_world(boxes=2, workers=2) as world:
            left, stays = world.workers
            copied = world.store.now
            world.store.remove("servers", left.instance)
            known = [box.instances for box in world.boxes]
            await until(lambda: not any(i.find(left.instance) for i in known))
            world.store.come_back_from_copy(copied)
            await until(
                lambda: all(b.tables["servers"].epoch == world.store.era for b in world.boxes)
            )
            assert not any(i.find(left.instance) for i in known)
            assert all(i.find(stays.instance).missing_since is None for i in known)

    run(test)


def test_boxes_do_not_storm_a_store_that_has_come_back():
    async def test():
        async with stream_world(boxes=3) as world:
            copied = await written_and_known(world, 40)
            world.store.come_back_from_copy(copied)
            before = world.store.calls
            await asyncio.sleep(COUNTED_S)
            assert world.store.calls - before < 40

    run(test)
