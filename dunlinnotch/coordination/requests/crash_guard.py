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


class TrackedRequest:
    """One request under way, with the targets that ended under it.

    Parameters
    ----------
    fingerprint : Fingerprint
    """

    __slots__ = ("crashed", "fingerprint")

    def __init__(self, fingerprint: Fingerprint) -> None:
        self.fingerprint = fingerprint
        self.crashed: dict[str, ServingSpan] = {}


class CrashGuard:
    """Judge requests by the targets that ended under them, at this box and others.

    Parameters
    ----------
    log : CrashLog
    targets : TargetPort
    publish : callable
        Is given the evidence that this box has seen and others have not.

    Attributes
    ----------
    targets_crashed : int
        Targets that ended while they had a request of this box.
    """

    def __init__(
        self,
        log: CrashLog,
        targets: TargetPort,
        *,
        publish: Callable[[Sequence[CrashRecord]], None],
    ) -> None:
        self._crash_log = log
        self._targets = targets
        self._publish = publish
        self.targets_crashed = 0

    def quarantine_left(self, tracked: TrackedRequest) -> Seconds:
        """Return how long a request is to be sent to no target; 0 if it may be sent."""
        if not tracked.crashed:
            return max(self._crash_log.quarantine_left(key) for key in tracked.fingerprint)
        now = self._crash_log.now
        known = [self._crash_log.with_ended(key, tracked.crashed) for key in tracked.fingerprint]
        return max(evidence.quarantine_left(now) for evidence in known)

    async def check_target(
        self, tracked: TrackedRequest, request: CallerRequest, instance: Instance, *, took: Seconds
    ) -> None:
        """Note if a target that broke off a request has ended.

        Parameters
        ----------
        tracked : TrackedRequest
        request : CallerRequest
        instance : Instance
        took : float
            Seconds for which the target had the request.
        """
        ended = self._crash_log.now
        if not await self._targets.is_gone(instance.address):
            return
        tracked.crashed[instance.start] = ServingSpan(ended - took, ended)
        self.targets_crashed += 1
        event(
            _log,
            "target-ended",
            instance=instance.name,
            service=instance.listed.service,
            target=instance.address,
            request=request.request_id,
            content=tracked.fingerprint.content,
            origin=tracked.fingerprint.origin,
        )

    def record_end(self, tracked: TrackedRequest, *, answered: bool) -> None:
        """Take in the end of a request, and tell others what they should know of it.

        Notes
        -----
        Targets that ended under a request that another one then answered ended for
        another reason, so nothing is said of them.  That spares most messages: of 56
        repeatable requests whose first target ended (10 s of logs of a service with such a
        request), 35 were answered by their second.
        """
        ends = [
            self._note_end(key, tracked.crashed, answered=answered) for key in tracked.fingerprint
        ]
        new = [evidence for evidence in ends if evidence is not None]
        if new:
            self._publish(new)

    def _note_end(
        self, key: str, ended: Mapping[str, ServingSpan], *, answered: bool
    ) -> CrashRecord | None:
        if answered:
            return self._crash_log.note_answered(key)
        return self._crash_log.note_ended(key, ended) if ended else None
