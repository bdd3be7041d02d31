"""One connection to a target, and the answers that come on it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools

from dunlinnotch.state.heads import AnswerHead, Header
from dunlinnotch.transport.stream.common import find_header
from dunlinnotch.transport.stream.link import BodyQueue, StreamLink

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dunlinnotch.types import Address, Seconds

#: An idle connection is used for at most this long, whatever the target allows.
MAX_IDLE_S = 8.0
#: A connection is given up so long before its target would close it.
_IDLE_MARGIN_S = 1.0
_MAX_HEADERS = 200


class LinkBrokenError(Exception):
    """A connection ended, or what came on it is no answer."""


class IncomingAnswer:
    """One answer as it comes in."""

    def __init__(self, link: TargetLink) -> None:
        self.link = link
        self.status = 0
        self.phrase = ""
        self.headers: list[Header] = []
        self.length: int | None = None
        self.ends_at_close = False
        self._body = BodyQueue(link)

    @property
    def head(self) -> AnswerHead:
        """The answer's head."""
        return AnswerHead(self.status, self.phrase, tuple(self.headers), self.length)

    @property
    def done(self) -> bool:
        """Whether the whole body has come."""
        return self._body.done

    def feed(self, part: bytes) -> None:
        """Take in a part of the body."""
        self._body.put(part)

    def end(self, error: str = "") -> None:
        """Note the end of the body, clean or not."""
        if error:
            self._body.fail(error)
        else:
            self._body.end()

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises
        ------
        BodyCutError
            If it ends early.
        """
        return self._body.parts()

    async def skip(self) -> None:
        """Read the body to its end and drop it."""
        async for _ in self.parts():
            pass


class TargetLink(StreamLink):
    """One connection to a target."""

    def __init__(self, address: Address) -> None:
        super().__init__()
        self.address = address
        self.not_reusable = False
        self.used = 0
        self.idle_until: Seconds = 0.0
        self.busy = True
        self.head_only = False
        self._max_idle = MAX_IDLE_S
        self._idle_since: Seconds = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self._receiving: IncomingAnswer | None = None
        self._answers: deque[IncomingAnswer] = deque()
        self._changed = asyncio.Event()
        self._error = ""

    # -- from the transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is being read."""
        self._end(f"the connection was lost: {exc}" if exc else "the target closed its connection")
        self.flow_control.resume()

    def eof_received(self) -> bool:
        """End an answer that has no other end."""
        if self._receiving is not None and self._receiving.ends_at_close:
            self._receiving.end()
            self._receiving = None
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nobody waits for end the connection."""
        if self.closed:
            return
        if not self.busy:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(f"no HTTP answer: {error}")
            self.abort()

    def _end(self, fault: str) -> None:
        self._error = self._error or fault
        self.closed = True
        if self._receiving is not None:
            self._receiving.end(self._error)
            self._receiving = None
        self._changed.set()

    # -- from the parser

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._parsing = IncomingAnswer(self)

    def on_status(self, status: bytes) -> None:
        """Take the phrase."""
        self._parsing.phrase += status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if len(self._parsing.headers) < _MAX_HEADERS:
            header = Header(name.decode("latin-1"), value.decode("latin-1"))
            self._parsing.headers.append(header)

    def on_headers_complete(self) -> None:
        """Hand the head to whoever waits for it."""
        incoming = self._parsing
        incoming.status = self._parser.get_status_code()
        if incoming.status < 200:
            self._receiving = None
            return
        length = find_header(incoming.headers, "content-length")
        chunked = find_header(incoming.headers, "transfer-encoding") is not None
        incoming.length = None if chunked or length is None else int(length)
        bodiless = incoming.status in (204, 304)
        incoming.ends_at_close = not chunked and length is None and not bodiless
        self._read_keep_alive(incoming)
        self._answers.append(incoming)
        self._receiving = incoming
        if self.head_only:
            self.not_reusable = True
            incoming.end()
            self._receiving = None
        self._changed.set()

    def _read_keep_alive(self, incoming: IncomingAnswer) -> None:
        if incoming.ends_at_close or not self._parser.should_keep_alive():
            self.not_reusable = True
        stated = find_header(incoming.headers, "keep-alive") or ""
        for token in stated.split(","):
            name, _, value = token.strip().partition("=")
            if name.lower() == "timeout" and value.isascii() and value.isdigit():
                self._max_idle = min(MAX_IDLE_S, max(0.0, int(value) - _IDLE_MARGIN_S))

    def on_body(self, body: bytes) -> None:
        """Hand a part of the body on."""
        if self._receiving is not None:
            self._receiving.feed(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._receiving is not None:
            self._receiving.end()
            self._receiving = None

    # -- for attempts

    async def next_answer(self) -> IncomingAnswer:
        """Return the next answer whose head has come.

        Raises
        ------
        LinkBrokenError
        """
        while not self._answers:
            if self.closed:
                raise LinkBrokenError(self._error)
            self._changed.clear()
            await self._changed.wait()
        return self._answers.popleft()

    def abort(self) -> None:
        """Close at once, so that the target drops what it works on."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def mark_idle(self, now: Seconds) -> bool:
        """Become idle; return False if the connection can't be used again."""
        if self.closed or self.not_reusable or self._receiving is not None or self._answers:
            return False
        self.busy = False
        self._idle_since = now
        self.idle_until = now + self._max_idle
        return True

    def reuse(self, now: Seconds, *, max_idle: Seconds) -> bool:
        """Become busy again; return False if the connection has rested too long."""
        if self.closed or now >= self.idle_until or now - self._idle_since > max_idle:
            return False
        self.busy = True
        self.used += 1
        return True
