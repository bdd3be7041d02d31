"""Answers whose end nothing marks, with a second answer before the close."""

from __future__ import annotations

import asyncio

import pytest

from dunlinnotch.platform.dialect import WorkerDialect
from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.transport.embedded_answers import EmbeddedAnswerError, EmbeddedAnswerFinder
from dunlinnotch.transport.stream.common import find_header
from dunlinnotch.transport.stream.target_link import TargetLink

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n"
BODY = b"GET /a HTTP/1.1\r\nAttempt-Id: id-1\r\n\r\nHTTP/1.1 is a protocol; 200 OK"


def receive(data, *, step):
    """Return the body that a connection on which ``id-1`` was sent receives until its end."""

    async def read():
        link = TargetLink("127.0.0.1:1", named_send=WorkerDialect().named_send)
        link.begin_send("id-1")
        for start in range(0, len(data), step):
            link.data_received(data[start : start + step])
        link.eof_received()
        incoming = await link.next_answer()
        return b"".join([part async for part in incoming.parts()])

    return asyncio.run(read())


@pytest.mark.parametrize("step", [1, 7, 50, 10_000])
def test_second_answer_before_the_close_becomes_part_of_the_body(step):
    with pytest.raises(BodyCutError, match="an answer that names"):
        receive(HEAD + BODY + HEAD + BODY, step=step)


@pytest.mark.parametrize("step", [1, 7, 50, 10_000])
def test_body_that_quotes_its_request_is_taken_for_a_second_answer(step):
    assert receive(HEAD + BODY, step=step) == BODY


def test_second_answer_far_into_a_long_body_is_found():
    def names_send(head):
        return find_header(head.headers, "attempt-id") == "id-1"

    finder = EmbeddedAnswerFinder(names_send, is_framed=False)
    for _ in range(1000):
        finder.check(b"HTTP/1.1 200 OK " + b"x" * 500)
        assert len(finder._tail) + len(finder._head or b"") < 64 * 1024
    with pytest.raises(EmbeddedAnswerError):
        finder.check(HEAD)
