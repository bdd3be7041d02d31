"""Measure the latency that a box adds to a call: ``python -m benchmarks.hop``.

Direct calls to a target alternate with calls through a box within one run, from
1, 8 and 32 callers, at 95 calls per second in total and at the maximum rate.
"""

from __future__ import annotations

import argparse
import os
import socket
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from benchmarks._model import quantile
from demo.fleet import Fleet, kind_changes, place_changes
from dunlinnotch.state.tree import Change

if TYPE_CHECKING:
    from collections.abc import Callable

CALLERS = (1, 8, 32)
#: Total rate of the paced rounds.
CALLS_PER_S = 95.0
ROUNDS = 10
_TICKS = os.sysconf("SC_CLK_TCK")
_READ_BYTES = 65536


class Connection:
    """A connection that sends the same request for each call."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), 10.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = (
            f"GET /records/1 HTTP/1.1\r\nHost: {address}\r\nDunlinnotch-Service: holdings\r\n"
            "Dunlinnotch-Kind: lookup\r\nX-Mark: 1\r\nAccept: application/json\r\n\r\n"
        ).encode()

    def call(self) -> None:
        """Send the request and read the complete answer."""
        self._sock.sendall(self._request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._sock.recv(_READ_BYTES)
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            msg = f"expected status 200, received: {data[:300]!r}"
            raise RuntimeError(msg)
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self._sock.recv(_READ_BYTES)


@dataclass(slots=True)
class Series:
    """Measurements of one route: direct, or through the box.

    Parameters
    ----------
    latencies : list of float
        In seconds.
    seconds : float
        Duration of all rounds.
    cpu_s : float
        Processor time of the box during all rounds, in seconds.
    """

    latencies: list[float] = field(default_factory=list)
    seconds: float = 0.0
    cpu_s: float = 0.0

    def quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the latency, in milliseconds."""
        return quantile(sorted(self.latencies), fraction) * 1000


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def run_round(
    connections: list[Connection], seconds: float, calls_per_s: float | None
) -> list[float]:
    """Call on all connections in parallel; return the latencies, in seconds.

    Parameters
    ----------
    connections : list of Connection
    seconds : float
        Duration of the round.
    calls_per_s : float or None
        Total rate; latencies count from the time at which a call was due.  If None, each
        connection sends a call as soon as the previous one has ended.
    """
    latencies: list[float] = []
    start = time.perf_counter() + 0.02

    def caller(number: int) -> None:
        connection = connections[number]
        interval = len(connections) / calls_per_s if calls_per_s else 0.0
        due = start + interval * number / len(connections)
        end = start + seconds
        caller_latencies = []
        while True:
            wait = due - time.perf_counter()
            if wait > 0:
                time.sleep(wait)
            began = due if calls_per_s else time.perf_counter()
            if began >= end:
                break
            connection.call()
            caller_latencies.append(time.perf_counter() - began)
            due += interval
        latencies.extend(caller_latencies)

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(len(connections))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies


def compare(
    direct: Callable[[], Connection],
    through: Callable[[], Connection],
    *,
    box_pid: int,
    callers: int,
    seconds: float,
    calls_per_s: float | None,
) -> None:
    """Measure both routes in alternating rounds and print the difference."""
    routes = {"direct": direct, "through": through}
    connections = {name: [connect() for _ in range(callers)] for name, connect in routes.items()}
    series = {name: Series() for name in routes}
    for name in routes:
        run_round(connections[name], 0.5, calls_per_s)
    for _ in range(ROUNDS):
        for name, measured in series.items():
            before = cpu_seconds(box_pid)
            began = time.perf_counter()
            measured.latencies += run_round(connections[name], seconds / ROUNDS, calls_per_s)
            measured.seconds += time.perf_counter() - began
            measured.cpu_s += cpu_seconds(box_pid) - before
    direct_series, box_series = series["direct"], series["through"]
    idle_cpu = direct_series.cpu_s / direct_series.seconds
    cpu_us_per_call = (
        (box_series.cpu_s - idle_cpu * box_series.seconds) / len(box_series.latencies) * 1e6
    )
    added = [box_series.quantile_ms(q) - direct_series.quantile_ms(q) for q in (0.5, 0.99, 0.999)]
    ratios = [box_series.quantile_ms(q) / direct_series.quantile_ms(q) for q in (0.5, 0.99, 0.999)]
    print(
        f"{callers:7} {'paced' if calls_per_s else 'flat':>6} {len(box_series.latencies):7} "
        f"{added[0]:8.3f} {added[1]:8.3f} {added[2]:8.3f}   "
        f"{ratios[0]:5.2f} {ratios[1]:5.2f} {ratios[2]:5.2f} "
        f"{len(box_series.latencies) / box_series.seconds:8.0f} {cpu_us_per_call:9.0f}"
    )


def main() -> None:
    """Measure all numbers of callers, paced and at the maximum rate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of the paced rounds of each route"
    )
    parser.add_argument("--callers", type=int, nargs="*", default=list(CALLERS))
    parser.add_argument("--flat-seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.start_platform()
        targets = fleet.start_targets(4, slots=32, work_ms=0.0)
        fleet.start_boxes({"box-1": "hall-a"})
        fleet.edit(
            "box-1",
            Change("/", "boxes_max", "1"),
            *place_changes("hall-a", "holdings", targets, slots=32),
            *kind_changes("holdings", "lookup", repeatable="yes"),
        )
        box = fleet.boxes["box-1"]
        print(f"{'':24}{'added ms':>20}{'ratio':>20}{'':16}box")
        print(
            "callers   load   calls      p50      p99    p99.9     p50   p99 p99.9  calls/s"
            "   us/call"
        )
        for calls_per_s, seconds in (
            (CALLS_PER_S, arguments.seconds),
            (None, arguments.flat_seconds),
        ):
            for callers in arguments.callers:
                compare(
                    lambda: Connection(targets[0]),
                    lambda: Connection(box.caller),
                    box_pid=box.process.popen.pid,
                    callers=callers,
                    seconds=seconds,
                    calls_per_s=calls_per_s,
                )


if __name__ == "__main__":
    main()
