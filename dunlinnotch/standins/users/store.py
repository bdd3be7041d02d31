"""The metadata store of the platform: rows, transactions, feeds, objects and faults."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

from dunlinnotch.state.heads import Header
from dunlinnotch.transport.stream.server import StreamServer

if TYPE_CHECKING:
    from dunlinnotch.transport.stream.server import Exchange
    from dunlinnotch.types import Seconds

_EPOCH_HEADER = "Store-Era"
_MAX_ROWS_PER_READ = 500
_MAX_FEED_WAIT_MS = 30_000
_MAX_TRANSACTION_ENTRIES = 100
_NO_ANSWER_DELAY_S = 3600.0
#: Tables that only operators and workers write.
_READ_ONLY_TABLES = frozenset({"servers", "op"})


class StoreFault(StrEnum):
    """How the store fails."""

    NONE = "none"
    #: Answers 503.
    BUSY = "busy"
    #: Answers 429.
    MANY = "many"
    #: Resets the connection.
    RESET = "reset"
    #: Never answers.
    SILENT = "silent"


@dataclass(slots=True)
class StoredRow:
    """One version of a row; ``value`` is None if this version removed the row."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class _WriteRecord:
    """One write: of a row, or of an object if ``row`` is None; ``data`` None removes it."""

    written_at: Seconds
    row: StoredRow | None = None
    name: str = ""
    data: bytes | None = None


@dataclass(slots=True)
class StoreFaults:
    """The active faults.

    Parameters
    ----------
    fault : StoreFault
        Fault for all clients.
    fault_by_ip : dict of str to StoreFault
        Faults for clients with these IP addresses, in place of ``fault``.
    answer_delay_s : float
        Additional delay of each answer, in seconds.
    lose_answers : int
        Number of transactions to apply without an answer.
    """

    fault: StoreFault = StoreFault.NONE
    fault_by_ip: dict[str, StoreFault] = field(default_factory=dict)
    answer_delay_s: float = 0.0
    lose_answers: int = 0


