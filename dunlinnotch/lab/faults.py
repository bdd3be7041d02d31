"""Cause each trouble of a day at its time, and end it."""

from __future__ import annotations

import asyncio
import math
import random
import signal
from typing import TYPE_CHECKING, TypeVar

from dunlinnotch.lab.checker import BoxStop, FaultWindow
from dunlinnotch.lab.fleet import CRASH_SEGMENT, HOST, LONG_WORK_SEGMENT, path_prefix
from dunlinnotch.lab.link import LinkState
from dunlinnotch.lab.scenario import FaultKind
from dunlinnotch.standins.users.caller import CallerRequestPlan, CallerStandin
from dunlinnotch.standins.users.store import StoreFault
from dunlinnotch.standins.users.worker import WorkerFault

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence

    from dunlinnotch.lab.fleet import Fleet, Target
    from dunlinnotch.lab.scenario import FaultPlan
    from dunlinnotch.standins.users.box import BoxProcess
    from dunlinnotch.standins.users.caller import AttemptRecord
    from dunlinnotch.types import Seconds

_T = TypeVar("_T")

_USUAL_SLOWNESS = 100
#: A listed target disappears after three heartbeats without a word, in seconds.
_UNLISTED_S = 4.5
#: Rest that targets ask for, in seconds as they write them; some of it can't be read.
_RESTS = ("1", "1.5", "3", "4.25", "30", "soon", "-1")
#: A caller that leaves early closes its connection so long after it sent, in seconds.
_LEAVES_S = 0.3
_STORM_VERSIONS, _STORM_GAP_S = 10, 0.1
#: Time for which a store that comes back from a copy is away, and after which what is lost
#: begins to be written again, in seconds: at most.
_AWAY_S, _WRITTEN_AGAIN_S = 1.5, 1.5
#: Time between two boxes that are asked to stop one after the other, in seconds.
_STOP_GAP_S = 1.0


