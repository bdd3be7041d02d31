"""Boxes that lose the path to targets, in one process with their peers and targets."""

from __future__ import annotations

import asyncio

import pytest

from dunlinnotch.coordination.requests import assist
from dunlinnotch.protocol.peer_forward import PEER_REQUEST
from dunlinnotch.standins.users.worker import WorkerFault
from tests.cut_paths import Cut, cut_paths
from tests.stream_world import (
    BOX_IP,
    HOST,
    call,
    connect,
    document,
    head,
    read_answer,
    save_retries,
    stream_world,
    until,
)

_BOXES, _WORKERS = 3, 4


def run(test):
    """Run an asynchronous test."""
    asyncio.run(test())


def with_cut_off_box(test, *, how=Cut.RESETS, boxes=_BOXES, workers=_WORKERS):
    """Run a test with a world, the cuts, and a box of it that knows that it is cut off."""

    async def start():
        async with stream_world(boxes=boxes, workers=workers) as world:
            box = world.boxes[0]
            await until(lambda: all(len(b.mesh.live()) == boxes - 1 for b in world.boxes))
            with cut_paths() as paths:
                await cut_off(paths, box, how)
                for worker in world.workers:
                    worker.runs.clear()
                await test(world, paths, box)

    run(start)


async def cut_off(paths, box, how=Cut.RESETS):
    """Cut a box off from all targets, and send requests until it knows."""
    paths.cut(box, how)
    number = 0
    while not box.reach.is_cut_off("loans"):
        number += 1
        await asyncio.gather(*(call(box, "/read/", f"w{number}-{n}") for n in range(4)))


def passed_on(box):
    """Return the numbers of requests that a box passed to peers and served for them."""
    return box.peer_path.forwarded, box.assistant.assisted


@pytest.mark.parametrize("how", list(Cut))
def test_callers_of_a_box_cut_off_from_all_targets_are_served(how):
    async def test():
        async with stream_world(boxes=_BOXES, workers=_WORKERS) as world:
            box = world.boxes[0]
            await until(lambda: len(box.mesh.live()) == _BOXES - 1)
            with cut_paths() as paths:
                paths.cut(box, how)
                # The first requests show the box that it is cut off.
                await asyncio.gather(*(call(box, "/read/", f"first-{n}") for n in range(4)))
                answers = [await call(box, "/read/a", f"read-{n}") for n in range(8)]
                answers += [
                    await call(box, "/lend/a", f"lend-{n}", method="POST", body=b"x")
                    for n in range(8)
                ]
                assert [answer.status for answer in answers] == [200] * 16
                assert all(world.ran.count(f"lend-{n}") == 1 for n in range(8))

    run(test)


def test_only_the_service_that_is_cut_off_takes_the_way_over_a_peer():
    async def test():
        async with stream_world(boxes=2, workers=0) as world:
            services = ("loans", "bulk")
            changed = document(2, services=services)
            changed["routes"][1]["service"] = "bulk"
            world.store.put("op", "config", changed)
            workers = {
                name: [await world.add_worker(service=name) for _ in "ab"] for name in services
            }
            box = world.boxes[0]
            await until(lambda: all(len(box.instances.for_service(s)) == 2 for s in services))
            with cut_paths() as paths:
                cut = frozenset(worker.address for worker in workers["loans"])
                paths.cut(box, Cut.RESETS, targets=cut)
                while not box.reach.is_cut_off("loans"):
                    await call(box, "/read/", "first")
                before = box.peer_path.forwarded
                for n in range(3):
                    assert (
                        await call(box, "/lend/a", f"l{n}", method="POST", body=b"x")
                    ).status == 200
                assert box.peer_path.forwarded == before
                assert (await call(box, "/read/a", "r")).status == 200
                assert box.peer_path.forwarded == before + 1

    run(test)


