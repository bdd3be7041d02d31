"""What one attempt at one target came to, as values."""

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
    """What a target says of itself on an answer or a probe.

    Parameters
    ----------
    in_flight : int or None
        Calls in flight there besides the one answered.
    leaving : bool
    warming_up : bool
    incarnation : str or None
        Changes with each start of the target.
    backoff : float, default 0.0
        Seconds for which it wants nothing more from this box.
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
    """The target marked its refusal: the request did not run."""

    mark: str
    report: LoadReport


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes may have reached the target and no whole head came back."""

    reason: Reason
    detail: str


class AnswerBody(Protocol):
    """The body of an answer, read once."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise :class:`BodyCutError` if it is not whole."""

    def close(self, *, complete: bool) -> None:
        """Give the connection back if the body was whole, else close it."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of an answer came back."""

    head: AnswerHead
    body: AnswerBody
    report: LoadReport


AttemptResult = NotSent | Refused | Broken | Answered


class BodyCutError(Exception):
    """A body ended before its framing said so, or broke its framing."""


class RequestBody(Protocol):
    """The body of a caller's request."""

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise :class:`BodyCutError` if it is not whole."""

    @property
    def replayable(self) -> bool:
        """Whether :meth:`chunks` may be called (again) from the start."""


class ReplySink(Protocol):
    """Where an answer to the caller goes."""

    def begin(self, head: AnswerHead, *, target: Address) -> None:
        """Send the head."""

    def send(self, chunk: bytes) -> None:
        """Send a part of the body; raise :class:`CallerGoneError` if nobody reads it."""

    def finish(self) -> None:
        """End the body cleanly."""


class CallerGoneError(Exception):
    """The caller closed its connection or stopped reading."""


class CallerWatch(Protocol):
    """Tells whether the caller of a request is still there."""

    def gone(self) -> bool:
        """Return whether the caller has closed its connection."""

    def fileno(self) -> int | None:
        """Return a descriptor that turns readable when the caller may have gone."""


class TargetTransport(Protocol):
    """Carries one request to one target."""

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
            A caller that goes cancels the attempt.
        fresh : bool
            Whether to open a new connection rather than reuse an idle one.
        """
