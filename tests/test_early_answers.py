"""Targets that answer before they have received the whole request."""

from __future__ import annotations

import asyncio

import pytest

from tests.scripted_target import scripted_target
from tests.stream_world import TIMEOUT_S, connect, head, read_answer, stream_world, until

#: More than a box buffers before it sends a request.
FIRST_BYTES = 400_000
REST_BYTES = 100_000


def without_length(received, status=200):
    lines = f"HTTP/1.1 {status} -\r\nAttempt-Id: {received.request_id}\r\nResponse-Seal: s\r\n\r\n"
    return lines.encode() + b"a part"


def upload(script, *, method="POST", path="/load/a", chunked=False):
    """Answer an upload before its rest is sent; return the status and body of its caller."""

    async def run():
        async with asyncio.timeout(TIMEOUT_S):
            async with stream_world(workers=0) as world, scripted_target(world) as target:
                target.answers_early = True
                reader, writer = await connect(world.boxes[0])
                length = None if chunked else FIRST_BYTES + REST_BYTES
                extra = "Transfer-Encoding: chunked" if chunked else ""
                writer.write(head(path, "a", method=method, length=length, extra=extra))

                def send(size):
                    body = b"x" * size
                    writer.write(b"%x\r\n%b\r\n" % (size, body) if chunked else body)

                send(FIRST_BYTES)
                received = await target.next_request()

                def send_rest():
                    send(REST_BYTES)
                    writer.write(b"0\r\n\r\n" if chunked else b"")

                await script(received, send_rest)
                answer = await read_answer(reader)
                writer.close()
                return answer.status, answer.body

    return asyncio.run(run())


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize(("method", "path"), [("POST", "/load/a"), ("PUT", "/read/a")])
def test_part_of_an_early_answer_without_a_length_is_told_as_whole(status, chunked, method, path):
    async def script(received, send_rest):
        # Bytes that the target has not read would reset the connection.
        await until(lambda: received.body_bytes == FIRST_BYTES)
        received.send(without_length(received, status))
        received.writer.close()

    assert upload(script, method=method, path=path, chunked=chunked) == (502, b"")


def test_early_answer_without_a_length_of_a_target_that_reads_on_is_whole():
    async def script(received, send_rest):
        received.send(without_length(received))
        send_rest()
        await received.body_read.wait()
        received.writer.close()

    assert upload(script) == (200, b"a part")


@pytest.mark.parametrize("connection", ["", "Connection: close\r\n"])
def test_early_answer_with_a_length_is_whole_though_its_target_closes(connection):
    async def script(received, send_rest):
        await until(lambda: received.body_bytes == FIRST_BYTES)
        answer = received.success(b"whole")
        received.send(answer.replace(b"Content-Length", connection.encode() + b"Content-Length"))
        received.writer.close()

    assert upload(script) == (200, b"whole")
