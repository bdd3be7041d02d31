"""Limits on what a target may send besides the bodies of answers that are passed on.

A body may have any length, as its receiver limits how fast it arrives.  All other bytes of a
target are kept or read without a receiver, so a target that sends them without end would
exhaust the memory, or keep its caller waiting.
"""

from __future__ import annotations

#: Maximum size of what a target sends without completing an answer or sending a byte of its
#: body: heads (also of interim answers), chunk sizes with their extensions, and trailers.
MAX_BYTES_BESIDE_BODY = 64 * 1024
#: Received bytes are counted, and passed to the parser, in parts of at most this size.
COUNTED_PART_BYTES = 64 * 1024
#: Maximum number of headers of an answer.  An answer with more is broken, as the headers that
#: give the length of its body may be among those left out.
MAX_HEADERS = 200
#: Maximum number of answers on a connection during one use: the answers to a probe and to the
#: request after it, a copy of each, and copies from the use before.
MAX_ANSWERS_PER_USE = 8
#: Maximum size of the body of an answer that is dropped.
MAX_DROPPED_BODY_BYTES = 1024 * 1024


class LimitExceededError(Exception):
    """A target has sent more than it may."""


class AnswerLimits:
    """Counts what one connection receives; its methods raise :class:`LimitExceededError`."""

    def __init__(self) -> None:
        self._answers = 0
        self._bytes_beside_body = 0
        self._progressed = False

    def begin_use(self) -> None:
        """Start to count the answers of the next use of the connection."""
        self._answers = 0

    def count_answer(self) -> None:
        """Count an answer that is not an interim one."""
        self._answers += 1
        if self._answers > MAX_ANSWERS_PER_USE:
            msg = f"more than {MAX_ANSWERS_PER_USE} answers, the maximum in one use"
            raise LimitExceededError(msg)

    def note_progress(self) -> None:
        """Note that an answer was completed, or that a part of its body was received."""
        self._progressed = True

    def count_part(self, size: int) -> None:
        """Count a received part, once it has been parsed.

        Parameters
        ----------
        size : int
            Bytes.  Those beside a body are not told apart from those of a body in the same
            part, which sets the count to zero.
        """
        self._bytes_beside_body = 0 if self._progressed else self._bytes_beside_body + size
        self._progressed = False
        if self._bytes_beside_body > MAX_BYTES_BESIDE_BODY:
            msg = f"more than {MAX_BYTES_BESIDE_BODY} bytes, the maximum, without a body or end"
            raise LimitExceededError(msg)


def check_header_count(count: int) -> None:
    """Check the number of headers of an answer."""
    if count > MAX_HEADERS:
        msg = f"an answer has more than {MAX_HEADERS} headers, the maximum"
        raise LimitExceededError(msg)
