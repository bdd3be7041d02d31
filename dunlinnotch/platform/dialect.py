"""The platform's headers, on requests of callers and on answers of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.protocol.http import BACKOFF_STATUSES, end_to_end, requested_backoff
from dunlinnotch.protocol.relay import CallerRequest, Verdict
from dunlinnotch.state.heads import Header
from dunlinnotch.state.target_status import TargetReport, TargetStatus
from dunlinnotch.transport.stream.common import find

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.state.heads import AnswerHead
    from dunlinnotch.transport.stream.server import Exchange

REQUEST_ID = "Attempt-Id"
DEADLINE = "Deadline-Ms"
SEAL = "Response-Seal"
EXPECT_INSTANCE = "Expect-Instance"
LOAD = "Instance-Load"
NOT_RUN = "Not-Executed"
INSTANCE = "Instance-Id"
REST = "Retry-After"
LEAVING = "Server-Leaving"

_MISDIRECTED = 421
#: Statuses that a client takes for a promise that the request has not run.
_PROMISES = frozenset({408, 421, 429, 503})
_SET_BY_SYSTEM = frozenset({DEADLINE.lower(), EXPECT_INSTANCE.lower()})
_FOR_SYSTEM = frozenset({LOAD.lower(), NOT_RUN.lower(), INSTANCE.lower(), LEAVING.lower()})
#: Deadline of a request that states none, in seconds.
_DEFAULT_DEADLINE_S = 10.0
_DIGITS_MAX = 9
_USUAL_SLOWNESS = 100.0


def read_request(exchange: Exchange) -> CallerRequest | None:
    """Return a client's request, or None if its headers make none."""
    host = exchange.header("host")
    stated = exchange.header(DEADLINE.lower())
    if host is None or exchange.header(REQUEST_ID.lower()) is None:
        return None
    deadline = _DEFAULT_DEADLINE_S
    if stated is not None:
        if not _is_number(stated):
            return None
        deadline = int(stated) / 1000
    return CallerRequest(
        request_id=exchange.header(REQUEST_ID.lower()) or "",
        method=exchange.method,
        path=exchange.path,
        host=host,
        headers=tuple(exchange.headers),
        arrived=exchange.arrived,
        deadline=exchange.arrived + deadline,
        length=exchange.length,
        caller=exchange.remote,
    )


class WorkerDialect:
    """How workers are spoken to."""

    def request_headers(
        self, request: CallerRequest, *, remaining: float, instance: str
    ) -> Sequence[Header]:
        """Return the headers of a request passed on with ``remaining`` seconds to run."""
        headers = list(end_to_end(request.headers, _SET_BY_SYSTEM))
        headers.append(Header(DEADLINE, str(max(1, int(remaining * 1000)))))
        headers.append(Header(EXPECT_INSTANCE, instance))
        return headers

    def classify(self, head: AnswerHead, request: CallerRequest) -> Verdict:
        """Tell what an answer's head is to a request."""
        named = find(head.headers, REQUEST_ID.lower())
        if named is not None and named != request.request_id:
            return Verdict.UNRELATED
        if named is None and find(head.headers, INSTANCE.lower()) and head.status != _MISDIRECTED:
            return Verdict.UNRELATED  # The answer to a health check.
        if head.status == _MISDIRECTED:
            return Verdict.WRONG_TARGET
        if find(head.headers, NOT_RUN.lower()) is not None:
            return Verdict.NOT_RUN
        if named is None:
            return Verdict.UNUSABLE
        if 200 <= head.status < 300 and find(head.headers, SEAL.lower()) is None:
            return Verdict.UNUSABLE
        if head.status in _PROMISES or head.status < 200:
            # It would promise the client what the worker did not.
            return Verdict.UNUSABLE
        return Verdict.MATCHING

    def answer_headers(self, head: AnswerHead) -> Sequence[Header]:
        """Return the headers of an answer that go on to the client."""
        return end_to_end(head.headers, _FOR_SYSTEM)

    def status(self, head: AnswerHead) -> TargetStatus:
        """Return what a worker says of itself beside an answer."""
        leaving = find(head.headers, LEAVING.lower()) == "1"
        rest = requested_backoff(head.status, find(head.headers, REST.lower()))
        return TargetStatus(_report(head), rest, leaving)

    def probe_headers(self, address: str) -> Sequence[Header]:
        """Return the headers of a health check."""
        return (Header("Host", address),)

    def probed_instance(self, head: AnswerHead) -> str | None:
        """Return which worker answered a health check; ``None`` if it was no such answer."""
        if find(head.headers, REQUEST_ID.lower()) is not None:
            return None
        return find(head.headers, INSTANCE.lower())

    def refused_probe(self, head: AnswerHead) -> bool:
        """Return whether a worker turned a health check away as it does requests."""
        # What answers a request carries its id.
        of_request = find(head.headers, REQUEST_ID.lower()) is not None
        return head.status in BACKOFF_STATUSES and not of_request


def _is_number(text: str) -> bool:
    """Return whether a header holds a whole number; other digits than 0 to 9 are none."""
    return text.isascii() and text.isdigit() and len(text) <= _DIGITS_MAX


def _report(head: AnswerHead) -> TargetReport | None:
    """Return the load that an answer tells; ``None`` if it tells none that can be read."""
    stated = find(head.headers, LOAD.lower())
    if stated is None:
        return None
    figures = [part.strip() for part in stated.split(",")]
    if len(figures) < 3 or not all(_is_number(figure) for figure in figures):
        return None
    slowness = int(figures[3]) / _USUAL_SLOWNESS if len(figures) > 3 else 1.0
    return TargetReport(int(figures[0]), int(figures[1]), int(figures[2]), slowness)
