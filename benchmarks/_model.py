"""Simulated targets on a discrete-event clock, for comparing decision rules.

A target is a number of slots, a queue and a speed that changes at random.  The
network is a fixed delay.
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

#: Network delay between box and target in one direction, in seconds.
ONE_WAY_DELAY_S = 0.0005
#: Mean processing time of a call on a target at full speed, in seconds.
MEAN_WORK_S = 0.010
#: Speed of a target while a noisy neighbour slows it down; full speed is 1.
SLOW_SPEED = 0.25
#: Mean durations of the phases at full and at low speed, in seconds.
MEAN_FULL_SPEED_S = 1.0
MEAN_SLOW_S = 0.1
#: Speed of a target averaged over both phases.
MEAN_SPEED = (MEAN_FULL_SPEED_S + MEAN_SLOW_S * SLOW_SPEED) / (MEAN_FULL_SPEED_S + MEAN_SLOW_S)
#: Time after which a failing target answers with an error, in seconds.
FAILURE_S = 0.0005


class EventQueue:
    """A clock and the actions scheduled on it."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` at the time ``when``, in seconds."""
        heapq.heappush(self._heap, (when, next(self._sequence_numbers), action))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` after ``delay`` seconds."""
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Run all actions that are due up to ``until``, in order."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()


@dataclass(slots=True)
class Job:
    """A call to a target.

    Parameters
    ----------
    work : float
        Processing time at full speed, in seconds.
    on_done : callable
        Called at the end with whether the call succeeded and the load that the target reports.
    on_started : callable, optional
        Called when the target starts processing.
    """

    work: float
    on_done: Callable[[bool, int], None]
    on_started: Callable[[], None] | None = None


@dataclass(slots=True)
class FakeTarget:
    """A simulated target.

    Parameters
    ----------
    address : str
    slots : int
        Calls that it processes at once.
    events : EventQueue
    rng : random.Random
        Of the durations of its speed phases.
    fails : bool, default False
        Answers each call with an error after ``FAILURE_S``.
    reports_no_load : bool, default False
        Reports a load of 0 regardless of the calls in flight.
    max_queued : int, optional
        Maximum number of queued calls; further calls are refused, marked as not run.

    Attributes
    ----------
    in_flight : int
        Calls that are processed or queued.
    busy_s : float
        Processing time of all calls, in seconds.
    """

    address: str
    slots: int
    events: EventQueue
    rng: random.Random
    fails: bool = False
    reports_no_load: bool = False
    max_queued: int | None = None
    in_flight: int = 0
    busy_s: float = 0.0
    _running: int = 0
    _queue: deque[Job] = field(default_factory=deque)
    _speed_phases: deque[tuple[float, float]] = field(default_factory=deque)

    def send(self, job: Job) -> bool:
        """Accept a call; return False if it is refused, marked as not run."""
        if self.fails:
            self.events.after(FAILURE_S, lambda: job.on_done(False, 0))
            return True
        queued = len(self._queue)
        if self.max_queued is not None and queued >= self.max_queued:
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
        return 0 if self.reports_no_load else self.in_flight

    def _start(self, job: Job) -> None:
        self._running += 1
        if job.on_started is not None:
            job.on_started()
        end = self._end_of_work(job.work)
        self.busy_s += end - self.events.now
        self.events.at(end, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        self._running -= 1
        self.in_flight -= 1
        if self._queue:
            self._start(self._queue.popleft())
        job.on_done(True, self.load)

    def _end_of_work(self, work: float) -> float:
        """Return the time at which work that starts now ends, in seconds."""
        now = self.events.now
        while self._speed_phases and self._speed_phases[0][0] <= now:
            self._speed_phases.popleft()
        at = now
        index = 0
        while True:
            while index >= len(self._speed_phases):
                self._add_speed_phases(at)
            until, speed = self._speed_phases[index]
            if (until - at) * speed >= work:
                return at + work / speed
            work -= (until - at) * speed
            at = until
            index += 1

    def _add_speed_phases(self, now: float) -> None:
        begin = self._speed_phases[-1][0] if self._speed_phases else now
        full_speed_end = begin + self.rng.expovariate(1 / MEAN_FULL_SPEED_S)
        slow_end = full_speed_end + self.rng.expovariate(1 / MEAN_SLOW_S)
        self._speed_phases.append((full_speed_end, 1.0))
        self._speed_phases.append((slow_end, SLOW_SPEED))


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the sorted values lie."""
    return values[min(len(values) - 1, int(fraction * len(values)))]
