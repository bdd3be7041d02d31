"""Cost of an idle box by number of boxes: ``python -m benchmarks.control``.

Runs daemons with default settings and no calls.  Prints the processor share,
memory, bytes sent to peers and reads of the settings table, per box.
"""

from __future__ import annotations

import argparse
import json
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.hop import cpu_seconds
from benchmarks.slopes import fit
from demo.fleet import Fleet, kind_changes, place_changes
from dunlinnotch.standins.platform import PlatformFaults

PLACES = ("hall-a", "hall-b", "hall-c")
SIZES = (3, 6, 12, 18, 30)
_SETTLE_S = 3.0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(status.split("VmRSS:")[1].split()[0]) / 1024


def measure(boxes: int, seconds: float) -> tuple[float, float, float, float]:
    """Measure a system of ``boxes`` boxes for some seconds.

    Returns
    -------
    tuple of float
        Means per box: processor share, memory in MiB, bytes sent to peers per second and
        reads of the table per second.
    """
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.start_platform()
        fleet.start_boxes({f"box-{n:02}": PLACES[n % 3] for n in range(boxes)})
        fleet.wait_for_membership(boxes)
        targets = [f"127.0.0.1:{port}" for port in range(1, 31)]
        fleet.edit(
            "box-00",
            *place_changes("hall-a", "holdings", targets, probe_rate=0),
            *kind_changes("holdings", "lookup", repeatable="yes"),
        )
        time.sleep(_SETTLE_S)
        pids = [box.process.popen.pid for box in fleet.boxes.values()]
        cpus_before = [cpu_seconds(pid) for pid in pids]
        sent_before = [fleet.operator(name).status().peer_bytes for name in fleet.boxes]
        reads_before = _table_reads(fleet)
        began = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - began
        cpu = [
            cpu_seconds(pid) - cpu_before for pid, cpu_before in zip(pids, cpus_before, strict=True)
        ]
        table_reads = _table_reads(fleet) - reads_before
        sent_after = [fleet.operator(name).status().peer_bytes for name in fleet.boxes]
        sent = [n - s for n, s in zip(sent_after, sent_before, strict=True)]
        memory = statistics.fmean(resident_mb(pid) for pid in pids)
        share = statistics.fmean(cpu) / elapsed
        return share, memory, statistics.fmean(sent) / elapsed, table_reads / elapsed / boxes


def _table_reads(fleet: Fleet) -> int:
    answer = json.loads(fleet.post(fleet.platform_faults, "/faults", PlatformFaults()))
    return int(answer["reads"])


def main() -> None:
    """Measure all sizes, print the results and fit lines to them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    rows = [measure(size, arguments.seconds) for size in SIZES]
    print("boxes  processor      MB  bytes/s  reads/s, each for one box")
    for size, (cpu, memory, sent_before, reads_before) in zip(SIZES, rows, strict=True):
        print(f"{size:5} {cpu:10.2%} {memory:7.1f} {sent_before:8.0f} {reads_before:8.2f}")
    for index, (name, unit) in enumerate(
        (("processor", "%"), ("memory", "MB"), ("sent to peers", "bytes/s"))
    ):
        scale = 100 if index == 0 else 1
        fitted = fit(name, unit, "box", SIZES, [row[index] * scale for row in rows])
        print(
            f"{fitted.name}: {fitted.at_zero:.3f} + {fitted.slope:.4f} (+- {fitted.error:.4f}) "
            f"{fitted.unit} a box"
        )


if __name__ == "__main__":
    main()
