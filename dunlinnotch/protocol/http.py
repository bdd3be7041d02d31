"""HTTP heads as typed values, and the headers of this project."""

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
#: Set by targets: a text that changes with each start of the target.
TARGET_INCARNATION = "Dunlinnotch-Target-Incarnation"
#: Set by targets on a refusal that positively did not run.
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
#: Headers that the box sets itself; those of a caller or target are dropped.
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
    """One request of a caller, checked, without its body.

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
        Bytes in the body; ``None`` if sent in chunks.
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


#: Statuses with which a target turns a request away, and may ask for rest.
BACKOFF_STATUSES = frozenset({429, 503})
_SECONDS = re.compile(r"\d{1,9}(?:\.\d{1,9})?", re.ASCII)
#: Rest is granted for at most so long, in seconds: a value that no target means would put
#: it out of use until it starts again.
_MAX_BACKOFF_S = 3600.0


def end_to_end(headers: Iterable[Header], own: frozenset[str]) -> tuple[Header, ...]:
    """Return the headers that pass through a box.

    Parameters
    ----------
    headers : iterable of Header
    own : frozenset of str
        Lower-case names that the box sets itself.
    """
    named = list(headers)
    listed = {
        token.strip().lower()
        for header in named
        if header.name.lower() == "connection"
        for token in header.value.split(",")
    }
    dropped = HOP_BY_HOP | own | listed | {"content-length"}
    return tuple(header for header in named if header.name.lower() not in dropped)


def refusal_headers(result: CallResult) -> tuple[Header, ...]:
    """Return the headers that tell a caller what became of its call."""
    headers = [Header(OUTCOME, result.outcome.value)]
    if result.reason is not None:
        headers.append(Header(REASON, result.reason.value))
    if result.retry_after is not None:
        headers.append(Header("Retry-After", str(max(1, round(result.retry_after)))))
    return tuple(headers)


def requested_backoff(status: int, stated: str | None) -> Seconds:
    """Return for how long a target that turns a request away wants nothing more.

    Parameters
    ----------
    status : int
    stated : str or None
        The value of ``Retry-After``, in seconds; fractions are allowed.

    Returns
    -------
    float
        Seconds, 0 if it asks for none, or for what can't be read.
    """
    if status not in BACKOFF_STATUSES or stated is None:
        return 0.0
    if _SECONDS.fullmatch(stated.strip()) is None:
        return 0.0
    return min(_MAX_BACKOFF_S, float(stated))


__all__ = [
    "AnswerHead",
    "Call",
    "Header",
    "Outcome",
    "Reason",
    "end_to_end",
    "refusal_headers",
    "requested_backoff",
]
