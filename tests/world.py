"""A simulated system of boxes in one process, with faults injected at chosen steps.

The boxes run the real code; clock, platform, targets, callers and network are simulated.
A step calls its hooks in the middle of the box's own call, so that a box can be killed,
paused or cut off at exactly that point.
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
#: Fewer probe leases than boxes, so that another box acquires a lease that expires.
BOXES_MAX = 2
PROBE_RATE = 0.4
LEASE_S = 60.0
KEEP_S = 5.0
CUT_OFF_S = 10.0
#: Time after a target first reports that it is leaving until no box may send to it.
LEAVING_GRACE_S = 5.0


class BoxKilledError(BaseException):
    """Unwinds the call in the middle of which a box was killed."""


@dataclass
class Target:
    """A simulated target that counts how often it ran each request."""

    address: str
    runs: Counter = field(default_factory=Counter)
    probes: list[float] = field(default_factory=list)
    leaving_since: float | None = None
    leaving_reported_at: float | None = None
    senders_while_leaving: list[float] = field(default_factory=list)
    mode: str = "healthy"
    held_requests: list[str] = field(default_factory=list)

    def report_leaving(self, now):
        """Report to a box that the target is leaving; return when it first did so to any box."""
        if self.leaving_reported_at is None:
            self.leaving_reported_at = now
        return self.leaving_reported_at

    def unfreeze(self):
        """Run the requests held while frozen, as none of them was cancelled."""
        for request_id in self.held_requests:
            self.runs[request_id] += 1
        self.held_requests = []


@dataclass
class Request:
    """A request, its outcomes as its caller saw them, and the answer bodies received."""

    request_id: str
    kind: str
    key_part: str = ""
    outcomes: list[Outcome] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)


class Reply:
    """Collects the answer that a box sends to the caller."""

    def __init__(self):
        self.parts = []
        self.complete = False

    def begin(self, head, *, target):
        pass

    def send(self, chunk):
        self.parts.append(chunk)

    def finish(self):
        self.complete = True


class Body:
    """A small request body that can be sent again."""

    replayable = True

    def chunks(self):
        yield b"body"


class ConnectedCaller:
    """A caller that never disconnects."""

    def gone(self):
        return False

    def fileno(self):
        return None


class AnswerBody:
    """The body of an answer, optionally cut off after three bytes."""

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


class BoxPlatform:
    """The shared platform as one box reaches it, with faults injected."""

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self._inner = FakePlatform(world.store)

    def __getattr__(self, name):
        inner = getattr(self._inner, name)

        def invoke(*args, **kwargs):
            self._world.reach(self._step(name, args), box=self._name)
            if self._name in self._world.cut_from_table:
                raise PlatformUnavailableError("box is cut off from the table")
            if self._world.table_slow:
                inner(*args, **kwargs)
                self._world.clock.advance(1.0)
                raise PlatformUnavailableError("table answered too late")
            return inner(*args, **kwargs)

        return invoke

    @staticmethod
    def _step(name, args):
        if name != "transact":
            return "read"
        return "renew" if args[0].puts[0].key.startswith("probe-seat/") else "edit"


class Front:
    """The caller port of a box, reduced to what a drain sets."""

    closing = False


class World:
    """Simulated boxes, targets, callers, operators and platform on a clock moved by hand.

    Attributes
    ----------
    hooks : dict
        For each step, the actions to run the next times that it is reached.
    paused, busy : set of str
        Boxes that are suspended, and boxes in the middle of a hook; neither runs its tasks.
    cut_from_peers : set of str
        Boxes that exchange nothing with other boxes.
    not_receiving : set of str
        Boxes that other boxes receive from, but that receive nothing from them.
    second_partition : set of str
        Boxes that reach each other, but no box outside this set.
    cut_from_table : set of str
        Boxes that can't reach the platform.
    versions : dict
        Versions of the settings that each incarnation of a box applied, in order.
    violations : list of str
        What contradicted a guarantee while the system ran.
    address_answers : list of tuple
        For each address answer given to a caller, the time until which it is valid, then
        the answer itself.
    """

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
        self.accepted_edits = []
        self.versions = defaultdict(list)
        self.violations = []
        self.started_at = self.clock()
        self.address_answers = []

    # Faults and hooks

    def add_hook(self, step, action, *, times=1):
        """Run ``action(world, box, target)`` the next ``times`` times that a step is reached."""
        self.hooks[step] += [action] * times

    def reach(self, step, *, box=None, target=None):
        """Run the next hook of a step.

        Raises
        ------
        BoxKilledError
            If the box is no longer running after the hook.
        """
        if self.hooks[step] and box not in self.paused:
            action = self.hooks[step].pop(0)
            # The box is in the middle of this call, possibly with locks held, so that nothing
            # else may run on it until the hook returns.
            newly_busy = box not in self.busy
            self.busy.add(box)
            try:
                action(self, box, target)
            finally:
                if newly_busy:
                    self.busy.discard(box)
            if box is not None and box in self.incarnations and box not in self.boxes:
                raise BoxKilledError

    def kill(self, box):
        self.boxes.pop(box, None)

    def pause(self, box, seconds):
        """Suspend a box in the middle of its current call while the others run on."""
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
            platform=BoxPlatform(self, name),
            transport=Transport(self, name),
            probe=lambda target: self.probe(name, target),
            observer=Observer(),
            front=self.fronts[name],
            clock=self.clock,
            rng=self.rng,
            timing=Timing(lease_s=LEASE_S, forget_s=20.0),
            on_settings=lambda: self.record_version(name, core),
        )
        self._install_hooks(core, name)
        self.boxes[name] = core
        self.links = {pair: state for pair, state in self.links.items() if name not in pair}
        try:
            self.reach("start", box=name)
            self._ignore_unavailable(core.poll_store)
            core.maintain()
            core.renew_probe_lease()
        except BoxKilledError:
            self.kill(name)

    def _install_hooks(self, core, name):
        enter, pool = core.gate.enter, core.directory.pool

        def accept():
            self.reach("accept", box=name)
            return enter()

        def hooked_pool(service):
            service_pool = pool(service)
            if service_pool is not None and "enter" not in vars(service_pool):
                admit, choose = service_pool.enter, service_pool._chooser.choose

                def hooked_enter(ticket):
                    self.reach("admit", box=name)
                    return admit(ticket)

                def hooked_choose(*args, **kwargs):
                    self.reach("choose", box=name)
                    return choose(*args, **kwargs)

                service_pool.enter, service_pool._chooser.choose = hooked_enter, hooked_choose
            return service_pool

        core.gate.enter, core.directory.pool = accept, hooked_pool

    def record_version(self, name, core):
        self.versions[name, core.membership.own.incarnation].append(core.holder.version)

    def _ignore_unavailable(self, act):
        try:
            return act()
        except PlatformUnavailableError:
            return None

    def active(self):
        return {n: c for n, c in self.boxes.items() if n not in self.paused | self.busy}

    def tick(self, seconds=1.0):
        """Advance the clock; run the periodic tasks of each active box, then sync the boxes."""
        self.clock.advance(seconds)
        for name in list(self.active()):
            core = self.boxes.get(name)
            if core is not None:
                self._run_box(name, core)
        self.sync()

    def _run_box(self, name, core):
        try:
            self._ignore_unavailable(core.poll_store)
            core.maintain()
            core.apply_run_state()
            core.drain.advance()
            core.renew_probe_lease()
            self.reach("probe", box=name)
            core.probe_unreported_targets()
        except BoxKilledError:
            self.kill(name)

    def sync(self):
        """Run two sync rounds between each pair of connected boxes."""
        for _ in range(2):
            for first in sorted(self.active()):
                for second in sorted(self.active()):
                    if first < second and self._linked(first, second):
                        self._sync_pair(first, second)

    def _linked(self, first, second):
        separated = (first in self.second_partition) != (second in self.second_partition)
        return not {first, second} & self.cut_from_peers and not separated

    def _sync_pair(self, first, second):
        if {first, second} & self.not_receiving:
            # A box that gets no answer reconnects with an empty link state.
            self.links.pop((first, second), None)
        first_state, second_state = self.links.setdefault(
            (first, second), (LinkState(), LinkState())
        )
        first_membership, second_membership = (
            self.boxes[first].membership,
            self.boxes[second].membership,
        )
        if second not in self.not_receiving:
            second_membership.apply(first_membership.next_sync(first_state), second_state)
        if first not in self.not_receiving:
            first_membership.apply(second_membership.next_sync(second_state), first_state)

    def list_boxes(self):
        self.store.set_boxes(tuple(ListedBox(name, name) for name in self.boxes))

    # Operators

    def edit(self, box, *changes, key=None, rounds=30):
        """Submit an edit as an operator who retries with the same id until it is decided."""
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
            self.record_accepted(box, key)
        return status

    def record_accepted(self, box, key):
        """Record an accepted edit; a box that accepts work without it is a violation."""
        version = self.boxes[box].holder.tree.find_edit(key).version
        self.accepted_edits.append((key, version))
        for name, core in self.boxes.items():
            if core.gate.refusal() is None and core.holder.version < version:
                self.violations.append(
                    f"edit {version} was accepted, but {name} accepts work without it"
                )

    # Targets

    def probe(self, name, address):
        target = self.targets[address]
        target.probes.append(self.clock())
        self._check_lease(name)
        if target.mode == "frozen":
            return None
        if target.leaving_since is not None:
            target.report_leaving(self.clock())
        return LoadReport(in_flight=0, leaving=target.leaving_since is not None, incarnation="1")

    def _check_lease(self, name):
        """Record a violation if the table names another holder of the box's probe lease."""
        core = self.boxes[name]
        lease = core.probe_lease.lease
        row = self.store.rows[lease.key] if lease else None
        value = _codec.from_json(ProbeLeaseValue, row.value.encode()) if row else None
        prober = (name, core.membership.own.incarnation)
        if value is None or (value.box, value.incarnation) != prober:
            self.violations.append(f"{name} probed with the probe lease of {value}")

    # Callers

    def request_addresses(self):
        """Return the first address answer that a box gives, or None if none gives one."""
        for name in list(self.active()):
            try:
                self.reach("ask", box=name)
                core = self.boxes.get(name)
                listing = core.addresses("caller", "hall-a") if core else None
            except BoxKilledError:
                self.kill(name)
                continue
            if listing is not None and listing.addresses:
                self.address_answers.append((self.clock() + listing.keep_s, listing))
                return listing
        return None

    def call(self, kind, *, retries=0):
        """Send one request to the listed boxes in turn, with retries of an unknown outcome."""
        request = Request(f"m{len(self.requests)}", kind)
        self.requests.append(request)
        listing = self.request_addresses()
        for entry in listing.addresses if listing else ():
            key = f"{entry.once_stem}{request.request_id}" if kind == "loan" else None
            self.send(request, entry.box, key)
            for _ in range(retries):
                if request.outcomes[-1] is Outcome.UNKNOWN:
                    self.send(request, entry.box, key)
                    # Another box that gets the same key must not run the request either.
                    self.send(request, listing.addresses[-1].box, key)
            if request.outcomes[-1] is not Outcome.NOT_RUN:
                break
        return request

    def send(self, request, box, key):
        """Send a request to a box; record the outcome and the answer that the caller sees."""
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
            result = core.route(call, Body(), reply, ConnectedCaller())
        except BoxKilledError:
            self.kill(box)
            request.outcomes.append(Outcome.UNKNOWN)
            return
        outcome = result.outcome
        if result.begun:
            outcome = Outcome.ANSWERED if reply.complete else Outcome.UNKNOWN
            if reply.complete:
                request.bodies.append(b"".join(reply.parts))
        request.outcomes.append(outcome)
        runs = sum(target.runs[request.request_id] for target in self.targets.values())
        if outcome is Outcome.NOT_RUN and key is not None and runs:
            # The caller would send the loan again with a new key, and it would run twice.
            self.violations.append(
                f"{box} reported {request.request_id} as not run, but it ran: {result}"
            )

    # Healing

    def heal(self):
        """Clear all faults, start a box where a place has none, and wait for recovery."""
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
    """An observer that ignores all events."""

    def attempt_ended(self, result, *, why, retry):
        pass

    def call_ended(self, call, result, *, waited, at_targets):
        pass


