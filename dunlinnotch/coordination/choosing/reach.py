"""Tell the targets that this box can't reach from those that fail by themselves.

A connection that can't be opened looks the same whether its target is gone or the path to it
is cut.  The difference shows in the other targets of the service: most of them can't be
reached at the same time only if the path is cut, or if the whole service is gone.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from dunlinnotch._logs import event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.types import Address, Clock, Seconds

#: Time for which a target counts, after it was last heard or could last not be reached, in
#: seconds.  A box that sends little would else weigh one target that ended against few others.
_COUNTED_FOR_S = 3.0
#: Fewest targets that can't be reached at once if the path is cut; one alone has failed.
_MIN_UNREACHED = 2
#: Number of other targets that are tried before a target is believed to be gone.
_WITNESSES = 3

_log = logging.getLogger(__name__)


class TargetReach:
    """Which targets, and which services, this box reaches, by its own connections.

    Parameters
    ----------
    instances : InstanceList
    clock : callable
        Returns monotonic seconds.
    routed : callable
        Returns the services that requests may go to.

    Notes
    -----
    A target counts as unreached, from a connection that could not be opened or a probe that
    was not answered, until a byte arrives from it on any connection.  An open connection alone
    proves nothing: something on the way may accept it.
    """

    def __init__(
        self, instances: InstanceList, *, clock: Clock, routed: Callable[[], Collection[str]]
    ) -> None:
        self._instances = instances
        self._clock = clock
        self._routed = routed
        self._reached_at: dict[Address, Seconds] = {}
        self._unreached_at: dict[Address, Seconds] = {}
        #: Services that were cut off at the last :meth:`update`.
        self.cut_off: frozenset[str] = frozenset()

    def record_heard(self, address: Address) -> None:
        """Record that bytes arrived from a target."""
        self._reached_at[address] = self._clock()
        self._unreached_at.pop(address, None)

    def record_unreached(self, address: Address, since: Seconds) -> None:
        """Record that a target could not be reached, unless it was heard meanwhile."""
        if self._reached_at.get(address, float("-inf")) < since:
            self._unreached_at[address] = self._clock()

    def is_unreached(self, instance: Instance) -> bool:
        """Return whether a target has not been heard since it could not be reached."""
        return instance.address in self._unreached_at

    def is_cut_off(self, service: str) -> bool:
        """Return whether this box reaches less than half of a service's targets that it tried.

        Notes
        -----
        Targets whose rows are missing are left out: they have probably stopped.  Those at one
        address count once: entries of other writers may repeat it.
        """
        if not self._unreached_at:
            return False
        unreached, reached = self._count(service)
        listed = len(_addresses(self._instances.for_service(service)))
        return unreached >= min(_MIN_UNREACHED, max(1, listed)) and unreached > reached

    def witnesses(self, instance: Instance, *, rng: random.Random) -> list[Address]:
        """Return the addresses of a few random targets at other addresses than an instance."""
        routed = self._routed()
        candidates = (other for other in self._instances.all() if other.listed.service in routed)
        others = [address for address in _addresses(candidates) if address != instance.address]
        return rng.sample(others, min(_WITNESSES, len(others)))

    def least_recent(self, service: str) -> list[Instance]:
        """Return the targets of a service, those without news for longest first."""
        return sorted(self._instances.for_service(service), key=lambda i: self._news_at(i.address))

    @property
    def unreached_count(self) -> int:
        """Number of targets that this box can't reach."""
        return len(self._unreached_at)

    def retain(self, addresses: set[Address]) -> None:
        """Forget all other addresses."""
        for known in (self._reached_at, self._unreached_at):
            for address in known.keys() - addresses:
                del known[address]

    def update(self) -> bool:
        """Note which services are cut off now, and log changes; return whether any changed.

        Notes
        -----
        Services that no requests go to are left out: entries of other writers may name any,
        at addresses that are gone or belong to targets of other services.
        """
        cut_off = frozenset(service for service in self._routed() if self.is_cut_off(service))
        changed = cut_off ^ self.cut_off
        for service in sorted(changed):
            unreached, reached = self._count(service)
            event(
                _log,
                "service-unreached" if service in cut_off else "service-reached",
                level=logging.WARNING if service in cut_off else logging.INFO,
                service=service,
                unreached=unreached,
                reached=reached,
            )
        self.cut_off = cut_off
        return bool(changed)

    def _count(self, service: str) -> tuple[int, int]:
        """Return how many targets of a service this box does not reach, and does."""
        counted_from = self._clock() - _COUNTED_FOR_S
        unreached = reached = 0
        for address in _addresses(self._instances.for_service(service)):
            if address in self._unreached_at:
                unreached += self._unreached_at[address] > counted_from
            else:
                reached += self._reached_at.get(address, float("-inf")) > counted_from
        return unreached, reached

    def _news_at(self, address: Address) -> Seconds:
        since = self._unreached_at.get(address, float("-inf"))
        return max(since, self._reached_at.get(address, float("-inf")))


def _addresses(instances: Iterable[Instance]) -> list[Address]:
    """Return the addresses of targets whose rows are there, each once."""
    return list(dict.fromkeys(i.address for i in instances if i.missing_since is None))
