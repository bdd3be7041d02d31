"""Goodput against offered load, and what is left of it after: ``python -m benchmarks.goodput``.

The deciding path of seventeen boxes (forwarder, queue, probes within their
budget, learnt fullness) against targets that are slow by turns and slowed down
when nearly full, on virtual time with fixed seeds.  Load is told as a multiple of
what the targets end when every request starts at a target of usual speed at the
best fullness.  Callers ask again twice, after the time that they are told.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks._virtual import run_virtually
from dunlinnotch.coordination.budgets.shares import ProbeShare, RetryShare
from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
from dunlinnotch.coordination.choosing.latency_model import LatencyModel
from dunlinnotch.coordination.choosing.selector import TargetSelector
from dunlinnotch.coordination.requests.crash_guard import CrashGuard
from dunlinnotch.coordination.requests.forward import Forwarder
from dunlinnotch.protocol.outcome import Reason
from dunlinnotch.protocol.relay import Answered, Broken, CallerRequest, NotRun, ProbeResult
from dunlinnotch.state.crashes import CrashLog
from dunlinnotch.state.heads import AnswerHead, Header
from dunlinnotch.state.instances import InstanceList, ListedTarget
from dunlinnotch.state.routes import (
    CallerLimits,
    RequestKind,
    RouteTable,
    ServiceInfo,
    ServiceShare,
)
from dunlinnotch.state.target_status import TargetReport, TargetStatus

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Sequence

    from dunlinnotch.protocol.relay import AttemptEnd

BOXES = 17
PLACES = ("hall-a", "hall-b", "hall-c")
HOST = "records.example"
SERVICE = "records"
#: One way between a box and a target, in seconds.
_TRAVEL_S = 0.0005
_PROBES_PER_S = 60.0
_CALLER_TRIES = 3


@dataclass(frozen=True, slots=True)
class TargetModel:
    """How targets work.

    Parameters
    ----------
    name : str
    count, slots, queue : int
    work_s : float
        Mean time of a request at an empty target of usual speed.
    slowed : callable
        Times longer that work takes which starts at a fill from 0 to 1.
    slow_share, slow_x, slow_every_s : float
        Share of the time in which a target is slow, how many times, and for how long.
    """

    name: str
    count: int = 13
    slots: int = 6
    queue: int = 12
    work_s: float = 0.22
    slowed: Callable[[float], float] = lambda fill: 1.7 if fill > 0.8 else 1.0
    slow_share: float = 0.25
    slow_x: float = 5.0
    slow_every_s: float = 0.15

    @property
    def capacity(self) -> float:
        """Requests a second that all targets end at the best fullness and usual speed."""
        best = max(n / self.slowed(n / self.slots) for n in range(1, self.slots + 1))
        return self.count * best / self.work_s

    @property
    def target_latency(self) -> float:
        """Time within which an answer counts: as on the site first measured."""
        return self.work_s * 600 / 220


MODELS = (
    TargetModel("slowed when nearly full"),
    TargetModel("never slowed", slowed=lambda fill: 1.0),
    TargetModel("slowed early", slowed=lambda fill: 3.0 if fill > 0.55 else 1.0),
    TargetModel("2 slots", count=39, slots=2, queue=4, slowed=lambda fill: 1.0),
    TargetModel("16 slots", count=5, slots=16, queue=32),
)


class ModelTarget:
    """One target."""

    def __init__(self, model: TargetModel, rng: random.Random) -> None:
        self._model = model
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._running = 0
        self._waiting: list[asyncio.Future[None]] = []
        self._slow = False
        self._slow_until = 0.0
        self.name = ""

    def report(self) -> TargetReport:
        """Return what the target tells of itself."""
        slowness = self._model.slow_x if self._is_slow() else 1.0
        return TargetReport(self._running, len(self._waiting), self._model.slots, slowness)

    def _is_slow(self) -> bool:
        now = self._loop.time()
        if now >= self._slow_until:
            self._slow = self._rng.random() < self._model.slow_share
            self._slow_until = now + self._model.slow_every_s * self._rng.uniform(0.5, 1.5)
        return self._slow

    async def work(self) -> bool:
        """Work on one request; return False if it is refused."""
        if self._running >= self._model.slots:
            if len(self._waiting) >= self._model.queue:
                return False
            turn = self._loop.create_future()
            self._waiting.append(turn)
            await turn
        self._running += 1
        took = self._model.work_s * self._rng.uniform(0.6, 1.4)
        took *= self._model.slowed(self._running / self._model.slots)
        took *= self._model.slow_x if self._is_slow() else 1.0
        try:
            await asyncio.sleep(took)
        finally:
            self._running -= 1
            if self._waiting:
                self._waiting.pop(0).set_result(None)
        return True


class ModelAnswer:
    """The answer of a model target: a head and nothing more."""

    head = AnswerHead(200, "OK", (), 0)

    async def read_complete(self, max_bytes: int) -> bytes | None:
        """Return the empty body."""
        return b""

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield nothing."""
        return
        yield b""

    def close(self) -> None:
        """Do nothing."""