class Transport:
    """The transport from one box to the simulated targets."""

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
            return Broken(
                Reason.TARGET_BROKEN, "target closed the connection before it ran the request"
            )
        if target.leaving_since is not None:
            reported_for_s = world.clock() - target.report_leaving(world.clock())
            if (
                reported_for_s > LEAVING_GRACE_S
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
            return Broken(Reason.DEADLINE_EXPIRED, "no answer before the deadline")
        return self._run_request(call, target, data)

    def _run_request(self, call, target, data):
        """Run a request at a target and return what the box receives."""
        world = self._world
        target.runs[call.call_id] += 1
        world.reach("await", box=self._box, target=target)
        if target.mode == "slow":
            world.clock.advance(0.5)
        if target.mode == "late":
            world.clock.advance(2.5)
        if world.clock() > call.deadline:
            return Broken(Reason.DEADLINE_EXPIRED, "answer after the deadline")
        if target.mode == "drop-after":
            return Broken(
                Reason.TARGET_BROKEN, "target closed the connection after it ran the request"
            )
        world.reach("answer", box=self._box, target=target)
        status = 500 if target.mode == "fail" else 200
        answer = b"answer to " + call.call_id.encode() + data
        head = AnswerHead(status, "", (), len(answer))
        report = LoadReport(0, incarnation="1")
        return Answered(head, AnswerBody(answer, cut=target.mode == "cut"), report)


def first_changes(targets):
    """Return the changes that create the initial settings."""
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
