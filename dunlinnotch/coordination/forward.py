"""Take one caller's request from its head to its end, on the event loop.

The path is written straight down: match, ask a few targets, send, again where
that is safe, relay the answer.  What was known when a request came may be
outdated when it is sent, so kind, service and target are looked up anew for
each attempt.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from dunlinnotch._logs import event
from dunlinnotch.coordination.bodies import HeldBody
from dunlinnotch.coordination.fresh import FRESH_S, spare
from dunlinnotch.protocol.attempt import BodyCutError, CallerGoneError
from dunlinnotch.protocol.outcome import Outcome, Reason
from dunlinnotch.protocol.relay import Answered, Asked, NotRun, NotSent
from dunlinnotch.state.heads import Header
from dunlinnotch.state.instances import TargetReport

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable, Coroutine

    from dunlinnotch.coordination.fresh import FreshChooser
    from dunlinnotch.coordination.shares import ProbeShare, RepeatShare
    from dunlinnotch.protocol.relay import AttemptEnd, CallerRequest, ReplyPort, TargetPort
    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.state.routes import RequestKind, RouteTable
    from dunlinnotch.types import Seconds

#: Bodies up to this size are held, so that a refused request can be sent elsewhere.
_HOLD = 256 * 1024
#: Answers up to this size are read whole before their head goes out.
_READ_FIRST = 64 * 1024
#: Part of the target latency for which a request waits for a good target.
_WAIT_SHARE = 0.2
#: Pause before full targets are asked again, in seconds.
_PAUSE_S = 0.01
#: Longest wait for the answers of the targets asked at once, in seconds.
_ASK_S = 0.04
#: A probe without an answer for so long counts as a failure, in seconds.
_ASK_LOST_S = 0.3
#: When to come back, at least, in seconds.
_COME_BACK_S = 0.05

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AskPlan:
    """How many targets are asked before a request is sent.

    Parameters
    ----------
    first, more : int
        Targets asked at once, and further ones if none of those is good.
    """

    first: int = 4
    more: int = 4


@dataclass(frozen=True, slots=True)
class Ending:
    """How a request ended.

    Parameters
    ----------
    outcome : Outcome
    status : int
    reason : Reason or None
    detail : str
    """

    outcome: Outcome
    status: int
    reason: Reason | None = None
    detail: str = ""


@dataclass(slots=True)
class _Try:
    """One target that a request was sent to, for the log."""

    instance: str
    why: str
    expected: float
    report_age: Seconds
    began: Seconds
    took: Seconds = 0.0
    end: str = ""


@dataclass(slots=True)
class _Run:
    """One request under way."""

    request: CallerRequest
    body: HeldBody
    reply: ReplyPort
    point: float
    kind: RequestKind | None = None
    service: str = ""
    version: int = 0
    sends: int = 0
    may_have_run: bool = False
    counted: bool = False
    tries: list[_Try] = field(default_factory=list)
    tried: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Pick:
    """A target chosen, with the probe that spoke for it."""

    instance: Instance
    asked: Asked | None
    why: str


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
    instances : InstanceList
    chooser : FreshChooser
    probes : ProbeShare
    make_repeats : callable
        Makes the repeat budget of a service.
    targets : TargetPort
    observer : ForwardObserver
    on_report : callable
        Called with each target that has just told its load to this box.
    plan : AskPlan
    rng : random.Random
    """

    def __init__(
        self,
        *,
        routes: Callable[[], RouteTable | None],
        age: Callable[[], Seconds],
        instances: InstanceList,
        chooser: FreshChooser,
        probes: ProbeShare,
        make_repeats: Callable[[], RepeatShare],
        targets: TargetPort,
        observer: ForwardObserver,
        on_report: Callable[[Instance], None],
        plan: AskPlan,
        rng: random.Random,
    ) -> None:
        self._routes = routes
        self._age = age
        self._instances = instances
        self._chooser = chooser
        self._probes = probes
        self._make_repeats = make_repeats
        self._targets = targets
        self._observer = observer
        self._on_report = on_report
        self._plan = plan
        self._rng = rng
        self._loop = asyncio.get_running_loop()
        self._repeats: dict[str, RepeatShare] = {}
        self._points: dict[str, float] = {}
        self._asking: set[asyncio.Task[None]] = set()
        self.in_flight = 0

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
        """Set by how many boxes the budgets of the system are shared."""
        self._probes.boxes = boxes
        for share in self._repeats.values():
            share.boxes = boxes

    async def serve(
        self, request: CallerRequest, parts: AsyncIterator[bytes], reply: ReplyPort
    ) -> Ending:
        """Serve one request; cancelled when its caller has gone."""
        run = _Run(request, HeldBody(parts), reply, point=0.0)
        self.in_flight += 1
        try:
            ending = await self._matched(run)
        except asyncio.CancelledError:
            self._log_end(run, Ending(Outcome.UNKNOWN, 0, Reason.CALLER_GONE, "the caller left"))
            raise
        finally:
            self.in_flight -= 1
        self._log_end(run, ending)
        return ending

    # -- matching, time and refusals

    async def _matched(self, run: _Run) -> Ending:
        request = run.request
        missing = self._look_up(run)
        if missing is not None:
            return self._refuse(run, missing)
        assert run.kind is not None
        run.point = self._next_point(run.kind)
        until = min(request.deadline, request.arrived + run.kind.timeout)
        ending: Ending | None = None
        try:
            async with asyncio.timeout_at(until):
                await run.body.hold(_HOLD)
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
        return self._refuse(run, ending) if ending.outcome is not Outcome.ANSWERED else ending

    def _look_up(self, run: _Run) -> Ending | None:
        """Match the request by the settings in force now."""
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
    def _out_of_time(run: _Run) -> Ending:
        if run.may_have_run:
            return Ending(Outcome.UNKNOWN, 504, Reason.DEADLINE_EXPIRED, "no answer in time")
        return Ending(Outcome.NOT_RUN, 503, Reason.DEADLINE_EXPIRED, "no target in time")

    def _refuse(self, run: _Run, ending: Ending) -> Ending:
        """Tell the caller at once; an answer under way is cut."""
        if run.reply.begun:
            return ending
        headers = []
        if ending.status == 503:
            wait = _COME_BACK_S
            if run.kind is not None:
                wait += run.kind.target_latency * _WAIT_SHARE * self._rng.random()
            headers.append(Header("Retry-After", f"{wait:.3f}"))
        run.reply.reply(ending.status, headers, b"")
        return ending

    # -- attempts

    async def _attempts(self, run: _Run) -> Ending:
        last: Ending | None = None
        while True:
            missing = self._look_up(run)
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
                self._release(pick)
                continue
            if run.sends and not self.repeats(service).take():
                self._release(pick)
                return last or self._nobody(run, service)
            end = await self._attempt(run, kind, pick)
            settled = await self._settle(run, kind, pick.instance, end)
            if settled.outcome is Outcome.ANSWERED or not self._may_repeat(run, kind, settled):
                return settled
            last = settled

    def _still(self, run: _Run, pick: _Pick) -> bool:
        """Return whether what the choice rests on still holds after waiting for probes."""
        table = self._routes()
        kind = None if table is None else table.match(run.request.host, run.request.path)
        if kind is None or kind.service_at(run.point) != pick.instance.listed.service:
            return False
        return not pick.instance.replaced

    def _nobody(self, run: _Run, service: str) -> Ending:
        if not self._instances.of(service):
            detail = f"service {service!r} has no target"
            return Ending(Outcome.NOT_RUN, 503, Reason.NO_TARGET, detail)
        return Ending(Outcome.NOT_RUN, 503, Reason.QUEUE_FULL, "no target is free in time")

    def _may_repeat(self, run: _Run, kind: RequestKind, ended: Ending) -> bool:
        if run.reply.begun or run.sends >= kind.attempts or not run.body.resendable:
            return False
        return kind.repeatable or not run.may_have_run

    async def _attempt(self, run: _Run, kind: RequestKind, pick: _Pick) -> AttemptEnd:
        instance = pick.instance
        now = self._loop.time()
        request = run.request
        left = min(request.deadline, request.arrived + kind.timeout) - now
        age = now - instance.reported_at
        trial = _Try(
            instance.name, pick.why, round(self._chooser.expected(instance, now), 2), age, now
        )
        run.tries.append(trial)
        run.tried.add(instance.name)
        run.sends += 1
        run.may_have_run = True
        instance.own += 1
        instance.sent_since_report += 1
        try:
            end = await self._targets.attempt(
                instance.address,
                request,
                run.body,
                left=left,
                instance=instance.name,
                asked=pick.asked,
                once=not kind.repeatable,
            )
            trial.end = type(end).__name__
            return end
        finally:
            instance.own -= 1
            trial.took = self._loop.time() - now

    async def _settle(
        self, run: _Run, kind: RequestKind, instance: Instance, end: AttemptEnd
    ) -> Ending:
        now = self._loop.time()
        if isinstance(end, Answered):
            return await self._relay(run, kind, instance, end)
        if isinstance(end, NotSent):
            run.sends -= 1
            run.may_have_run = run.sends > 0 and run.may_have_run and self._ran_before(run)
            self._chooser.failed(instance, now)
            return Ending(Outcome.NOT_RUN, 503, end.reason, end.detail)
        if isinstance(end, NotRun):
            run.may_have_run = self._ran_before(run)
            self._heard(instance, end.report)
            if end.elsewhere:
                self._instances.leave(instance.name)
                self._log_belief("target-replaced", instance)
            detail = f"the target refused with status {end.status}"
            return Ending(Outcome.NOT_RUN, 503, Reason.TARGET_REFUSED, detail)
        if end.reason is not Reason.BODY_BROKEN:
            self._chooser.failed(instance, now)
        return Ending(Outcome.UNKNOWN, 502, end.reason, end.detail)

    @staticmethod
    def _ran_before(run: _Run) -> bool:
        """Return whether an attempt before the last one may have run."""
        return any(t.end not in ("NotSent", "NotRun") for t in run.tries[:-1])

    async def _relay(
        self, run: _Run, kind: RequestKind, instance: Instance, answered: Answered
    ) -> Ending:
        """Pass an answer to the caller, to its last byte or not cleanly at all."""
        answer = answered.answer
        head = answer.head
        self._heard(instance, answered.report)
        failed = head.status >= 500
        try:
            whole = await answer.whole_within(_READ_FIRST)
            if failed:
                self._chooser.failed(instance, self._loop.time())
                if self._worth_repeating(run, kind):
                    detail = f"the target failed with status {head.status}"
                    return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, detail)
            else:
                self._chooser.did_well(instance)
            if whole is not None:
                run.reply.reply(head.status, head.headers, whole, head.phrase)
                return Ending(Outcome.ANSWERED, head.status)
            run.reply.begin(head.status, head.headers, length=head.length, phrase=head.phrase)
            async for part in answer.parts():
                await run.reply.send(part)
            run.reply.finish()
            return Ending(Outcome.ANSWERED, head.status)
        except BodyCutError as error:
            self._chooser.failed(instance, self._loop.time())
            run.tries[-1].end = "cut"
            return Ending(Outcome.UNKNOWN, 502, Reason.TARGET_BROKEN, str(error))
        finally:
            run.tries[-1].took = self._loop.time() - run.tries[-1].began
            answer.close()

    def _worth_repeating(self, run: _Run, kind: RequestKind) -> bool:
        if not kind.repeatable or run.sends >= kind.attempts or not run.body.resendable:
            return False
        others = [i for i in self._instances.of(run.service) if i.name not in run.tried]
        return bool(others)

    # -- choosing by fresh reports

    async def _choose(self, run: _Run, kind: RequestKind, service: str) -> _Pick | None:
        """Return a target that is good enough, the best there is, or None in time."""
        give_up = run.request.arrived + kind.target_latency * _WAIT_SHARE
        if run.sends:
            give_up = self._loop.time() + kind.target_latency * _WAIT_SHARE
        while True:
            pick = self._known_good(run, service) or await self._ask_round(run, service)
            now = self._loop.time()
            last_chance = now + _PAUSE_S >= give_up
            if pick is not None:
                if self._chooser.good(pick.instance, now):
                    return pick
                if last_chance and spare(pick.instance):
                    return pick
                self._release(pick)
            if last_chance:
                return None
            await asyncio.sleep(_PAUSE_S * (0.7 + 0.6 * self._rng.random()))
            if self._look_up(run) is not None or run.kind is None:
                return None
            if run.kind.service_at(run.point) != service:
                return await self._choose(run, run.kind, run.kind.service_at(run.point))

    def _known_good(self, run: _Run, service: str) -> _Pick | None:
        """Return a target that is good by a report of the last milliseconds, if there is one.

        Notes
        -----
        Only reports that this box got itself count: what several boxes hear
        at once would send all of them to the same target.
        """
        now = self._loop.time()
        known = [
            instance
            for instance in self._instances.of(service)
            if now - instance.asked_at < FRESH_S
            and instance.name not in run.tried
            and instance.lapsed_at is None
            and self._chooser.good(instance, now)
        ]
        if not known:
            return None
        return _Pick(self._chooser.order(known, now, exclude=())[0], None, "fresh")

    async def _ask_round(self, run: _Run, service: str) -> _Pick | None:
        now = self._loop.time()
        instances = self._instances.of(service)
        order = self._chooser.order(instances, now, exclude=run.tried)
        if not order:
            order = self._chooser.order(instances, now, exclude=())
            if run.tried and not order:
                return None
        if not order:
            return None
        answers: dict[Instance, Asked] = {}
        first, more = self._plan.first, self._plan.more
        try:
            for group in (order[:first], order[first : first + more]):
                good = await self._ask_group(group, service, answers)
                if good is not None:
                    return self._take(good, answers, "good")
        except BaseException:
            for instance, asked in answers.items():
                self._targets.release(instance.address, asked)
            raise
        return self._best(order, answers)

    def _take(self, chosen: Instance, answers: dict[Instance, Asked], why: str) -> _Pick:
        for instance, asked in answers.items():
            if instance is not chosen:
                self._targets.release(instance.address, asked)
        return _Pick(chosen, answers.get(chosen), why)

    def _best(self, order: list[Instance], answers: dict[Instance, Asked]) -> _Pick | None:
        now = self._loop.time()
        if answers:
            best = min(answers, key=lambda i: self._chooser.expected(i, now))
            return self._take(best, answers, "best")
        rest = [i for i in order if now >= i.aside_until] or order
        best = min(rest, key=lambda i: self._chooser.expected(i, now) + self._rng.random())
        return _Pick(best, None, "unasked")

    async def _ask_group(
        self, group: list[Instance], service: str, answers: dict[Instance, Asked]
    ) -> Instance | None:
        """Ask some targets at once; return the first that is good."""
        table = self._routes()
        info = None if table is None else table.services.get(service)
        if info is None or not info.probe_path:
            return None
        heard: asyncio.Queue[tuple[Instance, Asked]] = asyncio.Queue()
        waiting = 0
        for instance in group:
            if self._probes.take(instance.name):
                self._keep(self._ask(instance, info.probe_path, heard))
                waiting += 1
        until = self._loop.time() + _ASK_S
        try:
            while waiting:
                try:
                    async with asyncio.timeout_at(until):
                        instance, asked = await heard.get()
                except TimeoutError:
                    return None
                waiting -= 1
                if asked.instance is None:
                    continue
                if not self._usable(instance, asked):
                    self._targets.release(instance.address, asked)
                    continue
                answers[instance] = asked
                if self._chooser.good(instance, self._loop.time()):
                    return instance
            return None
        finally:
            if waiting:
                self._keep(self._release_late(heard, waiting))

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        """Run something that goes on when the request that began it does not wait for it."""
        task = self._loop.create_task(work)
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _release_late(
        self, heard: asyncio.Queue[tuple[Instance, Asked]], waiting: int
    ) -> None:
        """Give back the connections of probes that answer after the choice was made."""
        for _ in range(waiting):
            instance, asked = await heard.get()
            self._targets.release(instance.address, asked)

    def _usable(self, instance: Instance, asked: Asked) -> bool:
        if asked.instance != instance.name:
            if self._instances.leave(instance.name):
                self._log_belief("target-replaced", instance, now_there=asked.instance)
            return False
        return not instance.replaced and asked.report is not None

    async def _ask(
        self, instance: Instance, path: str, heard: asyncio.Queue[tuple[Instance, Asked]]
    ) -> None:
        try:
            async with asyncio.timeout(_ASK_LOST_S):
                asked = await self._targets.ask(instance.address, path)
        except TimeoutError:
            asked = Asked(None, False, None, "no answer to a probe")
        now = self._loop.time()
        if asked.instance is None:
            self._chooser.failed(instance, now)
        elif asked.instance == instance.name:
            instance.well = asked.well
            if asked.report is None:
                # It tells no load: what this box has there is all that is known.
                asked.report = TargetReport(instance.own, 0, max(1, instance.listed.slots))
            self._heard(instance, asked.report)
        heard.put_nowait((instance, asked))

    def _heard(self, instance: Instance, report: TargetReport | None) -> None:
        """Take in a report that this box has got itself."""
        if report is not None:
            instance.heard(report, self._loop.time())
            self._on_report(instance)

    def _release(self, pick: _Pick) -> None:
        if pick.asked is not None:
            self._targets.release(pick.instance.address, pick.asked)

    # -- logs

    @staticmethod
    def _log_belief(name: str, instance: Instance, *, now_there: str | None = None) -> None:
        event(
            _log,
            name,
            instance=instance.name,
            service=instance.listed.service,
            target=instance.address,
            sequence=instance.listed.sequence,
            now_there=now_there,
        )

    def _log_end(self, run: _Run, ending: Ending) -> None:
        now = self._loop.time()
        took = now - run.request.arrived
        kind = "" if run.kind is None else run.kind.name
        self._observer.request_ended(kind, ending, took, run.sends)
        event(
            _log,
            "route",
            request=run.request.request_id,
            kind=kind,
            service=run.service,
            version=run.version,
            settings_age_s=round(self._age(), 2),
            outcome=ending.outcome,
            status=ending.status,
            reason=ending.reason,
            detail=ending.detail,
            took_ms=round(took * 1000, 1),
            tries=[
                [
                    t.instance,
                    t.why,
                    t.expected,
                    round(t.report_age * 1000),
                    round((t.began - run.request.arrived) * 1000, 1),
                    round(t.took * 1000, 1),
                    t.end,
                ]
                for t in run.tries
            ],
        )
