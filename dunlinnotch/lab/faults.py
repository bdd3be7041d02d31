"""Inject the faults of a scenario at their times, and end them."""

from __future__ import annotations

import asyncio
import math
import random
import signal
from typing import TYPE_CHECKING, TypeVar

from dunlinnotch.lab.checker import BoxStop, CutOff, FaultWindow
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

_NORMAL_SLOWNESS_PERCENT = 100
#: The platform removes the row of a target that has sent no heartbeat for this long.
_ROW_EXPIRY_S = 4.5
#: Values of ``Retry-After`` with which targets request back-off; the last two are invalid.
_BACKOFF_VALUES = ("1", "1.5", "3", "4.25", "30", "soon", "-1")
_DISCONNECT_AFTER_S = 0.3
_STORM_VERSION_COUNT, _STORM_INTERVAL_S = 10, 0.1
#: Longest outage while the store is restored from a backup, and longest delay until lost
#: rows are written again.
_MAX_RESTORE_OUTAGE_S, _MAX_REWRITE_DELAY_S = 1.5, 1.5
_STOP_INTERVAL_S = 1.0
#: How links treat boxes that are cut off, by the strength of the fault.
_CUT_STATES = (LinkState.SILENT, LinkState.RESET, LinkState.RESET_NEW)
#: Time after which a box that was killed is started again.
_RESTART_DELAY_S = 0.2
#: Delay range of second copies of answers.
_DUPLICATE_DELAY_S = (0.005, 0.3)
#: Shares of requests and health checks that targets with duplicate answers refuse, and of the
#: requests that they run and answer 500.
_REFUSED_SHARE, _FAILED_SHARE = 0.4, 0.1


