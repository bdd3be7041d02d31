"""A stand-in for the platform: table service, object store and list of boxes.

Run as ``python -m dunlinnotch.standins.platform --listen HOST:PORT --faults HOST:PORT``.  The
fault port accepts ``POST /faults`` with a :class:`PlatformFaults` and
``PUT /boxes`` with the list of boxes to return.
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
from dunlinnotch.standins.common import (
    read_body,
    run_until_signal,
    send_json,
    serve,
    with_error_answers,
)

if TYPE_CHECKING:
    from dunlinnotch.transport.exchange import Exchange


@wire
@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults of the platform.

    Parameters
    ----------
    down : bool
        Close each connection without an answer.
    slow_s : float
        Delay of each answer, in seconds.
    lose_answers : int
        Number of transactions whose answers are lost; the transactions still take effect.
    stale : bool
        Serve reads from a copy of the table made when the fault was set.
    list_frozen : bool
        Return the list of boxes as it was when the fault was set.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    stale: bool = False
    list_frozen: bool = False


@dataclass(slots=True)
class Store:
    """Rows, objects and the list of boxes, with the active faults."""

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
        """Replace the active faults."""
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

    def visible_rows(self) -> dict[str, Row]:
        """Count a read and return the rows that it sees."""
        self.reads += 1
        return self.stale_rows if self.faults.stale else self.rows

    def read(self, key: str) -> Row | None:
        """Return a row, or None if there is none."""
        with self.lock:
            return self.visible_rows().get(key)

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return rows in the order of their keys.

        Parameters
        ----------
        prefix : str
            Only rows whose keys start with it.
        after : str
            Only rows whose keys are greater.
        limit : int
            Maximum number of rows.
        """
        with self.lock:
            rows = self.visible_rows()
            keys = sorted(key for key in rows if key.startswith(prefix) and key > after)
            return [rows[key] for key in keys[:limit]]

    def transact(self, transaction: Transaction) -> TransactResult:
        """Apply all puts of a transaction, or none if one of its version checks fails."""
        with self.lock:
            self.writes += 1
            for check in transaction.checks:
                row = self.rows.get(check.key)
                if (row.version if row else 0) != check.version:
                    return TransactResult.CONFLICT
            for put in transaction.puts:
                previous = self.rows.get(put.key)
                version = previous.version + 1 if previous else 1
                self.rows[put.key] = Row(put.key, version, put.value)
            return TransactResult.COMMITTED

    def consume_lost_answer(self) -> bool:
        """Return whether to lose the answer to a write, and count down if so."""
        with self.lock:
            lose = self.faults.lose_answers > 0
            if lose:
                self.faults = replace(self.faults, lose_answers=self.faults.lose_answers - 1)
            return lose


class PlatformHandler:
    """Serve the HTTP interface of the platform.

    Parameters
    ----------
    store : Store
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    def __call__(self, exchange: Exchange) -> None:
        """Serve one request; close the connection without an answer if a fault requires it."""
        faults = self._store.faults
        body = read_body(exchange)
        if faults.slow_s:
            time.sleep(faults.slow_s)
        if faults.down:
            return
        url = urlsplit(exchange.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/objects/"):
            self._serve_object(exchange, unquote(url.path.removeprefix("/objects/")), body)
        elif url.path == "/table/transact":
            self._transact(exchange, _codec.from_json(Transaction, body))
        elif url.path == "/table/row":
            row = self._store.read(query.get("key", ""))
            send_json(exchange, 200 if row else 404, row)
        elif url.path == "/table/rows":
            limit = int(query.get("limit", "100"))
            rows = self._store.scan(query.get("prefix", ""), query.get("after", ""), limit)
            send_json(exchange, 200, rows)
        elif url.path == "/boxes":
            send_json(exchange, 200, self._store.listed_boxes)
        else:
            send_json(
                exchange,
                400,
                f"unknown path {url.path}: expected /objects/NAME, /table/transact, /table/row, "
                "/table/rows or /boxes",
            )

    def _transact(self, exchange: Exchange, transaction: Transaction) -> None:
        result = self._store.transact(transaction)
        if self._store.consume_lost_answer():
            return
        send_json(exchange, 200 if result is TransactResult.COMMITTED else 409, result)

    def _serve_object(self, exchange: Exchange, name: str, body: bytes) -> None:
        if exchange.method == "PUT":
            self._store.objects[name] = body
            send_json(exchange, 200, "stored")
            return
        data = self._store.objects.get(name)
        exchange.reply(200 if data is not None else 404, [], data or b"")


def serve_faults(store: Store, exchange: Exchange) -> None:
    """Serve the fault port: apply a change, then answer with the counts of reads and writes."""
    body = read_body(exchange)
    if exchange.path == "/boxes":
        store.set_boxes(_codec.from_json(tuple[ListedBox, ...], body))
    elif exchange.path == "/faults":
        store.set_faults(_codec.from_json(PlatformFaults, body))
    send_json(exchange, 200, {"reads": store.reads, "writes": store.writes})


def main() -> None:
    """Run the stand-in until it receives a signal to terminate."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform.")
    parser.add_argument("--listen", required=True, help="HOST:PORT")
    parser.add_argument("--faults", required=True, help="HOST:PORT of the fault port")
    arguments = parser.parse_args()
    store = Store()
    serve(with_error_answers(PlatformHandler(store)), arguments.listen)
    serve(with_error_answers(lambda exchange: serve_faults(store, exchange)), arguments.faults)
    run_until_signal()


if __name__ == "__main__":
    main()
