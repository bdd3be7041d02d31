"""Faults interrupted by the end of a scenario leave no process running."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from dunlinnotch.lab.faults import FaultInjector
from dunlinnotch.lab.scenario import FaultKind, FaultPlan


class Box:
    """A box process that exits only when the test sets ``exited``."""

    def __init__(self):
        self.running = True
        self.name = "box"
        self.exited = asyncio.Event()
        self.starts = 0

    def send_signal(self, number):
        pass

    async def ended(self):
        await self.exited.wait()
        return 0

    def start(self):
        self.starts += 1

    async def wait_ready(self):
        pass


def test_a_box_that_is_stopping_when_the_scenario_ends_is_not_started_again():
    """Otherwise the box process would keep running after the scenario."""

    async def test():
        boxes = [Box(), Box()]
        injector = FaultInjector(SimpleNamespace(scenario=SimpleNamespace(seed=1), boxes=boxes))
        plan = FaultPlan(kind=FaultKind.BOX_STOP, at=0.0, share=1.0)
        injecting = asyncio.ensure_future(injector.inject(plan))
        for _ in range(20):
            await asyncio.sleep(0)
        # The scenario ends after the first box was told to stop and before the second.
        injecting.cancel()
        await asyncio.gather(injecting, return_exceptions=True)
        for box in boxes:
            box.exited.set()
        for _ in range(20):
            await asyncio.sleep(0)
        assert [box.starts for box in boxes] == [0, 0]

    asyncio.run(test())
