"""Complete entry boxes tested against stand-ins of the users' platform."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from dunlinnotch.coordination.budgets.shares import MIN_BOXES
from dunlinnotch.coordination.choosing.fresh_reports import MAX_FRESH_AGE_S
from dunlinnotch.protocol.relay import NotSent
from dunlinnotch.standins.users.store import StoreFault
from dunlinnotch.standins.users.worker import WorkerFault, WorkerSettings
from dunlinnotch.transport.stream.link_pool import LinkPool
from tests.stream_world import (
    SAVED_RETRIES,
    call,
    connect,
    document,
    head,
    read_answer,
    stream_world,
    until,
)


def run(test):
    """Run an asynchronous test."""
    asyncio.run(test())


def logged_events(caplog, name):
    """Return the fields of all log events with a name."""
    return [record.fields for record in caplog.records if record.message == name]


def test_request_gets_the_answer_of_the_target():
    async def test():
        async with stream_world() as world:
            answer = await call(world.boxes[0], "/read/a?b=c", "one")
            assert answer.status == 200
            assert answer.headers["response-seal"] == "seal-one"
            assert answer.headers["attempt-id"] == "one"
            assert answer.body == f"{world.workers[0].instance} ran one".encode()
            assert "instance-load" not in answer.headers
            ran = world.workers[0].runs[0]
            assert (ran.method, ran.path) == ("GET", "/read/a?b=c")
            assert 0 < ran.deadline_ms <= 5000

    run(test)


def test_bodies_with_a_length_or_in_chunks_reach_the_target_unaltered():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            body = bytes(range(256)) * 3000  # larger than the buffer for retries
            answer = await call(box, "/load/x", "up", method="POST", body=body)
            assert answer.status == 200
            reader, writer = await connect(box)
            writer.write(head("/load/x", "ch", method="POST", extra="Transfer-Encoding: chunked"))
            writer.write(b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
            assert (await read_answer(reader)).status == 200
            writer.close()
            assert [ran.body for ran in world.workers[0].runs] == [body, b"hello world"]

    run(test)


def test_unknown_path_gets_404_and_an_invalid_request_400():
    async def test():
        async with stream_world() as world:
            assert (await call(world.boxes[0], "/other/", "x")).status == 404
            reader, writer = await connect(world.boxes[0])
            writer.write(b"GET /read/ HTTP/1.1\r\nHost: books.example\r\n\r\n")
            assert (await read_answer(reader)).status == 400
            writer.close()
            assert world.ran == []

    run(test)


@pytest.mark.parametrize(
    "fault",
    [
        WorkerFault.LOST,
        WorkerFault.CUT,
        WorkerFault.FILLED,
        WorkerFault.FILLED_LAST,
        WorkerFault.NOISE,
        WorkerFault.ERROR,
        WorkerFault.BARE_503,
        WorkerFault.UNSEALED,
        WorkerFault.UNFRAMED_RESET,
    ],
)
def test_request_with_an_invalid_answer_is_retried_only_if_idempotent(fault):
    async def test():
        async with stream_world(workers=0) as world:
            for _ in range(3):
                await world.add_worker()
            await until(lambda: len(world.boxes[0].instances.for_service("loans")) == 3)
            # The first two attempts get an invalid answer, whichever targets they use.
            faults = [fault, fault]
            for worker in world.workers:
                worker.settings.faults = faults
            safe = await call(world.boxes[0], "/read/", "safe")
            assert safe.status == 200
            assert safe.body.endswith(b"ran safe")
            assert world.ran.count("safe") == 3
            faults.append(fault)
            unsafe = await call(world.boxes[0], "/lend/", "once", method="POST", body=b"x")
            assert world.ran.count("once") == 1
            # No status that guarantees that the request did not run, and no seal with a 502.
            assert unsafe.status in (500, 502)
            if unsafe.status == 502:
                assert "response-seal" not in unsafe.headers

    run(test)


def test_request_that_ran_is_not_reported_as_not_run_when_the_retry_fails():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker()
            box = world.boxes[0]
            await until(lambda: box.instances.for_service("loans"))
            # The worker crashes during the request, so the retry can't connect.
            worker.settings.crashes_on = lambda path: True
            assert (await call(box, "/read/", "ran")).status == 502
            assert world.ran == ["ran"]

    run(test)


def test_crashed_target_is_distinguished_from_a_truncated_answer(caplog):
    async def test():
        async with stream_world(workers=0) as world:
            first = await world.add_worker(WorkerSettings(faults=[WorkerFault.LOST]))
            box = world.boxes[0]
            await until(lambda: box.instances.for_service("loans"))
            assert (await call(box, "/lend/", "lost", method="POST", body=b"x")).status == 502
            assert not logged_events(caplog, "target-ended")
            first.settings.crashes_on = lambda path: path.endswith("worst")
            answer = await call(box, "/lend/worst", "last", method="POST", body=b"x")
            assert answer.status == 502
            assert first.crashed.is_set()

    with caplog.at_level("INFO"):
        run(test)
    (crashed,) = logged_events(caplog, "target-ended")
    (route,) = [r for r in logged_events(caplog, "route") if r["request"] == "last"]
    assert crashed["request"] == "last"
    assert (crashed["content"], crashed["origin"]) == (route["content"], route["origin"])
    assert route["caller"] == "127.0.0.1"


@pytest.mark.parametrize("fault", [WorkerFault.SURPLUS, WorkerFault.LATE_SURPLUS])
def test_surplus_answers_are_discarded(fault):
    async def test():
        async with stream_world() as world:
            box, worker = world.boxes[0], world.workers[0]
            for number in range(6):
                worker.settings.faults = [fault]
                name = f"req{number}"
                answer = await call(box, "/read/", name)
                assert answer.status == 200
                assert answer.body.endswith(f"ran {name}".encode())
                await asyncio.sleep(0.02)

    run(test)


def test_answer_without_length_ends_with_its_connection():
    async def test():
        async with stream_world() as world:
            world.workers[0].settings.faults = [WorkerFault.UNFRAMED]
            answer = await call(world.boxes[0], "/lend/", "u", method="POST", body=b"x")
            assert answer.status == 200
            assert answer.body.endswith(b"ran u")

    run(test)


def test_request_refused_by_a_target_is_retried_even_if_not_idempotent():
    async def test():
        async with stream_world() as world:
            await world.add_worker(WorkerSettings(slots=1, queue=0))
            box = world.boxes[0]
            await until(lambda: len(box.instances.for_service("loans")) == 2)
            saturated = world.workers[1]
            saturated.resume = asyncio.Event()
            saturated.settings.queue = -1  # refuses all requests, whatever load it reports
            for number in range(8):
                answer = await call(box, "/lend/", f"l{number}", method="POST", body=b"x")
                assert answer.status == 200
            assert saturated.runs == []
            assert len(set(world.ran)) == len(world.ran) == 8

    run(test)


def test_box_that_starts_again_retries_only_what_its_requests_have_earned():
    async def test():
        async with stream_world(boxes=0, workers=0, saved_retries=False) as world:
            for _ in range(3):
                await world.add_worker(WorkerSettings(rejects_next=lambda: True))
            for _ in range(3):
                box = await world.add_box()
                await until(lambda box=box: len(box.instances.for_service("loans")) == 3)
                before = sum(len(worker.arrivals) for worker in world.workers)
                for number in range(4):
                    await call(box, "/read/", f"{box.mesh.name}-{number}")
                # Four requests earn 0.8 of a retry.
                assert sum(len(worker.arrivals) for worker in world.workers) - before <= 4
                world.tasks.pop().cancel()

    run(test)


def test_box_that_has_heard_of_no_other_takes_the_smallest_part_of_shared_limits(caplog):
    async def test():
        async with stream_world(boxes=0) as world:
            alone = await world.add_box(seeds=("127.0.0.1:1",))
            assert alone.probes.boxes == 640
            second = await world.add_box(seeds=(alone.mesh.peer,))
            await until(lambda: {box.probes.boxes for box in (alone, second)} == {MIN_BOXES})

    with caplog.at_level("INFO"):
        run(test)
    limits = {"boxes": 640, "before": 1, "retry_slack": 640.0, "saved_retries": SAVED_RETRIES}
    assert logged_events(caplog, "limits-shared")[0] == limits


def test_a_slack_without_a_retry_for_each_box_is_logged_as_a_warning(caplog):
    async def test():
        async with stream_world(saved_retries=False) as world:
            box = world.boxes[0]
            box.reload(replace(box._settings, retry_slack=MIN_BOXES - 1))
            assert box.forwarder.saved_retries == 0

    with caplog.at_level("INFO"):
        run(test)
    (warning,) = [r for r in caplog.records if r.levelname == "WARNING"]
    assert (warning.message, warning.fields["saved_retries"]) == ("limits-shared", 0.0)


def test_connections_to_targets_are_divided_anew_when_more_boxes_become_known():
    async def test():
        async with stream_world() as world:
            box, address = world.boxes[0], world.workers[0].address
            pool = box._target_client.pool(address)
            links = [await pool.connect() for _ in range(260 // MIN_BOXES)]
            assert isinstance(await pool.connect(), NotSent)
            told = replace(box.mesh.own_heartbeat(), name="other", box_counts={"hall-a": 26})
            box.mesh.receive(told)
            await until(lambda: pool.max_links == 260 // 26)
            for link in links:
                pool.release_link(link)
            assert len(pool.open_links) == 260 // 26
            box.mesh.receive(replace(told, seq=told.seq + 1, box_counts={"hall-a": 2600}))
            await until(lambda: pool.max_links == 1)

    run(test)


def test_request_does_not_run_at_a_target_that_took_over_an_address():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            assert (await call(box, "/lend/", "a", method="POST", body=b"x")).status == 200
            world.workers[0].replace_instance()
            answer = await call(box, "/lend/", "b", method="POST", body=b"x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert world.ran == ["a"]

    run(test)


def test_request_of_a_disconnected_caller_is_cancelled_at_the_target():
    async def test():
        async with stream_world() as world:
            worker = world.workers[0]
            worker.resume = asyncio.Event()
            _, writer = await connect(world.boxes[0])
            writer.write(head("/read/", "gone"))
            await until(lambda: world.ran == ["gone"])
            writer.close()
            await until(lambda: worker.cancelled == 1)
            assert world.boxes[0].forwarder.in_flight == 0

    run(test)


def test_request_past_its_deadline_gets_504_and_is_cancelled_at_the_target():
    async def test():
        async with stream_world() as world:
            worker = world.workers[0]
            worker.resume = asyncio.Event()
            answer = await call(world.boxes[0], "/read/", "late", deadline_ms=150)
            assert answer.status == 504
            await until(lambda: worker.cancelled == 1)

    run(test)


def test_request_is_refused_with_retry_after_when_all_targets_are_saturated():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker(
                WorkerSettings(slots=1, queue=1, hangs_when_saturated=True)
            )
            box = world.boxes[0]
            await until(lambda: box.instances.for_service("loans"))
            worker.resume = asyncio.Event()
            held = [asyncio.create_task(call(box, "/read/", "held"))]
            await until(lambda: len(worker.arrivals) == 1)
            # The queue of the target has room, but boxes do not let requests wait at targets.
            answer = await call(box, "/read/", "more")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(worker.arrivals) == 1
            worker.resume.set()
            assert {a.status for a in await asyncio.gather(*held)} == {200}

    run(test)


@pytest.mark.parametrize("fault", [WorkerFault.ERROR, WorkerFault.CUT])
def test_fast_failures_do_not_reduce_the_usual_work_time(fault):
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker(WorkerSettings(work_s=0.05))
            box = world.boxes[0]
            await until(lambda: box.instances.for_service("loans"))
            assert (await call(box, "/lend/", "first", method="POST", body=b"x")).status == 200
            usual = box.latency_model.usual_latency("lend")
            worker.settings.work_s = 0.0
            worker.settings.faults = [fault] * 3
            for number in range(3):
                answer = await call(box, "/lend/", f"f{number}", method="POST", body=b"x")
                assert answer.status >= 500
            assert box.latency_model.usual_latency("lend") == usual >= 0.05

    run(test)


def test_request_that_cannot_finish_in_time_is_not_sent():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker(WorkerSettings(work_s=0.05))
            box = world.boxes[0]
            await until(lambda: box.instances.for_service("loans"))
            for number in range(3):
                assert (
                    await call(box, "/lend/", f"r{number}", method="POST", body=b"x")
                ).status == 200
            worker.settings.slowness_percent = 4000
            await asyncio.sleep(5 * MAX_FRESH_AGE_S)  # the last report is outdated then
            late = await call(box, "/lend/", "hopeless", method="POST", body=b"x", deadline_ms=900)
            assert late.status == 503
            assert "retry-after" in late.headers
            assert "hopeless" not in world.ran
            # With enough time left, the slow target is used.
            slow = await call(box, "/lend/", "patient", method="POST", body=b"x")
            assert slow.status == 200

    run(test)


def test_new_settings_and_leaving_targets_are_applied_without_a_restart():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            other = await world.add_worker(service="other")
            world.store.put("op", "config", document(4, services=("other", "loans")))
            await until(lambda: box.routes.table.version == 4)
            await until(lambda: box.instances.for_service("other"))
            assert (await call(box, "/read/", "moved")).status == 200
            assert [r.request_id for r in other.runs] == ["moved"]
            world.store.put(
                "servers", other.instance, other.row("other", zone="hall-a", state="draining")
            )
            await until(lambda: not box.instances.for_service("other"))
            assert (await call(box, "/read/", "none")).status == 503
            # A row with an older sequence number does not make the target available again.
            world.store.put("servers", other.instance, other.row("other", zone="hall-a"))
            world.store.put("servers", "i-new", other.row("loans", zone="hall-a", sequence=9))
            await until(lambda: box.instances.find("i-new"))
            assert not box.instances.for_service("other")

    run(test)


def test_invalid_document_leaves_the_last_valid_one_active(caplog):
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            world.store.put("op", "config", b'{"version":"r5","routes":"cut')
            invalid = document(6)
            invalid["routes"][0]["timeout"] = "soon"
            world.store.put("op", "config", invalid)
            world.store.put("op", "config", document(7))
            await until(lambda: box.routes.table.version == 7)
            assert (await call(box, "/read/", "x")).status == 200

    with caplog.at_level("INFO"):
        run(test)
    details = [r.fields["detail"] for r in caplog.records if r.message == "settings-unreadable"]
    assert any("routes.0.timeout = 'soon'" in detail for detail in details)


def test_invalid_rows_do_not_stop_the_boxes():
    async def test():
        async with stream_world(boxes=2, workers=2) as world:
            invalid_worker, valid_worker = world.workers
            row = invalid_worker.row("loans", zone="hall-a")
            invalid_rows = [
                b"\xff",
                b"[" * 200_000,
                {**row, "address": "nowhere"},
                {**row, "born": "x"},
            ]
            for number, invalid in enumerate(invalid_rows):
                world.store.put("servers", invalid_worker.instance, invalid)
                world.store.put("servers", f"foreign-{number}", invalid)
                world.store.put(
                    "servers", valid_worker.instance, valid_worker.row("loans", zone="hall-a")
                )
            for box in world.boxes:
                await until(
                    lambda box=box: [i.name for i in box.instances.all()] == [valid_worker.instance]
                )
                assert (await call(box, "/read/x", "x")).status == 200
            world.store.put("servers", invalid_worker.instance, row)
            await until(lambda: all(b.instances.find(invalid_worker.instance) for b in world.boxes))

    run(test)


def test_requests_in_flight_finish_when_the_row_of_their_target_becomes_invalid():
    async def test():
        async with stream_world() as world:
            box, worker = world.boxes[0], world.workers[0]
            worker.resume = asyncio.Event()
            held = asyncio.create_task(call(box, "/lend/", "held", method="POST", body=b"x"))
            await until(lambda: world.ran == ["held"])
            world.store.put("servers", worker.instance, b"bad")
            await until(lambda: not box.instances.for_service("loans"))
            worker.resume.set()
            assert (await held).status == 200

    run(test)


def test_restarted_target_with_the_same_name_is_used_again():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker()
            box = world.boxes[0]
            row = worker.row("loans", zone="hall-a", sequence=9)
            world.store.put("servers", worker.instance, {**row, "born": 1000})
            await until(
                lambda: [i.listed.born for i in box.instances.for_service("loans")] == [1000]
            )
            leaving = worker.row("loans", zone="hall-a", sequence=10, state="draining")
            world.store.put("servers", worker.instance, {**leaving, "born": 1000})
            await until(lambda: not box.instances.for_service("loans"))
            restarted = worker.row("loans", zone="hall-a", sequence=0)
            world.store.put("servers", worker.instance, {**restarted, "born": 2000})
            await until(
                lambda: [i.listed.born for i in box.instances.for_service("loans")] == [2000]
            )
            assert (await call(box, "/read/x", "x")).status == 200

    run(test)


def test_one_box_reads_the_store_and_the_others_follow_it():
    async def test():
        async with stream_world(boxes=3) as world:
            world.store.put("op", "config", document(2))
            await until(lambda: all(b.routes.table.version == 2 for b in world.boxes))
            readers = [box for box in world.boxes if box.mesh.is_reader()]
            assert len(readers) == 1

    run(test)


def test_box_without_the_store_gets_updates_from_its_peers():
    async def test():
        async with stream_world(boxes=2) as world:
            reader = next(box for box in world.boxes if box.mesh.is_reader())
            # Both boxes have the same IP address here, so the store fails for all of them.
            failing = world.store.faults
            failing.fault = StoreFault.BUSY
            await until(lambda: not reader.mesh.reading)
            assert (await call(world.boxes[0], "/read/", "meanwhile")).status == 200
            failing.fault = StoreFault.NONE
            world.store.put("op", "config", document(3))
            await until(lambda: all(b.routes.table.version == 3 for b in world.boxes))

    run(test)


def test_table_is_read_completely_when_the_store_has_dropped_its_history():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            world.store.put("op", "config", document(2))
            world.store.remove("servers", world.workers[0].instance)
            world.store.drop_history()
            await until(lambda: box.routes.table.version == 2)
            await until(lambda: not box.instances.for_service("loans"))

    run(test)


def test_planned_stop_finishes_requests_in_flight_and_refuses_later_ones():
    async def test():
        async with stream_world(boxes=2) as world:
            leaving, other = world.boxes
            worker = world.workers[0]
            worker.resume = asyncio.Event()
            held = asyncio.create_task(call(leaving, "/lend/", "held", method="POST", body=b"x"))
            await until(lambda: world.ran == ["held"])
            idle_reader, idle_writer = await connect(leaving)
            leaving.request_stop()
            await until(lambda: leaving.caller not in other.mesh.offered_addresses("hall-a"))
            assert not leaving.ready
            await until(lambda: leaving.refusing)
            idle_writer.write(head("/read/", "late"))
            late = await read_answer(idle_reader)
            assert (late.status, late.headers["connection"]) == (503, "close")
            assert "retry-after" in late.headers
            worker.resume.set()
            answer = await held
            assert answer.status == 200
            await world.tasks[0]
            assert world.ran == ["held"]

    run(test)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("POST", "/lend/", 504), ("GET", "/read/", 504)],
)
def test_caller_of_a_silent_target_gets_an_answer_at_a_planned_stop(method, path, status):
    """Guards against a stopping box that closes a caller's connection without an answer."""

    async def test():
        async with stream_world(boxes=0) as world:
            box = await world.add_box(grace=1.0)
            world.workers[0].resume = asyncio.Event()
            body = b"x" if method == "POST" else b""
            held = asyncio.create_task(call(box, path, "mute", method=method, body=body))
            await until(lambda: world.ran == ["mute"])
            box.request_stop()
            assert (await held).status == status
            await world.tasks[0]

    run(test)


