"""The platform's metadata store: rows, transactions, feeds, raw objects, and faults."""

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

_ERA = "Store-Era"
_PAGE = 500
_WAIT_MOST_MS = 30_000
_TX_MOST = 100
_FOREVER_S = 3600.0
#: Tables that the system may not write.
_READ_ONLY = frozenset({"servers", "op"})


class StoreFault(StrEnum):
    """How the store fails."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"


@dataclass(slots=True)
class StoredRow:
    """One row; ``value`` is None once it has been removed."""

    table: str
    part: str
    key: str
    value: bytes | None
    ver: int


@dataclass(frozen=True, slots=True)
class _Written:
    """One thing that was written: a row, or an object if there is no row."""

    at: Seconds
    row: StoredRow | None = None
    name: str = ""
    data: bytes | None = None


@dataclass(slots=True)
class StoreFaults:
    """What goes wrong now.

    Parameters
    ----------
    fault : StoreFault
        For every caller.
    fault_by_ip : dict of str to StoreFault
        For callers with this IP number only.
    answer_delay_s : float
        Further time for each answer.
    lose_answers : int
        So many of the next writes are done and not answered.
    """

    fault: StoreFault = StoreFault.NONE
    fault_by_ip: dict[str, StoreFault] = field(default_factory=dict)
    answer_delay_s: float = 0.0
    lose_answers: int = 0


class StoreStandin:
    """Serve the store's protocol on loopback.

    Attributes
    ----------
    calls : int
        Calls received, refused ones included.
    calls_by_ip : dict of str to int
        The same by caller's IP number.
    epoch : int
        Rises by one each time the store comes back from a copy; told in all answers.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.epoch = 1
        self.calls = 0
        self.calls_by_ip: dict[str, int] = {}
        self.address = ""
        self._rows: dict[tuple[str, str, str], StoredRow] = {}
        self._log: list[StoredRow] = []
        self._written: list[_Written] = []
        self._objects: dict[str, bytes] = {}
        self._ver = 0
        self._history_from = 0
        self._changed = asyncio.Event()
        self._server: StreamServer | None = None

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Begin to listen; return the address."""
        self._server = StreamServer(self._serve)
        self.address = await self._server.listen(address)
        return self.address

    async def close(self) -> None:
        """Stop."""
        if self._server is not None:
            await self._server.close()

    # -- what operators and workers do

    def put(self, table: str, key: str, value: object, part: str = "") -> int:
        """Write a row as the operator or a worker does; return the version."""
        self._ver += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._store(StoredRow(table, part, key, data, self._ver))
        return self._ver

    def remove(self, table: str, key: str, part: str = "") -> int:
        """Remove a row."""
        self._ver += 1
        self._store(StoredRow(table, part, key, None, self._ver))
        return self._ver

    def value(self, table: str, key: str, part: str = "") -> object:
        """Return what a row holds; None if there is none."""
        row = self._rows.get((table, part, key))
        return None if row is None or row.value is None else json.loads(row.value)

    def keys(self, table: str, part: str = "") -> set[str]:
        """Return the keys of the rows of a table."""
        rows = self._rows.values()
        return {r.key for r in rows if (r.table, r.part) == (table, part) and r.value is not None}

    def drop_history(self) -> None:
        """Drop what changed so far; feeds that follow it get 410."""
        self._history_from = self._ver
        self._log.clear()
        self._wake()

    @property
    def now(self) -> Seconds:
        """The store's steady clock; it goes on when the store goes back."""
        return asyncio.get_running_loop().time()

    def restore_backup(self, before: Seconds) -> None:
        """Go on from a copy that holds what was written up to a moment.

        Parameters
        ----------
        before : float
            In seconds of the store's clock; what was written later is lost.

        Notes
        -----
        Versions are given out again from that of the copy on.  Nothing is written
        again by this: operators and workers do that.
        """
        kept = [written for written in self._written if written.at <= before]
        self.epoch += 1
        self._rows.clear()
        self._objects.clear()
        self._ver = 0
        for written in kept:
            self._apply(written)
        self._written = kept
        self._log = [row for row in self._log if row.ver <= self._ver]
        self._history_from = min(self._history_from, self._ver)
        self._wake()

    def _store(self, row: StoredRow) -> None:
        self._write(_Written(self.now, row))
        self._log.append(row)
        self._wake()

    def _write(self, written: _Written) -> None:
        self._written.append(written)
        self._apply(written)

    def _apply(self, written: _Written) -> None:
        row = written.row
        if row is not None:
            self._rows[(row.table, row.part, row.key)] = row
            self._ver = max(self._ver, row.ver)
        elif written.data is None:
            self._objects.pop(written.name, None)
        else:
            self._objects[written.name] = written.data

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # -- the protocol

    async def _serve(self, exchange: Exchange) -> None:
        caller = exchange.remote_ip
        self.calls += 1
        self.calls_by_ip[caller] = self.calls_by_ip.get(caller, 0) + 1
        fault = self.faults.fault_by_ip.get(caller, self.faults.fault)
        if fault is not StoreFault.NONE:
            await self._fail(exchange, fault)
            return
        if self.faults.answer_delay_s:
            await asyncio.sleep(self.faults.answer_delay_s)
        body = b"".join([part async for part in exchange.body()])
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
            await self._object(exchange, path, args, body)
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
            await asyncio.sleep(_FOREVER_S)

    def _answer(self, exchange: Exchange, status: int, plain: dict[str, Any]) -> None:
        now = f"{round(self.now * 1000)}ms"
        plain = {**plain, "ver": plain.get("ver", self._ver), "now": now}
        self._reply(exchange, status, json.dumps(plain).encode(), kind="application/json")

    def _reply(
        self, exchange: Exchange, status: int, body: bytes, *, kind: str = "text/plain"
    ) -> None:
        headers = (Header("Content-Type", kind), Header(_ERA, str(self.epoch)))
        exchange.reply(status, headers, body)

    def _read(self, args: dict[str, str]) -> dict[str, Any]:
        part, start = args.get("part", ""), args.get("from", "")
        until = args.get("target-version")
        limit = min(_PAGE, int(args.get("limit", _PAGE)))
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if row.table == args.get("table")
                and row.part == part
                and row.value is not None
                and row.key >= start
                and (until is None or row.key < until)
            ),
            key=lambda row: row.key.encode(),
        )
        return {"rows": [_plain(row) for row in rows[:limit]], "more": len(rows) > limit}

    def _parts(self, args: dict[str, str]) -> dict[str, Any]:
        found = {r.part for r in self._rows.values() if r.table == args.get("table") and r.value}
        return {"parts": sorted(p for p in found if p > args.get("after", ""))[:1000]}

    async def _feed(self, exchange: Exchange, args: dict[str, str]) -> None:
        after = int(args["after"])
        wait = min(_WAIT_MOST_MS, int(args.get("wait-ms", "0"))) / 1000
        until = self.now + wait
        while True:
            if not self._history_from <= after <= self._ver:
                self._answer(exchange, 410, {})
                return
            rows = [r for r in self._log if r.ver > after and r.table == args.get("table")]
            left = until - self.now
            if rows or left <= 0:
                self._answer(exchange, 200, {"rows": [_plain(row) for row in rows]})
                return
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _transact(self, exchange: Exchange, plain: dict[str, Any]) -> None:
        expected = plain.get("expected-revision", [])
        puts, removes = plain.get("put", []), plain.get("remove", [])
        entries = [*expected, *puts, *removes]
        if len(entries) > _TX_MOST or len({entry.get("part", "") for entry in entries}) > 1:
            self._answer(exchange, 400, {})
            return
        if any(entry["table"] in _READ_ONLY for entry in [*puts, *removes]):
            self._answer(exchange, 403, {})
            return
        found = [self._rows.get(_key(entry)) for entry in expected]
        versions = [0 if row is None or row.value is None else row.ver for row in found]
        if versions != [entry["ver"] for entry in expected]:
            rows = [_plain(row) for row in found if row is not None and row.value is not None]
            self._answer(exchange, 412, {"rows": rows})
            return
        self._ver += 1
        for entry in puts:
            value = base64.b64decode(entry["value"])
            self._store(StoredRow(*_key(entry), value, self._ver))
        for entry in removes:
            self._store(StoredRow(*_key(entry), None, self._ver))
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await asyncio.sleep(_FOREVER_S)
        self._answer(exchange, 200, {})

    async def _object(
        self, exchange: Exchange, path: str, args: dict[str, str], body: bytes
    ) -> None:
        verb, _, name = path.removeprefix("/api/blob-").partition("/")
        name = unquote(name)
        if verb == "put" and exchange.header("if-none-match") == "*" and name in self._objects:
            self._answer(exchange, 412, {})
        elif verb == "put":
            self._write(_Written(self.now, name=name, data=body))
            self._answer(exchange, 200, {})
        elif verb == "get" and name in self._objects:
            self._reply(exchange, 200, self._objects[name], kind="application/octet-stream")
        elif verb == "drop":
            self._write(_Written(self.now, name=name))
            self._answer(exchange, 200, {})
        elif verb == "list":
            names = sorted(n for n in self._objects if n.startswith(args.get("path-prefix", "")))
            self._answer(exchange, 200, {"names": names[:1000], "more": len(names) > 1000})
        else:
            self._answer(exchange, 404, {})


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return (entry["table"], entry.get("part", ""), entry["tls-key"])


def _plain(row: StoredRow) -> dict[str, Any]:
    plain: dict[str, Any] = {
        "table": row.table,
        "part": row.part,
        "tls-key": row.key,
        "ver": row.ver,
    }
    if row.value is None:
        plain["gone"] = True
    else:
        plain["value"] = base64.b64encode(row.value).decode()
    return plain
