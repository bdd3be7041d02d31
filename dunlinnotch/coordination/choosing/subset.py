"""Assign a subset of the targets to each box, by balanced rendezvous hashing.

Every box computes the same assignment from the same names, without coordination.
Rendezvous hashing: Thaler and Ravishankar, "Using name-based
mappings to increase hit rates", IEEE/ACM Transactions on Networking, 1998.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from dunlinnotch.types import Address


def rank_hash(left: str, right: str) -> int:
    """Return the 64-bit rendezvous weight of a pair of names."""
    return xxhash.xxh64_intdigest(f"{left}\0{right}".encode())


def highest_weighted(owner: str, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the highest rendezvous weight for ``owner``."""
    return sorted(names, key=lambda name: rank_hash(owner, name), reverse=True)[:count]


def assign_subsets(
    boxes: Collection[str], targets: Collection[Address], size: int
) -> dict[str, frozenset[Address]]:
    """Assign ``size`` targets to each box, with the boxes spread evenly over the targets.

    Parameters
    ----------
    boxes : collection of str
    targets : collection of str
    size : int
        Number of targets for each box; every box gets all targets if there are no more.

    Returns
    -------
    dict of str to frozenset of str
        Targets of each box.  No target exceeds its even share of the boxes, rounded up, by
        more than one.

    Notes
    -----
    Computes ``len(boxes) * len(targets)`` hashes for each of ``size`` rounds at most.
    """
    if size >= len(targets):
        return {box: frozenset(targets) for box in boxes}
    remaining = dict.fromkeys(sorted(targets), math.ceil(len(boxes) * size / len(targets)))
    chosen: dict[str, set[Address]] = {box: set() for box in sorted(boxes)}
    for _ in range(size):
        for box, assigned in chosen.items():
            under_quota = [t for t, quota in remaining.items() if quota > 0 and t not in assigned]
            available = under_quota or [t for t in remaining if t not in assigned]
            best = max(available, key=lambda target: rank_hash(box, target))
            assigned.add(best)
            remaining[best] -= 1
    return {box: frozenset(assigned) for box, assigned in chosen.items()}
