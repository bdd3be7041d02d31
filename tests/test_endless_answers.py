"""Targets that send bytes without end that are no answer, or no answer that anyone wants."""

from __future__ import annotations

import asyncio
import contextlib
import itertools

import pytest

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.platform.dialect import WorkerDialect
from dunlinnotch.standins.users.worker import WorkerStandin
from dunlinnotch.transport.embedded_answers import EmbeddedAnswerFinder
from dunlinnotch.transport.stream import fetch, link
from dunlinnotch.transport.stream.client import TargetClient
from dunlinnotch.transport.stream.fetch import Fetcher
from dunlinnotch.transport.stream.target_link import IncomingAnswer, TargetLink
from tests.stream_world import TIMEOUT_S, call, connect, head, stream_world, until

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
#: Beginnings of what a target sends, and what it then repeats without end.
ENDLESS = {
    "whole-answers": (b"", b"HTTP/1.1 204 No Content\r\nAttempt-Id: other\r\n\r\n"),
    "header-value": (b"HTTP/1.1 200 OK\r\nX: ", b"x"),
    "header-name": (b"HTTP/1.1 200 OK\r\n", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X: 1\r\n"),
    "reason-phrase": (b"HTTP/1.1 200 ", b"x"),
    "interim-answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
}
#: The same for what follows the head of an answer.
ENDLESS_AFTER_HEAD = {
    "chunk-extension": (b"5;x=", b"x"),
    "trailer-value": (b"5\r\nhello\r\n0\r\nX: ", b"x"),
    "trailers": (b"5\r\nhello\r\n0\r\n", b"X: 1\r\n"),
}
IN_MEMORY = ENDLESS | {
    name: (CHUNKED + b"\r\n" + begin, repeated)
    for name, (begin, repeated) in ENDLESS_AFTER_HEAD.items()
}
#: More than a target may send that is no body.
MAX_SENT_BYTES = 512 * 1024
#: More than is read from one connection at once.
MAX_TURN_BYTES = 64 * 1024
MAX_HELD_BYTES = 256 * 1024


def held_bytes(target_link: TargetLink) -> int:
    """Return the size of all that a connection holds of the answers received on it."""
    held = [*target_link._answers, target_link._parsing]
    return sum(
        len(answer.phrase)
        + answer._body._buffered_bytes
        + sum(len(header.name) + len(header.value) for header in answer.headers)
        for answer in held
    )


@pytest.mark.parametrize("read_bytes", [1000, 64 * 1024, 256 * 1024])
@pytest.mark.parametrize("kind", IN_MEMORY)
def test_bytes_without_end_are_not_held_and_close_the_connection(kind, read_bytes):
    async def test():
        begin, repeated = IN_MEMORY[kind]
        target_link = TargetLink("target:1")
        target_link.data_received(begin)
        data = repeated * (read_bytes // len(repeated))
        sent = 0
        while not target_link.closed and sent < MAX_SENT_BYTES:
            target_link.data_received(data)
            sent += len(data)
        assert target_link.closed
        assert len(target_link._answers) < 10
        assert held_bytes(target_link) < MAX_HELD_BYTES

    asyncio.run(test())


@pytest.mark.parametrize("chunk_bytes", [1, 3, 5000, 200_000])
def test_long_body_in_chunks_of_any_size_is_received_completely(chunk_bytes):
    async def test():
        target_link = TargetLink("target:1")
        count = max(20, 400_000 // chunk_bytes)
        chunk = b"%x;x=y\r\n%b\r\n" % (chunk_bytes, b"b" * chunk_bytes)
        data = CHUNKED + b"\r\n" + chunk * count + b"0\r\nX: 1\r\n\r\n"
        for start in range(0, len(data), 256 * 1024):
            target_link.data_received(data[start : start + 256 * 1024])
        incoming = await target_link.next_answer()
        body = b"".join([part async for part in incoming.parts()])
        assert body == b"b" * (chunk_bytes * count)
        assert not target_link.closed

    asyncio.run(test())


def test_chunks_of_one_byte_are_each_passed_on_alone():
    async def test():
        target_link = TargetLink("target:1")
        target_link.data_received(CHUNKED + b"\r\n" + b"1\r\nx\r\n" * 10_000)
        incoming = await target_link.next_answer()
        async for part in incoming.parts():
            assert part == b"x" * 10_000
            break

    asyncio.run(test())


def test_one_connection_is_read_without_a_turn_for_the_others():
    async def test():
        assert len(TargetLink("target:1").get_buffer(-1)) <= MAX_TURN_BYTES

    asyncio.run(test())


def test_each_head_in_a_body_is_searched_for_up_to_its_end():
    heads = []
    finder = EmbeddedAnswerFinder(heads.append, is_framed=True)
    for _ in range(100):
        finder.check(b"HTTP/1.1 500\r\n\r\n" * 1000)
        finder.check(b"HTTP/1.1 500 -\r\n" + b"A: 1\r\n" * 10_000)
    assert len(heads) < 100
    assert sum(len(head.headers) for head in heads) < 100_000


class EndlessTarget:
    """A target whose answers to requests begin as given and then never end.

    Attributes
    ----------
    served, closed : int
        Number of requests received, and of those whose connection the box has closed.
    """

    def __init__(self, begin: bytes, repeated: bytes, *, probes_too: bool = False) -> None:
        self._begin = begin
        self._data = repeated * (16 * 1024 // len(repeated))
        self._probes_too = probes_too
        self.worker = WorkerStandin()
        self.served = 0
        self.closed = 0
        self.address = ""
        self._tasks: dict[asyncio.Task, asyncio.StreamWriter] = {}

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        self._server.close()
        for writer in self._tasks.values():
            writer.transport.abort()
        await asyncio.gather(*self._tasks)

    async def _serve(self, reader, writer) -> None:
        self._tasks[asyncio.current_task()] = writer
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                if b"Attempt-Id: " not in request and not self._probes_too:
                    instance = self.worker.instance.encode()
                    answer = b"HTTP/1.1 200 OK\r\nInstance-Id: %b\r\nContent-Length: 0\r\n\r\n"
                    writer.write(answer % instance)
                    continue
                self.served += 1
                request_id = request.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
                writer.write(self._begin.replace(b"<id>", request_id))
                with contextlib.suppress(OSError):
                    while not writer.is_closing():
                        writer.write(self._data)
                        await writer.drain()
                self.closed += 1
                break
        writer.close()


@contextlib.asynccontextmanager
async def world_with(target: EndlessTarget, *, good_workers: int):
    async with stream_world(workers=good_workers) as world:
        await target.start()
        row = target.worker.row("loans", zone="hall-a", address=target.address)
        world.store.put("servers", target.worker.instance, row)
        box = world.boxes[0]
        await until(lambda: len(box.instances.for_service("loans")) == good_workers + 1)
        try:
            yield world
        finally:
            await target.close()


OK_CHUNKED = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nResponse-Seal: s\r\n" + CHUNKED[17:] + b"\r\n"
OK_UNFRAMED = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nResponse-Seal: s\r\n\r\n"
REFUSAL = b"HTTP/1.1 503 No\r\nAttempt-Id: <id>\r\nNot-Executed: 1\r\n"
UNRELATED = b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
THROUGH_A_BOX = {
    **ENDLESS,
    "chunk-extension": (OK_CHUNKED + b"5;x=", b"x"),
    "trailers": (OK_CHUNKED + b"5\r\nhello\r\n0\r\n", b"X: 1\r\n"),
    "refusal": (REFUSAL + CHUNKED[17:] + b"\r\n", b"1\r\nx\r\n"),
    "refusal-without-length": (REFUSAL + b"\r\n", b"x"),
    "unrelated": (UNRELATED + CHUNKED[17:] + b"\r\n", b"5\r\nhello\r\n"),
    "unrelated-without-length": (UNRELATED + b"\r\n", b"x"),
    "heads-in-a-body": (OK_UNFRAMED, b"HTTP/1.1 500\r\n\r\n"),
    "heads-with-headers-in-a-body": (OK_UNFRAMED, b"HTTP/1.1 500 -\r\nA: 1\r\n\r\n"),
    "heads-of-probes-in-a-body": (OK_UNFRAMED, b"HTTP/1.1 200 -\r\nInstance-Id: i\r\n\r\n"),
}


@pytest.mark.parametrize("kind", THROUGH_A_BOX)
def test_request_that_must_not_run_twice_is_answered_502_before_its_time_is_up(kind):
    async def test():
        target = EndlessTarget(*THROUGH_A_BOX[kind])
        async with world_with(target, good_workers=0) as world:
            answer = await call(world.boxes[0], "/lend/a", "a", method="POST", body=b"x")
            assert answer.status == 502
            await until(lambda: target.closed == target.served)
            assert target.served == 1

    asyncio.run(test())


@pytest.mark.parametrize("kind", THROUGH_A_BOX)
def test_repeatable_requests_are_served_by_another_target(kind):
    async def test():
        target = EndlessTarget(*THROUGH_A_BOX[kind])
        async with world_with(target, good_workers=1) as world:
            numbers = itertools.count()
            while not target.served:
                calls = [call(world.boxes[0], "/read/a", f"r-{next(numbers)}") for _ in range(3)]
                assert [answer.status for answer in await asyncio.gather(*calls)] == [200] * 3
            await until(lambda: target.closed == target.served)

    asyncio.run(test())


def test_other_requests_are_unharmed_while_an_answer_without_end_is_not_read():
    async def test():
        target = EndlessTarget(OK_CHUNKED, b"5\r\nhello\r\n")
        async with world_with(target, good_workers=1) as world:
            box = world.boxes[0]
            waiting = []
            numbers = itertools.count()
            while not target.served:
                reader, writer = await connect(box)
                writer.write(head("/read/a", f"e-{next(numbers)}"))
                await reader.readuntil(b"\r\n\r\n")
                waiting.append(writer)
            good = 0
            for number in range(30):
                async with asyncio.timeout(TIMEOUT_S):
                    reader, writer = await connect(box)
                    writer.write(head("/read/b", f"b-{number}"))
                    first = await reader.readuntil(b"\r\n\r\n")
                    assert b" 200 " in first
                    good += b"chunked" not in first
                    waiting.append(writer)
            assert good
            for writer in waiting:
                writer.close()
            await until(lambda: target.closed == target.served)

    asyncio.run(test())


@pytest.mark.parametrize("repeated", [b"x", b"HTTP/1.1 500\r\n\r\n", b"HTTP/1.1 500 -\r\nA: 1\r\n"])
def test_answer_without_end_to_a_probe_is_cut(repeated):
    async def test():
        begin = b"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\n\r\n"
        target = EndlessTarget(begin, repeated, probes_too=True)
        await target.start()
        client = TargetClient(WorkerDialect())
        async with asyncio.timeout(TIMEOUT_S):
            result = await client.probe(target.address, "/health")
            assert not result.healthy
            await until(lambda: target.closed == 1)
        assert not client.pool(target.address).open_links
        await target.close()

    asyncio.run(test())


def test_answer_without_end_of_the_store_is_cut(monkeypatch):
    monkeypatch.setattr(fetch, "MAX_BODY_BYTES", 100_000, raising=False)

    async def test():
        target = EndlessTarget(CHUNKED + b"\r\n", b"5\r\nhello\r\n", probes_too=True)
        await target.start()
        async with asyncio.timeout(TIMEOUT_S):
            with pytest.raises(PlatformUnavailableError, match="exceeds 100000 bytes"):
                await Fetcher(target.address).fetch("GET", "/x", timeout=2.0)
            await until(lambda: target.closed == 1)
        await target.close()

    asyncio.run(test())


def test_unread_body_without_end_pauses_the_connection():
    async def test():
        target = EndlessTarget(b"HTTP/1.1 200 OK\r\n\r\n", b"x", probes_too=True)
        await target.start()
        host, _, port = target.address.rpartition(":")
        _, target_link = await asyncio.get_running_loop().create_connection(
            lambda: TargetLink(target.address), host, int(port)
        )
        target_link.write(head("/a", "a"))
        incoming: IncomingAnswer = await target_link.next_answer()
        await until(lambda: target_link._paused)
        # One read after the limit is reached.
        assert incoming._body._buffered_bytes <= link.MAX_BUFFERED_BODY_BYTES + 256 * 1024
        target_link.abort()
        await until(lambda: target.closed == 1)
        await target.close()

    asyncio.run(test())
