"""Fixed seeds for property tests, and one system of processes for all tests."""

import pytest
from hypothesis import HealthCheck, settings

from demo.fleet import Fleet, kind_changes, place_changes
from dunlinnotch.standins.target import TargetFaults
from dunlinnotch.state.tree import Change

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("ci")


@pytest.fixture(scope="session")
def fleet(tmp_path_factory):
    """Two boxes in two places, two targets of one service."""
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.start_platform()
        targets = fleet.start_targets(2)
        fleet.start_boxes({"box-1": "hall-a", "box-2": "hall-b"})
        fleet.wait_met(2)
        fleet.edit(
            "box-1",
            Change("/", "boxes_max", "3"),
            *place_changes("hall-a", "holdings", targets),
            *kind_changes("holdings", "lookup", repeatable="yes"),
            *kind_changes("holdings", "loan", repeatable="no"),
        )
        yield fleet


@pytest.fixture
def faults(fleet):
    """Put the same faults in force at all targets, until the test ends."""

    def put(fault):
        for index in range(len(fleet.targets)):
            fleet.set_target(index, fault)

    yield put
    put(TargetFaults())
