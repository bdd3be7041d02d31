"""Accept or refuse new calls at this box."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from dunlinnotch.protocol.outcome import CallResult, Outcome, Reason
from dunlinnotch.state.schema import RunState

if TYPE_CHECKING:
    from dunlinnotch.coordination.membership.rows import Membership
    from dunlinnotch.coordination.settings.tree import SettingsHolder
    from dunlinnotch.types import Clock

_RETRY_AFTER_S = 1.0
_UNAVAILABLE = 503


class WorkGate:
    """Accept or refuse new calls, and count those in flight.

    Calls are refused while no settings are known, while the box is out of contact with
    table and peers, and after a drain.

    Parameters
    ----------
    membership : Membership
    holder : SettingsHolder
    clock : callable

    Attributes
    ----------
    closed : bool
        Whether all new calls are refused.
    """

    def __init__(self, membership: Membership, holder: SettingsHolder, *, clock: Clock) -> None:
        self._membership = membership
        self._holder = holder
        self._clock = clock
        self._lock = threading.Lock()
        self._in_flight = 0
        self.closed = False

    @property
    def in_flight(self) -> int:
        """Number of calls accepted and not yet completed."""
        return self._in_flight

    def enter(self) -> CallResult | None:
        """Accept and count a call, or return its refusal."""
        with self._lock:
            refusal = self.refusal()
            if refusal is None:
                self._in_flight += 1
            return refusal

    def leave(self) -> None:
        """Count a call as completed."""
        with self._lock:
            self._in_flight -= 1

    def close_if_idle(self) -> bool:
        """Refuse new calls from now on if none is in flight; return whether closed."""
        with self._lock:
            self.closed = self.closed or self._in_flight == 0
            return self.closed

    def refusal(self) -> CallResult | None:
        """Return the refusal of new calls, or None if they are accepted."""
        if self.closed or self._membership.own.state is RunState.STOPPED:
            return _refused(Reason.BOX_DRAINED, "this box has been drained")
        if self._holder.version == 0:
            return _refused(Reason.NO_SETTINGS, "no settings are known yet")
        cut_off = self._holder.tree.effective(self._membership.own.place).cut_off_s
        contact = self._membership.last_contact()
        if contact is None or self._clock() - contact > cut_off:
            return _refused(Reason.CUT_OFF, f"no contact with table or peers for {cut_off} s")
        return None


def _refused(reason: Reason, detail: str) -> CallResult:
    return CallResult(Outcome.NOT_RUN, _UNAVAILABLE, reason, detail, _RETRY_AFTER_S)
