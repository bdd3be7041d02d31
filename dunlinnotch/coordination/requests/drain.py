"""A planned stop of a box that cuts off no request.

The box goes on serving until the longest address answer that named it has
lapsed, and only then closes connections between requests.
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
    """The caller port, as far as a drain needs it."""

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
        Set while a drain is under way; :meth:`advance` is then to be called
        every few dozen milliseconds.
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
        """How far the drain has come."""
        return self._phase

    def status(self) -> DrainStatus:
        """Return what the drain waits for."""
        left = max(0.0, self._answers_until - self._clock())
        return DrainStatus(self._phase, round(left, 1), self._gate.in_flight)

    def start(self, *, max_answer_lifetime: Seconds) -> None:
        """Begin to drain, unless a drain is under way.

        Parameters
        ----------
        max_answer_lifetime : float
            Seconds for which a caller may still come with an answer that
            names this box.
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
        """Call the drain off, if the box still serves."""
        with self._lock:
            if self._phase is not DrainPhase.ANSWERS:
                return
            self._phase = DrainPhase.NONE
            self.begun.clear()
            self._membership.refresh_own(state=RunState.RUNNING)
        event(_log, "drain-called-off")

    def advance(self) -> DrainPhase:
        """Go on to the next phase if nothing is left to wait for; return the phase."""
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
