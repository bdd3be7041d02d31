"""Stop requests that crash the targets serving them from reaching further targets."""

from __future__ import annotations

import asyncio
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
    from dunlinnotch.types import Address, Seconds

_log = logging.getLogger(__name__)


class TrackedRequest:
    """One request in progress, with the targets that crashed while serving it.

    Parameters
    ----------
    fingerprint : Fingerprint

    Attributes
    ----------
    crashed : dict of str to ServingSpan
        Targets that crashed while serving the request, by the name of their start.
    """

    __slots__ = ("crashed", "fingerprint")

    def __init__(self, fingerprint: Fingerprint) -> None:
        self.fingerprint = fingerprint
        self.crashed: dict[str, ServingSpan] = {}


class CrashGuard:
    """Quarantine requests by the targets that crashed while serving them, at any box.

    Parameters
    ----------
    log : CrashLog
    targets : TargetPort
    publish : callable
        Receives the crash records that this box has added and other boxes lack.
    witnesses : callable, optional
        Returns the addresses of a few other targets than the given one.

    Attributes
    ----------
    targets_crashed : int
        Targets that crashed while they served a request of this box.

    Notes
    -----
    What bounds the targets that one request crashes at all boxes together: the records are
    replicated, so each crash counts at every box that it has reached, and a box that starts
    serves only once it has the records of its peers or of the store
    (:attr:`~.crash_gossip.CrashGossip.may_serve`).  A box that reaches neither serves after a
    short wait without them, so each start of such a box may add up to the threshold.
    """

    def __init__(
        self,
        log: CrashLog,
        targets: TargetPort,
        *,
        publish: Callable[[Sequence[CrashRecord]], None],
        witnesses: Callable[[Instance], Sequence[Address]] = lambda instance: (),
    ) -> None:
        self._crash_log = log
        self._targets = targets
        self._publish = publish
        self._witnesses = witnesses
        self.targets_crashed = 0

    @property
    def now(self) -> Seconds:
        """Time by the clock of crash records, in seconds."""
        return self._crash_log.now

    def quarantine_left(self, tracked: TrackedRequest) -> Seconds:
        """Return the seconds for which a request stays quarantined; 0 if it may be sent."""
        if not tracked.crashed:
            return max(self._crash_log.quarantine_left(key) for key in tracked.fingerprint)
        now = self._crash_log.now
        combined = [
            self._crash_log.with_crashes(key, tracked.crashed) for key in tracked.fingerprint
        ]
        return max(record.quarantine_left(now) for record in combined)

    async def check_target(
        self, tracked: TrackedRequest, request: CallerRequest, instance: Instance, *, took: Seconds
    ) -> None:
        """Record a crash if the target that broke off a request no longer listens.

        Parameters
        ----------
        tracked : TrackedRequest
        request : CallerRequest
        instance : Instance
        took : float
            Seconds between sending the request to the target and its failure.
        """
        ended = self._crash_log.now
        if not await self._targets.is_gone(instance.address):
            return
        if not await self._has_path(instance):
            event(_log, "target-unreached", instance=instance.name, target=instance.address)
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

    async def _has_path(self, instance: Instance) -> bool:
        """Return whether most of a few other targets can be reached.

        Notes
        -----
        If they can't, this box is cut off: its connections are refused on the way, and say
        nothing about the target.  A target without others is believed to be gone.
        """
        witnesses = self._witnesses(instance)
        checks = await asyncio.gather(*(self._targets.check_path(w) for w in witnesses))
        return 2 * sum(checks) >= len(checks)

    def record_end(self, tracked: TrackedRequest, *, answered: bool) -> None:
        """Record the end of a request and publish the crash records that changed.

        Parameters
        ----------
        tracked : TrackedRequest
        answered : bool
            Whether a target answered the request.

        Notes
        -----
        If another target then answered the request, the crashes had another cause and are
        not reported.
        """
        records = [
            self._record_outcome(key, tracked.crashed, answered=answered)
            for key in tracked.fingerprint
        ]
        changed = [record for record in records if record is not None]
        if changed:
            self._publish(changed)

    def _record_outcome(
        self, key: str, crashed: Mapping[str, ServingSpan], *, answered: bool
    ) -> CrashRecord | None:
        if answered:
            return self._crash_log.record_answer(key)
        return self._crash_log.record_crashes(key, crashed) if crashed else None
