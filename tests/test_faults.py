"""Troubles that a day's end cuts off leave nothing running."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from dunlinnotch.lab.faults import FaultInjector
from dunlinnotch.lab.scenario import FaultKind, FaultPlan


class Box:
    """A box process that ends only when the test says so."""

    def __init__(self):
        self.running = True
        self.name = "box"
        self.gone = asyncio.Event()
        self.starts = 0

    def send_signal(self, number):
        pass

    async def ended(self):
        await self.gone.wait()
        return 0

    def start(self):
        self.starts += 1

    async def wait_ready(self):
        pass


def test_a_box_that_is_being_stopped_as_the_day_ends_is_not_started_again():
    """A box process was left running after a soak: it was started again once its day had
    ended, by the wait for its end that nobody had cancelled."""

    async def test():
        boxes = [Box(), Box()]
        troubles = FaultInjector(SimpleNamespace(scenario=SimpleNamespace(seed=1), boxes=boxes))
        plan = FaultPlan(kind=FaultKind.BOX_STOP, at=0.0, share=1.0)
        causing = asyncio.ensure_future(troubles.cause(plan))
        for _ in range(20):
            await asyncio.sleep(0)
        # The day ends between the first box and the second, and ends the boxes.
        causing.cancel()
        await asyncio.gather(causing, return_exceptions=True)
        for box in boxes:
            box.gone.set()
        for _ in range(20):
            await asyncio.sleep(0)
        assert [box.starts for box in boxes] == [0, 0]

    asyncio.run(test())
