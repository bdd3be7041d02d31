"""The way to targets over a peer, for a box that can't reach them itself.

The box that a caller sent its request to remains responsible for it: it matches the request,
counts its attempts and retries, and answers the caller.  A peer makes one attempt at one
target for it, and never passes the request on.  See ``docs/design/peer-forwarding.md``.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from dunlinnotch.coordination.requests.relaying import relay_answer
from dunlinnotch.coordination.requests.run import Attempt, Ending
from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.protocol.peer_forward import PeerOutcome, PeerRequest, read_peer_result
from dunlinnotch.protocol.relay import Answered, Broken, NotRun, NotSent
from dunlinnotch.state.crashes import ServingSpan

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dunlinnotch.coordination.choosing.reach import TargetReach
    from dunlinnotch.coordination.membership.mesh import Mesh
    from dunlinnotch.coordination.requests.crash_guard import CrashGuard
    from dunlinnotch.coordination.requests.run import Run
    from dunlinnotch.protocol.mesh import Heartbeat
    from dunlinnotch.protocol.peer_forward import PeerResult
    from dunlinnotch.protocol.relay import AttemptEnd, CallerRequest, RelayBody, SendPosition
    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.state.routes import RequestKind
    from dunlinnotch.types import Address, Seconds

#: Maximum number of peers that one request is passed to in vain.
_MAX_PEERS_TRIED = 3
#: Time for which a peer that could not be reached gets no further requests, in seconds.
_PEER_PAUSE_S = 1.0


class PeerPort(Protocol):
    """Passes requests to peers."""

    async def attempt(
        self,
        address: Address,
        request: CallerRequest,
        body: RelayBody,
        *,
        peer_request: PeerRequest,
        may_send: Callable[[], bool],
        on_sent: Callable[[SendPosition], None],
    ) -> AttemptEnd:
        """Pass a request to a peer and wait for the head of its answer."""


class PeerPath:
    """Pass requests to peers that reach the targets of a service.

    Parameters
    ----------
    mesh : Mesh
    reach : TargetReach
    guard : CrashGuard
    peers : PeerPort
    rng : random.Random
    """

    def __init__(
        self,
        *,
        mesh: Mesh,
        reach: TargetReach,
        guard: CrashGuard,
        peers: PeerPort,
        rng: random.Random,
    ) -> None:
        self._mesh = mesh
        self._reach = reach
        self._guard = guard
        self._peers = peers
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._in_flight: Counter[str] = Counter()
        self._paused_until: dict[str, Seconds] = {}
        #: Number of requests passed to peers.
        self.forwarded = 0

    def is_needed(self, service: str) -> bool:
        """Return whether this box is cut off from a service that a live peer reaches."""
        return self._reach.is_cut_off(service) and bool(self._mesh.forwarding_peers(service))

    def is_unreached(self, instance: Instance) -> bool:
        """Return whether a target is out of reach because this box is cut off from it.

        Notes
        -----
        Nothing is sent to it then.  What might run there could not be refused as not run.
        """
        service = instance.listed.service
        return self._reach.is_unreached(instance) and self._reach.is_cut_off(service)

    def is_hopeless(self, run: Run) -> bool:
        """Return whether neither this box nor a peer reaches the targets of a request.

        Notes
        -----
        Its caller then learns at once that it was not run, and may go to another box.
        """
        return (
            self._reach.is_cut_off(run.service)
            and self.choose(run.service, tried=run.tried_peers) is None
        )

    def choose(self, service: str, *, tried: set[str]) -> Heartbeat | None:
        """Return the peer to pass a request to, or None to look for a target from here.

        Parameters
        ----------
        service : str
        tried : set of str
            Names of the peers that the request was already passed to.

        Notes
        -----
        Peers of the own place are used while they are at least half of its boxes: fewer
        would have to take more requests than they get from their own callers.
        """
        if len(tried) >= _MAX_PEERS_TRIED or not self._reach.is_cut_off(service):
            return None
        now = self._loop.time()
        peers = [
            peer
            for peer in self._mesh.forwarding_peers(service)
            if peer.name not in tried and now >= self._paused_until.get(peer.name, 0.0)
        ]
        local = [peer for peer in peers if peer.place == self._mesh.place]
        if 2 * len(local) >= self._mesh.local_live_count():
            peers = local
        if not peers:
            return None
        return min(self._rng.sample(peers, min(2, len(peers))), key=self._load)

    def _load(self, peer: Heartbeat) -> int:
        return peer.in_flight + self._in_flight[peer.name]

    async def attempt(
        self, run: Run, kind: RequestKind, peer: Heartbeat, *, may_send: Callable[[], bool]
    ) -> Ending:
        """Have a peer make one attempt, and relay an answer to the caller.

        Parameters
        ----------
        run : Run
        kind : RequestKind
        peer : Heartbeat
            As returned by :meth:`choose`.
        may_send : callable
            Called once there is a connection; returns whether to pass the request on it.
        """
        attempt = Attempt(began=self._loop.time(), peer=peer.name)
        run.begin_attempt(attempt)
        run.tried_peers.add(peer.name)
        self.forwarded += 1
        self._in_flight[peer.name] += 1
        try:
            end = await self._send(run, kind, peer, may_send)
            return await self._handle_end(run, kind, peer, end)
        finally:
            self._in_flight[peer.name] -= 1
            attempt.took = self._loop.time() - attempt.began

    async def _send(
        self, run: Run, kind: RequestKind, peer: Heartbeat, may_send: Callable[[], bool]
    ) -> AttemptEnd:
        assert peer.forwarding is not None
        now = self._loop.time()
        request = run.request
        peer_request = PeerRequest(
            key=peer.forwarding.key,
            sender=self._mesh.name,
            caller=request.caller,
            service=run.service,
            kind=kind.name,
            rank=kind.rank,
            idempotent=kind.idempotent,
            target_latency=kind.target_latency,
            waited=now - run.first_attempt_at,
            remaining=min(request.deadline, request.arrived + kind.timeout) - now,
            tried=tuple(run.tried_instances),
        )
        return await self._peers.attempt(
            f"{peer.peer.rpartition(':')[0]}:{peer.forwarding.port}",
            request,
            run.body,
            peer_request=peer_request,
            may_send=may_send,
            on_sent=run.attempts[-1].record_send,
        )

    async def _handle_end(
        self, run: Run, kind: RequestKind, peer: Heartbeat, end: AttemptEnd
    ) -> Ending:
        attempt = run.attempts[-1]
        if isinstance(end, Answered):
            result = read_peer_result(end.answer.head.headers)
            if result.outcome is PeerOutcome.ANSWERED:
                return await self._relay(run, kind, result, end)
            end.answer.close()
            end = self._apply(run, result)
        elif isinstance(end, NotSent) and end.reason is Reason.CONNECT_FAILED:
            self._paused_until[peer.name] = self._loop.time() + _PEER_PAUSE_S
        attempt.result = type(end).__name__
        if isinstance(end, NotSent):
            run.undo_send()
            return Ending(Outcome.NOT_RUN, 503, end.reason, end.detail)
        if isinstance(end, NotRun):
            run.may_have_run = run.earlier_attempt_may_have_run
            detail = f"the target refused with status {end.status}, at box {peer.name}"
            return Ending(Outcome.NOT_RUN, 503, Reason.TARGET_REFUSED, detail)
        assert isinstance(end, Broken)
        return Ending(Outcome.UNKNOWN, 502, end.reason, end.detail)

    def _apply(self, run: Run, result: PeerResult) -> NotSent | NotRun | Broken:
        """Record the result of an attempt without an answer; return how it ended."""
        attempt = run.attempts[-1]
        attempt.peer_target, attempt.status = result.target, result.status
        reason = result.reason or Reason.TARGET_BROKEN
        if result.outcome is PeerOutcome.NOT_SENT:
            return NotSent(result.reason or Reason.NO_TARGET, result.detail)
        # The same peer may be asked again, for another target.
        run.tried_peers.discard(attempt.peer)
        run.tried_instances.add(result.target)
        if result.outcome is PeerOutcome.NOT_RUN:
            return NotRun(result.status, wrong_target=False)
        if result.crashed:
            ended = self._guard.now
            took = self._loop.time() - attempt.began
            run.tracked.crashed[result.crashed] = ServingSpan(ended - took, ended)
        return Broken(reason, result.detail, result.status)

    async def _relay(
        self, run: Run, kind: RequestKind, result: PeerResult, answered: Answered
    ) -> Ending:
        attempt = run.attempts[-1]
        attempt.peer_target = result.target
        attempt.result = Answered.__name__
        run.tried_peers.discard(attempt.peer)
        run.tried_instances.add(result.target)
        answer = answered.answer
        # The first header is the result, which the caller does not get.
        answer.head = replace(answer.head, headers=answer.head.headers[1:])

        def replace_by(head: AnswerHead) -> Ending | None:
            retried = kind.idempotent and run.sends < kind.attempts and run.body.resendable
            if head.status < 500 or not retried:
                return None
            detail = f"the target failed with status {head.status}, at box {attempt.peer}"
            return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, detail)

        try:
            return await relay_answer(run, answer, replace_by=replace_by)
        except BodyCutError as error:
            attempt.result = "cut"
            return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, str(error))
