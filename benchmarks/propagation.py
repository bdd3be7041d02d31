"""Time until an edit is in force on all boxes: ``python -m benchmarks.propagation``.

Runs eighteen daemons in three places and the platform stand-in.  The scenarios
are a healthy table, a slow table, a table that is down after the commit, and a
list of boxes that is out of date.
"""

from __future__ import annotations

import argparse
import tempfile
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from demo.fleet import Fleet, wait_until
from dunlinnotch.protocol.operator import EditRequest
from dunlinnotch.protocol.outcome import EditStatus
from dunlinnotch.standins.platform import PlatformFaults
from dunlinnotch.state.tree import Change, Edit

if TYPE_CHECKING:
    from collections.abc import Callable

PLACES = ("hall-a", "hall-b", "hall-c")
BOXES = 18
ROUNDS = 10
_EDIT_TIMEOUT_S = 15.0


def time_edit(fleet: Fleet, name: str, rank: int, after_commit: Callable[[], None]) -> float:
    """Apply an edit through a box; return the time until all boxes confirm it, in seconds.

    Parameters
    ----------
    fleet : Fleet
    name : str
        The box.
    rank : int
        Value of the setting that the edit changes.
    after_commit : callable
        Called once the edit is committed.

    Raises
    ------
    RuntimeError
        If the edit is not accepted.
    """
    client = fleet.operator(name)
    version = client.tree().version + 1
    edit = Edit(uuid.uuid4().hex, version - 1, "bench", (Change("/", "rank", str(rank)),))
    with ThreadPoolExecutor(1) as pool:
        began = time.perf_counter()
        pending_edit = pool.submit(client.edit, EditRequest(edit, _EDIT_TIMEOUT_S))
        wait_until(lambda: client.status().version >= version, what="the commit")
        committed = time.perf_counter()
        after_commit()
        result = pending_edit.result()
        ended = time.perf_counter()
    if result.status is not EditStatus.ACCEPTED:
        msg = f"edit ended as {result.status}; boxes missing: {result.missing}; {result.detail}"
        raise RuntimeError(msg)
    print(
        f"    {name}: commit {1000 * (committed - began):6.0f} ms, "
        f"confirmed by all {1000 * (ended - committed):6.0f} ms later"
    )
    return ended - began


def main() -> None:
    """Measure all scenarios and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--boxes", type=int, default=BOXES)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory, Fleet(Path(directory)) as fleet:
        fleet.start_platform()
        fleet.start_boxes({f"box-{n:02}": PLACES[n % 3] for n in range(arguments.boxes)})
        fleet.wait_for_membership(arguments.boxes)
        names = sorted(fleet.boxes)
        no_faults = PlatformFaults()
        scenarios: dict[str, tuple[PlatformFaults, PlatformFaults]] = {
            "table well": (no_faults, no_faults),
            "table slow, 0.3 s an answer": (
                replace(no_faults, slow_s=0.3),
                replace(no_faults, slow_s=0.3),
            ),
            "table down after the commit": (no_faults, replace(no_faults, down=True)),
            "list lagging": (replace(no_faults, list_frozen=True),) * 2,
        }
        for title, (before, after) in scenarios.items():
            print(title)
            times = []
            for number in range(arguments.rounds):
                fleet.set_platform_faults(before)
                name = names[(number * 7) % len(names)]
                times.append(
                    time_edit(
                        fleet,
                        name,
                        number % 10,
                        lambda a=after: fleet.set_platform_faults(a),  # type: ignore[misc]
                    )
                )
                fleet.set_platform_faults(no_faults)
            times.sort()
            print(
                f"  {title}: from asking to accepted by all, p50 "
                f"{times[len(times) // 2]:.2f} s, worst {times[-1]:.2f} s"
            )


if __name__ == "__main__":
    main()
