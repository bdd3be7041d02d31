"""Messages of a request that one box has another box send to a target.

A box that can't reach the targets of a service passes the request, unaltered, to a peer that
can.  Both ways, one header that comes before all others holds a msgpack list as base64; a
caller's own header of that name, which comes later, is passed on like any other.
"""

from __future__ import annotations

import base64
import binascii
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import msgpack

from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.types import Seconds

PEER_REQUEST, PEER_RESULT = "Dunlinnotch-Peer-Request", "Dunlinnotch-Peer-Result"
#: Maximum size of the request header, in bytes; added to the limit for a caller's head.
MAX_PEER_REQUEST_BYTES = 4096
_REQUEST_FORMAT = 1
_RESULT_FORMAT = 1
_MS_PER_S = 1000.0
#: Largest number that a message can hold.
_MAX_SEND = 2**64 - 1


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """What the receiving box needs to know to send a request to one target.

    Parameters
    ----------
    key : bytes
        Key of the receiving box's process, from its heartbeats.
    sender : str
        Name of the box that the caller sent the request to.
    caller : str
        IP address of the caller.
    service, kind : str
        As matched by the sender.
    rank : int
        0 is the most urgent.
    idempotent : bool
    target_latency : float
        Seconds, from the caller's first attempt.
    waited : float
        Seconds since the caller's first attempt.
    remaining : float
        Seconds until the sender stops waiting.
    tried : tuple of str
        Names of the targets that the request was already sent to.
    send : int, default 0
        Number of this send, which the result repeats; 0 from a box of a version that has none.
    """

    key: bytes
    sender: str
    caller: str
    service: str
    kind: str
    rank: int
    idempotent: bool
    target_latency: Seconds
    waited: Seconds
    remaining: Seconds
    tried: tuple[str, ...]
    send: int = 0


class PeerOutcome(StrEnum):
    """What became of a request at the receiving box."""

    #: The answer of a target follows.
    ANSWERED = "answered"
    #: It was sent to no target.
    NOT_SENT = "not-sent"
    #: A target refused it, and marked the refusal as not run.
    NOT_RUN = "not-run"
    #: It may have run.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class PeerResult:
    """What became of a request that a box sent to a target for a peer.

    Parameters
    ----------
    outcome : PeerOutcome
    target : str, default ""
        Name of the target that it was sent to.
    crashed : str, default ""
        Start of the target, if it crashed while serving the request.
    status : int, default 0
        Status of a target's answer that is not passed on.
    reason : Reason, optional
    detail : str, default ""
    send : int, default 0
        Number of the send that this is the result of; 0 from a box of a version that has none.
    """

    outcome: PeerOutcome
    target: str = ""
    crashed: str = ""
    status: int = 0
    reason: Reason | None = None
    detail: str = ""
    send: int = 0


def peer_request_header(request: PeerRequest) -> Header:
    """Return the header that precedes those of the caller."""
    fields = [
        _REQUEST_FORMAT,
        request.key,
        request.sender,
        request.caller,
        request.service,
        request.kind,
        request.rank,
        request.idempotent,
        _to_ms(request.target_latency),
        _to_ms(request.waited),
        _to_ms(request.remaining),
        list(request.tried),
        request.send,
    ]
    return Header(PEER_REQUEST, _encode(fields))


def read_peer_request(headers: Sequence[Header]) -> PeerRequest:
    """Return the peer request in the first header.

    Raises
    ------
    ProtocolError
        If the first header is another one, or its value is invalid.
    """
    fields = _decode(headers, PEER_REQUEST, _REQUEST_FORMAT, length=12)
    try:
        return PeerRequest(
            key=bytes(fields[1]),
            sender=str(fields[2]),
            caller=str(fields[3]),
            service=str(fields[4]),
            kind=str(fields[5]),
            rank=int(fields[6]),
            idempotent=bool(fields[7]),
            target_latency=int(fields[8]) / _MS_PER_S,
            waited=int(fields[9]) / _MS_PER_S,
            remaining=int(fields[10]) / _MS_PER_S,
            tried=tuple(str(name) for name in fields[11]),
            send=_read_send(fields[12:]),
        )
    except (TypeError, ValueError, OverflowError) as error:
        msg = f"invalid {PEER_REQUEST}: {error}"
        raise ProtocolError(msg) from None


def peer_result_header(result: PeerResult) -> Header:
    """Return the header that precedes those of the target's answer."""
    fields = [
        _RESULT_FORMAT,
        result.outcome.value,
        result.target,
        result.crashed,
        result.status,
        None if result.reason is None else result.reason.value,
        result.detail[:200],
        result.send,
    ]
    return Header(PEER_RESULT, _encode(fields))


def read_peer_result(headers: Sequence[Header]) -> PeerResult:
    """Return the result in the first header of an answer.

    Raises
    ------
    ProtocolError
        If the first header is another one, or its value is invalid.
    """
    fields = _decode(headers, PEER_RESULT, _RESULT_FORMAT, length=7)
    try:
        return PeerResult(
            outcome=PeerOutcome(fields[1]),
            target=str(fields[2]),
            crashed=str(fields[3]),
            status=int(fields[4]),
            reason=_read_reason(fields[5]),
            detail=str(fields[6]),
            send=_read_send(fields[7:]),
        )
    except (TypeError, ValueError, OverflowError) as error:
        msg = f"invalid {PEER_RESULT}: {error}"
        raise ProtocolError(msg) from None


def _read_send(fields: list[Any]) -> int:
    """Return the number of a send; 0 if the box that sent the message numbers none."""
    send = fields[0] if fields else 0
    if not isinstance(send, int) or not 0 <= send <= _MAX_SEND:
        msg = f"the number of a send is {send!r:.80}; allowed: 0 to {_MAX_SEND}"
        raise ProtocolError(msg)
    return int(send)


def _read_reason(value: Any) -> Reason | None:  # noqa: ANN401 - checked here
    """Return a reason; None for one that a later version may have added."""
    try:
        return Reason(value)
    except ValueError:
        return None


def _encode(fields: list[Any]) -> str:
    return base64.b64encode(msgpack.packb(fields)).decode("ascii")


def _decode(
    headers: Sequence[Header], name: str, expected_format: int, *, length: int
) -> list[Any]:
    value = headers[0].value if headers and headers[0].name.lower() == name.lower() else None
    if value is None:
        msg = f"the first header must be {name}"
        raise ProtocolError(msg)
    try:
        fields = msgpack.unpackb(base64.b64decode(value, validate=True))
    except (binascii.Error, ValueError, msgpack.UnpackException) as error:
        msg = f"invalid {name}: {error}"
        raise ProtocolError(msg) from None
    if not isinstance(fields, list) or len(fields) < length or fields[0] != expected_format:
        msg = f"{name} must be a list of format {expected_format}, got {fields!r:.80}"
        raise ProtocolError(msg)
    return fields


def _to_ms(duration: Seconds) -> int:
    return max(0, int(duration * _MS_PER_S))
