"""Whom a selector asks, and what it takes when nobody is good."""

from __future__ import annotations

import asyncio
import logging
import random

import pytest

from dunlinnotch.coordination.budgets.shares import ProbeShare
from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
from dunlinnotch.coordination.choosing.latency_model import LatencyModel
from dunlinnotch.coordination.choosing.selector import TargetSelector
from dunlinnotch.protocol.relay import ProbeResult
from dunlinnotch.state.instances import InstanceList, ListedTarget
from dunlinnotch.state.target_status import TargetReport, TargetStatus


class Targets:
    """Targets that answer probes at once, each with its slowness and so many running."""

    def __init__(self, slowness, running=0):
        self.slowness = slowness
        self.running = running
        self.asked = []

    async def probe(self, address, path):
        name = address.partition(":")[0]
        self.asked.append(name)
        report = TargetReport(self.running, 0, 3, self.slowness.get(name, 1.0))
        return ProbeResult(name, True, TargetStatus(report))

    def release(self, address, probe_result):
        pass


def seek(names, *, probes_per_s, times, slowness=None, running=0, **limits):
    """Look for a target some times, without a pause; return picks and probes sent."""

    async def bounded():
        instances = InstanceList()
        for place, name in names:
            listed = ListedTarget(name, "s", place, f"{name}:1", 3, False, 1, 0.0)
            instances.apply(listed, 0.0)
        targets = Targets(slowness or {}, running)
        probes = ProbeShare(probes_per_s, clock=lambda: 100.0)
        rng = random.Random(1)
        selector = TargetSelector(
            instances=instances,
            chooser=FreshReportChooser(place="hall-a", latency_model=LatencyModel(), rng=rng),
            probes=probes,
            probe_path=lambda service: "/health",
            targets=targets,
            rng=random.Random(1),
            log=logging.getLogger("test"),
        )
        picks = []
        for _ in range(times):
            # What was heard before is as good as forgotten.
            for instance in instances.all():
                instance.reported_at = instance.probed_at = -1e9
            picks.append(await selector.choose("s", rank=0, tried=(), queue_deadline=0.0, **limits))
        return [pick and (pick.instance.name, pick.reason) for pick in picks], targets.asked

    return asyncio.run(bounded())


NEAR = [("hall-a", f"near-{n}") for n in range(4)]
FAR = [("hall-b", f"far-{n}") for n in range(4)]


def test_targets_of_the_own_place_are_asked_first():
    picks, asked = seek(NEAR + FAR, probes_per_s=1.2, times=1)
    assert [name.partition("-")[0] for name in asked] == ["near", "near"]
    assert picks[0][1] == "good"


def test_others_are_asked_where_the_probes_of_the_first_are_used_up():
    """ikenga-gate-grown scale-2: 142 boxes may send each target a probe in 2.8 s."""
    picks, asked = seek(NEAR + FAR, probes_per_s=1.2, times=4)
    assert sorted(asked) == sorted(name for _, name in NEAR + FAR)
    assert [why for _, why in picks] == ["good"] * 4


def test_no_target_is_asked_beyond_its_share():
    picks, asked = seek(NEAR + FAR, probes_per_s=1.2, times=9)
    assert len(asked) == len(set(asked)) == 8
    assert [why for _, why in picks[4:]] == ["unasked"] * 5


def test_slow_ones_are_passed_over_for_those_asked_next():
    slow = {name: 7.0 for _, name in NEAR}
    picks, asked = seek(NEAR[:2] + FAR, probes_per_s=60.0, times=1, slowness=slow)
    assert len(asked) == 4
    assert picks[0][0].startswith("far")


@pytest.mark.parametrize(
    ("running", "slowness", "max_ratio", "taken"),
    [
        (2, 1.0, 3.0, True),
        (2, 1.0, 1.5, False),
        (0, 7.0, 9.0, True),
        (0, 7.0, 6.0, False),
        (3, 1.0, 9.0, False),
    ],
)
def test_what_is_not_good_is_taken_only_where_a_slot_is_free_and_the_end_in_time(
    running, slowness, max_ratio, taken
):
    """ikenga-gate-grown scale-2: everybody waited at targets, so nobody was in time."""
    picks, _ = seek(
        NEAR[:1],
        probes_per_s=60.0,
        times=1,
        slowness={"near-0": slowness},
        running=running,
        max_ratio_late=max_ratio,
    )
    assert (picks[0] is not None) is taken


