"""What boxes tell each other, by the number of boxes: bytes, processor time, spread of news.

``python -m benchmarks.links`` runs meshes in one process, without sockets.
Figures by count hold anywhere; processor time is given as a ratio to that of
the smallest system, measured in the same run.
"""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass

from benchmarks._boxes import HEARTBEAT_INTERVAL_S, Boxes

SIZES = (18, 32, 64, 142, 192, 400)
_BEATS = 4
_NEWS_VERSION = 6


@dataclass(frozen=True, slots=True)
class LinkFigures:
    """Figures of one size.

    Parameters
    ----------
    messages, sent : float
        Messages and bytes that a box sends in a second.
    took : float
        Processor seconds of a box for a second's messages, both ends.
    reached : float
        Share of the boxes that news reaches at once.
    turns : int
        Turns after which it has reached all.
    """

    boxes: int
    messages: float
    sent: float
    took: float
    reached: float
    turns: int


def measure(count: int) -> LinkFigures:
    """Measure one size."""
    boxes = Boxes(count).converge()
    boxes.sent = boxes.sent_bytes = 0
    began = time.process_time()
    for _ in range(_BEATS):
        boxes.exchange_heartbeats()
    took = time.process_time() - began
    seconds = _BEATS * HEARTBEAT_INTERVAL_S * count
    messages, sent = boxes.sent / seconds, boxes.sent_bytes / seconds
    boxes.publish_version(_NEWS_VERSION)
    reached = _known(boxes) / count
    turns = 0
    while _known(boxes) < count:
        boxes.exchange_heartbeats()
        turns += 1
    return LinkFigures(count, messages, sent, took / seconds, reached, turns)


def _known(boxes: Boxes) -> int:
    return sum(table.version == _NEWS_VERSION for table in boxes.tables.values())


def main() -> int:
    """Print a line for each size."""
    found = [measure(count) for count in SIZES]
    print(f"{'boxes':>6}{'messages/s':>12}{'bytes/s':>10}{'time':>7}{'at once':>9}{'turns':>7}")
    for f in found:
        ratio = f.took / found[0].took
        print(
            f"{f.boxes:>6}{f.messages:>12.1f}{f.sent:>10.0f}{ratio:>7.2f}"
            f"{f.reached:>9.2f}{f.turns:>7}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
