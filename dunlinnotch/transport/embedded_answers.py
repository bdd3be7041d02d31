"""Find a second answer inside the head or the body of another.

A target that breaks off an answer and goes on with another one on the same connection leaves
the head of the second inside the first: in a line that was cut, or in a body, where it fills
what was missing.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from dunlinnotch.state.heads import AnswerHead, Header

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EmbeddedAnswerError", "EmbeddedAnswerFinder", "check_head", "check_next_answer"]

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?![0-9])")
_STATUS_LINE_BYTES = len(b"HTTP/1.1 200 ")
_STATUS_CODE = slice(len(b"HTTP/1.1 "), len(b"HTTP/1.1 200"))
#: Start of a status line at the end of a body; a single letter is too common to tell.
_STATUS_LINE_START = re.compile(
    rb"(?:HT|HTT|HTTP|HTTP/|HTTP/1|HTTP/1\.|HTTP/1\.[01]|HTTP/1\.[01] (?:[1-5][0-9]?)?)\Z"
)
#: A head up to any place before its end.
_UNFINISHED_HEAD = re.compile(
    rb"HTTP/1\.[01] [0-9]{3}(?: [^\r\n]*)?(?:\r\n[!-9;-~]+:[^\r\n]*)*(?:\r|\r\n[!-9;-~]*)?\Z"
)
_ANSWER_START = b"HTTP/1."
_HEAD_END = b"\r\n\r\n"
#: Maximum size of a head that is looked at.
_MAX_HEAD_BYTES = 16 * 1024
#: Maximum number of heads in one body that are looked at, which bounds the work for a body.
_MAX_HEADS = 64


class EmbeddedAnswerError(Exception):
    """An answer holds the head of another answer."""


def check_head(head: bytes) -> None:
    """Check that no line of a head goes on with the status line of another answer.

    Parameters
    ----------
    head : bytes
        What follows the status code; parsers join a line that was cut with the next head.

    Raises
    ------
    EmbeddedAnswerError
        If there is another status line.
    """
    if _STATUS_LINE.search(head) is not None:
        msg = "a line of the head was cut, and another answer follows in it"
        raise EmbeddedAnswerError(msg)


def check_next_answer(data: bytes) -> None:
    """Check that what follows an answer begins another one.

    Parameters
    ----------
    data : bytes
        Its first bytes.

    Raises
    ------
    EmbeddedAnswerError
        If it does not: then the end of the answer is that of no answer.
    """
    start = data.lstrip(b"\r\n")[: len(_ANSWER_START)]
    if not _ANSWER_START.startswith(start):
        msg = f"the bytes {data[:40]!r} after the body begin no answer"
        raise EmbeddedAnswerError(msg)


class EmbeddedAnswerFinder:
    """Search a body for the head of another answer.

    Parameters
    ----------
    names_send : callable
        Given the head of an answer, returns whether it answers a send on the same connection.
    is_framed : bool
        Whether a length or chunks mark the end of the body.

    Notes
    -----
    The work is linear in the size of the body.  A body may hold heads that are none of the
    connection's, as text about HTTP does; then only what follows the body, see
    :attr:`is_doubtful`, tells whether it is whole.  Not found: a single missing byte, and what
    fills a gap without being an answer.
    """

    def __init__(self, names_send: Callable[[AnswerHead], bool], *, is_framed: bool) -> None:
        self._names_send = names_send
        self._is_framed = is_framed
        self._tail = b""
        self._head: bytearray | None = None
        self._heads = 0

    @property
    def is_doubtful(self) -> bool:
        """Whether the body received so far may have been completed by another answer."""
        return bool(self._heads) or _STATUS_LINE_START.search(self._tail) is not None

    def check(self, part: bytes) -> None:
        """Check the next part of the body.

        Raises
        ------
        EmbeddedAnswerError
            If the body holds the head of an answer to a send on the same connection, or more
            heads than can be looked at while nothing but the end of the connection ends it.
        """
        data = self._tail + part
        self._tail = b""
        while data:
            data = self._find_status_line(data) if self._head is None else self._read_head(data)

    def finish(self) -> None:
        """Check what is left at the end of the body.

        Raises
        ------
        EmbeddedAnswerError
            As :meth:`check` does, or if the body ends with the connection and within a head,
            which an answer that was cut leaves there.
        """
        if self._head is None:
            return
        self._check_head()
        if not self._is_framed and _UNFINISHED_HEAD.match(self._head) is not None:
            msg = "the body ends within the head of another answer"
            raise EmbeddedAnswerError(msg)

    def _find_status_line(self, data: bytes) -> bytes:
        """Skip to the next status line; return the data from there on."""
        match = _STATUS_LINE.search(data) if self._heads <= _MAX_HEADS else None
        if match is None:
            self._tail = data[-_STATUS_LINE_BYTES:]
            return b""
        self._heads += 1
        if self._heads > _MAX_HEADS and not self._is_framed:
            msg = f"the body holds more than {_MAX_HEADS} heads of answers, the maximum"
            raise EmbeddedAnswerError(msg)
        self._head = bytearray()
        return data[match.start() :]

    def _read_head(self, data: bytes) -> bytes:
        """Add data to the head; return what follows its end."""
        assert self._head is not None
        begin = len(self._head)
        self._head += data[: _MAX_HEAD_BYTES - begin]
        end = self._head.find(_HEAD_END, max(0, begin - len(_HEAD_END)))
        if end >= 0:
            del self._head[end + len(_HEAD_END) :]
        elif len(self._head) < _MAX_HEAD_BYTES:
            return b""
        rest = data[len(self._head) - begin :]
        self._check_head()
        self._head = None
        return rest

    def _check_head(self) -> None:
        assert self._head is not None
        headers = []
        for line in bytes(self._head).split(b"\r\n")[1:]:
            name, colon, value = line.decode("latin-1").partition(":")
            if colon:
                headers.append(Header(name, value.strip(" \t")))
        head = AnswerHead(int(self._head[_STATUS_CODE]), "", tuple(headers), None)
        if self._names_send(head):
            msg = f"the body holds an answer that names a send before it, status {head.status}"
            raise EmbeddedAnswerError(msg)
