"""Which send on a connection an answer belongs to.

A target, or whatever a connection leads to, may send an answer twice, the second time at any
later moment: while the connection carries the next send.  No time and no order tells the second
answer from that to the next send.  Only what the answer itself names does, and only if that was
sent a single time on the connection.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

__all__ = ["UNNAMED", "Sends", "SendOwner"]

#: Key of sends whose answers name nothing, and what such answers name.
UNNAMED: Final = ""
#: Maximum number of different sends on one connection; bounds the memory for their keys.
_MAX_SENDS = 256


class SendOwner(Enum):
    """The send that an answer belongs to."""

    #: The last one, which waits for its answer.
    CURRENT = auto()
    #: Another one; the answer to the last may follow.
    OTHER = auto()
    #: This can't be known, so the answer proves nothing about any send.
    UNKNOWN = auto()


class Sends:
    """Everything sent on one connection, by the key that the answers name.

    Attributes
    ----------
    current : str or None
        Key of the last send; ``None`` before the first.

    Notes
    -----
    A key goes out once on a connection: :meth:`admits` must be asked before each send.  An
    exception is a send whose answer may be that of an earlier send with the same key without
    harm.  Keys are kept as hashes; two that collide cost a new connection.
    """

    __slots__ = ("_keys", "current")

    def __init__(self) -> None:
        self.current: str | None = None
        self._keys: set[int] = set()

    def admits(self, key: str) -> bool:
        """Return whether an answer that names ``key`` would belong to the next send only."""
        return not self.exhausted and not self.has_carried(key)

    @property
    def exhausted(self) -> bool:
        """Whether the connection may carry no further send."""
        return len(self._keys) >= _MAX_SENDS

    def has_carried(self, key: str) -> bool:
        """Return whether a send with the key went out on the connection."""
        return hash(key) in self._keys

    def begin(self, key: str) -> None:
        """Record the next send.

        Parameters
        ----------
        key : str
            What its answer is expected to name.
        """
        self.current = key
        self._keys.add(hash(key))

    def owner(self, named: str | None) -> SendOwner:
        """Return the send that an answer belongs to.

        Parameters
        ----------
        named : str or None
            What the answer names; ``None`` if it names nothing and can't be the answer to a
            send with the key :data:`UNNAMED` either.

        Notes
        -----
        An answer that names nothing belongs to the only send of a connection that has had no
        other.
        """
        if named is not None and named == self.current:
            return SendOwner.CURRENT
        if named is not None and (named != UNNAMED or self.has_carried(UNNAMED)):
            return SendOwner.OTHER
        return SendOwner.CURRENT if len(self._keys) == 1 else SendOwner.UNKNOWN
