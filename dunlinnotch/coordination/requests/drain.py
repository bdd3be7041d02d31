"""Planned stop of a box without breaking off requests.

The box keeps serving until all address answers that name it have expired.  Only then it
closes connections between requests.
"""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Protocol

from dunlinnotch._logs import event
from dunlinnotch.protocol.operator import DrainPhase, DrainStatus
from dunlinnotch.state.schema import RunState

if TYPE_CHECKING:
    from dunlinnotch.coordination.membership.rows import Membership
    from dunlinnotch.coordination.settings.gate import WorkGate
    from dunlinnotch.types import Clock, Seconds

_log = logging.getLogger(__name__)


class Front(Protocol):
    """Part of the caller port that a drain uses.

    Attributes
    ----------
    closing : bool
        Whether connections are closed between requests.
    """

    closing: bool


class Drain:
    """Drain this box, once.

    Parameters
    ----------
    membership : Membership
    gate : WorkGate
    front : Front
    clock : callable

    Attributes
    ----------
    begun : threading.Event
        Set while a drain is in progress; :meth:`advance` must then be called every few
        dozen milliseconds.
    """

    def __init__(
        self, membership: Membership, gate: WorkGate, front: Front, *, clock: Clock
    ) -> None:
        self._membership = membership
        self._gate = gate
        self._front = front
        self._clock = clock
        self._phase = DrainPhase.NONE
        self._answers_until: Seconds = 0.0
        self._lock = threading.Lock()
        self.begun = threading.Event()

    @property
    def phase(self) -> DrainPhase:
        """Current phase of the drain."""
        return self._phase

    def status(self) -> DrainStatus:
        """Return the phase and what the drain still waits for."""
        answers_left = max(0.0, self._answers_until - self._clock())
        return DrainStatus(self._phase, round(answers_left, 1), self._gate.in_flight)

    def start(self, *, max_answer_lifetime: Seconds) -> None:
        """Start to drain, unless a drain is in progress.

        Parameters
        ----------
        max_answer_lifetime : float
            Seconds for which a caller may still use an address answer that names this box.
        """
        with self._lock:
            if self._phase is not DrainPhase.NONE:
                return
            self._phase = DrainPhase.ANSWERS
            self.begun.set()
            self._answers_until = self._clock() + max_answer_lifetime
            self._membership.refresh_own(state=RunState.DRAINING)
        event(_log, "drain-started", answers_s=max_answer_lifetime, calls=self._gate.in_flight)

    def resume(self) -> None:
        """Cancel the drain, unless the box has begun to close connections."""
        with self._lock:
            if self._phase is not DrainPhase.ANSWERS:
                return
            self._phase = DrainPhase.NONE
            self.begun.clear()
            self._membership.refresh_own(state=RunState.RUNNING)
        event(_log, "drain-called-off")

    def advance(self) -> DrainPhase:
        """Enter the next phase once the current one is complete; return the phase."""
        with self._lock:
            if self._phase is DrainPhase.ANSWERS and self._clock() >= self._answers_until:
                self._phase = DrainPhase.CALLS
                self._front.closing = True
                event(_log, "drain-answers-lapsed", calls=self._gate.in_flight)
            if self._phase is DrainPhase.CALLS and self._gate.close_if_idle():
                self._membership.refresh_own(state=RunState.STOPPED)
                self._phase = DrainPhase.DONE
                event(_log, "drain-done")
            return self._phase
