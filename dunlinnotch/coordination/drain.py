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
    from dunlinnotch.coordination.gate import WorkGate
    from dunlinnotch.coordination.membership import Membership
    from dunlinnotch.types import Clock, Seconds

#: How often the drain looks whether it was called off, in seconds.
_LOOK_S = 0.05

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
        self._resume = threading.Event()
        self.done = threading.Event()

    @property
    def phase(self) -> DrainPhase:
        """How far the drain has come."""
        return self._phase

    def status(self) -> DrainStatus:
        """Return what the drain waits for."""
        left = max(0.0, self._answers_until - self._clock())
        return DrainStatus(self._phase, round(left, 1), self._gate.in_flight)

    def start(self, *, longest_answer: Seconds) -> None:
        """Begin to drain, unless a drain is under way.

        Parameters
        ----------
        longest_answer : float
            Seconds for which an answer that names this box may be kept,
            counted from when all peers know of the drain.
        """
        if self._phase is not DrainPhase.NONE:
            return
        self._resume.clear()
        self._phase = DrainPhase.ANSWERS
        self._answers_until = self._clock() + longest_answer
        self._membership.refresh_own(state=RunState.DRAINING)
        event(_log, "drain-started", answers_s=longest_answer, calls=self._gate.in_flight)
        threading.Thread(target=self._run, name="drain", daemon=True).start()

    def resume(self) -> None:
        """Call the drain off while the box still serves."""
        self._resume.set()

    def _run(self) -> None:
        while self._clock() < self._answers_until:
            if self._resume.wait(_LOOK_S):
                self._phase = DrainPhase.NONE
                self._membership.refresh_own(state=RunState.RUNNING)
                event(_log, "drain-called-off")
                return
        self._phase = DrainPhase.CALLS
        self._front.closing = True
        event(_log, "drain-answers-lapsed", calls=self._gate.in_flight)
        while not self._gate.close_if_idle():
            self._gate.wait_idle(_LOOK_S)
        self._membership.refresh_own(state=RunState.STOPPED)
        self._phase = DrainPhase.DONE
        event(_log, "drain-done")
        self.done.set()