class ModelTargets:
    """Reaches the model targets in place of connections."""

    def __init__(self, targets: dict[str, ModelTarget]) -> None:
        self._targets = targets

    async def is_gone(self, address: str) -> bool:
        """Return that the target is there: none ends in a model."""
        return False

    async def probe(self, address: str, path: str) -> ProbeResult:
        """Probe a target."""
        await asyncio.sleep(_TRAVEL_S)
        target = self._targets[address]
        report = target.report()
        await asyncio.sleep(_TRAVEL_S)
        return ProbeResult(target.name, True, TargetStatus(report))

    def release(self, address: str, probe_result: ProbeResult) -> None:
        """Do nothing: there are no connections."""

    async def attempt(
        self,
        address: str,
        request: CallerRequest,
        body: object,
        *,
        remaining: float,
        on_status: Callable[[TargetStatus], None],
        **_: object,
    ) -> AttemptEnd:
        """Have a target work on a request."""
        target = self._targets[address]
        await asyncio.sleep(_TRAVEL_S)
        try:
            async with asyncio.timeout(remaining):
                done = await target.work()
        except TimeoutError:
            return Broken(Reason.TARGET_BROKEN, "the target gave up at the deadline", 504)
        await asyncio.sleep(_TRAVEL_S)
        if not done:
            on_status(TargetStatus(target.report()))
            return NotRun(503, wrong_target=False)
        on_status(TargetStatus(target.report()))
        return Answered(ModelAnswer())


