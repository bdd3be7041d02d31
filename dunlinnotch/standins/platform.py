"""A stand-in for the platform: table service, object store, list of boxes.

Run as ``python -m dunlinnotch.standins.platform --listen HOST:PORT --faults HOST:PORT``.  The
fault port takes ``POST /faults`` with a :class:`PlatformFaults` and
``PUT /boxes`` with the list to show.
"""

from __future__ import annotations

import argparse
import threading
import time
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, unquote, urlsplit

from dunlinnotch import _codec
from dunlinnotch._wire import wire
from dunlinnotch.protocol.platform import ListedBox, Row, Transaction, TransactResult
from dunlinnotch.standins.common import body_of, guarded, run_until_signal, send, serve

if TYPE_CHECKING:
    from dunlinnotch.transport.exchange import Exchange


@wire
@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """What goes wrong at the platform.

    Parameters
    ----------
    down : bool
        No request is answered.
    slow_s : float
        Delay of each answer, in seconds.
    lose_answers : int
        So many writes take effect, and their answers are lost.
    stale : bool
        Reads show the table as it was when this was set.
    list_frozen : bool
        The list of boxes stays as it was when this was set.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    stale: bool = False
    list_frozen: bool = False


@dataclass(slots=True)
class Store:
    """Rows, objects and the list of boxes, with the faults in force."""

    rows: dict[str, Row] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    boxes: tuple[ListedBox, ...] = ()
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    stale_rows: dict[str, Row] = field(default_factory=dict)
    listed_boxes: tuple[ListedBox, ...] = ()
    reads: int = 0
    writes: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Put faults in force."""
        with self.lock:
            self.faults = faults
            self.stale_rows = dict(self.rows)
            if not faults.list_frozen:
                self.listed_boxes = self.boxes

    def set_boxes(self, boxes: tuple[ListedBox, ...]) -> None:
        """Set the list of boxes."""
        with self.lock:
            self.boxes = boxes
            if not self.faults.list_frozen:
                self.listed_boxes = boxes

    def visible(self) -> dict[str, Row]:
        """Return the rows that a read sees."""
        self.reads += 1
        return self.stale_rows if self.faults.stale else self.rows

    def read(self, key: str) -> Row | None:
        """Return a row."""
        with self.lock:
            return self.visible().get(key)

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return rows in the order of their keys."""
        with self.lock:
            rows = self.visible()
            keys = sorted(key for key in rows if key.startswith(prefix) and key > after)
            return [rows[key] for key in keys[:limit]]

    def transact(self, transaction: Transaction) -> TransactResult:
        """Apply all puts, or none if a check fails."""
        with self.lock:
            self.writes += 1
            for check in transaction.checks:
                row = self.rows.get(check.key)
                if (row.version if row else 0) != check.version:
                    return TransactResult.CONFLICT
            for put in transaction.puts:
                old = self.rows.get(put.key)
                version = old.version + 1 if old else 1
                self.rows[put.key] = Row(put.key, version, put.value)
            return TransactResult.COMMITTED

    def consume_lost_answer(self) -> bool:
        """Return whether the answer to a write is lost, using up one."""
        with self.lock:
            lost = self.faults.lose_answers > 0
            if lost:
                self.faults = replace(self.faults, lose_answers=self.faults.lose_answers - 1)
            return lost


class PlatformHandler:
    """Serve the platform's port.

    Parameters
    ----------
    store : Store
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    def __call__(self, exchange: Exchange) -> None:
        """Serve one request, or cut it off if a fault says so."""
        faults = self._store.faults
        body = body_of(exchange)
        if faults.slow_s:
            time.sleep(faults.slow_s)
        if faults.down:
            return
        url = urlsplit(exchange.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/objects/"):
            self._object(exchange, unquote(url.path.removeprefix("/objects/")), body)
        elif url.path == "/table/transact":
            self._transact(exchange, _codec.from_json(Transaction, body))
        elif url.path == "/table/row":
            row = self._store.read(query.get("key", ""))
            send(exchange, 200 if row else 404, row)
        elif url.path == "/table/rows":
            limit = int(query.get("limit", "100"))
            rows = self._store.scan(query.get("prefix", ""), query.get("after", ""), limit)
            send(exchange, 200, rows)
        elif url.path == "/boxes":
            send(exchange, 200, self._store.listed_boxes)
        else:
            send(exchange, 400, f"unknown path {url.path}")

    def _transact(self, exchange: Exchange, transaction: Transaction) -> None:
        result = self._store.transact(transaction)
        if self._store.consume_lost_answer():
            return
        send(exchange, 200 if result is TransactResult.COMMITTED else 409, result)

    def _object(self, exchange: Exchange, name: str, body: bytes) -> None:
        if exchange.method == "PUT":
            self._store.objects[name] = body
            send(exchange, 200, "stored")
            return
        data = self._store.objects.get(name)
        exchange.reply(200 if data is not None else 404, [], data or b"")


def fault_handler(store: Store, exchange: Exchange) -> None:
    """Serve the fault port."""
    body = body_of(exchange)
    if exchange.path == "/boxes":
        store.set_boxes(_codec.from_json(tuple[ListedBox, ...], body))
    elif exchange.path == "/faults":
        store.set_faults(_codec.from_json(PlatformFaults, body))
    send(exchange, 200, {"reads": store.reads, "writes": store.writes})


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform.")
    parser.add_argument("--listen", required=True, help="HOST:PORT")
    parser.add_argument("--faults", required=True, help="HOST:PORT of the fault port")
    arguments = parser.parse_args()
    store = Store()
    serve(guarded(PlatformHandler(store)), arguments.listen)
    serve(guarded(lambda exchange: fault_handler(store, exchange)), arguments.faults)
    run_until_signal()


if __name__ == "__main__":
    main()
