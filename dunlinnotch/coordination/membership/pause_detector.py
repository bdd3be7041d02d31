"""Detect that this box was paused, and delay its work until its view is current again."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from dunlinnotch._logs import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.types import Clock, Seconds

#: Time between two checks above which the box counts as paused, in seconds: ten times the
#: usual interval, and under a quarter of the age at which tables are stale.
PAUSE_THRESHOLD_S = 0.5
#: Time after which a resumed box works by an outdated view, in seconds: an unavailable store
#: or peers must not stop a box.  Long enough for two heartbeats of each peer.
CATCH_UP_TIMEOUT_S = 1.0

_log = logging.getLogger(__name__)


class PauseDetector:
    """Detects pauses of the process, such as a suspension of its machine.

    Parameters
    ----------
    clock : callable
        Returns seconds; it must count the time of a suspension.
    outdated : callable
        Returns whether the box's view is older than it ever is in normal operation.
    """

    def __init__(self, *, clock: Clock, outdated: Callable[[], bool]) -> None:
        self._clock = clock
        self._outdated = outdated
        self._checked_at = clock()
        self._catch_up_until: Seconds = 0.0

    def check(self) -> bool:
        """Detect a pause since the last check; called many times a second.

        Returns
        -------
        bool
            Whether the box has just resumed with an outdated view, and should request
            updates from its peers.
        """
        now = self._clock()
        paused = now - self._checked_at
        self._checked_at = now
        if paused <= PAUSE_THRESHOLD_S:
            return False
        self._catch_up_until = now + CATCH_UP_TIMEOUT_S
        outdated = self._outdated()
        event(_log, "stood-still", still_s=round(paused, 2), outdated=outdated)
        return outdated

    @property
    def catching_up(self) -> bool:
        """Whether the box has resumed after a pause and its view is still outdated.

        Notes
        -----
        Requests that arrived during a pause are handled before the next :meth:`check`, so
        the time since the last check counts too.
        """
        now = self._clock()
        just_resumed = now < self._catch_up_until or now - self._checked_at > PAUSE_THRESHOLD_S
        return just_resumed and self._outdated()
