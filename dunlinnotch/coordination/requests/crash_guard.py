"""Keep requests that end the targets that run them from reaching more of them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.state.crashes import BAR_AT, KEEP_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.protocol.relay import CallerRequest, TargetPort
    from dunlinnotch.state.crashes import CrashLog, Evidence
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.types import Seconds

_log = logging.getLogger(__name__)


class Suspect:
    """One request under way, with the targets that ended under it.

    Parameters
    ----------
    fingerprint : str
    """

    __slots__ = ("ended", "fingerprint")

    def __init__(self, fingerprint: str) -> None:
        self.fingerprint = fingerprint
        self.ended: set[str] = set()


class CrashGuard:
    """Judge requests by the targets that ended under them, at this box and others.

    Parameters
    ----------
    log : CrashLog
    targets : TargetPort
    tell : callable
        Is given evidence that this box has seen and others have not.

    Attributes
    ----------
    targets_ended : int
        Targets that ended while they had a request of this box.
    """

    def __init__(
        self, log: CrashLog, targets: TargetPort, *, tell: Callable[[Evidence], None]
    ) -> None:
        self._evidence = log
        self._targets = targets
        self._tell = tell
        self.targets_ended = 0

    def barred_for(self, suspect: Suspect) -> Seconds:
        """Return how long a request is to be sent to no target; 0 if it may be sent."""
        known = self._evidence.barred_for(suspect.fingerprint)
        if known or not suspect.ended:
            return known
        seen = self._evidence.find(suspect.fingerprint)
        ended = suspect.ended if seen is None else suspect.ended.union(seen.targets)
        return KEEP_S if len(ended) >= BAR_AT else 0.0

    async def look(self, suspect: Suspect, request: CallerRequest, instance: Instance) -> None:
        """Note if a target that broke off a request has ended."""
        if not await self._targets.has_ended(instance.address):
            return
        suspect.ended.add(instance.name)
        self.targets_ended += 1
        event(
            _log,
            "target-ended",
            instance=instance.name,
            service=instance.listed.service,
            target=instance.address,
            request=request.request_id,
            fingerprint=suspect.fingerprint,
        )

    def finished(self, suspect: Suspect, *, answered: bool) -> None:
        """Take in the end of a request, and tell others what they should know of it.

        Notes
        -----
        Targets that ended under a request that another one then answered ended for
        another reason, so nothing is said of them.  That spares most messages: of 56
        repeatable requests whose first target ended (10 s of logs of a service with such a
        request), 35 were answered by their second.
        """
        if answered:
            evidence = self._evidence.note_answered(suspect.fingerprint)
        elif suspect.ended:
            evidence = self._evidence.note_ended(suspect.fingerprint, suspect.ended)
        else:
            return
        if evidence is not None:
            self._tell(evidence)
