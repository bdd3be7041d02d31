"""Which targets a box works with: rendezvous hashing, balanced.

Every box computes the same assignment from the same names, so nothing has
to be agreed.  Rendezvous hashing: Thaler and Ravishankar, "Using name-based
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
    """Give each box ``size`` targets so that targets have as many boxes each.

    Parameters
    ----------
    boxes : collection of str
    targets : collection of str
    size : int
        Targets for each box; all of them if there are no more.

    Returns
    -------
    dict of str to frozenset of str
        No target has more than one box over another's share rounded up.

    Notes
    -----
    Cost is ``len(boxes) * len(targets)`` hashes.
    """
    if size >= len(targets):
        return {box: frozenset(targets) for box in boxes}
    room = dict.fromkeys(sorted(targets), math.ceil(len(boxes) * size / len(targets)))
    chosen: dict[str, set[Address]] = {box: set() for box in sorted(boxes)}
    for _ in range(size):
        for box, have in chosen.items():
            free = [t for t, left in room.items() if left > 0 and t not in have]
            spare = free or [t for t in room if t not in have]
            best = max(spare, key=lambda target: rank_hash(box, target))
            have.add(best)
            room[best] -= 1
    return {box: frozenset(have) for box, have in chosen.items()}
