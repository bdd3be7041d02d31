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


def ticket(kind="a", *, rank=5, share=1.0, queue_deadline=2000.0):
    return Ticket(kind, rank, share, queue_deadline, True, lambda: None)


def grant_calls(queue, count):
    """Grant ``count`` calls and return their kinds."""
    kinds = []
    for grant_time in range(count):
        first = queue.peek()
        queue.grant(first, None, float(grant_time))
        kinds.append(first.kind)
    return kinds


def test_lowest_rank_goes_first_and_later_ranks_get_every_eighth_grant():
    queue = WaitQueue()
    for _ in range(40):
        queue.push(ticket("late", rank=7))
        queue.push(ticket("first", rank=0))
    kinds = grant_calls(queue, 16)
    assert kinds.count("late") == 2
    assert kinds[:7] == ["first"] * 7


def test_kinds_of_one_rank_are_served_by_weight():
    queue = WaitQueue()
    for _ in range(100):
        queue.push(ticket("heavy", share=3.0))
        queue.push(ticket("light", share=1.0))
    assert grant_calls(queue, 80).count("heavy") == 60


def test_idle_kind_earns_no_grants_for_the_past():
    queue = WaitQueue()
    for _ in range(100):
        queue.push(ticket("here"))
    grant_calls(queue, 50)
    for _ in range(50):
        queue.push(ticket("back"))
    assert grant_calls(queue, 20).count("back") in (9, 10, 11)


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


def enter_until_one_waits(pool):
    """Enter calls until one waits; return the granted calls and the waiting one."""
    granted = []
    while True:
        call = ticket(queue_deadline=pool._clock() + 0.25)
        assert pool.enter(call) is None
        if call.state is TicketState.WAITING:
            return granted, call
        granted.append(call)


def test_call_waits_while_targets_are_saturated_and_is_granted_when_one_is_free(pool):
    granted, waiting = enter_until_one_waits(pool)
    assert len(granted) == 8
    pool.finish(granted[0].grant, failed=False)
    assert waiting.state is TicketState.GRANTED


def test_load_of_other_boxes_saturates_a_target(pool):
    first = ticket(queue_deadline=2000.0)
    pool.enter(first)
    for target in pool.records():
        pool.record_report(target, LoadReport(in_flight=4))
    second = ticket(queue_deadline=2000.0)
    pool.enter(second)
    assert second.state is TicketState.WAITING


def test_target_in_backoff_gets_no_call_and_no_probe(pool, clock):
    backing_off, other = pool.records()
    pool.record_report(backing_off, LoadReport(in_flight=0, backoff=3.0))
    granted, waiting = enter_until_one_waits(pool)
    assert {call.grant.choice.target.address for call in granted} == {other.address}
    assert pool.choose_retry(exclude=[other.address], kind="a", idempotent=True) is None
    assert not ProbeBudget().needs_probe(backing_off, clock())
    clock.advance(3.1)
    assert ProbeBudget().needs_probe(backing_off, clock())
    pool.pump()
    assert waiting.grant.choice.target is backing_off


def test_restart_of_a_target_ends_its_backoff(pool, clock):
    backing_off, _ = pool.records()
    pool.record_report(backing_off, LoadReport(incarnation="1", backoff=3.0))
    assert backing_off.refuses_work(clock())
    pool.record_report(backing_off, LoadReport(incarnation="2"))
    assert not backing_off.refuses_work(clock())


def test_call_that_would_wait_too_long_is_refused_at_once_with_a_retry_delay(pool, clock):
    granted, _ = enter_until_one_waits(pool)
    pool.enter(ticket(queue_deadline=clock() + 100))
    for _ in range(3):
        clock.advance(0.2)
        pool.finish(granted.pop().grant, failed=False)
        pool.enter(ticket(queue_deadline=clock() + 100))
    late = ticket(queue_deadline=clock() + 0.05)
    retry_delay = pool.enter(late)
    assert retry_delay > 0.05
    assert late.state is TicketState.CANCELLED
    assert pool.waiting >= 1


def test_retries_are_a_share_of_first_attempts():
    budget = RetryBudget(0.1)
    while budget.try_spend():
        pass
    for _ in range(100):
        budget.record_first_attempt()
    assert sum(budget.try_spend() for _ in range(100)) in (9, 10)


def test_pool_retries_within_the_budget_and_never_at_the_same_target(pool):
    for _ in range(30):  # earns three retries
        call = ticket()
        pool.enter(call)
        pool.finish(call.grant, failed=False)
    first = ticket()
    pool.enter(first)
    tried = [first.grant.choice.target.address]
    retry = pool.choose_retry(exclude=tried, kind="a", idempotent=True)
    assert retry.choice.target.address not in tried
    tried.append(retry.choice.target.address)
    assert pool.choose_retry(exclude=tried, kind="a", idempotent=True) is None
