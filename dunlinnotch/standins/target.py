"""A stand-in for a target: slots, a short queue, and a separate port to inject faults.

Run as ``python -m dunlinnotch.standins.target --listen HOST:PORT --faults HOST:PORT``.  The
answer repeats the ``X-Mark`` header of the request and contains a digest of the request body,
so that a caller can verify that the answer belongs to its request.
"""

from __future__ import annotations

import argparse
import random
import select
import threading
import time
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import xxhash

from dunlinnotch import _codec
from dunlinnotch._wire import wire
from dunlinnotch.protocol import http
from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.standins.common import (
    JSON_CONTENT_TYPE,
    read_body,
    run_until_signal,
    send_json,
    serve,
    with_error_answers,
)
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.probes import HEALTH_PATH

if TYPE_CHECKING:
    from dunlinnotch.transport.exchange import Exchange

MARK_HEADER = "X-Mark"
#: Number of filler bytes to add to the answer.
FILLER_HEADER = "X-Filler"
#: Number of bytes to stream instead of the usual answer.
STREAM_HEADER = "X-Stream"
_STREAM_CHUNK_BYTES = 64 * 1024


@wire
@dataclass(frozen=True, slots=True)
class TargetFaults:
    """Faults of a target.

    Parameters
    ----------
    slowness : float
        Factor applied to the duration of work.
    frozen : bool
        Accept requests, but start none of them until the fault ends or their deadline passes.
    fail : bool
        Answer with status 500 at once, without the header that says that nothing ran.
    refuse : bool
        Refuse requests, with the header that says that they did not run.
    drop : int
        Number of requests to run without an answer: the connection is closed.
    cut : int
        Number of answers to cut off in the middle of the body.
    longer : int
        Number of answers to send with surplus bytes after their end.
    late_s : float
        Delay of each answer after the work, in seconds.
    lie : bool
        Always report a load of 0.
    draining : bool
        Refuse requests and report that the target is draining.
    cold_s : float
        Seconds of warm-up after the fault is set, in which work takes three times as long.
    """

    slowness: float = 1.0
    frozen: bool = False
    fail: bool = False
    refuse: bool = False
    drop: int = 0
    cut: int = 0
    longer: int = 0
    late_s: float = 0.0
    lie: bool = False
    draining: bool = False
    cold_s: float = 0.0


@wire
@dataclass(frozen=True, slots=True)
class TargetReport:
    """Counts of what a target has done, for checks.

    Parameters
    ----------
    runs : dict of str to int
        Number of runs of the request with each mark.
    probes : int
    cancelled : int
        Requests whose caller disconnected before the answer.
    refused : int
    """

    runs: dict[str, int]
    probes: int
    cancelled: int
    refused: int


@wire
@dataclass(frozen=True, slots=True)
class Echo:
    """Body of an answer: the target, and what identifies the request."""

    target: str
    mark: str
    digest: str
    size: int
    filler: str = ""


