"""Real boxes in one process, with faults placed exactly at a step.

Only what lies outside the boxes is fake: clock, platform, targets, callers and
the way between them.  A hook runs in the middle of the box's own call, so a
box is killed, paused or cut at just that point.
"""

from __future__ import annotations

import random
import uuid
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from dunlinnotch import _codec
from dunlinnotch.coordination.budgets.probe_leases import ProbeLeaseValue
from dunlinnotch.coordination.core import BoxCore, Timing
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.attempt import (
    Answered,
    BodyCutError,
    Broken,
    LoadReport,
    NotSent,
    Refused,
)
from dunlinnotch.protocol.http import Call
from dunlinnotch.protocol.outcome import EditStatus, Outcome, Reason
from dunlinnotch.protocol.peers import LinkState
from dunlinnotch.protocol.platform import ListedBox
from dunlinnotch.standins.platform import Store
from dunlinnotch.state.heads import AnswerHead
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import Change, Edit
from tests import FakeClock, FakePlatform, box_row

STEPS = (
    "start",
    "ask",
    "accept",
    "admit",
    "choose",
    "connect",
    "send",
    "await",
    "answer",
    "probe",
    "read",
    "edit",
    "renew",
    "drain",
)
PLACES = ("hall-a", "hall-b")
#: Fewer seats than boxes, so that a seat that lapses finds a taker.
BOXES_MAX = 2
PROBE_RATE = 0.4
LEASE_S = 60.0
KEEP_S = 5.0
CUT_OFF_S = 10.0
LEAVING_S = 5.0


class BoxKilledError(BaseException):
    """Unwinds the call in which a box was killed."""


@dataclass
class Target:
    """A target that counts what it ran."""

    address: str
    runs: Counter = field(default_factory=Counter)
    probes: list[float] = field(default_factory=list)
    leaving_since: float | None = None
    leaving_reported_at: float | None = None
    senders_while_leaving: list[float] = field(default_factory=list)
    mode: str = "healthy"
    held_requests: list[str] = field(default_factory=list)

    def report_leaving(self, now):
        """Tell a box that it leaves; return when it first told any box."""
        if self.leaving_reported_at is None:
            self.leaving_reported_at = now
        return self.leaving_reported_at

    def unfreeze(self):
        """Run what was held while frozen: nobody told the target to stop."""
        for mark in self.held_requests:
            self.runs[mark] += 1
        self.held_requests = []


@dataclass
class Request:
    """One request of a caller and all that it learnt of it."""

    request_id: str
    kind: str
    key_part: str = ""
    outcomes: list[Outcome] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)


class Reply:
    """Collects an answer."""

    def __init__(self):
        self.parts = []
        self.whole = False

    def begin(self, head, *, target):
        pass

    def send(self, chunk):
        self.parts.append(chunk)

    def finish(self):
        self.whole = True


class Body:
    """A small request body."""

    replayable = True

    def chunks(self):
        yield b"body"


class Watch:
    """A caller that stays."""

    def gone(self):
        return False

    def fileno(self):
        return None


class AnswerBody:
    """An answer's body, cut in the middle if told so."""

    def __init__(self, data, *, cut):
        self._data = data
        self._cut = cut

    def chunks(self):
        yield self._data[:3]
        if self._cut:
            raise BodyCutError("cut")
        yield self._data[3:]

    def close(self, *, complete):
        pass


class Link:
    """One box's way to the platform: the shared store, faults, and its own cut."""

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self._inner = FakePlatform(world.store)

    def __getattr__(self, name):
        inner = getattr(self._inner, name)

        def ask(*args, **kwargs):
            self._world.reach(self._step(name, args), box=self._name)
            if self._name in self._world.cut_from_table:
                raise PlatformUnavailableError("cut")
            if self._world.table_slow:
                inner(*args, **kwargs)
                self._world.clock.advance(1.0)
                raise PlatformUnavailableError("took too long")
            return inner(*args, **kwargs)

        return ask

    @staticmethod
    def _step(name, args):
        if name != "transact":
            return "read"
        return "renew" if args[0].puts[0].key.startswith("probe-seat/") else "edit"


class Front:
    """The caller port of a box, as far as a drain needs it."""

    closing = False


