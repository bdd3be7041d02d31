"""Pools of all services on this box, rebuilt when the settings or the boxes change."""

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
    """Targets and place weights of one service's pool."""

    weights: dict[str, float] = field(default_factory=dict)
    targets: list[TargetRecord] = field(default_factory=list)


class _SubsetKey(NamedTuple):
    """Inputs that determine a subset."""

    boxes: tuple[str, ...]
    targets: tuple[Address, ...]
    size: int


class _SharedTarget(NamedTuple):
    """Target in this box's subset, and the number of boxes that send to it."""

    address: Address
    sharers: float


class _Subset(NamedTuple):
    """Subset of the targets at one node of the settings tree that this box uses."""

    key: _SubsetKey
    shared: tuple[_SharedTarget, ...]


class PoolDirectory:
    """Build the pools of services and look them up.

    Parameters
    ----------
    box, place : str
        Name and place of this box.
    clock : callable
    rng : random.Random

    Attributes
    ----------
    calls_waiting : threading.Event
        Set when a call starts to wait in any pool.
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
        """Return the pool of a service, or None if the settings do not name the service."""
        return self._pools.get(service)

    def connection_limit(self, target: Address) -> int:
        """Return the maximum number of connections of this box to a target."""
        return self._limits.get(target, 1)

    def pools(self) -> list[ServicePool]:
        """Return all pools."""
        return list(self._pools.values())

    def rebuild(self, tree: SettingsTree, boxes: Sequence[BoxRow]) -> None:
        """Apply a settings tree and the list of boxes.

        Parameters
        ----------
        tree : SettingsTree
        boxes : sequence of BoxRow
            Boxes that may serve, including this one.
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
        place_boxes = tuple(sorted(row.name for row in boxes if row.place == self._place))
        key = _SubsetKey(place_boxes, tuple(running), settings.subset)
        for address, sharers in self._subset(f"{place}/{service}", key):
            plan.targets.append(TargetRecord(address, place, settings.slots, sharers))

    def _subset(self, path: str, key: _SubsetKey) -> tuple[_SharedTarget, ...]:
        """Return this box's subset at a node; recompute it only if its inputs changed."""
        cached = self._subsets.get(path)
        if cached is None or cached.key != key:
            subsets = assign_subsets(key.boxes, key.targets, key.size)
            shared = tuple(
                _SharedTarget(address, float(sum(address in subset for subset in subsets.values())))
                for address in sorted(subsets.get(self._box, ()))
            )
            cached = self._subsets[path] = _Subset(key, shared)
        return cached.shared


def _demand(boxes: Sequence[BoxRow]) -> dict[str, float]:
    """Return the calls in flight at the boxes of each place, plus one for each box."""
    demand: dict[str, float] = {}
    for row in boxes:
        demand[row.place] = demand.get(row.place, 0.0) + row.in_flight + 1.0
    return demand
