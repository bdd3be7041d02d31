"""Keep requests that end the targets that run them from reaching more of them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.state.crashes import ServingSpan

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from dunlinnotch.coordination.requests.fingerprint import Fingerprint
    from dunlinnotch.protocol.relay import CallerRequest, TargetPort
    from dunlinnotch.state.crashes import CrashLog, CrashRecord
    from dunlinnotch.state.instances import Instance
    from dunlinnotch.types import Seconds

_log = logging.getLogger(__name__)


class Suspect:
    """One request under way, with the targets that ended under it.

    Parameters
    ----------
    fingerprint : Fingerprint
    """

    __slots__ = ("ended", "fingerprint")

    def __init__(self, fingerprint: Fingerprint) -> None:
        self.fingerprint = fingerprint
        self.ended: dict[str, ServingSpan] = {}


class CrashGuard:
    """Judge requests by the targets that ended under them, at this box and others.

    Parameters
    ----------
    log : CrashLog
    targets : TargetPort
    tell : callable
        Is given the evidence that this box has seen and others have not.

    Attributes
    ----------
    targets_ended : int
        Targets that ended while they had a request of this box.
    """

    def __init__(
        self, log: CrashLog, targets: TargetPort, *, tell: Callable[[Sequence[CrashRecord]], None]
    ) -> None:
        self._evidence = log
        self._targets = targets
        self._tell = tell
        self.targets_ended = 0

    def barred_for(self, suspect: Suspect) -> Seconds:
        """Return how long a request is to be sent to no target; 0 if it may be sent."""
        if not suspect.ended:
            return max(self._evidence.quarantine_left(key) for key in suspect.fingerprint)
        now = self._evidence.now
        known = [self._evidence.with_crashes(key, suspect.ended) for key in suspect.fingerprint]
        return max(evidence.quarantine_left(now) for evidence in known)

    async def look(
        self, suspect: Suspect, request: CallerRequest, instance: Instance, *, took: Seconds
    ) -> None:
        """Note if a target that broke off a request has ended.

        Parameters
        ----------
        suspect : Suspect
        request : CallerRequest
        instance : Instance
        took : float
            Seconds for which the target had the request.
        """
        ended = self._evidence.now
        if not await self._targets.has_ended(instance.address):
            return
        suspect.ended[instance.start] = ServingSpan(ended - took, ended)
        self.targets_ended += 1
        event(
            _log,
            "target-ended",
            instance=instance.name,
            service=instance.listed.service,
            target=instance.address,
            request=request.request_id,
            content=suspect.fingerprint.content,
            origin=suspect.fingerprint.origin,
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
        ends = [
            self._note_end(key, suspect.ended, answered=answered) for key in suspect.fingerprint
        ]
        new = [evidence for evidence in ends if evidence is not None]
        if new:
            self._tell(new)

    def _note_end(
        self, key: str, ended: Mapping[str, ServingSpan], *, answered: bool
    ) -> CrashRecord | None:
        if answered:
            return self._evidence.record_answer(key)
        return self._evidence.record_crashes(key, ended) if ended else None
