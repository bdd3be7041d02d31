"""Connections to targets on urllib3, each with what has been sent on it."""

from __future__ import annotations

import select
import threading
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dunlinnotch._addresses import split_address
from dunlinnotch.transport.limited_answers import OpenEndedConnection
from dunlinnotch.transport.sends import Sends

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.types import Address, Clock, Seconds

#: Time after which an idle connection is closed, before the target may close it, in seconds.
IDLE_TIMEOUT_S = 15.0
#: Timeout for opening a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0


class TargetConnection(OpenEndedConnection):
    """A connection to a target, and what has been sent on it."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, timeout=CONNECT_TIMEOUT_S)
        self.sends = Sends()


@dataclass(slots=True)
class _IdleConnection:
    """A connection available for reuse, and the time since which it has been idle."""

    conn: TargetConnection
    idle_since: Seconds


class ConnectionPools:
    """Connections to targets, limited for each target.

    Parameters
    ----------
    limit : callable
        Given a target, returns the maximum number of connections of this box to
        it: the share of this box in the connections that the target accepts.
    clock : callable

    Notes
    -----
    Thread-safe.  The most recently used connection is reused first.
    """

    def __init__(self, *, limit: Callable[[Address], int], clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[Address, deque[_IdleConnection]] = {}
        self._open_counts: dict[Address, int] = {}

    def acquire(self, target: Address, key: str, *, fresh: bool) -> TargetConnection | None:
        """Return an idle connection, or a new one that is not connected yet.

        Parameters
        ----------
        target : str
        key : str
            What the answer will name; the connection has not carried it before.
        fresh : bool
            Whether to return a new connection rather than an idle one.

        Returns
        -------
        TargetConnection or None
            ``None`` if all connections allowed to the target are in use.
        """
        if not fresh:
            while (idle := self._pop_idle(target, key)) is not None:
                if self._is_usable(idle):
                    return idle.conn
                self.discard(target, idle.conn)
        with self._lock:
            at_limit = self._open_counts.get(target, 0) >= self._limit(target)
        if at_limit and (idle := self._pop_idle(target)) is not None:
            self.discard(target, idle.conn)
        with self._lock:
            if self._open_counts.get(target, 0) >= self._limit(target):
                return None
            self._open_counts[target] = self._open_counts.get(target, 0) + 1
        address = split_address(target)
        return TargetConnection(address.host, address.port)

    def release(self, target: Address, conn: TargetConnection) -> None:
        """Keep a connection for reuse; its last answer must have been read completely."""
        with self._lock:
            self._idle.setdefault(target, deque()).append(_IdleConnection(conn, self._clock()))

    def discard(self, target: Address, conn: TargetConnection) -> None:
        """Close a connection and remove it from the pool."""
        conn.close()
        conn.close_reader()
        with self._lock:
            self._open_counts[target] -= 1

    def open_connections(self, target: Address) -> int:
        """Return the number of connections to a target, in use or idle."""
        with self._lock:
            return self._open_counts.get(target, 0)

    def _pop_idle(self, target: Address, key: str | None = None) -> _IdleConnection | None:
        """Remove the idle connection used last; if there is a key, one that admits it."""
        with self._lock:
            idle = self._idle.get(target, deque())
            for entry in reversed(idle):
                if key is None or entry.conn.sends.admits(key):
                    idle.remove(entry)
                    return entry
            return None

    def _is_usable(self, idle: _IdleConnection) -> bool:
        """Return whether an idle connection is recent and has received neither bytes nor EOF."""
        if self._clock() - idle.idle_since > IDLE_TIMEOUT_S or idle.conn.sock is None:
            return False
        poller = select.poll()
        poller.register(idle.conn.sock, select.POLLIN)
        return not poller.poll(0)
