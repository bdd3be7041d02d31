"""Parts that the scripts of this review share: boxes as processes, a store, workers, clients."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import traceback
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from dunlinnotch.standins.users.store import StoreStandin

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from pathlib import Path

HOST = "catalogue.example"
PORTS = {"front": 8144, "readiness": 8140, "control": 8146, "directory": 8143}
_MAX_BOXES = 8
_ids = itertools.count(1)


def free_subnet() -> str:
    """Return the start of loopback addresses on which nothing uses the ports of a box."""
    while True:
        subnet = f"127.{random.randrange(1, 255)}.{random.randrange(255)}"
        try:
            for number in range(1, _MAX_BOXES + 1):
                for port in (*PORTS.values(), 7660, 7661, 9464):
                    with socket.socket() as sock:
                        sock.bind((f"{subnet}.{number}", port))
        except OSError:
            continue
        return subnet


@dataclass
class BoxProcess:
    """One box, started with the command of the deploy file."""

    name: str
    zone: str
    ip: str
    directory: Path
    store: str
    seeds: list[str]
    changes: dict[str, str] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> Path:
        """Write the settings file as DEPLOY.md shows it."""
        fields = {
            "self.node-name": self.name,
            "self.role": "box",
            "self.machine-class": "front",
            "self.serves": "front,directory,control",
            "self.ip": self.ip,
            "self.zone": self.zone,
            "self.region": "mechelen",
            **{f"network.bind.{name}": f"{self.ip}:{port}" for name, port in PORTS.items()},
            "network.internal-port-range": "7660,7675",
            "network.seeds": ",".join(f"{seed}:{PORTS['control']}" for seed in self.seeds),
            "platform.heartbeat": "1500ms",
            "platform.platform.address": self.store,
            "terms.bounds.drain": "2000ms",
            "terms.bounds.grace": "6s",
            "terms.bounds.budget-ratio": "0.2",
            "terms.bounds.budget-slack": "64",
            "terms.bounds.ttl_max": "5s",
            "terms.bounds.probes-per-s": "60",
            **self.changes,
        }
        path = self.directory / f"{self.name}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        return path

    def start(self) -> None:
        """Start the process; its output goes to a log file."""
        settings = self.write_settings()
        environment = {
            **{name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ},
            "DUNLINNOTCH_NODE_FILE": str(settings),
            "PYTHONPATH": os.environ.get("PYTHONPATH", ""),
        }
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "dunlinnotch.platform"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def front(self) -> tuple[str, int]:
        """Where clients connect."""
        return (self.ip, PORTS["front"])

    async def wait_ready(self, timeout: float = 20.0) -> None:
        """Wait until the readiness check answers 200."""
        async with asyncio.timeout(timeout):
            while await get_status(self.ip, PORTS["readiness"], "/api/readiness") != 200:
                await asyncio.sleep(0.05)


async def get_status(ip: str, port: int, path: str) -> int:
    """Return the status of a GET; 0 without an answer."""
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
                )
                line = await reader.readline()
                return int(line.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


class Fleet:
    """A store, boxes and child processes of one script; ends them all."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.subnet = free_subnet()
        self.store = StoreStandin()
        self.boxes: list[BoxProcess] = []
        self.children: list[subprocess.Popen[bytes]] = []
        self._numbers = itertools.count(1)

    async def __aenter__(self) -> Fleet:
        """Start the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes that this script started."""
        for process in [b.process for b in self.boxes if b.process] + self.children:
            if process.poll() is None:
                process.kill()
                process.wait()
        await self.store.close()

    def add_box(self, zone: str, **changes: str) -> BoxProcess:
        """Return a new box, not started."""
        number = next(self._numbers)
        box = BoxProcess(
            f"front-{zone}-{number}",
            zone,
            f"{self.subnet}.{number}",
            self.directory,
            self.store.address,
            [f"{self.subnet}.1"],
            changes,
        )
        self.boxes.append(box)
        return box

    def start_worker(self, record: Record, name: str, *arguments: str) -> int:
        """Start a worker as a process that records what it runs; return its port."""
        command = [sys.executable, "review/worker_2.py", "--name", name, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.children.append(process)
        assert process.stdout is not None
        port = int(process.stdout.readline().split()[1])
        threading.Thread(target=_copy, args=(process, name, record), daemon=True).start()
        return port


def _copy(process: subprocess.Popen[bytes], name: str, record: Record) -> None:
    assert process.stdout is not None
    for line in process.stdout:
        text = line.decode().strip()
        record.line(f"worker {name}: {text}")
        if text.startswith("run "):
            _, attempt, crc, _, rest = text.split(" ", 4)
            record.runs.setdefault(attempt, []).append((crc, rest))


def run_case(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case; return its exit status, 2 if it couldn't run or was told to end."""
    try:
        return asyncio.run(_run_until_told(main))
    except asyncio.CancelledError:
        return 2
    except Exception:
        traceback.print_exc()
        return 2


async def _run_until_told(main: Callable[[], Coroutine[Any, Any, int]]) -> int:
    """Run a case; SIGTERM cancels it, so that the processes that it started end with it."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await main()


@dataclass
class Seen:
    """One client attempt and what its client saw; times in seconds of the script."""

    id: str
    path: str
    box: str
    sent: float
    ended: float = 0.0
    status: int = 0
    end: str = ""
    body: bytes = b""
    sealed: bool = False
    first_byte: float = 0.0


async def request(
    box: BoxProcess,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    deadline_ms: int = 4000,
    wait_s: float | None = None,
    keep: bool = True,
    headers: str = "",
) -> Seen:
    """Send one request on a new connection and wait for its whole answer."""
    seen = Seen(
        f"a{next(_ids):06d}{random.randrange(1 << 24):06x}", path, box.name, time.monotonic()
    )
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 if wait_s is None else wait_s):
            reader, writer = await asyncio.open_connection(*box.front)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {seen.id}\r\n"
                f"Deadline-Ms: {deadline_ms}\r\n{headers}"
            )
            if body or method != "GET":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            await _read_answer(reader, seen, keep=keep)
    except TimeoutError:
        seen.end = seen.end or "no answer until the client's deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        seen.end = f"cut: {error!r:.60}"
    finally:
        seen.ended = time.monotonic()
        if writer is not None:
            writer.close()
    return seen


async def _read_answer(reader: asyncio.StreamReader, seen: Seen, *, keep: bool) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    seen.first_byte = time.monotonic()
    lines = head.decode("latin-1").split("\r\n")
    seen.status = int(lines[0].split()[1])
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    seen.sealed = "response-seal" in headers
    parts = []
    if "content-length" in headers:
        parts.append(await reader.readexactly(int(headers["content-length"])))
    elif not keep:
        tail = b""
        while not tail.endswith(b"0\r\n\r\n"):
            data = await reader.read(1 << 20)
            if not data:
                raise asyncio.IncompleteReadError(b"", None)
            tail = (tail + data)[-5:]
    else:
        while size := int(await reader.readline(), 16):
            part = await reader.readexactly(size + 2)
            if keep:
                parts.append(part[:-2])
        await reader.readline()
    seen.body = b"".join(parts)
    seen.end = "answered"


class Record:
    """What was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()
        #: By the id of the client attempt, the CRC of the body and the request line of each run.
        self.runs: dict[str, list[tuple[str, str]]] = {}

    def line(self, text: str) -> None:
        """Write one line, with the seconds since the start."""
        with self._lock:
            print(f"{time.monotonic() - self._began:8.3f} {text}", file=self._file, flush=True)

    def seen(self, seen: Seen) -> None:
        """Write what a client saw."""
        self.line(
            f"request {seen.id} {seen.path} to {seen.box}: {seen.end}, status {seen.status}, "
            f"after {seen.ended - seen.sent:.3f} s"
        )


def document(version: int, routes: list[dict[str, Any]], services: list[str]) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    return {
        "version": f"r{version}",
        "routes": [{"host": HOST, "priority": 1, **route} for route in routes],
        "services": [
            {"name": name, "health-path": "/health", "max-connections": 260} for name in services
        ],
        "limits": {},
    }


def worker_row(
    address: str,
    service: str,
    zone: str,
    *,
    state: str = "ready",
    sequence: int = 1,
    capacity: int = 6,
    born: int | None = None,
) -> dict[str, Any]:
    """Return the entry of a worker in the store."""
    row: dict[str, Any] = {
        "address": address,
        "info": {"service": service, "version": "v1", "zone": zone, "capacity": capacity},
        "status": {"state": state, "sequence": sequence, "warmup-left": "0ms"},
    }
    return row if born is None else {**row, "born": born}
