"""What boxes tell each other, and keep in the store, of requests that end targets."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

import msgpack

from dunlinnotch.errors import ProtocolError
from dunlinnotch.state.crashes import CrashRecord, ServingSpan

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: First item of the message; the word of a box has a number there.
CRASHES_FORMAT = "ended-1"
_FIELDS = 5


class ReportedSpan(NamedTuple):
    """See :class:`~dunlinnotch.state.crashes.ServingSpan`; in milliseconds."""

    began: int
    ended: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Evidence on one request, as it travels.

    Parameters
    ----------
    request : str
    answers : int
    answered_ms : int
    targets : dict of str to ReportedSpan
        See :class:`~dunlinnotch.state.crashes.CrashRecord`.  Between boxes, times are ages
        in milliseconds, as each box has a clock of its own; in the store they are
        milliseconds of the store's clock.
    """

    request: str
    answers: int
    answered_ms: int
    targets: dict[str, ReportedSpan]

    def counted_from(self, moment_ms: int) -> CrashReport:
        """Return each time as the distance to a moment: moments from ages, or the reverse."""
        spans = {
            target: ReportedSpan(moment_ms - span.began, moment_ms - span.ended)
            for target, span in self.targets.items()
        }
        return replace(self, answered_ms=moment_ms - self.answered_ms, targets=spans)


def as_ages(evidence: CrashRecord, now: Seconds) -> CrashReport:
    """Return evidence with ages for times.

    Parameters
    ----------
    evidence : CrashRecord
    now : float
        By the clock of whoever holds it.
    """
    return CrashReport(
        evidence.request,
        evidence.answers,
        _ms(now - evidence.answered_at) if evidence.answers else 0,
        {
            target: ReportedSpan(_ms(now - span.began), _ms(now - span.ended))
            for target, span in evidence.targets.items()
        },
    )


def from_ages(seen: CrashReport, now: Seconds) -> CrashRecord:
    """Return evidence by the receiver's own clock; nothing was seen in the future."""
    return CrashRecord(
        seen.request,
        seen.answers,
        _moment(now, seen.answered_ms) if seen.answers else -math.inf,
        {
            target: ServingSpan(_moment(now, span.began), _moment(now, span.ended))
            for target, span in seen.targets.items()
        },
    )


def _ms(seconds: Seconds) -> int:
    return round(seconds * 1000)


def _moment(now: Seconds, age_ms: int) -> Seconds:
    return now - max(0, age_ms) / 1000


def pack_crashes(seen: CrashReport) -> bytes:
    """Return evidence as bytes."""
    fields = [CRASHES_FORMAT, seen.request, seen.answers, seen.answered_ms, seen.targets]
    packed: bytes = msgpack.packb(fields)
    return packed


def unpack_crashes(data: bytes) -> CrashReport:
    """Return evidence from bytes.

    Raises
    ------
    ProtocolError
        If they hold anything else.
    """
    try:
        return read_crashes(msgpack.unpackb(data))
    except (ValueError, msgpack.UnpackException) as error:
        msg = f"no evidence on a request: {error}"
        raise ProtocolError(msg) from None


def read_crashes(fields: Any) -> CrashReport:  # noqa: ANN401 - checked here
    """Return evidence from the fields of a message.

    Raises
    ------
    ProtocolError
        If they are not of the agreed number and types.
    """
    if not isinstance(fields, list) or len(fields) < _FIELDS or fields[0] != CRASHES_FORMAT:
        msg = f"no evidence of format {CRASHES_FORMAT}: {fields!r:.80}"
        raise ProtocolError(msg)
    _, request, answers, answered_ms, targets, *_rest = fields
    whole = isinstance(answers, int) and isinstance(answered_ms, int) and answers >= 0
    if not isinstance(request, str) or not whole or not _are_spans(targets):
        msg = f"evidence of the wrong types: {fields!r:.80}"
        raise ProtocolError(msg)
    spans = {target: ReportedSpan(*span) for target, span in targets.items()}
    return CrashReport(request, answers, answered_ms, spans)


def _are_spans(targets: object) -> bool:
    return isinstance(targets, dict) and all(
        isinstance(target, str) and _is_span(span) for target, span in targets.items()
    )


def _is_span(span: object) -> bool:
    return isinstance(span, list) and len(span) == 2 and all(isinstance(at, int) for at in span)
