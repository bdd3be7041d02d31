"""HTTP heads as typed values, and the names of this project's headers."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.state.heads import AnswerHead, Header

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dunlinnotch.protocol.outcome import CallResult
    from dunlinnotch.types import Seconds

SERVICE = "Dunlinnotch-Service"
KIND = "Dunlinnotch-Kind"
DEADLINE_MS = "Dunlinnotch-Deadline-Ms"
ONCE_KEY = "Dunlinnotch-Once-Key"
OUTCOME = "Dunlinnotch-Outcome"
REASON = "Dunlinnotch-Reason"
CALL_ID = "Dunlinnotch-Call-Id"
BOX = "Dunlinnotch-Box"
TARGET = "Dunlinnotch-Target"
SETTINGS_VERSION = "Dunlinnotch-Settings-Version"
#: Set by targets: calls in flight there, this one not counted.
LOAD = "Dunlinnotch-Load"
#: Set by targets: running, draining or cold.
TARGET_STATE = "Dunlinnotch-Target-State"
#: Set by targets: a value that differs for each start of the target.
TARGET_INCARNATION = "Dunlinnotch-Target-Incarnation"
#: Set by targets on the refusal of a request that certainly did not run.
REFUSED = "Dunlinnotch-Refused"

#: Headers that belong to one connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
#: Headers that the box sets itself, in lower case; those of a caller or target are dropped.
RESERVED_REQUEST_HEADERS = frozenset({DEADLINE_MS.lower(), CALL_ID.lower(), ONCE_KEY.lower()})
RESERVED_ANSWER_HEADERS = frozenset(
    n.lower()
    for n in (
        OUTCOME,
        REASON,
        BOX,
        TARGET,
        CALL_ID,
        SETTINGS_VERSION,
        LOAD,
        TARGET_STATE,
        TARGET_INCARNATION,
    )
)


@dataclass(frozen=True, slots=True)
class Call:
    """One validated request of a caller, without its body.

    Parameters
    ----------
    call_id : str
    service, kind : str
    method, path : str
    headers : tuple of Header
        End-to-end headers only.
    arrived, deadline : float
        Monotonic seconds.
    idempotency_key : str or None
    length : int or None
        Bytes in the body; ``None`` if it is sent in chunks.
    """

    call_id: str
    service: str
    kind: str
    method: str
    path: str
    headers: tuple[Header, ...]
    arrived: Seconds
    deadline: Seconds
    idempotency_key: str | None = None
    length: int | None = 0


#: Statuses with which a target refuses a request and may request back-off.
BACKOFF_STATUSES = frozenset({429, 503})
_SECONDS_PATTERN = re.compile(r"\d{1,9}(?:\.\d{1,9})?", re.ASCII)
#: Longest back-off that is granted, in seconds: a mistaken value must not take a target out
#: of use until its restart.
_MAX_BACKOFF_S = 3600.0


def is_status(status: int) -> bool:
    """Return whether a number is a status of HTTP."""
    return 100 <= status <= 599


def end_to_end(headers: Iterable[Header], reserved: frozenset[str]) -> tuple[Header, ...]:
    """Return the headers that are passed on by a box.

    Parameters
    ----------
    headers : iterable of Header
    reserved : frozenset of str
        Lower-case names that the box sets itself.
    """
    header_list = list(headers)
    hop_by_hop_tokens = {
        token.strip().lower()
        for header in header_list
        if header.name.lower() == "connection"
        for token in header.value.split(",")
    }
    dropped = HOP_BY_HOP | reserved | hop_by_hop_tokens | {"content-length"}
    return tuple(header for header in header_list if header.name.lower() not in dropped)


def refusal_headers(result: CallResult) -> tuple[Header, ...]:
    """Return the headers that report the result of a call to the caller."""
    headers = [Header(OUTCOME, result.outcome.value)]
    if result.reason is not None:
        headers.append(Header(REASON, result.reason.value))
    if result.retry_after is not None:
        headers.append(Header("Retry-After", str(max(1, round(result.retry_after)))))
    return tuple(headers)


def requested_backoff(status: int, retry_after: str | None) -> Seconds:
    """Return the back-off that a target requests with a refusal.

    Parameters
    ----------
    status : int
    retry_after : str or None
        Value of ``Retry-After``, in seconds; fractions are allowed.

    Returns
    -------
    float
        Seconds; 0 if none is requested or the value is invalid.
    """
    if status not in BACKOFF_STATUSES or retry_after is None:
        return 0.0
    if _SECONDS_PATTERN.fullmatch(retry_after.strip()) is None:
        return 0.0
    return min(_MAX_BACKOFF_S, float(retry_after))


__all__ = [
    "AnswerHead",
    "Call",
    "Header",
    "Outcome",
    "Reason",
    "end_to_end",
    "refusal_headers",
    "is_status",
    "requested_backoff",
]
