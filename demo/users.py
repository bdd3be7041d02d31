"""Show entry boxes as the users' platform runs them, on stand-ins of its store and workers.

Two boxes run as plain processes, each on a loopback address of its own.
Callers send requests while the settings change, a target leaves and a box is
stopped by a signal.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
from collections import Counter
from typing import TYPE_CHECKING, Any

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.standins.users.store import StoreStandin
from dunlinnotch.standins.users.worker import WorkerSettings, WorkerStandin
from dunlinnotch.transport.stream.fetch import Fetcher

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

_READY_S = 20.0
_CALL_S = 5.0
_HOST = "catalogue.example"
_CALLER_PORT, _READY_PORT, _CONTROL_PORT, _DIRECTORY_PORT = 8144, 8140, 8146, 8143
FIGURES_PORT = 9464


class UsersBox:
    """One box process.

    Parameters
    ----------
    name, zone, ip : str
    log : Path
        Gets its standard output.
    """

    def __init__(self, name: str, zone: str, ip: str, log: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.log = log
        self.settings = log.with_suffix(".conf")
        self.process: subprocess.Popen[bytes] | None = None
        self.caller = f"{ip}:{_CALLER_PORT}"
        self.readiness = f"{ip}:{_READY_PORT}"
        self.directory = f"{ip}:{_DIRECTORY_PORT}"
        self.figures = f"{ip}:{FIGURES_PORT}"

    def write_settings(self, store: str, seeds: list[str], **changes: str) -> None:
        """Write the settings file as the platform does."""
        fields = {
            "self.node-name": self.name,
            "self.zone": self.zone,
            "self.ip": self.ip,
            "network.bind.front": self.caller,
            "network.bind.readiness": self.readiness,
            "network.bind.control": f"{self.ip}:{_CONTROL_PORT}",
            "network.bind.directory": self.directory,
            "network.internal-port-range": "7660,7675",
            "network.seeds": ",".join(f"{seed}:{_CONTROL_PORT}" for seed in seeds),
            "platform.platform.address": store,
            "terms.bounds.grace": "2s",
            "terms.bounds.probes-per-s": "6000",
            **changes,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self.settings.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "DUNLINNOTCH_NODE_FILE": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "dunlinnotch.platform"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end of the process; return its status."""
        process = self.process
        assert process is not None
        await until(lambda: process.poll() is not None, f"{self.name} has ended")
        return process.returncode

    def events(self) -> str:
        """Return what the process has logged."""
        return self.log.read_text(encoding="utf-8")


class UsersFleet:
    """A store, workers and boxes; use it as an asynchronous context.

    Parameters
    ----------
    directory : Path
        For settings files and logs.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        rng = random.SystemRandom()
        self._net = f"127.{rng.randrange(1, 255)}.{rng.randrange(255)}"
        self.store = StoreStandin()
        self.workers: list[WorkerStandin] = []
        self.boxes: list[UsersBox] = []
        self._count = 0

    async def __aenter__(self) -> UsersFleet:
        """Start the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything that was started here."""
        for box in self.boxes:
            if box.process is not None and box.process.poll() is None:
                box.process.kill()
                box.process.wait()
        for worker in self.workers:
            await worker.close()
        await self.store.close()

    async def add_worker(self, service: str, **settings: Any) -> WorkerStandin:  # noqa: ANN401
        """Start a worker and list it in the store."""
        worker = WorkerStandin(WorkerSettings(**settings))
        await worker.start()
        self.workers.append(worker)
        self.store.put("servers", worker.instance, worker.row(service, zone="hall-a"))
        return worker

    def make_box(self, zone: str = "hall-a") -> UsersBox:
        """Return a box with its settings file written, not started."""
        number = len(self.boxes) + 1
        name = f"front-{number}"
        box = UsersBox(name, zone, f"{self._net}.{number}", self._directory / f"{name}.log")
        self.boxes.append(box)
        box.write_settings(self.store.address, [f"{self._net}.1"])
        return box

    async def start_box(self) -> UsersBox:
        """Start a box and wait until it is ready."""
        box = self.make_box()
        box.start()
        await self.wait_ready(box)
        return box

    async def wait_ready(self, box: UsersBox, *, status: int = 200) -> None:
        """Wait until a box's readiness has a status."""
        async with asyncio.timeout(_READY_S):
            while await self.status_of(box.readiness, "/api/readiness") != status:
                await asyncio.sleep(0.02)

    async def status_of(self, address: str, path: str) -> int:
        """Return the status of one answer; 0 if there was none."""
        try:
            return (await Fetcher(address).fetch("GET", path, timeout=_CALL_S)).status
        except PlatformUnavailableError:
            return 0

    async def call(self, box: UsersBox, path: str, *, method: str = "GET") -> tuple[int, bytes]:
        """Send one request to a box; return status and body."""
        self._count += 1
        host, _, port = box.caller.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"x" if method == "POST" else b""
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {_HOST}\r\nAttempt-Id: c{self._count}\r\n"
                f"Deadline-Ms: 5000\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            async with asyncio.timeout(_CALL_S + 1):
                answer = await reader.read()
        finally:
            writer.close()
        top, _, rest = answer.partition(b"\r\n\r\n")
        return int(top.split()[1]), rest


