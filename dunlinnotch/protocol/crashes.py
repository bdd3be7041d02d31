"""Reports of requests whose targets crashed, sent between boxes and stored."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

import msgpack

from dunlinnotch.errors import ProtocolError
from dunlinnotch.state.crashes import CrashRecord, ServingSpan

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

#: First item of the message; a heartbeat has a number there.
CRASHES_FORMAT = "ended-1"
_FIELDS = 5
#: Largest integer in a report: boxes add to what they hear, and seconds as floats hold
#: milliseconds only up to about this.
_MAX_INTEGER = 2**53


class ReportedSpan(NamedTuple):
    """A :class:`~dunlinnotch.state.crashes.ServingSpan` in milliseconds."""

    began: int
    ended: int


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crash record of one request, as sent and stored.

    Parameters
    ----------
    request : str
    answers : int
    answered_ms : int
    targets : dict of str to ReportedSpan
        See :class:`~dunlinnotch.state.crashes.CrashRecord`.  In messages between boxes,
        times are ages in milliseconds, as clocks of boxes differ; in the store they are
        milliseconds of the store's clock.
    """

    request: str
    answers: int
    answered_ms: int
    targets: dict[str, ReportedSpan]

    def counted_from(self, moment_ms: int) -> CrashReport:
        """Return the report with each time subtracted from ``moment_ms``.

        Parameters
        ----------
        moment_ms : int
            Present time of a clock in milliseconds.  Ages become times of that clock, and
            times of that clock become ages.
        """
        spans = {
            target: ReportedSpan(moment_ms - span.began, moment_ms - span.ended)
            for target, span in self.targets.items()
        }
        return replace(self, answered_ms=moment_ms - self.answered_ms, targets=spans)


def as_ages(record: CrashRecord, now: Seconds) -> CrashReport:
    """Return a report of a record, with ages.

    Parameters
    ----------
    record : CrashRecord
    now : float
        Seconds of the clock that the record's times come from.
    """
    return CrashReport(
        record.request,
        record.answers,
        _to_ms(now - record.answered_at) if record.answers else 0,
        {
            target: ReportedSpan(_to_ms(now - span.began), _to_ms(now - span.ended))
            for target, span in record.targets.items()
        },
    )


def from_ages(report: CrashReport, now: Seconds) -> CrashRecord:
    """Return the record of a report with ages, by the receiver's clock.

    Notes
    -----
    A negative age counts as 0, so that no crash lies in the future.
    """
    return CrashRecord(
        report.request,
        report.answers,
        _moment_of_age(now, report.answered_ms) if report.answers else -math.inf,
        {
            target: ServingSpan(_moment_of_age(now, span.began), _moment_of_age(now, span.ended))
            for target, span in report.targets.items()
        },
    )


def _to_ms(seconds: Seconds) -> int:
    return round(seconds * 1000)


def _moment_of_age(now: Seconds, age_ms: int) -> Seconds:
    return now - max(0, age_ms) / 1000


def pack_crashes(report: CrashReport) -> bytes:
    """Return a report as bytes."""
    fields = [CRASHES_FORMAT, report.request, report.answers, report.answered_ms, report.targets]
    packed: bytes = msgpack.packb(fields)
    return packed


def unpack_crashes(data: bytes) -> CrashReport:
    """Return a report from bytes.

    Raises
    ------
    ProtocolError
        If the bytes hold anything else.
    """
    try:
        return read_crashes(msgpack.unpackb(data))
    except (ValueError, msgpack.UnpackException) as error:
        msg = f"invalid crash report: {error}"
        raise ProtocolError(msg) from None


def read_crashes(fields: Any) -> CrashReport:  # noqa: ANN401 - checked here
    """Return a report from the fields of a message.

    Raises
    ------
    ProtocolError
        If the number or types of the fields are wrong.
    """
    if not isinstance(fields, list) or len(fields) < _FIELDS or fields[0] != CRASHES_FORMAT:
        msg = f"crash report must be a list of format {CRASHES_FORMAT}, got {fields!r:.80}"
        raise ProtocolError(msg)
    _, request, answers, answered_ms, targets, *_unused = fields
    has_counts = _is_integer(answers) and _is_integer(answered_ms) and answers >= 0
    if not isinstance(request, str) or not has_counts or not _are_spans(targets):
        msg = f"crash report has fields of wrong types or too large: {fields!r:.80}"
        raise ProtocolError(msg)
    spans = {target: ReportedSpan(*span) for target, span in targets.items()}
    return CrashReport(request, answers, answered_ms, spans)


def _are_spans(targets: object) -> bool:
    return isinstance(targets, dict) and all(
        isinstance(target, str) and _is_span(span) for target, span in targets.items()
    )


def _is_span(span: object) -> bool:
    return isinstance(span, list) and len(span) == 2 and all(_is_integer(at) for at in span)


def _is_integer(value: object) -> bool:
    return isinstance(value, int) and abs(value) <= _MAX_INTEGER
