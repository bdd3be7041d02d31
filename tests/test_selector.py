"""Which targets the selector probes, and what it selects when none is good."""

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
    """Targets that answer probes at once, with a latency ratio each and `running` requests."""

    def __init__(self, latency_ratios, running=0):
        self.latency_ratios = latency_ratios
        self.running = running
        self.probed = []

    async def probe(self, address, path):
        name = address.partition(":")[0]
        self.probed.append(name)
        report = TargetReport(self.running, 0, 3, self.latency_ratios.get(name, 1.0))
        return ProbeResult(name, True, TargetStatus(report))

    def release(self, address, probe_result):
        pass


def select_times(names, *, probes_per_s, times, latency_ratios=None, running=0, **limits):
    """Select a target `times` times in a row; return the selections and the probed targets."""

    async def main():
        instances = InstanceList()
        for place, name in names:
            listed = ListedTarget(name, "s", place, f"{name}:1", 3, False, 1, 0.0)
            instances.apply(listed, 0.0)
        targets = Targets(latency_ratios or {}, running)
        probes = ProbeShare(probes_per_s, clock=lambda: 100.0, rng=random.Random(1), started_at=0.0)
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
        selections = []
        for _ in range(times):
            # Outdate all earlier reports.
            for instance in instances.all():
                instance.reported_at = instance.probed_at = -1e9
            selections.append(
                await selector.choose("s", rank=0, tried=(), queue_deadline=0.0, **limits)
            )
        return [
            selection and (selection.instance.name, selection.reason) for selection in selections
        ], targets.probed

    return asyncio.run(main())


NEAR = [("hall-a", f"near-{n}") for n in range(4)]
FAR = [("hall-b", f"far-{n}") for n in range(4)]


def test_targets_of_the_same_place_are_probed_first():
    selections, probed = select_times(NEAR + FAR, probes_per_s=1.2, times=1)
    assert [name.partition("-")[0] for name in probed] == ["near", "near"]
    assert selections[0][1] == "good"


def test_other_targets_are_probed_once_the_budget_of_the_first_is_spent():
    """With many boxes, each box may probe a target only every few seconds."""
    selections, probed = select_times(NEAR + FAR, probes_per_s=1.2, times=4)
    assert sorted(probed) == sorted(name for _, name in NEAR + FAR)
    assert [reason for _, reason in selections] == ["good"] * 4


def test_no_target_is_probed_beyond_its_budget():
    selections, probed = select_times(NEAR + FAR, probes_per_s=1.2, times=9)
    assert len(probed) == len(set(probed)) == 8
    assert [reason for _, reason in selections[4:]] == ["unasked"] * 5


def test_slow_targets_are_skipped_for_those_probed_next():
    slow = {name: 7.0 for _, name in NEAR}
    selections, probed = select_times(
        NEAR[:2] + FAR, probes_per_s=60.0, times=1, latency_ratios=slow
    )
    assert len(probed) == 4
    assert selections[0][0].startswith("far")


@pytest.mark.parametrize(
    ("running", "latency_ratio", "max_ratio", "selected"),
    [
        (2, 1.0, 3.0, True),
        (2, 1.0, 1.5, False),
        (0, 7.0, 9.0, True),
        (0, 7.0, 6.0, False),
        (3, 1.0, 9.0, False),
    ],
)
def test_target_that_is_not_good_needs_a_free_slot_and_an_end_in_time(
    running, latency_ratio, max_ratio, selected
):
    """Requests queued at targets would delay each other until all are late."""
    selections, _ = select_times(
        NEAR[:1],
        probes_per_s=60.0,
        times=1,
        latency_ratios={"near-0": latency_ratio},
        running=running,
        max_ratio_late=max_ratio,
    )
    assert (selections[0] is not None) is selected


def test_saturated_service_gets_only_requests_for_good_targets(monkeypatch):
    """Saturated targets work more slowly, so full load would keep them saturated."""
    monkeypatch.setattr(LatencyModel, "exploration_share", lambda self, service, utilisation: 0.0)
    selections, _ = select_times(NEAR, probes_per_s=6000.0, times=40, running=2, max_ratio=9.0)
    assert [reason for _, reason in selections[:2]] == ["best"] * 2
    assert selections[-10:] == [None] * 10


