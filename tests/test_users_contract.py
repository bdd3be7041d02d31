"""Rules of the users' protocol that the adapter relies on.

The doc comments quote or summarise it.  Parsing of headers and documents is tested in
``test_platform_adapter.py``.
"""

from __future__ import annotations

import asyncio
import json

import pytest

from dunlinnotch.platform.store import PlatformStore
from dunlinnotch.standins.users.store import StoreStandin
from dunlinnotch.standins.users.worker import WorkerFault, WorkerSettings, WorkerStandin
from dunlinnotch.transport.stream.fetch import Fetcher
from tests.stream_world import call, connect, document, head, read_answer, stream_world, until


def run(test):
    """Run an asynchronous test with a timeout."""

    async def bounded():
        async with asyncio.timeout(60):
            await test()

    asyncio.run(bounded())


def test_max_attempts():
    """`max-attempts` is the largest number of workers one client attempt may be sent to."""

    async def test():
        async with stream_world(workers=4) as world:
            world.store.put("op", "config", document(2, **{"max-attempts": 2}))
            box = world.boxes[0]
            await until(lambda: box.routes.table.version == 2)
            for worker in world.workers:
                worker.settings.faults = [WorkerFault.LOST] * 9
            answer = await call(box, "/read/", "two")
            assert answer.status == 502
            assert world.ran == ["two", "two"]

    run(test)


def test_traffic_split():
    """Requests are divided among those services in the stated proportions."""

    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            other = await world.add_worker(service="other")
            split = [{"service": "loans", "weight": 3}, {"service": "other", "weight": 1}]
            content = document(2, services=("loans", "other"), **{"traffic-split": split})
            world.store.put("op", "config", content)
            await until(
                lambda: box.routes.table.version == 2 and box.instances.for_service("other")
            )
            for number in range(80):
                await call(box, "/read/", f"s{number}")
            assert 18 <= len(other.runs) <= 22

    run(test)


def test_request_to_a_silent_worker_times_out():
    """Workers of some services never answer what they cannot queue, and nothing further there."""

    async def test():
        async with stream_world() as world:
            box, worker = world.boxes[0], world.workers[0]
            worker.settings.faults = [WorkerFault.MUTE]
            answer = await call(box, "/lend/", "mute", method="POST", body=b"x", deadline_ms=200)
            assert answer.status == 504
            # The connection was closed, so the next request uses a new one.
            assert (await call(box, "/lend/", "next", method="POST", body=b"x")).status == 200
            assert world.ran == ["mute", "next"]

    run(test)


def test_answer_before_the_end_of_the_request_body():
    """A worker is allowed to answer before it has read a long body."""

    async def test():
        async with stream_world() as world:
            box, worker = world.boxes[0], world.workers[0]
            worker.settings.faults = [WorkerFault.EARLY]
            body = b"y" * 700_000
            early = await call(box, "/load/", "early", method="POST", body=body)
            assert early.status == 503
            assert "early" not in world.ran
            later = await call(box, "/load/", "later", method="POST", body=body)
            assert later.status == 200
            assert [run.body == body for run in worker.runs] == [True]

    run(test)


def test_pipelined_requests_are_answered_in_order():
    """Every caller gets the whole answer to its own request, in turn."""

    async def test():
        async with stream_world(workers=2) as world:
            reader, writer = await connect(world.boxes[0])
            for number in range(4):
                writer.write(head("/read/", f"p{number}"))
            for number in range(4):
                answer = await read_answer(reader)
                assert answer.headers["attempt-id"] == f"p{number}"
                assert answer.body.endswith(f"ran p{number}".encode())
            writer.close()

    run(test)


@pytest.mark.parametrize(
    ("fault", "status"),
    [(WorkerFault.BARE_503, 502), (WorkerFault.LOST, 502), (WorkerFault.ERROR, 500)],
)
def test_status_503_is_sent_only_if_the_request_did_not_run(fault, status):
    """429 and 503 are a promise: the request has not run and will never run."""

    async def test():
        async with stream_world() as world:
            world.workers[0].settings.faults = [fault]
            answer = await call(world.boxes[0], "/lend/", "once", method="POST", body=b"x")
            assert answer.status == status
            assert world.ran == ["once"]

    run(test)


# The stand-ins must follow the protocol too, otherwise the tests above are void.


