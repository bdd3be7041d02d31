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
IDLE_MOST_S = 8.0
#: A connection is given up so long before its target would close it.
_IDLE_MARGIN_S = 1.0
_HEADERS_MAX = 200


class LinkBrokenError(Exception):
    """A connection ended, or what came on it is no answer."""


class Incoming:
    """One answer as it comes in."""

    def __init__(self, link: TargetLink) -> None:
        self.link = link
        self.status = 0
        self.phrase = ""
        self.headers: list[Header] = []
        self.length: int | None = None
        self.until_end = False
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
        self.spoiled = False
        self.used = 0
        self.idle_until: Seconds = 0.0
        self.busy = True
        self.head_only = False
        self._keep_s = IDLE_MOST_S
        self._rested_at: Seconds = 0.0
        self._parser = httptools.HttpResponseParser(self)
        self._reading: Incoming | None = None
        self._heads: deque[Incoming] = deque()
        self._news = asyncio.Event()
        self._fault = ""

    # -- from the transport

    def connection_lost(self, exc: Exception | None) -> None:
        """End what is being read."""
        self._end(f"the connection was lost: {exc}" if exc else "the target closed its connection")
        self.gate.resume()

    def eof_received(self) -> bool:
        """End an answer that has no other end."""
        if self._reading is not None and self._reading.until_end:
            self._reading.end()
            self._reading = None
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that nobody waits for end the connection."""
        if self.over:
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
        self._fault = self._fault or fault
        self.over = True
        if self._reading is not None:
            self._reading.end(self._fault)
            self._reading = None
        self._news.set()

    # -- from the parser

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._begun = Incoming(self)

    def on_status(self, status: bytes) -> None:
        """Take the phrase."""
        self._begun.phrase += status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        if len(self._begun.headers) < _HEADERS_MAX:
            header = Header(name.decode("latin-1"), value.decode("latin-1"))
            self._begun.headers.append(header)

    def on_headers_complete(self) -> None:
        """Hand the head to whoever waits for it."""
        incoming = self._begun
        incoming.status = self._parser.get_status_code()
        if incoming.status < 200:
            self._reading = None
            return
        length = find_header(incoming.headers, "content-length")
        chunked = find_header(incoming.headers, "transfer-encoding") is not None
        incoming.length = None if chunked or length is None else int(length)
        bodiless = incoming.status in (204, 304)
        incoming.until_end = not chunked and length is None and not bodiless
        self._read_keep_alive(incoming)
        self._heads.append(incoming)
        self._reading = incoming
        if self.head_only:
            self.spoiled = True
            incoming.end()
            self._reading = None
        self._news.set()

    def _read_keep_alive(self, incoming: Incoming) -> None:
        if incoming.until_end or not self._parser.should_keep_alive():
            self.spoiled = True
        stated = find_header(incoming.headers, "keep-alive") or ""
        for token in stated.split(","):
            name, _, value = token.strip().partition("=")
            if name.lower() == "timeout" and value.isascii() and value.isdigit():
                self._keep_s = min(IDLE_MOST_S, max(0.0, int(value) - _IDLE_MARGIN_S))

    def on_body(self, body: bytes) -> None:
        """Hand a part of the body on."""
        if self._reading is not None:
            self._reading.feed(body)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self._reading is not None:
            self._reading.end()
            self._reading = None

    # -- for attempts

    async def next_answer(self) -> Incoming:
        """Return the next answer whose head has come.

        Raises
        ------
        LinkBrokenError
        """
        while not self._heads:
            if self.over:
                raise LinkBrokenError(self._fault)
            self._news.clear()
            await self._news.wait()
        return self._heads.popleft()

    def abort(self) -> None:
        """Close at once, so that the target drops what it works on."""
        self.over = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close."""
        self.over = True
        if self._transport is not None:
            self._transport.close()

    def rest(self, now: Seconds) -> bool:
        """Become idle; return False if the connection can't be used again."""
        if self.over or self.spoiled or self._reading is not None or self._heads:
            return False
        self.busy = False
        self._rested_at = now
        self.idle_until = now + self._keep_s
        return True

    def take(self, now: Seconds, *, rested_most: Seconds) -> bool:
        """Become busy again; return False if the connection has rested too long."""
        if self.over or now >= self.idle_until or now - self._rested_at > rested_most:
            return False
        self.busy = True
        self.used += 1
        return True
