"""Connections to targets: one request at a time on each, answers told apart by id."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

import httptools

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.protocol.relay import (
    Answered,
    Asked,
    Broken,
    NotRun,
    NotSent,
    Verdict,
)
from dunlinnotch.state.heads import AnswerHead, Header
from dunlinnotch.transport.stream.common import BODY_AHEAD, WriteGate, find, request_head

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dunlinnotch.protocol.relay import AttemptEnd, CallerRequest, RelayBody, TargetDialect
    from dunlinnotch.types import Address, Seconds

#: Longest wait for a new connection, in seconds.
CONNECT_S = 0.6
#: An idle connection is used for at most this long, whatever the target allows.
_IDLE_MOST_S = 8.0
#: For what may run only once, a connection is used if it has rested for at most this long.
_RESTED_ONCE_S = 1.0
#: A connection is given up so long before its target would close it.
_IDLE_MARGIN_S = 1.0
_HEADERS_MAX = 200


class _CallerBodyError(Exception):
    """The caller's body broke off while it was being sent on."""


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
        self.done = False
        self.error = ""
        self._parts: deque[bytes] = deque()
        self._held = 0
        self._news = asyncio.Event()

    @property
    def head(self) -> AnswerHead:
        """The answer's head."""
        return AnswerHead(self.status, self.phrase, tuple(self.headers), self.length)

    def feed(self, part: bytes) -> None:
        """Take in a part of the body."""
        self._parts.append(part)
        self._held += len(part)
        if self._held > BODY_AHEAD:
            self.link.pause_reading()
        self._news.set()

    def end(self, error: str = "") -> None:
        """Note the end of the body, clean or not."""
        self.done = not error
        self.error = error
        self._news.set()

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body.

        Raises
        ------
        BodyCutError
            If it ends early.
        """
        while True:
            while self._parts:
                part = self._parts.popleft()
                self._held -= len(part)
                if self._held <= BODY_AHEAD:
                    self.link.resume_reading()
                yield part
            if self.error:
                raise BodyCutError(self.error)
            if self.done:
                return
            self._news.clear()
            await self._news.wait()

    async def skip(self) -> None:
        """Read the body to its end and drop it."""
        async for _ in self.parts():
            pass


class TargetLink(asyncio.Protocol):
    """One connection to a target."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.gate = WriteGate()
        self.closed = False
        self.spoiled = False
        self.used = 0
        self.idle_until: Seconds = 0.0
        self.busy = True
        self.head_only = False
        self._keep_s = _IDLE_MOST_S
        self._rested_at: Seconds = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reading: Incoming | None = None
        self._heads: deque[Incoming] = deque()
        self._news = asyncio.Event()
        self._paused = False
        self._fault = ""

    # -- from the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

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

    def pause_writing(self) -> None:
        """Make writers wait."""
        self.gate.pause()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self.gate.resume()

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
        self._fault = self._fault or fault
        self.closed = True
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
        length = find(incoming.headers, "content-length")
        chunked = find(incoming.headers, "transfer-encoding") is not None
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
        stated = find(incoming.headers, "keep-alive") or ""
        for token in stated.split(","):
            name, _, value = token.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self._keep_s = min(_IDLE_MOST_S, max(0.0, int(value) - _IDLE_MARGIN_S))

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

    def write(self, data: bytes) -> None:
        """Write without waiting."""
        if self._transport is not None and not self.closed:
            self._transport.write(data)

    async def next_answer(self) -> Incoming:
        """Return the next answer whose head has come.

        Raises
        ------
        LinkBrokenError
        """
        while not self._heads:
            if self.closed:
                raise LinkBrokenError(self._fault)
            self._news.clear()
            await self._news.wait()
        return self._heads.popleft()

    def pause_reading(self) -> None:
        """Stop taking bytes."""
        if not self._paused and self._transport is not None and not self.closed:
            self._paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Take bytes again."""
        if self._paused and self._transport is not None and not self.closed:
            self._paused = False
            self._transport.resume_reading()

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

    def rest(self, now: Seconds) -> bool:
        """Become idle; return False if the connection can't be used again."""
        if self.closed or self.spoiled or self._reading is not None or self._heads:
            return False
        self.busy = False
        self._rested_at = now
        self.idle_until = now + self._keep_s
        return True

    def take(self, now: Seconds, *, rested_most: Seconds) -> bool:
        """Become busy again; return False if the connection has rested too long."""
        if self.closed or now >= self.idle_until or now - self._rested_at > rested_most:
            return False
        self.busy = True
        self.used += 1
        return True


