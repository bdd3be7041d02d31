"""Boxes follow a store that was restored from a backup and assigns versions again.

They must apply changes whose versions are below those that they have, and must not read
the store in a loop.
"""

from __future__ import annotations

import asyncio

from dunlinnotch.standins.users.store import StoreFault
from tests.stream_world import document, stream_world, until

COUNTING_S = 1.0


def run(test):
    """Run an asynchronous test with a timeout."""

    async def bounded():
        async with asyncio.timeout(60):
            await test()

    asyncio.run(bounded())


async def raise_versions(world, count):
    """Write rows until all boxes have higher versions; return the time before the writes."""
    backup_at = world.store.now
    for number in range(count):
        version = world.store.put("op", "other", {"number": number})
    await until(lambda: all(box.tables["op"].version >= version for box in world.boxes))
    return backup_at


def all_use(world, version):
    return all(box.routes.table.version == version for box in world.boxes)


def test_a_change_below_the_version_of_the_boxes_becomes_effective():
    async def test():
        async with stream_world(boxes=2) as world:
            backup_at = await raise_versions(world, 40)
            world.store.restore_backup(backup_at)
            assert world.store.put("op", "config", document(24)) < 40
            await until(lambda: all_use(world, 24))

    run(test)


def test_a_change_is_not_missed_if_versions_then_exceed_those_of_the_boxes():
    async def test():
        async with stream_world(boxes=2) as world:
            backup_at = await raise_versions(world, 10)
            world.store.faults.fault = StoreFault.BUSY
            world.store.restore_backup(backup_at)
            world.store.put("op", "config", document(24))
            for number in range(40):
                world.store.put("op", "other", {"number": number})
            world.store.faults.fault = StoreFault.NONE
            await until(lambda: all_use(world, 24))

    run(test)


def test_a_box_that_starts_after_the_restore_uses_the_confirmed_settings():
    """The backup holds older settings until the operator writes the newer ones again."""

    async def test():
        async with stream_world(boxes=1) as world:
            backup_at = world.store.now
            world.store.put("op", "config", document(24))
            await until(lambda: all_use(world, 24))
            world.store.restore_backup(backup_at)
            box = world.boxes[0]
            await until(lambda: box.tables["op"].epoch == world.store.epoch)
            later = await world.add_box(seeds=(box.mesh.peer,))
            assert later.routes.table.version == 24

    run(test)


def test_a_target_missing_in_the_backup_is_used_once_it_is_listed_again():
    async def test():
        async with stream_world(boxes=2) as world:
            backup_at = world.store.now
            worker = await world.add_worker()
            instances = [box.instances for box in world.boxes]
            await until(lambda: all(i.find(worker.instance) for i in instances))
            world.store.restore_backup(backup_at)
            await until(lambda: all(i.find(worker.instance).lost for i in instances))
            world.store.put("servers", worker.instance, worker.row("loans", zone="hall-a"))
            await until(
                lambda: all(i.find(worker.instance).missing_since is None for i in instances)
            )

    run(test)


def test_a_target_that_left_gets_no_requests_though_the_backup_lists_it():
    async def test():
        async with stream_world(boxes=2, workers=2) as world:
            leaving, staying = world.workers
            backup_at = world.store.now
            world.store.remove("servers", leaving.instance)
            instances = [box.instances for box in world.boxes]
            await until(lambda: not any(i.find(leaving.instance) for i in instances))
            world.store.restore_backup(backup_at)
            await until(
                lambda: all(b.tables["servers"].epoch == world.store.epoch for b in world.boxes)
            )
            assert not any(i.find(leaving.instance) for i in instances)
            assert all(i.find(staying.instance).missing_since is None for i in instances)

    run(test)


def test_boxes_do_not_flood_a_restored_store():
    async def test():
        async with stream_world(boxes=3) as world:
            backup_at = await raise_versions(world, 40)
            world.store.restore_backup(backup_at)
            calls_before = world.store.calls
            await asyncio.sleep(COUNTING_S)
            assert world.store.calls - calls_before < 40

    run(test)
