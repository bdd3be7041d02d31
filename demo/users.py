"""Demonstrate entry boxes on stand-ins of the store and workers of the users' platform.

Two boxes run as processes, each on its own loopback address.  Requests are sent
while the settings change, a target leaves and a box is stopped by a signal.
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

_CALL_TIMEOUT_S = 5.0
_HOST = "catalogue.example"


class UsersFleet:
    """A store, workers and boxes; use it as an asynchronous context manager.

    Parameters
    ----------
    directory : Path
        For settings files and logs.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        rng = random.SystemRandom()
        self._subnet = f"127.{rng.randrange(1, 255)}.{rng.randrange(255)}"
        self.store = StoreStandin()
        self.workers: list[WorkerStandin] = []
        self.boxes: list[BoxProcess] = []
        self._request_count = 0

    async def __aenter__(self) -> UsersFleet:
        """Start the store."""
        await self.store.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all boxes, the workers and the store."""
        for box in self.boxes:
            if box.running:
                box.kill()
        for worker in self.workers:
            await worker.close()
        await self.store.close()

    async def add_worker(self, service: str, **settings: Any) -> WorkerStandin:  # noqa: ANN401
        """Start a worker and register it in the store.

        Parameters
        ----------
        service : str
        **settings : Any
            Fields of ``WorkerSettings``.
        """
        worker = WorkerStandin(WorkerSettings(**settings))
        await worker.start()
        self.workers.append(worker)
        self.store.put("servers", worker.instance, worker.row(service, zone="hall-a"))
        return worker

    def make_box(self, zone: str = "hall-a") -> BoxProcess:
        """Write the settings file of a new box and return the box, not started."""
        number = len(self.boxes) + 1
        name = f"front-{number}"
        box = BoxProcess(name, zone, f"{self._subnet}.{number}", self._directory / f"{name}.log")
        self.boxes.append(box)
        box.write_settings(self.store.address, [f"{self._subnet}.1"])
        return box

    async def start_box(self) -> BoxProcess:
        """Start a box and wait until it is ready."""
        box = self.make_box()
        box.start()
        await box.wait_ready()
        return box

    async def call(self, box: BoxProcess, path: str, *, method: str = "GET") -> tuple[int, bytes]:
        """Send one request to a box; return status and body."""
        self._request_count += 1
        host, _, port = box.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"x" if method == "POST" else b""
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {_HOST}\r\n"
                f"Attempt-Id: c{self._request_count}\r\n"
                f"Deadline-Ms: 5000\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            async with asyncio.timeout(_CALL_TIMEOUT_S + 1):
                answer = await reader.read()
        finally:
            writer.close()
        answer_head, _, answer_body = answer.partition(b"\r\n\r\n")
        return int(answer_head.split()[1]), answer_body


def document(version: int, service: str) -> dict[str, Any]:
    """Return an operator's document with a safe and an unsafe route.

    Parameters
    ----------
    version : int
    service : str
        Service to which both routes lead.
    """
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
        first_box, second_box = await fleet.start_box(), await fleet.start_box()
        names = {w.instance: f"worker-{n}" for n, w in enumerate(fleet.workers, 1)}

        async def calls(title: str, box: BoxProcess) -> Counter[str]:
            results = [
                await fleet.call(box, "/lookup/x" if n % 3 else "/loan/x", method="GET")
                for n in range(40)
            ]
            by_worker = Counter(
                names.get(body.decode().split()[0], "none") for _, body in results if body
            )
            failed = sum(status != 200 for status, _ in results)
            print(
                f"-- {title}: {len(results)} requests, {failed} lost; "
                f"{dict(sorted(by_worker.items()))}"
            )
            nonlocal lost
            lost += failed
            return by_worker

        print("\n== entry boxes on the users' platform")
        await calls("normal operation", first_box)
        fleet.store.put("op", "config", document(2, "ingest"))
        for box in fleet.boxes:
            await wait_until(lambda box=box: '"version":2' in box.read_log(), "settings version 2")  # type: ignore[misc]
        moved_to = await calls("route moved to ingest", second_box)
        lost += set(moved_to) != {"worker-3"}
        fleet.store.put("op", "config", document(3, "holdings"))
        leaving = fleet.workers[0]
        row = leaving.row("holdings", zone="hall-a", state="draining", sequence=2)
        fleet.store.put("servers", leaving.instance, row)
        for box in fleet.boxes:
            await wait_until(lambda box=box: "target-leaving" in box.read_log(), "worker leaves")  # type: ignore[misc]
        lost += "worker-1" in await calls(
            "route moved back to holdings, worker-1 leaving", first_box
        )
        first_box.send_signal(signal.SIGTERM)
        await first_box.wait_ready(status=503)
        await calls("front-1 stopping after SIGTERM", second_box)
        status = await first_box.wait_exit()
        print(f"   front-1 exited with status {status}")
        lost += status != 0
    return lost


def show(directory: Path) -> int:
    """Run the steps; return the number of requests and checks that failed."""
    return asyncio.run(_show(directory))
