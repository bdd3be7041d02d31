"""What boxes tell each other: short messages by datagram, tables by stream.

A message is one msgpack list, a box's word or what was seen of one request under
which targets ended; a datagram holds one or a few.  A table is asked for
over a stream: one msgpack map each way.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgpack

from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.crashes import CRASHES_FORMAT, CrashReport, pack_crashes, read_crashes
from dunlinnotch.state.table_replica import TableDelta, TableRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dunlinnotch.types import Seconds

#: Words of another release, or of nobody, are not taken.
_FORMAT = 6
_WORD_FIELDS = 13
#: Bytes of words put into one datagram: it is not to be cut on its way.
_DATAGRAM_MOST = 1200


@dataclass(frozen=True, slots=True)
class TableState:
    """How far a box knows a table.

    Parameters
    ----------
    version, changed : int
        It is known completely up to ``version``, and no row changed since ``changed``.
    age_ms : int
        Milliseconds since it was known to be all; -1 if it never was.
    era : int, default 0
        The era of the store to which the versions belong.
    """

    version: int
    changed: int
    age_ms: int
    era: int = 0


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a box says of itself.

    Parameters
    ----------
    name, place : str
    incarnation : int
        Grows with each start of the box.
    seq : int
        Grows with each word of one start.
    caller, peer : str
        Where callers and peers connect.
    state : str
        ``starting``, ``running`` or ``draining``.
    reading : bool
        Whether its reads of the store succeed.
    follows : bool
        Whether it is the box of its place that follows the store.
    in_flight : int
    box_counts : dict of str to int
        The most boxes of each place that the sender knows to have been at once.
    tables : dict of str to TableState
    reply_requested : bool
        Whether the sender wants to hear the receiver's word now.
    crash_digest : int or None
        The digest of its evidence on requests that end targets; ``None`` while it does
        not know what others saw.
    """

    name: str
    place: str
    incarnation: int
    seq: int
    caller: str
    peer: str
    state: str
    reading: bool
    follows: bool
    in_flight: int
    box_counts: dict[str, int]
    tables: dict[str, TableState]
    reply_requested: bool = False
    crash_digest: int | None = None

    @property
    def recency(self) -> tuple[int, int]:
        """Order of a box's words: the larger one is newer."""
        return (self.incarnation, self.seq)

    def aged(self, by: Seconds) -> Heartbeat:
        """Return the word as it is to be told on ``by`` seconds after it was heard."""
        tables = {
            name: state
            if state.age_ms < 0
            else replace(state, age_ms=state.age_ms + int(by * 1000))
            for name, state in self.tables.items()
        }
        return replace(self, tables=tables, reply_requested=False)


def pack_messages(messages: Iterable[Heartbeat | CrashReport]) -> Iterator[bytes]:
    """Return messages in as few datagrams as hold them."""
    datagram = b""
    for message in messages:
        packed = pack_word(message) if isinstance(message, Heartbeat) else pack_crashes(message)
        if datagram and len(datagram) + len(packed) > _DATAGRAM_MOST:
            yield datagram
            datagram = b""
        datagram += packed
    if datagram:
        yield datagram


def pack_word(word: Heartbeat) -> bytes:
    """Return a word as bytes; those of several words may follow each other."""
    tables = {n: [t.version, t.changed, t.age_ms, t.era] for n, t in word.tables.items()}
    fields = [
        _FORMAT,
        word.name,
        word.place,
        word.incarnation,
        word.seq,
        word.caller,
        word.peer,
        word.state,
        [word.reading, word.follows, word.reply_requested],
        word.in_flight,
        tables,
        word.box_counts,
        word.crash_digest,
    ]
    packed: bytes = msgpack.packb(fields)
    return packed


def unpack_messages(data: bytes) -> list[Heartbeat | CrashReport]:
    """Return the messages in a datagram.

    Raises
    ------
    ProtocolError
        If it holds anything else.
    """
    unpacker = msgpack.Unpacker()
    unpacker.feed(data)
    try:
        messages = [_read_message(fields) for fields in unpacker]
        whole = unpacker.tell() == len(data)
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as error:
        msg = f"no message: {error}"
        raise ProtocolError(msg) from None
    if not messages or not whole:
        msg = f"no whole messages in {len(data)} bytes"
        raise ProtocolError(msg)
    return messages


def _read_message(fields: Any) -> Heartbeat | CrashReport:  # noqa: ANN401 - checked here
    if isinstance(fields, list) and fields and fields[0] == CRASHES_FORMAT:
        return read_crashes(fields)
    return _read_word(fields)


def _read_word(fields: Any) -> Heartbeat:  # noqa: ANN401 - checked here
    if not isinstance(fields, list) or len(fields) < _WORD_FIELDS or fields[0] != _FORMAT:
        msg = f"no word of format {_FORMAT}"
        raise ProtocolError(msg)
    reading, follows, wants = fields[8]
    return Heartbeat(
        name=str(fields[1]),
        place=str(fields[2]),
        incarnation=int(fields[3]),
        seq=int(fields[4]),
        caller=str(fields[5]),
        peer=str(fields[6]),
        state=str(fields[7]),
        reading=bool(reading),
        follows=bool(follows),
        in_flight=int(fields[9]),
        box_counts={str(place): int(count) for place, count in fields[11].items()},
        tables={str(n): TableState(*map(int, state)) for n, state in fields[10].items()},
        reply_requested=bool(wants),
        crash_digest=None if fields[12] is None else int(fields[12]),
    )


def pack_delta(delta: TableDelta, *, age_ms: int) -> dict[str, Any]:
    """Return a table's changes as plain data."""
    rows = [[row.key, row.version, row.value] for row in delta.rows]
    plain = {"t": delta.table, "v": delta.version, "w": delta.is_snapshot, "r": rows, "a": age_ms}
    return {**plain, "c": delta.changed, "e": delta.epoch}


def unpack_delta(plain: Any) -> tuple[TableDelta, int]:  # noqa: ANN401 - checked here
    """Return a table's changes and their age in milliseconds.

    Raises
    ------
    ProtocolError
    """
    try:
        rows = tuple(TableRow(str(k), int(v), _value(value)) for k, v, value in plain["r"])
        changed = int(plain["c"])
        era = None if plain["e"] is None else int(plain["e"])
        delta = TableDelta(str(plain["t"]), int(plain["v"]), bool(plain["w"]), rows, changed, era)
        return delta, int(plain["a"])
    except (KeyError, ValueError, TypeError) as error:
        msg = f"no table: {error!r}"
        raise ProtocolError(msg) from None


def _value(plain: Any) -> bytes | None:  # noqa: ANN401 - checked here
    if plain is None or isinstance(plain, bytes):
        return plain
    msg = f"a row's value is {type(plain).__name__}; bytes are needed"
    raise TypeError(msg)
