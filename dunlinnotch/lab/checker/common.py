"""Observations of a scenario, an index of them for the checks, and violations."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from dunlinnotch.lab.scenario import PLANNED_FAULTS, FaultKind

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator, Sequence

    from dunlinnotch.lab.fleet import Target
    from dunlinnotch.lab.scenario import KindPlan, Scenario
    from dunlinnotch.standins.users.caller import AttemptRecord
    from dunlinnotch.standins.users.worker import Arrival, WorkerRun
    from dunlinnotch.types import Address, Seconds

#: Added to every time limit, because timers fire late.
TIMER_TOLERANCE_S = 0.3
#: Faults by which a box loses, or receives late, what a target reported to it.
BOX_OR_LINK_FAULTS = frozenset(
    {
        FaultKind.BOX_KILL,
        FaultKind.BOX_RESTARTS,
        FaultKind.BOX_FREEZE,
        FaultKind.BOX_STOP,
        FaultKind.TARGET_SILENT,
        FaultKind.TARGET_RESET,
    }
)


class Guarantee(StrEnum):
    """What the balancer must guarantee; the values appear in saved results."""

    #: A caller receives the complete answer, and the one to its own request.
    COMPLETE = "whole-answer"
    #: A caller receives what the target answered to the last send of its request, not what one
    #: answered to an earlier send.
    LAST_SEND = "answer-to-last-send"
    #: Targets run only requests that a caller sent, unaltered.
    AS_SENT = "as-sent"
    #: A request that must not be repeated runs at most once.
    AT_MOST_ONCE = "at-most-once"
    #: A request refused as not run did not run.
    NOT_RUN = "refused-as-not-run"
    #: A leaving target receives no new requests, however it announced that it leaves.
    DRAIN = "drain"
    #: A settings change becomes active on all boxes and remains so.
    SETTINGS = "settings-in-force"
    #: A planned stop breaks no request.
    PLANNED_STOP = "planned-stop"
    #: A box that is told to stop soon reports that it is not ready.
    NOT_READY = "not-ready"
    #: No request is held beyond its deadline.
    IN_TIME = "in-time"
    #: A request that crashed three targets crashes at most three more.
    QUARANTINE = "barred"
    #: A box sends nothing to a target during the back-off that the target requested.
    BACKOFF = "rest"
    #: No valid request is rejected as invalid.
    NOT_REJECTED = "denied"
    #: Once a caller has disconnected, its request is cancelled and not forwarded again.
    CALLER_GONE = "caller-gone"
    #: A request is sent to no more targets than its kind allows.
    MAX_ATTEMPTS = "tries"
    #: Retries at a service by all boxes together stay within their budget.
    RETRY_BUDGET = "repeat-budget"
    #: A target is given no more time than the caller has left.
    TIME_LIMIT = "time-given"
    #: Probes of a target by all boxes together stay within their budget.
    PROBE_BUDGET = "probe-budget"
    #: Callers are served again after the last fault.
    RECOVERY = "recovery"
    #: Callers of boxes that lost the path to all targets are served like those of others.
    CUT_OFF = "cut-off"


#: Guarantees with a time limit: on an overloaded machine they may be violated by the machine.
TIMED_GUARANTEES = frozenset(
    {
        Guarantee.DRAIN,
        Guarantee.SETTINGS,
        Guarantee.NOT_READY,
        Guarantee.IN_TIME,
        Guarantee.QUARANTINE,
        Guarantee.BACKOFF,
        Guarantee.CALLER_GONE,
        Guarantee.TIME_LIMIT,
        Guarantee.PROBE_BUDGET,
        Guarantee.RECOVERY,
    }
)


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a guarantee.

    Parameters
    ----------
    guarantee : Guarantee
    subject : str
        The attempt, target, box or service concerned.
    detail : str
        What was observed.
    """

    guarantee: Guarantee
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """The period in which a fault lasted, in monotonic seconds."""

    kind: FaultKind
    start: Seconds
    end: Seconds

    def overlaps(self, start: Seconds, end: Seconds) -> bool:
        """Return whether the period from ``start`` to ``end`` overlaps this one."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class BoxStop:
    """A box that was told to stop; times in monotonic seconds.

    Parameters
    ----------
    box : str
    requested_at : float
    not_ready_at : float
        When it first reported that it is not ready, or did not answer; infinite until then.
    """

    box: str
    requested_at: Seconds
    not_ready_at: Seconds = math.inf


@dataclass(slots=True)
class CutOff:
    """Boxes that lost the path to all targets; times in monotonic seconds.

    Parameters
    ----------
    boxes : frozenset of str
        Addresses at which callers reach them.
    start, end : float
        ``end`` is infinite until the path is back.
    """

    boxes: frozenset[Address]
    start: Seconds
    end: Seconds = math.inf


@dataclass(frozen=True, slots=True)
class Observations:
    """What callers and targets observed in a scenario; times in monotonic seconds.

    Parameters
    ----------
    scenario : Scenario
    started_at, ended_at : float
        Start and end of the traffic.
    attempts : sequence of AttemptRecord
        Attempts of ordinary requests.
    targets : sequence of Target
        All targets, those that have terminated included.
    fault_windows : sequence of FaultWindow
    route_changes : dict of str to list of (float, str)
        For each kind, the times at which it was routed to a service, and the service.
    crashing : sequence of AttemptRecord
        Attempts of requests that crash the targets that run them; they need not succeed.
    abandoned : sequence of AttemptRecord
        Attempts of slow requests whose callers disconnect before the answer.
    stops : sequence of BoxStop
    cuts : sequence of CutOff
    """

    scenario: Scenario
    started_at: Seconds
    ended_at: Seconds
    attempts: Sequence[AttemptRecord]
    targets: Sequence[Target]
    fault_windows: Sequence[FaultWindow]
    route_changes: dict[str, list[tuple[Seconds, str]]]
    crashing: Sequence[AttemptRecord] = ()
    abandoned: Sequence[AttemptRecord] = ()
    stops: Sequence[BoxStop] = ()
    cuts: Sequence[CutOff] = ()


class ObservationIndex:
    """Observations indexed by attempt, kind and box.

    Parameters
    ----------
    observations : Observations

    Attributes
    ----------
    attempts_by_id : dict of str to AttemptRecord
        Includes the crashing and the abandoned attempts.
    kinds_by_name : dict of str to KindPlan
    runs_by_id : dict of str to list of (Target, WorkerRun)
        The targets that ran an attempt, by its id.
    sends_by_id : dict of str to list of (Target, Arrival)
        The targets that received an attempt, by its id, in the order of arrival.
    """

    def __init__(self, observations: Observations) -> None:
        self.observations = observations
        self.scenario = observations.scenario
        all_attempts = (*observations.attempts, *observations.crashing, *observations.abandoned)
        self.attempts_by_id = {attempt.id: attempt for attempt in all_attempts}
        self.kinds_by_name: dict[str, KindPlan] = {kind.name: kind for kind in self.scenario.kinds}
        self.runs_by_id: dict[str, list[tuple[Target, WorkerRun]]] = defaultdict(list)
        for target in observations.targets:
            for run in target.worker.runs:
                self.runs_by_id[run.request_id].append((target, run))
        self.sends_by_id: dict[str, list[tuple[Target, Arrival]]] = defaultdict(list)
        for target in observations.targets:
            for arrival in target.worker.arrivals:
                self.sends_by_id[arrival.request_id].append((target, arrival))
        for sends in self.sends_by_id.values():
            sends.sort(key=lambda send: send[1].arrived_at)

    def arrivals_by_box(self, target: Target) -> Iterator[tuple[Address, list[Arrival]]]:
        """Yield each box that sent requests to a target, and the arrivals of these requests."""
        arrivals: dict[Address, list[Arrival]] = defaultdict(list)
        for arrival in target.worker.arrivals:
            attempt = self.attempts_by_id.get(arrival.request_id)
            if attempt is not None:
                arrivals[attempt.box].append(arrival)
        yield from arrivals.items()

    def has_unplanned_fault(self, start: Seconds, end: Seconds) -> bool:
        """Return whether any unplanned fault lasted between ``start`` and ``end``."""
        return any(
            w.kind not in PLANNED_FAULTS and w.overlaps(start, end)
            for w in self.observations.fault_windows
        )

    def has_fault(self, kinds: Collection[FaultKind], start: Seconds, end: Seconds) -> bool:
        """Return whether a fault of one of the kinds lasted between ``start`` and ``end``."""
        return any(
            w.kind in kinds and w.overlaps(start, end) for w in self.observations.fault_windows
        )
