"""What an experiment runs: a store, targets, boxes, and a proxy on each link."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dunlinnotch.lab.link import FaultyLink
from dunlinnotch.standins.users.box import BoxProcess
from dunlinnotch.standins.users.operator import RoutePlan, operator_document
from dunlinnotch.standins.users.store import StoreStandin
from dunlinnotch.standins.users.worker import WorkerSettings, WorkerStandin

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from dunlinnotch.lab.scenario import KindPlan, Scenario, ServicePlan
    from dunlinnotch.types import Address, Seconds

HOST = "lab.example"
_SEEDS = 3
_MS = 1000.0
#: A target is told of as gone once it has ended; it serves so long after its leaving is
#: known, beyond the bound of the day, in seconds.
_SERVES_ON_S = 0.5
#: Time after which another target takes the place of one that ended under a request, in
#: seconds.
_BACK_S = 2.0
#: Last part of the path of a request that ends the targets that run it.
DEADLY = "deadly"
#: Last part of the path of a request of long work, and that work in seconds.
LONG, LONG_S = "long", 2.0


@dataclass(slots=True, eq=False)
class Target:
    """One target with the link that all boxes reach it by."""

    worker: WorkerStandin
    link: FaultyLink
    service: str
    place: str
    sequence: int = 1
    #: What it says of itself in the store; None once its row is gone.
    row: dict[str, Any] | None = None
    leaving_at: Seconds | None = None
    #: Whether it is about to end; it is not chosen for a second end.
    ending: bool = False


class Fleet:
    """A day's boxes, targets and store; use it as an asynchronous context.

    Parameters
    ----------
    day : Day
    directory : Path
        For settings files and logs.

    Attributes
    ----------
    moved_at : dict of str to list of (float, str)
        For each kind, when it went to which service.
    ended : list of Target
        Targets that have ended.
    """

    def __init__(self, day: Scenario, directory: Path) -> None:
        self.day = day
        self.rng = random.Random(day.seed)
        net = random.SystemRandom()
        self._net = f"127.{net.randrange(1, 255)}.{net.randrange(255)}"
        self._directory = directory
        self._loop = asyncio.get_running_loop()
        self.store = StoreStandin()
        self.boxes: list[BoxProcess] = []
        self.store_links: dict[str, FaultyLink] = {}
        self.targets: list[Target] = []
        self.ended: list[Target] = []
        self.services: dict[str, str] = {kind.name: kind.service for kind in day.kinds}
        self.moved_at: dict[str, list[tuple[Seconds, str]]] = {k.name: [] for k in day.kinds}
        self._version = 0
        self._document: dict[str, Any] = {}
        self._watches: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Fleet:
        """Start everything and wait until the boxes serve."""
        await self.store.start()
        self.write_settings()
        for service in self.day.services:
            for number in range(service.targets):
                place = self.day.places[number % len(self.day.places)]
                await self.add_target(service, place)
        seeds = [f"{self._net}.{n}" for n in range(1, min(_SEEDS, self.day.boxes) + 1)]
        for number in range(1, self.day.boxes + 1):
            await self._add_box(number, seeds)
        for box in self.boxes:
            box.start()
        try:
            await asyncio.gather(*(box.wait_ready() for box in self.boxes))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything that was started here."""
        for watch in self._watches:
            watch.cancel()
        await asyncio.gather(*self._watches, return_exceptions=True)
        for box in self.boxes:
            if box.running:
                box.send_signal(signal.SIGCONT)
                box.kill()
        for target in (*self.targets, *self.ended):
            await target.link.close()
            await target.worker.close()
        for link in self.store_links.values():
            await link.close()
        await self.store.close()

    # -- boxes

    async def _add_box(self, number: int, seeds: list[str]) -> None:
        name = f"box-{number}"
        place = self.day.places[(number - 1) % len(self.day.places)]
        box = BoxProcess(name, place, f"{self._net}.{number}", self._directory / f"{name}.log")
        link = FaultyLink(self.store.address)
        box.write_settings(
            await link.start(),
            seeds,
            **{
                "terms.bounds.grace": f"{self.day.bounds.grace:g}s",
                "terms.bounds.probes-per-s": f"{self.day.bounds.probes_per_s:g}",
                "terms.bounds.budget-ratio": f"{self.day.bounds.repeat_ratio:g}",
                "terms.bounds.budget-slack": f"{self.day.bounds.repeat_slack:g}",
                "terms.bounds.budget-window": f"{self.day.bounds.repeat_window:g}s",
            },
        )
        self.store_links[name] = link
        self.boxes.append(box)

    def directories(self, place: str) -> list[Address]:
        """Return where a caller asks which boxes to use, nearer ones first."""
        near = [box.directory for box in self.boxes if box.zone == place]
        far = [box.directory for box in self.boxes if box.zone != place]
        self.rng.shuffle(near)
        self.rng.shuffle(far)
        return near + far

    # -- targets

    async def add_target(self, service: ServicePlan, place: str) -> Target:
        """Start a target and have it listed."""
        settings = WorkerSettings(
            slots=service.slots,
            queue=service.queue,
            hangs_when_full=service.hangs,
            work_of=self._work_of,
            ends_under=is_deadly,
        )
        worker = WorkerStandin(settings)
        await worker.start()
        target = Target(worker, FaultyLink(worker.address), service.name, place)
        await target.link.start()
        self.targets.append(target)
        self._list(target, "ready")
        self._watches.add(asyncio.create_task(self._watch(target, service)))
        return target

    async def _watch(self, target: Target, service: ServicePlan) -> None:
        """Replace a target that ends under a request."""
        await target.worker.ended.wait()
        if target.ending:
            return
        target.ending = True
        await target.link.close()
        await asyncio.sleep(_BACK_S)
        await self.end_target(target)
        await self.add_target(service, target.place)

    def announce_leaving(self, target: Target) -> None:
        """Have a target say that it leaves."""
        target.sequence += 1
        target.leaving_at = self._loop.time()
        target.worker.settings.leaving = True
        self._list(target, "draining")

    def vanish(self, target: Target) -> None:
        """Have a target's row go; the target itself says that it leaves, and serves on."""
        target.leaving_at = self._loop.time()
        target.worker.settings.leaving = True
        self._unlist(target)

    async def end_target(self, target: Target) -> None:
        """End a target; what it ran is kept for the referee."""
        self.targets.remove(target)
        self.ended.append(target)
        self._unlist(target)
        await target.link.close()
        await target.worker.close()

    async def release(self, target: Target, *, announce: Callable[[Target], None]) -> None:
        """Have a target leave as planned, and another take its place."""
        target.ending = True
        plan = next(s for s in self.day.services if s.name == target.service)
        await self.add_target(plan, target.place)
        announce(target)
        await asyncio.sleep(self.day.bounds.drain + _SERVES_ON_S)
        while target.worker.busy:
            await asyncio.sleep(_SERVES_ON_S / 10)
        await self.end_target(target)

    def write_again(self) -> None:
        """Have operator and targets write what the store does not hold as they wrote it."""
        if self.store.value("op", "config") != self._document:
            self.store.put("op", "config", self._document)
        for target in self.targets:
            instance = target.worker.instance
            if target.row is not None and self.store.value("servers", instance) != target.row:
                self.store.put("servers", instance, target.row)

    def drop_silent_rows(self, *, after: Seconds) -> None:
        """Remove, after some time, the rows of targets that no longer write any."""
        self._watches.add(asyncio.create_task(self._drop_silent_rows(after)))

    async def _drop_silent_rows(self, after: Seconds) -> None:
        await asyncio.sleep(after)
        writing = {target.worker.instance for target in self.targets if target.row is not None}
        for instance in self.store.keys("servers") - writing:
            self.store.remove("servers", instance)

    def _unlist(self, target: Target) -> None:
        target.row = None
        self.store.remove("servers", target.worker.instance)

    def _list(self, target: Target, state: str) -> None:
        target.row = target.worker.row(
            target.service,
            zone=target.place,
            state=state,
            sequence=target.sequence,
            address=target.link.address,
        )
        self.store.put("servers", target.worker.instance, target.row)

    def _work_of(self, path: str) -> float:
        kind = next((k for k in self.day.kinds if path.startswith(prefix_of(k))), None)
        if kind is None:
            return 0.0
        if path.endswith(f"/{LONG}"):
            return LONG_S
        return kind.work_ms / _MS * self.rng.uniform(0.7, 1.3)

    # -- settings

    def move(self, kind: str, service: str) -> None:
        """Send a kind to another service from now on."""
        self.services[kind] = service
        self.write_settings()

    def write_settings(self) -> None:
        """Write the next version of the settings."""
        self._version += self.rng.randint(1, 3)
        routes = [
            RoutePlan(
                kind.name,
                prefix_of(kind),
                self.services[kind.name],
                "safe" if kind.repeatable else "unsafe",
                target_latency_ms=kind.target_latency_ms,
                timeout_ms=kind.deadline_ms,
                attempts=kind.attempts,
                priority=kind.rank,
            )
            for kind in self.day.kinds
        ]
        services = [service.name for service in self.day.services]
        self._document = operator_document(
            self._version, host=HOST, routes=routes, services=services
        )
        self.store.put("op", "config", self._document)
        now = self._loop.time()
        for name, service in self.services.items():
            moves = self.moved_at[name]
            if not moves or moves[-1][1] != service:
                moves.append((now, service))


def is_deadly(path: str) -> bool:
    """Return whether a request for a path ends the target that runs it."""
    return path.partition("?")[0].endswith(f"/{DEADLY}")


def prefix_of(kind: KindPlan) -> str:
    """Return the path prefix of a kind."""
    return f"/{kind.name}/"
