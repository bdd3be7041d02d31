"""Client of the metadata store of the platform: read tables, follow changes, write rows."""

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
from dunlinnotch.transport.stream.common import find_header
from dunlinnotch.transport.stream.fetch import FetchedAnswer, Fetcher

_OK, _HISTORY_GONE, _PRECONDITION_FAILED = 200, 410, 412
_ROWS_PER_PAGE = 500
#: Timeout of a call, beyond the time for which the store is asked to wait, in seconds.
_ANSWER_TIMEOUT_S = 1.0
#: Header of all answers that holds the epoch of the store: it rises whenever the store is
#: restored from a backup, after which versions are issued again.
_EPOCH_HEADER = "store-era"
_MAX_EPOCH_DIGITS = 15
#: Limit for keys in log lines, which other writers of the store control.
_MAX_LOGGED_KEY_CHARS = 80

_log = logging.getLogger(__name__)


class PlatformStore:
    """Read and change tables of the store.

    Parameters
    ----------
    address : str
        IP address and port of the store.

    Notes
    -----
    Each method raises :class:`~dunlinnotch.errors.PlatformUnavailableError` if no usable
    answer comes in time.
    """

    def __init__(self, address: str) -> None:
        self._fetcher = Fetcher(address)
        self._epoch: int | None = None

    @property
    def calls(self) -> int:
        """Number of calls made so far."""
        return self._fetcher.calls

    @property
    def failures(self) -> int:
        """Number of calls that got no answer."""
        return self._fetcher.failures

    async def read_table(self, table: str) -> TableDelta:
        """Return all rows of a table.

        Notes
        -----
        The version is that of the first page, so rows that change while later pages are read
        are received again with the changes after that version.
        """
        rows, first, epoch = await self._read_pages(table)
        return TableDelta(table, _read_integer(first, "ver"), True, rows, epoch=epoch)

    async def read_rows(self, table: str) -> RowsRead:
        """Return all rows of a table, and the time of the store at the first page."""
        rows, first, _ = await self._read_pages(table)
        try:
            return RowsRead(rows, units.seconds(first.get("now"), "now"))
        except SettingsError as error:
            msg = f"/api/rows-get: {error}"
            raise PlatformUnavailableError(msg) from None

    async def change_rows(self, change: RowsChange) -> bool:
        """Change rows of one table; return False if their versions were not as expected."""
        content = {
            "expected-revision": [
                {**_row_id(change.table, key), "ver": ver} for key, ver in change.expected.items()
            ],
            "put": [
                {**_row_id(change.table, key), "value": base64.b64encode(value).decode()}
                for key, value in change.put.items()
            ],
            "remove": [_row_id(change.table, key) for key in change.remove],
        }
        body = json.dumps(content).encode()
        answer = await self._fetcher.fetch(
            "POST", "/api/rows-tx", body=body, timeout=_ANSWER_TIMEOUT_S
        )
        self._record_epoch(answer)
        if answer.status == _PRECONDITION_FAILED:
            return False
        _parse_answer(answer, "/api/rows-tx")
        return True

    async def _read_pages(
        self, table: str
    ) -> tuple[tuple[TableRow, ...], dict[str, Any], int | None]:
        """Return all rows of a table, the JSON of the first page, and the epoch of all pages."""
        rows: list[TableRow] = []
        first: dict[str, Any] | None = None
        epoch = self._epoch
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(_ROWS_PER_PAGE)}
            if start:
                query["from"] = start
            content = await self._get("/api/rows-get", query, _ANSWER_TIMEOUT_S)
            page = _parse_rows(content)
            rows += [row for row in page if row.key != start or not start]
            if first is None:
                first, epoch = content, self._epoch
            if self._epoch != epoch:
                msg = f"/api/rows-get: the epoch of the store changed while {table!r} was read"
                raise PlatformUnavailableError(msg)
            if not content.get("more") or not content.get("rows"):
                return tuple(rows), first, epoch
            if not page or page[-1].key <= start:
                msg = f"/api/rows-get: the page from key {start!r} of {table!r} does not go on"
                raise PlatformUnavailableError(msg)
            start = page[-1].key

    async def changes(self, table: str, after: int, wait: float) -> TableDelta | HistoryGone:
        """Return the changes after a version, waiting up to ``wait`` seconds for one."""
        query = {"table": table, "after": str(after), "wait-ms": str(int(wait * 1000))}
        answer = await self._fetch("/api/rows-feed", query, wait + _ANSWER_TIMEOUT_S)
        epoch = self._record_epoch(answer)
        if answer.status == _HISTORY_GONE:
            return HistoryGone()
        content = _parse_answer(answer, "/api/rows-feed")
        rows = tuple(_parse_rows(content))
        return TableDelta(table, _read_integer(content, "ver"), False, rows, epoch=epoch)

    async def _get(self, path: str, query: dict[str, str], timeout: float) -> dict[str, Any]:
        answer = await self._fetch(path, query, timeout)
        self._record_epoch(answer)
        return _parse_answer(answer, path)

    async def _fetch(self, path: str, query: dict[str, str], timeout: float) -> FetchedAnswer:
        return await self._fetcher.fetch("GET", f"{path}?{urlencode(query)}", timeout=timeout)

    def _record_epoch(self, answer: FetchedAnswer) -> int | None:
        """Return the epoch in an answer, or the last known one if it has no valid epoch."""
        value = find_header(answer.headers, _EPOCH_HEADER)
        if value is not None:
            if value.isascii() and value.isdigit() and len(value) <= _MAX_EPOCH_DIGITS:
                self._epoch = int(value)
            else:
                event(_log, "era-unreadable", level=logging.WARNING, received=value[:40])
        return self._epoch


