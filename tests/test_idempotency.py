"""No request with an idempotency key runs twice, whatever fails meanwhile."""

import threading

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from dunlinnotch.protocol.outcome import Outcome
from dunlinnotch.state.heads import AnswerHead
from dunlinnotch.state.ledger import ClaimStatus, IdempotencyLedger, KeyState, StoredAnswer
from tests import FakeClock
from tests.matrix import setup
from tests.world import Request, World

MODES = (
    "healthy",
    "refuse",
    "gone",
    "drop-before",
    "drop-after",
    "cut",
    "late",
    "frozen",
    "fail",
)


class Callers(RuleBasedStateMachine):
    """Callers send and retry loans through any box, while boxes and targets fail."""

    requests = Bundle("requests")

    def __init__(self):
        super().__init__()
        self.world = World()
        setup(self.world)
        self.keys = {}

    @rule(target=requests)
    def new_loan(self):
        request = Request(f"m{len(self.world.requests)}", "loan")
        self.world.requests.append(request)
        listing = self.world.request_addresses()
        entry = listing.addresses[0] if listing else None
        self.keys[request.request_id] = entry
        return request

    @rule(request=requests, box=st.sampled_from(["box-0", "box-1", "own"]))
    def send(self, request, box):
        entry = self.keys[request.request_id]
        if entry is not None:
            where = entry.box if box == "own" else box
            self.world.send(request, where, entry.once_stem + request.request_id)

    @rule(mode=st.sampled_from(MODES), which=st.integers(0, 3))
    def fault(self, mode, which):
        target = list(self.world.targets.values())[which]
        target.unfreeze()
        target.mode = mode

    @rule(name=st.sampled_from(["box-0", "box-1"]))
    def replace_box(self, name):
        place = "hall-a" if name == "box-0" else "hall-b"
        self.world.kill(name)
        self.world.start_box(name, place)

    @rule(
        name=st.sampled_from(["box-0", "box-1"]), step=st.sampled_from(["send", "await", "answer"])
    )
    def kill_during_request(self, name, step):
        def kill(world, box, _target):
            world.kill(box)

        if name in self.world.boxes:
            self.world.add_hook(step, kill)

    @rule(seconds=st.sampled_from([0.5, 5.0, 700.0]))
    def advance_time(self, seconds):
        for name, place in (("box-0", "hall-a"), ("box-1", "hall-b")):
            if name not in self.world.boxes:
                self.world.start_box(name, place)
        self.world.tick(seconds)

    @rule(name=st.sampled_from(["box-0", "box-1"]))
    def cut_off(self, name):
        self.world.cut_from_peers.add(name)
        self.world.cut_from_table.add(name)

    @rule()
    def join(self):
        self.world.cut_from_peers.clear()
        self.world.cut_from_table.clear()

    @invariant()
    def no_loan_runs_twice_or_runs_after_all_attempts_reported_not_run(self):
        for request in self.world.requests:
            runs = sum(t.runs[request.request_id] for t in self.world.targets.values())
            held = sum(request.request_id in t.held_requests for t in self.world.targets.values())
            assert runs + held <= 1
            if request.outcomes and set(request.outcomes) == {Outcome.NOT_RUN}:
                assert runs + held == 0
        assert self.world.violations == []


TestCallers = Callers.TestCase
TestCallers.settings = settings(max_examples=60, stateful_step_count=25, derandomize=True)


def test_a_retry_waits_for_the_answer_of_the_running_request():
    ledger = IdempotencyLedger(clock=FakeClock())
    first = ledger.claim("k", issued_at=990.0, window=60.0)
    retry = ledger.claim("k", issued_at=990.0, window=60.0)
    assert (first.status, retry.status) == (ClaimStatus.RUN, ClaimStatus.KNOWN)
    answer = StoredAnswer(AnswerHead(200, "", (), 2), b"ok")
    threading.Timer(0.05, ledger.record_answer, (first.entry, answer)).start()
    assert ledger.wait(retry.entry, 5.0) is KeyState.ANSWERED
    assert retry.entry.answer.body == b"ok"


def test_a_key_is_dropped_only_after_it_has_expired():
    clock = FakeClock()
    ledger = IdempotencyLedger(clock=clock)
    ledger.record_unknown(ledger.claim("k", issued_at=clock(), window=60.0).entry)
    clock.advance(59.0)
    assert ledger.claim("k", issued_at=1000.0, window=60.0).status is ClaimStatus.KNOWN
    clock.advance(2.0)
    assert ledger.claim("k", issued_at=1000.0, window=60.0).status is ClaimStatus.EXPIRED
    assert len(ledger) == 0


def test_a_full_ledger_refuses_new_keys_and_drops_none():
    clock = FakeClock()
    ledger = IdempotencyLedger(clock=clock, max_keys=2)
    for key in ("a", "b"):
        ledger.record_unknown(ledger.claim(key, issued_at=clock(), window=60.0).entry)
    assert ledger.claim("c", issued_at=clock(), window=60.0).status is ClaimStatus.FULL
    assert ledger.claim("a", issued_at=clock(), window=60.0).status is ClaimStatus.KNOWN


def test_a_key_issued_in_the_future_is_expired():
    clock = FakeClock()
    ledger = IdempotencyLedger(clock=clock)
    assert ledger.claim("k", issued_at=clock() + 1, window=60.0).status is ClaimStatus.EXPIRED
