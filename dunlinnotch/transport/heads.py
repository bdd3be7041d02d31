"""Parse and format HTTP message heads, rejecting ambiguous syntax.

A head that two parsers may interpret differently allows request smuggling.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Protocol

from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_HEADERS = 100

_TOKEN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTENT_LENGTH = re.compile(rb"^[0-9]{1,15}$")
_NOT_REPEATABLE = frozenset({b"content-length", b"transfer-encoding", b"host"})


class HeadError(ValueError):
    """A request head is invalid or ambiguous and must not be forwarded."""


class StrictHeaderReader:
    """Parse header lines for cheroot, rejecting ambiguous syntax.

    Attributes
    ----------
    lines : list of Header
        All header lines as received.
    """

    def __init__(self) -> None:
        self.lines: list[Header] = []

    def __call__(self, rfile: _LineReader, hdict: dict[bytes, bytes]) -> dict[bytes, bytes]:
        """Parse header lines up to the empty line into ``hdict``.

        Parameters
        ----------
        rfile : _LineReader
        hdict : dict of bytes to bytes
            Receives the headers; names are title-cased, repeated headers joined with commas.

        Returns
        -------
        dict of bytes to bytes
            ``hdict`` itself.

        Raises
        ------
        HeadError
            If a line or the combination of framing headers is invalid.
        """
        self.lines = []
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            name, value = _split_line(line)
            if name in hdict and name.lower() in _NOT_REPEATABLE:
                msg = f"header {name.decode()} is repeated: expected it at most once"
                raise HeadError(msg)
            hdict[name] = value if name not in hdict else hdict[name] + b", " + value
            self.lines.append(Header(name.decode(), value.decode("latin-1")))
            if len(self.lines) > MAX_HEADERS:
                msg = f"more than {MAX_HEADERS} headers"
                raise HeadError(msg)
        _check_framing(hdict)
        return hdict


class _LineReader(Protocol):
    def readline(self) -> bytes: ...


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        msg = "header line invalid: expected it to end with CRLF"
        raise HeadError(msg)
    name, colon, value = line[:-2].partition(b":")
    if not colon or not _TOKEN.match(name):
        msg = f"header name {name[:40]!r} invalid: expected a token followed by a colon"
        raise HeadError(msg)
    value = value.strip(b" \t")
    if _CONTROL_CHARACTER.search(value):
        msg = f"header {name.decode()} contains a control character"
        raise HeadError(msg)
    return name.title(), value


def _check_framing(hdict: dict[bytes, bytes]) -> None:
    length = hdict.get(b"Content-Length")
    coding = hdict.get(b"Transfer-Encoding")
    if length is not None and coding is not None:
        msg = "both Content-Length and Transfer-Encoding are present: expected one of them"
        raise HeadError(msg)
    if length is not None and not _CONTENT_LENGTH.match(length):
        msg = f"Content-Length {length[:40]!r} invalid: expected 1 to 15 digits"
        raise HeadError(msg)
    if coding is not None and coding.lower() != b"chunked":
        msg = f"Transfer-Encoding {coding[:40]!r} not supported: expected 'chunked'"
        raise HeadError(msg)


def format_head(
    status: int, phrase: str, headers: Sequence[Header], *, length: int | None
) -> bytes:
    """Return the head of an answer as bytes.

    Parameters
    ----------
    status : int
    phrase : str
        Reason phrase of the status line; may be empty.
    headers : sequence of Header
    length : int or None
        Value of ``Content-Length``; ``None`` to declare a chunked body instead.
    """
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    lines.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
