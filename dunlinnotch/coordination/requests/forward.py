"""Take one caller's request from its head to its end, on the event loop.

The path is written straight down: match, ask a few targets, send, again where
that is safe, relay the answer.  What was known when a request came may be
outdated when it is sent, so kind, service and target are looked up anew for
each attempt.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING, Protocol

from dunlinnotch._logs import event
from dunlinnotch.coordination.choosing.fresh import GOOD
from dunlinnotch.coordination.requests.bodies import HeldBody
from dunlinnotch.coordination.requests.crash_guard import Suspect
from dunlinnotch.coordination.requests.fingerprint import fingerprint
from dunlinnotch.coordination.requests.first_tries import FirstTries
from dunlinnotch.coordination.requests.run import Ending, Run, Try
from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.protocol.relay import Answered, Broken, NotRun, NotSent
from dunlinnotch.state.heads import Header

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable

    from dunlinnotch.coordination.budgets.shares import RepeatShare
    from dunlinnotch.coordination.choosing.asking import TargetSeeker
    from dunlinnotch.coordination.choosing.fresh import FreshChooser
    from dunlinnotch.coordination.choosing.waiting import Pick
    from dunlinnotch.coordination.choosing.work_times import WorkTimes
    from dunlinnotch.coordination.requests.crash_guard import CrashGuard
    from dunlinnotch.protocol.relay import AttemptEnd, CallerRequest, ReplyPort, TargetPort
    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.state.routes import RequestKind, RouteTable
    from dunlinnotch.state.target_status import TargetStatus
    from dunlinnotch.types import Seconds

#: Bodies up to this size are held, so that a refused request can be sent elsewhere.
_HOLD = 256 * 1024
#: Answers up to this size are read whole before their head goes out.
_READ_FIRST = 64 * 1024
#: Part of the target latency for which a request waits for a good target.
_WAIT_SHARE = 0.2
#: When to come back, at least, in seconds.
_COME_BACK_S = 0.05
#: When to come back to a box that does not know yet what is in force, in seconds.
_COME_BACK_UNKNOWING_S = 0.3

_log = logging.getLogger(__name__)


class ForwardObserver(Protocol):
    """Is told of the end of each request, for metrics."""

    def request_ended(self, kind: str, ending: Ending, took: Seconds, sends: int) -> None:
        """Note the end of a request; ``sends`` targets were sent it."""


class Forwarder:
    """Forward requests of callers to targets.

    Parameters
    ----------
    routes : callable
        Returns the route table in force, or None while none is known.
    age : callable
        Returns the seconds since the settings were last known to be the newest.
    catching_up : callable
        Returns whether the box stood still and does not know yet what has changed.
    instances : InstanceList
    chooser : FreshChooser
    times : WorkTimes
    seeker : TargetSeeker
    make_repeats : callable
        Makes the repeat budget of a service.
    guard : CrashGuard
    targets : TargetPort
    observer : ForwardObserver
    rng : random.Random
    """

    def __init__(
        self,
        *,
        routes: Callable[[], RouteTable | None],
        age: Callable[[], Seconds],
        catching_up: Callable[[], bool],
        instances: InstanceList,
        chooser: FreshChooser,
        times: WorkTimes,
        seeker: TargetSeeker,
        make_repeats: Callable[[], RepeatShare],
        guard: CrashGuard,
        targets: TargetPort,
        observer: ForwardObserver,
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._age = age
        self._catching_up = catching_up
        self._instances = instances
        self._chooser = chooser
        self._times = times
        self._seeker = seeker
        self._make_repeats = make_repeats
        self._guard = guard
        self._targets = targets
        self._observer = observer
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._repeats: dict[str, RepeatShare] = {}
        self._points: dict[str, float] = {}
        self._first_tries = FirstTries()
        self._running: set[Run] = set()

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return len(self._running)

    def give_up_all(self) -> None:
        """Give each request under way its final answer now: the box ends."""
        for run in self._running:
            run.stopping = True
            if run.scope is not None:
                run.scope.reschedule(self._loop.time())

    def repeats(self, service: str) -> RepeatShare:
        """Return the repeat budget of a service."""
        found = self._repeats.get(service)
        if found is None:
            found = self._repeats[service] = self._make_repeats()
        return found

    def change_repeats(self, *, ratio: float, slack: float, window: Seconds) -> None:
        """Change the budget of repeats; what was spent still counts."""
        for share in self._repeats.values():
            share.ratio, share.slack, share.window = ratio, slack, window

    def set_boxes(self, boxes: int) -> None:
        """Set by how many boxes the budget of repeats is shared."""
        for share in self._repeats.values():
            share.boxes = boxes

    def keep_only(self, kinds: set[str]) -> None:
        """Forget kinds that are no more."""
        self._first_tries.keep_only(kinds)

    async def serve(
        self, request: CallerRequest, parts: AsyncIterator[bytes], reply: ReplyPort
    ) -> Ending:
        """Serve one request; cancelled when its caller has gone."""
        run = Run(request, HeldBody(parts), reply, point=0.0, first_try=request.arrived)
        self._running.add(run)
        try:
            ending = await self._matched(run)
        except asyncio.CancelledError:
            self._end(run, Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, "the caller left"))
            raise
        finally:
            self._running.discard(run)
        self._end(run, ending)
        return ending

    def _end(self, run: Run, ending: Ending) -> None:
        answered = ending.outcome is Outcome.ANSWERED and ending.status < 500
        self._guard.finished(run.suspect, answered=answered)
        took = self._loop.time() - run.request.arrived
        kind = "" if run.kind is None else run.kind.name
        self._observer.request_ended(kind, ending, took, run.sends)
        run.log(ending, took=took, settings_age=self._age())

    # -- matching, time and refusals

    async def _matched(self, run: Run) -> Ending:
        request = run.request
        missing = self._look_up(run)
        if missing is not None:
            return self._refuse(run, missing)
        assert run.kind is not None
        run.point = self._next_point(run.kind)
        left = request.deadline - request.arrived
        run.first_try -= self._first_tries.asking_for(run.kind.name, left)
        until = min(request.deadline, request.arrived + run.kind.timeout)
        ending: Ending | None = None
        try:
            async with asyncio.timeout_at(until) as run.scope:
                await run.body.hold(_HOLD)
                run.suspect = Suspect(fingerprint(request, run.body.held))
                ending = await self._attempts(run)
        except TimeoutError:
            if ending is None:
                ending = self._out_of_time(run)
        except BodyCutError as error:
            ending = Ending(Outcome.NOT_RUN, 400, Reason.BODY_BROKEN, str(error))
            if run.may_have_run:
                ending = Ending(Outcome.UNKNOWN, 502, Reason.BODY_BROKEN, str(error))
        except CallerGoneError as error:
            return Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, str(error))
        if ending.outcome is Outcome.ANSWERED:
            return ending
        if ending.outcome is Outcome.NOT_RUN and run.may_have_run:
            # The last target did not run it, but one before may have.
            ending = Ending(Outcome.UNKNOWN, 502, ending.reason, ending.detail)
        return self._refuse(run, ending)

    def _look_up(self, run: Run) -> Ending | None:
        """Match the request by the settings in force now."""
        if self._catching_up():
            detail = "the box stood still and learns what has changed"
            return Ending(Outcome.NOT_RUN, 503, Reason.CATCHING_UP, detail)
        table = self._routes()
        if table is None:
            return Ending(Outcome.NOT_RUN, 503, Reason.NO_SETTINGS, "no settings are known yet")
        run.version = table.version
        run.kind = table.match(run.request.host, run.request.path)
        if run.kind is None:
            return Ending(Outcome.NOT_RUN, 404, Reason.KIND_UNKNOWN, "no request kind matches")
        return None

    def _next_point(self, kind: RequestKind) -> float:
        """Return points that fill 0 to 1 evenly, so that shares hold over few requests."""
        point = self._points.get(kind.name)
        point = self._rng.random() if point is None else (point + 0.6180339887498949) % 1.0
        self._points[kind.name] = point
        return point

    @staticmethod
    def _out_of_time(run: Run) -> Ending:
        if run.stopping and run.may_have_run:
            return Ending(Outcome.UNKNOWN, 504, Reason.BOX_DRAINED, "no answer before the box ends")
        if run.stopping:
            return Ending(Outcome.NOT_RUN, 503, Reason.BOX_DRAINED, "no target before the box ends")
        if run.may_have_run:
            return Ending(Outcome.UNKNOWN, 504, Reason.DEADLINE_EXPIRED, "no answer in time")
        return Ending(Outcome.NOT_RUN, 503, Reason.DEADLINE_EXPIRED, "no target in time")

    def _refuse(self, run: Run, ending: Ending) -> Ending:
        """Tell the caller at once; an answer under way is cut."""
        if run.reply.begun:
            return ending
        headers = []
        if ending.status == 503:
            headers.append(Header("Retry-After", f"{self._come_back(run, ending):.3f}"))
        run.reply.reply(ending.status, headers, b"")
        return ending

    def _come_back(self, run: Run, ending: Ending) -> Seconds:
        """Return after how long a refused caller may come back."""
        if ending.retry_after is not None:
            return ending.retry_after
        rest = self._seeker.rest_left(run.service)
        unknowing = ending.reason in (Reason.NO_SETTINGS, Reason.CATCHING_UP)
        wait = _COME_BACK_UNKNOWING_S if unknowing else _COME_BACK_S
        if run.kind is not None:
            wait += run.kind.target_latency * _WAIT_SHARE * self._rng.random()
        return rest + wait

    # -- attempts

    async def _attempts(self, run: Run) -> Ending:
        last: Ending | None = None
        while True:
            missing = self._look_up(run) or self._barred(run)
            if missing is not None:
                return last or missing
            assert run.kind is not None
            kind = run.kind
            service = run.service = kind.service_at(run.point)
            if not run.counted:
                run.counted = True
                self.repeats(service).request()
            pick = await self._choose(run, kind, service)
            if pick is None:
                return last or self._nobody(run, service)
            if not self._still(run, pick):
                self._seeker.release(pick)
                continue
            if run.sends and not self.repeats(service).take():
                self._seeker.release(pick)
                return last or self._nobody(run, service)
            end = await self._attempt(run, kind, pick)
            settled = await self._settle(run, kind, pick.instance, end)
            if settled.outcome is Outcome.ANSWERED or not self._may_repeat(run, kind, settled):
                return settled
            last = settled

    def _barred(self, run: Run) -> Ending | None:
        """Return the refusal of a request under which targets ended, here or elsewhere."""
        wait = self._guard.barred_for(run.suspect)
        if not wait:
            return None
        detail = "targets ended under this request each time it was run"
        return Ending(Outcome.NOT_RUN, 503, Reason.REQUEST_BARRED, detail, retry_after=wait)

    def _still(self, run: Run, pick: Pick) -> bool:
        """Return whether what the choice rests on still holds after waiting for probes."""
        if self._catching_up():
            return False
        table = self._routes()
        kind = None if table is None else table.match(run.request.host, run.request.path)
        if kind is None or kind.service_at(run.point) != pick.instance.listed.service:
            return False
        instance = pick.instance
        if instance.replaced or self._loop.time() < instance.rest_until:
            return False
        return self._barred(run) is None

    def _nobody(self, run: Run, service: str) -> Ending:
        if not self._instances.of(service):
            detail = f"service {service!r} has no target"
            return Ending(Outcome.NOT_RUN, 503, Reason.NO_TARGET, detail)
        if self._seeker.rest_left(service):
            detail = f"all targets of service {service!r} want rest"
            return Ending(Outcome.NOT_RUN, 503, Reason.TARGETS_RESTING, detail)
        return Ending(Outcome.NOT_RUN, 503, Reason.QUEUE_FULL, "no target is free in time")

    def _may_repeat(self, run: Run, kind: RequestKind, ended: Ending) -> bool:
        if run.reply.begun or run.sends >= kind.attempts or not run.body.resendable:
            return False
        return kind.repeatable or not run.may_have_run

    async def _attempt(self, run: Run, kind: RequestKind, pick: Pick) -> AttemptEnd:
        instance = pick.instance
        now = self._loop.time()
        request = run.request
        left = min(request.deadline, request.arrived + kind.timeout) - now
        trial = Try(pick, began=now)
        run.tries.append(trial)
        run.tried.add(instance.name)
        run.sends += 1
        run.may_have_run = True
        instance.own += 1
        try:
            end = await self._targets.attempt(
                instance.address,
                request,
                run.body,
                remaining=left,
                instance=instance.name,
                may_send=lambda: self._still(run, pick),
                on_status=lambda status: self._hear(trial, status),
                probe_result=pick.asked,
                at_most_once=not kind.repeatable,
            )
            trial.end = type(end).__name__
            if isinstance(end, NotRun | Broken):
                trial.status = end.status
            return end
        finally:
            instance.own -= 1
            trial.took = self._loop.time() - now

    def _hear(self, trial: Try, status: TargetStatus) -> None:
        """Take in what a target says of itself beside its answer."""
        trial.said = status
        self._seeker.heard(trial.pick.instance, status)

    async def _settle(
        self, run: Run, kind: RequestKind, instance: Instance, end: AttemptEnd
    ) -> Ending:
        now = self._loop.time()
        if isinstance(end, Answered):
            return await self._relay(run, kind, instance, end)
        if isinstance(end, NotSent):
            run.sends -= 1
            run.may_have_run = run.ran_before
            self._chooser.failed(instance, now)
            return Ending(Outcome.NOT_RUN, 503, end.reason, end.detail)
        if isinstance(end, NotRun):
            run.may_have_run = run.ran_before
            if end.wrong_target:
                self._instances.leave(instance.name)
                event(_log, "target-replaced", instance=instance.name, target=instance.address)
            else:
                self._chooser.refused(instance, run.tries[-1].said, now)
            detail = f"the target refused with status {end.status}"
            return Ending(Outcome.NOT_RUN, 503, Reason.TARGET_REFUSED, detail)
        if end.reason is not Reason.BODY_BROKEN:
            self._chooser.failed(instance, now)
            await self._look_for_end(run, instance)
        return Ending(Outcome.UNKNOWN, 502, end.reason, end.detail)

    async def _look_for_end(self, run: Run, instance: Instance) -> None:
        """Have the guard note it if the target of the last try has ended."""
        took = self._loop.time() - run.tries[-1].began
        await self._guard.look(run.suspect, run.request, instance, took=took)

    async def _relay(
        self, run: Run, kind: RequestKind, instance: Instance, answered: Answered
    ) -> Ending:
        """Pass an answer to the caller, to its last byte or not cleanly at all."""
        answer = answered.answer
        head = answer.head
        failed = head.status >= 500
        try:
            whole = await answer.read_complete(_READ_FIRST)
            if failed:
                self._chooser.failed(instance, self._loop.time())
                if self._worth_repeating(run, kind):
                    detail = f"the target failed with status {head.status}"
                    return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, detail)
            else:
                self._chooser.did_well(instance)
            if whole is not None:
                run.reply.reply(head.status, head.headers, whole, head.phrase)
            else:
                run.reply.begin(head.status, head.headers, length=head.length, phrase=head.phrase)
                async for part in answer.parts():
                    await run.reply.send(part)
                run.reply.finish()
            if not failed:
                # Failures are mostly fast, and would make the usual time seem short.
                took = self._loop.time() - run.tries[-1].began
                self._times.note(kind.name, run.service, run.tries[-1].pick.start, took)
            return Ending(Outcome.ANSWERED, head.status)
        except BodyCutError as error:
            self._chooser.failed(instance, self._loop.time())
            run.tries[-1].end = "cut"
            await self._look_for_end(run, instance)
            return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, str(error))
        finally:
            run.tries[-1].took = self._loop.time() - run.tries[-1].began
            answer.close()

    def _worth_repeating(self, run: Run, kind: RequestKind) -> bool:
        if not kind.repeatable or run.sends >= kind.attempts or not run.body.resendable:
            return False
        others = [i for i in self._instances.of(run.service) if i.name not in run.tried]
        return bool(others)

    async def _choose(self, run: Run, kind: RequestKind, service: str) -> Pick | None:
        """Look for a target, at most for a share of the target latency."""
        since = self._loop.time() if run.sends else run.request.arrived
        # What counts for a caller is the time since it first asked, not since it came back.
        in_time = min(run.request.deadline, run.first_try + kind.target_latency)
        late = min(run.request.deadline, run.request.arrived + kind.timeout)
        usual = self._times.usual(kind.name)
        return await self._seeker.choose(
            service,
            rank=kind.rank,
            tried=run.tried,
            give_up=since + kind.target_latency * _WAIT_SHARE,
            first_try=run.first_try,
            start_by=math.inf if usual is None else in_time - GOOD * usual,
            most=self._most_expected(in_time, usual),
            most_late=self._most_expected(late, usual),
        )

    def _most_expected(self, until: Seconds, usual: Seconds | None) -> float:
        """Return how many usual times there are from now until a moment."""
        if usual is None:
            return math.inf
        return max(0.0, until - self._loop.time()) / usual
