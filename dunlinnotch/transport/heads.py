"""Read and write HTTP heads strictly: no form that two parsers may read differently."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Protocol

from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    from collections.abc import Sequence

HEADERS_MAX = 100

_TOKEN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
_BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(rb"^[0-9]{1,15}$")
_SINGLE = frozenset({b"content-length", b"transfer-encoding", b"host"})


class HeadError(ValueError):
    """A request head that must not be passed on."""


class StrictHeaderReader:
    """Read header lines, refusing any form that two parsers may read differently.

    Attributes
    ----------
    lines : list of Header
        All header lines as received.
    """

    def __init__(self) -> None:
        self.lines: list[Header] = []

    def __call__(self, rfile: _LineReader, hdict: dict[bytes, bytes]) -> dict[bytes, bytes]:
        """Fill ``hdict``; raise :class:`HeadError` on a bad line."""
        self.lines = []
        while True:
            line = rfile.readline()
            if line == b"\r\n":
                break
            name, value = _split_line(line)
            if name in hdict and name.lower() in _SINGLE:
                msg = f"header {name.decode()} is given twice"
                raise HeadError(msg)
            hdict[name] = value if name not in hdict else hdict[name] + b", " + value
            self.lines.append(Header(name.decode(), value.decode("latin-1")))
            if len(self.lines) > HEADERS_MAX:
                msg = f"more than {HEADERS_MAX} headers"
                raise HeadError(msg)
        _check_framing(hdict)
        return hdict


class _LineReader(Protocol):
    def readline(self) -> bytes: ...


def _split_line(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(b"\r\n"):
        msg = "a header line does not end with CRLF"
        raise HeadError(msg)
    name, colon, value = line[:-2].partition(b":")
    if not colon or not _TOKEN.match(name):
        msg = f"header name {name[:40]!r} is not a token followed by a colon"
        raise HeadError(msg)
    value = value.strip(b" \t")
    if _BAD_VALUE.search(value):
        msg = f"header {name.decode()} holds a control character"
        raise HeadError(msg)
    return name.title(), value


def _check_framing(hdict: dict[bytes, bytes]) -> None:
    length = hdict.get(b"Content-Length")
    coding = hdict.get(b"Transfer-Encoding")
    if length is not None and coding is not None:
        msg = "both Content-Length and Transfer-Encoding are given"
        raise HeadError(msg)
    if length is not None and not _LENGTH.match(length):
        msg = f"Content-Length {length[:40]!r} is not a number"
        raise HeadError(msg)
    if coding is not None and coding.lower() != b"chunked":
        msg = f"Transfer-Encoding {coding[:40]!r} is not 'chunked'"
        raise HeadError(msg)


def format_head(
    status: int, phrase: str, headers: Sequence[Header], *, length: int | None
) -> bytes:
    """Return an answer's head as bytes; without a length the body is chunked."""
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{header.name}: {header.value}" for header in headers]
    lines.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
