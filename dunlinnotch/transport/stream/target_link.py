"""One connection to a target, and the answers received on it."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from typing import TYPE_CHECKING

import httptools

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.protocol.http import is_status
from dunlinnotch.protocol.relay import SendPosition
from dunlinnotch.state.heads import AnswerHead, Header
from dunlinnotch.transport.embedded_answers import (
    EmbeddedAnswerError,
    EmbeddedAnswerFinder,
    check_head,
)
from dunlinnotch.transport.sends import Sends
from dunlinnotch.transport.stream.answer_limits import (
    COUNTED_PART_BYTES,
    MAX_DROPPED_BODY_BYTES,
    AnswerLimits,
    LimitExceededError,
    check_header_count,
)
from dunlinnotch.transport.stream.common import find_header
from dunlinnotch.transport.stream.link import BodyQueue, StreamLink

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from dunlinnotch.types import Address, Seconds

#: Maximum time for which an idle connection is kept for reuse, in seconds; a target may allow less.
MAX_IDLE_S = 8.0
#: An idle connection is no longer used this long before the target will close it, in seconds,
#: so that no request is sent on a connection that is just being closed.
_IDLE_MARGIN_S = 1.0
_connection_numbers = itertools.count(1)


class LinkBrokenError(Exception):
    """A connection was closed, or the bytes received on it are no HTTP answer."""


class IncomingAnswer:
    """One answer that is being received.

    Parameters
    ----------
    link : TargetLink

    Attributes
    ----------
    status : int
    phrase : str
        Reason phrase.
    headers : list of Header
    length : int or None
        Length of the body in bytes; ``None`` if the head does not give it.
    ends_at_close : bool
        Whether only the end of the connection marks the end of the body.
    is_last : bool
        Whether the target closes the connection after it.
    has_body : bool
        Whether any byte of a body was received.
    """

    def __init__(self, link: TargetLink) -> None:
        self.link = link
        self.status = 0
        self.phrase = ""
        self.headers: list[Header] = []
        self.length: int | None = None
        self.ends_at_close = False
        self.is_last = False
        self.has_body = False
        self._body = BodyQueue(link)

    @property
    def head(self) -> AnswerHead:
        """The head of the answer."""
        return AnswerHead(self.status, self.phrase, tuple(self.headers), self.length)

    @property
    def done(self) -> bool:
        """Whether the complete body has been received."""
        return self._body.done

    def feed(self, part: bytes) -> None:
        """Add a received part of the body."""
        self.has_body = True
        self._body.put(part)

    def end(self, error: str = "") -> None:
        """Mark the body as complete, or as cut if there is an error."""
        if error:
            self._body.fail(error)
        else:
            self._body.end()

    def hold(self) -> None:
        """Hold the body back until :meth:`end`, as it may not be the target's."""
        self._body.hold()

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Raises
        ------
        BodyCutError
            If the body ends early.
        """
        return self._body.parts()

    async def skip(self) -> None:
        """Read the body to its end without keeping it.

        Raises
        ------
        BodyCutError
            If the body ends early, or is so long that the connection was closed instead.
        """
        size = 0
        async for part in self.parts():
            size += len(part)
            if size > MAX_DROPPED_BODY_BYTES:
                self.link.abort()
                msg = f"a dropped body exceeds {MAX_DROPPED_BODY_BYTES} bytes, the maximum"
                raise BodyCutError(msg)


class TargetLink(StreamLink):
    """One connection to a target.

    Parameters
    ----------
    address : str
    on_data : callable, optional
        Called whenever bytes arrive.
    on_surplus : callable, optional
        Called when an answer arrives that belongs to no send that waits.
    named_send : callable, optional
        Given the head of an answer, returns what it names, see
        :meth:`~.relay.TargetDialect.named_send`.  Without it, the content of bodies has to show
        whether they are whole.

    Attributes
    ----------
    sends : Sends
        What has been sent on the connection.
    not_reusable : bool
        Whether the connection must be closed after the current request.
    position : SendPosition
        The last send.
    idle_until : float
        Time until which the idle connection may be reused, in monotonic seconds.
    busy : bool
        Whether a request or probe uses the connection.
    head_only : bool
        Whether answers have no body, as the request is ``HEAD``.
    is_mid_answer : bool
        Whether a part of an answer has been received, and not its end; the head of the next
        answer would become part of it.
    """

    def __init__(
        self,
        address: Address,
        *,
        on_data: Callable[[], None] = lambda: None,
        on_surplus: Callable[[], None] = lambda: None,
        named_send: Callable[[AnswerHead], str | None] | None = None,
    ) -> None:
        super().__init__()
        self.address = address
        self.sends = Sends()
        self._named_send = named_send
        self._on_data = on_data
        self._on_surplus = on_surplus
        self.not_reusable = False
        self.position = SendPosition(next(_connection_numbers))
        self.idle_until: Seconds = 0.0
        self.busy = True
        self.head_only = False
        self.is_mid_answer = False
        self._max_idle = MAX_IDLE_S
        self._idle_since: Seconds = 0.0
        self._parser = httptools.HttpResponseParser(self)
        # Bytes that follow an answer show whether its body is whole, also if none should.
        self._parser.set_dangerous_leniencies(lenient_keep_alive=True)
        self._limits = AnswerLimits()
        self._in_trailers = False
        self._body_parts: list[bytes] = []
        self._receiving: IncomingAnswer | None = None
        self._completed: IncomingAnswer | None = None
        self._unproven: IncomingAnswer | None = None
        self._request_sent = True
        self._finder: EmbeddedAnswerFinder | None = None
        self._answers: deque[IncomingAnswer] = deque()
        self._changed = asyncio.Event()
        self._error = ""

    # Called by the transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the answer that is being received."""
        self._end(f"connection lost: {exc}" if exc else "the target closed its connection")
        self.flow_control.resume()

    def eof_received(self) -> bool:
        """Complete an answer that only the end of the connection proves to be whole."""
        if self._unproven is not None:
            self._unproven.end()
            self._unproven = None
        elif self._receiving is not None and self._receiving.ends_at_close:
            self._complete_at_close(self._receiving)
        return False

    def _complete_at_close(self, incoming: IncomingAnswer) -> None:
        """Complete an answer without a length, unless something shows that it was cut."""
        if not self._request_sent or self._unwritten_bytes:
            # Whether the target went on or broke off can't be seen from its end alone.
            self._end("the target closed its connection before the whole request was sent")
            return
        try:
            self._finish_body()
        except EmbeddedAnswerError as error:
            self._end(str(error))
            return
        incoming.end()
        self._receiving = None
        self.is_mid_answer = False

    @property
    def _unwritten_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def _finish_body(self) -> None:
        if self._finder is not None:
            self._finder.finish()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close an idle connection on which bytes arrive."""
        if self.closed:
            return
        self._on_data()
        if not self.busy:
            self._on_surplus()
            self.abort()
            return
        if len(data) <= COUNTED_PART_BYTES:
            self._parse(data)
            return
        view = memoryview(data)
        for start in range(0, len(data), COUNTED_PART_BYTES):
            self._parse(view[start : start + COUNTED_PART_BYTES])
            if self.closed:
                return

    def _parse(self, part: bytes | memoryview) -> None:
        try:
            self._parser.feed_data(part)
            self._feed_body()
            self._limits.count_part(len(part))
        except (LimitExceededError, EmbeddedAnswerError) as error:
            self._break(str(error))
        except httptools.HttpParserCallbackError as error:
            self._break(str(error.__context__ or error))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._doubt_completed(f"invalid HTTP answer after the body: {error}")
            self._break(f"invalid HTTP answer: {error}")

    def _doubt_completed(self, error: str) -> None:
        """Fail the answer just completed, unless its body has already been read.

        Notes
        -----
        If an answer is cut short and the next bytes are those of a copy, they fill its body,
        and what is left of the copy follows.
        """
        if self._completed is not None:
            self._completed.end(error)

    def _confirm_completed(self) -> None:
        """Confirm the end of the answer just completed, as another one begins there."""
        self._completed = None
        if self._unproven is not None:
            self._unproven.end()
            self._unproven = None

    def _break(self, reason: str) -> None:
        self._end(reason)
        self.abort()

    def _end(self, reason: str) -> None:
        self._error = self._error or reason
        self.closed = True
        for incoming in (self._receiving, self._unproven):
            if incoming is not None:
                incoming.end(self._error)
        self._receiving = self._unproven = None
        self._changed.set()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Start to parse an answer."""
        self._parsing = IncomingAnswer(self)
        self._in_trailers = False
        self.is_mid_answer = True

    def on_status(self, status: bytes) -> None:
        """Add a part of the reason phrase."""
        self._confirm_completed()
        self._parsing.phrase += status.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are left out."""
        if self._in_trailers:
            return
        check_head(value)
        header = Header(name.decode("latin-1"), value.decode("latin-1").strip(" \t"))
        self._parsing.headers.append(header)
        check_header_count(len(self._parsing.headers))

    def on_headers_complete(self) -> None:
        """Pass the answer to :meth:`next_answer`, unless it is an interim one (1xx)."""
        self._confirm_completed()
        self._in_trailers = True
        incoming = self._parsing
        check_head(incoming.phrase.encode("latin-1"))
        incoming.status = self._parser.get_status_code()
        if not is_status(incoming.status):
            msg = f"status {incoming.status:03} invalid: expected 100 to 599"
            raise LinkBrokenError(msg)
        if incoming.status < 200:
            self._receiving = None
            return
        self._limits.count_answer()
        length = find_header(incoming.headers, "content-length")
        chunked = find_header(incoming.headers, "transfer-encoding") is not None
        incoming.length = None if chunked or length is None else int(length)
        bodiless = incoming.status in (204, 304)
        incoming.ends_at_close = not chunked and length is None and not bodiless
        self._finder = None
        if self._named_send is not None:
            is_framed = not incoming.ends_at_close
            self._finder = EmbeddedAnswerFinder(self._names_send, is_framed=is_framed)
        self._read_keep_alive(incoming)
        self._answers.append(incoming)
        self._receiving = incoming
        if self.head_only:
            self.not_reusable = True
            incoming.end()
            self._receiving = None
        self._changed.set()

    def _read_keep_alive(self, incoming: IncomingAnswer) -> None:
        incoming.is_last = incoming.ends_at_close or not self._parser.should_keep_alive()
        self.not_reusable |= incoming.is_last
        keep_alive = find_header(incoming.headers, "keep-alive") or ""
        for token in keep_alive.split(","):
            name, _, value = token.strip().partition("=")
            if name.lower() == "timeout" and value.isascii() and value.isdigit():
                self._max_idle = min(MAX_IDLE_S, max(0.0, int(value) - _IDLE_MARGIN_S))

    def on_body(self, body: bytes) -> None:
        """Add a part of the body to its answer."""
        self._body_parts.append(body)

    def _feed_body(self) -> None:
        """Pass on what was received of the body at once, however small its chunks are."""
        if not self._body_parts:
            return
        body = b"".join(self._body_parts)
        self._body_parts.clear()
        if self._receiving is None:
            return
        if self._finder is not None:
            self._finder.check(body)
        self._receiving.feed(body)
        self._limits.note_progress()

    def on_message_complete(self) -> None:
        """Mark the answer as completely received, unless its body proves nothing by itself."""
        self.is_mid_answer = False
        self._feed_body()
        if self._receiving is None:
            return
        self._finish_body()
        completed, self._receiving = self._receiving, None
        self._limits.note_progress()
        self._completed = completed if completed.has_body else None
        if self._finder is not None and self._finder.is_doubtful:
            completed.hold()
            self._unproven = completed
            self.not_reusable = True
            self._await_end()
        else:
            completed.end()

    def _await_end(self) -> None:
        """Have the target close the connection; what comes before shows whether a body is whole.

        Notes
        -----
        Nothing follows an answer that is whole.  An answer that was cut and then completed by
        the begin of another is followed by the rest of that one.
        """
        if self._unproven is None or self._unproven.is_last or not self._request_sent:
            return
        if self._transport is not None:
            self._transport.write_eof()

    def _names_send(self, head: AnswerHead) -> bool:
        """Return whether an answer with the head belongs to a send on the connection."""
        assert self._named_send is not None
        named = self._named_send(head)
        return named is not None and self.sends.has_carried(named)

    # Called by the client and the pool

    async def next_answer(self) -> IncomingAnswer:
        """Wait for the next answer; return it once its head has been received.

        Raises
        ------
        LinkBrokenError
            If the connection ends first.
        """
        while not self._answers:
            if self.closed:
                raise LinkBrokenError(self._error)
            self._changed.clear()
            await self._changed.wait()
        return self._answers.popleft()

    def begin_send(self, key: str, *, complete: bool = True) -> None:
        """Record that a request or health check is sent, whose answer names ``key``.

        Parameters
        ----------
        key : str
        complete : bool, default True
            Whether all of it is written at once; else :meth:`finish_send` tells its end.
        """
        self.sends.begin(key)
        self._request_sent = complete
        self.position = SendPosition(self.position.connection, self.position.position + 1)

    def finish_send(self) -> None:
        """Record that the body of the request has been written to its end."""
        self._request_sent = True
        self._await_end()

    def record_surplus(self) -> None:
        """Record an answer that belongs to no send that waits; the next may follow it."""
        self.not_reusable = True
        self._on_surplus()

    def abort(self) -> None:
        """Close the connection at once, so that the target stops its work."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after the written bytes have been sent."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def mark_idle(self, now: Seconds) -> bool:
        """Mark the connection as idle; return False if it can't be reused."""
        if self._answers or (self.is_mid_answer and not self.head_only):
            self.record_surplus()
        if self.closed or self.not_reusable or self.sends.exhausted:
            return False
        self.busy = False
        self._idle_since = now
        self.idle_until = now + self._max_idle
        return True

    def begin_use(self) -> None:
        """Mark an idle connection as busy."""
        self.busy = True
        self._limits.begin_use()

    def is_usable(self, now: Seconds, *, max_idle: Seconds) -> bool:
        """Return whether an idle connection is open and has not been idle for too long.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        max_idle : float
            Seconds that the connection may have been idle.
        """
        return not self.closed and now < self.idle_until and now - self._idle_since <= max_idle
