"""Measure the latency that an entry box adds to a request.

Run as ``python -m benchmarks.entry_hop [SECONDS]``.  A worker stand-in runs in
this process and a box in a process of its own.  Requests alternate between the
worker and the box, at a fixed rate, on persistent connections.  The added
latency includes the probe that the box sends before a request.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from demo.users import UsersFleet, document

REQUESTS_PER_S = 95.0
_WARM_UP_REQUESTS = 50


class _Connection:
    """A persistent connection that sends one request at a time."""

    def __init__(self, address: str, *, instance: str = "") -> None:
        self._address = address
        self._extra_headers = f"Expect-Instance: {instance}\r\n" if instance else ""
        self._request_count = 0

    async def open(self) -> None:
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def call(self) -> float:
        """Send a request; return the time until the end of its answer, in seconds."""
        self._request_count += 1
        request_head = (
            f"GET /lookup/x HTTP/1.1\r\nHost: catalogue.example\r\n"
            f"Attempt-Id: h{self._request_count}\r\n"
            f"Deadline-Ms: 5000\r\n{self._extra_headers}\r\n"
        )
        began = time.perf_counter()
        self._writer.write(request_head.encode())
        answer_head = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        length = int(answer_head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await self._reader.readexactly(length)
        return time.perf_counter() - began


async def _measure(directory: Path, seconds: float) -> tuple[list[float], list[float]]:
    async with UsersFleet(directory) as fleet:
        fleet.store.put("op", "config", document(1, "holdings"))
        worker = await fleet.add_worker("holdings")
        box = await fleet.start_box()
        direct, via_box = (
            _Connection(worker.address, instance=worker.instance),
            _Connection(box.caller_address),
        )
        await direct.open()
        await via_box.open()
        for _ in range(_WARM_UP_REQUESTS):
            await direct.call()
            await via_box.call()
        direct_times, added_times = [], []
        for _ in range(int(seconds * REQUESTS_PER_S)):
            due = time.perf_counter() + 1.0 / REQUESTS_PER_S
            direct_time = await direct.call()
            added_times.append(await via_box.call() - direct_time)
            direct_times.append(direct_time)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
        return direct_times, added_times


def _quantile_ms(values: list[float], fraction: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * fraction))] * 1000


def main() -> int:
    """Measure and print the latencies."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    with tempfile.TemporaryDirectory() as directory:
        direct_times, added_times = asyncio.run(_measure(Path(directory), seconds))
    print(f"{len(added_times)} pairs at {REQUESTS_PER_S:g} a second")
    for name, values in (("direct", direct_times), ("added by the box", added_times)):
        print(
            f"{name}: p50 {_quantile_ms(values, 0.5):.2f} ms, "
            f"p99 {_quantile_ms(values, 0.99):.2f} ms"
        )
    print(
        f"ratio p50 through / direct: "
        f"{1 + _quantile_ms(added_times, 0.5) / _quantile_ms(direct_times, 0.5):.2f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
