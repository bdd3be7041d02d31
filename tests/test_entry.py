"""Whole entry boxes against stand-ins of the users' platform."""

from __future__ import annotations

import asyncio

import pytest

from dunlinnotch.coordination.choosing.fresh import FRESH_S
from dunlinnotch.standins.users.store import StoreFault
from dunlinnotch.standins.users.worker import WorkerFault, WorkerSettings
from dunlinnotch.transport.stream.link_pool import LinkPool
from tests.stream_world import (
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


def logged(caplog, name):
    """Return the fields of all events of a name."""
    return [record.fields for record in caplog.records if record.message == name]


def test_a_request_is_served_with_the_target_s_own_answer():
    async def test():
        async with stream_world() as world:
            answer = await call(world.boxes[0], "/read/a?b=c", "one")
            assert answer.status == 200
            assert answer.headers["response-seal"] == "seal-one"
            assert answer.headers["attempt-id"] == "one"
            assert answer.body == f"{world.workers[0].instance} ran one".encode()
            assert "instance-load" not in answer.headers
            ran = world.workers[0].ran[0]
            assert (ran.method, ran.path) == ("GET", "/read/a?b=c")
            assert 0 < ran.deadline_ms <= 5000

    run(test)


def test_bodies_reach_the_target_unaltered_by_length_and_in_chunks():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            body = bytes(range(256)) * 3000  # more than is held
            answer = await call(box, "/load/x", "up", method="POST", body=body)
            assert answer.status == 200
            reader, writer = await connect(box)
            writer.write(head("/load/x", "ch", method="POST", extra="Transfer-Encoding: chunked"))
            writer.write(b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
            assert (await read_answer(reader)).status == 200
            writer.close()
            assert [ran.body for ran in world.workers[0].ran] == [body, b"hello world"]

    run(test)


def test_unknown_path_is_404_and_a_bad_request_400():
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
        WorkerFault.NOISE,
        WorkerFault.ERROR,
        WorkerFault.BARE_503,
        WorkerFault.UNSEALED,
        WorkerFault.UNFRAMED_RESET,
    ],
)
def test_a_spoilt_answer_is_repeated_only_where_that_is_harmless(fault):
    async def test():
        async with stream_world(workers=0) as world:
            for _ in range(3):
                await world.add_worker()
            await until(lambda: len(world.boxes[0].instances.of("loans")) == 3)
            # Whichever targets are tried: the first spoils it, the second too.
            faults = [fault, fault]
            for worker in world.workers:
                worker.settings.faults = faults
            safe = await call(world.boxes[0], "/read/", "safe")
            assert safe.status == 200
            assert safe.body.endswith(b"ran safe")
            assert world.ran.count("safe") == 3
            faults.append(fault)
            once = await call(world.boxes[0], "/lend/", "once", method="POST", body=b"x")
            assert world.ran.count("once") == 1
            # No promise that it has not run, nothing of another status's seal.
            assert once.status in (500, 502)
            if once.status == 502:
                assert "response-seal" not in once.headers

    run(test)


def test_what_ran_at_its_first_target_is_not_called_not_run_when_the_next_refuses():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker()
            box = world.boxes[0]
            await until(lambda: box.instances.of("loans"))
            # It ends under the request, so the repeat does not even reach it.
            worker.settings.ends_under = lambda path: True
            assert (await call(box, "/read/", "ran")).status == 502
            assert world.ran == ["ran"]

    run(test)


def test_a_target_that_ended_is_told_apart_from_one_that_broke_off_an_answer(caplog):
    async def test():
        async with stream_world(workers=0) as world:
            first = await world.add_worker(WorkerSettings(faults=[WorkerFault.LOST]))
            box = world.boxes[0]
            await until(lambda: box.instances.of("loans"))
            assert (await call(box, "/lend/", "lost", method="POST", body=b"x")).status == 502
            assert not logged(caplog, "target-ended")
            first.settings.ends_under = lambda path: path.endswith("worst")
            answer = await call(box, "/lend/worst", "last", method="POST", body=b"x")
            assert answer.status == 502
            assert first.ended.is_set()

    with caplog.at_level("INFO"):
        run(test)
    (ended,) = logged(caplog, "target-ended")
    (route,) = [r for r in logged(caplog, "route") if r["request"] == "last"]
    assert ended["request"] == "last"
    assert (ended["content"], ended["origin"]) == (route["content"], route["origin"])
    assert route["caller"] == "127.0.0.1"


@pytest.mark.parametrize("fault", [WorkerFault.SURPLUS, WorkerFault.LATE_SURPLUS])
def test_surplus_answers_belong_to_nobody(fault):
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


