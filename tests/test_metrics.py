import socket
import time

import pytest

from dunlinnotch.daemon.metrics import Metric, Metrics
from dunlinnotch.protocol.attempt import NotSent
from dunlinnotch.protocol.http import Call
from dunlinnotch.protocol.outcome import CallResult, Outcome, Reason


@pytest.fixture
def server():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(5.0)
        yield sock


@pytest.fixture
def metrics(server):
    address = f"127.0.0.1:{server.getsockname()[1]}"
    return Metrics(address, prefix="dn.box-1", clock=time.monotonic)


def receive(server, count):
    return {server.recv(1024).decode() for _ in range(count)}


def test_calls_and_attempts_are_counted(server, metrics):
    call = Call("c", "s", "k", "GET", "/", (), time.monotonic(), 0.0)
    result = CallResult(Outcome.NOT_RUN, 503, Reason.QUEUE_FULL)
    metrics.call_ended(call, result, waited=0.25, at_targets=9.0)
    sent = receive(server, 5)
    assert "dn.box-1.call.added:0.000000|ms" in sent
    assert {"dn.box-1.calls.not_run:1|c", "dn.box-1.refused.queue_full:1|c"} <= sent
    assert "dn.box-1.call.queue:250.000000|ms" in sent
    metrics.attempt_ended(NotSent(Reason.CONNECT_FAILED, ""), why="last-resort", retry=True)
    assert receive(server, 3) == {
        "dn.box-1.attempts.not_sent:1|c",
        "dn.box-1.retries:1|c",
        "dn.box-1.choice.last_resort:1|c",
    }


def test_gauge(server, metrics):
    metrics.gauge(Metric.VERSION, 7)
    assert receive(server, 1) == {"dn.box-1.settings.version:7|g"}


def test_no_metric_is_sent_without_a_server():
    Metrics(None, prefix="x", clock=time.monotonic).count(Metric.RETRIES)


def test_metric_names_are_unique():
    names = [metric.value.name for metric in Metric]
    assert len(names) == len(set(names))