def document(version: int, service: str) -> dict[str, Any]:
    """Return an operator's document with one safe and one unsafe route."""
    common = {
        "host": _HOST,
        "timeout": "4s",
        "target-latency": "1s",
        "max-attempts": 3,
        "priority": 1,
        "service": service,
    }
    return {
        "version": f"r{version}",
        "routes": [
            {"name": "lookup", "path-prefix": "/lookup/", "route-type": "safe", **common},
            {"name": "loan", "path-prefix": "/loan/", "route-type": "unsafe", **common},
        ],
        "services": [{"name": n, "health-path": "/health"} for n in ("holdings", "ingest")],
        "limits": {},
    }


async def until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        Names what was waited for.
    """
    try:
        async with asyncio.timeout(_READY_S):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        msg = f"not within {_READY_S} s: {what}"
        raise TimeoutError(msg) from None


async def _show(directory: Path) -> int:
    lost = 0
    async with UsersFleet(directory) as fleet:
        fleet.store.put("op", "config", document(1, "holdings"))
        for service in ("holdings", "holdings", "ingest"):
            await fleet.add_worker(service, work_s=0.01)
        first, second = await fleet.start_box(), await fleet.start_box()
        names = {w.instance: f"worker-{n}" for n, w in enumerate(fleet.workers, 1)}

        async def calls(title: str, box: UsersBox) -> Counter[str]:
            results = [
                await fleet.call(box, "/lookup/x" if n % 3 else "/loan/x", method="GET")
                for n in range(40)
            ]
            by = Counter(names.get(body.decode().split()[0], "none") for _, body in results if body)
            bad = sum(status != 200 for status, _ in results)
            print(f"-- {title}: {len(results)} requests, {bad} lost; {dict(sorted(by.items()))}")
            nonlocal lost
            lost += bad
            return by

        print("\n== entry boxes on the users' platform")
        await calls("as usual", first)
        fleet.store.put("op", "config", document(2, "ingest"))
        for box in fleet.boxes:
            await until(lambda box=box: '"version":2' in box.events(), "version 2")  # type: ignore[misc]
        moved = await calls("route moved to ingest", second)
        lost += set(moved) != {"worker-3"}
        fleet.store.put("op", "config", document(3, "holdings"))
        leaving = fleet.workers[0]
        row = leaving.row("holdings", zone="hall-a", state="draining", sequence=2)
        fleet.store.put("servers", leaving.instance, row)
        for box in fleet.boxes:
            await until(lambda box=box: "target-leaving" in box.events(), "target leaves")  # type: ignore[misc]
        lost += "worker-1" in await calls("moved back, worker-1 leaving", first)
        first.send_signal(signal.SIGTERM)
        await fleet.wait_ready(first, status=503)
        await calls("front-1 is asked to stop", second)
        status = await first.ended()
        print(f"   front-1 ended with status {status}")
        lost += status != 0
    return lost


def show(directory: Path) -> int:
    """Run the steps; return how much was lost."""
    return asyncio.run(_show(directory))