def test_an_answer_without_length_is_whole_once_its_connection_ends():
    async def test():
        async with stream_world() as world:
            world.workers[0].settings.faults = [WorkerFault.UNFRAMED]
            answer = await call(world.boxes[0], "/lend/", "u", method="POST", body=b"x")
            assert answer.status == 200
            assert answer.body.endswith(b"ran u")

    run(test)


def test_a_refusal_of_the_target_goes_to_another_one_even_for_what_may_run_once():
    async def test():
        async with stream_world() as world:
            await world.add_worker(WorkerSettings(slots=1, queue=0))
            box = world.boxes[0]
            await until(lambda: len(box.instances.of("loans")) == 2)
            full = world.workers[1]
            full.hold = asyncio.Event()
            full.settings.queue = -1  # refuses whatever it says of its load
            for number in range(8):
                answer = await call(box, "/lend/", f"l{number}", method="POST", body=b"x")
                assert answer.status == 200
            assert full.ran == []
            assert len(set(world.ran)) == len(world.ran) == 8

    run(test)


def test_a_target_whose_address_another_has_taken_over_gets_nothing():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            assert (await call(box, "/lend/", "a", method="POST", body=b"x")).status == 200
            world.workers[0].replace()
            answer = await call(box, "/lend/", "b", method="POST", body=b"x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert world.ran == ["a"]

    run(test)


def test_a_caller_that_leaves_ends_the_target_s_work():
    async def test():
        async with stream_world() as world:
            worker = world.workers[0]
            worker.hold = asyncio.Event()
            _, writer = await connect(world.boxes[0])
            writer.write(head("/read/", "gone"))
            await until(lambda: world.ran == ["gone"])
            writer.close()
            await until(lambda: worker.dropped == 1)
            assert world.boxes[0].forwarder.in_flight == 0

    run(test)


def test_a_request_past_its_time_is_answered_504_and_dropped_at_the_target():
    async def test():
        async with stream_world() as world:
            worker = world.workers[0]
            worker.hold = asyncio.Event()
            answer = await call(world.boxes[0], "/read/", "late", deadline_ms=150)
            assert answer.status == 504
            await until(lambda: worker.dropped == 1)

    run(test)


def test_full_targets_lead_to_a_quick_refusal_that_tells_when_to_come_back():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker(WorkerSettings(slots=1, queue=1, hangs_when_full=True))
            box = world.boxes[0]
            await until(lambda: box.instances.of("loans"))
            worker.hold = asyncio.Event()
            held = [asyncio.create_task(call(box, "/read/", "held"))]
            await until(lambda: len(worker.arrivals) == 1)
            # Its queue has room, but nothing is sent to wait at a target.
            answer = await call(box, "/read/", "more")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert len(worker.arrivals) == 1
            worker.hold.set()
            assert {a.status for a in await asyncio.gather(*held)} == {200}

    run(test)


@pytest.mark.parametrize("fault", [WorkerFault.ERROR, WorkerFault.CUT])
def test_targets_that_fail_fast_do_not_make_work_seem_short(fault):
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker(WorkerSettings(work_s=0.05))
            box = world.boxes[0]
            await until(lambda: box.instances.of("loans"))
            assert (await call(box, "/lend/", "first", method="POST", body=b"x")).status == 200
            usual = box.times.usual("lend")
            worker.settings.work_s = 0.0
            worker.settings.faults = [fault] * 3
            for number in range(3):
                answer = await call(box, "/lend/", f"f{number}", method="POST", body=b"x")
                assert answer.status >= 500
            assert box.times.usual("lend") == usual >= 0.05

    run(test)


def test_nothing_is_sent_that_cannot_end_in_time():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker(WorkerSettings(work_s=0.05))
            box = world.boxes[0]
            await until(lambda: box.instances.of("loans"))
            for number in range(3):
                assert (
                    await call(box, "/lend/", f"r{number}", method="POST", body=b"x")
                ).status == 200
            worker.settings.slowness = 4000
            await asyncio.sleep(5 * FRESH_S)  # what the last answer told is outdated by then
            late = await call(box, "/lend/", "hopeless", method="POST", body=b"x", deadline_ms=900)
            assert late.status == 503
            assert "retry-after" in late.headers
            assert "hopeless" not in world.ran
            # With enough time, the same target is better than none.
            slow = await call(box, "/lend/", "patient", method="POST", body=b"x")
            assert slow.status == 200

    run(test)


def test_new_settings_and_leaving_targets_are_in_force_without_a_restart():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            other = await world.add_worker(service="other")
            world.store.put("op", "config", document(4, services=("other", "loans")))
            await until(lambda: box.routes.table.version == 4)
            await until(lambda: box.instances.of("other"))
            assert (await call(box, "/read/", "moved")).status == 200
            assert [r.request_id for r in other.ran] == ["moved"]
            world.store.put(
                "servers", other.instance, other.row("other", zone="hall-a", state="draining")
            )
            await until(lambda: not box.instances.of("other"))
            assert (await call(box, "/read/", "none")).status == 503
            # An older word than the one that said so does not bring it back.
            world.store.put("servers", other.instance, other.row("other", zone="hall-a"))
            world.store.put("servers", "i-new", other.row("loans", zone="hall-a", sequence=9))
            await until(lambda: box.instances.find("i-new"))
            assert not box.instances.of("other")

    run(test)


def test_a_document_that_does_not_parse_leaves_the_last_good_one_in_force(caplog):
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            world.store.put("op", "config", b'{"version":"r5","routes":"cut')
            bad = document(6)
            bad["routes"][0]["timeout"] = "soon"
            world.store.put("op", "config", bad)
            world.store.put("op", "config", document(7))
            await until(lambda: box.routes.table.version == 7)
            assert (await call(box, "/read/", "x")).status == 200

    with caplog.at_level("INFO"):
        run(test)
    details = [r.fields["detail"] for r in caplog.records if r.message == "settings-unreadable"]
    assert any("routes.0.timeout = 'soon'" in detail for detail in details)


def test_entries_of_other_writers_stop_nobody():
    async def test():
        async with stream_world(boxes=2, workers=2) as world:
            spoilt, sound = world.workers
            row = spoilt.row("loans", zone="hall-a")
            spoils = [b"\xff", b"[" * 200_000, {**row, "address": "nowhere"}, {**row, "born": "x"}]
            for number, bad in enumerate(spoils):
                world.store.put("servers", spoilt.instance, bad)
                world.store.put("servers", f"foreign-{number}", bad)
                world.store.put("servers", sound.instance, sound.row("loans", zone="hall-a"))
            for box in world.boxes:
                await until(
                    lambda box=box: [i.name for i in box.instances.all()] == [sound.instance]
                )
                assert (await call(box, "/read/x", "x")).status == 200
            world.store.put("servers", spoilt.instance, row)
            await until(lambda: all(b.instances.find(spoilt.instance) for b in world.boxes))

    run(test)


def test_requests_go_on_at_a_target_whose_entry_turns_bad():
    async def test():
        async with stream_world() as world:
            box, worker = world.boxes[0], world.workers[0]
            worker.hold = asyncio.Event()
            held = asyncio.create_task(call(box, "/lend/", "held", method="POST", body=b"x"))
            await until(lambda: world.ran == ["held"])
            world.store.put("servers", worker.instance, b"bad")
            await until(lambda: not box.instances.of("loans"))
            worker.hold.set()
            assert (await held).status == 200

    run(test)


def test_a_target_that_starts_again_under_its_name_is_used_again():
    async def test():
        async with stream_world(workers=0) as world:
            worker = await world.add_worker()
            box = world.boxes[0]
            row = worker.row("loans", zone="hall-a", sequence=9)
            world.store.put("servers", worker.instance, {**row, "born": 1000})
            await until(lambda: [i.listed.born for i in box.instances.of("loans")] == [1000])
            leaving = worker.row("loans", zone="hall-a", sequence=10, state="draining")
            world.store.put("servers", worker.instance, {**leaving, "born": 1000})
            await until(lambda: not box.instances.of("loans"))
            again = worker.row("loans", zone="hall-a", sequence=0)
            world.store.put("servers", worker.instance, {**again, "born": 2000})
            await until(lambda: [i.listed.born for i in box.instances.of("loans")] == [2000])
            assert (await call(box, "/read/x", "x")).status == 200

    run(test)


def test_few_boxes_read_the_store_and_the_others_learn_from_them():
    async def test():
        async with stream_world(boxes=3) as world:
            world.store.put("op", "config", document(2))
            await until(lambda: all(b.routes.table.version == 2 for b in world.boxes))
            readers = [box for box in world.boxes if box.mesh.is_reader()]
            assert len(readers) == 1

    run(test)


def test_a_box_that_the_store_turns_away_learns_from_its_peers():
    async def test():
        async with stream_world(boxes=2) as world:
            reader = next(box for box in world.boxes if box.mesh.is_reader())
            # Both boxes have one IP number here, so the first reader's calls are made to fail.
            failing = world.store.faults
            failing.fault = StoreFault.BUSY
            await until(lambda: not reader.mesh.reading)
            assert (await call(world.boxes[0], "/read/", "meanwhile")).status == 200
            failing.fault = StoreFault.NONE
            world.store.put("op", "config", document(3))
            await until(lambda: all(b.routes.table.version == 3 for b in world.boxes))

    run(test)


def test_forgotten_history_is_read_anew():
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            world.store.put("op", "config", document(2))
            world.store.remove("servers", world.workers[0].instance)
            world.store.forget_history()
            await until(lambda: box.routes.table.version == 2)
            await until(lambda: not box.instances.of("loans"))

    run(test)


def test_a_planned_stop_cuts_nothing_and_refuses_late_comers():
    async def test():
        async with stream_world(boxes=2) as world:
            leaving, other = world.boxes
            worker = world.workers[0]
            worker.hold = asyncio.Event()
            held = asyncio.create_task(call(leaving, "/lend/", "held", method="POST", body=b"x"))
            await until(lambda: world.ran == ["held"])
            kept_reader, kept_writer = await connect(leaving)
            leaving.ask_to_stop()
            await until(lambda: leaving.caller not in other.mesh.offered_addresses("hall-a"))
            assert not leaving.ready
            await until(lambda: leaving.refusing)
            kept_writer.write(head("/read/", "late"))
            late = await read_answer(kept_reader)
            assert (late.status, late.headers["connection"]) == (503, "close")
            assert "retry-after" in late.headers
            worker.hold.set()
            answer = await held
            assert answer.status == 200
            await world.tasks[0]
            assert world.ran == ["held"]

    run(test)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("POST", "/lend/", 504), ("GET", "/read/", 504)],
)
def test_a_target_that_says_nothing_leaves_no_caller_without_an_answer_at_a_stop(
    method, path, status
):
    """ikenga-gate-grown scale-2: LOST.

    A worker that never answers what it can't queue held an upload without a
    time-out; the box ended and cut it off without a word.
    """

    async def test():
        async with stream_world(boxes=0) as world:
            box = await world.add_box(grace=1.0)
            world.workers[0].hold = asyncio.Event()
            body = b"x" if method == "POST" else b""
            held = asyncio.create_task(call(box, path, "mute", method=method, body=body))
            await until(lambda: world.ran == ["mute"])
            box.ask_to_stop()
            assert (await held).status == status
            await world.tasks[0]

    run(test)


