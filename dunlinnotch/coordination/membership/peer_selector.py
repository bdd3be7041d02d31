"""Select the peers that a box sends its heartbeats and updates to.

In a small system a box sends to every other box.  In a large one it sends to a
bounded number of boxes of its own place, and to a few random boxes of each other
place, so that its traffic does not grow with the system; updates spread from box
to box.  See ``docs/design/platform.md``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.coordination.choosing.subset import highest_weighted

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from dunlinnotch.protocol.mesh import Heartbeat

#: Largest number of other boxes with which each box sends to all others.  Low, as traffic
#: between places is expensive: of 17 boxes in three places, two thirds of what each sends
#: would go to other places.
MAX_FULL_MESH = 8
#: Largest number of live boxes with which a new box is introduced to all of them.
_MAX_INTRODUCE_ALL = 32
#: Largest number of boxes of its own place that a box sends heartbeats to.
MAX_LOCAL_PEERS = 48
#: Number of boxes of each other place that receive one heartbeat.
_REMOTE_PER_PLACE = 1
#: Number of boxes of each other place that a new box is introduced to.
_REMOTE_INTRODUCED = 2
#: Number of boxes of the same place that an update is sent to; they pass it on.
_UPDATE_FANOUT = 6


class PeerSelector:
    """Select peers for one box.

    Parameters
    ----------
    name, place : str
        Name and place of the sending box.
    rng : random.Random
    """

    def __init__(self, name: str, place: str, *, rng: random.Random) -> None:
        self._name = name
        self._place = place
        self._rng = rng

    def local(self, heartbeats: Sequence[Heartbeat]) -> list[Heartbeat]:
        """Return the boxes that receive every heartbeat of this box.

        Parameters
        ----------
        heartbeats : sequence of Heartbeat
            The latest heartbeat of each known box.
        """
        if len(heartbeats) <= MAX_FULL_MESH:
            return list(heartbeats)
        same_place = {
            heartbeat.name: heartbeat for heartbeat in heartbeats if heartbeat.place == self._place
        }
        if len(same_place) <= MAX_LOCAL_PEERS:
            return list(same_place.values())
        return [
            same_place[name] for name in highest_weighted(self._name, same_place, MAX_LOCAL_PEERS)
        ]

    def remote(self, heartbeats: Sequence[Heartbeat], *, follows: bool) -> list[Heartbeat]:
        """Return random boxes of each other place; none in a small system.

        Parameters
        ----------
        heartbeats : sequence of Heartbeat
            The latest heartbeat of each known box.
        follows : bool
            Whether this box follows the store.  A follower always sends to the followers
            of other places.
        """
        if len(heartbeats) <= MAX_FULL_MESH:
            return []
        selected: dict[str, Heartbeat] = {}
        for place, known in _by_place(heartbeats).items():
            if place != self._place:
                sampled = self._rng.sample(known, min(_REMOTE_PER_PLACE, len(known)))
                sampled += [heartbeat for heartbeat in known if follows and heartbeat.follows]
                selected.update((heartbeat.name, heartbeat) for heartbeat in sampled)
        return list(selected.values())

    def introductions(self, place: str, live: Sequence[Heartbeat]) -> list[Heartbeat]:
        """Return the boxes that a new box of a place is introduced to.

        Parameters
        ----------
        place : str
        live : sequence of Heartbeat
            The latest heartbeat of each live box.
        """
        if len(live) <= _MAX_INTRODUCE_ALL:
            return list(live)
        chosen: list[Heartbeat] = []
        for box_place, known in _by_place(live).items():
            limit = MAX_LOCAL_PEERS if box_place == place else _REMOTE_INTRODUCED
            followers = [heartbeat for heartbeat in known if heartbeat.follows]
            others = [heartbeat for heartbeat in known if not heartbeat.follows]
            chosen += (followers + self._rng.sample(others, len(others)))[:limit]
        return chosen

    def update_targets(self, heartbeats: Sequence[Heartbeat]) -> list[Heartbeat]:
        """Return the boxes that an update is sent to at once; they pass it on."""
        local = self.local(heartbeats)
        if len(heartbeats) <= MAX_FULL_MESH or len(local) <= _UPDATE_FANOUT:
            return local
        return self._rng.sample(local, _UPDATE_FANOUT)


def _by_place(heartbeats: Iterable[Heartbeat]) -> dict[str, list[Heartbeat]]:
    places: dict[str, list[Heartbeat]] = {}
    for heartbeat in heartbeats:
        places.setdefault(heartbeat.place, []).append(heartbeat)
    return places