class StoreStandin:
    """Serve the store's protocol on a loopback address.

    Attributes
    ----------
    faults : StoreFaults
    calls : int
        Number of requests received, including those that failed because of a fault.
    calls_by_ip : dict of str to int
        The same by IP address of the client.
    epoch : int
        Incremented each time the store is restored from a backup; sent with all answers.
    address : str
        As ``host:port``; empty until the store is started.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.epoch = 1
        self.calls = 0
        self.calls_by_ip: dict[str, int] = {}
        self.address = ""
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._history: list[StoredRow] = []
        self._writes: list[_WriteRecord] = []
        self._objects: dict[str, bytes] = {}
        self._version = 0
        self._history_start = 0
        self._changed = asyncio.Event()
        self._server: StreamServer | None = None

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Start to listen; return the address."""
        self._server = StreamServer(self._serve)
        self.address = await self._server.listen(address)
        return self.address

    async def close(self) -> None:
        """Close the server and its connections."""
        if self._server is not None:
            await self._server.close()

    # Operations of operators and workers

    def put(self, table: str, key: str, value: object, part: str = "") -> int:
        """Write a row as an operator or a worker does; return its version."""
        self._version += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._store_row(StoredRow(table, part, key, data, self._version))
        return self._version

    def remove(self, table: str, key: str, part: str = "") -> int:
        """Remove a row; return the version of the removal."""
        self._version += 1
        self._store_row(StoredRow(table, part, key, None, self._version))
        return self._version

    def value(self, table: str, key: str, part: str = "") -> object:
        """Return the value of a row, decoded from JSON; None if there is no such row."""
        row = self._rows.get((table, part, key))
        return None if row is None or row.value is None else json.loads(row.value)

    def keys(self, table: str, part: str = "") -> set[str]:
        """Return the keys of the rows in one partition of a table."""
        rows = self._rows.values()
        return {r.key for r in rows if (r.table, r.part) == (table, part) and r.value is not None}

    def drop_history(self) -> None:
        """Drop the history of changes, so that feeds from an earlier version receive 410."""
        self._history_start = self._version
        self._history.clear()
        self._notify_feeds()

    @property
    def now(self) -> Seconds:
        """Time of the store's clock, in seconds; a restore does not set it back."""
        return asyncio.get_running_loop().time()

    def restore_backup(self, backup_time: Seconds) -> None:
        """Restore a backup made at an earlier time and start a new epoch.

        Parameters
        ----------
        backup_time : float
            In seconds of the store's clock; later writes are lost.

        Notes
        -----
        Versions continue from that of the backup, so versions of lost writes are issued again.
        Lost rows are not rewritten here; operators and workers must do that.
        """
        restored = [write for write in self._writes if write.written_at <= backup_time]
        self.epoch += 1
        self._rows.clear()
        self._objects.clear()
        self._version = 0
        for write in restored:
            self._apply(write)
        self._writes = restored
        self._history = [row for row in self._history if row.version <= self._version]
        self._history_start = min(self._history_start, self._version)
        self._notify_feeds()

    def _store_row(self, row: StoredRow) -> None:
        self._write(_WriteRecord(self.now, row))
        self._history.append(row)
        self._notify_feeds()

    def _write(self, write: _WriteRecord) -> None:
        self._writes.append(write)
        self._apply(write)

    def _apply(self, write: _WriteRecord) -> None:
        row = write.row
        if row is not None:
            self._rows[(row.table, row.part, row.key)] = row
            self._version = max(self._version, row.version)
        elif write.data is None:
            self._objects.pop(write.name, None)
        else:
            self._objects[write.name] = write.data

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Protocol

    async def _serve(self, exchange: Exchange) -> None:
        client_ip = exchange.remote_ip
        self.calls += 1
        self.calls_by_ip[client_ip] = self.calls_by_ip.get(client_ip, 0) + 1
        fault = self.faults.fault_by_ip.get(client_ip, self.faults.fault)
        if fault is not StoreFault.NONE:
            await self._fail(exchange, fault)
            return
        if self.faults.answer_delay_s:
            await asyncio.sleep(self.faults.answer_delay_s)
        body = b"".join([chunk async for chunk in exchange.body()])
        path, _, query = exchange.path.partition("?")
        args = {name: values[0] for name, values in parse_qs(query).items()}
        call = (exchange.method, path)
        if call == ("GET", "/api/rows-get"):
            self._answer(exchange, 200, self._read(args))
        elif call == ("GET", "/api/rows-feed"):
            await self._feed(exchange, args)
        elif call == ("GET", "/api/rows-parts"):
            self._answer(exchange, 200, self._parts(args))
        elif call == ("POST", "/api/rows-tx"):
            await self._transact(exchange, json.loads(body))
        elif path.startswith("/api/blob-"):
            await self._serve_object(exchange, path, args, body)
        else:
            self._answer(exchange, 404, {})

    async def _fail(self, exchange: Exchange, fault: StoreFault) -> None:
        if fault is StoreFault.BUSY:
            self._reply(exchange, 503, b"")
        elif fault is StoreFault.MANY:
            self._reply(exchange, 429, b"")
        elif fault is StoreFault.RESET:
            exchange.abort()
        else:
            await asyncio.sleep(_NO_ANSWER_DELAY_S)

    def _answer(self, exchange: Exchange, status: int, content: dict[str, Any]) -> None:
        now = f"{round(self.now * 1000)}ms"
        content = {**content, "ver": content.get("ver", self._version), "now": now}
        self._reply(exchange, status, json.dumps(content).encode(), content_type="application/json")

    def _reply(
        self, exchange: Exchange, status: int, body: bytes, *, content_type: str = "text/plain"
    ) -> None:
        headers = (Header("Content-Type", content_type), Header(_EPOCH_HEADER, str(self.epoch)))
        exchange.reply(status, headers, body)

    def _read(self, args: dict[str, str]) -> dict[str, Any]:
        part, start = args.get("part", ""), args.get("from", "")
        end = args.get("target-version")
        limit = min(_MAX_ROWS_PER_READ, int(args.get("limit", _MAX_ROWS_PER_READ)))
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if row.table == args.get("table")
                and row.part == part
                and row.value is not None
                and row.key >= start
                and (end is None or row.key < end)
            ),
            key=lambda row: row.key.encode(),
        )
        return {"rows": [_encode_row(row) for row in rows[:limit]], "more": len(rows) > limit}

    def _parts(self, args: dict[str, str]) -> dict[str, Any]:
        parts = {r.part for r in self._rows.values() if r.table == args.get("table") and r.value}
        return {"parts": sorted(p for p in parts if p > args.get("after", ""))[:1000]}

    async def _feed(self, exchange: Exchange, args: dict[str, str]) -> None:
        after = int(args["after"])
        wait = min(_MAX_FEED_WAIT_MS, int(args.get("wait-ms", "0"))) / 1000
        deadline = self.now + wait
        while True:
            if not self._history_start <= after <= self._version:
                self._answer(exchange, 410, {})
                return
            rows = [r for r in self._history if r.version > after and r.table == args.get("table")]
            remaining = deadline - self.now
            if rows or remaining <= 0:
                self._answer(exchange, 200, {"rows": [_encode_row(row) for row in rows]})
                return
            changed = self._changed
            try:
                async with asyncio.timeout(remaining):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, exchange: Exchange, transaction: dict[str, Any]) -> None:
        expected = transaction.get("expected-revision", [])
        puts, removes = transaction.get("put", []), transaction.get("remove", [])
        entries = [*expected, *puts, *removes]
        if (
            len(entries) > _MAX_TRANSACTION_ENTRIES
            or len({entry.get("part", "") for entry in entries}) > 1
        ):
            self._answer(exchange, 400, {})
            return
        if any(entry["table"] in _READ_ONLY_TABLES for entry in [*puts, *removes]):
            self._answer(exchange, 403, {})
            return
        current = [self._rows.get(_key(entry)) for entry in expected]
        versions = [0 if row is None or row.value is None else row.version for row in current]
        if versions != [entry["ver"] for entry in expected]:
            rows = [
                _encode_row(row) for row in current if row is not None and row.value is not None
            ]
            self._answer(exchange, 412, {"rows": rows})
            return
        self._version += 1
        for entry in puts:
            value = base64.b64decode(entry["value"])
            self._store_row(StoredRow(*_key(entry), value, self._version))
        for entry in removes:
            self._store_row(StoredRow(*_key(entry), None, self._version))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await asyncio.sleep(_NO_ANSWER_DELAY_S)
        self._answer(exchange, 200, {})

    async def _serve_object(
        self, exchange: Exchange, path: str, args: dict[str, str], body: bytes
    ) -> None:
        verb, _, name = path.removeprefix("/api/blob-").partition("/")
        name = unquote(name)
        if verb == "put" and exchange.header("if-none-match") == "*" and name in self._objects:
            self._answer(exchange, 412, {})
        elif verb == "put":
            self._write(_WriteRecord(self.now, name=name, data=body))
            self._answer(exchange, 200, {})
        elif verb == "get" and name in self._objects:
            self._reply(exchange, 200, self._objects[name], content_type="application/octet-stream")
        elif verb == "drop":
            self._write(_WriteRecord(self.now, name=name))
            self._answer(exchange, 200, {})
        elif verb == "list":
            names = sorted(n for n in self._objects if n.startswith(args.get("path-prefix", "")))
            self._answer(exchange, 200, {"names": names[:1000], "more": len(names) > 1000})
        else:
            self._answer(exchange, 404, {})


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return (entry["table"], entry.get("part", ""), entry["tls-key"])


def _encode_row(row: StoredRow) -> dict[str, Any]:
    content: dict[str, Any] = {
        "table": row.table,
        "part": row.part,
        "tls-key": row.key,
        "ver": row.version,
    }
    if row.value is None:
        content["gone"] = True
    else:
        content["value"] = base64.b64encode(row.value).decode()
    return content