class ModelReply:
    """Keeps what a caller is answered."""

    def __init__(self) -> None:
        self.begun = False
        self.status = 0
        self.come_back_s = 0.0

    def reply(self, status: int, headers: Sequence[Header], body: bytes, phrase: str = "") -> None:
        """Take a whole answer."""
        self.status = status
        self.come_back_s = float(next((h.value for h in headers if h.name == "Retry-After"), 0))

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Take a head."""
        self.begun, self.status = True, status

    async def send(self, part: bytes) -> None:
        """Drop a part of a body."""

    def finish(self) -> None:
        """Do nothing."""


class NoObserver:
    """Takes no note of ends."""

    def request_ended(self, *_: object) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Stretch:
    """What came of the requests of a stretch of time, from their first tries on.

    Parameters
    ----------
    offered, tries : int
        Requests, and what their callers sent for them.
    ends : Counter
        How many ended ``in-time`` or ``late``; the others by their last status.
    held : float
        Seconds for which boxes held requests that nobody served.
    """

    offered: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    tries: int = 0
    held: float = 0.0

    @property
    def unserved(self) -> int:
        """Requests that got no answer of a target."""
        return self.offered - self.ends["in-time"] - self.ends["late"]

    @property
    def in_time(self) -> float:
        """Share of the requests that were answered within the target latency."""
        return self.ends["in-time"] / max(1, self.offered)


class Fleet:
    """Boxes before model targets, with callers.

    Parameters
    ----------
    model : TargetModel
    seed : int
    """

    def __init__(self, model: TargetModel, *, seed: int) -> None:
        self._model = model
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._targets = {f"10.0.0.{n}:80": self._target(n) for n in range(model.count)}
        self._boxes = [self._box(PLACES[n % len(PLACES)]) for n in range(BOXES)]
        self._callers: set[asyncio.Task[None]] = set()
        self.stretches: dict[float, Stretch] = {}

    def _target(self, number: int) -> ModelTarget:
        target = ModelTarget(self._model, random.Random(self._rng.random()))
        target.name = f"i-{number}"
        return target

    def _box(self, place: str) -> Forwarder:
        clock = self._loop.time
        rng = random.Random(self._rng.random())
        instances = InstanceList()
        for number, (address, target) in enumerate(self._targets.items()):
            where = PLACES[number % len(PLACES)]
            slots = self._model.slots
            listed = ListedTarget(target.name, SERVICE, where, address, slots, False, 1, 0.0)
            instances.apply(listed, 0.0)
        probes = ProbeShare(_PROBES_PER_S, clock=clock)
        probes.boxes = BOXES
        times = LatencyModel()
        chooser = FreshReportChooser(place=place, latency_model=times, rng=rng)
        targets = ModelTargets(self._targets)
        selector = TargetSelector(
            instances=instances,
            chooser=chooser,
            probes=probes,
            probe_path=lambda service: "/health",
            targets=targets,
            rng=rng,
            log=logging.getLogger("benchmarks"),
        )
        table = self._table()
        forwarder = Forwarder(
            routes=lambda: table,
            settings_age=lambda: 0.0,
            catching_up=lambda: False,
            instances=instances,
            chooser=chooser,
            latency_model=times,
            selector=selector,
            make_retry_share=lambda: RetryShare(ratio=0.2, slack=62, window=10, clock=clock),
            guard=CrashGuard(CrashLog(clock=clock), targets, publish=lambda _: None),
            targets=targets,
            observer=NoObserver(),
            rng=rng,
        )
        forwarder.set_boxes(BOXES)
        return forwarder

    def _table(self) -> RouteTable:
        latency = self._model.target_latency
        kind = RequestKind(
            name="read",
            host=HOST,
            prefix="/",
            idempotent=True,
            upload=False,
            timeout=latency * 10 / 3,
            target_latency=latency,
            attempts=3,
            rank=1,
            shares=(ServiceShare(SERVICE, 1.0),),
        )
        services = {SERVICE: ServiceInfo(SERVICE, "/health", 260)}
        return RouteTable(1, (kind,), services, CallerLimits())

    async def play(self, loads: Sequence[tuple[float, float]], *, every: float) -> None:
        """Offer loads one after the other.

        Parameters
        ----------
        loads : sequence of (float, float)
            Multiples of the capacity, each with the seconds for which it is offered.
        every : float
            Seconds of a stretch.
        """
        for load, seconds in loads:
            until = self._loop.time() + seconds
            while self._loop.time() < until:
                await asyncio.sleep(self._rng.expovariate(load * self._model.capacity))
                begun = self._loop.time() // every * every
                stretch = self.stretches.setdefault(begun, Stretch())
                stretch.offered += 1
                task = self._loop.create_task(self._call(stretch))
                self._callers.add(task)
                task.add_done_callback(self._callers.discard)
        await asyncio.gather(*self._callers)

    async def _call(self, stretch: Stretch) -> None:
        """Ask as a caller does, again after a refusal."""
        first = self._loop.time()
        deadline = first + self._model.target_latency * 20 / 3
        reply = ModelReply()
        held = 0.0
        for _ in range(_CALLER_TRIES):
            now = self._loop.time()
            stretch.tries += 1
            request = CallerRequest("r", "GET", "/", HOST, (), now, deadline)
            box = self._rng.choice(self._boxes)
            reply = ModelReply()
            await box.serve(request, _no_body(), reply)
            held += self._loop.time() - now
            if reply.status == 200:
                break
            await asyncio.sleep(reply.come_back_s)
        took = self._loop.time() - first
        late = "late" if reply.status == 200 else f"{reply.status}"
        if reply.status != 200:
            stretch.held += held
        in_time = reply.status == 200 and took <= self._model.target_latency
        stretch.ends["in-time" if in_time else late] += 1


async def _no_body() -> AsyncIterator[bytes]:
    return
    yield b""


def play(
    model: TargetModel, loads: Sequence[tuple[float, float]], *, seed: int, every: float
) -> list[tuple[float, Stretch]]:
    """Return what came of each stretch of time, in order."""

    async def run() -> dict[float, Stretch]:
        fleet = Fleet(model, seed=seed)
        await fleet.play(loads, every=every)
        return fleet.stretches

    return sorted(run_virtually(run()).items())


def goodput(model: TargetModel, load: float, *, seed: int, seconds: float = 6.0) -> float:
    """Return the requests ended in time at a load, as a multiple of the capacity."""
    return offer(model, load, seed=seed, seconds=seconds).ends["in-time"] / seconds / model.capacity


def offer(model: TargetModel, load: float, *, seed: int, seconds: float = 6.0) -> Stretch:
    """Return what came of a load offered for some seconds."""
    ((_, stretch),) = play(model, [(load, seconds)], seed=seed, every=seconds)[:1]
    return stretch


def print_meter(model: TargetModel, loads: Sequence[float], seeds: Sequence[int]) -> None:
    """Print what callers gain, from their first tries on, by offered load."""
    found = [[offer(model, load, seed=seed) for seed in seeds] for load in loads]
    figures: dict[str, Callable[[Stretch], float]] = {
        "in time, share": lambda s: s.in_time,
        "late, share": lambda s: s.ends["late"] / s.offered,
        "not served, share": lambda s: s.unserved / s.offered,
        "tries": lambda s: s.tries / s.offered,
        "held unserved, latencies": lambda s: s.held / max(1, s.unserved) / model.target_latency,
    }
    print(model.name)
    for name, figure in figures.items():
        means = [sum(map(figure, stretches)) / len(stretches) for stretches in found]
        print(f"  {name:24}" + "".join(f"{mean:7.2f}" for mean in means))


def main() -> None:
    """Print the curve of each model, and the seconds after an overload."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--meter", action="store_true", help="what callers gain instead")
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    logging.disable(logging.CRITICAL)
    loads = (0.5, 0.8, 1.0, 1.5, 2.0, 2.5)
    if arguments.meter:
        print("from the first try on, by offered load " + "".join(f"{load:5.1f}" for load in loads))
        for model in MODELS:
            print_meter(model, loads, seeds)
        return
    print("in time, as a multiple of the capacity, by offered load")
    print(f"{'targets':26}" + "".join(f"{load:7.1f}" for load in loads))
    for model in MODELS:
        means = [sum(goodput(model, load, seed=s) for s in seeds) / len(seeds) for load in loads]
        print(f"{model.name:26}" + "".join(f"{mean:7.2f}" for mean in means))
    print("share in time in each half second, after 2.5 for 5 s and from then on 0.5")
    for model in MODELS:
        for seed in seeds:
            stretches = play(model, [(0.5, 3), (2.5, 5), (0.5, 4)], seed=seed, every=0.5)
            after = [stretch.in_time for begun, stretch in stretches if begun >= 8.0]
            print(f"{model.name:26}" + "".join(f"{share:6.2f}" for share in after))


if __name__ == "__main__":
    main()
