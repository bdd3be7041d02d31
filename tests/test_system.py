"""Calls from callers through boxes to targets, as real processes."""

import json
import signal
import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from demo.fleet import wait_until
from dunlinnotch.protocol.answers import AddressEntry
from dunlinnotch.protocol.outcome import Outcome
from dunlinnotch.standins.target import TargetFaults
from dunlinnotch.state.tree import Change
from dunlinnotch.transport.caller import CallerClient, Request
from dunlinnotch.transport.operator import OperatorClient

HEAD = b"GET / HTTP/1.1\r\nHost: x\r\nDunlinnotch-Service: holdings\r\nDunlinnotch-Kind: lookup\r\n"
LOOKUP = Request("holdings", "lookup", headers={"X-Mark": "m"}, deadline_s=5.0)
LOAN = Request(
    "holdings",
    "loan",
    method="POST",
    body=b"loan",
    headers={"X-Mark": "m"},
    at_most_once=True,
    deadline_s=5.0,
)


@pytest.fixture
def client(fleet):
    boxes = [box.caller for box in fleet.boxes.values()]
    return CallerClient(boxes, caller="branch-1", place="hall-a")


def runs(fleet, mark):
    return sum(fleet.target_report(i).runs.get(mark, 0) for i in range(len(fleet.targets)))


def test_each_call_gets_its_own_complete_answer(fleet, client):
    for number in range(20):
        mark = f"own-{number}"
        for request in (LOOKUP, LOAN):
            result = client.call(
                Request(**{**_fields(request), "headers": {"X-Mark": mark, "X-Filler": "1000"}})
            )
            assert result.outcome is Outcome.ANSWERED
            assert json.loads(result.data)["mark"] == mark


def test_loan_without_an_answer_is_unknown_and_runs_once(fleet, client, set_target_faults):
    set_target_faults(TargetFaults(drop=1))
    request = Request(**{**_fields(LOAN), "headers": {"X-Mark": "dropped"}})
    entry = client.addresses().addresses[0]
    key = entry.once_stem + "dropped"
    first = client.send(request, entry, key)
    assert (first.outcome, first.reason) == (Outcome.UNKNOWN, "target-broken")
    second = client.send(request, entry, key)
    assert (second.outcome, second.reason) == (Outcome.UNKNOWN, "once-key-known")
    assert runs(fleet, "dropped") == 1


def test_lookup_without_an_answer_is_retried_at_another_target(fleet, client, set_target_faults):
    set_target_faults(TargetFaults(drop=1))
    fleet.set_target_faults(1, TargetFaults())
    request = Request(**{**_fields(LOOKUP), "headers": {"X-Mark": "retried"}})
    results = [client.call(request) for _ in range(4)]
    assert {r.outcome for r in results} == {Outcome.ANSWERED}


def test_loan_refused_by_the_target_is_not_run(fleet, client, set_target_faults):
    set_target_faults(TargetFaults(refuse=True))
    request = Request(**{**_fields(LOAN), "headers": {"X-Mark": "refused"}})
    result = client.call(request)
    assert (result.outcome, result.reason) == (Outcome.NOT_RUN, "target-refused")
    assert result.retry_after is not None
    assert runs(fleet, "refused") == 0


def test_retry_of_an_answered_loan_gets_the_stored_answer(fleet, client):
    request = Request(**{**_fields(LOAN), "headers": {"X-Mark": "twice"}})
    entry = client.addresses().addresses[0]
    key = entry.once_stem + "twice"
    first, second = client.send(request, entry, key), client.send(request, entry, key)
    assert first.outcome is second.outcome is Outcome.ANSWERED
    assert first.data == second.data
    assert runs(fleet, "twice") == 1


def test_loan_with_the_key_of_another_box_is_not_run(fleet, client):
    first, second = client.addresses().addresses[:2]
    request = Request(**{**_fields(LOAN), "headers": {"X-Mark": "elsewhere"}})
    result = client.send(request, second, first.once_stem + "elsewhere")
    assert (result.outcome, result.reason) == (Outcome.UNKNOWN, "once-key-elsewhere")
    assert runs(fleet, "elsewhere") == 0


