"""The processes and servers of an experiment: boxes, targets, the store, and link proxies."""

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
    from collections.abc import Callable, Mapping
    from pathlib import Path

    from dunlinnotch.lab.link import LinkState
    from dunlinnotch.lab.scenario import KindPlan, Scenario, ServicePlan
    from dunlinnotch.types import Address, Seconds

HOST = "lab.example"
_SEED_BOX_COUNT = 3
_MS_PER_S = 1000.0
#: A leaving target continues to serve for this long after the drain limit of the scenario,
#: so that the checker can observe late requests.
_DRAIN_MARGIN_S = 0.5
#: Delay before a target that crashed is replaced.
_REPLACEMENT_DELAY_S = 2.0
#: Last path segment of requests that crash the targets that run them.
CRASH_SEGMENT = "deadly"
#: Last path segment of slow requests, and their processing time.
LONG_WORK_SEGMENT, LONG_WORK_S = "long", 2.0


@dataclass(slots=True, eq=False)
class Target:
    """One target and the link through which all boxes reach it."""

    worker: WorkerStandin
    link: FaultyLink
    service: str
    place: str
    sequence: int = 1
    #: Its row in the store; None once it is removed.
    row: dict[str, Any] | None = None
    #: When it announced that it leaves, in monotonic seconds.
    leaving_at: Seconds | None = None
    #: Whether it is being stopped or has crashed; prevents a second termination.
    terminating: bool = False


