"""Connections to targets: what is kept, what is closed, and what is said of it."""

import contextlib
import socket
import threading
import time

import pytest

from dunlinnotch.protocol.attempt import Answered, BodyCutError, Broken, NotSent, Refused
from dunlinnotch.protocol.http import Call, Header
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.transport.targets import ConnectionPools, TargetClient


class RawTarget:
    """Answers each request with bytes given for it, on connections of its own."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.answers = []
        self.connections = 0
        self.asked = []
        self.heard = threading.Semaphore(0)
        self.go_on = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        # The client may close first; that is what some tests are about.
        with sock, contextlib.suppress(OSError):
            while True:
                data = b""
                while b"\r\n\r\n" not in data:
                    part = sock.recv(65536)
                    if not part:
                        return
                    data += part
                self.asked.append(data)
                answer = self.answers.pop(0)
                self.heard.release()
                if answer is None:
                    return
                if callable(answer):
                    answer(sock)
                else:
                    sock.sendall(answer)

    def close(self):
        self._listener.close()


@pytest.fixture
def target():
    raw = RawTarget()
    yield raw
    raw.close()


class Body:
    replayable = True

    def __init__(self, *parts):
        self._parts = parts

    def chunks(self):
        yield from self._parts


class Watch:
    def gone(self):
        return False

    def fileno(self):
        return None


def make(number=1, *, seconds=5.0, length=0):
    now = time.monotonic()
    headers = (Header("Host", "x"),)
    return Call(f"call-{number}", "s", "k", "GET", "/", headers, now, now + seconds, length=length)


def client(limit=2):
    pools = ConnectionPools(limit=lambda _target: limit, clock=time.monotonic)
    return TargetClient(pools), pools


def ok(body=b"hello", *, head=b""):
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


def attempt(sender, target, call, *, body=None, fresh=False):
    return sender.attempt(call, target.address, body or Body(), Watch(), fresh=fresh)


def read(result, *, whole=True):
    data = b"".join(result.body.chunks())
    result.body.close(complete=whole)
    return data


def test_whole_answer_gives_its_connection_back(target):
    sender, _ = client()
    target.answers = [ok(b"one"), ok(b"two")]
    assert read(attempt(sender, target, make(1))) == b"one"
    assert read(attempt(sender, target, make(2))) == b"two"
    assert target.connections == 1


def test_connection_that_timed_out_never_carries_another_call(target):
    sender, pools = client()

    def late(sock):
        target.go_on.wait(5.0)
        sock.sendall(ok(b"late"))

    target.answers = [late, ok(b"own")]
    result = attempt(sender, target, make(1, seconds=0.5))
    assert isinstance(result, Broken)
    assert result.reason is Reason.DEADLINE_EXPIRED
    target.go_on.set()
    assert read(attempt(sender, target, make(2))) == b"own"
    assert target.connections == 2
    assert pools.open_connections(target.address) == 1


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nhalf\r\n0\r\n\r\n",
    ],
    ids=["short", "no-last-chunk", "bad-chunk-size"],
)
def test_answer_that_is_not_whole_is_never_taken_for_one(target, answer):
    sender, pools = client()

    def cut(sock):
        sock.sendall(answer)
        sock.shutdown(socket.SHUT_RDWR)

    target.answers = [cut, ok(b"next")]
    result = attempt(sender, target, make(1))
    assert isinstance(result, Answered)
    with pytest.raises(BodyCutError):
        read(result)
    result.body.close(complete=False)
    assert pools.open_connections(target.address) == 0


@pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 2", b"nonsense\r\n\r\n"])
def test_no_whole_head_is_broken(target, answer):
    sender, pools = client()

    def cut(sock):
        sock.sendall(answer)
        sock.shutdown(socket.SHUT_RDWR)

    target.answers = [cut]
    result = attempt(sender, target, make(1))
    assert isinstance(result, Broken)
    assert pools.open_connections(target.address) == 0


def test_bytes_after_an_answer_are_nobodys_answer(target):
    sender, _ = client()
    target.answers = [ok(b"one") + ok(b"wrong"), ok(b"two")]
    assert read(attempt(sender, target, make(1))) == b"one"
    second = attempt(sender, target, make(2))
    assert isinstance(second, Broken) or read(second) == b"two"


def test_answer_marked_for_another_call_is_refused(target):
    sender, pools = client()
    target.answers = [ok(head=b"Dunlinnotch-Call-Id: call-9\r\n")]
    assert isinstance(attempt(sender, target, make(1)), Broken)
    assert pools.open_connections(target.address) == 0


def test_a_refusal_tells_for_how_long_the_target_wants_nothing(target):
    sender, _ = client()
    target.answers = [
        b"HTTP/1.1 503 Busy\r\nDunlinnotch-Refused: shed\r\n"
        b"Retry-After: 2.5\r\nContent-Length: 0\r\n\r\n"
    ]
    result = attempt(sender, target, make(1))
    assert isinstance(result, Refused)
    assert result.report.backoff == 2.5


def test_marked_refusal_and_bare_503_are_told_apart(target):
    sender, _ = client()
    refusal = b"HTTP/1.1 503 Busy\r\nDunlinnotch-Refused: shed\r\nContent-Length: 0\r\n\r\n"
    target.answers = [refusal, b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"]
    assert isinstance(attempt(sender, target, make(1)), Refused)
    bare = attempt(sender, target, make(2))
    assert isinstance(bare, Answered)
    assert bare.head.status == 503


def test_share_of_connections_is_never_exceeded(target):
    sender, pools = client(limit=1)
    target.answers = [ok(b"one")]
    first = attempt(sender, target, make(1))
    second = attempt(sender, target, make(2))
    assert isinstance(second, NotSent)
    assert second.reason is Reason.CONNECT_FAILED
    read(first)
    assert pools.open_connections(target.address) == 1


def test_idle_connection_that_was_closed_is_not_used(target):
    sender, _ = client()
    closed = threading.Event()

    def answer_and_close_later(sock):
        sock.sendall(ok(b"one"))
        target.go_on.wait(5.0)
        sock.shutdown(socket.SHUT_RDWR)
        closed.set()

    target.answers = [answer_and_close_later, ok(b"two")]
    assert read(attempt(sender, target, make(1))) == b"one"
    target.go_on.set()
    assert closed.wait(5.0)
    assert read(attempt(sender, target, make(2))) == b"two"


def test_fresh_connection_is_opened_when_asked_for(target):
    sender, _ = client()
    target.answers = [ok(b"one"), ok(b"two")]
    read(attempt(sender, target, make(1)))
    read(attempt(sender, target, make(2), fresh=True))
    assert target.connections == 2


def test_nobody_listening_is_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    sender, pools = client()
    result = sender.attempt(make(1), address, Body(), Watch(), fresh=False)
    assert isinstance(result, NotSent)
    assert pools.open_connections(address) == 0


def test_own_headers_reach_the_target(target):
    sender, _ = client()
    target.answers = [ok()]
    read(attempt(sender, target, make(7, seconds=2.0)))
    head = target.asked[0].lower()
    assert b"dunlinnotch-call-id: call-7" in head
    left = int(head.split(b"dunlinnotch-deadline-ms: ")[1].split(b"\r\n")[0])
    assert 1 <= left <= 2000


def test_call_id_of_the_caller_is_not_passed_on_twice(target):
    sender, _ = client()
    target.answers = [ok()]
    read(attempt(sender, target, make(7)))
    assert target.asked[0].lower().count(b"dunlinnotch-call-id") == 1


def test_body_that_breaks_off_is_broken_and_closes_the_connection(target):
    sender, pools = client()

    class BrokenBody(Body):
        def chunks(self):
            yield b"half"
            msg = "the caller left"
            raise BodyCutError(msg)

    target.answers = [None]
    result = attempt(sender, target, make(1, length=10), body=BrokenBody())
    assert isinstance(result, Broken)
    assert result.reason is Reason.BODY_BROKEN
    assert pools.open_connections(target.address) == 0


WHOLE = ok(b"answer", head=b"Content-Type: text/plain\r\n")


@pytest.mark.parametrize("length", range(len(WHOLE)))
def test_answer_cut_at_any_byte_is_never_taken_for_whole(target, length):
    sender, pools = client()

    def cut(sock):
        sock.sendall(WHOLE[:length])
        sock.shutdown(socket.SHUT_RDWR)

    target.answers = [cut]
    result = attempt(sender, target, make(1))
    if isinstance(result, Answered):
        with pytest.raises(BodyCutError):
            read(result)
        result.body.close(complete=False)
    else:
        assert isinstance(result, Broken)
    assert pools.open_connections(target.address) == 0


def test_target_that_closes_in_the_middle_of_a_request_leaves_it_broken(target):
    sender, pools = client()
    parts = (b"x" * 65536 for _ in range(400))

    def close_early(sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()

    target.answers = [close_early]
    result = attempt(sender, target, make(1, length=400 * 65536), body=Body(*parts))
    assert isinstance(result, Broken)
    assert result.reason is Reason.TARGET_BROKEN
    assert pools.open_connections(target.address) == 0


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\n\r\nall until the end",
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok(),
        b"HTTP/1.1 200 OK\r\nX-Big: " + b"x" * 70000 + b"\r\n\r\n",
    ],
    ids=["no-length", "interim", "large-head"],
)
def test_answer_whose_end_can_not_be_known_is_broken(target, answer):
    sender, _ = client()

    def send_and_close(sock):
        sock.sendall(answer)
        sock.shutdown(socket.SHUT_RDWR)

    target.answers = [send_and_close]
    assert isinstance(attempt(sender, target, make(1)), Broken)


def test_length_beside_chunks_is_not_passed_on(target):
    sender, _ = client()
    both = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n"
    target.answers = [both + b"5\r\nhello\r\n0\r\n\r\n"]
    result = attempt(sender, target, make(1))
    assert result.head.length is None
    assert read(result) == b"hello"


def test_head_that_comes_in_pieces_is_waited_for(target):
    sender, _ = client()
    whole = ok(b"pieces")

    def in_pieces(sock):
        for at in range(len(whole)):
            sock.sendall(whole[at : at + 1])
            time.sleep(0.001)

    target.answers = [in_pieces, ok(b"next")]
    assert read(attempt(sender, target, make(1))) == b"pieces"
    assert read(attempt(sender, target, make(2))) == b"next"


def test_head_that_never_ends_is_given_up_at_the_deadline(target):
    sender, _ = client()

    def half(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\nX-Half: ")
        target.go_on.wait(5.0)

    target.answers = [half]
    result = attempt(sender, target, make(1, seconds=0.5))
    target.go_on.set()
    assert isinstance(result, Broken)
    assert result.reason is Reason.DEADLINE_EXPIRED