def test_stand_in_checks_expect_instance():
    """Every other worker answers 421 and does not run the request."""

    async def test():
        worker = WorkerStandin(WorkerSettings())
        await worker.start()
        host, _, port = worker.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head("/x", "a", extra="Expect-Instance: i-other"))
        answer = await read_answer(reader)
        assert (answer.status, answer.headers["instance-id"]) == (421, worker.instance)
        assert worker.runs == []
        writer.close()
        await worker.close()

    run(test)


def test_stand_in_applies_transactions_atomically():
    """`rows-tx` does everything or nothing; 412 comes along with the rows as they are."""

    async def test():
        store = StoreStandin()
        fetcher = Fetcher(await store.start())

        async def transact(ver, value, *, table="my", parts=("p",)):
            content = {
                "expected-revision": [{"table": table, "part": "p", "tls-key": "k", "ver": ver}],
                "put": [
                    {"table": table, "part": part, "tls-key": "k", "value": value} for part in parts
                ],
                "remove": [],
            }
            body = json.dumps(content).encode()
            return await fetcher.fetch("POST", "/api/rows-tx", body=body, timeout=5.0)

        assert (await transact(0, "YQ==")).status == 200
        refused = await transact(0, "Yg==")
        assert refused.status == 412
        assert json.loads(refused.body)["rows"][0]["value"] == "YQ=="
        assert (await transact(1, "Yg==")).status == 200
        assert (await transact(2, "Yg==", parts=("p", "q"))).status == 400
        assert (await transact(0, "Yg==", table="op")).status == 403
        await store.close()

    run(test)


def test_stand_in_lists_rows_in_order_and_keeps_blobs():
    """Keys rise bytewise; `from` is the first key, `target-version` excluded; objects are kept."""

    async def test():
        store = StoreStandin()
        address = await store.start()
        fetcher = Fetcher(address)
        for key in ("b", "a", "c", "B"):
            store.put("t", key, 1)
        path = "/api/rows-get?table=t&from=a&target-version=c"
        rows = json.loads((await fetcher.fetch("GET", path, timeout=5.0)).body)["rows"]
        assert [row["tls-key"] for row in rows] == ["a", "b"]
        snapshot = await PlatformStore(address).read_table("t")
        assert [row.key for row in snapshot.rows] == ["B", "a", "b", "c"]
        put = await fetcher.fetch("PUT", "/api/blob-put/x%2Fy", body=b"data", timeout=5.0)
        assert put.status == 200
        read = await fetcher.fetch("GET", "/api/blob-get/x%2Fy", timeout=5.0)
        assert read.body == b"data"
        listed = await fetcher.fetch("GET", "/api/blob-list?path-prefix=x", timeout=5.0)
        assert json.loads(listed.body)["names"] == ["x/y"]
        await fetcher.fetch("DELETE", "/api/blob-drop/x%2Fy", timeout=5.0)
        assert (await fetcher.fetch("GET", "/api/blob-get/x%2Fy", timeout=5.0)).status == 404
        await store.close()

    run(test)


def test_stand_in_reissues_versions_after_a_restore():
    """Versions go back and are issued again; a read after a missing version gets 410."""

    async def test():
        store = StoreStandin()
        fetcher = Fetcher(await store.start())
        try:
            store.put("op", "config", {"n": 1})
            restore_point = store.now
            await asyncio.sleep(0.01)
            store.put("op", "config", {"n": 2})
            store.put("op", "late", {"n": 3})
            await fetcher.fetch("PUT", "/api/blob-put/late", body=b"x", timeout=5)
            store.restore_backup(restore_point)
            read = await fetcher.fetch("GET", "/api/rows-get?table=op&part=", timeout=5)
            (row,) = json.loads(read.body)["rows"]
            assert (row["ver"], json.loads(read.body)["ver"]) == (1, 1)
            feed = "/api/rows-feed?table=op&after={}&wait-ms=0"
            assert (await fetcher.fetch("GET", feed.format(3), timeout=5)).status == 410
            assert (await fetcher.fetch("GET", feed.format(1), timeout=5)).status == 200
            assert (await fetcher.fetch("GET", "/api/blob-get/late", timeout=5)).status == 404
            assert store.put("op", "config", {"n": 2}) == 2
        finally:
            await store.close()

    run(test)