def test_a_service_found_full_gets_only_what_starts_fast(monkeypatch):
    """wusta-listings scale-2: full targets work 1.7 times longer and stayed full for good."""
    monkeypatch.setattr(LatencyModel, "exploration_share", lambda self, service, fill: 0.0)
    picks, _ = seek(NEAR, probes_per_s=6000.0, times=40, running=2, max_ratio=9.0)
    assert [why for _, why in picks[:2]] == ["best"] * 2
    assert picks[-10:] == [None] * 10


def test_a_nearly_full_target_is_tried_now_and_then_to_learn_what_that_costs(monkeypatch):
    """bbd-gateway: what nobody tried was taken to be slow for good."""
    monkeypatch.setattr(LatencyModel, "exploration_share", lambda self, service, fill: 0.5)
    enough = {
        "probes_per_s": 6000.0,
        "times": 20,
        "running": 2,
        "max_ratio": 0.0,
        "max_ratio_late": 0.0,
    }
    picks, _ = seek(NEAR, **enough)
    assert [why for _, why in filter(None, picks)].count("good") > 5
    slow = {name: 7.0 for _, name in NEAR}
    picks, _ = seek(NEAR, **enough, slowness=slow)
    assert not any(picks)


def test_a_slow_target_is_taken_late_only_where_none_has_been_good_for_a_while():
    async def act(selector, instances, targets, choose):
        found = choose()
        await turns()
        targets.answer("t-0")
        assert (await found).reason == "good"
        # It is slow now, but was good just before: come back rather than be late.
        assert await answered_slowly(instances, targets, choose) is None
        tries = [await answered_slowly(instances, targets, choose) for _ in range(60)]
        assert [pick.reason for pick in filter(None, tries)][-1:] == ["best"]

    queued([("hall-a", "t-0")], act)


async def answered_slowly(instances, targets, choose):
    """Return what is chosen for a request while the only target says that it is slow."""
    (instance,) = instances.for_service("s")
    # What was heard before is as good as forgotten.
    instance.reported_at = instance.probed_at = -1e9
    task = choose(wait=0.0)
    await turns()
    if targets.waiting:
        targets.answer("t-0", slowness=7.0)
    return await task


# -- the queue


class SlowTargets(Targets):
    """Targets whose probes are answered when the test says so."""

    def __init__(self):
        super().__init__({})
        self.waiting = {}
        self.released = []

    async def probe(self, address, path):
        name = address.partition(":")[0]
        self.asked.append(name)
        self.waiting[name] = asyncio.get_running_loop().create_future()
        return await self.waiting[name]

    def release(self, address, probe_result):
        self.released.append(address.partition(":")[0])

    def answer(self, name, *, running=0, slowness=1.0):
        report = TargetReport(running, 0, 3, slowness)
        self.waiting.pop(name).set_result(ProbeResult(name, True, TargetStatus(report)))


def queued(names, act, **kwargs):
    """Run ``act`` with a selector whose probes are answered by hand."""

    async def bounded():
        instances = InstanceList()
        for place, name in names:
            instances.apply(ListedTarget(name, "s", place, f"{name}:1", 3, False, 1, 0.0), 0.0)
        targets = SlowTargets()
        loop = asyncio.get_running_loop()
        selector = TargetSelector(
            instances=instances,
            chooser=FreshReportChooser(
                place="hall-a", latency_model=LatencyModel(), rng=random.Random(1)
            ),
            probes=ProbeShare(60.0, clock=loop.time),
            probe_path=lambda service: "/health",
            targets=targets,
            rng=random.Random(1),
            log=logging.getLogger("test"),
        )

        def choose(rank=0, tried=(), wait=20.0):
            give_up = loop.time() + wait
            work = selector.choose(
                "s", rank=rank, tried=tried, queue_deadline=give_up, max_ratio=1.0
            )
            return asyncio.ensure_future(work)

        await act(selector, instances, targets, choose)

    asyncio.run(bounded())


