"""Measure what a box adds to a call: ``python -m benchmarks.hop``.

Direct calls to a target and calls by way of a box take turns within one run,
at 1, 8 and 32 callers, paced at 95 calls a second in all and flat out.
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
#: Calls a second for one node at the size designed for: 410,000 over 4,300.
PACE = 95.0
ROUNDS = 10
_TICKS = os.sysconf("SC_CLK_TCK")
_READ = 65536


class Connection:
    """A plain connection that sends one prepared request again and again."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), 10.0)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._request = (
            f"GET /records/1 HTTP/1.1\r\nHost: {address}\r\nDunlinnotch-Service: holdings\r\n"
            "Dunlinnotch-Kind: lookup\r\nX-Mark: 1\r\nAccept: application/json\r\n\r\n"
        ).encode()

    def call(self) -> None:
        """Send the request and read the whole answer."""
        self._sock.sendall(self._request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._sock.recv(_READ)
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            msg = f"unexpected answer: {data[:300]!r}"
            raise RuntimeError(msg)
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(body) < length:
            body += self._sock.recv(_READ)


@dataclass(slots=True)
class Series:
    """What one way came to: times in seconds, calls, seconds, processor seconds."""

    times: list[float] = field(default_factory=list)
    seconds: float = 0.0
    cpu: float = 0.0

    def show(self, share: float) -> float:
        """Return a quantile in milliseconds."""
        return quantile(sorted(self.times), share) * 1000


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def run_round(connections: list[Connection], seconds: float, pace: float | None) -> list[float]:
    """Call on all connections at once; return the times, from when each call was due."""
    times: list[float] = []
    start = time.perf_counter() + 0.02

    def caller(number: int) -> None:
        connection = connections[number]
        gap = len(connections) / pace if pace else 0.0
        due = start + gap * number / len(connections)
        end = start + seconds
        own = []
        while True:
            wait = due - time.perf_counter()
            if wait > 0:
                time.sleep(wait)
            began = due if pace else time.perf_counter()
            if began >= end:
                break
            connection.call()
            own.append(time.perf_counter() - began)
            due += gap
        times.extend(own)

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(len(connections))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times


def compare(
    direct: Callable[[], Connection],
    through: Callable[[], Connection],
    *,
    box_pid: int,
    callers: int,
    seconds: float,
    pace: float | None,
) -> None:
    """Let both ways take turns, and print what the box adds."""
    ways = {"direct": direct, "through": through}
    connections = {name: [make() for _ in range(callers)] for name, make in ways.items()}
    series = {name: Series() for name in ways}
    for name in ways:
        run_round(connections[name], 0.5, pace)
    for _ in range(ROUNDS):
        for name, one in series.items():
            before = cpu_seconds(box_pid)
            began = time.perf_counter()
            one.times += run_round(connections[name], seconds / ROUNDS, pace)
            one.seconds += time.perf_counter() - began
            one.cpu += cpu_seconds(box_pid) - before
    near, far = series["direct"], series["through"]
    idle = near.cpu / near.seconds
    per_call = (far.cpu - idle * far.seconds) / len(far.times) * 1e6
    added = [far.show(q) - near.show(q) for q in (0.5, 0.99, 0.999)]
    ratios = [far.show(q) / near.show(q) for q in (0.5, 0.99, 0.999)]
    print(
        f"{callers:7} {'paced' if pace else 'flat':>6} {len(far.times):7} "
        f"{added[0]:8.3f} {added[1]:8.3f} {added[2]:8.3f}   "
        f"{ratios[0]:5.2f} {ratios[1]:5.2f} {ratios[2]:5.2f} "
        f"{len(far.times) / far.seconds:8.0f} {per_call:9.0f}"
    )


def main() -> None:
    """Measure the hop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0, help="for each way, paced")
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
        for pace, seconds in ((PACE, arguments.seconds), (None, arguments.flat_seconds)):
            for callers in arguments.callers:
                compare(
                    lambda: Connection(targets[0]),
                    lambda: Connection(box.caller),
                    box_pid=box.process.popen.pid,
                    callers=callers,
                    seconds=seconds,
                    pace=pace,
                )


if __name__ == "__main__":
    main()
