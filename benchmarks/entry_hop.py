"""Time that an entry box adds to a request, paired with direct calls in one run.

``python -m benchmarks.entry_hop [SECONDS]``.  One worker stand-in in this
process, one box as a process of its own; requests go in turn to the worker
directly and through the box, at a steady rate, on kept connections.  The
probe that the box sends before a request is part of what it adds.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

from demo.users import UsersFleet, document

RATE = 95.0
_WARM = 50


class _Kept:
    """A kept connection that sends one request at a time."""

    def __init__(self, address: str, *, instance: str = "") -> None:
        self._address = address
        self._extra = f"Expect-Instance: {instance}\r\n" if instance else ""
        self._count = 0

    async def open(self) -> None:
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))

    async def call(self) -> float:
        """Send one request; return the seconds to the end of its answer."""
        self._count += 1
        head = (
            f"GET /lookup/x HTTP/1.1\r\nHost: catalogue.example\r\nAttempt-Id: h{self._count}\r\n"
            f"Deadline-Ms: 5000\r\n{self._extra}\r\n"
        )
        began = time.perf_counter()
        self._writer.write(head.encode())
        top = (await self._reader.readuntil(b"\r\n\r\n")).lower()
        length = int(top.partition(b"content-length: ")[2].partition(b"\r\n")[0])
        await self._reader.readexactly(length)
        return time.perf_counter() - began


async def _measure(directory: Path, seconds: float) -> tuple[list[float], list[float]]:
    async with UsersFleet(directory) as fleet:
        fleet.store.put("op", "config", document(1, "holdings"))
        worker = await fleet.add_worker("holdings")
        box = await fleet.start_box()
        direct, through = _Kept(worker.address, instance=worker.instance), _Kept(box.caller_address)
        await direct.open()
        await through.open()
        for _ in range(_WARM):
            await direct.call()
            await through.call()
        plain, added = [], []
        for _ in range(int(seconds * RATE)):
            due = time.perf_counter() + 1.0 / RATE
            first = await direct.call()
            added.append(await through.call() - first)
            plain.append(first)
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
        return plain, added


def _at(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))] * 1000


def main() -> int:
    """Measure and print."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    with tempfile.TemporaryDirectory() as directory:
        plain, added = asyncio.run(_measure(Path(directory), seconds))
    print(f"{len(added)} pairs at {RATE:g} a second")
    for name, values in (("direct", plain), ("added by the box", added)):
        print(f"{name}: p50 {_at(values, 0.5):.2f} ms, p99 {_at(values, 0.99):.2f} ms")
    print(f"ratio p50 through / direct: {1 + _at(added, 0.5) / _at(plain, 0.5):.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
