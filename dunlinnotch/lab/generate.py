"""Generate reproducible scenarios with a random mix of faults from a seed."""

from __future__ import annotations

import random
from typing import NamedTuple

from dunlinnotch.lab.scenario import FaultKind, FaultPlan, KindPlan, Scenario, ServicePlan

_SCENARIO_LENGTH_S = 16.0
_FAULT_COUNT_RANGE = (2, 5)
#: Probability that the targets of a service never answer requests beyond their queue.
_HANG_PROBABILITY = 0.3


class _Ranges(NamedTuple):
    """Ranges from which the fields of a `FaultPlan` are drawn.

    Faults start early enough for the scenario to end with traffic after them.
    """

    at: tuple[float, float] = (1.0, 9.0)
    for_s: tuple[float, float] = (0.5, 5.0)
    share: tuple[float, float] = (0.1, 0.6)
    x: tuple[float, float] = (1.0, 2.0)


_RANGES = {
    FaultKind.BURST: _Ranges(x=(1.3, 2.0)),
    FaultKind.TARGET_SLOW: _Ranges(x=(3.0, 12.0)),
    FaultKind.ANSWER_LOST: _Ranges(x=(0.02, 0.3)),
    FaultKind.ANSWER_CUT: _Ranges(x=(0.02, 0.3)),
    FaultKind.ANSWER_FILLED: _Ranges(x=(0.02, 0.3)),
    FaultKind.ANSWER_TWICE: _Ranges(x=(0.02, 0.3)),
    FaultKind.DUPLICATE_ANSWERS: _Ranges((1.0, 4.0), (5.0, 9.0), (0.5, 1.0), (0.2, 1.0)),
    FaultKind.TARGET_REFUSES: _Ranges(x=(0.2, 1.0)),
    FaultKind.TARGET_RESTS: _Ranges(x=(0.2, 1.0)),
    FaultKind.STORE_SLOW: _Ranges(x=(0.05, 0.5)),
    FaultKind.STORE_BACK: _Ranges(x=(0.5, 6.0)),
    FaultKind.DEADLY_REQUEST: _Ranges(x=(2.0, 8.0)),
    FaultKind.CALLER_LEAVES: _Ranges(x=(2.0, 6.0)),
    FaultKind.BOX_CUT_OFF: _Ranges(for_s=(5.0, 8.0), x=(0.0, 2.99)),
    FaultKind.BOX_RESTARTS: _Ranges((1.0, 2.0), (8.0, 9.0), (0.7, 1.0), (0.8, 1.4)),
}
#: Kinds that are drawn together. A kind added here changes what every seed draws; a kind of
#: `_PROBABILITIES` is drawn by itself and leaves the other draws of a seed as they are.
_DRAWN_TOGETHER = tuple(kind for kind in FaultKind if kind is not FaultKind.DUPLICATE_ANSWERS)
_PROBABILITIES = {FaultKind.DUPLICATE_ANSWERS: 0.2}
#: Faults that show a weakness only together with another: boxes that start again may retry
#: too often only while targets refuse.
_ACCOMPANIED_BY = {FaultKind.BOX_RESTARTS: FaultKind.TARGET_REFUSES}


def generate_scenario(seed: int, *, with_fault: FaultKind | None = None) -> Scenario:
    """Generate the scenario of a seed; the same seed always gives the same scenario.

    Parameters
    ----------
    seed : int
    with_fault : FaultKind, optional
        A fault that every scenario has, beside those that are drawn.

    Returns
    -------
    Scenario
    """
    rng = random.Random(seed)
    fault_count = rng.randint(*_FAULT_COUNT_RANGE)
    fault_kinds = rng.sample(_DRAWN_TOGETHER, fault_count)
    if with_fault in _DRAWN_TOGETHER and with_fault not in fault_kinds:
        fault_kinds.append(with_fault)
    faults = [_generate_fault(kind, rng) for kind in fault_kinds]
    faults += _generate_independent_faults(seed, with_fault)
    faults += [
        fault.model_copy(update={"kind": _ACCOMPANIED_BY[fault.kind], "share": 1.0, "x": 0.9})
        for fault in faults
        if fault.kind in _ACCOMPANIED_BY
    ]
    # Callers that retry would raise the number of requests, and with it the retries allowed.
    caller_retries = 0 if any(f.kind in _ACCOMPANIED_BY for f in faults) else 2
    kinds = (
        KindPlan(name="lookup", service="records", repeatable=True, per_s=60, rank=2),
        KindPlan(name="payment", service="records", repeatable=False, per_s=30),
        KindPlan(name="upload", service="uploads", repeatable=False, per_s=10, work_ms=30),
        KindPlan(
            name="check",
            service="uploads",
            also="records",
            repeatable=True,
            per_s=20,
            work_ms=10,
            target_latency_ms=100,
        ),
    )
    return Scenario(
        name=f"drawn-{seed}",
        seed=seed,
        length_s=_SCENARIO_LENGTH_S,
        boxes=rng.randint(4, 8),
        services=(
            _generate_service("records", (6, 10), rng),
            _generate_service("uploads", (2, 4), rng),
        ),
        kinds=tuple(kind.model_copy(update={"retries": caller_retries}) for kind in kinds),
        troubles=tuple(faults),
    )


def _generate_service(name: str, targets: tuple[int, int], rng: random.Random) -> ServicePlan:
    return ServicePlan(
        name=name,
        targets=rng.randint(*targets),
        slots=rng.choice((3, 6)),
        queue=rng.choice((0, 6)),
        hangs=rng.random() < _HANG_PROBABILITY,
    )


def _generate_independent_faults(seed: int, with_fault: FaultKind | None) -> list[FaultPlan]:
    """Generate the faults whose draws do not depend on those of other faults."""
    faults = []
    for kind, probability in _PROBABILITIES.items():
        rng = random.Random(f"{kind}-{seed}")
        if rng.random() < probability or kind is with_fault:
            faults.append(_generate_fault(kind, rng))
    return faults


def _generate_fault(kind: FaultKind, rng: random.Random) -> FaultPlan:
    ranges = _RANGES.get(kind, _Ranges())
    return FaultPlan(
        kind=kind,
        at=round(rng.uniform(*ranges.at), 2),
        for_s=round(rng.uniform(*ranges.for_s), 2),
        share=round(rng.uniform(*ranges.share), 2),
        x=round(rng.uniform(*ranges.x), 2),
    )