@pytest.mark.parametrize(("method", "path"), [("POST", "/lend/"), ("GET", "/read/")])
def test_request_is_not_sent_to_a_target_that_leaves_while_connecting(monkeypatch, method, path):
    """Guards against a request sent to a target that announced leaving during the connect."""

    async def test():
        async with stream_world(workers=2) as world:
            box = world.boxes[0]
            original = LinkPool.acquire_link
            leaving_address = []

            async def connect_while_leaving(pool, key, **more):
                link = await original(pool, key, **more)
                if not leaving_address:
                    leaving_address.append(pool.address)
                    leaving = next(i for i in box.instances.all() if i.address == pool.address)
                    box.instances.remove(leaving.name)
                return link

            monkeypatch.setattr(LinkPool, "acquire_link", connect_while_leaving)
            # Without probes, the connection is opened for the request itself.
            box.probes.max_per_s = 0.0
            monkeypatch.setattr(type(box.probes), "is_available", lambda self, target: False)
            body = b"x" if method == "POST" else b""
            answer = await call(box, path, "r1", method=method, body=body)
            assert answer.status in (200, 503)
            reached = {
                worker.address: [run.request_id for run in worker.runs] for worker in world.workers
            }
            assert reached[leaving_address[0]] == []

    run(test)


def test_log_shows_backoff_requested_by_a_target(caplog):
    async def test():
        async with stream_world(workers=0) as world:
            caplog.set_level("INFO")
            world.store.put("op", "config", document(2, **{"max-attempts": 1}))
            await world.add_worker(WorkerSettings(rejects_next=lambda: True, retry_after="2.5"))
            await until(lambda: world.boxes[0].instances.for_service("loans"))
            await until(lambda: world.boxes[0].routes.table.version == 2)
            await call(world.boxes[0], "/read/a", "one")
            (line,) = logged_events(caplog, "route")
            assert (line["tries"][0]["status"], line["tries"][0]["rest_s"]) == (503, 2.5)
            (requested,) = logged_events(caplog, "target-asks-rest")[:1]
            assert (requested["instance"], requested["rest_s"]) == (world.workers[0].instance, 2.5)
            assert "dunlinnotch_rests_asked_total 1\n" in world.boxes[0].text_metrics.text()

    run(test)
