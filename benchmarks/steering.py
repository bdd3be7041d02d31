"""Steer callers to boxes while boxes come, go and slow down: ``python -m benchmarks.steering``.

Real steering and membership objects on a clock moved by hand.  Load is calls
in flight: each caller's pace times the time its box takes.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.membership.steering import Steering
from dunlinnotch.coordination.settings.tree import SettingsHolder
from dunlinnotch.protocol.peers import LinkState, Sync
from dunlinnotch.state.boxes import BoxRow
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import Change, Edit, SettingsTree

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds

PLACES = ("hall-a", "hall-b", "hall-c")
BOXES = 18
CALLERS = 900
KEEP_S = 10.0
#: Calls a second of the middle caller; callers differ by a log-normal factor.
PACE = 20.0
TOOK_S = 0.02
SLOW_FACTOR = 10.0
_SETTLE_S = 30


@dataclass(slots=True)
class Caller:
    """A caller with the answer that it keeps."""

    name: str
    place: str
    pace: float
    box: str = ""
    until: Seconds = 0.0


class World:
    """Boxes and callers, second by second."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self._rng = random.Random(seed)
        holder = SettingsHolder()
        self._tree = SettingsTree().apply(
            Edit("a", 0, "anna", (Change("/", "keep_s", str(KEEP_S)),), 1)
        )
        self.rows = {f"box-{n}": self._row(n) for n in range(BOXES)}
        observer = replace(self.rows["box-0"], name="observer", state=RunState.DRAINING)
        self._membership = Membership(observer, holder=holder, clock=lambda: self.now)
        self._steering = Steering(self._membership, rng=self._rng)
        self._link = LinkState()
        self.slow: set[str] = set()
        self.callers = [
            Caller(f"caller-{n}", PLACES[n % 3], PACE * self._rng.lognormvariate(0, 0.8))
            for n in range(CALLERS)
        ]
        self.moved = 0

    @staticmethod
    def _row(number: int) -> BoxRow:
        return BoxRow(
            name=f"box-{number}",
            incarnation=1,
            seq=1,
            place=PLACES[number % 3],
            address=f"10.0.0.{number}:80",
            peer=f"10.0.0.{number}:81",
            state=RunState.RUNNING,
            version=1,
            in_flight=0,
            tick=0.0,
        )

    def loads(self) -> dict[str, float]:
        """Return the calls in flight at each box."""
        loads = dict.fromkeys(self.rows, 0.0)
        for caller in self.callers:
            factor = SLOW_FACTOR if caller.box in self.slow else 1.0
            if caller.box in loads:
                loads[caller.box] += caller.pace * TOOK_S * factor
        return loads

    def run(self, seconds: int) -> None:
        """Let rows be renewed and callers ask again as their answers lapse."""
        for _ in range(seconds):
            self.now += 1.0
            loads = self.loads()
            for name, row in self.rows.items():
                self.rows[name] = replace(row, seq=row.seq + 1, in_flight=round(loads[name]))
            rows = tuple(self.rows.values())
            self._membership.apply(Sync("box-0", 1, 1, 0.0, rows), self._link)
            for caller in self.callers:
                if caller.until <= self.now:
                    self._ask(caller)

    def _ask(self, caller: Caller) -> None:
        answer = self._steering.answer(self._tree, caller=caller.name, place=caller.place)
        box = answer.addresses[0].box
        self.moved += box != caller.box
        caller.box = box
        caller.until = self.now + answer.keep_s

    def show(self, title: str) -> None:
        """Print how even the load is, and how many callers have moved."""
        loads = self.loads()
        calls = {name: sum(c.pace for c in self.callers if c.box == name) for name in self.rows}
        mean = sum(calls.values()) / len(calls)
        near = sum(self.rows[c.box].place == c.place for c in self.callers if c.box in self.rows)
        slow = sum(calls[name] for name in self.slow if name in calls) / mean
        print(
            f"{title:34} calls max/mean {max(calls.values()) / mean:5.2f}  "
            f"min/mean {min(calls.values()) / mean:5.2f}  near {near / CALLERS:5.0%}  "
            f"moved {self.moved / CALLERS:5.1%}  slow box {slow:5.2f}  "
            f"in flight max {max(loads.values()):5.1f}"
        )
        self.moved = 0


def main() -> None:
    """Run the scenes."""
    world = World(7)
    world.run(_SETTLE_S)
    world.show("18 boxes")
    world.run(_SETTLE_S)
    world.show("30 s later")
    world.rows["box-18"] = world._row(18)  # noqa: SLF001
    world.run(_SETTLE_S)
    world.show("one joins")
    world.rows["box-3"] = replace(world.rows["box-3"], state=RunState.DRAINING)
    world.run(_SETTLE_S)
    world.show("one drains")
    del world.rows["box-4"]
    world.run(_SETTLE_S)
    world.show("one dies")
    world.slow.add("box-5")
    world.run(_SETTLE_S * 2)
    world.show("one takes ten times as long")
    world.slow.clear()
    world.run(_SETTLE_S * 2)
    world.show("it is well again")


if __name__ == "__main__":
    main()