async def turns():
    """Let everything that is ready run."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_each_that_waits_has_two_probes_under_way_and_all_together_a_bounded_number():
    async def act(selector, instances, targets, choose):
        waiting = [choose()]
        await turns()
        assert len(targets.asked) == 2
        waiting += [choose() for _ in range(9)]
        await turns()
        assert len(targets.asked) == len(set(targets.asked)) == 8
        for task in waiting:
            task.cancel()

    queued([("hall-a", f"t-{n}") for n in range(20)], act)


def test_the_most_urgent_that_waits_gets_the_first_good_target():
    async def act(selector, instances, targets, choose):
        later, urgent = choose(rank=2), choose(rank=0)
        await turns()
        # It has room for one: a third of three slots would be slow.
        targets.answer("t-0", running=1)
        await turns()
        assert urgent.done()
        assert not later.done()
        targets.answer("t-1")
        assert (await later).instance.name == "t-1"

    queued([("hall-a", "t-0"), ("hall-a", "t-1")], act)


def test_an_answer_s_report_hands_its_target_to_one_that_waits():
    async def act(selector, instances, targets, choose):
        waiting = [choose() for _ in range(3)]
        await turns()
        (instance,) = instances.for_service("s")
        # One of three slots is taken; a third one would be slow.
        selector.record_status(instance, TargetStatus(TargetReport(1, 0, 3)))
        await turns()
        assert [task.done() for task in waiting] == [True, False, False]
        assert waiting[0].result().reason == "fresh"
        for task in waiting[1:]:
            task.cancel()

    queued([("hall-a", "t-0")], act)


def test_a_target_that_was_tried_is_not_handed_to_the_same_request():
    async def act(selector, instances, targets, choose):
        again, other = choose(tried=("t-0",)), choose()
        await turns()
        targets.answer("t-0")
        await turns()
        assert other.done()
        assert not again.done()
        targets.answer("t-1")
        assert (await again).instance.name == "t-1"

    queued([("hall-a", "t-0"), ("hall-a", "t-1")], act)


def test_a_request_that_is_given_up_leaves_the_queue_and_gives_back_its_target():
    async def act(selector, instances, targets, choose):
        first, second = choose(), choose()
        await turns()
        targets.answer("t-0")
        first.cancel()
        await turns()
        (instance,) = instances.for_service("s")
        assert first.cancelled()
        # Whoever comes next finds the target as free as before.
        assert second.done()
        assert instance.sent_since_report == 1

    queued([("hall-a", "t-0")], act)


def test_a_probe_that_hangs_does_not_hold_up_the_next():
    async def act(selector, instances, targets, choose):
        waiting = choose()
        await turns()
        assert len(targets.asked) == 2
        while len(targets.asked) < 4:  # nobody answers; others are asked all the same
            await asyncio.sleep(0.001)
        targets.answer(targets.asked[3])
        assert (await waiting).instance.name == targets.asked[3]

    queued([("hall-a", f"t-{n}") for n in range(6)], act)


# -- targets that rest

REST = TargetStatus(TargetReport(0, 0, 3), backoff=30.0)
SHORT_REST = TargetStatus(TargetReport(0, 0, 3), backoff=0.05)


def test_a_target_that_asks_for_rest_is_not_handed_to_those_that_wait():
    async def act(selector, instances, targets, choose):
        waiting = choose()
        await turns()
        selector.record_status(instances.find("t-0"), REST)
        await turns()
        assert not waiting.done()
        # A probe answered before does not speak for it any more.
        targets.answer("t-0")
        await turns()
        assert not waiting.done()
        targets.answer("t-1")
        assert (await waiting).instance.name == "t-1"

    queued([("hall-a", "t-0"), ("hall-a", "t-1")], act)


def test_nobody_waits_once_the_last_target_rests_for_longer():
    async def act(selector, instances, targets, choose):
        waiting = [choose(), choose(rank=2)]
        await turns()
        selector.record_status(instances.find("t-0"), REST)
        await turns()
        assert not any(task.done() for task in waiting)
        selector.record_status(instances.find("t-1"), REST)
        assert await asyncio.gather(*waiting) == [None, None]
        assert await choose() is None
        assert 29 < selector.backoff_left("s") <= 30

    queued([("hall-a", "t-0"), ("hall-a", "t-1")], act)


def test_a_rest_that_ends_in_time_is_waited_for():
    async def act(selector, instances, targets, choose):
        selector.record_status(instances.find("t-0"), SHORT_REST)
        waiting = choose()
        await turns()
        assert not targets.asked
        while not targets.asked:
            await asyncio.sleep(0.001)
        assert selector.backoff_left("s") == 0.0
        targets.answer("t-0")
        assert (await waiting).instance.name == "t-0"

    queued([("hall-a", "t-0")], act)


def test_a_probe_that_is_turned_away_asks_for_rest_too():
    async def act(selector, instances, targets, choose):
        waiting = choose()
        await turns()
        targets.waiting.pop("t-0").set_result(ProbeResult("t-0", healthy=False, status=REST))
        assert await waiting is None
        assert selector.backoff_left("s") > 29

    queued([("hall-a", "t-0")], act)
