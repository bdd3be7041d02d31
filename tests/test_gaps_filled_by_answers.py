"""Answers that are cut short, and whose missing bytes are those of another answer."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.scripted_target import Received, scripted_target
from tests.stream_world import TIMEOUT_S, call, connect, head, read_answer, stream_world, until

CLOSE = b"Connection: close\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def answer(received, *, body=b"b" * 400, extra=b"", request_id=None):
    """Return a complete success with a length; its id is that of the request unless given."""
    request_id = received.request_id if request_id is None else request_id
    first = f"HTTP/1.1 200 -\r\nAttempt-Id: {request_id}\r\nResponse-Seal: s\r\n".encode()
    return first + extra + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


async def answer_of(box, path="/lend/a", request_id="a"):
    """Return the status and body that a caller gets; None for an answer that was cut."""
    try:
        received = await call(box, path, request_id, method="POST", body=b"x")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return received.status, received.body


async def write(received, *parts):
    """Write each part, and let the box read it before the next."""
    for part in parts:
        received.send(part)
        with contextlib.suppress(ConnectionError):
            await received.writer.drain()
        await asyncio.sleep(0.01)


def play(script, *, calls=1, closes_at_end=True):
    """Let ``script`` answer requests that must not run twice; return what their callers get."""

    async def run():
        results = []
        async with asyncio.timeout(TIMEOUT_S):
            async with stream_world(workers=0) as world, scripted_target(world) as target:
                target.closes_at_end = closes_at_end
                for number in range(calls):
                    caller = asyncio.create_task(
                        answer_of(world.boxes[0], request_id=f"r-{number}")
                    )
                    await script(await target.next_request())
                    results.append(await caller)
        return results

    return asyncio.run(run())


@pytest.mark.parametrize("extra", [CLOSE, b"Keep-Alive: timeout=5\r\n", b""])
@pytest.mark.parametrize("missing", [1, 2, 12, 200, 399])
def test_cut_answer_is_filled_by_the_next_in_the_same_write(extra, missing):
    async def script(received):
        whole = answer(received, extra=extra)
        received.send(whole[:-missing] + whole)
        if extra == CLOSE:
            received.writer.close()

    assert play(script) == [(502, b"")]


@pytest.mark.parametrize("extra", [CLOSE, b""])
@pytest.mark.parametrize("missing", [2, 12, 40, 200])
def test_cut_answer_is_filled_by_the_next_whose_rest_is_written_later(extra, missing):
    async def script(received):
        whole = answer(received, extra=extra)
        await write(received, whole[:-missing], whole[:missing], whole[missing:])
        received.writer.close()

    assert play(script, closes_at_end=False) == [(502, b"")]


@pytest.mark.parametrize("extra", [CLOSE, b""])
def test_gap_has_the_length_of_the_answer_that_fills_it(extra):
    async def script(received):
        copy = answer(received, body=b"c" * 20, extra=extra)
        whole = answer(received, extra=extra)
        received.send(whole[: -len(copy)] + copy)
        received.writer.close()

    assert play(script) == [(502, b"")]


@pytest.mark.parametrize("extra", [CLOSE, b""])
def test_gap_in_a_chunk_ends_where_a_line_of_the_next_answer_does(extra):
    async def script(received):
        lines = answer(received, body=b"").partition(b"Content-Length")[0] + CHUNKED + extra
        chunk = b"%x\r\n" % (10 + len(lines)) + b"b" * 10
        second = lines + b"\r\n" + b"5\r\nhello\r\n0\r\n\r\n"
        received.send(lines + b"\r\n" + chunk + second)
        received.writer.close()

    assert play(script) == [(502, b"")]


def test_large_cut_answer_that_was_filled_has_reached_its_caller():
    async def script(received):
        whole = answer(received, body=b"b" * 100_000)
        received.send(whole[:-200] + whole)

    assert play(script) in ([None], [(502, b"")])


@pytest.mark.parametrize("later", [False, True])
def test_repeatable_request_is_answered_by_another_target_than_the_one_that_fills(later):
    async def run():
        async with stream_world(workers=1) as world, scripted_target(world) as target:
            target.closes_at_end = False
            numbers = iter(range(1000))
            while not target.received.qsize():
                assert (await call(world.boxes[0], "/read/a", f"r{next(numbers)}")).status == 200
                caller = asyncio.create_task(call(world.boxes[0], "/read/a", f"r{next(numbers)}"))
                await until(lambda c=caller: c.done() or target.received.qsize())
            received = await target.next_request()
            whole = answer(received)
            await write(received, *([whole[:-50], whole[:50]] if later else [whole[:-50] + whole]))
            received.writer.close()
            ran = await caller
            assert ran.status == 200
            assert b"HTTP/" not in ran.body

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [b"see HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhello", b"ends within HTTP/1.1 20", b"ends with HT"],
)
@pytest.mark.parametrize("extra", [CLOSE, b""])
def test_body_that_is_about_http_is_passed_on_and_its_connection_closed(body, extra):
    async def script(received):
        received.send(answer(received, body=body, extra=extra))
        if extra == CLOSE:
            received.writer.close()

    assert play(script, calls=2) == [(200, body)] * 2


@pytest.mark.parametrize("body", [b"hello", b"see HTTP/1.1 200 OK", b"ends with HT"])
@pytest.mark.parametrize("extra", [CLOSE, b""])
def test_second_whole_answer_does_not_harm_the_first(body, extra):
    async def script(received):
        whole = answer(received, body=body, extra=extra)
        received.send(whole + whole)

    assert play(script, calls=2) == [(200, body)] * 2


def test_body_about_http_ends_an_upload_that_its_target_still_reads():
    async def run():
        async with asyncio.timeout(TIMEOUT_S):
            async with stream_world(workers=0) as world, scripted_target(world) as target:
                target.answers_early = True
                reader, writer = await connect(world.boxes[0])
                writer.write(head("/load/a", "a", method="POST", length=600_000) + b"x" * 400_000)
                received = await target.next_request()
                received.send(answer(received, body=b"ends with HT"))
                writer.write(b"x" * 200_000)
                assert (await read_answer(reader)).body == b"ends with HT"
                assert received.body_read.is_set()
                writer.close()

    asyncio.run(run())


@pytest.mark.parametrize("status", [b"200 -", b"503 -"])
@pytest.mark.parametrize("ends_at", [None, -1, -3, 30])
def test_copy_of_a_probes_answer_ends_a_body_without_a_length(status, ends_at):
    async def script(received):
        probe = Received("", "/health", 0, received.writer).health()
        probe = probe.replace(b"200 -", status)[:ends_at]
        received.send(answer(received).replace(b"Content-Length", b"X") + probe)
        received.writer.close()

    assert play(script) == [(502, b"")]


@pytest.mark.parametrize("extra", [CLOSE, b""])
def test_copy_of_a_probes_answer_fills_a_gap_exactly(extra):
    async def script(received):
        probe = Received("", "/health", 0, received.writer).health()
        received.send(answer(received, extra=extra)[: -len(probe)] + probe)
        received.writer.close()

    assert play(script) == [(502, b"")]
