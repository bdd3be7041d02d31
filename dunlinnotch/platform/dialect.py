"""HTTP headers of the platform, in requests of clients and in answers of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.protocol.http import BACKOFF_STATUSES, end_to_end, requested_backoff
from dunlinnotch.protocol.relay import CallerRequest, Verdict
from dunlinnotch.state.heads import Header
from dunlinnotch.state.target_status import TargetReport, TargetStatus
from dunlinnotch.transport.sends import UNNAMED
from dunlinnotch.transport.stream.common import find_header

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
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"

_MISDIRECTED = 421
#: Statuses that clients take as a guarantee that the request did not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Headers of requests that are replaced by the box.
_SET_BY_BOX = frozenset({DEADLINE.lower(), EXPECT_INSTANCE.lower()})
#: Headers of answers that are not passed on to clients.
_INTERNAL_HEADERS = frozenset({LOAD.lower(), NOT_RUN.lower(), INSTANCE.lower(), LEAVING.lower()})
#: Deadline of a request without a deadline header, in seconds.
_DEFAULT_DEADLINE_S = 10.0
_MAX_DIGITS = 9
_USUAL_LATENCY_PERCENT = 100.0


def read_request(exchange: Exchange) -> CallerRequest | None:
    """Return the request of a client, or None if a header is missing or invalid."""
    host = exchange.header("host")
    deadline_ms = exchange.header(DEADLINE.lower())
    if host is None or not exchange.header(REQUEST_ID.lower()):
        return None
    deadline = _DEFAULT_DEADLINE_S
    if deadline_ms is not None:
        if not _is_integer(deadline_ms):
            return None
        deadline = int(deadline_ms) / 1000
    return CallerRequest(
        request_id=exchange.header(REQUEST_ID.lower()) or "",
        method=exchange.method,
        path=exchange.path,
        host=host,
        headers=tuple(exchange.headers),
        arrived=exchange.arrived,
        deadline=exchange.arrived + deadline,
        length=exchange.length,
        caller=exchange.remote_ip,
    )


class WorkerDialect:
    """Translate requests to workers and their answers."""

    def request_headers(
        self, request: CallerRequest, *, remaining: float, instance: str
    ) -> Sequence[Header]:
        """Return the headers of a forwarded request that has ``remaining`` seconds to run."""
        headers = list(end_to_end(request.headers, _SET_BY_BOX))
        headers.append(Header(DEADLINE, str(max(1, int(remaining * 1000)))))
        headers.append(Header(EXPECT_INSTANCE, instance))
        return headers

    def send_key(self, request: CallerRequest) -> str:
        """Return the id of a request, which its answer carries."""
        return request.request_id

    def named_send(self, head: AnswerHead) -> str | None:
        """Return the request id in an answer, or what :data:`UNNAMED` answers name."""
        request_id = _request_id(head)
        if request_id is not None:
            return request_id
        answers_probe = self.probed_instance(head) is not None and head.status != _MISDIRECTED
        return UNNAMED if answers_probe or self.refused_probe(head) else None

    def classify(self, head: AnswerHead) -> Verdict:
        """Classify the head of the answer to a request."""
        if head.status == _MISDIRECTED:
            return Verdict.WRONG_TARGET
        if find_header(head.headers, NOT_RUN.lower()) is not None:
            return Verdict.NOT_RUN
        if _request_id(head) is None:
            return Verdict.UNUSABLE
        if 200 <= head.status < 300 and find_header(head.headers, SEAL.lower()) is None:
            return Verdict.UNUSABLE
        if head.status in _NOT_RUN_STATUSES or head.status < 200:
            # Passed on, the status would guarantee to the client that the request did not run,
            # which the worker has not stated.
            return Verdict.UNUSABLE
        return Verdict.MATCHING

    def answer_headers(self, head: AnswerHead) -> Sequence[Header]:
        """Return the headers of an answer that are passed on to the client."""
        return end_to_end(head.headers, _INTERNAL_HEADERS)

    def status(self, head: AnswerHead) -> TargetStatus:
        """Return the load, back-off and leaving state that a worker reports in an answer."""
        leaving = find_header(head.headers, LEAVING.lower()) == "1"
        backoff = requested_backoff(head.status, find_header(head.headers, RETRY_AFTER.lower()))
        return TargetStatus(_report(head), backoff, leaving)

    def probe_headers(self, address: str) -> Sequence[Header]:
        """Return the headers of a health check."""
        return (Header("Host", address),)

    def probed_instance(self, head: AnswerHead) -> str | None:
        """Return the id of the worker that answered a health check, or ``None``.

        Notes
        -----
        ``None`` stands for an answer that does not belong to a health check.
        """
        if _request_id(head) is not None:
            return None
        return find_header(head.headers, INSTANCE.lower())

    def refused_probe(self, head: AnswerHead) -> bool:
        """Return whether a worker refused a health check because of overload."""
        # Answers to requests carry the id of the request.
        return head.status in BACKOFF_STATUSES and _request_id(head) is None


def _request_id(head: AnswerHead) -> str | None:
    """Return the id of the request that an answer names, or None if it names none."""
    return find_header(head.headers, REQUEST_ID.lower()) or None


def _is_integer(text: str) -> bool:
    """Return whether a header is an integer of ASCII digits without a sign."""
    return text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS


def _report(head: AnswerHead) -> TargetReport | None:
    """Return the load reported in an answer; ``None`` if it is missing or invalid."""
    load = find_header(head.headers, LOAD.lower())
    if load is None:
        return None
    numbers = [part.strip() for part in load.split(",")]
    if len(numbers) < 3 or not all(_is_integer(number) for number in numbers):
        return None
    latency_ratio = int(numbers[3]) / _USUAL_LATENCY_PERCENT if len(numbers) > 3 else 1.0
    return TargetReport(int(numbers[0]), int(numbers[1]), int(numbers[2]), latency_ratio)
