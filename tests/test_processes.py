"""Faults of real processes: killed and paused boxes and targets, outages, truncated answers."""

import json
import signal
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from demo.fleet import Fleet, kind_changes, place_changes, wait_until
from dunlinnotch.protocol.outcome import EditStatus, Outcome
from dunlinnotch.standins.platform import PlatformFaults
from dunlinnotch.standins.target import TargetFaults
from dunlinnotch.state.tree import Change
from dunlinnotch.transport.caller import CallerClient, Request

SHORT_PEER_TIMEOUTS = "heartbeat_ms = 50\nrow_ms = 100\nsuspect_ms = 500\nforget_ms = 1000\n"


@pytest.fixture(scope="module")
def three_boxes(tmp_path_factory):
    """Three boxes with short timeouts for their peers."""
    with Fleet(tmp_path_factory.mktemp("three")) as fleet:
        fleet.start_platform()
        targets = fleet.start_targets(2)
        places = {"box-1": "hall-a", "box-2": "hall-b", "box-3": "hall-a"}
        fleet.start_boxes(places, extra=SHORT_PEER_TIMEOUTS)
        fleet.wait_for_membership(3)
        fleet.edit(
            "box-1",
            *place_changes("hall-a", "holdings", targets),
            *kind_changes("holdings", "lookup", repeatable="yes"),
            *kind_changes("holdings", "loan", repeatable="no"),
        )
        yield fleet


def lookup(client):
    return client.call(Request("holdings", "lookup", deadline_s=5.0))


def versions(fleet):
    return {name: fleet.operator(name).status().version for name in fleet.boxes}


def wait_for_version(fleet, version):
    wait_until(lambda: set(versions(fleet).values()) == {version}, what=f"version {version}")


def test_callers_leave_a_killed_box_and_return_after_its_restart(three_boxes):
    client = CallerClient(
        [b.caller for b in three_boxes.boxes.values()], caller="c", place="hall-b"
    )
    assert lookup(client).box == "box-2"
    three_boxes.boxes["box-2"].process.kill()
    assert lookup(client).outcome is Outcome.ANSWERED
    three_boxes.restart_box("box-2")
    client.invalidate_addresses()

    def box_2_serves():
        client.invalidate_addresses()
        return lookup(client).box == "box-2"

    wait_until(box_2_serves, what="callers use box-2 again")


def test_edit_is_pending_until_a_paused_box_resumes(three_boxes):
    box = three_boxes.boxes["box-3"]
    box.process.send_signal(signal.SIGSTOP)
    result = three_boxes.edit("box-1", Change("hall-a", "rank", "3"), wait_s=4.0)
    assert result.status is EditStatus.PENDING
    assert result.missing == ("box-3",)
    box.process.send_signal(signal.SIGCONT)
    wait_for_version(three_boxes, result.version)
    direct = CallerClient([box.caller], caller="c")
    assert lookup(direct).outcome is Outcome.ANSWERED


def test_box_started_during_a_table_outage_gets_the_settings_from_peers(three_boxes):
    three_boxes.set_platform_faults(PlatformFaults(down=True))
    box = three_boxes.boxes["box-3"]
    box.process.kill()
    three_boxes.restart_box("box-3")
    newest = max(three_boxes.operator("box-1").status().version, 1)
    wait_until(
        lambda: three_boxes.operator("box-3").status().version == newest,
        what="box-3 has the settings",
    )
    refused = three_boxes.edit("box-1", Change("hall-a", "rank", "4"), wait_s=0.1)
    assert refused.status is EditStatus.UNAVAILABLE
    client = CallerClient([box.caller], caller="c")
    assert lookup(client).outcome is Outcome.ANSWERED
    three_boxes.set_platform_faults(PlatformFaults())
    assert three_boxes.edit("box-1", Change("hall-a", "rank", "4")).status is EditStatus.ACCEPTED


def test_loan_at_a_paused_target_is_unknown_and_runs_at_most_once(three_boxes):
    mark = "paused-loan"
    for index in range(2):
        three_boxes.targets[index].process.send_signal(signal.SIGSTOP)
    client = CallerClient([b.caller for b in three_boxes.boxes.values()], caller="c")
    entry = client.addresses().addresses[0]
    request = Request(
        "holdings", "loan", method="POST", body=b"x", headers={"X-Mark": mark}, deadline_s=1.0
    )
    key = entry.once_stem + mark
    outcomes = [client.send(request, entry, key).outcome for _ in range(3)]
    for index in range(2):
        three_boxes.targets[index].process.send_signal(signal.SIGCONT)
    assert set(outcomes) == {Outcome.UNKNOWN}
    assert sum(three_boxes.target_report(i).runs.get(mark, 0) for i in range(2)) <= 1
    assert lookup(client).outcome is Outcome.ANSWERED


def test_truncated_answer_is_retried_or_reported_to_the_caller(three_boxes):
    for index in range(2):
        three_boxes.set_target_faults(index, TargetFaults(cut=1))
    client = CallerClient([b.caller for b in three_boxes.boxes.values()], caller="c")
    results = [lookup(client) for _ in range(4)]
    assert all(r.outcome is Outcome.ANSWERED or r.status in (0, 502) for r in results)
    assert results[-1].outcome is Outcome.ANSWERED


def test_stopped_place_waits_for_an_upload_and_for_cached_addresses(three_boxes):
    box = three_boxes.boxes["box-2"]
    three_boxes.edit("box-1", Change("/", "keep_s", "0.5"))
    client = CallerClient([box.caller], caller="c", place="hall-b")
    entry = next(e for e in client.addresses().addresses if e.box == "box-2")
    proceed, total = threading.Event(), 20
    headers = {"Dunlinnotch-Service": "holdings", "Dunlinnotch-Kind": "lookup"}

    def body():
        for number in range(total):
            yield b"x" * 1000
            if number == total // 2:
                assert proceed.wait(20.0)

    def upload():
        return three_boxes.http.request(
            "POST", f"http://{box.caller}/up", body=body(), headers=headers, timeout=30.0
        )

    with ThreadPoolExecutor(1) as pool:
        uploading = pool.submit(upload)
        status = three_boxes.operator("box-2").status
        wait_until(lambda: status().in_flight, what="the upload runs")
        three_boxes.edit("box-1", Change("hall-b", "state", "stopped"))
        drain = wait_until(lambda: status().drain.phase != "none" and status().drain, what="drain")
        request = Request("holdings", "lookup", deadline_s=5.0)
        while drain.phase == "waiting-for-answers":
            assert client.send(request, entry, None).outcome is Outcome.ANSWERED
            drain = status().drain
        # The last lookup may be counted as in flight until just after its answer is sent.
        drain = wait_until(lambda: status().drain.calls == 1 and status().drain, what="one call")
        assert (drain.phase, drain.calls) == ("waiting-for-calls", 1)
        proceed.set()
        answer = uploading.result()
    assert json.loads(answer.data)["size"] == total * 1000
    wait_until(lambda: box.process.popen.poll() is not None, what="box-2 has ended")
    assert box.process.popen.returncode == 0
    assert lookup(CallerClient([three_boxes.boxes["box-1"].caller], caller="d")).box in (
        "box-1",
        "box-3",
    )
