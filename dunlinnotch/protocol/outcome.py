"""Results of calls and edits, as typed values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from dunlinnotch._wire import wire
from dunlinnotch.types import Seconds, Version


class Outcome(StrEnum):
    """Whether a request ran, as reported to its caller.

    ``NOT_RUN`` is used only if no byte of the request reached a target or the target
    marked its refusal.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Stable codes of why a call was refused or its outcome is unknown."""

    HEAD_INVALID = "head-invalid"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TIMEOUT = "head-timeout"
    SERVICE_MISSING = "service-missing"
    SERVICE_UNKNOWN = "service-unknown"
    KIND_MISSING = "kind-missing"
    KIND_UNKNOWN = "kind-unknown"
    DEADLINE_INVALID = "deadline-invalid"
    DEADLINE_EXPIRED = "deadline-expired"
    BODY_BROKEN = "body-broken"
    QUEUE_FULL = "queue-full"
    NO_TARGET = "no-target"
    CONNECT_FAILED = "connect-failed"
    TARGETS_RESTING = "targets-resting"
    TARGET_REFUSED = "target-refused"
    TARGET_BROKEN = "target-broken"
    REQUEST_BARRED = "request-barred"
    CALLER_GONE = "caller-gone"
    NO_SETTINGS = "no-settings"
    CATCHING_UP = "catching-up"
    CUT_OFF = "cut-off"
    BOX_DRAINED = "box-drained"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    ONCE_KEY_MISSING = "once-key-missing"
    ONCE_KEY_INVALID = "once-key-invalid"
    ONCE_KEY_EXPIRED = "once-key-expired"
    ONCE_KEY_ELSEWHERE = "once-key-elsewhere"
    ONCE_KEY_KNOWN = "once-key-known"


@wire
@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one call.

    Parameters
    ----------
    outcome : Outcome
    status : int
        HTTP status sent to the caller; 0 if the answer was truncated.
    reason : Reason or None
        ``None`` for a complete answer of the target.
    detail : str, default ""
    retry_after : float or None
        Seconds after which the caller may retry.
    begun : bool, default False
        Whether an answer's head has already been sent to the caller.
    """

    outcome: Outcome
    status: int
    reason: Reason | None = None
    detail: str = ""
    retry_after: Seconds | None = None
    begun: bool = False


class EditStatus(StrEnum):
    """Status of an operator's edit."""

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@wire
@dataclass(frozen=True, slots=True)
class EditResult:
    """Result of one edit.

    Parameters
    ----------
    status : EditStatus
        ``ACCEPTED`` once the edit is active on every box that can serve, ``PENDING`` if
        it is stored but some box has not confirmed it.
    version : int
        Settings version that the edit made, or the newest one known.
    detail : str, default ""
    conflicts : tuple of str
        Settings paths changed by a concurrent edit.
    missing : tuple of str
        Boxes that have not confirmed the version.
    """

    status: EditStatus
    version: Version
    detail: str = ""
    conflicts: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
