"""Send requests to targets and probe them; answers are told apart by id."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.protocol.relay import (
    Answered,
    Broken,
    NotRun,
    NotSent,
    ProbeResult,
    Verdict,
)
from dunlinnotch.transport.stream.common import request_head
from dunlinnotch.transport.stream.link_pool import LinkPool
from dunlinnotch.transport.stream.target_link import (
    MAX_IDLE_S,
    IncomingAnswer,
    LinkBrokenError,
    TargetLink,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from dunlinnotch.protocol.relay import AttemptEnd, CallerRequest, RelayBody, TargetDialect
    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Address, Seconds

#: For what may run only once, a connection is used if it has rested for at most this long.
_MAX_IDLE_AT_MOST_ONCE_S = 1.0


class _CallerBodyError(Exception):
    """The caller's body broke off while it was being sent on."""


class LinkAnswer:
    """An answer under way on a connection."""

    def __init__(
        self,
        pool: LinkPool,
        incoming: IncomingAnswer,
        sender: asyncio.Task[None] | None,
        head: AnswerHead,
    ) -> None:
        self._pool = pool
        self._incoming = incoming
        self._sender = sender
        self._read_ahead: bytes = b""
        self.head = head

    async def read_complete(self, max_bytes: int) -> bytes | None:
        """Read the body if it is at most so long; ``None`` if it is longer.

        Raises
        ------
        BodyCutError
        """
        if self.head.length is not None and self.head.length > max_bytes:
            return None
        held = bytearray()
        async for part in self._incoming.parts():
            held += part
            if len(held) > max_bytes:
                self._read_ahead = bytes(held)
                return None
        return bytes(held)

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        if self._read_ahead:
            yield self._read_ahead
            self._read_ahead = b""
        async for part in self._incoming.parts():
            yield part

    def close(self) -> None:
        """Give the connection back if all was read and sent, else close it."""
        link = self._incoming.link
        sent = self._sender is None or (self._sender.done() and not self._sender.cancelled())
        if self._sender is not None:
            self._sender.cancel()
        if self._incoming.done and sent:
            self._pool.release_link(link)
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
        self._max_links = 64
        self.opened_in_closed_pools = 0

    def set_max_connections(self, max_links: int) -> None:
        """Set how many connections to one target may be open at once."""
        self._max_links = max_links
        for pool in self._pools.values():
            pool.max_links = max_links

    def pool(self, address: Address) -> LinkPool:
        """Return the connections of one target."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = LinkPool(address, max_links=self._max_links)
        return pool

    def close_others(self, addresses: set[Address]) -> None:
        """Close idle connections to targets that are no more."""
        for address in [a for a in self._pools if a not in addresses]:
            pool = self._pools.pop(address)
            self.opened_in_closed_pools += pool.opened
            pool.close()

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self.opened_in_closed_pools + sum(pool.opened for pool in self._pools.values())

    def release(self, address: Address, probe_result: ProbeResult) -> None:
        """Give back the connection of a probe that is not used."""
        link, probe_result.link = probe_result.link, None
        if isinstance(link, TargetLink):
            self.pool(address).release_link(link)

    async def is_gone(self, address: Address) -> bool:
        """Return whether nobody listens at a target's address any more."""
        return await self.pool(address).refuses_connections()

    async def probe(self, address: Address, path: str) -> ProbeResult:
        """Probe a target; the connection stays taken until it is used or released.

        Parameters
        ----------
        address : str
        path : str
        """
        pool = self.pool(address)
        link = await pool.acquire_link()
        if isinstance(link, NotSent):
            return ProbeResult(None, healthy=False, detail=link.detail)
        done = False
        try:
            head = request_head("GET", path, self._dialect.probe_headers(pool.address), length=0)
            link.head_only = False
            link.write(head)
            while True:
                incoming = await link.next_answer()
                await incoming.skip()
                instance = self._dialect.probed_instance(incoming.head)
                if instance is not None or self._dialect.refused_probe(incoming.head):
                    break
            status = self._dialect.status(incoming.head)
            probe_result = ProbeResult(instance, incoming.status == 200, status)
            done = True
            if instance is None or link.not_reusable or link.closed:
                pool.release_link(link)
            else:
                probe_result.link = link
            return probe_result
        except (LinkBrokenError, BodyCutError) as error:
            return ProbeResult(None, healthy=False, detail=str(error))
        finally:
            if not done:
                pool.discard(link)

    async def attempt(
        self,
        address: Address,
        request: CallerRequest,
        body: RelayBody,
        *,
        remaining: Seconds,
        instance: str,
        may_send: Callable[[], bool],
        on_status: Callable[[TargetStatus], None],
        probe_result: ProbeResult | None = None,
        at_most_once: bool = False,
    ) -> AttemptEnd:
        """Send one request to one target and wait for the head of its answer.

        Parameters
        ----------
        address : str
        request : CallerRequest
        body : RelayBody
        remaining : float
            Seconds that the target is given.
        instance : str
            The target that is meant; another one at the address refuses.
        may_send : callable
            Returns whether the request may go to the target now; asked once there is
            a connection, which may have taken its time.
        on_status : callable
            Told what the target says of itself, as soon as the head of an answer has
            come and whatever becomes of that answer.
        probe_result : ProbeResult, optional
            A probe whose connection is used.
        at_most_once : bool, default False
            Whether the request may run only once, so that a connection which
            its target may have forgotten is no choice.

        Notes
        -----
        When cancelled, the connection is closed, so that the target stops.
        """
        pool = self.pool(address)
        link = await self._acquire_link(pool, probe_result, at_most_once=at_most_once)
        if isinstance(link, NotSent):
            return link
        if not may_send():
            pool.release_link(link)
            return NotSent(Reason.NO_TARGET, "the target was given up before it was reached")
        ended: AttemptEnd | None = None
        sender: asyncio.Task[None] | None = None
        try:
            headers = self._dialect.request_headers(request, remaining=remaining, instance=instance)
            whole = body.complete
            length = request.length if whole is None else len(whole)
            head = request_head(request.method, request.path, headers, length=length)
            link.head_only = request.method == "HEAD"
            if whole is not None:
                link.write(head + whole)
            else:
                link.write(head)
                sender = asyncio.create_task(_send_body(link, body, chunked=length is None))
            ended = await self._await_answer(pool, link, request, sender, on_status)
        except _CallerBodyError as error:
            ended = Broken(Reason.BODY_BROKEN, str(error))
        except (LinkBrokenError, BodyCutError) as error:
            ended = Broken(Reason.TARGET_BROKEN, str(error))
        finally:
            if not isinstance(ended, Answered):
                if sender is not None:
                    sender.cancel()
                if isinstance(ended, NotRun) and sender is None:
                    pool.release_link(link)
                else:
                    pool.discard(link)
        return ended

    @staticmethod
    async def _acquire_link(
        pool: LinkPool, probe_result: ProbeResult | None, *, at_most_once: bool
    ) -> TargetLink | NotSent:
        """Return the connection of a probe if it is still good, else another."""
        if probe_result is not None:
            link, probe_result.link = probe_result.link, None
            if isinstance(link, TargetLink) and not link.closed:
                return link
        return await pool.acquire_link(
            max_idle=_MAX_IDLE_AT_MOST_ONCE_S if at_most_once else MAX_IDLE_S
        )

    async def _await_answer(
        self,
        pool: LinkPool,
        link: TargetLink,
        request: CallerRequest,
        sender: asyncio.Task[None] | None,
        on_status: Callable[[TargetStatus], None],
    ) -> AttemptEnd:
        while True:
            incoming = await self._next_answer(link, sender)
            head = incoming.head
            verdict = self._dialect.classify(head, request)
            if verdict is Verdict.UNRELATED:
                # It belongs to an earlier request; ours may still follow it.
                link.not_reusable = True
                await incoming.skip()
                continue
            if verdict is not Verdict.WRONG_TARGET:
                on_status(self._dialect.status(head))
            if verdict is Verdict.MATCHING:
                passed = replace(head, headers=tuple(self._dialect.answer_headers(head)))
                return Answered(LinkAnswer(pool, incoming, sender, passed))
            if verdict is Verdict.UNUSABLE:
                detail = f"an answer with status {incoming.status} that can't be passed on"
                return Broken(Reason.TARGET_BROKEN, detail, incoming.status)
            await incoming.skip()
            return NotRun(incoming.status, verdict is Verdict.WRONG_TARGET)

    @staticmethod
    async def _next_answer(link: TargetLink, sender: asyncio.Task[None] | None) -> IncomingAnswer:
        if sender is None:
            return await link.next_answer()
        answer = asyncio.ensure_future(link.next_answer())
        try:
            await asyncio.wait({answer, sender}, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done() and sender.done():
                _raise_send_error(sender)
            return await answer
        finally:
            answer.cancel()


def _raise_send_error(sender: asyncio.Task[None]) -> None:
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
        await link.flow_control.wait()
    if chunked:
        link.write(b"0\r\n\r\n")
