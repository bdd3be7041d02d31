"""Distribution of callers over boxes while boxes change: ``python -m benchmarks.steering``.

Boxes join, drain, die and slow down on a simulated clock.  The load of a box is
its calls in flight: the calls per second of its callers times the duration of a
call.
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
ANSWER_LIFETIME_S = 10.0
#: Callers' rates have a log-normal distribution with this median.
MEDIAN_CALLS_PER_S = 20.0
CALL_S = 0.02
SLOW_FACTOR = 10.0
_SETTLE_S = 30


@dataclass(slots=True)
class Caller:
    """A caller with its rate, and its box until the address answer expires."""

    name: str
    place: str
    calls_per_s: float
    box: str = ""
    expires_at: Seconds = 0.0


class Simulation:
    """Boxes and callers, in steps of a second.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    rows : dict
        Membership rows of the boxes, by name.
    slow : set of str
        Names of the boxes whose calls take ``SLOW_FACTOR`` times as long.
    callers : list of Caller
    moved : int
        How often callers changed their box since the last printed line.
    """

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self._rng = random.Random(seed)
        holder = SettingsHolder()
        self._tree = SettingsTree().apply(
            Edit("a", 0, "anna", (Change("/", "keep_s", str(ANSWER_LIFETIME_S)),), 1)
        )
        self.rows = {f"box-{n}": self._row(n) for n in range(BOXES)}
        observer = replace(self.rows["box-0"], name="observer", state=RunState.DRAINING)
        self._membership = Membership(observer, holder=holder, clock=lambda: self.now)
        self._steering = Steering(self._membership, rng=self._rng)
        self._link = LinkState()
        self.slow: set[str] = set()
        self.callers = [
            Caller(
                f"caller-{n}", PLACES[n % 3], MEDIAN_CALLS_PER_S * self._rng.lognormvariate(0, 0.8)
            )
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
                loads[caller.box] += caller.calls_per_s * CALL_S * factor
        return loads

    def run(self, seconds: int) -> None:
        """Update the rows each second, and the addresses of callers as their answers expire."""
        for _ in range(seconds):
            self.now += 1.0
            loads = self.loads()
            for name, row in self.rows.items():
                self.rows[name] = replace(row, seq=row.seq + 1, in_flight=round(loads[name]))
            rows = tuple(self.rows.values())
            self._membership.apply(Sync("box-0", 1, 1, 0.0, rows), self._link)
            for caller in self.callers:
                if caller.expires_at <= self.now:
                    self._renew_address(caller)

    def _renew_address(self, caller: Caller) -> None:
        answer = self._steering.answer(self._tree, caller=caller.name, place=caller.place)
        box = answer.addresses[0].box
        self.moved += box != caller.box
        caller.box = box
        caller.expires_at = self.now + answer.keep_s

    def print_load(self, title: str) -> None:
        """Print how even the load is and how many callers changed their box."""
        loads = self.loads()
        calls = {
            name: sum(c.calls_per_s for c in self.callers if c.box == name) for name in self.rows
        }
        mean_calls = sum(calls.values()) / len(calls)
        same_place = sum(
            self.rows[c.box].place == c.place for c in self.callers if c.box in self.rows
        )
        slow = sum(calls[name] for name in self.slow if name in calls) / mean_calls
        print(
            f"{title:34} calls max/mean {max(calls.values()) / mean_calls:5.2f}  "
            f"min/mean {min(calls.values()) / mean_calls:5.2f}  near {same_place / CALLERS:5.0%}  "
            f"moved {self.moved / CALLERS:5.1%}  slow box {slow:5.2f}  "
            f"in flight max {max(loads.values()):5.1f}"
        )
        self.moved = 0


def main() -> None:
    """Run the scenario and print a line after each change."""
    simulation = Simulation(7)
    simulation.run(_SETTLE_S)
    simulation.print_load("18 boxes")
    simulation.run(_SETTLE_S)
    simulation.print_load("30 s later")
    simulation.rows["box-18"] = simulation._row(18)  # noqa: SLF001
    simulation.run(_SETTLE_S)
    simulation.print_load("one joins")
    simulation.rows["box-3"] = replace(simulation.rows["box-3"], state=RunState.DRAINING)
    simulation.run(_SETTLE_S)
    simulation.print_load("one drains")
    del simulation.rows["box-4"]
    simulation.run(_SETTLE_S)
    simulation.print_load("one dies")
    simulation.slow.add("box-5")
    simulation.run(_SETTLE_S * 2)
    simulation.print_load("one takes ten times as long")
    simulation.slow.clear()
    simulation.run(_SETTLE_S * 2)
    simulation.print_load("it is well again")


if __name__ == "__main__":
    main()
