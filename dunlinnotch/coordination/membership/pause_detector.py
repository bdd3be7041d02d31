"""Tell whether this box has just gone on after it stood still."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from dunlinnotch._logs import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.types import Clock, Seconds

#: A box that did not look after itself for so long stood still, in seconds: ten times its
#: usual pause, and under a quarter of the age at which its knowledge is too old.
PAUSE_THRESHOLD_S = 0.5
#: A box that goes on waits at most so long for its knowledge to be renewed, in seconds: two
#: words of each peer.  Then the store or the peers are away, which stops no box.
CATCH_UP_TIMEOUT_S = 1.0

_log = logging.getLogger(__name__)


class PauseDetector:
    """Judge whether the box may act on what it knew before it stood still.

    Parameters
    ----------
    clock : callable
        Goes on while the box is suspended.
    outdated : callable
        Returns whether what the box knows is older than it ever is while the box runs.
    """

    def __init__(self, *, clock: Clock, outdated: Callable[[], bool]) -> None:
        self._clock = clock
        self._outdated = outdated
        self._looked_at = clock()
        self._until: Seconds = 0.0

    def check(self) -> bool:
        """Note that the box looks after itself, which it does many times a second.

        Returns
        -------
        bool
            Whether it has just gone on and should ask its peers what has changed.
        """
        now = self._clock()
        still = now - self._looked_at
        self._looked_at = now
        if still <= PAUSE_THRESHOLD_S:
            return False
        self._until = now + CATCH_UP_TIMEOUT_S
        outdated = self._outdated()
        event(_log, "stood-still", still_s=round(still, 2), outdated=outdated)
        return outdated

    @property
    def catching_up(self) -> bool:
        """Whether the box has stood still and does not know yet what has changed.

        Notes
        -----
        Requests that came meanwhile are taken before the box looks after itself, so the
        time since the last look counts too.
        """
        now = self._clock()
        just_woke = now < self._until or now - self._looked_at > PAUSE_THRESHOLD_S
        return just_woke and self._outdated()
