"""Tell whether two requests are the same one, asked again under another id."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from dunlinnotch.protocol.relay import CallerRequest


class Fingerprint(NamedTuple):
    """Two texts of 32 hexadecimal digits by which a request is known again.

    Parameters
    ----------
    content : str
        Equal for requests of any caller with the same method, host, path, query and body.
    origin : str
        Equal for requests of one caller with the same method, host, path and body,
        whatever their query.

    Notes
    -----
    Ids, other headers, and whether a body comes in chunks change between attempts.
    """

    content: str
    origin: str


def fingerprint(request: CallerRequest, body: bytes | bytearray) -> Fingerprint:
    """Return by what a request is known again.

    Parameters
    ----------
    request : CallerRequest
    body : bytes-like
        The body, or the part of it that is held.
    """
    host = request.host.lower()
    path = request.path.partition("?")[0]
    return Fingerprint(
        _digits(("content", request.method, host, request.path), body),
        _digits(("origin", request.caller, request.method, host, path), body),
    )


def _digits(parts: tuple[str, ...], body: bytes | bytearray) -> str:
    hasher = xxhash.xxh3_128("\0".join(parts).encode("utf-8", "surrogateescape") + b"\0")
    hasher.update(body)
    digits: str = hasher.hexdigest()
    return digits