class LinkPool:
    """All connections to one target.

    Parameters
    ----------
    address : str
    most : int
        Connections that may be open at once.
    """

    def __init__(self, address: Address, *, most: int) -> None:
        self.address = address
        self.most = most
        self.open: set[TargetLink] = set()
        self.opened = 0
        self._idle: list[TargetLink] = []
        self._loop = asyncio.get_running_loop()

    async def take(self, *, rested_most: Seconds = _IDLE_MOST_S) -> TargetLink | NotSent:
        """Return an idle connection, the last used first, or open one.

        Parameters
        ----------
        rested_most : float, optional
            Seconds that the connection may have been idle.
        """
        while self._idle:
            link = self._idle.pop()
            if link.take(self._loop.time(), rested_most=rested_most):
                return link
            self._drop(link)
        return await self.connect()

    async def connect(self) -> TargetLink | NotSent:
        """Open a connection."""
        self._forget_closed()
        if len(self.open) >= self.most:
            return NotSent(Reason.CONNECT_FAILED, f"all {self.most} connections are in use")
        host, _, port = self.address.rpartition(":")
        link = TargetLink(self.address)
        self.open.add(link)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError) as error:
            self.open.discard(link)
            return NotSent(Reason.CONNECT_FAILED, f"{type(error).__name__}: {error}")
        except asyncio.CancelledError:
            self.open.discard(link)
            raise
        self.opened += 1
        return link

    def give_back(self, link: TargetLink) -> None:
        """Keep a connection for later if it can be used again, else close it."""
        if link.rest(self._loop.time()):
            self._idle.append(link)
        else:
            self._drop(link)

    def discard(self, link: TargetLink) -> None:
        """Close a connection at once."""
        link.abort()
        self.open.discard(link)

    def close(self) -> None:
        """Close the idle connections; busy ones end with their request."""
        for link in self._idle:
            self._drop(link)
        self._idle.clear()

    def _drop(self, link: TargetLink) -> None:
        link.close()
        self.open.discard(link)

    def _forget_closed(self) -> None:
        for link in [link for link in self.open if link.closed]:
            self.open.discard(link)
        self._idle = [link for link in self._idle if not link.closed]


class LinkAnswer:
    """An answer under way on a connection."""

    def __init__(
        self,
        pool: LinkPool,
        incoming: Incoming,
        sender: asyncio.Task[None] | None,
        head: AnswerHead,
    ) -> None:
        self._pool = pool
        self._incoming = incoming
        self._sender = sender
        self._first: bytes = b""
        self.head = head

    async def whole_within(self, most: int) -> bytes | None:
        """Read the body if it is at most so long; ``None`` if it is longer.

        Raises
        ------
        BodyCutError
        """
        if self.head.length is not None and self.head.length > most:
            return None
        held = bytearray()
        async for part in self._incoming.parts():
            held += part
            if len(held) > most:
                self._first = bytes(held)
                return None
        return bytes(held)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        if self._first:
            yield self._first
            self._first = b""
        async for part in self._incoming.parts():
            yield part

    def close(self) -> None:
        """Give the connection back if all was read and sent, else close it."""
        link = self._incoming.link
        sent = self._sender is None or (self._sender.done() and not self._sender.cancelled())
        if self._sender is not None:
            self._sender.cancel()
        if self._incoming.done and sent:
            self._pool.give_back(link)
        else:
            self._pool.discard(link)