class World:
    """Boxes, targets, callers, operators and their platform."""

    def __init__(self, seed=1):
        self.clock = FakeClock()
        self.store = Store()
        self.rng = random.Random(seed)
        self.hooks = defaultdict(list)
        self.boxes = {}
        self.fronts = {}
        self.links = {}
        self.paused = set()
        self.busy = set()
        self.cut_from_peers = set()
        self.not_receiving = set()
        self.second_partition = set()
        self.cut_from_table = set()
        self.table_slow = False
        self.incarnations = Counter()
        self.targets = {f"10.0.0.{n}:80": Target(f"10.0.0.{n}:80") for n in range(4)}
        self.requests = []
        self.accepted = []
        self.versions = defaultdict(list)
        self.violations = []
        self.began = self.clock()
        self.kept_answers = []

    # Faults and hooks

    def add_hook(self, step, action, *, times=1):
        """Have ``action(world, box, target)`` done the next ``times`` times at a step."""
        self.hooks[step] += [action] * times

    def reach(self, step, *, box=None, target=None):
        """Note that a step is reached; do what is placed there."""
        if self.hooks[step] and box not in self.paused:
            action = self.hooks[step].pop(0)
            # Its own thread is in the middle of this call, perhaps with locks held.
            others_only = box not in self.busy
            self.busy.add(box)
            try:
                action(self, box, target)
            finally:
                if others_only:
                    self.busy.discard(box)
            if box is not None and box in self.incarnations and box not in self.boxes:
                raise BoxKilledError

    def kill(self, box):
        self.boxes.pop(box, None)

    def pause(self, box, seconds):
        """Stop one box in the middle of what it does, while the others go on."""
        self.paused.add(box)
        end = self.clock() + seconds
        while self.clock() < end:
            self.tick(min(5.0, end - self.clock()))
        self.paused.discard(box)

    # Boxes

    def start_box(self, name, place):
        self.incarnations[name] += 1
        row = box_row(
            name, place=place, incarnation=self.incarnations[name], tick=self.clock(), address=name
        )
        self.fronts[name] = Front()
        core = BoxCore(
            row,
            platform=Link(self, name),
            transport=Transport(self, name),
            probe=lambda target: self.probe(name, target),
            observer=Observer(),
            front=self.fronts[name],
            clock=self.clock,
            rng=self.rng,
            timing=Timing(lease_s=LEASE_S, forget_s=20.0),
            on_settings=lambda: self.note_version(name, core),
        )
        self._hook(core, name)
        self.boxes[name] = core
        self.links = {pair: state for pair, state in self.links.items() if name not in pair}
        try:
            self.reach("start", box=name)
            self._quiet(core.poll_store)
            core.maintain()
            core.renew_probe_lease()
        except BoxKilledError:
            self.kill(name)

    def _hook(self, core, name):
        enter, pool = core.gate.enter, core.directory.pool

        def accept():
            self.reach("accept", box=name)
            return enter()

        def hooked_pool(service):
            found = pool(service)
            if found is not None and "enter" not in vars(found):
                admit, choose = found.enter, found._chooser.choose

                def hooked_enter(ticket):
                    self.reach("admit", box=name)
                    return admit(ticket)

                def hooked_choose(*args, **kwargs):
                    self.reach("choose", box=name)
                    return choose(*args, **kwargs)

                found.enter, found._chooser.choose = hooked_enter, hooked_choose
            return found

        core.gate.enter, core.directory.pool = accept, hooked_pool

    def note_version(self, name, core):
        self.versions[name, core.membership.own.incarnation].append(core.holder.version)

    def _quiet(self, act):
        try:
            return act()
        except PlatformUnavailableError:
            return None

    def active(self):
        return {n: c for n, c in self.boxes.items() if n not in self.paused | self.busy}

    def tick(self, seconds=1.0):
        """Let time pass, and each box do what its threads do."""
        self.clock.advance(seconds)
        for name in list(self.active()):
            core = self.boxes.get(name)
            if core is not None:
                self._live(name, core)
        self.sync()

    def _live(self, name, core):
        try:
            self._quiet(core.poll_store)
            core.maintain()
            core.apply_run_state()
            core.drain.advance()
            core.renew_probe_lease()
            self.reach("probe", box=name)
            core.probe_unreported_targets()
        except BoxKilledError:
            self.kill(name)

    def sync(self):
        """Let each pair of boxes that hear each other take a turn."""
        for _ in range(2):
            for one in sorted(self.active()):
                for other in sorted(self.active()):
                    if one < other and self._linked(one, other):
                        self._turn(one, other)

    def _linked(self, one, other):
        halves = (one in self.second_partition) != (other in self.second_partition)
        return not {one, other} & self.cut_from_peers and not halves

    def _turn(self, one, other):
        if {one, other} & self.not_receiving:
            # A link on which an answer is missing is opened anew, with nothing remembered.
            self.links.pop((one, other), None)
        ours, theirs = self.links.setdefault((one, other), (LinkState(), LinkState()))
        left, right = self.boxes[one].membership, self.boxes[other].membership
        if other not in self.not_receiving:
            right.apply(left.next_sync(ours), theirs)
        if one not in self.not_receiving:
            left.apply(right.next_sync(theirs), ours)

    def list_boxes(self):
        self.store.set_boxes(tuple(ListedBox(name, name) for name in self.boxes))

    # Operators

    def edit(self, box, *changes, key=None, rounds=30):
        """Make an edit as an operator who asks again, with the same id, while it is open."""
        key = key or uuid.UUID(int=self.rng.getrandbits(128)).hex
        status = EditStatus.UNAVAILABLE
        for _ in range(rounds):
            core = self.boxes.get(box)
            if core is None:
                box = next(iter(self.active()), None)
                if box is None:
                    break
                continue
            edit = Edit(key, core.holder.version, "anna", changes)
            try:
                status = core.editor.edit(edit, timeout=0.0).status
            except BoxKilledError:
                self.kill(box)
                continue
            if status in (EditStatus.ACCEPTED, EditStatus.CONFLICT, EditStatus.INVALID):
                break
            self.tick()
        if status is EditStatus.ACCEPTED:
            self.note_accepted(box, key)
        return status

    def note_accepted(self, box, key):
        """An accepted edit must be in force on every box that takes work now."""
        version = self.boxes[box].holder.tree.find_edit(key).version
        self.accepted.append((key, version))
        for name, core in self.boxes.items():
            if core.gate.refusal() is None and core.holder.version < version:
                self.violations.append(f"edit {version} accepted, but {name} serves without it")

    # Targets

    def probe(self, name, address):
        target = self.targets[address]
        target.probes.append(self.clock())
        self._check_seat(name)
        if target.mode == "frozen":
            return None
        if target.leaving_since is not None:
            target.report_leaving(self.clock())
        return LoadReport(in_flight=0, leaving=target.leaving_since is not None, incarnation="1")

    def _check_seat(self, name):
        """A box that probes must be the one that the table names for its seat."""
        core = self.boxes[name]
        lease = core.probe_lease.lease
        row = self.store.rows[lease.key] if lease else None
        value = _codec.from_json(ProbeLeaseValue, row.value.encode()) if row else None
        own = (name, core.membership.own.incarnation)
        if value is None or (value.box, value.incarnation) != own:
            self.violations.append(f"{name} probed on the seat of {value}")

    # Callers

    def request_addresses(self):
        """Return an address answer from any box that gives one, or the one kept."""
        for name in list(self.active()):
            try:
                self.reach("ask", box=name)
                core = self.boxes.get(name)
                found = core.addresses("caller", "hall-a") if core else None
            except BoxKilledError:
                self.kill(name)
                continue
            if found is not None and found.addresses:
                self.kept_answers.append((self.clock() + found.keep_s, found))
                return found
        return None

    def call(self, kind, *, repeats=0):
        """Send one request the way callers do, asking again while its end is unknown."""
        request = Request(f"m{len(self.requests)}", kind)
        self.requests.append(request)
        found = self.request_addresses()
        for entry in found.addresses if found else ():
            key = f"{entry.once_stem}{request.request_id}" if kind == "loan" else None
            self.send(request, entry.box, key)
            for _ in range(repeats):
                if request.outcomes[-1] is Outcome.UNKNOWN:
                    self.send(request, entry.box, key)
                    # Another box asked with the same key must not run it either.
                    self.send(request, found.addresses[-1].box, key)
            if request.outcomes[-1] is not Outcome.NOT_RUN:
                break
        return request

    def send(self, request, box, key):
        """Send a request to one box and note what the caller learns."""
        core = self.boxes.get(box)
        if core is None or box in self.paused:
            request.outcomes.append(Outcome.NOT_RUN)
            return
        call = Call(
            call_id=request.request_id,
            service="holdings",
            kind=request.kind,
            method="POST",
            path="/",
            headers=(),
            arrived=self.clock(),
            deadline=self.clock() + 2.0,
            idempotency_key=key,
            length=4,
        )
        reply = Reply()
        try:
            result = core.route(call, Body(), reply, Watch())
        except BoxKilledError:
            self.kill(box)
            request.outcomes.append(Outcome.UNKNOWN)
            return
        outcome = result.outcome
        if result.begun:
            outcome = Outcome.ANSWERED if reply.whole else Outcome.UNKNOWN
            if reply.whole:
                request.bodies.append(b"".join(reply.parts))
        request.outcomes.append(outcome)
        runs = sum(target.runs[request.request_id] for target in self.targets.values())
        if outcome is Outcome.NOT_RUN and key is not None and runs:
            # Its caller would send the loan anew, with another key.
            self.violations.append(
                f"{box} said not run of {request.request_id}, which ran: {result}"
            )

    # Healing

    def heal(self):
        """End all faults and let the boxes find each other again."""
        self.hooks.clear()
        faults = replace(self.store.faults, down=False, stale=False, lose_answers=0)
        self.store.set_faults(replace(faults, list_frozen=False))
        self.table_slow = False
        self.cut_from_peers.clear()
        self.not_receiving.clear()
        self.second_partition.clear()
        self.cut_from_table.clear()
        for target in self.targets.values():
            target.unfreeze()
            if target.mode != "draining":
                target.mode = "healthy"
        for number, place in enumerate(PLACES):
            if not any(core.place == place for core in self.boxes.values()):
                self.start_box(f"box-{number}", place)
        self.list_boxes()
        for _ in range(30):
            self.tick()


