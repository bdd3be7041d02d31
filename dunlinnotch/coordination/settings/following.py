"""Follow one table of the store while this box is one of its readers."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.store import HistoryGone

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dunlinnotch.coordination.membership.mesh import Mesh
    from dunlinnotch.protocol.store import TableSource
    from dunlinnotch.state.followed import FollowedTable, TableDelta
    from dunlinnotch.types import Seconds

#: How long a follow-up call waits for a change, by the lead reader and by others, in
#: seconds: shorter than knowledge takes to be stale, so that a place needs no other.
WAIT_LEAD_S = 1.0
WAIT_S = 1.5
#: Time beyond the wait after which a follow-up call counts as hung, in seconds.
_SLACK_S = 0.6
#: A follow-up call is made anew if a peer knows more for this long, in seconds.
_BEHIND_S = 0.25
#: Time between two looks whether this box is to read, in seconds.
_LOOK_S = 0.2
#: Pause of a reader that is not the lead after an answer that told something, in seconds.
_AFTER_NEWS_S = 0.4
#: Pause after a call that failed, in seconds: first and longest.
_PAUSE_S = (0.1, 0.8)
#: Time between two tries of the boxes of a place that all lack the store, in seconds: each
#: of them waits so long for each of the others, so that calls do not grow with the boxes.
_PAUSE_SHARED_S = 0.4
#: An answer is taken to hold from so long before it came, in seconds.
_ANSWER_AGE_S = 0.3

_log = logging.getLogger(__name__)


class TableFollower:
    """Read one table and its changes, in a task of its own.

    Parameters
    ----------
    table : FollowedTable
    source : TableSource
    mesh : Mesh
    on_answer : callable
        Called after each answer, with whether it changed the table.
    rng : random.Random
    """

    def __init__(
        self,
        table: FollowedTable,
        source: TableSource,
        mesh: Mesh,
        *,
        on_answer: Callable[[bool], None],
        rng: random.Random,
    ) -> None:
        self._table = table
        self._source = source
        self._mesh = mesh
        self._on_answer = on_answer
        self._rng = rng
        self._asked_after = (0, 0)
        self._detail = ""
        self._call: asyncio.Task[bool] | None = None
        self._loop = asyncio.get_running_loop()
        self._failures = 0
        self._was_away = False
        self.failing = False

    async def run(self) -> None:
        """Follow the table whenever this box is to."""
        while True:
            if not self._mesh.is_reader():
                await asyncio.sleep(_LOOK_S)
                continue
            before = self._table.changed
            if await self._turn():
                self._well()
                if self._table.changed > before and not self._mesh.is_primary_reader():
                    # The lead tells the next change; a call for each would cost the store.
                    await asyncio.sleep(_AFTER_NEWS_S)
            else:
                self._failed()
                await asyncio.sleep(self._pause() * (0.7 + 0.6 * self._rng.random()))

    def _pause(self) -> Seconds:
        """Return the time to wait after a failed call."""
        first, longest = _PAUSE_S
        if not self._mesh.is_follower():
            longest = max(longest, _PAUSE_SHARED_S * self._mesh.local_live_count())
        return min(longest, float(first * 2 ** min(8, self._failures)))

    def look_again(self) -> None:
        """Make the follow-up call anew if it does not tell soon what a peer has told."""
        if self._call is not None and not self._call.done():
            self._loop.call_later(_BEHIND_S, self._break_off, self._call)

    def _break_off(self, call: asyncio.Task[bool]) -> None:
        known = (self._table.era, self._table.changed)
        if self._call is call and not call.done() and self._asked_after < known:
            call.cancel()

    async def _turn(self) -> bool:
        self._asked_after = (self._table.era, self._table.version)
        self._call = self._loop.create_task(self._read())
        try:
            return await self._call
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            self._detail = "a peer knew more than a follow-up call told"
            event(_log, "follow-up-call-hung", table=self._table.name, after=self._asked_after[1])
            return False
        finally:
            self._call.cancel()

    async def _read(self) -> bool:
        """Make one call; return whether a usable answer came."""
        table = self._table
        known = (table.era, table.version)
        sent = self._loop.time()
        try:
            # A store that was away may have come back from a copy, which only a whole
            # reading shows once its versions have grown past the one known here.
            delta = await self._changes() if table.known and not self._was_away else None
            if delta is None:
                sent = self._loop.time()
                delta = await self._source.read_table(table.name)
        except (PlatformUnavailableError, TimeoutError) as error:
            self._detail = str(error) or type(error).__name__
            self._was_away = True
            return False
        self._was_away = False
        if delta.era is None and delta.version < known[1]:
            self._note_older(delta)
            # Versions rise within an era, so this is a new one, told or not.
            delta = replace(delta, era=known[0] + 1)
        elif delta.era is not None and (delta.era, delta.version) < known:
            # Asked again at once, it would tell the same: a storm of readings.
            self._note_older(delta)
            return False
        at = max(sent, self._loop.time() - _ANSWER_AGE_S)
        self._on_answer(table.take(delta, at=at))
        return True

    async def _changes(self) -> TableDelta | None:
        """Return what changed since the last answer; None if the table must be read whole."""
        table = self._table
        era, after = table.era, table.version
        wait = WAIT_LEAD_S if self._mesh.is_primary_reader() else WAIT_S
        async with asyncio.timeout(wait + _SLACK_S):
            changes = await self._source.changes(table.name, after, wait)
        if isinstance(changes, HistoryGone):
            event(_log, "history-gone", table=table.name, era=era, after=after)
            return None
        if changes.era not in (None, era):
            # Versions up to ``after`` have been given out again, and were not told.
            event(_log, "store-back", table=table.name, era=changes.era, before=era, after=after)
            return None
        return changes

    def _note_older(self, delta: TableDelta) -> None:
        """Log that the store holds less than this box knew when it asked."""
        table = self._table
        self._detail = f"the store tells version {delta.version} of era {delta.era}"
        event(
            _log,
            "store-behind",
            level=logging.WARNING,
            table=delta.table,
            told=[delta.era, delta.version],
            known=[table.era, table.version],
        )

    def _well(self) -> None:
        if self.failing:
            self.failing = False
            event(_log, "store-regained", table=self._table.name, failures=self._failures)
        self._failures = 0

    def _failed(self) -> None:
        self._failures += 1
        if not self.failing:
            self.failing = True
            event(
                _log,
                "store-lost",
                level=logging.WARNING,
                table=self._table.name,
                detail=self._detail,
                version=self._table.version,
            )
