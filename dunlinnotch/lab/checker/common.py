"""What was seen in a day, indexed for the checks, and what a check finds."""

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
    from dunlinnotch.standins.users.worker import Arrival, Ran
    from dunlinnotch.types import Address, Seconds

#: Time beyond a bound that is put down to timers, in seconds.
SLACK_S = 0.3
#: Troubles after which a box may have forgotten what a target told it, or hears it late.
BOX_OR_LINK = frozenset(
    {
        FaultKind.BOX_KILL,
        FaultKind.BOX_FREEZE,
        FaultKind.BOX_STOP,
        FaultKind.TARGET_SILENT,
        FaultKind.TARGET_RESET,
    }
)


class Guarantee(StrEnum):
    """What must hold."""

    #: The whole answer, to its own request only.
    WHOLE = "whole-answer"
    #: Nothing runs that no caller sent, or not as it was sent.
    AS_SENT = "as-sent"
    #: What may not be repeated runs at most once.
    ONCE = "at-most-once"
    #: What is refused as not run has not run.
    NOT_RUN = "refused-as-not-run"
    #: A leaving target gets nothing new, by whichever way its leaving was told.
    DRAIN = "drain"
    #: A change of the settings is in force everywhere and stays so.
    SETTINGS = "settings-in-force"
    #: A planned stop cuts off no request.
    STOP = "planned-stop"
    #: A box that is asked to stop says in time that it is not ready.
    NOT_READY = "not-ready"
    #: Nothing is held beyond its time.
    IN_TIME = "in-time"
    #: A request under which three targets ended ends no more than three others.
    BARRED = "barred"
    #: A target that asks a box for rest gets nothing from it until that is over.
    REST = "rest"
    #: No proper request is turned down as if it were not.
    DENIED = "denied"
    #: Work ends, and nothing more is sent, once a caller has left.
    GONE = "caller-gone"
    #: A request goes to no more targets than its kind allows.
    TRIES = "tries"
    #: Repeats at a service stay within their budget, those of all boxes together.
    REPEATS = "repeat-budget"
    #: A target is given no more time than the caller has left.
    TIME_GIVEN = "time-given"
    #: Probes of a target stay within their budget.
    PROBES = "probe-budget"
    #: Callers are served again once the troubles are over.
    RECOVERY = "recovery"


#: Promises with a time in them: on a machine that is too busy they may seem broken.
TIMED = frozenset(
    {
        Guarantee.DRAIN,
        Guarantee.SETTINGS,
        Guarantee.NOT_READY,
        Guarantee.IN_TIME,
        Guarantee.BARRED,
        Guarantee.REST,
        Guarantee.GONE,
        Guarantee.TIME_GIVEN,
        Guarantee.PROBES,
        Guarantee.RECOVERY,
    }
)


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise."""

    promise: Guarantee
    subject: str
    detail: str


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """A time in which something was wrong, in monotonic seconds."""

    kind: FaultKind
    start: Seconds
    end: Seconds

    def touches(self, start: Seconds, end: Seconds) -> bool:
        """Return whether a span of time meets this one."""
        return self.start <= end and start <= self.end


@dataclass(slots=True)
class BoxStop:
    """A box that was asked to stop, in monotonic seconds.

    Parameters
    ----------
    box : str
    asked : float
    not_ready : float
        When it first said that it is not ready, or was not there to be asked.
    """

    box: str
    asked: Seconds
    not_ready: Seconds = math.inf


@dataclass(frozen=True, slots=True)
class Observations:
    """What was seen in a day.

    Parameters
    ----------
    began, ended : float
        Of the traffic.
    moves : dict of str to sequence of (float, str)
        For each kind, when it went to which service.
    deadly : sequence of AttemptRecord
        Attempts of a request that ends the targets that run it; nobody misses them.
    left : sequence of AttemptRecord
        Attempts of requests of long work whose callers left amid it.
    stops : sequence of BoxStop
    """

    day: Scenario
    began: Seconds
    ended: Seconds
    attempts: Sequence[AttemptRecord]
    targets: Sequence[Target]
    windows: Sequence[FaultWindow]
    moves: dict[str, list[tuple[Seconds, str]]]
    deadly: Sequence[AttemptRecord] = ()
    left: Sequence[AttemptRecord] = ()
    stops: Sequence[BoxStop] = ()


class Seen:
    """What was seen in a day, found by request, kind and target.

    Parameters
    ----------
    evidence : Evidence

    Attributes
    ----------
    attempts : dict of str to AttemptRecord
        By id, those included of requests that end targets or whose callers left.
    ran : dict of str to list of (Target, Ran)
        By id, where each was run.
    """

    def __init__(self, evidence: Observations) -> None:
        self.evidence = evidence
        self.day = evidence.day
        sent = (*evidence.attempts, *evidence.deadly, *evidence.left)
        self.attempts = {attempt.id: attempt for attempt in sent}
        self.kinds: dict[str, KindPlan] = {kind.name: kind for kind in self.day.kinds}
        self.ran: dict[str, list[tuple[Target, Ran]]] = defaultdict(list)
        for target in evidence.targets:
            for run in target.worker.ran:
                self.ran[run.request_id].append((target, run))

    def by_box(self, target: Target) -> Iterator[tuple[Address, list[Arrival]]]:
        """Yield what reached a target, for each box that sent it."""
        boxes: dict[Address, list[Arrival]] = defaultdict(list)
        for arrival in target.worker.arrivals:
            attempt = self.attempts.get(arrival.request_id)
            if attempt is not None:
                boxes[attempt.box].append(arrival)
        yield from boxes.items()

    def unplanned(self, start: Seconds, end: Seconds) -> bool:
        """Return whether anything but planned work went on in a span of time."""
        return any(
            w.kind not in PLANNED_FAULTS and w.touches(start, end) for w in self.evidence.windows
        )

    def troubled(self, kinds: Collection[FaultKind], start: Seconds, end: Seconds) -> bool:
        """Return whether a trouble of some kinds went on in a span of time."""
        return any(w.kind in kinds and w.touches(start, end) for w in self.evidence.windows)