def test_nearly_saturated_targets_are_explored(monkeypatch):
    """Without exploration, a target assumed to be slow would never be measured."""
    monkeypatch.setattr(LatencyModel, "exploration_share", lambda self, service, utilisation: 0.5)
    options = {
        "probes_per_s": 6000.0,
        "times": 20,
        "running": 2,
        "max_ratio": 0.0,
        "max_ratio_late": 0.0,
    }
    selections, _ = select_times(NEAR, **options)
    assert [reason for _, reason in filter(None, selections)].count("good") > 5
    slow = {name: 7.0 for _, name in NEAR}
    selections, _ = select_times(NEAR, **options, latency_ratios=slow)
    assert not any(selections)


def test_late_end_is_accepted_only_without_a_good_target_for_a_while():
    async def scenario(selector, instances, targets, choose):
        good = choose()
        await run_ready()
        targets.answer("t-0")
        assert (await good).reason == "good"
        # Slow now but good just before: the request is refused rather than late.
        assert await choose_while_slow(instances, targets, choose) is None
        later = [await choose_while_slow(instances, targets, choose) for _ in range(60)]
        assert [selection.reason for selection in filter(None, later)][-1:] == ["best"]

    run_with_manual_probes([("hall-a", "t-0")], scenario)


async def choose_while_slow(instances, targets, choose):
    """Return the selection for a request while the only target reports that it is slow."""
    (instance,) = instances.for_service("s")
    # Outdate the earlier report.
    instance.reported_at = instance.probed_at = -1e9
    task = choose(wait=0.0)
    await run_ready()
    if targets.waiting:
        targets.answer("t-0", latency_ratio=7.0)
    return await task


class ManualTargets(Targets):
    """Targets whose probes are answered by the test."""

    def __init__(self):
        super().__init__({})
        self.waiting = {}
        self.released = []

    async def probe(self, address, path):
        name = address.partition(":")[0]
        self.probed.append(name)
        self.waiting[name] = asyncio.get_running_loop().create_future()
        return await self.waiting[name]

    def release(self, address, probe_result):
        self.released.append(address.partition(":")[0])

    def answer(self, name, *, running=0, latency_ratio=1.0):
        report = TargetReport(running, 0, 3, latency_ratio)
        self.waiting.pop(name).set_result(ProbeResult(name, True, TargetStatus(report)))


def run_with_manual_probes(names, scenario, **kwargs):
    """Run `scenario` with a selector whose probes the test answers."""

    async def main():
        instances = InstanceList()
        for place, name in names:
            instances.apply(ListedTarget(name, "s", place, f"{name}:1", 3, False, 1, 0.0), 0.0)
        targets = ManualTargets()
        loop = asyncio.get_running_loop()
        started_at = loop.time() - 10.0  # all buckets are full
        probes = ProbeShare(60.0, clock=loop.time, rng=random.Random(1), started_at=started_at)
        selector = TargetSelector(
            instances=instances,
            chooser=FreshReportChooser(
                place="hall-a", latency_model=LatencyModel(), rng=random.Random(1)
            ),
            probes=probes,
            probe_path=lambda service: "/health",
            targets=targets,
            rng=random.Random(1),
            log=logging.getLogger("test"),
        )

        def choose(rank=0, tried=(), wait=20.0):
            queue_deadline = loop.time() + wait
            work = selector.choose(
                "s", rank=rank, tried=tried, queue_deadline=queue_deadline, max_ratio=1.0
            )
            return asyncio.ensure_future(work)

        await scenario(selector, instances, targets, choose)

    asyncio.run(main())


