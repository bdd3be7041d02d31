"""Requests, answers and probes between a box and a target, as typed values."""

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
        Set by the caller; answers of targets carry it.
    method, path, host : str
        ``path`` with its query, as received.
    headers : tuple of Header
        As received.
    arrived : float
        Monotonic seconds at which its head was received.
    deadline : float
        Monotonic seconds at which the caller stops waiting.
    length : int or None
        Bytes in the body; ``None`` if it is sent in chunks.
    caller : str
        IP address of the caller.
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
    """What the head of the answer to a request means."""

    #: The answer may be passed to the caller.
    MATCHING = auto()
    #: A refusal that the target marked as such: this request did not run.
    NOT_RUN = auto()
    #: Another target uses the address now; this request did not run.
    WRONG_TARGET = auto()
    #: An answer that must not be passed to a caller.
    UNUSABLE = auto()


class TargetDialect(Protocol):
    """Headers of a protocol between boxes and targets; it makes no decisions."""

    def request_headers(
        self, request: CallerRequest, *, remaining: Seconds, instance: str
    ) -> Sequence[Header]:
        """Return the headers of a request passed on with ``remaining`` seconds to run."""

    def send_key(self, request: CallerRequest) -> str:
        """Return what the answer to a request names; it tells the answer from all others."""

    def named_send(self, head: AnswerHead) -> str | None:
        """Return what an answer names.

        Returns
        -------
        str or None
            The empty text if it may answer a probe, which answers name by nothing; ``None``
            if it names nothing and answers no probe.
        """

    def classify(self, head: AnswerHead) -> Verdict:
        """Classify the head of the answer to a request."""

    def answer_headers(self, head: AnswerHead) -> Sequence[Header]:
        """Return the headers of an answer that are passed to the caller."""

    def status(self, head: AnswerHead) -> TargetStatus:
        """Return the status of the target that an answer carries."""

    def probe_headers(self, address: str) -> Sequence[Header]:
        """Return the headers of a probe."""

    def probed_instance(self, head: AnswerHead) -> str | None:
        """Return the instance id in the answer to a probe; ``None`` if it has none."""

    def refused_probe(self, head: AnswerHead) -> bool:
        """Return whether a target refused a probe without stating its instance id."""


@dataclass(slots=True)
class ProbeResult:
    """A target's answer to a probe, with the connection on which it came.

    Parameters
    ----------
    instance : str or None
        Id of the target that answered; ``None`` if there was no usable answer.
    healthy : bool
        Whether the target reports itself healthy.
    status : TargetStatus, optional
        Status that the answer carried; ``None`` if there was no answer.
    detail : str, default ""
        Why there was no answer.
    link : object, optional
        The connection, reserved until it is used or released.
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
        """The body if all of it is buffered, so that it can be sent again; else ``None``."""

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body; raise :class:`~.attempt.BodyCutError` if it is truncated."""


@dataclass(frozen=True, slots=True)
class SendPosition:
    """On which connection a request was sent, for the log.

    Parameters
    ----------
    connection : int
        Number of the connection in this process.
    position : int
        Which send on that connection it was, health checks included; 1 is the first.
    """

    connection: int = 0
    position: int = 0


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request reached the target.

    Parameters
    ----------
    reason : Reason
    detail : str
    refused : bool, default False
        Whether no process listens at the address.
    """

    reason: Reason
    detail: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target reported that the request did not run.

    Parameters
    ----------
    status : int
    wrong_target : bool
        Whether another target uses the address now.
    """

    status: int
    wrong_target: bool


@dataclass(frozen=True, slots=True)
class Broken:
    """Bytes may have reached the target, and no usable answer was received."""

    reason: Reason
    detail: str
    status: int = 0


class RelayAnswer(Protocol):
    """An answer whose head was received."""

    head: AnswerHead

    async def read_complete(self, max_bytes: int) -> bytes | None:
        """Return the complete body, or ``None`` if it is longer than ``max_bytes``."""

    def parts(self) -> AsyncIterator[bytes]:
        """Yield all of the body that :meth:`read_complete` has not returned."""

    def close(self) -> None:
        """Reuse the connection if the answer was read completely, else close it."""


@dataclass(frozen=True, slots=True)
class Answered:
    """The head of the answer was received."""

    answer: RelayAnswer


AttemptEnd = NotSent | NotRun | Broken | Answered


class TargetPort(Protocol):
    """Sends probes and requests to targets."""

    async def probe(self, address: Address, path: str) -> ProbeResult:
        """Probe a target."""

    def release(self, address: Address, probe_result: ProbeResult) -> None:
        """Release the connection of a probe, if it was not used for a request."""

    async def is_gone(self, address: Address) -> bool:
        """Return whether no process listens at a target's address any more."""

    async def check_path(self, address: Address) -> bool:
        """Return whether a connection to a target opens; nothing is sent on it."""

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
        """Send one request and wait for the head of its answer."""


class ReplyPort(Protocol):
    """Sends the answer to a caller."""

    @property
    def begun(self) -> bool:
        """Whether a head has been sent."""

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Send a head."""

    async def send(self, part: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """Complete the answer."""

    def reply(self, status: int, headers: Sequence[Header], body: bytes, phrase: str = "") -> None:
        """Send a complete answer."""