class FaultInjector:
    """The troubles of one day.

    Parameters
    ----------
    fleet : Fleet

    Attributes
    ----------
    windows : list of Window
        What was wrong when; grows as the day goes on.
    load : float
        How many times the usual requests callers send now.
    deadly_attempts : list of AttemptRecord
        Attempts of requests that end the targets that run them.
    left_attempts : list of AttemptRecord
        Attempts whose callers left amid them.
    stops : list of BoxStop
        Boxes that were asked to stop.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._rng = random.Random(fleet.scenario.seed + 1)
        self._loop = asyncio.get_running_loop()
        self.windows: list[FaultWindow] = []
        self.load = 1.0
        self.deadly_attempts: list[AttemptRecord] = []
        self.left_attempts: list[AttemptRecord] = []
        self.stops: list[BoxStop] = []
        self._how: dict[FaultKind, Callable[[FaultPlan], Coroutine[None, None, None]]] = {
            FaultKind.BURST: self._burst,
            FaultKind.TARGET_SLOW: self._slow_targets,
            FaultKind.TARGET_CRASH: self._crash_targets,
            FaultKind.TARGET_SILENT: self._cut_targets,
            FaultKind.TARGET_RESET: self._cut_targets,
            FaultKind.ANSWER_LOST: self._spoil_answers,
            FaultKind.ANSWER_CUT: self._spoil_answers,
            FaultKind.ANSWER_TWICE: self._spoil_answers,
            FaultKind.HEALTH_LIES: self._lie,
            FaultKind.TARGET_REFUSES: self._refuse,
            FaultKind.TARGET_RESTS: self._refuse,
            FaultKind.TARGET_LEAVES: self._release,
            FaultKind.RELEASE: self._release,
            FaultKind.DEADLY_REQUEST: self._send_deadly,
            FaultKind.CALLER_LEAVES: self._leave_early,
            FaultKind.BOX_KILL: self._kill_boxes,
            FaultKind.BOX_FREEZE: self._freeze_boxes,
            FaultKind.BOX_STOP: self._stop_boxes,
            FaultKind.STORE_DOWN: self._store_down,
            FaultKind.STORE_SLOW: self._store_slow,
            FaultKind.STORE_SILENT: self._cut_store,
            FaultKind.STORE_RESET: self._cut_store,
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.STORE_BACK: self._bring_back,
            FaultKind.SETTINGS_MOVE: self._move,
            FaultKind.SETTINGS_STORM: self._storm,
        }

    async def cause(self, plan: FaultPlan) -> None:
        """Wait for a trouble's time, cause it, end it, and note when it was."""
        await asyncio.sleep(plan.at)
        began = self._loop.time()
        # Open until it has ended, so that a day cut short excuses as much as it should.
        self.windows.append(FaultWindow(plan.kind, began, math.inf))
        place = len(self.windows) - 1
        await self._how[plan.kind](plan)
        self.windows[place] = FaultWindow(plan.kind, began, self._loop.time())

    def _some_targets(self, plan: FaultPlan) -> list[Target]:
        ready = [t for t in self._fleet.targets if not t.terminating]
        return _some(ready, plan.share, self._rng)

    def _some_boxes(self, plan: FaultPlan) -> list[BoxProcess]:
        running = [box for box in self._fleet.boxes if box.running]
        return _some(running, plan.share, self._rng)

    async def _burst(self, plan: FaultPlan) -> None:
        self.load *= plan.x
        await asyncio.sleep(plan.for_s)
        self.load /= plan.x

    # -- targets

    async def _slow_targets(self, plan: FaultPlan) -> None:
        targets = self._some_targets(plan)
        for target in targets:
            target.worker.settings.slowness = int(_USUAL_SLOWNESS * plan.x)
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.slowness = _USUAL_SLOWNESS

    async def _crash_targets(self, plan: FaultPlan) -> None:
        targets = self._some_targets(plan)
        for target in targets:
            target.terminating = True
            target.link.set_state(LinkState.RESET)
        await asyncio.sleep(_UNLISTED_S)
        for target in targets:
            await self._fleet.end_target(target)
        await asyncio.sleep(max(0.0, plan.for_s - _UNLISTED_S))
        for target in targets:
            service = next(s for s in self._fleet.scenario.services if s.name == target.service)
            await self._fleet.add_target(service, target.place)

    async def _cut_targets(self, plan: FaultPlan) -> None:
        targets = self._some_targets(plan)
        silent = plan.kind is FaultKind.TARGET_SILENT
        for target in targets:
            target.link.set_state(LinkState.SILENT if silent else LinkState.RESET)
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.link.set_state(LinkState.PASS)

    async def _spoil_answers(self, plan: FaultPlan) -> None:
        fault = {
            FaultKind.ANSWER_LOST: WorkerFault.LOST,
            FaultKind.ANSWER_CUT: WorkerFault.CUT,
            FaultKind.ANSWER_TWICE: WorkerFault.LATE_SURPLUS,
        }[plan.kind]

        def draw() -> WorkerFault:
            return fault if self._rng.random() < plan.x else WorkerFault.NONE

        targets = self._some_targets(plan)
        for target in targets:
            target.worker.settings.draw_fault = draw
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.draw_fault = None

    async def _refuse(self, plan: FaultPlan) -> None:
        targets = self._some_targets(plan)
        rests = plan.kind is FaultKind.TARGET_RESTS
        for target in targets:
            target.worker.settings.turns_away = lambda: self._rng.random() < plan.x
            target.worker.settings.rest = self._rng.choice(_RESTS) if rests else ""
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.turns_away = None
            target.worker.settings.rest = ""

    async def _lie(self, plan: FaultPlan) -> None:
        targets = self._some_targets(plan)
        for target in targets:
            target.worker.settings.healthy = False
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.healthy = True

    async def _release(self, plan: FaultPlan) -> None:
        quiet = plan.kind is FaultKind.TARGET_LEAVES
        announce = self._fleet.leave_silently if quiet else self._fleet.announce_leaving
        for target in self._some_targets(plan):
            if not target.terminating:
                await self._fleet.release(target, announce=announce)

    async def _send_deadly(self, plan: FaultPlan) -> None:
        # Its caller does not wait as told.
        path = CRASH_SEGMENT + "?draw={}"
        await self._send_alone(plan, path, self.deadly_attempts)

    async def _leave_early(self, plan: FaultPlan) -> None:
        await self._send_alone(
            plan, "{}/" + LONG_WORK_SEGMENT, self.left_attempts, leaves_after=_LEAVES_S
        )

    async def _send_alone(
        self,
        plan: FaultPlan,
        path: str,
        attempts: list[AttemptRecord],
        *,
        leaves_after: Seconds | None = None,
    ) -> None:
        """Have one caller send ``x`` requests a second, each once; ``path`` has a gap to fill."""
        kind = next((kind for kind in self._fleet.scenario.kinds if kind.repeatable), None)
        if kind is None:
            return
        caller = CallerStandin(
            self._rng.choice(self._fleet.scenario.places),
            HOST,
            directories=self._fleet.directories,
            next_id=lambda: f"{plan.kind[0]}{len(attempts):03x}{self._rng.getrandbits(32):08x}",
            rng=self._rng,
            keeps=False,
        )
        until = self._loop.time() + plan.for_s
        while self._loop.time() < until:
            request = CallerRequestPlan(
                kind=kind.name,
                method="GET",
                path=path_prefix(kind) + path.format(self._rng.randrange(40)),
                body=b"",
                repeatable=True,
                deadline=kind.deadline_ms / 1000,
                retries=0,
                leaves_after=leaves_after,
            )
            attempts += await caller.request(0, request)
            await asyncio.sleep(1 / plan.x)

    # -- boxes

    async def _kill_boxes(self, plan: FaultPlan) -> None:
        boxes = self._some_boxes(plan)
        for box in boxes:
            box.kill()
        await asyncio.sleep(plan.for_s)
        for box in boxes:
            box.start()
        await asyncio.gather(*(box.wait_ready() for box in boxes))

    async def _freeze_boxes(self, plan: FaultPlan) -> None:
        boxes = self._some_boxes(plan)
        for box in boxes:
            box.send_signal(signal.SIGSTOP)
        await asyncio.sleep(plan.for_s)
        for box in boxes:
            box.send_signal(signal.SIGCONT)

    async def _stop_boxes(self, plan: FaultPlan) -> None:
        async def stop(box: BoxProcess) -> None:
            box.send_signal(signal.SIGTERM)
            noted = BoxStop(box.name, self._loop.time())
            self.stops.append(noted)
            await box.wait_not_ready()
            noted.not_ready_at = self._loop.time()
            await box.ended()
            box.start()
            await box.wait_ready()

        # A day may end amid this: what still waits for a box to end must not start it again.
        async with asyncio.TaskGroup() as stops:
            for box in self._some_boxes(plan):
                stops.create_task(stop(box))
                await asyncio.sleep(_STOP_GAP_S)

    # -- the store

    async def _store_down(self, plan: FaultPlan) -> None:
        self._fleet.store.faults.fault = StoreFault.BUSY
        await asyncio.sleep(plan.for_s)
        self._fleet.store.faults.fault = StoreFault.NONE

    async def _store_slow(self, plan: FaultPlan) -> None:
        self._fleet.store.faults.slow_s = plan.x
        await asyncio.sleep(plan.for_s)
        self._fleet.store.faults.slow_s = 0.0

    async def _cut_store(self, plan: FaultPlan) -> None:
        silent = plan.kind is FaultKind.STORE_SILENT
        links = [self._fleet.store_links[box.name] for box in self._some_boxes(plan)]
        for link in links:
            link.set_state(LinkState.SILENT if silent else LinkState.RESET)
        await asyncio.sleep(plan.for_s)
        for link in links:
            link.set_state(LinkState.PASS)

    async def _forget(self, plan: FaultPlan) -> None:
        self._fleet.store.forget_history()
        await asyncio.sleep(plan.for_s)

    async def _bring_back(self, plan: FaultPlan) -> None:
        store = self._fleet.store
        copied = store.now - plan.x
        store.faults.fault = StoreFault.RESET
        await asyncio.sleep(self._rng.uniform(0.0, _AWAY_S))
        store.come_back_from_copy(copied)
        store.faults.fault = StoreFault.NONE
        await asyncio.sleep(self._rng.uniform(0.0, _WRITTEN_AGAIN_S))
        self._fleet.rewrite_lost_rows()
        self._fleet.expire_rows(after=_UNLISTED_S)

    # -- settings

    async def _move(self, plan: FaultPlan) -> None:
        movable = [kind for kind in self._fleet.scenario.kinds if kind.also is not None]
        for kind in movable:
            assert kind.also is not None
            self._fleet.move_kind(kind.name, kind.also)
        await asyncio.sleep(plan.for_s)
        for kind in movable:
            self._fleet.move_kind(kind.name, kind.service)

    async def _storm(self, plan: FaultPlan) -> None:
        for _ in range(_STORM_VERSIONS):
            self._fleet.write_settings()
            await asyncio.sleep(_STORM_GAP_S)


def _some(items: Sequence[_T], share: float, rng: random.Random) -> list[_T]:
    """Return a share of the items, at least one, drawn by chance."""
    if not items:
        return []
    return rng.sample(list(items), max(1, round(share * len(items))))