def test_request_and_answer_pass_a_peer_unaltered():
    async def test(world, paths, box):
        body = bytes(range(256)) * 3000  # larger than the buffer for retries
        own = f"{PEER_REQUEST}: the caller's own"
        answer = await call(box, "/load/x?a=b", "up", method="POST", body=body, extra=own)
        assert answer.status == 200
        assert answer.headers["response-seal"] == "seal-up"
        assert answer.headers["attempt-id"] == "up"
        assert not [name for name in answer.headers if name.startswith("dunlinnotch")]
        reader, writer = await connect(box)
        writer.write(head("/load/x", "ch", method="POST", extra="Transfer-Encoding: chunked"))
        writer.write(b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
        assert (await read_answer(reader)).status == 200
        writer.close()
        runs = {ran.request_id: ran for worker in world.workers for ran in worker.runs}
        assert (runs["up"].method, runs["up"].path, runs["up"].body) == (
            "POST",
            "/load/x?a=b",
            body,
        )
        assert runs["ch"].body == b"hello world"
        assert 0 < runs["up"].deadline_ms <= 5000
        assert passed_on(box)[0] >= 2

    with_cut_off_box(test)


def test_each_request_to_a_peer_opens_a_connection():
    """Guards against results that don't repeat the number of the send, so that none is reused."""

    async def test(world, paths, box):
        opened = box._peer_client.opened
        for number in range(12):
            assert (await call(box, "/read/a", f"one-by-one-{number}")).status == 200
        # Two peers: the first request to each may open a connection.
        assert box._peer_client.opened <= opened + 2

    with_cut_off_box(test)


@pytest.mark.parametrize(
    "fault",
    [WorkerFault.LOST, WorkerFault.CUT, WorkerFault.FILLED_LAST, WorkerFault.BARE_503],
)
def test_request_that_must_not_be_repeated_runs_once_over_a_peer(fault):
    async def test(world, paths, box):
        for worker in world.workers:
            worker.settings.faults = [fault] * 3
        answer = await call(box, "/lend/a", "once", method="POST", body=b"x")
        # No status that guarantees that the request did not run.
        assert answer.status == 502
        assert world.ran == ["once"]

    with_cut_off_box(test)


def test_request_refused_by_all_targets_over_a_peer_did_not_run():
    async def test(world, paths, box):
        for worker in world.workers:
            worker.settings.rejects_next = lambda: True
        answer = await call(box, "/lend/a", "no", method="POST", body=b"x")
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert world.ran == []

    with_cut_off_box(test)


def test_attempts_and_retries_are_counted_once_over_peers():
    async def test(world, paths, box):
        faults = [WorkerFault.LOST] * 12
        for worker in world.workers:
            worker.settings.faults = faults
        others = world.boxes[1:]
        spent = [other.forwarder.retries_spent for other in others]
        save_retries(box)
        before = box.forwarder.retries_spent
        assert (await call(box, "/read/a", "again")).status == 502
        assert world.ran == ["again"] * 3
        assert box.forwarder.retries_spent == before + 2
        assert [other.forwarder.retries_spent for other in others] == spent

    with_cut_off_box(test)


def test_retry_that_reaches_no_peer_is_spent_once():
    async def test(world, paths, box):
        faults = [WorkerFault.LOST]
        for worker in world.workers:
            worker.settings.faults = faults
        save_retries(box)
        before, forwarded = box.forwarder.retries_spent, box.peer_path.forwarded
        task = asyncio.create_task(call(box, "/read/a", "again"))
        await until(lambda: "again" in world.ran)
        for other in world.boxes[1:]:
            other.assistant._key = b"another key"
        assert (await task).status == 502
        assert box.peer_path.forwarded == forwarded + 3
        assert box.forwarder.retries_spent == before + 1

    with_cut_off_box(test)


def test_each_retry_over_peers_goes_to_another_target():
    async def test(world, paths, box):
        faults = [WorkerFault.LOST] * 2
        for worker in world.workers:
            worker.settings.faults = faults
        assert (await call(box, "/read/a", "again")).status == 200
        ran = [w.instance for w in world.workers for r in w.runs if r.request_id == "again"]
        assert len(ran) == len(set(ran)) == 3

    with_cut_off_box(test)


def test_request_goes_in_no_circle_when_all_boxes_are_cut_off():
    async def test(world, paths, box):
        for other in world.boxes[1:]:
            await cut_off(paths, other)
        await until(lambda: all(not b.mesh.forwarding_peers("loans") for b in world.boxes))
        before = [passed_on(b) for b in world.boxes]
        assert (await call(box, "/read/a", "none")).status == 503
        assert [passed_on(b) for b in world.boxes] == before

    with_cut_off_box(test)


def test_request_without_any_way_to_a_target_is_refused_as_not_run():
    async def test(world, paths, box):
        for other in world.boxes[1:]:
            await cut_off(paths, other, Cut.OPENS_AND_RESETS)
        await until(lambda: all(not b.mesh.forwarding_peers("loans") for b in world.boxes))
        answer = await call(box, "/lend/a", "none", method="POST", body=b"x")
        assert answer.status == 503
        assert "retry-after" in answer.headers

    with_cut_off_box(test, how=Cut.OPENS_AND_RESETS)


def test_box_that_is_cut_off_itself_refuses_requests_of_peers():
    async def test(world, paths, box):
        for other in world.boxes[1:]:
            other.gossip.announce_state = lambda: None
            await cut_off(paths, other)
        # The first box believes that its peers reach the targets until their next heartbeat.
        assisted = [b.assistant.assisted for b in world.boxes]
        assert (await call(box, "/read/a", "none")).status == 503
        assert [b.assistant.assisted for b in world.boxes] == assisted
        assert "none" not in world.ran

    with_cut_off_box(test)


def test_caller_that_leaves_is_followed_to_the_target_over_a_peer():
    async def test(world, paths, box):
        for worker in world.workers:
            worker.settings.work_s = 30.0
        reader, writer = await connect(box)
        writer.write(head("/read/a", "left"))
        await until(lambda: "left" in world.ran)
        writer.close()
        runs = [r for worker in world.workers for r in worker.runs]
        await until(lambda: all(r.ended_at for r in runs), within=5.0)
        await until(lambda: not any(b.forwarder.in_flight for b in world.boxes))

    with_cut_off_box(test)


def test_planned_stop_of_a_peer_cuts_off_no_request_that_it_serves():
    async def test(world, paths, box):
        for worker in world.workers:
            worker.settings.work_s = 0.5
        calls = [
            asyncio.create_task(call(box, "/lend/a", f"s{n}", method="POST", body=b"x"))
            for n in range(6)
        ]
        await until(lambda: len(world.ran) == 6)
        helpers = [b for b in world.boxes[1:] if b.forwarder.in_flight]
        assert helpers
        helpers[0].request_stop()
        assert [(await task).status for task in calls] == [200] * 6
        # The stopping box gets no further ones.
        await until(
            lambda: all(p.name != helpers[0].mesh.name for p in box.mesh.forwarding_peers("loans"))
        )
        assisted = helpers[0].assistant.assisted
        assert [(await call(box, "/read/a", f"t{n}")).status for n in range(4)] == [200] * 4
        assert helpers[0].assistant.assisted == assisted

    with_cut_off_box(test)


def test_box_that_helps_serves_its_own_callers_beyond_the_limit_for_peers(monkeypatch):
    async def test(world, paths, box):
        monkeypatch.setattr(assist, "_MAX_ASSISTED", 2)
        for worker in world.workers:
            worker.settings.work_s = 0.5
        helper = world.boxes[1]
        calls = [asyncio.create_task(call(box, "/read/a", f"p{n}")) for n in range(5)]
        await until(lambda: len(world.ran) == 2)
        assert (await call(helper, "/read/a", "own")).status == 200
        answers = [await task for task in calls]
        assert [a.status for a in answers].count(200) >= 2
        # Requests beyond the limit were sent to no target, and are told so.
        refused = {f"p{n}" for n, a in enumerate(answers) if a.status == 503}
        assert not refused & set(world.ran)

    with_cut_off_box(test, boxes=2)


def test_request_waits_for_a_target_at_one_peer_only():
    async def wait_in_vain(service, *, queue_deadline, **_):
        await asyncio.sleep(queue_deadline - asyncio.get_running_loop().time())

    async def test(world, paths, box):
        for other in world.boxes[1:]:
            other.selector.choose = wait_in_vain
        before = box.peer_path.forwarded
        assert (await call(box, "/read/a", "late")).status == 503
        assert box.peer_path.forwarded == before + 1
        assert "late" not in world.ran

    with_cut_off_box(test)


@pytest.mark.parametrize("header", ["", f"{PEER_REQUEST}: x", f"{PEER_REQUEST}: lAE="])
def test_request_from_elsewhere_can_not_use_the_way_between_boxes(header):
    async def test():
        async with stream_world() as world:
            box = world.boxes[0]
            port = box.mesh.forwarding.port
            reader, writer = await asyncio.open_connection(BOX_IP, port)
            lines = ["GET /read/a HTTP/1.1", *([header] if header else [])]
            lines += [f"Host: {HOST}", "Attempt-Id: out", "Deadline-Ms: 5000"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            assert (await read_answer(reader)).status == 400
            writer.close()
            assert world.ran == []

    run(test)


def test_request_with_the_key_of_an_earlier_start_is_not_run():
    async def test(world, paths, box):
        for other in world.boxes[1:]:
            other.assistant._key = b"another key"
        assert (await call(box, "/lend/a", "old", method="POST", body=b"x")).status == 503
        assert world.ran == []

    with_cut_off_box(test)


def test_peer_header_of_a_caller_is_an_ordinary_header():
    async def test():
        async with stream_world() as world:
            extra = f"{PEER_REQUEST}: lAE="
            assert (await call(world.boxes[0], "/read/a", "plain", extra=extra)).status == 200
            assert world.boxes[0].assistant.assisted == 0

    run(test)


def test_box_that_is_cut_off_reports_no_crashes_of_its_targets():
    async def test():
        async with stream_world(boxes=2, workers=_WORKERS) as world:
            box = world.boxes[0]
            for worker in world.workers:
                worker.settings.work_s = 30.0
            tasks = [
                asyncio.create_task(call(box, f"/read/{n}", f"r{n}", deadline_ms=20_000))
                for n in range(4)
            ]
            await until(lambda: len(world.ran) == 4)
            for worker in world.workers:
                worker.settings.work_s = 0.0
            with cut_paths() as paths:
                paths.cut(box, Cut.RESETS)
                await asyncio.gather(*tasks)
                assert box._crash_guard.targets_crashed == 0
                assert not [b for b in world.boxes if b.crashes.quarantined]

    run(test)


def test_path_to_targets_without_a_health_check_is_checked_too():
    async def test(world, paths, box):
        box.selector._probe_path = lambda service: ""
        box.reach._unreached_at.clear()
        target = box.instances.for_service("loans")[0]
        await box.selector.probe_now(target)
        assert box.reach.is_unreached(target)
        paths.heal(box)
        before = box.probes.spent
        await box.selector.probe_now(target)
        assert box.probes.spent == before

    with_cut_off_box(test)


def test_box_serves_from_here_again_when_the_path_is_back():
    async def test(world, paths, box):
        assert box.mesh.forwarding.unreached == ("loans",)
        paths.heal(box)
        await until(lambda: not box.reach.is_cut_off("loans"))
        before = box.peer_path.forwarded
        # No target stays ejected for having been out of reach for long.
        answers = [await call(box, "/read/a", f"back-{n}") for n in range(4)]
        assert [a.status for a in answers] == [200] * 4
        assert box.peer_path.forwarded == before
        await until(lambda: not box.mesh.forwarding.unreached)

    with_cut_off_box(test)


def test_callers_are_told_of_boxes_that_reach_their_targets_first():
    async def test(world, paths, box):
        await until(
            lambda: all(box.caller not in b.mesh.offered_addresses("hall-a") for b in world.boxes)
        )
        await cut_off(paths, world.boxes[1])
        # The larger part is cut off: all are named, and help one another.
        await until(
            lambda: all(len(b.mesh.offered_addresses("hall-a")) == _BOXES for b in world.boxes)
        )

    with_cut_off_box(test)


def test_box_that_is_cut_off_stays_ready():
    async def test(world, paths, box):
        assert box.ready

    with_cut_off_box(test)


def test_peer_that_can_not_be_reached_is_passed_over():
    async def test(world, paths, box):
        await world.boxes[1]._peer_server.close()
        answers = [await call(box, "/lend/a", f"x{n}", method="POST", body=b"x") for n in range(4)]
        assert [a.status for a in answers] == [200] * 4
        assert all(world.ran.count(f"x{n}") == 1 for n in range(4))

    with_cut_off_box(test)


def test_request_is_not_reported_as_not_run_when_its_peer_dies():
    async def test(world, paths, box):
        for worker in world.workers:
            worker.settings.work_s = 30.0
        lend = asyncio.create_task(call(box, "/lend/a", "lost", method="POST", body=b"x"))
        await until(lambda: world.ran == ["lost"])
        for other in world.boxes[1:]:
            for link in list(other._peer_server.links):
                link.abort()
        assert (await lend).status == 502
        assert world.ran == ["lost"]

    with_cut_off_box(test)