@pytest.mark.parametrize(("method", "path"), [("POST", "/lend/"), ("GET", "/read/")])
def test_a_target_that_leaves_while_it_is_being_reached_gets_nothing(monkeypatch, method, path):
    """ikenga-gate-grown trouble-1 --seed 531803079277: DRAIN.

    A request went to a worker that had said that it leaves while the
    connection to it was being opened.
    """

    async def test():
        async with stream_world(workers=2) as world:
            box = world.boxes[0]
            take = LinkPool.take
            slow = []

            async def take_slowly(pool, **more):
                link = await take(pool, **more)
                if not slow:
                    slow.append(pool.address)
                    leaving = next(i for i in box.instances.all() if i.address == pool.address)
                    box.instances.leave(leaving.name)
                return link

            monkeypatch.setattr(LinkPool, "take", take_slowly)
            # Nobody is asked first, so that the connection is taken for the request.
            box.probes.per_s = 0.0
            monkeypatch.setattr(type(box.probes), "has_left", lambda self, target: False)
            body = b"x" if method == "POST" else b""
            answer = await call(box, path, "r1", method=method, body=body)
            assert answer.status in (200, 503)
            reached = {
                worker.address: [run.request_id for run in worker.ran] for worker in world.workers
            }
            assert reached[slow[0]] == []

    run(test)


def test_the_log_tells_a_target_that_asks_for_rest_from_one_that_is_full(caplog):
    async def test():
        async with stream_world(workers=0) as world:
            caplog.set_level("INFO")
            world.store.put("op", "config", document(2, **{"max-attempts": 1}))
            await world.add_worker(WorkerSettings(turns_away=lambda: True, rest="2.5"))
            await until(lambda: world.boxes[0].instances.of("loans"))
            await until(lambda: world.boxes[0].routes.table.version == 2)
            await call(world.boxes[0], "/read/a", "one")
            (line,) = logged(caplog, "route")
            assert (line["tries"][0]["status"], line["tries"][0]["rest_s"]) == (503, 2.5)
            (asked,) = logged(caplog, "target-asks-rest")[:1]
            assert (asked["instance"], asked["rest_s"]) == (world.workers[0].instance, 2.5)
            assert "dunlinnotch_rests_asked_total 1\n" in world.boxes[0].figures.text()

    run(test)