class Target:
    """A target: runs requests in slots and counts what it does.

    Parameters
    ----------
    name : str
    slots : int, default 6
        Maximum number of requests that run at once.
    queue : int, default 12
        Maximum number of requests that wait for a slot; more are refused.
    work_ms : float, default 6.0
        Mean duration of work, in milliseconds.
    """

    def __init__(self, name: str, *, slots: int = 6, queue: int = 12, work_ms: float = 6.0) -> None:
        self.name = name
        self.incarnation = str(time.time_ns())
        self.faults = TargetFaults()
        self.faults_set_at = time.monotonic()
        self.runs: Counter[str] = Counter()
        self.probes = 0
        self.cancelled = 0
        self.refused = 0
        self._slots = slots
        self._queue = queue
        self._work_ms = work_ms
        self._state = threading.Condition()
        self._in_flight = 0
        self._running = 0

    def set_faults(self, faults: TargetFaults) -> None:
        """Replace the active faults."""
        with self._state:
            self.faults = faults
            self.faults_set_at = time.monotonic()
            self._state.notify_all()

    def report(self) -> TargetReport:
        """Return the counts since the start."""
        return TargetReport(dict(self.runs), self.probes, self.cancelled, self.refused)

    def __call__(self, exchange: Exchange) -> None:
        """Answer one probe, or refuse or run one request."""
        if exchange.path == HEALTH_PATH:
            self.probes += 1
            send_json(exchange, 200, "ok", *self._headers(excluded=0))
            return
        with self._state:
            saturated = self._in_flight >= self._slots + self._queue
            if self.faults.draining or self.faults.refuse or saturated:
                self.refused += 1
                reason = "draining" if self.faults.draining else "shed"
                refusal = (Header(http.REFUSED, reason), *self._headers(excluded=0))
            else:
                refusal = ()
                self._in_flight += 1
        if refusal:
            send_json(exchange, 503, reason, *refusal)
            return
        try:
            self._serve(exchange)
        finally:
            with self._state:
                self._in_flight -= 1
                self._state.notify_all()

    def _serve(self, exchange: Exchange) -> None:
        try:
            hasher = xxhash.xxh64()
            size = 0
            for chunk in exchange.body():
                hasher.update(chunk)
                size += len(chunk)
        except BodyCutError:
            self.cancelled += 1
            return
        mark = exchange.header(MARK_HEADER) or ""
        if self.faults.fail:
            send_json(exchange, 500, "failed", *self._headers(excluded=1))
            return
        deadline = time.monotonic() + int(exchange.header(http.DEADLINE_MS) or "60000") / 1000
        if not self._acquire_slot(exchange, deadline):
            return
        try:
            self.runs[mark] += 1
            completed = self._work(exchange)
        finally:
            with self._state:
                self._running -= 1
                self._state.notify_all()
        if completed:
            filler = "x" * int(exchange.header(FILLER_HEADER) or "0")
            self._answer(exchange, Echo(self.name, mark, hasher.hexdigest(), size, filler))

    def _acquire_slot(self, exchange: Exchange, deadline: float) -> bool:
        with self._state:
            acquired = self._state.wait_for(
                lambda: self._running < self._slots and not self.faults.frozen,
                timeout=max(0.0, deadline - time.monotonic()),
            )
            if acquired:
                self._running += 1
                return True
        self.refused += 1
        send_json(
            exchange, 503, "deadline", Header(http.REFUSED, "deadline"), *self._headers(excluded=1)
        )
        return False

    def _work(self, exchange: Exchange) -> bool:
        """Sleep for the duration of the work; return False if the caller disconnects first."""
        seconds = random.expovariate(1.0) * self._work_ms / 1000 * self.faults.slowness
        if self._is_warming_up():
            seconds *= 3
        return self._sleep_while_connected(exchange, seconds + self.faults.late_s)

    def _sleep_while_connected(self, exchange: Exchange, seconds: float) -> bool:
        descriptor = exchange.fileno()
        if descriptor is None:
            time.sleep(seconds)
            return True
        poller = select.poll()
        poller.register(descriptor, select.POLLIN)
        if poller.poll(seconds * 1000) and exchange.gone():
            self.cancelled += 1
            return False
        return True

    def _is_warming_up(self) -> bool:
        return time.monotonic() < self.faults_set_at + self.faults.cold_s

    def _answer(self, exchange: Exchange, echo: Echo) -> None:
        faults = self.faults
        if faults.drop > 0:
            self.faults = replace(faults, drop=faults.drop - 1)
            return
        call_id = Header(http.CALL_ID, exchange.header(http.CALL_ID) or "")
        headers = [JSON_CONTENT_TYPE, call_id, *self._headers(excluded=1)]
        body = _codec.to_json(echo)
        stream_bytes = int(exchange.header(STREAM_HEADER) or "0")
        if stream_bytes:
            exchange.begin(200, headers, length=None)
            for _ in range(stream_bytes // _STREAM_CHUNK_BYTES):
                exchange.send(b"x" * _STREAM_CHUNK_BYTES)
            exchange.finish()
            return
        if faults.cut > 0:
            self.faults = replace(faults, cut=faults.cut - 1)
            exchange.begin(200, headers, length=len(body))
            exchange.send(body[: len(body) // 2])
            return
        if faults.longer > 0:
            self.faults = replace(faults, longer=faults.longer - 1)
            exchange.begin(200, headers, length=len(body))
            exchange.send(body + b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
            exchange.finish()
            return
        exchange.reply(200, headers, body)

    def _headers(self, *, excluded: int) -> tuple[Header, ...]:
        load = 0 if self.faults.lie else max(0, self._in_flight - excluded)
        state = (
            "draining" if self.faults.draining else "cold" if self._is_warming_up() else "running"
        )
        return (
            Header(http.LOAD, str(load)),
            Header(http.TARGET_STATE, state),
            Header(http.TARGET_INCARNATION, self.incarnation),
        )


def serve_faults(target: Target, exchange: Exchange) -> None:
    """Serve the fault port: replace the faults on POST, then answer with the report."""
    body = read_body(exchange)
    if exchange.method == "POST":
        target.set_faults(_codec.from_json(TargetFaults, body))
    send_json(exchange, 200, target.report())


def main() -> None:
    """Run the stand-in until it receives a signal to terminate."""
    parser = argparse.ArgumentParser(description="Stand-in for a target.")
    parser.add_argument("--listen", required=True, help="HOST:PORT")
    parser.add_argument("--faults", required=True, help="HOST:PORT of the fault port")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=6.0)
    arguments = parser.parse_args()
    target = Target(arguments.listen, slots=arguments.slots, work_ms=arguments.work_ms)
    serve(with_error_answers(target), arguments.listen)
    serve(with_error_answers(lambda exchange: serve_faults(target, exchange)), arguments.faults)
    run_until_signal()


if __name__ == "__main__":
    main()