def _row_id(table: str, key: str) -> dict[str, str]:
    """Return the JSON that identifies a row; the platform calls its key ``tls-key``."""
    return {"table": table, "part": "", "tls-key": key}


def _parse_answer(answer: FetchedAnswer, path: str) -> dict[str, Any]:
    """Return the JSON object in an answer with status 200; raise an error for any other."""
    if answer.status != _OK:
        msg = f"{path}: status {answer.status}"
        raise PlatformUnavailableError(msg)
    try:
        content = json.loads(answer.body)
    except ValueError as error:
        msg = f"{path}: invalid JSON: {error}"
        raise PlatformUnavailableError(msg) from None
    if not isinstance(content, dict):
        msg = f"{path}: a JSON object is needed; received {type(content).__name__}"
        raise PlatformUnavailableError(msg)
    return content


def _parse_rows(content: dict[str, Any]) -> list[TableRow]:
    """Return the rows in an answer, which may have none, without those of unusable keys.

    Notes
    -----
    A key that UTF-8 can't hold can be sent neither to the store nor to peers.
    """
    rows = content.get("rows", [])
    if not isinstance(rows, list):
        msg = f"rows = {rows!r:.80}: a list is needed"
        raise PlatformUnavailableError(msg)
    parsed = [_parse_row(row) for row in rows]
    return [row for row in parsed if _is_usable(row.key)]


def _is_usable(key: str) -> bool:
    """Return whether UTF-8 can hold a key; log one that it can't."""
    try:
        key.encode()
    except UnicodeEncodeError as error:
        event(
            _log,
            "row-unusable",
            level=logging.ERROR,
            key=key[:_MAX_LOGGED_KEY_CHARS],
            detail=str(error),
        )
        return False
    return True


def _parse_row(content: Any) -> TableRow:  # noqa: ANN401 - checked here
    try:
        value = None if content.get("gone") else base64.b64decode(content["value"])
        return TableRow(str(content["tls-key"]), int(content["ver"]), value)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        msg = f"invalid row: {error!r}; received {content!r:.80}"
        raise PlatformUnavailableError(msg) from None


def _read_integer(content: dict[str, Any], name: str) -> int:
    value = content.get(name)
    if not isinstance(value, int):
        msg = f"{name} = {value!r}: an integer is needed"
        raise PlatformUnavailableError(msg)
    return value
