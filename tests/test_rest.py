"""Targets that ask a box for rest.

Targets of one service turned requests away with 503, told that these had not run, and
asked for 3 s of rest.  The box that had been told sent the next request to the same
target after 0.31 s (median), and 411 of 414 within the 3 s: nothing in a box held what
a target had asked for, and one that turns requests away is idle, so by its load it was
the best of all (``good``, nothing ahead, slowness 1.0, in 354 of 486 tries).
"""

from __future__ import annotations

import asyncio
import itertools

import pytest

from dunlinnotch.coordination.choosing.selector import TargetSelector
from dunlinnotch.standins.users.worker import WorkerSettings
from tests.stream_world import call, document, stream_world, until

REST_S = 1.5
#: What was sent before the box was told may still arrive, in seconds.
SLACK_S = 0.5
MOST_IN_REST = 2


def run(test):
    """Run an asynchronous test."""
    asyncio.run(test())


async def send_for(box, seconds, *, path="/read/a", gap=0.02):
    """Send requests one after the other for some time; return the answers."""
    loop = asyncio.get_running_loop()
    until_ = loop.time() + seconds
    answers = []
    while loop.time() < until_:
        answers.append(await call(box, path, f"{path}-{loop.time()}"))
        await asyncio.sleep(gap)
    return answers


async def add_tired(world):
    """Add a worker to one other, and return it once it has asked the box for 30 s of rest."""
    box = world.boxes[0]
    tired = await world.add_worker(WorkerSettings(turns_away=lambda: True, rest="30"))
    await until(lambda: len(box.instances.of("loans")) == 2)
    while not turned_away(tired):
        await send_for(box, 0.1)
    return tired


def in_rest(worker, rest=REST_S):
    """Return the requests that reached a worker while it wanted rest, most of any rest."""
    return max(
        sum(asked + SLACK_S < arrival.at < asked + rest for arrival in worker.arrivals)
        for asked in turned_away(worker)
    )


def turned_away(worker):
    """Return when a worker turned requests away."""
    return [arrival.answered_at for arrival in worker.arrivals if arrival.turned_away]


def test_a_target_that_asks_for_rest_gets_nothing_until_it_is_over():
    async def test():
        async with stream_world(workers=2) as world:
            tired = await world.add_worker(WorkerSettings(turns_away=lambda: True, rest="1.5"))
            await until(lambda: len(world.boxes[0].instances.of("loans")) == 3)
            answers = await send_for(world.boxes[0], 2 * REST_S)
            assert {answer.status for answer in answers} == {200}
            assert in_rest(tired) <= MOST_IN_REST
            # It is used again once its rest is over.
            assert turned_away(tired)[-1] - turned_away(tired)[0] >= REST_S

    run(test)


def test_a_target_that_rests_is_not_probed():
    async def test():
        async with stream_world(workers=1) as world:
            tired = await world.add_worker(WorkerSettings(turns_away=lambda: True, rest="1.5"))
            await until(lambda: len(world.boxes[0].instances.of("loans")) == 2)
            await asyncio.gather(*(send_for(world.boxes[0], REST_S / 2) for _ in range(4)))
            await until(lambda: turned_away(tired))
            await until(
                lambda: not any(q.probing for q in world.boxes[0].selector._queues.values())
            )
            before = tired.probes
            await send_for(world.boxes[0], REST_S / 3)
            assert tired.probes == before

    run(test)


def test_what_nobody_can_serve_is_refused_at_once_with_the_time_of_the_first_return(monkeypatch):
    async def never(*_):
        pytest.fail("a request waits for a target though all of them rest")

    async def test():
        async with stream_world(workers=0) as world:
            for rest in ("30", "20.5"):
                await world.add_worker(WorkerSettings(turns_away=lambda: True, rest=rest))
            await until(lambda: len(world.boxes[0].instances.of("loans")) == 2)
            # The first learns that both want rest; the others need not ask.
            await call(world.boxes[0], "/read/a", "first")
            monkeypatch.setattr(TargetSelector, "_wait", never)
            answer = await call(world.boxes[0], "/read/a", "second")
            assert answer.status == 503
            assert 15 < float(answer.headers["retry-after"]) < 30
            assert sum(len(worker.arrivals) for worker in world.workers) == 2

    run(test)


def test_rest_outlasts_a_row_that_goes_and_comes_back():
    async def test():
        async with stream_world(workers=1) as world:
            box = world.boxes[0]
            tired = await add_tired(world)
            world.store.remove("servers", tired.instance)
            await until(lambda: len(box.instances.of("loans")) == 1)
            row = tired.row("loans", zone="hall-a", sequence=9)
            world.store.put("servers", tired.instance, row)
            await until(lambda: len(box.instances.of("loans")) == 2)
            await send_for(box, 2 * SLACK_S)
            assert in_rest(tired, rest=30) <= MOST_IN_REST

    run(test)


def test_a_new_start_under_the_same_name_has_asked_for_nothing():
    async def test():
        async with stream_world(workers=1) as world:
            box = world.boxes[0]
            tired = await add_tired(world)
            tired.settings.turns_away = None
            row = {**tired.row("loans", zone="hall-a"), "born": 1_800_000_000_000}
            world.store.put("servers", tired.instance, row)
            await until(lambda: box.instances.find(tired.instance).listed.born)
            while not tired.ran:
                await send_for(box, 0.1)

    run(test)


@pytest.mark.parametrize("path", ["/read/a", "/lend/a", "/load/a"])
def test_a_repeat_does_not_go_to_a_target_that_rests(path):
    async def test():
        async with stream_world(workers=0) as world:
            world.store.put("op", "config", document(2, **{"max-attempts": 9}))
            for _ in range(3):
                await world.add_worker(WorkerSettings(turns_away=lambda: True, rest="30"))
            box = world.boxes[0]
            await until(lambda: len(box.instances.of("loans")) == 3)
            await until(lambda: box.routes.table.version == 2)
            answer = await call(box, path, "one", method="POST", body=b"x")
            assert answer.status == 503
            assert [len(worker.arrivals) for worker in world.workers] == [1, 1, 1]

    run(test)


def test_a_probe_that_is_turned_away_asks_for_rest_as_well():
    async def test():
        async with stream_world(workers=1) as world:
            box = world.boxes[0]
            tired = await world.add_worker(WorkerSettings(refuses_probes=True, rest="30"))
            await until(lambda: len(box.instances.of("loans")) == 2)
            while not tired.probes:
                await send_for(box, 0.1)
            await until(lambda: box.instances.find(tired.instance).rest_until)
            await send_for(box, 0.3)
            assert (tired.probes, len(tired.arrivals)) == (1, 0)

    run(test)


def test_a_target_that_turns_all_away_without_need_is_set_aside():
    async def test():
        async with stream_world(workers=2) as world:
            refuses = await world.add_worker(WorkerSettings(turns_away=lambda: True))
            await until(lambda: len(world.boxes[0].instances.of("loans")) == 3)
            answers = await send_for(world.boxes[0], 2.0)
            assert {answer.status for answer in answers} == {200}
            gaps = [b - a for a, b in itertools.pairwise(turned_away(refuses))]
            assert len(gaps) >= 2
            # Set aside after the second: 0.5 s, then twice as long each time.
            assert all(gap >= 0.5 * 2**n for n, gap in enumerate(gaps[1:]))

    run(test)
