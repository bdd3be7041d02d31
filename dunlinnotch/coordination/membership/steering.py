"""Select the boxes that a caller should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.coordination.choosing.subset import highest_weighted
from dunlinnotch.protocol.answers import AddressAnswer, AddressEntry, idempotency_prefix
from dunlinnotch.state.schema import RunState

if TYPE_CHECKING:
    import random

    from dunlinnotch.coordination.membership.rows import Membership
    from dunlinnotch.state.boxes import BoxRow
    from dunlinnotch.state.tree import SettingsTree
    from dunlinnotch.types import Seconds

#: Largest number of addresses in one answer.
MAX_ADDRESSES = 3
#: Multiple of the mean load above which a box is put last.
_LOAD_FACTOR = 1.25
#: Number of calls added to that bound, so that small differences do not count.
_LOAD_SLACK = 4.0
#: Largest share by which the lifetime of an answer is shortened at random, so that answers
#: do not expire together.
_LIFETIME_JITTER = 0.2


class Steering:
    """Answer callers that request addresses of boxes.

    Parameters
    ----------
    membership : Membership
    rng : random.Random
    """

    def __init__(self, membership: Membership, *, rng: random.Random) -> None:
        self._membership = membership
        self._rng = rng

    def answer(self, tree: SettingsTree, *, caller: str, place: str) -> AddressAnswer:
        """Return the boxes for one caller.

        Parameters
        ----------
        tree : SettingsTree
        caller : str
            Any stable name; the same caller gets the same boxes while they are live and
            not overloaded.
        place : str
            The caller's place, or an empty string.

        Returns
        -------
        AddressAnswer
            Without addresses if no box may take new work.
        """
        rows = [row for row in self._membership.live() if _accepts_callers(tree, row)]
        ordered = self._order(rows, caller, place)
        entries = tuple(
            AddressEntry(
                r.name, r.place, r.address, idempotency_prefix(r.name, r.incarnation, r.tick)
            )
            for r in ordered[:MAX_ADDRESSES]
        )
        keep_s = tree.effective(place or "/").keep_s
        return AddressAnswer(entries, self._jittered(keep_s), tree.version)

    def _order(self, rows: list[BoxRow], caller: str, place: str) -> list[BoxRow]:
        by_name = {row.name: row for row in rows}
        ranked = [by_name[name] for name in highest_weighted(caller, by_name, len(by_name))]
        bound = self._bound(rows)
        ranked.sort(key=lambda row: (row.in_flight > bound, row.place != place))
        return _with_second_place(ranked)

    @staticmethod
    def _bound(rows: list[BoxRow]) -> float:
        mean = sum(row.in_flight for row in rows) / max(1, len(rows))
        return mean * _LOAD_FACTOR + _LOAD_SLACK

    def _jittered(self, keep_s: Seconds) -> Seconds:
        return round(keep_s * (1.0 - _LIFETIME_JITTER * self._rng.random()), 3)


def _accepts_callers(tree: SettingsTree, row: BoxRow) -> bool:
    """Return whether new callers may be sent to a box."""
    states = (row.state, tree.box_state(row.name), tree.place_state(row.place))
    return all(state is RunState.RUNNING for state in states)


def _with_second_place(ranked: list[BoxRow]) -> list[BoxRow]:
    """Move the best box of another place to the second position."""
    if len(ranked) < 2:
        return ranked
    first = ranked[0]
    other = next((row for row in ranked[1:] if row.place != first.place), None)
    if other is None:
        return ranked
    rest = [row for row in ranked[1:] if row is not other]
    return [first, other, *rest]
