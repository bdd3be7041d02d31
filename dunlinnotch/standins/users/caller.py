"""A caller of the users' platform: resolves a host, sends a request and retries if allowed."""

from __future__ import annotations

import asyncio
import json
import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.transport.stream.fetch import Fetcher

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from dunlinnotch.types import Address, Seconds

_MAX_LOOKUPS = 3
_LOOKUP_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
_MAX_HEAD_BYTES = 64 * 1024
#: Statuses of answers that guarantee that the request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Statuses after which a caller does not retry.
_FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})
#: Share of the remaining time for which a caller waits at most before a retry.
_MAX_RETRY_DELAY_SHARE = 1 / 3


class AttemptOutcome(StrEnum):
    """How an attempt ended from the caller's point of view."""

    ANSWERED = "answered"
    #: The connection closed, or sent invalid HTTP, before the answer was complete.
    CUT = "cut"
    #: No complete answer before the deadline.
    TIMED_OUT = "timed-out"
    #: The caller closed the connection before the answer was complete.
    LEFT = "left"
    #: No connection could be established.
    NOT_CONNECTED = "not-connected"


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request, as its caller saw it.

    Parameters
    ----------
    request_number : int
        Number of the request; all its attempts have the same.
    id : str
        Id of the attempt, sent as ``Attempt-Id``.
    kind, box, method, path : str
    sent_at, ended_at : float
        Monotonic seconds.
    deadline : float
        Monotonic seconds at which the caller stops waiting.
    outcome : AttemptOutcome
    status : int, default 0
        Status of the answer; 0 if there was none.
    body : bytes
    answered_id : str
        ``Attempt-Id`` of the answer; empty if it had none.
    sealed : bool
        Whether the answer had a ``Response-Seal``.
    retry_after : float
        Delay before a retry that the answer requested, in seconds.
    """

    request_number: int
    id: str
    kind: str
    box: Address
    method: str
    path: str
    sent_at: Seconds
    ended_at: Seconds = 0.0
    deadline: Seconds = 0.0
    outcome: AttemptOutcome = AttemptOutcome.NOT_CONNECTED
    status: int = 0
    body: bytes = b""
    answered_id: str = ""
    sealed: bool = False
    retry_after: Seconds = 0.0

    @property
    def succeeded(self) -> bool:
        """Whether the caller received a complete answer with a 2xx status."""
        return self.outcome is AttemptOutcome.ANSWERED and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class CallerRequestPlan:
    """A request to send, and how the caller handles it.

    Parameters
    ----------
    kind, method, path : str
    body : bytes
    idempotent : bool
        Whether the caller may retry after an attempt that may have run.
    timeout : float
        Seconds from the first attempt to the deadline of all attempts.
    retries : int
        Maximum number of attempts after the first.
    disconnect_after : float, optional
        Seconds after which the caller closes the connection of an attempt, even if the
        answer is being received.
    """

    kind: str
    method: str
    path: str
    body: bytes
    idempotent: bool
    timeout: Seconds
    retries: int
    disconnect_after: Seconds | None = None


@dataclass(slots=True)
class _AnswerHead:
    status: int
    headers: dict[str, str] = field(default_factory=dict)


class CallerStandin:
    """One caller; it sends one request at a time.

    Parameters
    ----------
    zone, host : str
        Where the caller is, and the host name that it resolves.
    directories : callable
        Given a zone, returns the addresses that resolve host names, nearer ones first.
    next_id : callable
        Returns the id of the next attempt.
    rng : random.Random
    keep_alive : bool
        Whether the connection is reused for the next request.
    only_box : str, optional
        The only box that the caller uses, as one does that keeps an old address; no
        addresses are looked up then.

    Attributes
    ----------
    lookups, failed_lookups : int
        Number of directory requests sent, and of those that failed.
    """

    def __init__(
        self,
        zone: str,
        host: str,
        *,
        directories: Callable[[str], Sequence[Address]],
        next_id: Callable[[], str],
        rng: random.Random,
        keep_alive: bool,
        only_box: Address | None = None,
    ) -> None:
        self._zone = zone
        self._host = host
        self._directories = directories
        self._next_id = next_id
        self._rng = rng
        self._keep_alive = keep_alive
        self._loop = asyncio.get_running_loop()
        self._addresses: list[Address] = [] if only_box is None else [only_box]
        self._addresses_expire_at: Seconds = 0.0 if only_box is None else math.inf
        self._idle_connection: tuple[Address, asyncio.StreamReader, asyncio.StreamWriter] | None = (
            None
        )
        self.lookups = 0
        self.failed_lookups = 0

    async def request(self, number: int, plan: CallerRequestPlan) -> list[AttemptRecord]:
        """Send one request, retry it if allowed, and return its attempts."""
        attempts: list[AttemptRecord] = []
        failed: set[Address] = set()
        deadline = self._loop.time() + plan.timeout
        while len(attempts) <= plan.retries and self._loop.time() < deadline:
            await self._update_addresses()
            record = await self._attempt(number, plan, failed, deadline, is_retry=bool(attempts))
            if record is None:
                await asyncio.sleep(min(0.1, max(0.0, deadline - self._loop.time())))
                continue
            attempts.append(record)
            if not self._should_retry(plan, record):
                break
            failed.add(record.box)
            remaining = deadline - self._loop.time()
            if record.retry_after > 0:
                await asyncio.sleep(
                    max(0.0, min(record.retry_after, remaining * _MAX_RETRY_DELAY_SHARE))
                )
        return attempts

    def close(self) -> None:
        """Close the idle connection, if there is one."""
        if self._idle_connection is not None:
            self._idle_connection[2].close()
            self._idle_connection = None

    @staticmethod
    def _should_retry(plan: CallerRequestPlan, record: AttemptRecord) -> bool:
        if record.outcome is AttemptOutcome.NOT_CONNECTED:
            return True
        if record.outcome is AttemptOutcome.ANSWERED:
            if record.status < 300 or record.status in _FINAL_STATUSES:
                return False
            if record.status in NOT_RUN_STATUSES:
                return True
        if record.outcome is AttemptOutcome.LEFT:
            return False
        return plan.idempotent

    # Lookup of box addresses

    async def _update_addresses(self) -> None:
        if self._loop.time() < self._addresses_expire_at:
            return
        query = urlencode({"name": self._host, "region": "lab", "zone": self._zone})
        for address in self._directories(self._zone)[:_MAX_LOOKUPS]:
            self.lookups += 1
            try:
                answer = await Fetcher(address).fetch(
                    "GET", f"/api/resolve?{query}", timeout=_LOOKUP_TIMEOUT_S
                )
            except PlatformUnavailableError:
                self.failed_lookups += 1
                continue
            if answer.status != 200:
                self.failed_lookups += 1
                continue
            content = json.loads(answer.body)
            self._addresses = list(content["addresses"])
            self._addresses_expire_at = self._loop.time() + _parse_seconds(content["ttl"])
            if (
                self._idle_connection is not None
                and self._idle_connection[0] not in self._addresses
            ):
                self.close()
            return

    # Attempts

    async def _attempt(
        self,
        number: int,
        plan: CallerRequestPlan,
        failed: set[Address],
        deadline: Seconds,
        *,
        is_retry: bool,
    ) -> AttemptRecord | None:
        """Send the request once; return None if no box address is known."""
        connection = None if is_retry else self._take_idle_connection()
        box = connection[0] if connection else self._choose_box(failed)
        if box is None:
            return None
        now = self._loop.time()
        record = AttemptRecord(number, self._next_id(), plan.kind, box, plan.method, plan.path, now)
        record.deadline = deadline
        try:
            if connection is None:
                async with asyncio.timeout(min(_CONNECT_TIMEOUT_S, max(0.01, deadline - now))):
                    reader, writer = await asyncio.open_connection(*_split_address(box))
            else:
                _, reader, writer = connection
        except (OSError, TimeoutError):
            record.ended_at = self._loop.time()
            return record
        record.sent_at = self._loop.time()
        reusable = False
        disconnect_at = (
            math.inf if plan.disconnect_after is None else record.sent_at + plan.disconnect_after
        )
        try:
            async with asyncio.timeout_at(min(deadline, disconnect_at)):
                writer.write(self._format_request(plan, record, deadline - record.sent_at))
                reusable = await self._read(reader, record)
            record.outcome = AttemptOutcome.ANSWERED
        except TimeoutError:
            disconnected = disconnect_at < deadline
            record.outcome = AttemptOutcome.LEFT if disconnected else AttemptOutcome.TIMED_OUT
        except (OSError, ValueError, EOFError, asyncio.LimitOverrunError):
            record.outcome = AttemptOutcome.CUT
        finally:
            record.ended_at = self._loop.time()
            if reusable and self._keep_alive:
                self._idle_connection = (box, reader, writer)
            else:
                writer.close()
        return record

    def _take_idle_connection(
        self,
    ) -> tuple[Address, asyncio.StreamReader, asyncio.StreamWriter] | None:
        connection, self._idle_connection = self._idle_connection, None
        if connection is not None and (connection[1].at_eof() or connection[2].is_closing()):
            connection[2].close()
            return None
        return connection

    def _choose_box(self, failed: set[Address]) -> Address | None:
        candidates = [a for a in self._addresses if a not in failed] or self._addresses
        return self._rng.choice(candidates) if candidates else None

    def _format_request(
        self, plan: CallerRequestPlan, record: AttemptRecord, remaining: Seconds
    ) -> bytes:
        lines = [
            f"{plan.method} {plan.path} HTTP/1.1",
            f"Host: {self._host}",
            f"Attempt-Id: {record.id}",
            f"Deadline-Ms: {max(1, int(remaining * 1000))}",
        ]
        if plan.body:
            lines.append(f"Content-Length: {len(plan.body)}")
        if not self._keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + plan.body

    async def _read(self, reader: asyncio.StreamReader, record: AttemptRecord) -> bool:
        """Read one complete answer; return whether the connection can be reused."""
        head = _parse_head(await reader.readuntil(b"\r\n\r\n"))
        record.status = head.status
        record.answered_id = head.headers.get("attempt-id", "")
        record.sealed = "response-seal" in head.headers
        record.retry_after = float(head.headers.get("retry-after", "0"))
        if head.headers.get("transfer-encoding") == "chunked":
            record.body = await _read_chunks(reader)
        elif "content-length" in head.headers:
            record.body = await reader.readexactly(int(head.headers["content-length"]))
        else:
            record.body = await reader.read()
            return False
        return head.headers.get("connection", "").lower() != "close"


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def _parse_head(raw: bytes) -> _AnswerHead:
    status_line, *lines = raw.decode("latin-1").strip().split("\r\n")
    version, status = status_line.split(maxsplit=2)[:2]
    if not version.startswith("HTTP/1."):
        msg = f"invalid status line {status_line[:40]!r}: expected HTTP/1.x and a status"
        raise ValueError(msg)
    head = _AnswerHead(int(status))
    for line in lines:
        name, _, value = line.partition(":")
        head.headers[name.strip().lower()] = value.strip()
    return head


def _split_address(address: Address) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _parse_seconds(text: str) -> Seconds:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.removesuffix("s"))
