"""Boxes that lose the path to targets, in one process with their peers and targets."""

from __future__ import annotations

import asyncio

from tests.cut_paths import Cut, cut_paths
from tests.stream_world import call, stream_world, until

_BOXES, _WORKERS = 3, 4


def run(test):
    """Run an asynchronous test."""
    asyncio.run(test())


def test_callers_of_a_box_cut_off_from_all_targets_are_served():
    async def test():
        async with stream_world(boxes=_BOXES, workers=_WORKERS) as world:
            box = world.boxes[0]
            await until(lambda: len(box.mesh.live()) == _BOXES - 1)
            with cut_paths() as paths:
                paths.cut(box, Cut.RESETS)
                # The first requests show the box that it is cut off.
                await asyncio.gather(*(call(box, "/read/", f"first-{n}") for n in range(4)))
                answers = [await call(box, "/read/a", f"read-{n}") for n in range(8)]
                answers += [
                    await call(box, "/lend/a", f"lend-{n}", method="POST", body=b"x")
                    for n in range(8)
                ]
                assert [answer.status for answer in answers] == [200] * 16

    run(test)