async def run_ready():
    """Run the callbacks that are ready."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_each_waiting_request_has_two_probes_within_the_limit_of_the_service():
    async def scenario(selector, instances, targets, choose):
        waiting = [choose()]
        await run_ready()
        assert len(targets.probed) == 2
        waiting += [choose() for _ in range(9)]
        await run_ready()
        assert len(targets.probed) == len(set(targets.probed)) == 8
        for task in waiting:
            task.cancel()

    run_with_manual_probes([("hall-a", f"t-{n}") for n in range(20)], scenario)


def test_lowest_rank_gets_the_first_good_target():
    async def scenario(selector, instances, targets, choose):
        later, urgent = choose(rank=2), choose(rank=0)
        await run_ready()
        # One of three slots is in use; a third request would be slowed down.
        targets.answer("t-0", running=1)
        await run_ready()
        assert urgent.done()
        assert not later.done()
        targets.answer("t-1")
        assert (await later).instance.name == "t-1"

    run_with_manual_probes([("hall-a", "t-0"), ("hall-a", "t-1")], scenario)


def test_report_with_an_answer_serves_a_waiting_request():
    async def scenario(selector, instances, targets, choose):
        waiting = [choose() for _ in range(3)]
        await run_ready()
        (instance,) = instances.for_service("s")
        # One of three slots is in use; a third request would be slowed down.
        selector.record_status(instance, TargetStatus(TargetReport(1, 0, 3)))
        await run_ready()
        assert [task.done() for task in waiting] == [True, False, False]
        assert waiting[0].result().reason == "fresh"
        for task in waiting[1:]:
            task.cancel()

    run_with_manual_probes([("hall-a", "t-0")], scenario)


def test_target_already_tried_is_not_given_to_the_same_request():
    async def scenario(selector, instances, targets, choose):
        retry, other = choose(tried=("t-0",)), choose()
        await run_ready()
        targets.answer("t-0")
        await run_ready()
        assert other.done()
        assert not retry.done()
        targets.answer("t-1")
        assert (await retry).instance.name == "t-1"

    run_with_manual_probes([("hall-a", "t-0"), ("hall-a", "t-1")], scenario)


def test_cancelled_request_leaves_the_queue_and_releases_its_target():
    async def scenario(selector, instances, targets, choose):
        first, second = choose(), choose()
        await run_ready()
        targets.answer("t-0")
        first.cancel()
        await run_ready()
        (instance,) = instances.for_service("s")
        assert first.cancelled()
        # The cancelled request no longer counts at the target.
        assert second.done()
        assert instance.sent_since_report == 1

    run_with_manual_probes([("hall-a", "t-0")], scenario)


def test_hanging_probes_do_not_delay_the_next_ones():
    async def scenario(selector, instances, targets, choose):
        waiting = choose()
        await run_ready()
        assert len(targets.probed) == 2
        while len(targets.probed) < 4:  # unanswered probes do not block others
            await asyncio.sleep(0.001)
        targets.answer(targets.probed[3])
        assert (await waiting).instance.name == targets.probed[3]

    run_with_manual_probes([("hall-a", f"t-{n}") for n in range(6)], scenario)


BACKOFF = TargetStatus(TargetReport(0, 0, 3), backoff=30.0)
SHORT_BACKOFF = TargetStatus(TargetReport(0, 0, 3), backoff=0.05)


def test_target_in_backoff_is_not_given_to_waiting_requests():
    async def scenario(selector, instances, targets, choose):
        waiting = choose()
        await run_ready()
        selector.record_status(instances.find("t-0"), BACKOFF)
        await run_ready()
        assert not waiting.done()
        # A probe sent before the back-off does not make the target available.
        targets.answer("t-0")
        await run_ready()
        assert not waiting.done()
        targets.answer("t-1")
        assert (await waiting).instance.name == "t-1"

    run_with_manual_probes([("hall-a", "t-0"), ("hall-a", "t-1")], scenario)


def test_waiting_requests_are_refused_once_all_targets_back_off_past_their_deadline():
    async def scenario(selector, instances, targets, choose):
        waiting = [choose(), choose(rank=2)]
        await run_ready()
        selector.record_status(instances.find("t-0"), BACKOFF)
        await run_ready()
        assert not any(task.done() for task in waiting)
        selector.record_status(instances.find("t-1"), BACKOFF)
        assert await asyncio.gather(*waiting) == [None, None]
        assert await choose() is None
        assert 29 < selector.backoff_left("s") <= 30

    run_with_manual_probes([("hall-a", "t-0"), ("hall-a", "t-1")], scenario)


def test_backoff_that_ends_before_the_queue_deadline_is_waited_for():
    async def scenario(selector, instances, targets, choose):
        selector.record_status(instances.find("t-0"), SHORT_BACKOFF)
        waiting = choose()
        await run_ready()
        assert not targets.probed
        while not targets.probed:
            await asyncio.sleep(0.001)
        assert selector.backoff_left("s") == 0.0
        targets.answer("t-0")
        assert (await waiting).instance.name == "t-0"

    run_with_manual_probes([("hall-a", "t-0")], scenario)


def test_refused_probe_can_request_backoff():
    async def scenario(selector, instances, targets, choose):
        waiting = choose()
        await run_ready()
        targets.waiting.pop("t-0").set_result(ProbeResult("t-0", healthy=False, status=BACKOFF))
        assert await waiting is None
        assert selector.backoff_left("s") > 29

    run_with_manual_probes([("hall-a", "t-0")], scenario)
