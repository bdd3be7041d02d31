"""Draw days by a seed: another mix of troubles each time, the same for the same seed."""

from __future__ import annotations

import random

from dunlinnotch.lab.scenario import FaultKind, FaultPlan, KindPlan, Scenario, ServicePlan

_LENGTH_S = 16.0
#: Troubles begin between these moments of the day, in seconds.
_FIRST_S, _LAST_S = 1.0, 9.0
_TROUBLES = (2, 5)
#: Share of the services whose targets never answer what they can't queue.
_HANGS = 0.3
_STRENGTH = {
    FaultKind.BURST: (1.3, 2.0),
    FaultKind.TARGET_SLOW: (3.0, 12.0),
    FaultKind.ANSWER_LOST: (0.02, 0.3),
    FaultKind.ANSWER_CUT: (0.02, 0.3),
    FaultKind.ANSWER_TWICE: (0.02, 0.3),
    FaultKind.TARGET_REFUSES: (0.2, 1.0),
    FaultKind.TARGET_RESTS: (0.2, 1.0),
    FaultKind.STORE_SLOW: (0.05, 0.5),
    FaultKind.STORE_BACK: (0.5, 6.0),
    FaultKind.DEADLY_REQUEST: (2.0, 8.0),
    FaultKind.CALLER_LEAVES: (2.0, 6.0),
}


def generate_scenario(seed: int) -> Scenario:
    """Return the day of a seed.

    Parameters
    ----------
    seed : int
    """
    rng = random.Random(seed)
    count = rng.randint(*_TROUBLES)
    kinds = rng.sample(list(FaultKind), count)
    return Scenario(
        name=f"drawn-{seed}",
        seed=seed,
        length_s=_LENGTH_S,
        boxes=rng.randint(4, 8),
        services=(
            _draw_service("records", (6, 10), rng),
            _draw_service("uploads", (2, 4), rng),
        ),
        kinds=(
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
        ),
        troubles=tuple(_draw_trouble(kind, rng) for kind in kinds),
    )


def _draw_service(name: str, targets: tuple[int, int], rng: random.Random) -> ServicePlan:
    return ServicePlan(
        name=name,
        targets=rng.randint(*targets),
        slots=rng.choice((3, 6)),
        queue=rng.choice((0, 6)),
        hangs=rng.random() < _HANGS,
    )


def _draw_trouble(kind: FaultKind, rng: random.Random) -> FaultPlan:
    return FaultPlan(
        kind=kind,
        at=round(rng.uniform(_FIRST_S, _LAST_S), 2),
        for_s=round(rng.uniform(0.5, 5.0), 2),
        share=round(rng.uniform(0.1, 0.6), 2),
        x=round(rng.uniform(*_STRENGTH.get(kind, (1.0, 2.0))), 2),
    )
