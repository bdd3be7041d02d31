"""Whom a seeker asks, and what it takes when nobody is good."""

from __future__ import annotations

import asyncio
import logging
import random

import pytest

from dunlinnotch.coordination.budgets.shares import ProbeShare
from dunlinnotch.coordination.choosing.asking import AskPlan, TargetSeeker
from dunlinnotch.coordination.choosing.fresh import FreshChooser
from dunlinnotch.protocol.relay import Asked
from dunlinnotch.state.instances import InstanceList, ListedTarget, TargetReport


class Targets:
    """Targets that answer probes at once, each with its slowness and so many running."""

    def __init__(self, slowness, running=0):
        self.slowness = slowness
        self.running = running
        self.asked = []

    async def ask(self, address, path):
        name = address.partition(":")[0]
        self.asked.append(name)
        return Asked(name, True, TargetReport(self.running, 0, 3, self.slowness.get(name, 1.0)), "")

    def release(self, address, asked):
        pass


def seek(names, *, probes_per_s, times, slowness=None, running=0, **limits):
    """Look for a target some times, without a pause; return picks and probes sent."""

    async def bounded():
        instances = InstanceList()
        for place, name in names:
            listed = ListedTarget(name, "s", place, f"{name}:1", 3, False, 1, 0.0)
            instances.take(listed, 0.0)
        targets = Targets(slowness or {}, running)
        probes = ProbeShare(probes_per_s, clock=lambda: 100.0)
        rng = random.Random(1)
        seeker = TargetSeeker(
            instances=instances,
            chooser=FreshChooser(place="hall-a", rng=rng),
            probes=probes,
            probe_path=lambda service: "/health",
            targets=targets,
            plan=AskPlan(first=2, more=2),
            rng=rng,
            log=logging.getLogger("test"),
        )
        picks = []
        for _ in range(times):
            # What was heard before is as good as forgotten.
            for instance in instances.all():
                instance.reported_at = -1e9
            picks.append(await seeker.choose("s", rank=0, tried=(), give_up=0.0, **limits))
        return [pick and (pick.instance.name, pick.why) for pick in picks], targets.asked

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
    ("running", "slowness", "limits", "taken"),
    [
        (3, 1.0, {"most": 9.0, "most_waiting": 3.0}, True),
        (3, 1.0, {"most": 9.0, "most_waiting": 2.0}, False),
        (0, 7.0, {"most": 9.0, "most_waiting": 2.0}, True),
        (0, 7.0, {"most": 6.0, "most_waiting": 9.0}, False),
        (3, 1.0, {"most": 2.0, "most_waiting": 9.0}, False),
    ],
)
def test_a_place_in_a_queue_is_taken_only_by_what_ends_in_its_target_latency(
    running, slowness, limits, taken
):
    """ikenga-gate-grown scale-2: everybody waited, so nobody was in time."""
    picks, _ = seek(
        NEAR[:1],
        probes_per_s=60.0,
        times=1,
        slowness={"near-0": slowness},
        running=running,
        **limits,
    )
    assert (picks[0] is not None) is taken
