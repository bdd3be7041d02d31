"""Measure what it costs to pass requests to a peer, as ratios to requests that are not passed.

Run as ``python -m benchmarks.peer_path [REQUESTS]``.  Three boxes run as processes; the first
serves requests with a body of 1 KB, then loses the path to all targets and serves as many more.
Latency, processor time of all boxes and connections are compared.
"""

from __future__ import annotations

import asyncio
import re
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

from dunlinnotch.lab.fleet import HOST, Fleet, path_prefix
from dunlinnotch.lab.link import LinkState
from dunlinnotch.lab.scenario import KindPlan, Scenario, ServicePlan

if TYPE_CHECKING:
    from dunlinnotch.standins.users.box import BoxProcess

_WARM_UP_REQUESTS = 100
_BODY = b"x" * 1024
_SCENARIO = Scenario(
    boxes=3,
    places=("hall-a",),
    services=(ServicePlan(name="records", targets=6, slots=6),),
    kinds=(KindPlan(name="lookup", service="records", repeatable=True, per_s=1, work_ms=0),),
)


async def _call(box: BoxProcess, number: int) -> float:
    """Send one request on a new connection; return the time until its answer, in seconds."""
    host, _, port = box.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"GET {path_prefix(_SCENARIO.kinds[0])}{number} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Attempt-Id: p{number}\r\nDeadline-Ms: 2000\r\nContent-Length: {len(_BODY)}\r\n\r\n"
    )
    began = time.perf_counter()
    writer.write(head.encode() + _BODY)
    status = (await reader.readline()).split()[1]
    took = time.perf_counter() - began
    writer.close()
    if status != b"200" and number > _WARM_UP_REQUESTS:
        msg = f"request {number} at {box.name} got status {status.decode()}"
        raise RuntimeError(msg)
    return took


def _processor_time(box: BoxProcess) -> float:
    """Return the processor time of a box's process in clock ticks."""
    assert box.process is not None
    fields = Path(f"/proc/{box.process.pid}/stat").read_text().rpartition(")")[2].split()
    return float(fields[11]) + float(fields[12])


async def _metric(box: BoxProcess, name: str) -> float:
    match = re.search(rf"^dunlinnotch_{name} (\S+)|^{name} (\S+)", await box.metrics_text(), re.M)
    return float(next(group for group in match.groups() if group)) if match else 0.0


async def _run_phase(fleet: Fleet, numbers: range) -> tuple[float, float]:
    """Send requests to the first box; return the median latency and all boxes' processor time."""
    ticks = sum(_processor_time(box) for box in fleet.boxes)
    times = [await _call(fleet.boxes[0], number) for number in numbers]
    return statistics.median(times), sum(_processor_time(box) for box in fleet.boxes) - ticks


async def _measure(directory: Path, requests: int) -> None:
    async with Fleet(_SCENARIO, directory) as fleet:
        box = fleet.boxes[0]
        await _run_phase(fleet, range(_WARM_UP_REQUESTS))
        direct = await _run_phase(fleet, range(1_000_000, 1_000_000 + requests))
        fleet.cut_paths({box.ip: LinkState.RESET})
        await _run_phase(fleet, range(_WARM_UP_REQUESTS))
        opened = await _metric(box, "peer_connections_opened_total")
        sent = await _metric(box, "peer_requests_sent_total")
        passed = await _run_phase(fleet, range(2_000_000, 2_000_000 + requests))
        opened = await _metric(box, "peer_connections_opened_total") - opened
        sent = await _metric(box, "peer_requests_sent_total") - sent
    print(f"{requests} requests each, {sent:.0f} of them over a peer; over a peer / direct:")
    print(f"median latency {passed[0] / direct[0]:.2f}, processor time {passed[1] / direct[1]:.2f}")
    print(f"connections to peers for each request: {opened / requests:.4f}")


def main() -> int:
    """Measure and print the ratios."""
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else 1000
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(_measure(Path(directory), requests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
