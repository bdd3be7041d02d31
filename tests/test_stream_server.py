"""HTTP server on the event loop: strict parsing, limits, callers that leave, shutdown."""

from __future__ import annotations

import asyncio

import pytest

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.transport.stream.link import MAX_BUFFERED_BODY_BYTES, BodyQueue
from dunlinnotch.transport.stream.server import ServerLimits, StreamServer
from tests.stream_world import read_answer, until


class RecordingServer:
    """A server that records what its handler received."""

    def __init__(self, **limits):
        self.requests = []
        self.bodies = []
        self.cancelled = 0
        self.hold = None
        self.limits = ServerLimits(**limits)

    async def __aenter__(self):
        self.http = StreamServer(self._serve, limits=self.limits)
        self.address = await self.http.listen("127.0.0.1:0")
        return self

    async def __aexit__(self, *_):
        await self.http.close()

    async def _serve(self, exchange):
        self.requests.append((exchange.method, exchange.path))
        try:
            if self.hold is not None:
                await self.hold.wait()
            self.bodies.append(b"".join([part async for part in exchange.body()]))
            exchange.reply(200, (), b"ok")
        except BodyCutError:
            exchange.reply(exchange.error_status or 400, (), b"")
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def connect(self):
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))


def run(test):
    """Run an asynchronous test with a time limit."""

    async def bounded():
        async with asyncio.timeout(20):
            await test()

    asyncio.run(bounded())


BAD_HEADS = {
    "two lengths": b"POST / HTTP/1.1\r\nHost: a\r\n"
    b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    "length with chunks": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nab",
    "unknown coding": b"POST / HTTP/1.1\r\nHost: a\r\n"
    b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "bare CR": b"GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n",
    "bare LF": b"GET / HTTP/1.1\nHost: a\n\n",
    "folded": b"GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n",
    "blank before colon": b"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
    "two hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "signed length": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nab",
    "no HTTP": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
}


@pytest.mark.parametrize("name", BAD_HEADS)
def test_ambiguous_head_is_rejected(name):
    """Guards against request smuggling: heads that two parsers may read differently."""

    async def test():
        async with RecordingServer() as server:
            reader, writer = await server.connect()
            writer.write(BAD_HEADS[name])
            answer = await read_answer(reader)
            assert (answer.status, answer.headers["connection"]) == (400, "close")
            assert await reader.read() == b""
            assert server.requests == []
            writer.close()

    run(test)


@pytest.mark.parametrize(
    "chunk", [b"+5\r\nhello\r\n", b"-1\r\n", b"0x5\r\nhello\r\n", b"5\r\nhelloX\r\n"]
)
def test_invalid_chunk_is_rejected(chunk):
    """Guards against a handler that receives a body with invalid framing as complete."""

    async def test():
        async with RecordingServer() as server:
            reader, writer = await server.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk
            )
            assert (await read_answer(reader)).status == 400
            assert await reader.read() == b""
            assert server.bodies == []
            writer.close()

    run(test)


def test_pipelined_requests_are_answered_in_order():
    async def test():
        async with RecordingServer() as server:
            reader, writer = await server.connect()
            for number in range(3):
                writer.write(b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx" % number)
            assert [(await read_answer(reader)).status for _ in range(3)] == [200] * 3
            assert [path for _, path in server.requests] == ["/0", "/1", "/2"]
            writer.close()

    run(test)


@pytest.mark.parametrize(
    ("limits", "sent", "status"),
    [
        ({"max_head_bytes": 200}, b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 400, 431),
        ({"max_body_bytes": 3}, b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n", 413),
        (
            {"max_body_bytes": 3},
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
            413,
        ),
        ({"head_timeout_s": 0.05}, b"GET / HTTP/1.1\r\nHo", 408),
    ],
)
def test_request_beyond_a_limit_is_rejected(limits, sent, status):
    async def test():
        async with RecordingServer(**limits) as server:
            reader, writer = await server.connect()
            writer.write(sent)
            assert (await read_answer(reader)).status == status
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_idle_connection_is_closed_without_an_answer():
    async def test():
        async with RecordingServer(idle_timeout_s=0.05) as server:
            reader, writer = await server.connect()
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_handler_is_cancelled_when_the_caller_closes_the_connection():
    async def test():
        async with RecordingServer() as server:
            server.hold = asyncio.Event()
            _, writer = await server.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await until(lambda: server.requests)
            writer.close()
            await until(lambda: server.cancelled == 1)

    run(test)


def test_long_body_is_not_received_faster_than_it_is_read():
    """Guards against unbounded memory for a body that the handler does not read."""

    async def test():
        async with RecordingServer() as server:
            server.hold = asyncio.Event()
            reader, writer = await server.connect()
            size = 32 * 1024 * 1024
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % size)
            writer.write(b"x" * size)
            await until(lambda: server.requests)
            await asyncio.sleep(0.05)
            # Most of the body is still buffered by the sender, as the server has stopped reading.
            assert writer.transport.get_write_buffer_size() > size // 2
            server.hold.set()
            assert (await read_answer(reader)).status == 200
            assert len(server.bodies[0]) == size
            writer.close()

    run(test)


def test_closing_server_closes_idle_connections_and_finishes_answers():
    async def test():
        async with RecordingServer() as server:
            server.hold = asyncio.Event()
            idle_reader, idle_writer = await server.connect()
            reader, writer = await server.connect()
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await until(lambda: server.requests)
            server.http.stop_listening()
            server.http.close_idle()
            assert await idle_reader.read() == b""
            server.hold.set()
            answer = await read_answer(reader)
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await reader.read() == b""
            for open_writer in (writer, idle_writer):
                open_writer.close()

    run(test)


def test_expect_100_continue_is_answered():
    async def test():
        async with RecordingServer() as server:
            reader, writer = await server.connect()
            writer.write(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"
            )
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"ab")
            assert (await read_answer(reader)).status == 200
            assert server.bodies == [b"ab"]
            writer.close()

    run(test)


class ManualLink:
    """A link that records whether reading is paused."""

    paused = False

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


def test_body_that_the_handler_does_not_read_leaves_the_connection_readable():
    link = ManualLink()
    body = BodyQueue(link)
    body.put(bytes(MAX_BUFFERED_BODY_BYTES + 1))
    body.end()
    assert link.paused
    body.drop()
    assert not link.paused


def test_no_100_continue_is_sent_after_the_final_answer():
    async def refuse(exchange):
        exchange.reply(403, (), b"no")

    async def test():
        server = StreamServer(refuse)
        host, _, port = (await server.listen("127.0.0.1:0")).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
        writer.write(head + b"Expect: 100-continue\r\n\r\n")
        assert (await read_answer(reader)).status == 403
        writer.write(b"abc" + head + b"\r\nabc")
        assert (await read_answer(reader)).status == 403
        writer.close()
        await server.close()

    run(test)
