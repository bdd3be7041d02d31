"""Results of one attempt to send a call to a target, and the ports that it uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dunlinnotch.protocol.http import AnswerHead, Call
    from dunlinnotch.protocol.outcome import Reason
    from dunlinnotch.types import Address, Seconds


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load and state that a target reports on an answer or a probe.

    Parameters
    ----------
    in_flight : int or None
        Calls in flight at the target, without the one answered; ``None`` if not reported.
    leaving : bool
        Whether the target is draining.
    warming_up : bool
        Whether the target has just started and should receive fewer calls.
    incarnation : str or None
        Differs for each start of the target; ``None`` if not reported.
    backoff : float, default 0.0
        Seconds for which this box must send it no further calls.
    """

    in_flight: int | None = None
    leaving: bool = False
    warming_up: bool = False
    incarnation: str | None = None
    backoff: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the target."""

    reason: Reason
    detail: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The target refused the request and marked the refusal: the request did not run."""

    mark: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes may have reached the target, and no complete head was received."""

    reason: Reason
    detail: str


class AnswerBody(Protocol):
    """The body of an answer, which can be read once."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise :class:`BodyCutError` if it is truncated."""

    def close(self, *, complete: bool) -> None:
        """Reuse the connection if the body was complete, else close it."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of an answer was received."""

    head: AnswerHead
    body: AnswerBody
    report: LoadReport


AttemptResult = NotSent | Refused | Broken | Answered


class BodyCutError(Exception):
    """A body ended before the length that its framing states, or its framing is invalid."""


class RequestBody(Protocol):
    """The body of a caller's request."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise :class:`BodyCutError` if it is truncated."""

    @property
    def replayable(self) -> bool:
        """Whether :meth:`chunks` can yield the body from its start, for the first time or again."""


class ReplySink(Protocol):
    """Sends an answer to the caller."""

    def begin(self, head: AnswerHead, *, target: Address) -> None:
        """Send the head."""

    def send(self, chunk: bytes) -> None:
        """Send a chunk of the body; raise :class:`CallerGoneError` if the caller has gone."""

    def finish(self) -> None:
        """Complete the body."""


class CallerGoneError(Exception):
    """The caller closed its connection or stopped reading."""


class CallerWatch(Protocol):
    """Detects whether the caller of a request has disconnected."""

    def gone(self) -> bool:
        """Return whether the caller has closed its connection."""

    def fileno(self) -> int | None:
        """Return a descriptor that becomes readable when the caller may have disconnected."""


class TargetTransport(Protocol):
    """Sends one call to one target."""

    def attempt(
        self, call: Call, target: Address, body: RequestBody, watch: CallerWatch, *, fresh: bool
    ) -> AttemptResult:
        """Send ``call`` to ``target`` and wait for the head of its answer.

        Parameters
        ----------
        call : Call
        target : str
        body : RequestBody
        watch : CallerWatch
            The attempt is cancelled if the caller disconnects.
        fresh : bool
            Whether to open a new connection rather than reuse an idle one.
        """
