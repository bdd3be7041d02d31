"""Show entry boxes as the users' platform runs them, on stand-ins of its store and workers.

Two boxes run as plain processes, each on a loopback address of its own.
Callers send requests while the settings change, a target leaves and a box is
stopped by a signal.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections import Counter
from typing import TYPE_CHECKING, Any

from dunlinnotch.standins.users.box import BoxProcess, wait_until
from dunlinnotch.standins.users.operator import RoutePlan, operator_document
from dunlinnotch.standins.users.store import StoreStandin
from dunlinnotch.standins.users.worker import WorkerSettings, WorkerStandin

if TYPE_CHECKING:
    from pathlib import Path

_CALL_S = 5.0
_HOST = "catalogue.example"


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
        self.boxes: list[BoxProcess] = []
        self._count = 0

    async def __aenter__(self) -> UsersFleet:
        """Start the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything that was started here."""
        for box in self.boxes:
            if box.running:
                box.kill()
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

    def make_box(self, zone: str = "hall-a") -> BoxProcess:
        """Return a box with its settings file written, not started."""
        number = len(self.boxes) + 1
        name = f"front-{number}"
        box = BoxProcess(name, zone, f"{self._net}.{number}", self._directory / f"{name}.log")
        self.boxes.append(box)
        box.write_settings(self.store.address, [f"{self._net}.1"])
        return box

    async def start_box(self) -> BoxProcess:
        """Start a box and wait until it is ready."""
        box = self.make_box()
        box.start()
        await box.wait_ready()
        return box

    async def call(self, box: BoxProcess, path: str, *, method: str = "GET") -> tuple[int, bytes]:
        """Send one request to a box; return status and body."""
        self._count += 1
        host, _, port = box.caller_address.rpartition(":")
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
    routes = [
        RoutePlan("lookup", "/lookup/", service, "safe"),
        RoutePlan("loan", "/loan/", service, "unsafe"),
    ]
    return operator_document(version, host=_HOST, routes=routes, services=["holdings", "ingest"])


async def _show(directory: Path) -> int:
    lost = 0
    async with UsersFleet(directory) as fleet:
        fleet.store.put("op", "config", document(1, "holdings"))
        for service in ("holdings", "holdings", "ingest"):
            await fleet.add_worker(service, work_s=0.01)
        first, second = await fleet.start_box(), await fleet.start_box()
        names = {w.instance: f"worker-{n}" for n, w in enumerate(fleet.workers, 1)}

        async def calls(title: str, box: BoxProcess) -> Counter[str]:
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
            await wait_until(lambda box=box: '"version":2' in box.read_log(), "version 2")  # type: ignore[misc]
        moved = await calls("route moved to ingest", second)
        lost += set(moved) != {"worker-3"}
        fleet.store.put("op", "config", document(3, "holdings"))
        leaving = fleet.workers[0]
        row = leaving.row("holdings", zone="hall-a", state="draining", sequence=2)
        fleet.store.put("servers", leaving.instance, row)
        for box in fleet.boxes:
            await wait_until(lambda box=box: "target-leaving" in box.read_log(), "target leaves")  # type: ignore[misc]
        lost += "worker-1" in await calls("moved back, worker-1 leaving", first)
        first.send_signal(signal.SIGTERM)
        await first.wait_ready(status=503)
        await calls("front-1 is asked to stop", second)
        status = await first.wait_exit()
        print(f"   front-1 ended with status {status}")
        lost += status != 0
    return lost


def show(directory: Path) -> int:
    """Run the steps; return how much was lost."""
    return asyncio.run(_show(directory))
