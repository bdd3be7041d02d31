"""A worker as the users' pages describe it, with the ways in which it goes wrong."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.stream.server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.transport.stream.server import Exchange

_FOREVER_S = 3600.0
_numbers = itertools.count(1)


class WorkerFault(StrEnum):
    """What is wrong with an answer."""

    NONE = "none"
    #: It runs the request and breaks off before the answer.
    LOST = "lost"
    #: It ends the answer early.
    CUT = "cut"
    #: It sends bytes that are no answer.
    NOISE = "noise"
    #: It sends a second whole answer right after the first.
    SURPLUS = "surplus"
    #: It sends the second answer where the next one is due.
    LATE_SURPLUS = "late-surplus"
    #: Its answer has no length and ends with the connection.
    UNFRAMED = "unframed"
    #: The same, and the connection is reset before the end.
    UNFRAMED_RESET = "unframed-reset"
    #: It answers 500 and has run the request.
    ERROR = "error"
    #: It answers 503 without saying that the request did not run.
    BARE_503 = "bare-503"
    #: Its success has no seal.
    UNSEALED = "unsealed"
    #: It never answers.
    MUTE = "mute"
    #: It answers a long request before its body is in, and goes on reading.
    EARLY = "early"


@dataclass(slots=True)
class WorkerRun:
    """One request that a worker worked on; times in monotonic seconds, 0 if not yet."""

    request_id: str
    method: str
    path: str
    body: bytes
    deadline_ms: int
    arrived_at: float = 0.0
    ended_at: float = 0.0
    finished: bool = False


@dataclass(slots=True)
class Arrival:
    """One request that reached a worker, run or not, and what it was told.

    Parameters
    ----------
    request_id : str
    arrived_at, answered_at : float
        Monotonic seconds; ``answered_at`` is 0 until there is an answer.
    time_limit : float
        Seconds that the worker was given for it.
    rejected : bool
        Whether it was not run.
    backoff : float
        Seconds of rest asked for.
    announced_leaving : bool
        Whether the answer said that the worker leaves.
    """

    request_id: str
    arrived_at: float
    answered_at: float = 0.0
    time_limit: float = 0.0
    rejected: bool = False
    backoff: float = 0.0
    announced_leaving: bool = False


@dataclass(slots=True)
class WorkerSettings:
    """How a worker behaves.

    Parameters
    ----------
    slots, queue : int
    work_s : float
    slowness_percent : int
        100 is as usual.
    reports_load : bool
    hangs_when_saturated : bool
        Whether it never answers what it can't queue.
    healthy : bool
    work_s_for : callable, optional
        Given a path, returns the work in seconds; ``work_s`` for all if left out.
    choose_fault : callable, optional
        Returns what is wrong with the next answer once ``faults`` is used up.
    crashes_on : callable, optional
        Given a path, returns whether a request for it ends the worker that runs it.
    rejects_next : callable, optional
        Returns whether the next request is turned away though there is room for it.
    leaving : bool, default False
        Whether it says in all its answers that it leaves.
    rejects_probes : bool, default False
        Whether it turns probes away as it does requests, without its id.
    retry_after : str, default ""
        Rest that it asks for as it turns a request away, as in ``Retry-After``.
    """

    slots: int = 3
    queue: int = 6
    work_s: float = 0.0
    slowness_percent: int = 100
    reports_load: bool = True
    hangs_when_saturated: bool = False
    healthy: bool = True
    faults: list[WorkerFault] = field(default_factory=list)
    work_s_for: Callable[[str], float] | None = None
    choose_fault: Callable[[], WorkerFault] | None = None
    crashes_on: Callable[[str], bool] | None = None
    rejects_next: Callable[[], bool] | None = None
    leaving: bool = False
    rejects_probes: bool = False
    retry_after: str = ""


class WorkerStandin:
    """Serve the worker's protocol on loopback.

    Attributes
    ----------
    runs : list of WorkerRun
        Requests that it began to work on, in order.
    instance : str
        Its id.
    arrivals : list of Arrival
        All requests that reached it, in order.
    resume : asyncio.Event or None
        If set, work goes on until it is set.
    crashed : asyncio.Event
        Set once a request has ended it.
    """

    def __init__(self, settings: WorkerSettings | None = None) -> None:
        self.settings = settings or WorkerSettings()
        self.instance = f"i-{next(_numbers):08x}"
        self.runs: list[WorkerRun] = []
        self.arrivals: list[Arrival] = []
        self.probes = 0
        self.cancelled = 0
        self.address = ""
        self.resume: asyncio.Event | None = None
        self.run_started = asyncio.Event()
        self.crashed = asyncio.Event()
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(self.settings.slots)
        self._server: StreamServer | None = None
        self._late: dict[int, bytes] = {}

    async def start(self, address: str = "127.0.0.1:0") -> str:
        """Begin to listen; return the address."""
        self._server = StreamServer(self._serve)
        self.address = await self._server.listen(address)
        return self.address

    async def close(self) -> None:
        """Stop at once."""
        if self._server is not None:
            await self._server.close()

    @property
    def busy(self) -> bool:
        """Whether it works on a request, or one waits."""
        return self._running + self._waiting > 0

    async def _end(self) -> None:
        """End as a process does: nobody listens, and all connections are closed."""
        self.crashed.set()
        await self.close()

    async def restart(self) -> str:
        """Come back at the same address after an end; return the new id."""
        self.crashed.clear()
        await self.start(self.address)
        return self.replace_instance()

    def replace_instance(self) -> str:
        """Have another worker take over the address; return its id."""
        self.instance = f"i-{next(_numbers):08x}"
        return self.instance

    def row(
        self,
        service: str,
        *,
        zone: str,
        state: str = "ready",
        sequence: int = 1,
        address: str = "",
    ) -> dict[str, Any]:
        """Return the row in which it records itself; it may be reached at another address."""
        return {
            "address": address or self.address,
            "info": {
                "service": service,
                "version": "v1",
                "zone": zone,
                "capacity": self.settings.slots,
            },
            "status": {"state": state, "sequence": sequence, "warmup-left": "0ms"},
        }

    async def _serve(self, exchange: Exchange) -> None:
        if exchange.header("attempt-id") is None and exchange.path == "/health":
            self.probes += 1
            if self.settings.rejects_probes:
                exchange.reply(503, [Header("Not-Executed", "1"), *self._rest()], b"")
                return
            status = 200 if self.settings.healthy else 503
            exchange.reply(status, [Header("Instance-Id", self.instance), *self._state()], b"")
            return
        request_id = exchange.header("attempt-id") or ""
        given_ms = int(exchange.header("deadline-ms") or 0)
        arrival = Arrival(request_id, exchange.arrived, time_limit=given_ms / 1000)
        self.arrivals.append(arrival)
        expected = exchange.header("expect-instance")
        if expected is not None and expected != self.instance:
            exchange.reply(421, [Header("Instance-Id", self.instance)], b"")
            return
        if self._running + self._waiting >= self.settings.slots + self.settings.queue:
            if self.settings.hangs_when_saturated:
                await asyncio.sleep(_FOREVER_S)
            self._turn_away(exchange, arrival)
            return
        if self.settings.rejects_next is not None and self.settings.rejects_next():
            self._turn_away(exchange, arrival)
            return
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        run = WorkerRun(
            request_id,
            exchange.method,
            exchange.path,
            b"",
            given_ms,
            exchange.arrived,
        )
        try:
            await self._run(exchange, run, arrival)
        except (asyncio.CancelledError, BodyCutError):
            self.cancelled += 1
            raise
        finally:
            run.ended_at = asyncio.get_running_loop().time()
            self._running -= 1
            self._slots.release()

    def _turn_away(self, exchange: Exchange, arrival: Arrival) -> None:
        headers = [Header("Not-Executed", "1"), _id(arrival.request_id), *self._state()]
        exchange.reply(503, headers + self._rest(), b"")
        self._note_answer(arrival)
        arrival.rejected = True
        with contextlib.suppress(ValueError):  # Some ask for what is no time.
            arrival.backoff = max(0.0, float(self.settings.retry_after))

    def _note_answer(self, arrival: Arrival) -> None:
        arrival.answered_at = asyncio.get_running_loop().time()
        arrival.announced_leaving = self.settings.leaving

    def _rest(self) -> list[Header]:
        return (
            [Header("Retry-After", self.settings.retry_after)] if self.settings.retry_after else []
        )

    async def _run(self, exchange: Exchange, run: WorkerRun, arrival: Arrival) -> None:
        fault = self._next_fault()
        if fault is WorkerFault.EARLY:
            self._turn_away(exchange, arrival)
            return
        run.body = b"".join([part async for part in exchange.body()])
        self.runs.append(run)
        self.run_started.set()
        crashes_on = self.settings.crashes_on
        if crashes_on is not None and crashes_on(run.path):
            await self._end()
            return
        if self.resume is not None:
            await self.resume.wait()
        work_s_for = self.settings.work_s_for
        work_s = self.settings.work_s if work_s_for is None else work_s_for(run.path)
        if work_s:
            await asyncio.sleep(work_s * self.settings.slowness_percent / 100)
        run.finished = True
        await self._answer(exchange, run, fault)
        if fault is WorkerFault.NONE:
            self._note_answer(arrival)

    def _next_fault(self) -> WorkerFault:
        if self.settings.faults:
            return self.settings.faults.pop(0)
        draw = self.settings.choose_fault
        return WorkerFault.NONE if draw is None else draw()

    async def _answer(self, exchange: Exchange, run: WorkerRun, fault: WorkerFault) -> None:
        body = f"{self.instance} ran {run.request_id}".encode()
        headers = [_id(run.request_id), Header("Response-Seal", f"seal-{run.request_id}")]
        headers += self._state()
        simple: dict[WorkerFault, Callable[[], None]] = {
            WorkerFault.NONE: lambda: exchange.reply(200, headers, body),
            WorkerFault.LOST: exchange.abort,
            WorkerFault.ERROR: lambda: exchange.reply(500, headers, b"failed"),
            WorkerFault.BARE_503: lambda: exchange.reply(503, headers, b""),
            WorkerFault.UNSEALED: lambda: exchange.reply(200, [headers[0], *headers[2:]], body),
        }
        if fault in simple:
            simple[fault]()
            return
        if fault is WorkerFault.MUTE:
            await asyncio.sleep(_FOREVER_S)
        await self._answer_badly(exchange, headers, body, fault)

    async def _answer_badly(
        self, exchange: Exchange, headers: list[Header], body: bytes, fault: WorkerFault
    ) -> None:
        whole = _answer_bytes(headers, body)
        if fault is WorkerFault.SURPLUS:
            exchange.write_raw(whole + whole)
            exchange.mark_finished()
        elif fault is WorkerFault.LATE_SURPLUS:
            exchange.write_raw(whole)
            exchange.mark_finished()
            asyncio.get_running_loop().call_later(0.01, exchange.write_raw, whole)
        elif fault is WorkerFault.CUT:
            exchange.write_raw(whole[:-3])
        elif fault is WorkerFault.NOISE:
            exchange.write_raw(b"\x00\xff no answer at all\r\n\r\n")
        else:
            head = whole.partition(b"Content-Length")[0]
            rest = body if fault is WorkerFault.UNFRAMED else body[:-3]
            exchange.write_raw(head + b"Connection: close\r\n\r\n" + rest)
            if fault is WorkerFault.UNFRAMED_RESET:
                await asyncio.sleep(0.01)
                exchange.abort()

    def _state(self) -> list[Header]:
        """Return what it says of itself with each answer."""
        headers = [Header("Server-Leaving", "1")] if self.settings.leaving else []
        if self.settings.reports_load:
            figures = (
                self._running,
                self._waiting,
                self.settings.slots,
                self.settings.slowness_percent,
            )
            headers.append(Header("Instance-Load", ",".join(map(str, figures))))
        return headers


def _id(request_id: str) -> Header:
    return Header("Attempt-Id", request_id)


def _answer_bytes(headers: list[Header], body: bytes) -> bytes:
    lines = ["HTTP/1.1 200 OK", *(f"{h.name}: {h.value}" for h in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
