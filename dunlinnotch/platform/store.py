"""The platform's metadata store: read tables, follow their changes, change rows."""

from __future__ import annotations

import base64
import json
import logging
from typing import Any
from urllib.parse import urlencode

from dunlinnotch._logs import event
from dunlinnotch.errors import PlatformUnavailableError, SettingsError
from dunlinnotch.platform import units
from dunlinnotch.protocol.store import HistoryGone, RowsChange, RowsRead
from dunlinnotch.state.table_replica import TableDelta, TableRow
from dunlinnotch.transport.stream.common import find
from dunlinnotch.transport.stream.fetch import Fetched, Fetcher

_OK, _GONE, _NOT_AS_EXPECTED = 200, 410, 412
_PAGE = 500
#: Time for an answer, beyond what a call is asked to wait, in seconds.
_ANSWER_S = 1.0
#: How often the store has come back from a copy; in all its answers.
_ERA = "store-era"
_ERA_DIGITS_MAX = 15

_log = logging.getLogger(__name__)


class PlatformStore:
    """Read and change tables of the store.

    Parameters
    ----------
    address : str
    """

    def __init__(self, address: str) -> None:
        self._fetcher = Fetcher(address)
        self._era: int | None = None

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._fetcher.calls

    @property
    def failures(self) -> int:
        """Calls that got no answer."""
        return self._fetcher.failures

    async def read_table(self, table: str) -> TableDelta:
        """Return all rows of a table.

        Notes
        -----
        The version is that of the first page: what changed between two pages
        comes again by the changes after it.
        """
        rows, first, era = await self._read_pages(table)
        return TableDelta(table, _whole(first, "ver"), True, rows, epoch=era)

    async def read_rows(self, table: str) -> RowsRead:
        """Return all rows of a table, and the store's own time of the first page."""
        rows, first, _ = await self._read_pages(table)
        try:
            return RowsRead(rows, units.seconds(first.get("now"), "now"))
        except SettingsError as error:
            msg = f"/api/rows-get: {error}"
            raise PlatformUnavailableError(msg) from None

    async def change_rows(self, change: RowsChange) -> bool:
        """Change rows of one table; return whether they were as expected."""
        plain = {
            "expected-revision": [
                {**_name(change.table, key), "ver": ver} for key, ver in change.expected.items()
            ],
            "put": [
                {**_name(change.table, key), "value": base64.b64encode(value).decode()}
                for key, value in change.put.items()
            ],
            "remove": [_name(change.table, key) for key in change.remove],
        }
        body = json.dumps(plain).encode()
        answer = await self._fetcher.fetch("POST", "/api/rows-tx", body=body, timeout=_ANSWER_S)
        self._note_era(answer)
        if answer.status == _NOT_AS_EXPECTED:
            return False
        _read(answer, "/api/rows-tx")
        return True

    async def _read_pages(
        self, table: str
    ) -> tuple[tuple[TableRow, ...], dict[str, Any], int | None]:
        """Return all rows of a table, the first page as it came, and the era of all pages."""
        rows: list[TableRow] = []
        first: dict[str, Any] | None = None
        era = self._era
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(_PAGE)}
            if start:
                query["from"] = start
            plain = await self._get("/api/rows-get", query, _ANSWER_S)
            page = [_read_row(row) for row in plain.get("rows", ())]
            rows += [row for row in page if row.key != start or not start]
            if first is None:
                first, era = plain, self._era
            if self._era != era:
                msg = f"/api/rows-get: the store came back from a copy while {table!r} was read"
                raise PlatformUnavailableError(msg)
            if not plain.get("more") or not page:
                return tuple(rows), first, era
            start = page[-1].key

    async def changes(self, table: str, after: int, wait: float) -> TableDelta | HistoryGone:
        """Return what changed after a version, waiting for a change that long."""
        query = {"table": table, "after": str(after), "wait-ms": str(int(wait * 1000))}
        answer = await self._fetch("/api/rows-feed", query, wait + _ANSWER_S)
        era = self._note_era(answer)
        if answer.status == _GONE:
            return HistoryGone()
        plain = _read(answer, "/api/rows-feed")
        rows = tuple(_read_row(row) for row in plain.get("rows", ()))
        return TableDelta(table, _whole(plain, "ver"), False, rows, epoch=era)

    async def _get(self, path: str, query: dict[str, str], timeout: float) -> dict[str, Any]:
        answer = await self._fetch(path, query, timeout)
        self._note_era(answer)
        return _read(answer, path)

    async def _fetch(self, path: str, query: dict[str, str], timeout: float) -> Fetched:
        return await self._fetcher.fetch("GET", f"{path}?{urlencode(query)}", timeout=timeout)

    def _note_era(self, answer: Fetched) -> int | None:
        """Return the era that an answer tells; the last one told, if any, where it tells none."""
        stated = find(answer.headers, _ERA)
        if stated is not None:
            if stated.isascii() and stated.isdigit() and len(stated) <= _ERA_DIGITS_MAX:
                self._era = int(stated)
            else:
                event(_log, "era-unreadable", level=logging.WARNING, received=stated[:40])
        return self._era


def _name(table: str, key: str) -> dict[str, str]:
    """Return how a row is named; the platform calls a row's key ``tls-key``."""
    return {"table": table, "part": "", "tls-key": key}


def _read(answer: Fetched, path: str) -> dict[str, Any]:
    if answer.status != _OK:
        msg = f"{path}: status {answer.status}"
        raise PlatformUnavailableError(msg)
    try:
        plain = json.loads(answer.body)
    except ValueError as error:
        msg = f"{path}: no JSON: {error}"
        raise PlatformUnavailableError(msg) from None
    if not isinstance(plain, dict):
        msg = f"{path}: no table"
        raise PlatformUnavailableError(msg)
    return plain


def _read_row(plain: Any) -> TableRow:  # noqa: ANN401 - checked here
    try:
        value = None if plain.get("gone") else base64.b64decode(plain["value"])
        return TableRow(str(plain["tls-key"]), int(plain["ver"]), value)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        msg = f"a row can't be read: {error!r}; received {plain!r:.80}"
        raise PlatformUnavailableError(msg) from None


def _whole(plain: dict[str, Any], name: str) -> int:
    value = plain.get(name)
    if not isinstance(value, int):
        msg = f"{name} = {value!r}: a whole number is needed"
        raise PlatformUnavailableError(msg)
    return value
