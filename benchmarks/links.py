"""Cost of heartbeats and spread of updates by number of boxes: ``python -m benchmarks.links``.

Runs meshes in one process, without sockets.  Counts do not depend on the
machine; processor time is printed as a ratio to that of the smallest system in
the same run.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass

from benchmarks._boxes import HEARTBEAT_INTERVAL_S, Boxes

SIZES = (18, 32, 64, 142, 192, 400)
_HEARTBEATS = 4
_UPDATED_VERSION = 6


@dataclass(frozen=True, slots=True)
class LinkMetrics:
    """Results for one number of boxes.

    Parameters
    ----------
    boxes : int
    messages, sent_bytes : float
        Messages and bytes that a box sends per second.
    cpu_seconds : float
        Processor time per box for the messages of a second, to send and receive.
    reached_at_once : float
        Share of the boxes that an update reaches before the next heartbeats.
    intervals : int
        Heartbeat intervals until the update has reached all boxes.
    """

    boxes: int
    messages: float
    sent_bytes: float
    cpu_seconds: float
    reached_at_once: float
    intervals: int


def measure(count: int) -> LinkMetrics:
    """Measure a system of ``count`` boxes."""
    boxes = Boxes(count).converge()
    boxes.sent = boxes.sent_bytes = 0
    began = time.process_time()
    for _ in range(_HEARTBEATS):
        boxes.exchange_heartbeats()
    cpu_seconds = time.process_time() - began
    seconds = _HEARTBEATS * HEARTBEAT_INTERVAL_S * count
    messages, sent_bytes = boxes.sent / seconds, boxes.sent_bytes / seconds
    boxes.publish_version(_UPDATED_VERSION)
    reached_at_once = _updated_boxes(boxes) / count
    intervals = 0
    while _updated_boxes(boxes) < count:
        boxes.exchange_heartbeats()
        intervals += 1
    return LinkMetrics(
        count, messages, sent_bytes, cpu_seconds / seconds, reached_at_once, intervals
    )


def _updated_boxes(boxes: Boxes) -> int:
    return sum(table.version == _UPDATED_VERSION for table in boxes.tables.values())


def main() -> int:
    """Print a line for each number of boxes."""
    results = [measure(count) for count in SIZES]
    print(f"{'boxes':>6}{'messages/s':>12}{'bytes/s':>10}{'time':>7}{'at once':>9}{'turns':>7}")
    for row in results:
        ratio = row.cpu_seconds / results[0].cpu_seconds
        print(
            f"{row.boxes:>6}{row.messages:>12.1f}{row.sent_bytes:>10.0f}{ratio:>7.2f}"
            f"{row.reached_at_once:>9.2f}{row.intervals:>7}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