class Fleet:
    """The boxes, targets and store of a scenario; an asynchronous context manager.

    Parameters
    ----------
    scenario : Scenario
    directory : pathlib.Path
        Receives settings files and logs; must exist.

    Attributes
    ----------
    route_changes : dict of str to list of (float, str)
        For each kind, the times at which it was routed to a service, and the service.
    service_by_kind : dict of str to str
        The service that each kind is routed to now.
    terminated : list of Target
        Targets that have stopped or crashed.
    initial_source : pathlib.Path or None
        Directory of the version that the boxes run at first; None for this one.
    """

    def __init__(self, scenario: Scenario, directory: Path) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        system_rng = random.SystemRandom()
        self._network_prefix = f"127.{system_rng.randrange(1, 255)}.{system_rng.randrange(255)}"
        self._directory = directory
        self._loop = asyncio.get_running_loop()
        self.store = StoreStandin()
        self.boxes: list[BoxProcess] = []
        self.store_links: dict[str, FaultyLink] = {}
        self.targets: list[Target] = []
        self._path_states: dict[str, LinkState] = {}
        self.terminated: list[Target] = []
        self.initial_source: Path | None = None
        self.service_by_kind: dict[str, str] = {kind.name: kind.service for kind in scenario.kinds}
        self.route_changes: dict[str, list[tuple[Seconds, str]]] = {
            k.name: [] for k in scenario.kinds
        }
        self._version = 0
        self._document: dict[str, Any] = {}
        self._background_tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Fleet:
        """Start the store, the targets and the boxes; wait until the boxes are ready."""
        await self.store.start()
        self.write_settings()
        for service in self.scenario.services:
            for number in range(service.targets):
                place = self.scenario.places[number % len(self.scenario.places)]
                await self.add_target(service, place)
        seeds = [
            f"{self._network_prefix}.{n}"
            for n in range(1, min(_SEED_BOX_COUNT, self.scenario.boxes) + 1)
        ]
        for number in range(1, self.scenario.boxes + 1):
            await self._add_box(number, seeds)
        for box in self.boxes:
            box.source = self.initial_source
            box.start()
        try:
            await asyncio.gather(*(box.wait_ready() for box in self.boxes))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all boxes, targets and links, and the store."""
        for task in self._background_tasks:
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        for box in self.boxes:
            if box.running:
                box.send_signal(signal.SIGCONT)
                box.kill()
        for target in (*self.targets, *self.terminated):
            await target.link.close()
            await target.worker.close()
        for link in self.store_links.values():
            await link.close()
        await self.store.close()

    # Boxes

    async def _add_box(self, number: int, seeds: list[str]) -> None:
        name = f"box-{number}"
        place = self.scenario.places[(number - 1) % len(self.scenario.places)]
        box = BoxProcess(
            name, place, f"{self._network_prefix}.{number}", self._directory / f"{name}.log"
        )
        link = FaultyLink(self.store.address)
        box.write_settings(
            await link.start(),
            seeds,
            **{
                "terms.bounds.grace": f"{self.scenario.bounds.grace:g}s",
                "terms.bounds.probes-per-s": f"{self.scenario.bounds.probes_per_s:g}",
                "terms.bounds.budget-ratio": f"{self.scenario.bounds.repeat_ratio:g}",
                "terms.bounds.budget-slack": f"{self.scenario.bounds.repeat_slack:g}",
                "terms.bounds.budget-window": f"{self.scenario.bounds.repeat_window:g}s",
            },
        )
        self.store_links[name] = link
        self.boxes.append(box)

    def directories(self, place: str) -> list[Address]:
        """Return the addresses of the boxes' directory service, those in ``place`` first."""
        same_place = [box.directory_address for box in self.boxes if box.zone == place]
        other_places = [box.directory_address for box in self.boxes if box.zone != place]
        self.rng.shuffle(same_place)
        self.rng.shuffle(other_places)
        return same_place + other_places

    # Targets

    def cut_paths(self, states: Mapping[str, LinkState]) -> None:
        """Change how the links to all targets, also to later ones, treat some boxes.

        Parameters
        ----------
        states : mapping of str to LinkState
            By the IP address of a box.
        """
        self._path_states.update(states)
        for target in self.targets:
            for ip, state in states.items():
                target.link.set_client_state(ip, state)

    async def add_target(self, service: ServicePlan, place: str) -> Target:
        """Start a target and write its row to the store."""
        settings = WorkerSettings(
            slots=service.slots,
            queue=service.queue,
            hangs_when_saturated=service.hangs,
            work_s_for=self._work_time,
            crashes_on=crashes_target,
        )
        worker = WorkerStandin(settings)
        await worker.start()
        target = Target(worker, FaultyLink(worker.address), service.name, place)
        await target.link.start()
        for ip, state in self._path_states.items():
            target.link.set_client_state(ip, state)
        self.targets.append(target)
        self._write_row(target, "ready")
        self._background_tasks.add(asyncio.create_task(self._replace_crashed(target, service)))
        return target

    async def _replace_crashed(self, target: Target, service: ServicePlan) -> None:
        """Replace a target once it has crashed while running a request."""
        await target.worker.crashed.wait()
        if target.terminating:
            return
        target.terminating = True
        await target.link.close()
        await asyncio.sleep(_REPLACEMENT_DELAY_S)
        await self.end_target(target)
        await self.add_target(service, target.place)

    def announce_leaving(self, target: Target) -> None:
        """Announce in a target's row and in its answers that it leaves."""
        target.sequence += 1
        target.leaving_at = self._loop.time()
        target.worker.settings.leaving = True
        self._write_row(target, "draining")

    def leave_without_row(self, target: Target) -> None:
        """Remove a target's row; the target announces only in its answers that it leaves."""
        target.leaving_at = self._loop.time()
        target.worker.settings.leaving = True
        self._remove_row(target)

    async def end_target(self, target: Target) -> None:
        """Terminate a target; the requests it ran are kept for the checker."""
        self.targets.remove(target)
        self.terminated.append(target)
        self._remove_row(target)
        await target.link.close()
        await target.worker.close()

    async def release(self, target: Target, *, announce: Callable[[Target], None]) -> None:
        """Replace a target as in a planned release.

        Parameters
        ----------
        target : Target
        announce : callable
            Announces that the target leaves.
        """
        target.terminating = True
        service_plan = next(s for s in self.scenario.services if s.name == target.service)
        await self.add_target(service_plan, target.place)
        announce(target)
        await asyncio.sleep(self.scenario.bounds.drain + _DRAIN_MARGIN_S)
        while target.worker.busy:
            await asyncio.sleep(_DRAIN_MARGIN_S / 10)
        await self.end_target(target)

    def rewrite_lost_rows(self) -> None:
        """Write the operator document and target rows again where the store differs from them."""
        if self.store.value("op", "config") != self._document:
            self.store.put("op", "config", self._document)
        for target in self.targets:
            instance = target.worker.instance
            if target.row is not None and self.store.value("servers", instance) != target.row:
                self.store.put("servers", instance, target.row)

    def expire_rows(self, *, after: Seconds) -> None:
        """Remove, after a delay in the background, the rows that no running target writes."""
        self._background_tasks.add(asyncio.create_task(self._expire_rows(after)))

    async def _expire_rows(self, after: Seconds) -> None:
        await asyncio.sleep(after)
        live_instances = {
            target.worker.instance for target in self.targets if target.row is not None
        }
        for instance in self.store.keys("servers") - live_instances:
            self.store.remove("servers", instance)

    def _remove_row(self, target: Target) -> None:
        target.row = None
        self.store.remove("servers", target.worker.instance)

    def _write_row(self, target: Target, state: str) -> None:
        target.row = target.worker.row(
            target.service,
            zone=target.place,
            state=state,
            sequence=target.sequence,
            address=target.link.address,
        )
        self.store.put("servers", target.worker.instance, target.row)

    def _work_time(self, path: str) -> float:
        request_kind = next(
            (k for k in self.scenario.kinds if path.startswith(path_prefix(k))), None
        )
        if request_kind is None:
            return 0.0
        if path.endswith(f"/{LONG_WORK_SEGMENT}"):
            return LONG_WORK_S
        return request_kind.work_ms / _MS_PER_S * self.rng.uniform(0.7, 1.3)

    # Settings

    def move_kind(self, kind: str, service: str) -> None:
        """Route a request kind to another service."""
        self.service_by_kind[kind] = service
        self.write_settings()

    def write_settings(self) -> None:
        """Write the next version of the settings to the store."""
        self._version += self.rng.randint(1, 3)
        routes = [
            RoutePlan(
                kind.name,
                path_prefix(kind),
                self.service_by_kind[kind.name],
                "safe" if kind.repeatable else "unsafe",
                target_latency_ms=kind.target_latency_ms,
                timeout_ms=kind.deadline_ms,
                attempts=kind.attempts,
                priority=kind.rank,
            )
            for kind in self.scenario.kinds
        ]
        services = [service.name for service in self.scenario.services]
        self._document = operator_document(
            self._version, host=HOST, routes=routes, services=services
        )
        self.store.put("op", "config", self._document)
        now = self._loop.time()
        for name, service in self.service_by_kind.items():
            changes = self.route_changes[name]
            if not changes or changes[-1][1] != service:
                changes.append((now, service))


def crashes_target(path: str) -> bool:
    """Return whether a request for this path crashes the target that runs it."""
    return path.partition("?")[0].endswith(f"/{CRASH_SEGMENT}")


def path_prefix(kind: KindPlan) -> str:
    """Return the path prefix of the requests of a kind."""
    return f"/{kind.name}/"
