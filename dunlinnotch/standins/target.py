"""A stand-in for a target: slots, a short queue, and faults at a port beside it.

Run as ``python -m dunlinnotch.standins.target --listen HOST:PORT --faults HOST:PORT``.  Its
answer names the request that it answers: the caller's ``X-Mark`` header and a
digest of the body, so that a caller can tell whether it got its own answer.
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
from dunlinnotch.standins.common import JSON, body_of, guarded, run_until_signal, send, serve
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.probes import HEALTH_PATH

if TYPE_CHECKING:
    from dunlinnotch.transport.exchange import Exchange

MARK = "X-Mark"
#: Bytes of filler that a caller asks for in the answer.
FILLER = "X-Filler"
#: Bytes that a caller asks for as a stream, in place of the usual answer.
STREAM = "X-Stream"
_PART = 64 * 1024


@wire
@dataclass(frozen=True, slots=True)
class TargetFaults:
    """What goes wrong at a target.

    Parameters
    ----------
    slowness : float
        Factor on the time that work takes.
    frozen : bool
        Requests are taken and not answered until this ends.
    fail : bool
        Work is answered with status 500 at once, unmarked.
    refuse : bool
        Work is refused with the mark that says that it did not run.
    drop : int
        So many requests run and get no answer: the connection is closed.
    cut : int
        So many answers are cut off in the middle of the body.
    longer : int
        So many answers have bytes after their end.
    late_s : float
        Delay of each answer after the work, in seconds.
    lie : bool
        The load reported is always 0.
    draining : bool
        Work is refused, and the target says that it leaves.
    cold_s : float
        For so long after this is set, work takes three times as long.
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
    """What a target has done, for checks.

    Parameters
    ----------
    runs : dict of str to int
        How often the request with each mark ran.
    probes : int
    cancelled : int
    refused : int
    """

    runs: dict[str, int]
    probes: int
    cancelled: int
    refused: int


@wire
@dataclass(frozen=True, slots=True)
class Echo:
    """The answer to work."""

    target: str
    mark: str
    digest: str
    size: int
    filler: str = ""


class Target:
    """The state of one target.

    Parameters
    ----------
    name : str
    slots : int, default 6
    queue : int, default 12
        Calls that may wait for a slot; more are refused.
    work_ms : float, default 6.0
        Mean time of work.
    """

    def __init__(self, name: str, *, slots: int = 6, queue: int = 12, work_ms: float = 6.0) -> None:
        self.name = name
        self.incarnation = str(time.time_ns())
        self.faults = TargetFaults()
        self.faults_at = time.monotonic()
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
        """Put faults in force."""
        with self._state:
            self.faults = faults
            self.faults_at = time.monotonic()
            self._state.notify_all()

    def report(self) -> TargetReport:
        """Return what the target has done."""
        return TargetReport(dict(self.runs), self.probes, self.cancelled, self.refused)

    def __call__(self, exchange: Exchange) -> None:
        """Serve one request."""
        if exchange.path == HEALTH_PATH:
            self.probes += 1
            send(exchange, 200, "ok", *self._headers(besides=0))
            return
        with self._state:
            full = self._in_flight >= self._slots + self._queue
            if self.faults.draining or self.faults.refuse or full:
                self.refused += 1
                mark = "draining" if self.faults.draining else "shed"
                refusal = (Header(http.REFUSED, mark), *self._headers(besides=0))
            else:
                refusal = ()
                self._in_flight += 1
        if refusal:
            send(exchange, 503, mark, *refusal)
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
            for part in exchange.body():
                hasher.update(part)
                size += len(part)
        except BodyCutError:
            self.cancelled += 1
            return
        mark = exchange.header(MARK) or ""
        if self.faults.fail:
            send(exchange, 500, "failed", *self._headers(besides=1))
            return
        until = time.monotonic() + int(exchange.header(http.DEADLINE_MS) or "60000") / 1000
        if not self._take_slot(exchange, until):
            return
        try:
            self.runs[mark] += 1
            done = self._work(exchange)
        finally:
            with self._state:
                self._running -= 1
                self._state.notify_all()
        if done:
            filler = "x" * int(exchange.header(FILLER) or "0")
            self._answer(exchange, Echo(self.name, mark, hasher.hexdigest(), size, filler))

    def _take_slot(self, exchange: Exchange, until: float) -> bool:
        with self._state:
            free = self._state.wait_for(
                lambda: self._running < self._slots and not self.faults.frozen,
                timeout=max(0.0, until - time.monotonic()),
            )
            if free:
                self._running += 1
                return True
        self.refused += 1
        send(exchange, 503, "deadline", Header(http.REFUSED, "deadline"), *self._headers(besides=1))
        return False

    def _work(self, exchange: Exchange) -> bool:
        """Spend the time of the work; return False if the caller went."""
        seconds = random.expovariate(1.0) * self._work_ms / 1000 * self.faults.slowness
        if self._cold():
            seconds *= 3
        return self._pause(exchange, seconds + self.faults.late_s)

    def _pause(self, exchange: Exchange, seconds: float) -> bool:
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

    def _cold(self) -> bool:
        return time.monotonic() < self.faults_at + self.faults.cold_s

    def _answer(self, exchange: Exchange, echo: Echo) -> None:
        faults = self.faults
        if faults.drop > 0:
            self.faults = replace(faults, drop=faults.drop - 1)
            return
        call_id = Header(http.CALL_ID, exchange.header(http.CALL_ID) or "")
        headers = [JSON, call_id, *self._headers(besides=1)]
        body = _codec.to_json(echo)
        stream = int(exchange.header(STREAM) or "0")
        if stream:
            exchange.begin(200, headers, length=None)
            for _ in range(stream // _PART):
                exchange.send(b"x" * _PART)
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

    def _headers(self, *, besides: int) -> tuple[Header, ...]:
        load = 0 if self.faults.lie else max(0, self._in_flight - besides)
        state = "draining" if self.faults.draining else "cold" if self._cold() else "running"
        return (
            Header(http.LOAD, str(load)),
            Header(http.TARGET_STATE, state),
            Header(http.TARGET_INCARNATION, self.incarnation),
        )


def fault_handler(target: Target, exchange: Exchange) -> None:
    """Serve the fault port."""
    body = body_of(exchange)
    if exchange.method == "POST":
        target.set_faults(_codec.from_json(TargetFaults, body))
    send(exchange, 200, target.report())


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in for a target.")
    parser.add_argument("--listen", required=True, help="HOST:PORT")
    parser.add_argument("--faults", required=True, help="HOST:PORT of the fault port")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--work-ms", type=float, default=6.0)
    arguments = parser.parse_args()
    target = Target(arguments.listen, slots=arguments.slots, work_ms=arguments.work_ms)
    serve(guarded(target), arguments.listen)
    serve(guarded(lambda exchange: fault_handler(target, exchange)), arguments.faults)
    run_until_signal()


if __name__ == "__main__":
    main()
