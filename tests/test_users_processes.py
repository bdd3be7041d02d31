"""Entry boxes run as processes, with settings files, signals and sockets."""

from __future__ import annotations

import asyncio
import json
import signal

from demo.users import UsersFleet, document
from dunlinnotch.standins.users.box import fetch_status, wait_until
from dunlinnotch.transport.stream.fetch import Fetcher


def run(tmp_path, test):
    """Run an asynchronous test with a new fleet."""

    async def bounded():
        async with asyncio.timeout(60), UsersFleet(tmp_path) as fleet:
            fleet.store.put("op", "config", document(1, "holdings"))
            await fleet.add_worker("holdings")
            await test(fleet)

    asyncio.run(bounded())


def test_box_serves_requests_and_its_endpoints_until_it_is_stopped(tmp_path):
    async def test(fleet):
        box = await fleet.start_box()
        assert (await fleet.call(box, "/lookup/a"))[0] == 200
        assert (await fleet.call(box, "/loan/a", method="POST"))[0] == 200
        answer = await Fetcher(box.directory_address).fetch(
            "GET", "/api/resolve?name=x&region=r&zone=hall-a", timeout=5.0
        )
        content = json.loads(answer.body)
        assert content["addresses"] == [box.caller_address]
        assert content["ttl"].endswith("ms")
        metrics = (
            await Fetcher(box.metrics_address).fetch("GET", "/metrics", timeout=5.0)
        ).body.decode()
        assert 'dunlinnotch_requests_total{kind="lookup",outcome="answered",reason=""} 1' in metrics
        assert "dunlinnotch_settings_version 1" in metrics
        assert await fetch_status(box.readiness_address, "/elsewhere") == 404
        box.send_signal(signal.SIGTERM)
        await box.wait_ready(status=503)
        assert await box.wait_exit() == 0
        events = [json.loads(line)["event"] for line in box.read_log().splitlines()]
        for event in ("started", "serving", "settings-in-force", "route", "stopping", "stopped"):
            assert event in events

    run(tmp_path, test)


def test_invalid_settings_file_prevents_the_start(tmp_path):
    async def test(fleet):
        box = fleet.make_box()
        box.write_settings(fleet.store.address, [], **{"network.bind.front": "everywhere"})
        box.start()
        assert await box.wait_exit() == 2
        assert "config-invalid: network.bind.front = 'everywhere'" in box.read_log()

    run(tmp_path, test)


def test_settings_are_reloaded_on_sighup(tmp_path):
    async def test(fleet):
        box = await fleet.start_box()
        box.write_settings(fleet.store.address, [box.ip], **{"terms.bounds.grace": "3s"})
        box.send_signal(signal.SIGHUP)
        await wait_until(lambda: '"event":"reloaded"' in box.read_log(), "reloaded")
        box.write_settings(fleet.store.address, [box.ip], **{"terms.bounds.grace": "long"})
        box.send_signal(signal.SIGHUP)
        await wait_until(lambda: '"event":"reload-refused"' in box.read_log(), "refused")
        assert (await fleet.call(box, "/lookup/a"))[0] == 200

    run(tmp_path, test)


def test_killed_box_is_restarted_while_the_other_one_serves(tmp_path):
    async def test(fleet):
        first, second = await fleet.start_box(), await fleet.start_box()
        await wait_until(lambda: '"box":"front-1"' in second.read_log(), "the boxes have met")
        first.send_signal(signal.SIGKILL)
        assert await first.wait_exit() == -signal.SIGKILL
        fleet.store.put("op", "config", document(2, "holdings"))
        await wait_until(
            lambda: '"version":2' in second.read_log(), "the other box reads for itself"
        )
        first.start()
        await first.wait_ready()
        assert (await fleet.call(first, "/lookup/a"))[0] == 200

    run(tmp_path, test)


def test_box_that_two_faults_start_again_has_one_process(tmp_path):
    async def test(fleet):
        box = await fleet.start_box()
        process = box.process
        box.start()
        assert box.process is process
        box.kill()
        box.start()
        assert box.process is not process

    run(tmp_path, test)
