"""Goodput by offered load, and recovery after an overload: ``python -m benchmarks.goodput``.

Seventeen boxes (forwarder, queue, probes within their budget, latency model)
send requests to simulated targets on virtual time, with fixed seeds.  Targets
alternate between usual and slow speed, and slow down when nearly saturated.
Load is a multiple of the capacity of the targets at usual speed and their best
utilisation.  Callers retry a refused request twice, after the requested delay.
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
from dunlinnotch.coordination.budgets.shares import ProbeShare
from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
from dunlinnotch.coordination.choosing.latency_model import LatencyModel
from dunlinnotch.coordination.choosing.selector import TargetSelector
from dunlinnotch.coordination.requests.crash_guard import CrashGuard
from dunlinnotch.coordination.requests.forward import Forwarder
from dunlinnotch.coordination.requests.target_attempts import TargetAttempts
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

    from dunlinnotch.coordination.requests.run import Ending
    from dunlinnotch.protocol.relay import AttemptEnd

BOXES = 17
PLACES = ("hall-a", "hall-b", "hall-c")
HOST = "records.example"
SERVICE = "records"
#: Network delay between a box and a target in one direction, in seconds.
_ONE_WAY_DELAY_S = 0.0005
_RUNNING_FOR_S = 10.0
_PROBES_PER_S = 60.0
_CALLER_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class TargetModel:
    """How simulated targets process requests.

    Parameters
    ----------
    name : str
    count : int
        Number of targets.
    slots, queue : int
        Requests that a target processes at once, and queues at most.
    work_s : float
        Mean processing time of a request at an idle target of usual speed, in seconds.
    slowdown : callable
        Factor on the processing time by the utilisation at its start, from 0 to 1.
    slow_fraction : float
        Fraction of the time in which a target is slow.
    slow_factor : float
        Factor on the processing time while a target is slow.
    slow_period_s : float
        Mean time between changes of speed, in seconds.
    """

    name: str
    count: int = 13
    slots: int = 6
    queue: int = 12
    work_s: float = 0.22
    slowdown: Callable[[float], float] = lambda utilisation: 1.7 if utilisation > 0.8 else 1.0
    slow_fraction: float = 0.25
    slow_factor: float = 5.0
    slow_period_s: float = 0.15

    @property
    def capacity(self) -> float:
        """Requests per second that all targets complete at usual speed and best utilisation."""
        max_concurrency = max(n / self.slowdown(n / self.slots) for n in range(1, self.slots + 1))
        return self.count * max_concurrency / self.work_s

    @property
    def target_latency(self) -> float:
        """Maximum latency of an answer that counts as in time, in seconds."""
        return self.work_s * 600 / 220


MODELS = (
    TargetModel("slowed when nearly full"),
    TargetModel("never slowed", slowdown=lambda utilisation: 1.0),
    TargetModel("slowed early", slowdown=lambda utilisation: 3.0 if utilisation > 0.55 else 1.0),
    TargetModel("2 slots", count=39, slots=2, queue=4, slowdown=lambda utilisation: 1.0),
    TargetModel("16 slots", count=5, slots=16, queue=32),
)


class ModelTarget:
    """A simulated target."""

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
        """Return the status report of the target."""
        latency_ratio = self._model.slow_factor if self._is_slow() else 1.0
        return TargetReport(self._running, len(self._waiting), self._model.slots, latency_ratio)

    def _is_slow(self) -> bool:
        now = self._loop.time()
        if now >= self._slow_until:
            self._slow = self._rng.random() < self._model.slow_fraction
            self._slow_until = now + self._model.slow_period_s * self._rng.uniform(0.5, 1.5)
        return self._slow

    async def process(self) -> bool:
        """Process a request; return False if the queue is full."""
        if self._running >= self._model.slots:
            if len(self._waiting) >= self._model.queue:
                return False
            slot_free = self._loop.create_future()
            self._waiting.append(slot_free)
            await slot_free
        self._running += 1
        duration = self._model.work_s * self._rng.uniform(0.6, 1.4)
        duration *= self._model.slowdown(self._running / self._model.slots)
        duration *= self._model.slow_factor if self._is_slow() else 1.0
        try:
            await asyncio.sleep(duration)
        finally:
            self._running -= 1
            if self._waiting:
                self._waiting.pop(0).set_result(None)
        return True


class ModelAnswer:
    """The answer of a model target: a head and an empty body."""

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
    """A ``TargetPort`` that calls the model targets directly."""

    def __init__(self, targets: dict[str, ModelTarget]) -> None:
        self._targets = targets

    async def is_gone(self, address: str) -> bool:
        """Return False: model targets do not exit."""
        return False

    async def check_path(self, address: str) -> bool:
        """Return True: there is always a path to a model target."""
        return True

    async def probe(self, address: str, path: str) -> ProbeResult:
        """Probe a target and return its report."""
        await asyncio.sleep(_ONE_WAY_DELAY_S)
        target = self._targets[address]
        report = target.report()
        await asyncio.sleep(_ONE_WAY_DELAY_S)
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
        """Send a request to a target."""
        target = self._targets[address]
        await asyncio.sleep(_ONE_WAY_DELAY_S)
        try:
            async with asyncio.timeout(remaining):
                completed = await target.process()
        except TimeoutError:
            return Broken(
                Reason.TARGET_BROKEN, "the target cancelled the request at the deadline", 504
            )
        await asyncio.sleep(_ONE_WAY_DELAY_S)
        if not completed:
            on_status(TargetStatus(target.report()))
            return NotRun(503, wrong_target=False)
        on_status(TargetStatus(target.report()))
        return Answered(ModelAnswer())


class ModelReply:
    """Records the answer to a caller."""

    def __init__(self) -> None:
        self.begun = False
        self.status = 0
        self.retry_after_s = 0.0

    def reply(self, status: int, headers: Sequence[Header], body: bytes, phrase: str = "") -> None:
        """Record a complete answer."""
        self.status = status
        self.retry_after_s = float(next((h.value for h in headers if h.name == "Retry-After"), 0))

    def begin(
        self, status: int, headers: Sequence[Header], *, length: int | None, phrase: str = ""
    ) -> None:
        """Record the head of an answer."""
        self.begun, self.status = True, status

    async def send(self, part: bytes) -> None:
        """Discard a part of a body."""

    def finish(self) -> None:
        """Do nothing."""


class NoPeerPath:
    """A way over peers that is never needed, as all targets are reached."""

    def choose(self, service: str, *, tried: set[str]) -> None:
        """Return None."""

    def is_unreached(self, instance: object) -> bool:
        """Return False: all targets are reached."""
        return False

    def is_hopeless(self, run: object) -> bool:
        """Return False: all targets are reached."""
        return False

    async def attempt(self, *_: object, **__: object) -> Ending:
        """Never called."""
        raise AssertionError


class NullObserver:
    """An observer that records nothing."""

    def request_ended(self, *_: object) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Interval:
    """Results of the requests whose first attempt began in an interval of time.

    Parameters
    ----------
    offered : int
        Requests.
    outcomes : Counter
        Requests answered ``in-time`` or ``late``; the others by the status of the last attempt.
    attempts_made : int
        Attempts of callers, retries included.
    held_s : float
        Total time for which boxes held requests that were not served, in seconds.
    """

    offered: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    attempts_made: int = 0
    held_s: float = 0.0

    @property
    def unserved(self) -> int:
        """Number of requests without an answer of a target."""
        return self.offered - self.outcomes["in-time"] - self.outcomes["late"]

    @property
    def in_time(self) -> float:
        """Share of the requests that were answered within the target latency."""
        return self.outcomes["in-time"] / max(1, self.offered)


class Simulation:
    """Callers, boxes and model targets on the running event loop.

    Parameters
    ----------
    model : TargetModel
    seed : int
    """

    def __init__(self, model: TargetModel, *, seed: int) -> None:
        self._model = model
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._targets = {f"10.0.0.{n}:80": self._make_target(n) for n in range(model.count)}
        self._boxes = [self._make_box(PLACES[n % len(PLACES)]) for n in range(BOXES)]
        self._callers: set[asyncio.Task[None]] = set()
        self.intervals: dict[float, Interval] = {}

    def _make_target(self, number: int) -> ModelTarget:
        target = ModelTarget(self._model, random.Random(self._rng.random()))
        target.name = f"i-{number}"
        return target

    def _make_box(self, place: str) -> Forwarder:
        clock = self._loop.time
        rng = random.Random(self._rng.random())
        instances = InstanceList()
        for number, (address, target) in enumerate(self._targets.items()):
            target_place = PLACES[number % len(PLACES)]
            slots = self._model.slots
            listing = ListedTarget(
                target.name, SERVICE, target_place, address, slots, False, 1, 0.0
            )
            instances.apply(listing, 0.0)
        # The boxes have run for a while, so their buckets are full.
        probes = ProbeShare(
            _PROBES_PER_S, clock=clock, rng=rng, started_at=clock() - _RUNNING_FOR_S
        )
        probes.boxes = BOXES
        latency_model = LatencyModel()
        chooser = FreshReportChooser(place=place, latency_model=latency_model, rng=rng)
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
        table = self._make_table()
        guard = CrashGuard(CrashLog(clock=clock), targets, publish=lambda _: None)
        return Forwarder(
            routes=lambda: table,
            settings_age=lambda: 0.0,
            catching_up=lambda: False,
            attempts=TargetAttempts(
                instances=instances,
                chooser=chooser,
                latency_model=latency_model,
                selector=selector,
                guard=guard,
                targets=targets,
            ),
            peer_path=NoPeerPath(),
            selector=selector,
            retry_ratio=0.2,
            saved_retries=1.0,
            guard=guard,
            observer=NullObserver(),
            rng=rng,
        )

    def _make_table(self) -> RouteTable:
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

    async def simulate(self, loads: Sequence[tuple[float, float]], *, interval_s: float) -> None:
        """Offer loads one after the other and wait for the last request.

        Parameters
        ----------
        loads : sequence of (float, float)
            Multiples of the capacity, each with its duration in seconds.
        interval_s : float
            Length of the intervals for which results are recorded, in seconds.
        """
        for load, seconds in loads:
            deadline_at = self._loop.time() + seconds
            while self._loop.time() < deadline_at:
                await asyncio.sleep(self._rng.expovariate(load * self._model.capacity))
                started = self._loop.time() // interval_s * interval_s
                interval = self.intervals.setdefault(started, Interval())
                interval.offered += 1
                task = self._loop.create_task(self._call(interval))
                self._callers.add(task)
                task.add_done_callback(self._callers.discard)
        await asyncio.gather(*self._callers)

    async def _call(self, interval: Interval) -> None:
        """Send a request as a caller does, with retries after refusals."""
        first_attempt_at = self._loop.time()
        deadline = first_attempt_at + self._model.target_latency * 20 / 3
        reply = ModelReply()
        held_s = 0.0
        for _ in range(_CALLER_ATTEMPTS):
            now = self._loop.time()
            interval.attempts_made += 1
            request = CallerRequest("r", "GET", "/", HOST, (), now, deadline)
            box = self._rng.choice(self._boxes)
            reply = ModelReply()
            await box.serve(request, _no_body(), reply)
            held_s += self._loop.time() - now
            if reply.status == 200:
                break
            await asyncio.sleep(reply.retry_after_s)
        duration = self._loop.time() - first_attempt_at
        outcome = "late" if reply.status == 200 else f"{reply.status}"
        if reply.status != 200:
            interval.held_s += held_s
        in_time = reply.status == 200 and duration <= self._model.target_latency
        interval.outcomes["in-time" if in_time else outcome] += 1


async def _no_body() -> AsyncIterator[bytes]:
    return
    yield b""


def simulate(
    model: TargetModel, loads: Sequence[tuple[float, float]], *, seed: int, interval_s: float
) -> list[tuple[float, Interval]]:
    """Simulate loads and return the results of each interval, by its start in seconds.

    Parameters
    ----------
    model : TargetModel
    loads : sequence of (float, float)
        Multiples of the capacity, each with its duration in seconds.
    seed : int
    interval_s : float
        Length of an interval, in seconds.
    """

    async def run() -> dict[float, Interval]:
        simulation = Simulation(model, seed=seed)
        await simulation.simulate(loads, interval_s=interval_s)
        return simulation.intervals

    return sorted(run_virtually(run()).items())


def goodput(model: TargetModel, load: float, *, seed: int, seconds: float = 6.0) -> float:
    """Return the goodput at a load, as a multiple of the capacity."""
    return (
        offer(model, load, seed=seed, seconds=seconds).outcomes["in-time"]
        / seconds
        / model.capacity
    )


def offer(model: TargetModel, load: float, *, seed: int, seconds: float = 6.0) -> Interval:
    """Return the results of a load that is offered for some seconds."""
    ((_, interval),) = simulate(model, [(load, seconds)], seed=seed, interval_s=seconds)[:1]
    return interval


def print_request_metrics(model: TargetModel, loads: Sequence[float], seeds: Sequence[int]) -> None:
    """Print the results per request, retries included, by offered load."""
    results = [[offer(model, load, seed=seed) for seed in seeds] for load in loads]
    metrics: dict[str, Callable[[Interval], float]] = {
        "in time, share": lambda s: s.in_time,
        "late, share": lambda s: s.outcomes["late"] / s.offered,
        "not served, share": lambda s: s.unserved / s.offered,
        "tries": lambda s: s.attempts_made / s.offered,
        "held unserved, latencies": lambda s: s.held_s / max(1, s.unserved) / model.target_latency,
    }
    print(model.name)
    for name, metric in metrics.items():
        means = [sum(map(metric, intervals)) / len(intervals) for intervals in results]
        print(f"  {name:24}" + "".join(f"{mean:7.2f}" for mean in means))


def main() -> None:
    """Print the goodput of each model by load, and its recovery after an overload."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument(
        "--meter", action="store_true", help="print results per request instead, retries included"
    )
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    logging.disable(logging.CRITICAL)
    loads = (0.5, 0.8, 1.0, 1.5, 2.0, 2.5)
    if arguments.meter:
        print("from the first try on, by offered load " + "".join(f"{load:5.1f}" for load in loads))
        for model in MODELS:
            print_request_metrics(model, loads, seeds)
        return
    print("in time, as a multiple of the capacity, by offered load")
    print(f"{'targets':26}" + "".join(f"{load:7.1f}" for load in loads))
    for model in MODELS:
        means = [sum(goodput(model, load, seed=s) for s in seeds) / len(seeds) for load in loads]
        print(f"{model.name:26}" + "".join(f"{mean:7.2f}" for mean in means))
    print("share in time in each half second, after 2.5 for 5 s and from then on 0.5")
    for model in MODELS:
        for seed in seeds:
            intervals = simulate(model, [(0.5, 3), (2.5, 5), (0.5, 4)], seed=seed, interval_s=0.5)
            shares = [interval.in_time for started, interval in intervals if started >= 8.0]
            print(f"{model.name:26}" + "".join(f"{share:6.2f}" for share in shares))


if __name__ == "__main__":
    main()
