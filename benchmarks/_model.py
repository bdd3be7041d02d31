"""Fake targets on a clock moved by hand, for comparing decision rules.

A fake at the interface only: a target is a number of slots, a queue and a
speed that changes; there is no network but a fixed travel time.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

#: One way between box and target, in seconds.
TRAVEL_S = 0.0005
#: Mean time of work on a target at full speed, in seconds.
WORK_S = 0.010
#: Speed of a target while a neighbour takes its time.
SLOW_SPEED = 0.25
#: Mean times at full and at low speed, in seconds: 9 % of the time is slow.
FULL_S = 1.0
SLOW_S = 0.1
#: What a target does on average, with its slow times counted in.
MEAN_SPEED = (FULL_S + SLOW_S * SLOW_SPEED) / (FULL_S + SLOW_S)
#: Time a target that fails fast takes, in seconds.
FAIL_S = 0.0005


class Events:
    """A clock with things to do."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Have ``action`` called at ``when``."""
        heapq.heappush(self._heap, (when, next(self._numbers), action))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Have ``action`` called after ``delay`` seconds."""
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Do everything that is due before ``until``."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()


@dataclass(slots=True)
class Job:
    """Work at a target; ``done`` is told whether it went well and the load besides."""

    work: float
    done: Callable[[bool, int], None]
    started: Callable[[], None] | None = None


@dataclass(slots=True)
class FakeTarget:
    """One target.

    Parameters
    ----------
    address : str
    slots : int
    events : Events
    rng : random.Random
    fails : bool
        Answers each call with an error at once.
    lies : bool
        Reports no load, whatever it has.
    queue_max : int or None
        Calls that may wait; more are refused, marked as not run.
    """

    address: str
    slots: int
    events: Events
    rng: random.Random
    fails: bool = False
    lies: bool = False
    queue_max: int | None = None
    in_flight: int = 0
    busy_s: float = 0.0
    _running: int = 0
    _queue: deque[Job] = field(default_factory=deque)
    _ends: deque[tuple[float, float]] = field(default_factory=deque)

    def send(self, job: Job) -> bool:
        """Take a job; return False if it is refused, marked as not run."""
        if self.fails:
            self.events.after(FAIL_S, lambda: job.done(False, 0))
            return True
        waiting = len(self._queue)
        if self.queue_max is not None and waiting >= self.queue_max:
            return False
        self.in_flight += 1
        if self._running < self.slots:
            self._start(job)
        else:
            self._queue.append(job)
        return True

    @property
    def load(self) -> int:
        """The load that the target reports."""
        return 0 if self.lies else self.in_flight

    def _start(self, job: Job) -> None:
        self._running += 1
        if job.started is not None:
            job.started()
        end = self._end(job.work)
        self.busy_s += end - self.events.now
        self.events.at(end, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        self._running -= 1
        self.in_flight -= 1
        if self._queue:
            self._start(self._queue.popleft())
        job.done(True, self.load)

    def _end(self, work: float) -> float:
        """Return when work that begins now ends, at the speeds to come."""
        now = self.events.now
        while self._ends and self._ends[0][0] <= now:
            self._ends.popleft()
        at = now
        index = 0
        while True:
            while index >= len(self._ends):
                self._more_speeds(at)
            until, speed = self._ends[index]
            if (until - at) * speed >= work:
                return at + work / speed
            work -= (until - at) * speed
            at = until
            index += 1

    def _more_speeds(self, now: float) -> None:
        begin = self._ends[-1][0] if self._ends else now
        full = begin + self.rng.expovariate(1 / FULL_S)
        slow = full + self.rng.expovariate(1 / SLOW_S)
        self._ends.append((full, 1.0))
        self._ends.append((slow, SLOW_SPEED))


def quantile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the sorted values lie."""
    return values[min(len(values) - 1, int(share * len(values)))]
