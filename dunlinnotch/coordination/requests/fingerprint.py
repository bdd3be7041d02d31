"""Tell whether two requests are the same one, asked again under another id."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from dunlinnotch.protocol.relay import CallerRequest


def fingerprint(request: CallerRequest, body: bytes | bytearray) -> str:
    """Return a text that is equal for equal requests of one caller.

    Parameters
    ----------
    request : CallerRequest
        Caller, method, host, path with query and stated length count; its id and other
        headers, which change with each attempt, do not.
    body : bytes-like
        The body, or the part of it that is held.

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    told = f"{request.caller}\0{request.method}\0{request.host}\0{request.path}\0{request.length}\0"
    hasher = xxhash.xxh3_128(told.encode("utf-8", "surrogateescape"))
    hasher.update(body)
    digits: str = hasher.hexdigest()
    return digits
