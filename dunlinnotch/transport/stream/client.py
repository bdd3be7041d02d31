"""HTTP/1.1 client for targets: sends requests and probes.

A connection may still deliver an answer to an earlier send: :mod:`dunlinnotch.transport.sends`
tells which answer belongs to which.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
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
from dunlinnotch.transport.sends import UNNAMED, SendOwner
from dunlinnotch.transport.stream.common import request_head
from dunlinnotch.transport.stream.link_answer import LinkAnswer
from dunlinnotch.transport.stream.link_pool import UNREACHED_AFTER_S, LinkPool
from dunlinnotch.transport.stream.target_link import (
    MAX_IDLE_S,
    IncomingAnswer,
    LinkBrokenError,
    TargetLink,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dunlinnotch.protocol.relay import (
        AttemptEnd,
        CallerRequest,
        RelayBody,
        SendPosition,
        TargetDialect,
    )
    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Address, Seconds

#: Maximum idle time of a connection reused for a request that must not run twice.  The target
#: may close an idle connection just as the request is sent, which leaves open whether it ran.
_MAX_IDLE_AT_MOST_ONCE_S = 1.0

_log = logging.getLogger(__name__)


class _CallerBodyError(Exception):
    """The body of the caller ended early while it was being sent to a target."""


class TargetClient:
    """Send requests and probes to targets.

    Parameters
    ----------
    dialect : TargetDialect
        Headers and statuses that targets use.
    on_heard : callable, optional
        Called with the address of a target whenever bytes arrive from it.
    on_unreached : callable, optional
        Called with the address of a target to which no connection could be opened, or which
        did not answer a probe, and with the time since which that is so.

    Attributes
    ----------
    opened_in_closed_pools : int
        Connections opened to targets that have been removed.
    surplus_answers : int
        Answers of targets that belong to no send that waited.
    """

    def __init__(
        self,
        dialect: TargetDialect,
        *,
        on_heard: Callable[[Address], None] = lambda address: None,
        on_unreached: Callable[[Address, Seconds], None] = lambda address, since: None,
    ) -> None:
        self._dialect = dialect
        self._on_heard = on_heard
        self._on_unreached = on_unreached
        self._pools: dict[Address, LinkPool] = {}
        self._max_links = 64
        self.opened_in_closed_pools = 0
        self.surplus_answers = 0

    def set_max_connections(self, max_links: int) -> None:
        """Set the maximum number of open connections to one target.

        Notes
        -----
        Each box takes its part of what a target accepts from all boxes.  The connections of an
        earlier process on the box end with it, except after a loss of power: the target then
        counts them until its own timeout.
        """
        if max_links == self._max_links:
            return
        self._max_links = max_links
        for pool in self._pools.values():
            pool.max_links = max_links

    def pool(self, address: Address) -> LinkPool:
        """Return the connection pool of one target."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = LinkPool(
                address,
                max_links=self._max_links,
                on_heard=functools.partial(self._on_heard, address),
                on_unreached=functools.partial(self._on_unreached, address),
                on_surplus=self._count_surplus,
                named_send=self._dialect.named_send,
            )
        return pool

    def _count_surplus(self) -> None:
        self.surplus_answers += 1

    def close_others(self, addresses: set[Address]) -> None:
        """Close idle connections to all targets but those listed."""
        for address in [a for a in self._pools if a not in addresses]:
            pool = self._pools.pop(address)
            self.opened_in_closed_pools += pool.opened
            pool.close()

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self.opened_in_closed_pools + sum(pool.opened for pool in self._pools.values())

    def release(self, address: Address, probe_result: ProbeResult) -> None:
        """Release the connection of a probe that no request will use."""
        link, probe_result.link = probe_result.link, None
        if isinstance(link, TargetLink):
            self.pool(address).release_link(link)

    async def is_gone(self, address: Address) -> bool:
        """Return whether no process listens at the address of a target any more."""
        return await self.pool(address).refuses_connections()

    async def check_path(self, address: Address) -> bool:
        """Return whether a connection to a target opens; nothing is sent on it."""
        return await self.pool(address).check_path()

    async def probe(self, address: Address, path: str) -> ProbeResult:
        """Probe a target.

        Parameters
        ----------
        address : str
        path : str

        Returns
        -------
        ProbeResult
            Holds the connection, until a request uses it or :meth:`release` is called.
        """
        pool = self.pool(address)
        # An earlier answer tells the state of the same target, a little older, and is found out
        # when the next one arrives.
        link = await pool.acquire_link(UNNAMED, repeats=True)
        if isinstance(link, NotSent):
            return ProbeResult(None, healthy=False, detail=link.detail)
        completed = False
        began = asyncio.get_running_loop().time()
        try:
            head = request_head("GET", path, self._dialect.probe_headers(pool.address), length=0)
            link.head_only = False
            link.begin_send(UNNAMED)
            link.write(head)
            incoming = await self._own_answer(link, "", link.next_answer)
            await incoming.skip()
            instance = self._dialect.probed_instance(incoming.head)
            status = self._dialect.status(incoming.head)
            probe_result = ProbeResult(instance, incoming.status == 200, status)
            completed = True
            if instance is None or link.not_reusable or link.closed:
                pool.release_link(link)
            else:
                probe_result.link = link
            return probe_result
        except (LinkBrokenError, BodyCutError) as error:
            self._on_unreached(address, began)
            return ProbeResult(None, healthy=False, detail=str(error))
        except asyncio.CancelledError:
            if asyncio.get_running_loop().time() - began >= UNREACHED_AFTER_S:
                self._on_unreached(address, began)
            raise
        finally:
            if not completed:
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
        on_sent: Callable[[SendPosition], None],
        probe_result: ProbeResult | None = None,
        at_most_once: bool = False,
    ) -> AttemptEnd:
        """Send a request to a target and wait for the head of the answer.

        Parameters
        ----------
        address : str
        request : CallerRequest
        body : RelayBody
        remaining : float
            Seconds within which the target should answer; sent with the request.
        instance : str
            Name of the target; another target that has the address now refuses the request.
        may_send : callable
            Returns whether the request may still be sent to the target.  Called once there is
            a connection, because the target may have been ruled out while connecting.
        on_status : callable
            Called with the status that the target reports in the head of its answer, also if
            the answer is then not passed on.
        on_sent : callable
            Called with the connection on which the request is sent.
        probe_result : ProbeResult, optional
            Result of a probe whose connection is reused.
        at_most_once : bool, default False
            Whether the request must not run twice.  It is then not sent on a connection that
            has been idle for long, which the target may be closing.

        Returns
        -------
        AttemptEnd

        Notes
        -----
        If this is cancelled, the connection is closed, so that the target stops its work.
        """
        pool = self.pool(address)
        key = self._dialect.send_key(request)
        link = await self._acquire_link(pool, key, probe_result, at_most_once=at_most_once)
        if isinstance(link, NotSent):
            return link
        if not may_send():
            pool.release_link(link)
            return NotSent(Reason.NO_TARGET, "the target was ruled out while connecting to it")
        attempt_end: AttemptEnd | None = None
        sender: asyncio.Task[None] | None = None
        try:
            headers = self._dialect.request_headers(request, remaining=remaining, instance=instance)
            buffered_body = body.complete
            length = request.length if buffered_body is None else len(buffered_body)
            head = request_head(request.method, request.path, headers, length=length)
            link.head_only = request.method == "HEAD"
            link.begin_send(key, complete=buffered_body is not None)
            on_sent(link.position)
            if buffered_body is not None:
                link.write(head + buffered_body)
            else:
                link.write(head)
                sender = asyncio.create_task(_send_body(link, body, chunked=length is None))
            attempt_end = await self._await_answer(pool, link, request, sender, on_status)
        except _CallerBodyError as error:
            attempt_end = Broken(Reason.BODY_BROKEN, str(error))
        except (LinkBrokenError, BodyCutError) as error:
            attempt_end = Broken(Reason.TARGET_BROKEN, str(error))
        finally:
            if not isinstance(attempt_end, Answered):
                if sender is not None:
                    sender.cancel()
                if isinstance(attempt_end, NotRun) and sender is None:
                    pool.release_link(link)
                else:
                    pool.discard(link)
        return attempt_end

    @staticmethod
    async def _acquire_link(
        pool: LinkPool, key: str, probe_result: ProbeResult | None, *, at_most_once: bool
    ) -> TargetLink | NotSent:
        """Return the connection of a probe if it may be used, else one of the pool."""
        if probe_result is not None:
            link, probe_result.link = probe_result.link, None
            if isinstance(link, TargetLink):
                if not link.closed and not link.is_mid_answer and link.sends.admits(key):
                    return link
                pool.release_link(link)
        return await pool.acquire_link(
            key, max_idle=_MAX_IDLE_AT_MOST_ONCE_S if at_most_once else MAX_IDLE_S
        )

    async def _await_answer(
        self,
        pool: LinkPool,
        link: TargetLink,
        request: CallerRequest,
        sender: asyncio.Task[None] | None,
        on_status: Callable[[TargetStatus], None],
    ) -> AttemptEnd:
        incoming = await self._own_answer(
            link,
            request.request_id,
            lambda: self._next_answer(link, sender),
            on_notice=on_status,
        )
        head = incoming.head
        verdict = self._dialect.classify(head)
        if verdict is not Verdict.WRONG_TARGET:
            on_status(self._dialect.status(head))
        if verdict is Verdict.MATCHING:
            caller_head = replace(head, headers=tuple(self._dialect.answer_headers(head)))
            return Answered(LinkAnswer(pool, incoming, sender, caller_head))
        if verdict is Verdict.UNUSABLE:
            detail = f"unusable answer with status {incoming.status}"
            return Broken(Reason.TARGET_BROKEN, detail, incoming.status)
        await incoming.skip()
        return NotRun(incoming.status, verdict is Verdict.WRONG_TARGET)

    async def _own_answer(
        self,
        link: TargetLink,
        request_id: str,
        next_answer: Callable[[], Awaitable[IncomingAnswer]],
        *,
        on_notice: Callable[[TargetStatus], None] = lambda status: None,
    ) -> IncomingAnswer:
        """Return the answer to the last send; drop those that belong to other sends.

        Parameters
        ----------
        link : TargetLink
        request_id : str
            For the log; empty for a probe.
        next_answer : callable
            Waits for the next answer.
        on_notice : callable, optional
            Called with what a dropped answer to a health check announces.

        Raises
        ------
        LinkBrokenError
            If an answer comes that may belong to this send or to another.
        """
        while True:
            incoming = await next_answer()
            named = self._dialect.named_send(incoming.head)
            owner = link.sends.owner(named)
            if owner is SendOwner.CURRENT:
                # An answer that does not name its send could not be told from a later one's.
                link.not_reusable |= named != link.sends.current
                return incoming
            if owner is SendOwner.UNKNOWN:
                msg = f"an answer with status {incoming.status} names no request"
                raise LinkBrokenError(msg)
            link.record_surplus()
            if named == UNNAMED:
                self._tell_notice(incoming.head, on_notice)
            event(
                _log,
                "answer-dropped",
                request=request_id,
                target=link.address,
                connection=link.position.connection,
                position=link.position.position,
                status=incoming.status,
            )
            await incoming.skip()

    def _tell_notice(self, head: AnswerHead, on_notice: Callable[[TargetStatus], None]) -> None:
        """Tell what a dropped answer to a health check announces.

        Notes
        -----
        It may be the true one, if a copy was taken for it.  A dropped answer to a request is a
        late copy, and has been heeded when it came first.
        """
        status = self._dialect.status(head)
        if status.backoff or status.leaving:
            on_notice(replace(status, report=None))

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
    """Raise the error that stopped sending the body, if there was one."""
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
    link.finish_send()
