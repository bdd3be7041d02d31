"""Whom a box tells its word: everybody while boxes are few, a bounded number beyond.

In a large system a box tells the boxes of its own place, up to a bound, and a
box or two of each other place, drawn anew each time.  So what a box sends does
not grow with the system; news spreads from box to box.
See ``docs/design/platform.md``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.coordination.choosing.subset import highest_weighted

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from dunlinnotch.protocol.mesh import Heartbeat

#: Up to so many others, everybody is told everything: bytes between places are dear, and
#: of 17 boxes in three places two thirds of what a box tells would go elsewhere.
FULL_MESH = 8
#: Up to so many others, a new box is told of all.
_INTRODUCED_ALL = 32
#: Boxes of the own place that a box tells, at most.
NEAR_MOST = 48
#: Boxes of each other place that are told at a time.
_FAR = 1
#: Boxes of each other place that a new box is told of.
_FAR_INTRODUCED = 2
#: Boxes of the own place to which news of a table goes at once.
_NEWS_NEAR = 6


class Links:
    """Draw the boxes to tell.

    Parameters
    ----------
    name, place : str
        The telling box's own.
    rng : random.Random
    """

    def __init__(self, name: str, place: str, *, rng: random.Random) -> None:
        self._name = name
        self._place = place
        self._rng = rng

    def near(self, words: Sequence[Heartbeat]) -> list[Heartbeat]:
        """Return the boxes that are to know this one at all times.

        Parameters
        ----------
        words : sequence of Heartbeat
            The last words of all boxes known.
        """
        if len(words) <= FULL_MESH:
            return list(words)
        own = {word.name: word for word in words if word.place == self._place}
        if len(own) <= NEAR_MOST:
            return list(own.values())
        return [own[name] for name in highest_weighted(self._name, own, NEAR_MOST)]

    def far(self, words: Sequence[Heartbeat], *, follows: bool) -> list[Heartbeat]:
        """Return a box of each other place, drawn by chance; none in a small system.

        Parameters
        ----------
        words : sequence of Heartbeat
            The last words of all boxes known.
        follows : bool
            Whether this box follows the store; those that do tell each other.
        """
        if len(words) <= FULL_MESH:
            return []
        drawn: dict[str, Heartbeat] = {}
        for place, known in _by_place(words).items():
            if place != self._place:
                some = self._rng.sample(known, min(_FAR, len(known)))
                some += [word for word in known if follows and word.follows]
                drawn.update((word.name, word) for word in some)
        return list(drawn.values())

    def introduced(self, place: str, live: Sequence[Heartbeat]) -> list[Heartbeat]:
        """Return the boxes of which a new box of a place is told.

        Parameters
        ----------
        place : str
        live : sequence of Heartbeat
            The words that were heard lately.
        """
        if len(live) <= _INTRODUCED_ALL:
            return list(live)
        chosen: list[Heartbeat] = []
        for where, known in _by_place(live).items():
            most = NEAR_MOST if where == place else _FAR_INTRODUCED
            first = [word for word in known if word.follows]
            rest = [word for word in known if not word.follows]
            chosen += (first + self._rng.sample(rest, len(rest)))[:most]
        return chosen

    def news(self, words: Sequence[Heartbeat]) -> list[Heartbeat]:
        """Return the boxes to which news of a table goes at once; they pass it on."""
        near = self.near(words)
        if len(words) <= FULL_MESH or len(near) <= _NEWS_NEAR:
            return near
        return self._rng.sample(near, _NEWS_NEAR)


def _by_place(words: Iterable[Heartbeat]) -> dict[str, list[Heartbeat]]:
    places: dict[str, list[Heartbeat]] = {}
    for word in words:
        places.setdefault(word.place, []).append(word)
    return places
