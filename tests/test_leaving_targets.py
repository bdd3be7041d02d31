"""Targets that announce in their answers that they leave."""

from __future__ import annotations

import asyncio

import pytest

from dunlinnotch.standins.users.worker import WorkerFault
from tests.stream_world import call, stream_world, until


@pytest.mark.parametrize("probes", [True, False])
@pytest.mark.parametrize(
    "fault",
    [
        WorkerFault.NONE,
        WorkerFault.ERROR,
        WorkerFault.UNSEALED,
        WorkerFault.BARE_503,
        WorkerFault.EARLY,
    ],
)
def test_target_gets_no_request_or_probe_after_an_answer_announced_that_it_leaves(
    fault, probes, caplog
):
    async def test():
        async with stream_world(workers=2) as world:
            caplog.set_level("INFO")
            box = world.boxes[0]
            if not probes:
                box.selector._probe_path = lambda service: ""
            await until(lambda: len(box.instances.for_service("loans")) == 2)
            leaving = world.workers[0]
            leaving.settings.leaving = True
            number = 0
            while box.instances.find(leaving.instance) is not None:
                leaving.settings.faults = [fault]
                number += 1
                answer = await call(box, "/read/a", f"before-{number}")
                assert answer.status == 200
                assert "server-leaving" not in answer.headers
            # A row with a later sequence number does not make the target available again.
            row = leaving.row("loans", zone="hall-a", sequence=77)
            version = world.store.put("servers", leaving.instance, row)
            await until(lambda: box.tables["servers"].version >= version)
            arrivals, probes_sent = len(leaving.arrivals), leaving.probes
            for number in range(20):
                assert (await call(box, "/read/a", f"after-{number}")).status == 200
            assert (len(leaving.arrivals), leaving.probes) == (arrivals, probes_sent)
            events = [r.fields for r in caplog.records if r.message == "target-leaving"]
            assert [fields["why"] for fields in events] == ["said by itself"]

    asyncio.run(test())