@pytest.mark.parametrize(
    ("changed", "reason"),
    [
        ({"service": ""}, "service-missing"),
        ({"service": "none"}, "service-unknown"),
        ({"kind": ""}, "kind-missing"),
        ({"kind": "none"}, "kind-unknown"),
        ({"headers": {"Dunlinnotch-Deadline-Ms": "0"}}, "deadline-expired"),
        ({"headers": {"Dunlinnotch-Deadline-Ms": "soon"}}, "deadline-invalid"),
    ],
)
def test_invalid_call_is_refused_as_not_run(fleet, client, changed, reason):
    headers = {
        "Dunlinnotch-Service": changed.get("service", "holdings"),
        "Dunlinnotch-Kind": changed.get("kind", "lookup"),
        **changed.get("headers", {}),
    }
    box = fleet.boxes["box-1"].caller
    response = fleet.http.request("GET", f"http://{box}/", headers=headers)
    assert response.headers["Dunlinnotch-Outcome"] == "not-run"
    assert response.headers["Dunlinnotch-Reason"] == reason


def test_bytes_after_an_answer_are_not_read_as_the_next_answer(fleet, client, set_target_faults):
    set_target_faults(TargetFaults(longer=5))
    for number in range(10):
        request = Request(**{**_fields(LOOKUP), "headers": {"X-Mark": f"longer-{number}"}})
        result = client.call(request)
        assert result.outcome is Outcome.ANSWERED
        assert json.loads(result.data)["mark"] == f"longer-{number}"


def test_drained_box_answers_its_calls_and_exits(fleet, set_target_faults):
    fleet.start_boxes({"box-3": "hall-b"})
    fleet.edit("box-1", Change("/", "keep_s", "0.1"))
    box = fleet.boxes.pop("box-3")
    with ThreadPoolExecutor(1) as pool:
        set_target_faults(TargetFaults(late_s=1.0))
        entry = AddressEntry("box-3", "hall-b", box.caller, "")
        client = CallerClient([box.caller], caller="x")
        late = pool.submit(client.send, LOOKUP, entry, None)
        wait_until(lambda: OperatorClient([box.operator]).status().in_flight, what="the call")
        box.process.send_signal(signal.SIGTERM)
        assert late.result().outcome is Outcome.ANSWERED
    wait_until(lambda: box.process.popen.poll() is not None, what="box-3 has ended")
    assert box.process.popen.returncode == 0
    answer = CallerClient([fleet.boxes["box-1"].caller], caller="x").addresses()
    assert "box-3" not in [entry.box for entry in answer.addresses]


def test_call_of_a_caller_that_leaves_is_cancelled_at_the_target(fleet, set_target_faults):
    set_target_faults(TargetFaults(late_s=30.0))
    before = cancelled(fleet)
    host, _, port = fleet.boxes["box-1"].caller.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(HEAD + b"X-Mark: leaves\r\n\r\n")
        wait_until(lambda: runs(fleet, "leaves"), what="the call runs")
    wait_until(lambda: cancelled(fleet) > before, what="the call is cancelled")


def test_call_past_its_deadline_is_answered_and_cancelled(fleet, client, set_target_faults):
    set_target_faults(TargetFaults(late_s=30.0))
    before = cancelled(fleet)
    result = client.call(Request("holdings", "lookup", deadline_s=1.0))
    assert (result.outcome, result.status) == (Outcome.UNKNOWN, 504)
    assert result.reason == "deadline-expired"
    wait_until(lambda: cancelled(fleet) > before, what="the call is cancelled")


BODY_BYTES = 200 * 1024 * 1024
CHUNK = b"x" * (64 * 1024)


def peak_memory(fleet, name):
    """Return the peak resident memory of a box in bytes."""
    pid = fleet.boxes[name].process.popen.pid
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) * 1024


def test_large_bodies_are_streamed_in_bounded_memory(fleet):
    before = peak_memory(fleet, "box-1")
    box = f"http://{fleet.boxes['box-1'].caller}"
    headers = {"Dunlinnotch-Service": "holdings", "Dunlinnotch-Kind": "lookup"}
    sent = fleet.http.request(
        "POST",
        f"{box}/upload",
        body=(CHUNK for _ in range(BODY_BYTES // len(CHUNK))),
        headers={**headers, "Content-Length": str(BODY_BYTES)},
        timeout=60.0,
    )
    assert json.loads(sent.data)["size"] == BODY_BYTES
    received = fleet.http.request(
        "GET", f"{box}/", headers={**headers, "X-Stream": str(BODY_BYTES)}, preload_content=False
    )
    assert sum(len(chunk) for chunk in received.stream(len(CHUNK))) == BODY_BYTES
    assert peak_memory(fleet, "box-1") - before < 32 * 1024 * 1024


def cancelled(fleet):
    return sum(fleet.target_report(i).cancelled for i in range(len(fleet.targets)))


def _fields(request):
    return {name: getattr(request, name) for name in Request.__slots__}
