"""Targets whose answers have a status that is none of HTTP."""

from __future__ import annotations

import asyncio

import pytest

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.platform.dialect import WorkerDialect
from dunlinnotch.protocol.attempt import Broken
from dunlinnotch.transport.stream.client import TargetClient
from dunlinnotch.transport.stream.fetch import Fetcher
from tests.scripted_target import scripted_target
from tests.stream_world import TIMEOUT_S, call, stream_world, until
from tests.test_targets import RawTarget, attempt, make_call, make_client

STATUSES = [b"000", b"001", b"099", b"600", b"999"]


def run(test):
    asyncio.run(asyncio.wait_for(test(), TIMEOUT_S))


@pytest.mark.parametrize("status", STATUSES)
def test_request_that_must_not_run_twice_waits_for_or_is_given_an_invalid_status(status):
    async def test():
        async with stream_world(workers=0) as world, scripted_target(world) as target:
            options = {"method": "POST", "body": b"x", "deadline_ms": 3_600_000}
            caller = asyncio.create_task(call(world.boxes[0], "/lend/a", "a", **options))
            received = await target.next_request()
            received.send(received.success().replace(b"200", status, 1))
            # Its connection stays open, and its route allows five seconds.
            assert (await caller).status == 502

    run(test)


@pytest.mark.parametrize("status", STATUSES)
def test_repeatable_request_is_not_sent_to_another_target_after_an_invalid_status(status):
    async def test():
        async with stream_world(workers=1) as world, scripted_target(world) as target:
            calls = 0
            while not target.received.qsize():
                calls += 1
                caller = asyncio.create_task(call(world.boxes[0], "/read/a", f"r{calls}"))
                await until(lambda c=caller: c.done() or target.received.qsize())
            received = await target.next_request()
            received.send(received.success().replace(b"200", status, 1))
            assert (await caller).status == 200

    run(test)


@pytest.mark.parametrize("status", STATUSES)
def test_probe_waits_for_the_end_of_an_answer_with_an_invalid_status(status):
    async def test():
        async with (
            stream_world(workers=0) as world,
            scripted_target(world, holds_probes=True) as target,
        ):
            client = TargetClient(WorkerDialect())
            probe = asyncio.create_task(client.probe(target.address, "/own"))
            received = await target.next_request()
            while received.path != "/own":
                received = await target.next_request()
            received.send(received.health().replace(b"200", status, 1))
            assert not (await probe).healthy

    run(test)


@pytest.mark.parametrize("status", STATUSES)
def test_call_to_the_store_waits_for_the_end_of_an_answer_with_an_invalid_status(status):
    async def test():
        async with stream_world(workers=0) as world, scripted_target(world) as target:
            fetch = Fetcher(target.address).fetch("GET", "/own", timeout=TIMEOUT_S)
            fetching = asyncio.create_task(fetch)
            target.holds_probes = True
            received = await target.next_request()
            while received.path != "/own":
                received = await target.next_request()
            received.send(received.health().replace(b"200", status, 1))
            with pytest.raises(PlatformUnavailableError, match="invalid"):
                await fetching

    run(test)


@pytest.mark.parametrize("status", STATUSES)
def test_threaded_daemon_passes_an_invalid_status_on(status):
    target = RawTarget()
    client, _ = make_client()
    target.answers = [b"HTTP/1.1 " + status + b" -\r\nContent-Length: 0\r\n\r\n"]
    assert isinstance(attempt(client, target, make_call()), Broken)
    target.close()
