"""The pools of all services on this box, kept in step with settings and boxes."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from dunlinnotch.coordination.choosing.least_load import place_shares
from dunlinnotch.coordination.choosing.pool import ServicePool
from dunlinnotch.coordination.choosing.subset import assign_subsets
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.targets import TargetRecord

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from dunlinnotch.state.boxes import BoxRow
    from dunlinnotch.state.tree import SettingsTree
    from dunlinnotch.types import Address, Clock


@dataclass(slots=True)
class _ServicePlan:
    """What one service's pool should hold."""

    weights: dict[str, float] = field(default_factory=dict)
    targets: list[TargetRecord] = field(default_factory=list)


class _SubsetKey(NamedTuple):
    """What a subset depends on."""

    boxes: tuple[str, ...]
    targets: tuple[Address, ...]
    size: int


class _Shared(NamedTuple):
    """A target of this box, and how many boxes send to it."""

    address: Address
    sharers: float


class _Subset(NamedTuple):
    """The targets at one node of the tree that the box works with."""

    key: _SubsetKey
    shared: tuple[_Shared, ...]


class PoolDirectory:
    """Build and find the pools of services.

    Parameters
    ----------
    box, place : str
        This box.
    clock : callable
    rng : random.Random

    Attributes
    ----------
    calls_waiting : threading.Event
        Set when a call begins to wait in any pool.
    """

    def __init__(self, *, box: str, place: str, clock: Clock, rng: random.Random) -> None:
        self._box = box
        self._place = place
        self._clock = clock
        self._rng = rng
        self._pools: dict[str, ServicePool] = {}
        self._limits: dict[Address, int] = {}
        self._subsets: dict[str, _Subset] = {}
        self._lock = threading.Lock()
        self.calls_waiting = threading.Event()

    def pool(self, service: str) -> ServicePool | None:
        """Return the pool, or None if the service has no targets anywhere."""
        return self._pools.get(service)

    def connection_limit(self, target: Address) -> int:
        """Return the connections that this box may have to a target: its fixed share."""
        return self._limits.get(target, 1)

    def pools(self) -> list[ServicePool]:
        """Return all pools."""
        return list(self._pools.values())

    def rebuild(self, tree: SettingsTree, boxes: Sequence[BoxRow]) -> None:
        """Put a settings tree and the boxes now known in force.

        Parameters
        ----------
        tree : SettingsTree
        boxes : sequence of BoxRow
            Boxes that may serve, this one included.
        """
        with self._lock:
            plans: dict[str, _ServicePlan] = {}
            limits: dict[Address, int] = {}
            for place, service in tree.service_paths():
                plan = plans.setdefault(service, _ServicePlan())
                self._plan_place(plan, tree, place, service, boxes)
                settings = tree.effective(f"{place}/{service}")
                share = max(1, settings.connections // settings.boxes_max)
                limits.update(dict.fromkeys(settings.targets, share))
            demand = _demand(boxes)
            pools = dict(self._pools)
            for service, plan in plans.items():
                pool = pools.get(service)
                if pool is None:
                    pool = pools[service] = ServicePool(
                        service, clock=self._clock, rng=self._rng, on_wait=self.calls_waiting.set
                    )
                pool.configure(
                    plan.targets,
                    shares=place_shares(self._place, weights=plan.weights, demand=demand),
                    settings=tree.effective(f"{self._place}/{service}"),
                )
            self._limits = limits
            self._pools = {service: pools[service] for service in plans}

    def _plan_place(
        self,
        plan: _ServicePlan,
        tree: SettingsTree,
        place: str,
        service: str,
        boxes: Sequence[BoxRow],
    ) -> None:
        settings = tree.effective(f"{place}/{service}")
        running = [a for a in settings.targets if tree.target_state(a) is RunState.RUNNING]
        place_runs = tree.place_state(place) is RunState.RUNNING
        if not running or not place_runs or settings.state is not RunState.RUNNING:
            return
        plan.weights[place] = settings.weight
        group = tuple(sorted(row.name for row in boxes if row.place == self._place))
        wanted = _SubsetKey(group, tuple(running), settings.subset)
        for address, sharers in self._subset(f"{place}/{service}", wanted):
            plan.targets.append(TargetRecord(address, place, settings.slots, sharers))

    def _subset(self, path: str, wanted: _SubsetKey) -> tuple[_Shared, ...]:
        """Return this box's targets at a node, worked out anew only if something changed."""
        known = self._subsets.get(path)
        if known is None or known.key != wanted:
            subsets = assign_subsets(wanted.boxes, wanted.targets, wanted.size)
            shared = tuple(
                _Shared(address, float(sum(address in subset for subset in subsets.values())))
                for address in sorted(subsets.get(self._box, ()))
            )
            known = self._subsets[path] = _Subset(wanted, shared)
        return known.shared


def _demand(boxes: Sequence[BoxRow]) -> dict[str, float]:
    """Return the calls in flight at the boxes of each place, one more for each box."""
    demand: dict[str, float] = {}
    for row in boxes:
        demand[row.place] = demand.get(row.place, 0.0) + row.in_flight + 1.0
    return demand
