import random

import pytest

from dunlinnotch.coordination.budgets.probes import ProbeBudget
from dunlinnotch.coordination.budgets.retries import RetryBudget
from dunlinnotch.coordination.choosing.limits import Ticket, TicketState, WaitQueue
from dunlinnotch.coordination.choosing.pool import ServicePool
from dunlinnotch.protocol.attempt import LoadReport
from dunlinnotch.state.schema import Settings
from dunlinnotch.state.targets import TargetRecord
from tests import FakeClock


def ticket(kind="a", *, rank=5, share=1.0, give_up=2000.0):
    return Ticket(kind, rank, share, give_up, True, lambda: None)


def let_go(queue, count):
    """Let ``count`` calls go and return their kinds."""
    kinds = []
    for number in range(count):
        head = queue.peek()
        queue.grant(head, None, float(number))
        kinds.append(head.kind)
    return kinds


def test_first_rank_goes_first_and_later_ranks_get_every_eighth_turn():
    queue = WaitQueue()
    for _ in range(40):
        queue.push(ticket("late", rank=7))
        queue.push(ticket("first", rank=0))
    kinds = let_go(queue, 16)
    assert kinds.count("late") == 2
    assert kinds[:7] == ["first"] * 7


def test_kinds_of_one_rank_share_by_weight():
    queue = WaitQueue()
    for _ in range(100):
        queue.push(ticket("heavy", share=3.0))
        queue.push(ticket("light", share=1.0))
    assert let_go(queue, 80).count("heavy") == 60


def test_kind_that_was_away_gets_no_turns_for_the_past():
    queue = WaitQueue()
    for _ in range(100):
        queue.push(ticket("here"))
    let_go(queue, 50)
    for _ in range(50):
        queue.push(ticket("back"))
    assert let_go(queue, 20).count("back") in (9, 10, 11)


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def pool(clock):
    pool = ServicePool("rolls", clock=clock, rng=random.Random(1))
    pool.configure(
        [TargetRecord(f"10.0.0.{n}:80", "hall-a", 3, sharers=6.0) for n in range(2)],
        shares={"hall-a": 1.0},
        settings=Settings(slots=3),
    )
    return pool


def fill(pool):
    """Enter calls until one waits; return the granted ones."""
    granted = []
    while True:
        call = ticket(give_up=pool._clock() + 0.25)
        assert pool.enter(call) is None
        if call.state is TicketState.WAITING:
            return granted, call
        granted.append(call)


def test_call_waits_once_targets_are_full_and_goes_when_one_is_free(pool):
    granted, waiting = fill(pool)
    assert len(granted) == 8
    pool.finish(granted[0].grant, failed=False)
    assert waiting.state is TicketState.GRANTED


def test_load_of_others_fills_a_target(pool):
    first = ticket(give_up=2000.0)
    pool.enter(first)
    for target in pool.records():
        pool.heard(target, LoadReport(in_flight=4))
    second = ticket(give_up=2000.0)
    pool.enter(second)
    assert second.state is TicketState.WAITING


def test_a_target_that_rests_gets_no_call_and_no_probe(pool, clock):
    tired, other = pool.records()
    pool.heard(tired, LoadReport(in_flight=0, backoff=3.0))
    granted, waiting = fill(pool)
    assert {call.grant.choice.target.address for call in granted} == {other.address}
    assert pool.again(exclude=[other.address], kind="a", repeatable=True) is None
    assert not ProbeBudget().wanted(tired, clock())
    clock.advance(3.1)
    assert ProbeBudget().wanted(tired, clock())
    pool.pump()
    assert waiting.grant.choice.target is tired


def test_a_new_start_of_a_target_does_not_rest(pool, clock):
    tired, _ = pool.records()
    pool.heard(tired, LoadReport(incarnation="1", backoff=3.0))
    assert tired.wants_nothing(clock())
    pool.heard(tired, LoadReport(incarnation="2"))
    assert not tired.wants_nothing(clock())


def test_call_that_would_wait_too_long_is_refused_at_once_with_when_to_come_back(pool, clock):
    granted, _ = fill(pool)
    pool.enter(ticket(give_up=clock() + 100))
    for _ in range(3):
        clock.advance(0.2)
        pool.finish(granted.pop().grant, failed=False)
        pool.enter(ticket(give_up=clock() + 100))
    late = ticket(give_up=clock() + 0.05)
    come_back = pool.enter(late)
    assert come_back > 0.05
    assert late.state is TicketState.LEFT
    assert pool.waiting >= 1


def test_retries_are_a_share_of_first_attempts():
    budget = RetryBudget(0.1)
    while budget.take():
        pass
    for _ in range(100):
        budget.first_attempt()
    assert sum(budget.take() for _ in range(100)) in (9, 10)


def test_pool_retries_only_within_the_budget_and_never_the_same_target(pool):
    first = ticket()
    pool.enter(first)
    tried = [first.grant.choice.target.address]
    again = pool.again(exclude=tried, kind="a", repeatable=True)
    assert again.choice.target.address not in tried
    tried.append(again.choice.target.address)
    assert pool.again(exclude=tried, kind="a", repeatable=True) is None
