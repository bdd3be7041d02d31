"""The HTTP server: ambiguous or malformed requests are refused, framing is verified."""

import socket

import pytest

from dunlinnotch.protocol.http import OUTCOME, REASON
from dunlinnotch.protocol.outcome import CallResult, Outcome
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.server import MAX_HEAD_BYTES, HeadRefusal, HttpServer


def refuse_head(reason, detail):
    result = CallResult(Outcome.NOT_RUN, 400, reason, detail)
    return HeadRefusal(400, [Header(OUTCOME, result.outcome), Header(REASON, reason)], b"")


@pytest.fixture
def server():
    bodies = []

    def handler(exchange):
        bodies.append(b"".join(exchange.body()))
        exchange.reply(200, [], b"%d" % len(bodies))

    server = HttpServer(("127.0.0.1", 0), handler, refuse_head, head_timeout_s=1.0)
    server.bodies = bodies
    server.start_in_background()
    yield server
    server.close()


def exchange_bytes(server, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", server.port), 5.0) as sock:
        sock.sendall(data)
        answer = b""
        while received := sock.recv(65536):
            answer += received
        return answer


HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", b"head-invalid"),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", b"head-invalid"),
        (
            HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"head-invalid",
        ),
        (HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", b"head-invalid"),
        (HEAD + b"Content-Length: +3\r\n\r\nabc", b"head-invalid"),
        (HEAD + b"X-Odd: a\rb\r\n\r\n", b"head-invalid"),
        (HEAD + b"X-Odd: a\nContent-Length: 3\r\n\r\nabc", b"head-invalid"),
        (HEAD + b"X Odd: a\r\n\r\n", b"head-invalid"),
        (HEAD + b" folded: a\r\n\r\n", b"head-invalid"),
        (HEAD + b"X-Big: " + b"a" * MAX_HEAD_BYTES + b"\r\n\r\n", b"head-too-large"),
        (HEAD + b"".join(b"X-%d: a\r\n" % n for n in range(101)) + b"\r\n", b"head-invalid"),
        (b"GET / HTTP/1.0\r\nHost: x\r\n\r\n", b"head-invalid"),
        (b"GET /\x0b HTTP/1.1\r\nHost: x\r\n\r\n", b"head-invalid"),
        (b"GET / HTTP/1.1\r\nHost: ", b"head-timeout"),
        (b"GET / HT", b"head-timeout"),
    ],
    ids=[
        "two-lengths",
        "same-length-twice",
        "length-and-chunked",
        "other-coding",
        "signed-length",
        "bare-cr",
        "bare-lf",
        "space-in-name",
        "folded",
        "large-head",
        "many-headers",
        "old-version",
        "control-in-path",
        "slow-head",
        "slow-line",
    ],
)
def test_invalid_head_is_refused_as_not_run(server, data, reason):
    answer = exchange_bytes(server, data)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b"Dunlinnotch-Outcome: not-run" in answer
    assert b"Dunlinnotch-Reason: " + reason in answer
    assert server.bodies == []


def test_requests_on_one_connection_are_answered_in_order(server):
    sized = HEAD + b"Content-Length: 3\r\n\r\nabc"
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    last = HEAD + b"Connection: close\r\n\r\n"
    answer = exchange_bytes(server, sized + chunked + last)
    assert server.bodies == [b"abc", b"abcde", b""]
    assert answer.count(b"HTTP/1.1 200") == 3
    assert answer.index(b"\r\n\r\n1") < answer.index(b"\r\n\r\n2") < answer.index(b"\r\n\r\n3")


@pytest.mark.parametrize(
    "body",
    [b"-3\r\nabc\r\n0\r\n\r\n", b"3\r\nabcd\r\n0\r\n\r\n", b"0x3\r\nabc\r\n0\r\n\r\n", b"3\r\nab"],
)
def test_malformed_chunked_body_is_not_accepted(server, body):
    with socket.create_connection(("127.0.0.1", server.port), 5.0) as sock:
        sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body)
        sock.shutdown(socket.SHUT_WR)
        answer = sock.recv(65536)
    assert server.bodies == []
    assert b" 200 " not in answer
