"""Decide which boxes a caller should use."""

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

#: Addresses in one answer.
ADDRESSES = 3
#: A box with more than this share above the mean load is put last.
_LOAD_BOUND = 1.25
#: Calls above the mean that are always let pass.
_LOAD_SLACK = 4.0
#: Answers are kept for a time that varies by this share, so that they don't lapse at once.
_JITTER = 0.2


class Steering:
    """Answer callers that ask for addresses.

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
            Any stable name; the same caller gets the same boxes while they
            are well.
        place : str
            The caller's place, or an empty text.

        Returns
        -------
        AddressAnswer
            Without addresses if no box may take new work.
        """
        rows = [row for row in self._membership.live() if _offered(tree, row)]
        ordered = self._order(rows, caller, place)
        entries = tuple(
            AddressEntry(
                r.name, r.place, r.address, idempotency_prefix(r.name, r.incarnation, r.tick)
            )
            for r in ordered[:ADDRESSES]
        )
        keep = tree.effective(place or "/").keep_s
        return AddressAnswer(entries, self._jittered(keep), tree.version)

    def _order(self, rows: list[BoxRow], caller: str, place: str) -> list[BoxRow]:
        by_name = {row.name: row for row in rows}
        ranked = [by_name[name] for name in highest_weighted(caller, by_name, len(by_name))]
        bound = self._bound(rows)
        ranked.sort(key=lambda row: (row.in_flight > bound, row.place != place))
        return _second_elsewhere(ranked)

    @staticmethod
    def _bound(rows: list[BoxRow]) -> float:
        mean = sum(row.in_flight for row in rows) / max(1, len(rows))
        return mean * _LOAD_BOUND + _LOAD_SLACK

    def _jittered(self, keep: Seconds) -> Seconds:
        return round(keep * (1.0 - _JITTER * self._rng.random()), 3)


def _offered(tree: SettingsTree, row: BoxRow) -> bool:
    """Return whether new callers may be sent to a box."""
    states = (row.state, tree.box_state(row.name), tree.place_state(row.place))
    return all(state is RunState.RUNNING for state in states)


def _second_elsewhere(ranked: list[BoxRow]) -> list[BoxRow]:
    """Move the best box of another place to the second position."""
    if len(ranked) < 2:
        return ranked
    first = ranked[0]
    other = next((row for row in ranked[1:] if row.place != first.place), None)
    if other is None:
        return ranked
    rest = [row for row in ranked[1:] if row is not other]
    return [first, other, *rest]
