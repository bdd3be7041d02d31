"""Fingerprints that identify a request when it is sent again under another id."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from dunlinnotch.protocol.relay import CallerRequest


class Fingerprint(NamedTuple):
    """Two hashes of 32 hexadecimal digits that identify a request.

    Parameters
    ----------
    content : str
        Equal for requests of any caller with the same method, host, path, query and body.
    origin : str
        Equal for requests of one caller with the same method, host, path and body,
        whatever their query.

    Notes
    -----
    Ids, other headers and chunked encoding are left out, as they may differ between
    attempts of the same request.
    """

    content: str
    origin: str


def fingerprint(request: CallerRequest, body: bytes | bytearray) -> Fingerprint:
    """Return the fingerprint of a request.

    Parameters
    ----------
    request : CallerRequest
    body : bytes-like
        The body, or the part of it that is buffered.
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
