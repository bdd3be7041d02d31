"""A worker of the users' platform, which runs requests and can inject faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from dunlinnotch.protocol.attempt import BodyCutError
from dunlinnotch.state.heads import Header
from dunlinnotch.transport.stream.common import answer_head
from dunlinnotch.transport.stream.server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.transport.stream.server import Exchange
    from dunlinnotch.types import Seconds

_NO_ANSWER_DELAY_S = 3600.0
_instance_numbers = itertools.count(1)


class WorkerFault(StrEnum):
    """A fault of an answer."""

    NONE = "none"
    #: Runs the request and closes the connection without an answer.
    LOST = "lost"
    #: Closes the connection before the end of the body.
    CUT = "cut"
    #: Breaks an answer off and goes on with the same answer from its start.
    FILLED = "filled"
    #: Does so with an answer after which the connection closes.
    FILLED_LAST = "filled-last"
    #: Sends bytes that are not HTTP.
    NOISE = "noise"
    #: Sends the answer twice in one write.
    SURPLUS = "surplus"
    #: Sends the answer again a little later, when the connection may already be reused.
    LATE_SURPLUS = "late-surplus"
    #: Sends an answer without a length, which ends when the connection closes.
    UNFRAMED = "unframed"
    #: Sends an answer without a length and resets the connection before its end.
    UNFRAMED_RESET = "unframed-reset"
    #: Runs the request and answers 500.
    ERROR = "error"
    #: Runs the request and answers 503 without ``Not-Executed``.
    BARE_503 = "bare-503"
    #: Sends a successful answer without ``Response-Seal``.
    UNSEALED = "unsealed"
    #: Runs the request and never answers.
    MUTE = "mute"
    #: Rejects the request before its body has been received.
    EARLY = "early"


#: Statuses of the answers that are complete in spite of their fault.
_STATUS_BY_FAULT = {
    WorkerFault.SURPLUS: 200,
    WorkerFault.LATE_SURPLUS: 200,
    WorkerFault.UNFRAMED: 200,
    WorkerFault.BARE_503: 503,
    WorkerFault.UNSEALED: 200,
}


@dataclass(slots=True)
class WorkerRun:
    """One request that a worker has started to run.

    Parameters
    ----------
    request_id, method, path : str
    body : bytes
    deadline_ms : int
        Value of ``Deadline-Ms``.
    arrived_at, ended_at : float
        Monotonic seconds; ``ended_at`` is 0 while the run is in progress.
    finished : bool
        Whether the work was done completely.
    """

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
    """One request that a worker received, whether or not it was run.

    Parameters
    ----------
    request_id : str
    arrived_at, answered_at : float
        Monotonic seconds; ``answered_at`` is 0 until there is an answer.
    time_limit : float
        Seconds that the request allows, from ``Deadline-Ms``.
    rejected : bool
        Whether the worker rejected the request with ``Not-Executed``.
    backoff : float
        Back-off that the answer requested, in seconds; 0 for none.
    announced_leaving : bool
        Whether the answer announced that the worker is leaving.
    connection : str
        Address of the sender's end of the connection.
    status : int
        Status of the answer; 0 if no complete answer was sent.
    """

    request_id: str
    arrived_at: float
    answered_at: float = 0.0
    time_limit: float = 0.0
    rejected: bool = False
    backoff: float = 0.0
    announced_leaving: bool = False
    connection: str = ""
    status: int = 0


@dataclass(slots=True)
class WorkerSettings:
    """Behaviour of a worker; all but ``slots`` may be changed while it runs.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run at once.
    queue : int
        Maximum number of requests that wait for a slot; more are rejected.
    work_s : float
        Duration of the work for each request, in seconds, at normal speed.
    slowness_percent : int
        Duration of work relative to normal speed; 100 is normal.
    reports_load : bool
        Whether answers contain ``Instance-Load``.
    hangs_when_saturated : bool
        Whether a request for which there is no room is left without an answer.
    healthy : bool
        Whether probes are answered 200 rather than 503.
    faults : list of WorkerFault
        Faults of the next answers, in order.
    work_s_for : callable, optional
        Given a path, returns the duration of the work in seconds; replaces ``work_s``.
    choose_fault : callable, optional
        Returns the fault of the next answer when ``faults`` is empty.
    crashes_on : callable, optional
        Given a path, returns whether a request for it crashes the worker.
    rejects_next : callable, optional
        Returns whether to reject the next request although there is room for it.
    leaving : bool, default False
        Whether all answers announce that the worker is leaving.
    rejects_probes : bool, default False
        Whether probes are rejected as requests are, without ``Instance-Id``.
    retry_after : str, default ""
        Back-off that a rejection requests: the value of ``Retry-After``; none if empty.
    rejects_next_probe : callable, optional
        Returns whether to reject the next probe, as ``rejects_probes`` does all.
    duplicate_delay, probe_duplicate_delay : callable, optional
        Returns after how many seconds the next answer to a request or to a probe is sent a
        second time on its connection, or None to send it only once. Answers with a
        `WorkerFault` other than ``NONE`` and ``ERROR`` are sent as the fault says.
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
    rejects_next_probe: Callable[[], bool] | None = None
    duplicate_delay: Callable[[], Seconds | None] | None = None
    probe_duplicate_delay: Callable[[], Seconds | None] | None = None


