"""Pass requests to peers, over the client that targets are called with."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.http import end_to_end
from dunlinnotch.protocol.peer_forward import (
    PeerRequest,
    peer_request_header,
    read_peer_result,
)
from dunlinnotch.protocol.relay import CallerRequest, Verdict
from dunlinnotch.state.target_status import TargetStatus
from dunlinnotch.transport.stream.client import TargetClient

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from dunlinnotch.protocol.relay import AttemptEnd, RelayBody, SendPosition
    from dunlinnotch.state.heads import AnswerHead, Header
    from dunlinnotch.types import Address, Seconds

#: Maximum number of open connections to one peer.
_MAX_CONNECTIONS_PER_PEER = 64


@dataclass(frozen=True, slots=True)
class _ForwardedRequest(CallerRequest):
    """A caller's request, with what the peer needs to know."""

    peer_request: PeerRequest | None = None


class _PeerDialect:
    """Headers of requests that are passed to a peer, and of its answers."""

    def request_headers(
        self, request: CallerRequest, *, remaining: Seconds, instance: str
    ) -> Sequence[Header]:
        """Return the caller's headers, preceded by the one for the peer."""
        assert isinstance(request, _ForwardedRequest)
        assert request.peer_request is not None
        peer_request = replace(request.peer_request, remaining=remaining)
        return [peer_request_header(peer_request), *end_to_end(request.headers, frozenset())]

    def send_key(self, request: CallerRequest) -> str:
        """Return the number of the send, which the peer's result repeats."""
        assert isinstance(request, _ForwardedRequest)
        assert request.peer_request is not None
        return str(request.peer_request.send)

    def named_send(self, head: AnswerHead) -> str | None:
        """Return the number in a result; ``None`` from a box of a version that has none."""
        try:
            send = read_peer_result(head.headers).send
        except ProtocolError:
            return None
        return str(send) if send else None

    def classify(self, head: AnswerHead) -> Verdict:
        """Classify an answer; without a valid result it tells nothing."""
        try:
            read_peer_result(head.headers)
        except ProtocolError:
            return Verdict.UNUSABLE
        return Verdict.MATCHING

    def answer_headers(self, head: AnswerHead) -> Sequence[Header]:
        """Return all headers of an answer but those of the connection."""
        return end_to_end(head.headers, frozenset())

    def status(self, head: AnswerHead) -> TargetStatus:
        """Return nothing: the peer applies what its targets report."""
        return TargetStatus()

    def probe_headers(self, address: str) -> Sequence[Header]:
        """Return no headers: peers are not probed."""
        return ()

    def probed_instance(self, head: AnswerHead) -> str | None:
        """Return None: peers are not probed."""
        return None

    def refused_probe(self, head: AnswerHead) -> bool:
        """Return False: peers are not probed."""
        return False


class PeerClient:
    """Pass requests to peers, one after the other on each connection."""

    def __init__(self) -> None:
        self._client = TargetClient(_PeerDialect())
        self._client.set_max_connections(_MAX_CONNECTIONS_PER_PEER)
        self._send_numbers = itertools.count(1)

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._client.opened

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
        """Pass a request to a peer and wait for the head of its answer.

        Parameters
        ----------
        address : str
        request : CallerRequest
        body : RelayBody
        peer_request : PeerRequest
        may_send : callable
            Called once there is a connection; returns whether to pass the request on it.
        on_sent : callable
            Called with the connection on which the request is passed.

        Returns
        -------
        AttemptEnd
            ``Answered`` for any valid :class:`~.peer_forward.PeerResult`, which is the first
            header of the answer; ``NotSent`` if no byte of the request reached the peer.

        Notes
        -----
        If this is cancelled, the connection is closed, and the peer cancels the request.
        """
        fields = {name: getattr(request, name) for name in CallerRequest.__slots__}
        return await self._client.attempt(
            address,
            _ForwardedRequest(
                **fields, peer_request=replace(peer_request, send=next(self._send_numbers))
            ),
            body,
            remaining=peer_request.remaining,
            instance="",
            may_send=may_send,
            on_status=lambda status: None,
            on_sent=on_sent,
            at_most_once=not peer_request.idempotent,
        )