class TargetClient:
    """Probe targets and send them requests.

    Parameters
    ----------
    dialect : TargetDialect
    """

    def __init__(self, dialect: TargetDialect) -> None:
        self._dialect = dialect
        self._pools: dict[Address, LinkPool] = {}
        self._most = 64
        self.opened_before = 0

    def set_most(self, most: int) -> None:
        """Set how many connections to one target may be open at once."""
        self._most = most
        for pool in self._pools.values():
            pool.most = most

    def pool(self, address: Address) -> LinkPool:
        """Return the connections of one target."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = LinkPool(address, most=self._most)
        return pool

    def keep_only(self, addresses: set[Address]) -> None:
        """Close idle connections to targets that are no more."""
        for address in [a for a in self._pools if a not in addresses]:
            pool = self._pools.pop(address)
            self.opened_before += pool.opened
            pool.close()

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self.opened_before + sum(pool.opened for pool in self._pools.values())

    def release(self, address: Address, asked: Asked) -> None:
        """Give back the connection of a probe that is not used."""
        link, asked.link = asked.link, None
        if isinstance(link, TargetLink):
            self.pool(address).give_back(link)

    async def ask(self, address: Address, path: str) -> Asked:
        """Probe a target; the connection stays taken until it is used or released.

        Parameters
        ----------
        address : str
        path : str
        """
        pool = self.pool(address)
        link = await pool.take()
        if isinstance(link, NotSent):
            return Asked(None, False, None, link.detail)
        done = False
        try:
            head = request_head("GET", path, self._dialect.probe_headers(pool.address), length=0)
            link.head_only = False
            link.write(head)
            while True:
                incoming = await link.next_answer()
                await incoming.skip()
                instance = self._dialect.probed_instance(incoming.head)
                if instance is not None:
                    break
            report = self._dialect.report(incoming.head)
            done = True
            if link.spoiled or link.closed:
                pool.give_back(link)
                return Asked(instance, incoming.status == 200, report)
            return Asked(instance, incoming.status == 200, report, link=link)
        except (LinkBrokenError, BodyCutError) as error:
            return Asked(None, False, None, str(error))
        finally:
            if not done:
                pool.discard(link)

    async def attempt(
        self,
        address: Address,
        request: CallerRequest,
        body: RelayBody,
        *,
        left: Seconds,
        instance: str,
        asked: Asked | None = None,
        once: bool = False,
    ) -> AttemptEnd:
        """Send one request to one target and wait for the head of its answer.

        Parameters
        ----------
        address : str
        request : CallerRequest
        body : RelayBody
        left : float
            Seconds that the target is given.
        instance : str
            The target that is meant; another one at the address refuses.
        asked : Asked, optional
            A probe whose connection is used.
        once : bool, default False
            Whether the request may run only once, so that a connection which
            its target may have forgotten is no choice.

        Notes
        -----
        When cancelled, the connection is closed, so that the target stops.
        """
        pool = self.pool(address)
        link = asked.link if asked is not None else None
        if asked is not None:
            asked.link = None
        if not isinstance(link, TargetLink) or link.closed:
            most = _RESTED_ONCE_S if once else _IDLE_MOST_S
            taken = await pool.take(rested_most=most)
            if isinstance(taken, NotSent):
                return taken
            link = taken
        ended: AttemptEnd | None = None
        sender: asyncio.Task[None] | None = None
        try:
            headers = self._dialect.request_headers(request, left=left, instance=instance)
            whole = body.whole
            length = request.length if whole is None else len(whole)
            head = request_head(request.method, request.path, headers, length=length)
            link.head_only = request.method == "HEAD"
            if whole is not None:
                link.write(head + whole)
            else:
                link.write(head)
                sender = asyncio.create_task(_send_body(link, body, chunked=length is None))
            ended = await self._await_answer(pool, link, request, sender)
        except _CallerBodyError as error:
            ended = Broken(Reason.BODY_BROKEN, str(error))
        except (LinkBrokenError, BodyCutError) as error:
            ended = Broken(Reason.TARGET_BROKEN, str(error))
        finally:
            if not isinstance(ended, Answered):
                if sender is not None:
                    sender.cancel()
                if isinstance(ended, NotRun) and sender is None:
                    pool.give_back(link)
                else:
                    pool.discard(link)
        return ended

    async def _await_answer(
        self,
        pool: LinkPool,
        link: TargetLink,
        request: CallerRequest,
        sender: asyncio.Task[None] | None,
    ) -> AttemptEnd:
        while True:
            incoming = await self._next_answer(link, sender)
            head = incoming.head
            verdict = self._dialect.judge(head, request)
            if verdict is Verdict.FOREIGN:
                # It belongs to an earlier request; ours may still follow it.
                link.spoiled = True
                await incoming.skip()
                continue
            report = self._dialect.report(head)
            if verdict is Verdict.OURS:
                passed = replace(head, headers=tuple(self._dialect.answer_headers(head)))
                return Answered(LinkAnswer(pool, incoming, sender, passed), report)
            if verdict is Verdict.UNUSABLE:
                detail = f"an answer with status {incoming.status} that can't be passed on"
                return Broken(Reason.TARGET_BROKEN, detail, incoming.status)
            await incoming.skip()
            return NotRun(incoming.status, verdict is Verdict.ELSEWHERE, report)

    @staticmethod
    async def _next_answer(link: TargetLink, sender: asyncio.Task[None] | None) -> Incoming:
        if sender is None:
            return await link.next_answer()
        answer = asyncio.ensure_future(link.next_answer())
        try:
            await asyncio.wait({answer, sender}, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done() and sender.done():
                _check_sent(sender)
            return await answer
        finally:
            answer.cancel()


def _check_sent(sender: asyncio.Task[None]) -> None:
    """Raise if the body could not be sent because the caller's own was not whole."""
    error = sender.exception()
    if isinstance(error, BodyCutError):
        raise _CallerBodyError(str(error)) from None
    if error is not None:
        raise error


async def _send_body(link: TargetLink, body: RelayBody, *, chunked: bool) -> None:
    async for part in body.parts():
        if link.closed:
            return
        link.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
        await link.gate.wait()
    if chunked:
        link.write(b"0\r\n\r\n")
