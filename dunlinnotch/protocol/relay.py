"""What passes between a box and a target for one request, as typed values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from dunlinnotch.protocol.outcome import Reason
    from dunlinnotch.state.heads import AnswerHead, Header
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Address, Seconds


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller, without its body.

    Parameters
    ----------
    request_id : str
        Given by the caller; answers of targets name it.
    method, path, host : str
        ``path`` with its query, as received.
    headers : tuple of Header
        As received.
    arrived : float
        Monotonic seconds at which its head had come.
    deadline : float
        Monotonic seconds at which the caller stops waiting.
    length : int or None
        Bytes in the body; ``None`` if it comes in chunks.
    caller : str
        The caller's IP number.
    """

    request_id: str
    method: str
    path: str
    host: str
    headers: tuple[Header, ...]
    arrived: Seconds
    deadline: Seconds
    length: int | None = 0
    caller: str = ""


class Verdict(Enum):
    """What the head of an answer is to the request that waits for one."""

    #: The answer to this request.
    MATCHING = auto()
    #: The answer to another request; it belongs to nobody here.
    UNRELATED = auto()
    #: The target marked its refusal: this request did not run.
    NOT_RUN = auto()
    #: Another target has the address now; this request did not run.
    WRONG_TARGET = auto()
    #: No answer that a caller may be given.
    UNUSABLE = auto()


class TargetDialect(Protocol):
    """How targets are spoken to: headers and paths, no decisions."""

    def request_headers(
        self, request: CallerRequest, *, remaining: Seconds, instance: str
    ) -> Sequence[Header]:
        """Return the headers of a request passed on with ``remaining`` seconds to run."""

    def classify(self, head: AnswerHead, request: CallerRequest) -> Verdict:
        """Tell what an answer's head is to a request."""

    def answer_headers(self, head: AnswerHead) -> Sequence[Header]:
        """Return the headers of an answer that go on to the caller."""

    def status(self, head: AnswerHead) -> TargetStatus:
        """Return what a target says of itself beside an answer."""

    def probe_headers(self, address: str) -> Sequence[Header]:
        """Return the headers of a probe."""

    def probed_instance(self, head: AnswerHead) -> str | None:
        """Return which target answered a probe; ``None`` if it was no such answer."""

    def refused_probe(self, head: AnswerHead) -> bool:
        """Return whether a target turned a probe away without saying which one it is."""


@dataclass(slots=True)
class ProbeResult:
    """A target's answer to a probe, with the connection on which it came.

    Parameters
    ----------
    instance : str or None
        Which target answered; ``None`` if there was no usable answer.
    healthy : bool
        Whether the target calls itself well.
    status : TargetStatus, optional
        What it said beside; ``None`` if there was no answer.
    detail : str
        Why there was no answer.
    link : object, optional
        The connection, taken until it is used or released.
    """

    instance: str | None
    healthy: bool
    status: TargetStatus | None = None
    detail: str = ""
    link: object | None = None


class RelayBody(Protocol):
    """The body of a request on its way to a target."""

    @property
    def complete(self) -> bytes | None:
        """The body if all of it is held, so that it may be sent again."""

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body; raises :class:`~.attempt.BodyCutError` if it is not whole."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the target; ``refused`` if nobody listens there."""

    reason: Reason
    detail: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target said that the request did not run; ``wrong_target`` if it is another target."""

    status: int
    wrong_target: bool


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes may have reached the target and no usable answer came."""

    reason: Reason
    detail: str
    status: int = 0


class RelayAnswer(Protocol):
    """An answer whose head has come."""

    head: AnswerHead

    async def read_complete(self, max_bytes: int) -> bytes | None:
        """Read the body if it is at most so long; ``None`` if it is longer."""

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body (what is left of it)."""

    def close(self) -> None:
        """Give the connection back if the answer was read whole, else close it."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of the answer came."""

    answer: RelayAnswer


AttemptEnd = NotSent | NotRun | Broken | Answered


class TargetPort(Protocol):
    """Probes targets and sends them requests."""

    async def probe(self, address: Address, path: str) -> ProbeResult:
        """Probe a target."""

    def release(self, address: Address, probe_result: ProbeResult) -> None:
        """Give back the connection of a probe that is not used."""

    async def is_gone(self, address: Address) -> bool:
        """Return whether nobody listens at a target's address any more."""

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
        """Send one request and wait for the head of its answer."""


class ReplyPort(Protocol):
    """Where the answer to a caller goes."""

    @property
    def begun(self) -> bool:
        """Whether a head has gone out."""

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Send a head."""

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """End the answer cleanly."""

    def reply(self, status: int, headers: Sequence[Header], body: bytes, phrase: str = "") -> None:
        """Send a whole answer."""
