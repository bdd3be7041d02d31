"""A caller as the users' pages describe it: looks up, connects, asks again by the rules."""

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

_LOOK_UPS = 3
_LOOK_UP_S = 1.0
_CONNECT_S = 1.0
_HEAD_MOST = 64 * 1024
#: Answers that promise that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Answers after which nobody asks again.
_FINAL = frozenset({400, 401, 404, 413, 431})
#: A caller waits as told for up to this part of the time that it has left.
_WAIT_SHARE = 1 / 3


class AttemptOutcome(StrEnum):
    """How an attempt ended for the caller."""

    ANSWERED = "answered"
    #: The connection ended, or said something that is no answer, before the whole answer.
    CUT = "cut"
    #: No answer before the deadline.
    TIMED_OUT = "timed-out"
    #: Its caller closed the connection before the answer.
    LEFT = "left"
    #: No connection came about.
    NOT_CONNECTED = "not-connected"


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, as its caller saw it.

    Parameters
    ----------
    request_number : int
        Number of the request that it belongs to.
    id, kind, box, method, path : str
    sent_at, ended_at, deadline : float
        Monotonic seconds; its caller waits ``until`` then.
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
        """Whether the caller has what it asked for."""
        return self.outcome is AttemptOutcome.ANSWERED and 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class CallerRequestPlan:
    """What a caller asks for.

    Parameters
    ----------
    kind, method, path : str
    body : bytes
    idempotent : bool
    timeout : float
        Seconds from the first attempt.
    retries : int
    disconnect_after : float, optional
        Seconds after which it closes the connection of an attempt, whatever is under way.
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
class _Head:
    status: int
    headers: dict[str, str] = field(default_factory=dict)


class CallerStandin:
    """One caller; it makes one request at a time.

    Parameters
    ----------
    zone, host : str
    directories : callable
        Returns where to ask which boxes to use, nearer ones first.
    next_id : callable
    rng : random.Random
    keep_alive : bool
        Whether it keeps its connection for the next request.
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
    ) -> None:
        self._zone = zone
        self._host = host
        self._directories = directories
        self._next_id = next_id
        self._rng = rng
        self._keep_alive = keep_alive
        self._loop = asyncio.get_running_loop()
        self._addresses: list[Address] = []
        self._fresh_until: Seconds = 0.0
        self._kept: tuple[Address, asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.lookups = 0
        self.failed_lookups = 0

    async def request(self, number: int, plan: CallerRequestPlan) -> list[AttemptRecord]:
        """Make one request; return its attempts."""
        attempts: list[AttemptRecord] = []
        failed: set[Address] = set()
        until = self._loop.time() + plan.timeout
        while len(attempts) <= plan.retries and self._loop.time() < until:
            await self._look_up()
            record = await self._attempt(number, plan, failed, until, again=bool(attempts))
            if record is None:
                await asyncio.sleep(min(0.1, max(0.0, until - self._loop.time())))
                continue
            attempts.append(record)
            if not self._asks_again(plan, record):
                break
            failed.add(record.box)
            left = until - self._loop.time()
            if record.retry_after > 0:
                await asyncio.sleep(max(0.0, min(record.retry_after, left * _WAIT_SHARE)))
        return attempts

    def close(self) -> None:
        """Let go of the connection kept."""
        if self._kept is not None:
            self._kept[2].close()
            self._kept = None

    @staticmethod
    def _asks_again(plan: CallerRequestPlan, record: AttemptRecord) -> bool:
        if record.outcome is AttemptOutcome.NOT_CONNECTED:
            return True
        if record.outcome is AttemptOutcome.ANSWERED:
            if record.status < 300 or record.status in _FINAL:
                return False
            if record.status in NOT_RUN_STATUSES:
                return True
        if record.outcome is AttemptOutcome.LEFT:
            return False
        return plan.idempotent

    # -- where to go

    async def _look_up(self) -> None:
        if self._loop.time() < self._fresh_until:
            return
        query = urlencode({"name": self._host, "region": "lab", "zone": self._zone})
        for address in self._directories(self._zone)[:_LOOK_UPS]:
            self.lookups += 1
            try:
                answer = await Fetcher(address).fetch(
                    "GET", f"/api/resolve?{query}", timeout=_LOOK_UP_S
                )
            except PlatformUnavailableError:
                self.failed_lookups += 1
                continue
            if answer.status != 200:
                self.failed_lookups += 1
                continue
            plain = json.loads(answer.body)
            self._addresses = list(plain["addresses"])
            self._fresh_until = self._loop.time() + _seconds(plain["ttl"])
            if self._kept is not None and self._kept[0] not in self._addresses:
                self.close()
            return

    # -- one attempt

    async def _attempt(
        self,
        number: int,
        plan: CallerRequestPlan,
        failed: set[Address],
        until: Seconds,
        *,
        again: bool,
    ) -> AttemptRecord | None:
        """Send the request once; None if no address is known."""
        link = None if again else self._take_kept()
        box = link[0] if link else self._draw(failed)
        if box is None:
            return None
        now = self._loop.time()
        record = AttemptRecord(number, self._next_id(), plan.kind, box, plan.method, plan.path, now)
        record.deadline = until
        try:
            if link is None:
                async with asyncio.timeout(min(_CONNECT_S, max(0.01, until - now))):
                    reader, writer = await asyncio.open_connection(*_host_port(box))
            else:
                _, reader, writer = link
        except (OSError, TimeoutError):
            record.ended_at = self._loop.time()
            return record
        record.sent_at = self._loop.time()
        keep = False
        leaves_at = (
            math.inf if plan.disconnect_after is None else record.sent_at + plan.disconnect_after
        )
        try:
            async with asyncio.timeout_at(min(until, leaves_at)):
                writer.write(self._bytes(plan, record, until - record.sent_at))
                keep = await self._read(reader, record)
            record.outcome = AttemptOutcome.ANSWERED
        except TimeoutError:
            left = leaves_at < until
            record.outcome = AttemptOutcome.LEFT if left else AttemptOutcome.TIMED_OUT
        except (OSError, ValueError, EOFError, asyncio.LimitOverrunError):
            record.outcome = AttemptOutcome.CUT
        finally:
            record.ended_at = self._loop.time()
            if keep and self._keep_alive:
                self._kept = (box, reader, writer)
            else:
                writer.close()
        return record

    def _take_kept(self) -> tuple[Address, asyncio.StreamReader, asyncio.StreamWriter] | None:
        link, self._kept = self._kept, None
        if link is not None and (link[1].at_eof() or link[2].is_closing()):
            link[2].close()
            return None
        return link

    def _draw(self, failed: set[Address]) -> Address | None:
        free = [a for a in self._addresses if a not in failed] or self._addresses
        return self._rng.choice(free) if free else None

    def _bytes(self, plan: CallerRequestPlan, record: AttemptRecord, left: Seconds) -> bytes:
        lines = [
            f"{plan.method} {plan.path} HTTP/1.1",
            f"Host: {self._host}",
            f"Attempt-Id: {record.id}",
            f"Deadline-Ms: {max(1, int(left * 1000))}",
        ]
        if plan.body:
            lines.append(f"Content-Length: {len(plan.body)}")
        if not self._keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + plan.body

    async def _read(self, reader: asyncio.StreamReader, record: AttemptRecord) -> bool:
        """Read one answer to its last byte; return whether the connection may be kept."""
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


def _parse_head(raw: bytes) -> _Head:
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    version, status = first.split(maxsplit=2)[:2]
    if not version.startswith("HTTP/1."):
        msg = f"no answer: {first[:40]!r}"
        raise ValueError(msg)
    head = _Head(int(status))
    for line in lines:
        name, _, value = line.partition(":")
        head.headers[name.strip().lower()] = value.strip()
    return head


def _host_port(address: Address) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _seconds(text: str) -> Seconds:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text.removesuffix("s"))