class WorkerStandin:
    """Serve the worker's protocol on a loopback address.

    Attributes
    ----------
    instance : str
        Id of the instance.
    runs : list of WorkerRun
        Requests that the worker has started to run, in order.
    arrivals : list of Arrival
        All requests received, in order.
    probes : int
        Number of probes received.
    cancelled : int
        Number of runs cancelled because the connection closed.
    address : str
        As ``host:port``; empty until the worker is started.
    resume : asyncio.Event or None
        If not None, runs wait for this event before they work.
    run_started : asyncio.Event
        Set when the first run has received its body.
    crashed : asyncio.Event
        Set when a request has crashed the worker.
    """

    def __init__(self, settings: WorkerSettings | None = None) -> None:
        self.settings = settings or WorkerSettings()
        self.instance = f"i-{next(_instance_numbers):08x}"
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
        """Start to listen; return the address."""
        self._server = StreamServer(self._serve)
        self.address = await self._server.listen(address)
        return self.address

    async def close(self) -> None:
        """Close the server and its connections at once."""
        if self._server is not None:
            await self._server.close()

    @property
    def busy(self) -> bool:
        """Whether a request is running or waits for a slot."""
        return self._running + self._waiting > 0

    async def _crash(self) -> None:
        """Stop listening and close all connections, as when a process crashes."""
        self.crashed.set()
        await self.close()

    async def restart(self) -> str:
        """Start again at the same address after a crash; return the new instance id."""
        self.crashed.clear()
        await self.start(self.address)
        return self.replace_instance()

    def replace_instance(self) -> str:
        """Continue at the same address as a new instance; return its id."""
        self.instance = f"i-{next(_instance_numbers):08x}"
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
        """Return the row with which the worker registers itself in the store.

        Parameters
        ----------
        service, zone, state : str
        sequence : int
        address : str
            Address to register, such as that of a link to the worker; its own if empty.
        """
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
            self._answer_probe(exchange)
            return
        request_id = exchange.header("attempt-id") or ""
        deadline_ms = int(exchange.header("deadline-ms") or 0)
        arrival = Arrival(
            request_id,
            exchange.arrived,
            time_limit=deadline_ms / 1000,
            connection=exchange.remote_address,
        )
        self.arrivals.append(arrival)
        expected = exchange.header("expect-instance")
        if expected is not None and expected != self.instance:
            headers = [_attempt_id_header(request_id), Header("Instance-Id", self.instance)]
            self._reply(exchange, arrival, 421, headers)
            return
        if self._running + self._waiting >= self.settings.slots + self.settings.queue:
            if self.settings.hangs_when_saturated:
                await asyncio.sleep(_NO_ANSWER_DELAY_S)
            self._reject(exchange, arrival)
            return
        if self.settings.rejects_next is not None and self.settings.rejects_next():
            self._reject(exchange, arrival)
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
            deadline_ms,
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

    def _answer_probe(self, exchange: Exchange) -> None:
        self.probes += 1
        rejects_next = self.settings.rejects_next_probe
        if self.settings.rejects_probes or (rejects_next is not None and rejects_next()):
            status = 503
            headers = [Header("Not-Executed", "1"), *self._retry_after_headers()]
        else:
            status = 200 if self.settings.healthy else 503
            headers = [Header("Instance-Id", self.instance), *self._state_headers()]
        exchange.reply(status, headers, b"")
        _send_duplicate(exchange, status, headers, b"", self.settings.probe_duplicate_delay)

    def _reply(
        self,
        exchange: Exchange,
        arrival: Arrival,
        status: int,
        headers: list[Header],
        body: bytes = b"",
    ) -> None:
        """Answer a request, and send the answer a second time if the settings say so."""
        exchange.reply(status, headers, body)
        arrival.status = status
        _send_duplicate(exchange, status, headers, body, self.settings.duplicate_delay)

    def _reject(self, exchange: Exchange, arrival: Arrival) -> None:
        headers = [
            Header("Not-Executed", "1"),
            _attempt_id_header(arrival.request_id),
            *self._state_headers(),
        ]
        self._reply(exchange, arrival, 503, headers + self._retry_after_headers())
        self._record_answer(arrival)
        arrival.rejected = True
        with contextlib.suppress(ValueError):  # The value may be invalid on purpose.
            arrival.backoff = max(0.0, float(self.settings.retry_after))

    def _record_answer(self, arrival: Arrival) -> None:
        arrival.answered_at = asyncio.get_running_loop().time()
        arrival.announced_leaving = self.settings.leaving

    def _retry_after_headers(self) -> list[Header]:
        return (
            [Header("Retry-After", self.settings.retry_after)] if self.settings.retry_after else []
        )

    async def _run(self, exchange: Exchange, run: WorkerRun, arrival: Arrival) -> None:
        fault = self._next_fault()
        if fault is WorkerFault.EARLY:
            self._reject(exchange, arrival)
            return
        run.body = b"".join([chunk async for chunk in exchange.body()])
        self.runs.append(run)
        self.run_started.set()
        crashes_on = self.settings.crashes_on
        if crashes_on is not None and crashes_on(run.path):
            await self._crash()
            return
        if self.resume is not None:
            await self.resume.wait()
        work_s_for = self.settings.work_s_for
        work_s = self.settings.work_s if work_s_for is None else work_s_for(run.path)
        if work_s:
            await asyncio.sleep(work_s * self.settings.slowness_percent / 100)
        run.finished = True
        await self._answer(exchange, run, arrival, fault)
        if fault is WorkerFault.NONE:
            self._record_answer(arrival)

    def _next_fault(self) -> WorkerFault:
        if self.settings.faults:
            return self.settings.faults.pop(0)
        choose_fault = self.settings.choose_fault
        return WorkerFault.NONE if choose_fault is None else choose_fault()

    async def _answer(
        self, exchange: Exchange, run: WorkerRun, arrival: Arrival, fault: WorkerFault
    ) -> None:
        body = f"{self.instance} ran {run.request_id}".encode()
        headers = [
            _attempt_id_header(run.request_id),
            Header("Response-Seal", f"seal-{run.request_id}"),
        ]
        headers += self._state_headers()
        senders: dict[WorkerFault, Callable[[], None]] = {
            WorkerFault.NONE: lambda: self._reply(exchange, arrival, 200, headers, body),
            WorkerFault.LOST: exchange.abort,
            WorkerFault.ERROR: lambda: self._reply(exchange, arrival, 500, headers, b"failed"),
            WorkerFault.BARE_503: lambda: exchange.reply(503, headers, b""),
            WorkerFault.UNSEALED: lambda: exchange.reply(200, [headers[0], *headers[2:]], body),
        }
        arrival.status = _STATUS_BY_FAULT.get(fault, 0)
        if fault in senders:
            senders[fault]()
            return
        if fault is WorkerFault.MUTE:
            await asyncio.sleep(_NO_ANSWER_DELAY_S)
        await self._send_faulty_answer(exchange, headers, body, fault)

    async def _send_faulty_answer(
        self, exchange: Exchange, headers: list[Header], body: bytes, fault: WorkerFault
    ) -> None:
        answer = _format_answer(200, headers, body)
        if fault is WorkerFault.SURPLUS:
            exchange.write_raw(answer + answer)
            exchange.mark_finished()
        elif fault is WorkerFault.LATE_SURPLUS:
            exchange.write_raw(answer)
            exchange.mark_finished()
            asyncio.get_running_loop().call_later(0.01, exchange.write_raw, answer)
        elif fault is WorkerFault.CUT:
            exchange.write_raw(answer[:-3])
        elif fault is WorkerFault.FILLED:
            exchange.write_raw(answer[: -len(body) // 2] + answer)
        elif fault is WorkerFault.FILLED_LAST:
            answer = answer_head(200, "", headers, length=len(body), close=True) + body
            exchange.write_raw(answer[: -len(body) // 2] + answer)
        elif fault is WorkerFault.NOISE:
            exchange.write_raw(b"\x00\xff no answer at all\r\n\r\n")
        else:
            head = answer.partition(b"Content-Length")[0]
            sent_body = body if fault is WorkerFault.UNFRAMED else body[:-3]
            exchange.write_raw(head + b"Connection: close\r\n\r\n" + sent_body)
            if fault is WorkerFault.UNFRAMED_RESET:
                await asyncio.sleep(0.01)
                exchange.abort()

    def _state_headers(self) -> list[Header]:
        """Return the headers that report the state of the worker."""
        headers = [Header("Server-Leaving", "1")] if self.settings.leaving else []
        if self.settings.reports_load:
            load = (
                self._running,
                self._waiting,
                self.settings.slots,
                self.settings.slowness_percent,
            )
            headers.append(Header("Instance-Load", ",".join(map(str, load))))
        return headers


def _attempt_id_header(request_id: str) -> Header:
    return Header("Attempt-Id", request_id)


def _format_answer(status: int, headers: list[Header], body: bytes) -> bytes:
    return answer_head(status, "", headers, length=len(body), close=False) + body


def _send_duplicate(
    exchange: Exchange,
    status: int,
    headers: list[Header],
    body: bytes,
    choose_delay: Callable[[], Seconds | None] | None,
) -> None:
    """Send an answer a second time after a delay, if ``choose_delay`` returns one."""
    delay = None if choose_delay is None else choose_delay()
    if delay is not None:
        answer = _format_answer(status, headers, body)
        asyncio.get_running_loop().call_later(delay, exchange.write_raw, answer)
