"""A client of the platform's table service and object store over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import urllib3

from dunlinnotch import _codec
from dunlinnotch.errors import PlatformUnavailableError, ProtocolError
from dunlinnotch.protocol.platform import ListedBox, Row, Transaction, TransactResult
from dunlinnotch.transport.limited_answers import limited_pool_manager

if TYPE_CHECKING:
    from dunlinnotch.types import Address, Seconds

T = TypeVar("T")

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
#: Maximum size of the body of an answer.
MAX_BODY_BYTES = 32 * 1024 * 1024


class _PlatformAnswer(NamedTuple):
    """A complete answer."""

    status: int
    data: bytes


class PlatformClient:
    """A client of the platform; implements :class:`dunlinnotch.protocol.platform.Platform`.

    Parameters
    ----------
    address : str
    timeout : float, default 1.0
        Timeout of a request in seconds.

    Notes
    -----
    Each method raises :class:`PlatformUnavailableError` if the platform does
    not answer in time or its answer is invalid.
    """

    def __init__(self, address: Address, *, timeout: Seconds = 1.0) -> None:
        self._base = f"http://{address}"
        self._pool = limited_pool_manager(timeout=urllib3.Timeout(total=timeout))

    def read(self, key: str) -> Row | None:
        """Return a row, which may be stale, or ``None`` if there is none."""
        response = self._request("GET", f"/table/row?{urlencode({'key': key})}")
        return None if response.status == _NOT_FOUND else _decode(Row, response.data)

    def scan(self, prefix: str, *, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows whose keys start with ``prefix`` and follow ``after``."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        return _decode(list[Row], self._request("GET", f"/table/rows?{query}").data)

    def transact(self, transaction: Transaction) -> TransactResult:
        """Apply a transaction, unless it conflicts with the stored rows."""
        response = self._request("POST", "/table/transact", _codec.to_json(transaction))
        if response.status == _CONFLICT:
            return TransactResult.CONFLICT
        return TransactResult.COMMITTED

    def get_object(self, name: str) -> bytes | None:
        """Return the bytes of an object, or ``None`` if there is none."""
        response = self._request("GET", f"/objects/{quote(name, safe='')}")
        return None if response.status == _NOT_FOUND else response.data

    def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        self._request("PUT", f"/objects/{quote(name, safe='')}", data)

    def list_boxes(self) -> list[ListedBox]:
        """Return the boxes that the platform lists as live."""
        return _decode(list[ListedBox], self._request("GET", "/boxes").data)

    def _request(self, method: str, path: str, body: bytes | None = None) -> _PlatformAnswer:
        try:
            response = self._pool.request(
                method, self._base + path, body=body, preload_content=False
            )
            data = response.read(MAX_BODY_BYTES + 1)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            msg = f"request to platform {self._base} failed: {error}"
            raise PlatformUnavailableError(msg) from None
        if len(data) > MAX_BODY_BYTES:
            response.close()
            msg = f"platform {self._base}: the answer exceeds {MAX_BODY_BYTES} bytes, the maximum"
            raise PlatformUnavailableError(msg)
        if response.status not in (_OK, _NOT_FOUND, _CONFLICT):
            msg = f"platform {self._base} answered {response.status}, expected 200, 404 or 409"
            raise PlatformUnavailableError(msg)
        return _PlatformAnswer(response.status, data)


def _decode(cls: type[T], data: bytes) -> T:
    try:
        return _codec.from_json(cls, data)
    except ProtocolError as error:
        raise PlatformUnavailableError(str(error)) from None