class Observer:
    """Counts nothing."""

    def attempt_ended(self, result, *, why, retry):
        pass

    def call_ended(self, call, result, *, waited, at_targets):
        pass


class Transport:
    """The way from one box to the targets, with the steps of an attempt."""

    def __init__(self, world, box):
        self._world = world
        self._box = box

    def attempt(self, call, address, body, watch, *, fresh):
        world, target = self._world, self._world.targets[address]
        world.reach("connect", box=self._box, target=target)
        if target.mode == "gone":
            return NotSent(Reason.CONNECT_FAILED, "refused")
        data = b"".join(body.chunks())
        world.reach("send", box=self._box, target=target)
        if target.mode == "drop-before":
            return Broken(Reason.TARGET_BROKEN, "closed before it ran")
        if target.leaving_since is not None:
            known_s = world.clock() - target.report_leaving(world.clock())
            if (
                known_s > LEAVING_S
                and self._box
                not in world.cut_from_peers | world.not_receiving | world.second_partition
            ):
                target.senders_while_leaving.append(self._box)
            return Refused("draining", LoadReport(0, leaving=True, incarnation="1"))
        if target.mode == "refuse":
            return Refused("shed", LoadReport(6, incarnation="1"))
        if target.mode == "frozen":
            target.held_requests.append(call.call_id)
            world.clock.advance(2.5)
            return Broken(Reason.DEADLINE_EXPIRED, "no answer")
        return self._ran(call, target, data)

    def _ran(self, call, target, data):
        """Run the request and bring its answer back, as far as it comes."""
        world = self._world
        target.runs[call.call_id] += 1
        world.reach("await", box=self._box, target=target)
        if target.mode == "slow":
            world.clock.advance(0.5)
        if target.mode == "late":
            world.clock.advance(2.5)
        if world.clock() > call.deadline:
            return Broken(Reason.DEADLINE_EXPIRED, "too late")
        if target.mode == "drop-after":
            return Broken(Reason.TARGET_BROKEN, "closed after it ran")
        world.reach("answer", box=self._box, target=target)
        status = 500 if target.mode == "fail" else 200
        answer = b"answer to " + call.call_id.encode() + data
        head = AnswerHead(status, "", (), len(answer))
        report = LoadReport(0, incarnation="1")
        return Answered(head, AnswerBody(answer, cut=target.mode == "cut"), report)


def first_changes(targets):
    """Return the changes that make the tree of the world."""
    half = len(targets) // 2
    return [
        Change("/", "boxes_max", str(BOXES_MAX)),
        Change("/", "probe_rate", str(PROBE_RATE)),
        Change("/", "keep_s", str(KEEP_S)),
        Change("/", "cut_off_s", str(CUT_OFF_S)),
        Change("hall-a/holdings", "targets", ", ".join(targets[:half])),
        Change("hall-b/holdings", "targets", ", ".join(targets[half:])),
        Change("*/holdings/lookup", "repeatable", "yes"),
        Change("*/holdings/loan", "repeatable", "no"),
    ]


def draining(name):
    return Change(f"box:{name}", "state", RunState.DRAINING)
