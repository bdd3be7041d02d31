"""Follow one table of the store while this box is a reader of its place."""

from __future__ import annotations

import asyncio
import logging
import math
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
    from dunlinnotch.state.table_replica import TableDelta, TableReplica
    from dunlinnotch.types import Seconds

#: Long-poll timeouts of the primary reader and of the others.  They are shorter than the age
#: at which a table counts as stale, so that one reader of a place suffices.
PRIMARY_POLL_TIMEOUT_S = 1.0
POLL_TIMEOUT_S = 1.5
#: Time beyond the long-poll timeout after which a call counts as hung.
_HUNG_MARGIN_S = 0.6
#: Time that a call may lag behind what a peer reported before it is restarted.
_BEHIND_GRACE_S = 0.25
_ROLE_CHECK_INTERVAL_S = 0.2
#: Delay of readers other than the primary one after an answer with a change.
_AFTER_CHANGE_DELAY_S = 0.4
#: First and maximum delay after failed calls.
_RETRY_DELAYS_S = (0.1, 0.8)
#: Doublings of the first delay: enough for thousands of boxes in a place, and no overflow.
_MAX_DOUBLINGS = 16
#: Mean interval between the attempts of all boxes of a place together while none reaches the
#: store.  Each box waits this interval times the number of live boxes of its place, so that
#: the rate of calls does not grow with that number.
_SHARED_RETRY_DELAY_S = 0.4
#: Limit of the age that an answer is assumed to have on arrival.  The answer to a long poll is
#: as current as its end, not as its start.
_MAX_ANSWER_AGE_S = 0.3

_log = logging.getLogger(__name__)


class TableFollower:
    """Read one table and its changes from the store, in a separate task.

    Parameters
    ----------
    table : TableReplica
    source : TableSource
    mesh : Mesh
    on_answer : callable
        Called after each answer, with whether it changed the table.
    rng : random.Random

    Attributes
    ----------
    failing : bool
        Whether the last call failed or returned an older version.
    """

    def __init__(
        self,
        table: TableReplica,
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
        self._requested_from = (0, 0)
        self._failure_detail = ""
        self._poll_task: asyncio.Task[bool] | None = None
        self._loop = asyncio.get_running_loop()
        self._failures = 0
        self._was_unavailable = False
        self.failing = False

    async def run(self) -> None:
        """Follow the table while this box is a reader; runs until cancelled."""
        while True:
            if not self._mesh.is_reader():
                await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)
                continue
            before = self._table.changed
            if await self._poll_once():
                self._record_success()
                if self._table.changed > before and not self._mesh.is_primary_reader():
                    # The primary reader reports the next change, which spares the store calls.
                    await asyncio.sleep(_AFTER_CHANGE_DELAY_S)
            else:
                self._record_failure()
                await asyncio.sleep(self._retry_delay() * (0.7 + 0.6 * self._rng.random()))

    def _retry_delay(self) -> Seconds:
        """Return the seconds to wait after a failed call, before jitter.

        Notes
        -----
        Bounds the calls of all boxes to a store that is away: the mean rate of one place is one
        call in ``_SHARED_RETRY_DELAY_S``, however many boxes it has.  A box that has just
        started, or that hears of no other, makes a few more calls until its delay has doubled
        to its part; starts are spread over ``START_DELAY_RANGE_S`` and are seconds apart.
        """
        first_delay, max_delay = _RETRY_DELAYS_S
        if not self._mesh.is_follower():
            max_delay = max(max_delay, _SHARED_RETRY_DELAY_S * self._mesh.local_live_count())
        return min(max_delay, math.ldexp(first_delay, min(_MAX_DOUBLINGS, self._failures)))

    def restart_if_behind(self) -> None:
        """Restart the call in progress unless it soon returns what a peer has reported."""
        if self._poll_task is not None and not self._poll_task.done():
            self._loop.call_later(_BEHIND_GRACE_S, self._cancel_if_behind, self._poll_task)

    def _cancel_if_behind(self, call: asyncio.Task[bool]) -> None:
        local_position = (self._table.epoch, self._table.changed)
        if self._poll_task is call and not call.done() and self._requested_from < local_position:
            call.cancel()

    async def _poll_once(self) -> bool:
        self._requested_from = (self._table.epoch, self._table.version)
        self._poll_task = self._loop.create_task(self._fetch())
        try:
            return await self._poll_task
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            self._failure_detail = "a peer has a newer version than the call in progress returned"
            event(
                _log, "follow-up-call-hung", table=self._table.name, after=self._requested_from[1]
            )
            return False
        finally:
            self._poll_task.cancel()

    async def _fetch(self) -> bool:
        """Make one call; return whether it gave a usable answer."""
        table = self._table
        local_position = (table.epoch, table.version)
        sent = self._loop.time()
        try:
            # The store may have been restored from a backup during an outage.  Once its
            # versions exceed the one held here, only a full snapshot shows that.
            delta = (
                await self._fetch_changes() if table.loaded and not self._was_unavailable else None
            )
            if delta is None:
                sent = self._loop.time()
                delta = await self._source.read_table(table.name)
        except (PlatformUnavailableError, TimeoutError) as error:
            self._failure_detail = str(error) or type(error).__name__
            self._was_unavailable = True
            return False
        self._was_unavailable = False
        if delta.epoch is None and delta.version < local_position[1]:
            self._log_older_answer(delta)
            # Versions only rise within an epoch, so a lower one means a new epoch, also if
            # the store states none.
            delta = replace(delta, epoch=local_position[0] + 1)
        elif delta.epoch is not None and (delta.epoch, delta.version) < local_position:
            # An immediate retry would get the same answer and flood the store with reads.
            self._log_older_answer(delta)
            return False
        at = max(sent, self._loop.time() - _MAX_ANSWER_AGE_S)
        self._on_answer(table.apply(delta, at=at))
        return True

    async def _fetch_changes(self) -> TableDelta | None:
        """Return the changes since the last answer; None if a full snapshot is needed."""
        table = self._table
        epoch, after = table.epoch, table.version
        wait = PRIMARY_POLL_TIMEOUT_S if self._mesh.is_primary_reader() else POLL_TIMEOUT_S
        async with asyncio.timeout(wait + _HUNG_MARGIN_S):
            changes = await self._source.changes(table.name, after, wait)
        if isinstance(changes, HistoryGone):
            event(_log, "history-gone", table=table.name, era=epoch, after=after)
            return None
        if changes.epoch not in (None, epoch):
            # The new epoch reuses versions up to ``after``, and their rows were not returned.
            event(
                _log, "store-back", table=table.name, era=changes.epoch, before=epoch, after=after
            )
            return None
        return changes

    def _log_older_answer(self, delta: TableDelta) -> None:
        """Log that the store returned an older version than this box holds."""
        table = self._table
        self._failure_detail = (
            f"the store returned version {delta.version} of epoch {delta.epoch}, "
            "older than the local copy"
        )
        event(
            _log,
            "store-behind",
            level=logging.WARNING,
            table=delta.table,
            told=[delta.epoch, delta.version],
            known=[table.epoch, table.version],
        )

    def _record_success(self) -> None:
        if self.failing:
            self.failing = False
            event(_log, "store-regained", table=self._table.name, failures=self._failures)
        self._failures = 0

    def _record_failure(self) -> None:
        self._failures += 1
        if not self.failing:
            self.failing = True
            event(
                _log,
                "store-lost",
                level=logging.WARNING,
                table=self._table.name,
                detail=self._failure_detail,
                version=self._table.version,
            )
