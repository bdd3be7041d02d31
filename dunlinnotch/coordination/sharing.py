"""Share what targets say of their load among the boxes of one place.

Each report that a box hears, on a probe or on an answer, goes to the other
boxes of its place within some milliseconds, so that they need not ask the
same target.  Boxes of one place use mostly the same targets, and nothing
crosses between places.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.protocol.mesh import SharedReport
from dunlinnotch.state.instances import TargetReport

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from dunlinnotch.coordination.mesh import Mesh
    from dunlinnotch.state.instances import Instance, InstanceList
    from dunlinnotch.types import Address, Clock

#: Time between two sendings, in seconds.
SHARE_S = 0.008
#: Reports in one datagram, and boxes that one datagram goes to.
REPORTS_MOST, PEERS_MOST = 24, 8
#: A report older than this when it comes is of no use, in milliseconds.
_AGE_MOST_MS = 200


class ReportSharing:
    """Collect own reports and take in those of other boxes.

    Parameters
    ----------
    instances : InstanceList
    mesh : Mesh
    send : callable
        Given reports and the peers to send them to.
    clock : callable
    rng : random.Random
    """

    def __init__(
        self,
        instances: InstanceList,
        mesh: Mesh,
        *,
        send: Callable[[Sequence[SharedReport], Sequence[Address]], None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._instances = instances
        self._mesh = mesh
        self._send = send
        self._clock = clock
        self._rng = rng
        self._fresh: dict[str, Instance] = {}

    def heard(self, instance: Instance) -> None:
        """Note that this box itself has just heard of a target."""
        self._fresh[instance.name] = instance

    def flush(self) -> None:
        """Send what was heard since the last time."""
        if not self._fresh:
            return
        now = self._clock()
        reports = []
        for instance in list(self._fresh.values())[:REPORTS_MOST]:
            report = instance.report
            if report is not None:
                age = int((now - instance.reported_at) * 1000)
                ahead = report.running + instance.sent_since_report
                reports.append(
                    SharedReport(
                        instance.name, age, ahead, report.waiting, report.slots, report.slowness
                    )
                )
        self._fresh.clear()
        peers = [word.peer for word in self._mesh.live() if word.place == self._mesh.place]
        if len(peers) > PEERS_MOST:
            peers = self._rng.sample(peers, PEERS_MOST)
        if peers and reports:
            self._send(reports, peers)

    def take(self, reports: Sequence[SharedReport]) -> None:
        """Take in what another box has heard, where it is newer than what is known."""
        now = self._clock()
        for shared in reports:
            if not 0 <= shared.age_ms <= _AGE_MOST_MS:
                continue
            at = now - shared.age_ms / 1000
            instance = self._instances.find(shared.instance)
            if instance is not None and at > instance.reported_at:
                report = TargetReport(shared.running, shared.waiting, shared.slots, shared.slowness)
                instance.heard(report, at, by_self=False)