class FaultInjector:
    """Injects the faults of one scenario.

    Parameters
    ----------
    fleet : Fleet

    Attributes
    ----------
    fault_windows : list of FaultWindow
        The periods of all faults injected so far.
    load_factor : float
        Current multiple of the usual request rate.
    crashing_attempts : list of AttemptRecord
        Attempts of requests that crash the targets that run them.
    abandoned_attempts : list of AttemptRecord
        Attempts whose callers disconnect before the answer.
    stops : list of BoxStop
        Boxes that were told to stop.
    cuts : list of CutOff
        Boxes that lost the path to all targets.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._rng = random.Random(fleet.scenario.seed + 1)
        self._loop = asyncio.get_running_loop()
        self.fault_windows: list[FaultWindow] = []
        self.load_factor = 1.0
        self.crashing_attempts: list[AttemptRecord] = []
        self.abandoned_attempts: list[AttemptRecord] = []
        self.stops: list[BoxStop] = []
        self.cuts: list[CutOff] = []
        self._handlers: dict[FaultKind, Callable[[FaultPlan], Coroutine[None, None, None]]] = {
            FaultKind.BURST: self._increase_load,
            FaultKind.TARGET_SLOW: self._slow_targets,
            FaultKind.TARGET_CRASH: self._crash_targets,
            FaultKind.TARGET_SILENT: self._break_target_links,
            FaultKind.TARGET_RESET: self._break_target_links,
            FaultKind.ANSWER_LOST: self._corrupt_answers,
            FaultKind.ANSWER_CUT: self._corrupt_answers,
            FaultKind.ANSWER_FILLED: self._corrupt_answers,
            FaultKind.ANSWER_TWICE: self._corrupt_answers,
            FaultKind.DUPLICATE_ANSWERS: self._duplicate_answers,
            FaultKind.HEALTH_LIES: self._fail_health_checks,
            FaultKind.TARGET_REFUSES: self._refuse_requests,
            FaultKind.TARGET_RESTS: self._refuse_requests,
            FaultKind.TARGET_LEAVES: self._release_targets,
            FaultKind.RELEASE: self._release_targets,
            FaultKind.DEADLY_REQUEST: self._send_crashing_requests,
            FaultKind.CALLER_LEAVES: self._send_abandoned_requests,
            FaultKind.BOX_KILL: self._kill_boxes,
            FaultKind.BOX_RESTARTS: self._restart_boxes,
            FaultKind.BOX_FREEZE: self._freeze_boxes,
            FaultKind.BOX_STOP: self._stop_boxes,
            FaultKind.BOX_CUT_OFF: self._cut_off_boxes,
            FaultKind.STORE_DOWN: self._fail_store,
            FaultKind.STORE_SLOW: self._slow_store,
            FaultKind.STORE_SILENT: self._break_store_links,
            FaultKind.STORE_RESET: self._break_store_links,
            FaultKind.STORE_FORGETS: self._drop_store_history,
            FaultKind.STORE_BACK: self._restore_store,
            FaultKind.SETTINGS_MOVE: self._move_kinds,
            FaultKind.SETTINGS_STORM: self._write_settings_storm,
        }

    async def inject(self, plan: FaultPlan) -> None:
        """Wait until a fault is due, inject it until it ends, and record its period."""
        await asyncio.sleep(plan.at)
        started_at = self._loop.time()
        # The period stays open until the fault ends, so that it also excuses violations if the
        # scenario ends during the fault.
        self.fault_windows.append(FaultWindow(plan.kind, started_at, math.inf))
        index = len(self.fault_windows) - 1
        await self._handlers[plan.kind](plan)
        self.fault_windows[index] = FaultWindow(plan.kind, started_at, self._loop.time())

    def _sample_targets(self, plan: FaultPlan) -> list[Target]:
        available = [t for t in self._fleet.targets if not t.terminating]
        return _sample(available, plan.share, self._rng)

    def _sample_boxes(self, plan: FaultPlan) -> list[BoxProcess]:
        running = [box for box in self._fleet.boxes if box.running]
        return _sample(running, plan.share, self._rng)

    async def _increase_load(self, plan: FaultPlan) -> None:
        self.load_factor *= plan.x
        await asyncio.sleep(plan.for_s)
        self.load_factor /= plan.x

    # Targets

    async def _slow_targets(self, plan: FaultPlan) -> None:
        targets = self._sample_targets(plan)
        for target in targets:
            target.worker.settings.slowness_percent = int(_NORMAL_SLOWNESS_PERCENT * plan.x)
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.slowness_percent = _NORMAL_SLOWNESS_PERCENT

    async def _crash_targets(self, plan: FaultPlan) -> None:
        targets = self._sample_targets(plan)
        for target in targets:
            target.terminating = True
            target.link.set_state(LinkState.RESET)
        await asyncio.sleep(_ROW_EXPIRY_S)
        for target in targets:
            await self._fleet.end_target(target)
        await asyncio.sleep(max(0.0, plan.for_s - _ROW_EXPIRY_S))
        for target in targets:
            service = next(s for s in self._fleet.scenario.services if s.name == target.service)
            await self._fleet.add_target(service, target.place)

    async def _break_target_links(self, plan: FaultPlan) -> None:
        targets = self._sample_targets(plan)
        silent = plan.kind is FaultKind.TARGET_SILENT
        for target in targets:
            target.link.set_state(LinkState.SILENT if silent else LinkState.RESET)
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.link.set_state(LinkState.PASS)

    async def _corrupt_answers(self, plan: FaultPlan) -> None:
        fault = {
            FaultKind.ANSWER_LOST: WorkerFault.LOST,
            FaultKind.ANSWER_CUT: WorkerFault.CUT,
            FaultKind.ANSWER_FILLED: WorkerFault.FILLED_LAST,
            FaultKind.ANSWER_TWICE: WorkerFault.LATE_SURPLUS,
        }[plan.kind]

        def choose_fault() -> WorkerFault:
            return fault if self._rng.random() < plan.x else WorkerFault.NONE

        targets = self._sample_targets(plan)
        for target in targets:
            target.worker.settings.choose_fault = choose_fault
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.choose_fault = None

    async def _duplicate_answers(self, plan: FaultPlan) -> None:
        def choose_delay() -> Seconds | None:
            return self._rng.uniform(*_DUPLICATE_DELAY_S) if self._rng.random() < plan.x else None

        def refuses() -> bool:
            return self._rng.random() < _REFUSED_SHARE

        def choose_fault() -> WorkerFault:
            failed = self._rng.random() < _FAILED_SHARE
            return WorkerFault.ERROR if failed else WorkerFault.NONE

        targets = self._sample_targets(plan)
        for target in targets:
            settings = target.worker.settings
            settings.duplicate_delay = settings.probe_duplicate_delay = choose_delay
            settings.rejects_next = settings.rejects_next_probe = refuses
            settings.choose_fault = choose_fault
        await asyncio.sleep(plan.for_s)
        for target in targets:
            settings = target.worker.settings
            settings.duplicate_delay = settings.probe_duplicate_delay = None
            settings.rejects_next = settings.rejects_next_probe = None
            settings.choose_fault = None

    async def _refuse_requests(self, plan: FaultPlan) -> None:
        targets = self._sample_targets(plan)
        request_backoff = plan.kind is FaultKind.TARGET_RESTS
        for target in targets:
            target.worker.settings.rejects_next = lambda: self._rng.random() < plan.x
            target.worker.settings.retry_after = (
                self._rng.choice(_BACKOFF_VALUES) if request_backoff else ""
            )
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.rejects_next = None
            target.worker.settings.retry_after = ""

    async def _fail_health_checks(self, plan: FaultPlan) -> None:
        targets = self._sample_targets(plan)
        for target in targets:
            target.worker.settings.healthy = False
        await asyncio.sleep(plan.for_s)
        for target in targets:
            target.worker.settings.healthy = True

    async def _release_targets(self, plan: FaultPlan) -> None:
        without_row = plan.kind is FaultKind.TARGET_LEAVES
        announce = self._fleet.leave_without_row if without_row else self._fleet.announce_leaving
        for target in self._sample_targets(plan):
            if not target.terminating:
                await self._fleet.release(target, announce=announce)

    async def _send_crashing_requests(self, plan: FaultPlan) -> None:
        # The caller ignores Retry-After.
        path = CRASH_SEGMENT + "?draw={}"
        await self._send_from_one_caller(plan, path, self.crashing_attempts)

    async def _send_abandoned_requests(self, plan: FaultPlan) -> None:
        await self._send_from_one_caller(
            plan,
            "{}/" + LONG_WORK_SEGMENT,
            self.abandoned_attempts,
            leaves_after=_DISCONNECT_AFTER_S,
        )

    async def _send_from_one_caller(
        self,
        plan: FaultPlan,
        path: str,
        attempts: list[AttemptRecord],
        *,
        leaves_after: Seconds | None = None,
    ) -> None:
        """Have one caller send ``plan.x`` requests a second, without retries.

        Parameters
        ----------
        plan : FaultPlan
        path : str
            Format of the path below the prefix of the kind; receives a random number.
        attempts : list of AttemptRecord
            Receives the attempts made.
        leaves_after : float, optional
            Seconds after which the caller disconnects.
        """
        kind = next((kind for kind in self._fleet.scenario.kinds if kind.repeatable), None)
        if kind is None:
            return
        caller = CallerStandin(
            self._rng.choice(self._fleet.scenario.places),
            HOST,
            directories=self._fleet.directories,
            next_id=lambda: f"{plan.kind[0]}{len(attempts):03x}{self._rng.getrandbits(32):08x}",
            rng=self._rng,
            keep_alive=False,
        )
        until = self._loop.time() + plan.for_s
        while self._loop.time() < until:
            request = CallerRequestPlan(
                kind=kind.name,
                method="GET",
                path=path_prefix(kind) + path.format(self._rng.randrange(40)),
                body=b"",
                idempotent=True,
                timeout=kind.deadline_ms / 1000,
                retries=0,
                disconnect_after=leaves_after,
            )
            attempts += await caller.request(0, request)
            await asyncio.sleep(1 / plan.x)

    # Boxes

    async def _cut_off_boxes(self, plan: FaultPlan) -> None:
        state = _CUT_STATES[min(int(plan.x), len(_CUT_STATES) - 1)]
        await self.cut_off(self._sample_boxes(plan), state, for_s=plan.for_s)

    async def cut_off(
        self, boxes: Sequence[BoxProcess], state: LinkState, *, for_s: Seconds
    ) -> None:
        """Cut the paths of boxes to all targets for some seconds."""
        cut_off = CutOff(frozenset(box.caller_address for box in boxes), self._loop.time())
        self.cuts.append(cut_off)
        self._fleet.cut_paths({box.ip: state for box in boxes})
        await asyncio.sleep(for_s)
        self._fleet.cut_paths({box.ip: LinkState.PASS for box in boxes})
        cut_off.end = self._loop.time()

    async def _kill_boxes(self, plan: FaultPlan) -> None:
        boxes = self._sample_boxes(plan)
        for box in boxes:
            box.kill()
        await asyncio.sleep(plan.for_s)
        for box in boxes:
            box.start()
        await asyncio.gather(*(box.wait_ready() for box in boxes))

    async def _restart_boxes(self, plan: FaultPlan) -> None:
        until = self._loop.time() + plan.for_s
        while self._loop.time() < until:
            await self._kill_boxes(plan.model_copy(update={"for_s": _RESTART_DELAY_S}))
            await asyncio.sleep(plan.x)

    async def _freeze_boxes(self, plan: FaultPlan) -> None:
        boxes = self._sample_boxes(plan)
        for box in boxes:
            box.send_signal(signal.SIGSTOP)
        await asyncio.sleep(plan.for_s)
        for box in boxes:
            box.send_signal(signal.SIGCONT)

    async def restart_box(self, box: BoxProcess) -> None:
        """Tell a box to stop, start it again once it has, and wait until it is ready."""
        box.send_signal(signal.SIGTERM)
        box_stop = BoxStop(box.name, self._loop.time())
        self.stops.append(box_stop)
        await box.wait_not_ready()
        box_stop.not_ready_at = self._loop.time()
        await box.wait_exit()
        box.start()
        await box.wait_ready()

    async def _stop_boxes(self, plan: FaultPlan) -> None:
        # If the scenario ends during the stops, the group cancels the tasks that wait for a box
        # to exit; otherwise they would start it again.
        async with asyncio.TaskGroup() as stops:
            for box in self._sample_boxes(plan):
                stops.create_task(self.restart_box(box))
                await asyncio.sleep(_STOP_INTERVAL_S)

    # Store

    async def _fail_store(self, plan: FaultPlan) -> None:
        self._fleet.store.faults.fault = StoreFault.BUSY
        await asyncio.sleep(plan.for_s)
        self._fleet.store.faults.fault = StoreFault.NONE

    async def _slow_store(self, plan: FaultPlan) -> None:
        self._fleet.store.faults.answer_delay_s = plan.x
        await asyncio.sleep(plan.for_s)
        self._fleet.store.faults.answer_delay_s = 0.0

    async def _break_store_links(self, plan: FaultPlan) -> None:
        silent = plan.kind is FaultKind.STORE_SILENT
        links = [self._fleet.store_links[box.name] for box in self._sample_boxes(plan)]
        for link in links:
            link.set_state(LinkState.SILENT if silent else LinkState.RESET)
        await asyncio.sleep(plan.for_s)
        for link in links:
            link.set_state(LinkState.PASS)

    async def _drop_store_history(self, plan: FaultPlan) -> None:
        self._fleet.store.drop_history()
        await asyncio.sleep(plan.for_s)

    async def _restore_store(self, plan: FaultPlan) -> None:
        store = self._fleet.store
        backup_time = store.now - plan.x
        store.faults.fault = StoreFault.RESET
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_RESTORE_OUTAGE_S))
        store.restore_backup(backup_time)
        store.faults.fault = StoreFault.NONE
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_REWRITE_DELAY_S))
        self._fleet.rewrite_lost_rows()
        self._fleet.expire_rows(after=_ROW_EXPIRY_S)

    # Settings

    async def _move_kinds(self, plan: FaultPlan) -> None:
        movable = [kind for kind in self._fleet.scenario.kinds if kind.also is not None]
        for kind in movable:
            assert kind.also is not None
            self._fleet.move_kind(kind.name, kind.also)
        await asyncio.sleep(plan.for_s)
        for kind in movable:
            self._fleet.move_kind(kind.name, kind.service)

    async def _write_settings_storm(self, plan: FaultPlan) -> None:
        for _ in range(_STORM_VERSION_COUNT):
            self._fleet.write_settings()
            await asyncio.sleep(_STORM_INTERVAL_S)


def _sample(items: Sequence[_T], share: float, rng: random.Random) -> list[_T]:
    """Return a random share of the items, at least one unless there are none."""
    if not items:
        return []
    return rng.sample(list(items), max(1, round(share * len(items))))
