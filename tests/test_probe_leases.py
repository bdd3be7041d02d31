from dataclasses import replace

import pytest

from dunlinnotch.coordination.budgets.probe_leases import ProbeLeaseHolder
from dunlinnotch.coordination.budgets.probes import ProbeBudget, probes_per_second
from dunlinnotch.standins.platform import PlatformFaults
from dunlinnotch.state.schema import Settings
from tests import FakeClock, FakePlatform


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def platform():
    return FakePlatform()


def holder(platform, clock, name, incarnation=1):
    return ProbeLeaseHolder(platform, box=name, incarnation=incarnation, clock=clock, lease_s=60.0)


def test_no_more_boxes_hold_leases_than_there_are(platform, clock):
    holders = [holder(platform, clock, f"box-{n}") for n in range(5)]
    assert sum(h.renew(3) for h in holders) == 3
    assert len({h.lease.key for h in holders if h.lease}) == 3


def test_paused_holder_finds_its_lease_expired(platform, clock):
    paused, other = holder(platform, clock, "a"), holder(platform, clock, "b")
    assert paused.renew(1)
    assert not other.renew(1)
    clock.advance(64.0)
    assert not paused.held(1)
    assert other.renew(1)
    assert other.lease.fence > paused.lease.fence
    assert not paused.renew(1)


def test_lease_is_taken_over_only_after_its_row_was_unchanged_for_its_length(platform, clock):
    first, other = holder(platform, clock, "a"), holder(platform, clock, "b")
    first.renew(1)
    clock.advance(61.0)
    assert not other.renew(1)
    clock.advance(62.0)
    first.renew(1)
    assert not other.renew(1)
    clock.advance(64.0)
    assert other.renew(1)


def test_restarted_box_does_not_own_its_earlier_lease(platform, clock):
    holder(platform, clock, "a", incarnation=1).renew(1)
    assert not holder(platform, clock, "a", incarnation=2).renew(1)


def test_unconfirmed_write_gives_no_lease_until_it_is_read_back(platform, clock):
    owner = holder(platform, clock, "a")
    platform.set_faults(PlatformFaults(lose_answers=1))
    assert not owner.renew(1)
    assert owner.renew(1)


def test_lease_stays_valid_during_a_store_outage_until_it_expires(platform, clock):
    owner = holder(platform, clock, "a")
    owner.renew(1)
    platform.set_faults(PlatformFaults(down=True))
    clock.advance(30.0)
    assert owner.renew(1)
    clock.advance(31.0)
    assert not owner.renew(1)


def test_renewal_reads_one_row(platform, clock):
    owner = holder(platform, clock, "a")
    owner.renew(3)
    before = platform.store.reads
    assert owner.renew(3)
    assert platform.store.reads - before == 1


def test_rate_is_the_lower_limit_divided_by_the_number_of_boxes():
    assert probes_per_second(Settings(probe_rate=2, boxes_max=10)) == 0.2
    tight = Settings(probe_rate=100, probe_share=0.01, slots=3, probe_cost_ms=6, boxes_max=10)
    assert probes_per_second(tight) == pytest.approx(0.5)


def test_probes_are_spaced_and_not_saved_up_during_a_pause():
    budget = ProbeBudget()
    settings = Settings(probe_rate=2, boxes_max=2)
    sent = 0
    for second in (0.0, 0.5, 1.0, 1.5, 100.0, 100.1, 100.2):
        if budget.try_spend("t", settings, second):
            sent += 1
            budget.record_end("t")
    assert sent == 2


def test_one_probe_in_flight_to_a_target():
    budget = ProbeBudget()
    settings = Settings(probe_rate=2, boxes_max=2)
    assert [budget.try_spend("t", settings, float(s)) for s in range(4)] == [
        False,
        True,
        False,
        False,
    ]


def test_lease_beyond_a_lowered_count_is_no_longer_held(platform, clock):
    holders = [holder(platform, clock, f"box-{n}") for n in range(3)]
    assert all(h.renew(3) for h in holders)
    assert sum(h.held(1) for h in holders) == 1
    assert sum(h.renew(1) for h in holders) == 1


def test_lease_with_an_unreadable_row_is_not_acquired(platform, clock):
    owner, other = holder(platform, clock, "a"), holder(platform, clock, "b")
    owner.renew(1)
    row = platform.store.rows[owner.lease.key]
    platform.store.rows[row.key] = replace(row, value="nonsense", version=row.version + 1)
    assert not other.renew(1)
    clock.advance(70.0)
    assert not owner.renew(1)
    assert not other.renew(1)
