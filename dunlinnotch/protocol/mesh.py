"""Messages between boxes: heartbeats and crash reports by datagram, tables by stream.

Each heartbeat or crash report is one msgpack list; a datagram holds one or more of
them.  A table is requested over a stream, with one msgpack map each way.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import msgpack

from dunlinnotch._addresses import MAX_PORT, is_ipv4_address
from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.crashes import CRASHES_FORMAT, CrashReport, pack_crashes, read_crashes
from dunlinnotch.state.table_replica import TableDelta, TableRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dunlinnotch.types import Address, Seconds

#: Format of a heartbeat; those of another format are rejected.
_HEARTBEAT_FORMAT = 6
_HEARTBEAT_FIELDS = 13
#: Position of the optional field that boxes of earlier versions neither send nor read.
_FORWARDING_FIELD = 13
#: Largest size of a datagram with more than one message, so that it is not fragmented.
_MAX_DATAGRAM_BYTES = 1200
#: Largest integer in a heartbeat: msgpack holds 64 bits, and boxes add to what they hear.
_MAX_INTEGER = 2**62
#: Limit that rejects implausible numbers of boxes in a place: the number divides what all
#: boxes share, and never falls while a box runs.
_MAX_BOXES = 10_000
#: Largest size of a message: what one datagram over IPv4 can hold.
_MAX_MESSAGE_BYTES = 65_507
#: Largest size of all unreached services in a heartbeat; the rest has room beside it.
_MAX_UNREACHED_BYTES = 32_768
#: Bytes that msgpack adds to a name, at most.
_NAME_OVERHEAD_BYTES = 5


@dataclass(frozen=True, slots=True)
class TableState:
    """Version and age of a box's copy of a table.

    Parameters
    ----------
    version, changed : int
        The copy is complete up to ``version``; its last row changed at ``changed``.
    age_ms : int
        Milliseconds since the copy was known to be current; -1 if it never was.
    epoch : int, default 0
        Epoch of the store that the versions belong to.
    """

    version: int
    changed: int
    age_ms: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ForwardingState:
    """How a box takes requests from peers, and the services that it can't take any for.

    Parameters
    ----------
    port : int
        Port for requests of peers, at the IP address of its peer address.
    key : bytes
        Must accompany each request; drawn anew at each start of the box.
    unreached : tuple of str
        Services whose targets the box can't reach.
    """

    port: int
    key: bytes
    unreached: tuple[str, ...] = ()


def services_that_fit(services: Iterable[str]) -> tuple[str, ...]:
    """Return the services that a heartbeat can hold as unreached, sorted.

    Notes
    -----
    A peer that is not told of a service learns from the refusal of a request.
    """
    fitting = []
    left_bytes = _MAX_UNREACHED_BYTES
    for service in sorted(services):
        size = len(service.encode()) + _NAME_OVERHEAD_BYTES
        if size <= left_bytes:
            fitting.append(service)
            left_bytes -= size
    return tuple(fitting)


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State of a box that it sends to its peers.

    Parameters
    ----------
    name, place : str
    incarnation : int
        Larger for each later start of the box.
    seq : int
        Larger for each later heartbeat of one start.
    caller, peer : str
        Addresses at which the box serves callers and peers.
    state : str
        ``starting``, ``running`` or ``draining``.
    reading : bool
        Whether its reads of the store succeed.
    follows : bool
        Whether it is the box of its place that follows the store.
    in_flight : int
        Requests in flight at the box.
    box_counts : dict of str to int
        Largest number of boxes at once that the sender knows of, by place.
    tables : dict of str to TableState
    reply_requested : bool
        Whether the receiver is to reply with its own heartbeat at once.
    crash_digest : int or None
        Digest of the sender's crash records; ``None`` until it has those of its peers.
    forwarding : ForwardingState or None
        ``None`` if the box takes no requests from peers.
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
    forwarding: ForwardingState | None = None

    @property
    def recency(self) -> tuple[int, int]:
        """Order of a box's heartbeats: the larger one is newer."""
        return (self.incarnation, self.seq)

    def aged(self, by: Seconds) -> Heartbeat:
        """Return the heartbeat to forward ``by`` seconds after it was received."""
        tables = {
            name: state
            if state.age_ms < 0
            else replace(state, age_ms=state.age_ms + int(by * 1000))
            for name, state in self.tables.items()
        }
        return replace(self, tables=tables, reply_requested=False)


def pack_messages(messages: Iterable[Heartbeat | CrashReport]) -> Iterator[bytes]:
    """Yield datagrams that hold the messages in order, as many in each as fit.

    Raises
    ------
    ProtocolError
        If a message can't be sent; see :func:`pack_message`.
    """
    return join_messages(pack_message(message) for message in messages)


def pack_message(message: Heartbeat | CrashReport) -> bytes:
    """Return a message as bytes.

    Raises
    ------
    ProtocolError
        If it holds what msgpack can't, or fits no datagram.
    """
    try:
        packed = (
            pack_heartbeat(message) if isinstance(message, Heartbeat) else pack_crashes(message)
        )
    except (ValueError, TypeError, OverflowError) as error:
        msg = f"{type(message).__name__} can't be packed: {error}"
        raise ProtocolError(msg) from None
    if len(packed) > _MAX_MESSAGE_BYTES:
        msg = (
            f"{type(message).__name__} has {len(packed)} bytes; "
            f"the maximum is {_MAX_MESSAGE_BYTES} bytes"
        )
        raise ProtocolError(msg)
    return packed


def join_messages(packed_messages: Iterable[bytes]) -> Iterator[bytes]:
    """Yield datagrams that hold packed messages in order, as many in each as fit."""
    datagram = b""
    for packed in packed_messages:
        if datagram and len(datagram) + len(packed) > _MAX_DATAGRAM_BYTES:
            yield datagram
            datagram = b""
        datagram += packed
    if datagram:
        yield datagram


def pack_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return a heartbeat as bytes; several may be concatenated."""
    tables = {n: [t.version, t.changed, t.age_ms, t.epoch] for n, t in heartbeat.tables.items()}
    fields = [
        _HEARTBEAT_FORMAT,
        heartbeat.name,
        heartbeat.place,
        heartbeat.incarnation,
        heartbeat.seq,
        heartbeat.caller,
        heartbeat.peer,
        heartbeat.state,
        [heartbeat.reading, heartbeat.follows, heartbeat.reply_requested],
        heartbeat.in_flight,
        tables,
        heartbeat.box_counts,
        heartbeat.crash_digest,
    ]
    if heartbeat.forwarding is not None:
        state = heartbeat.forwarding
        fields.append([state.port, state.key, list(state.unreached)])
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
        complete = unpacker.tell() == len(data)
    except (ValueError, TypeError, AttributeError, OverflowError, msgpack.UnpackException) as error:
        msg = f"datagram of {len(data)} bytes holds no valid message: {error}"
        raise ProtocolError(msg) from None
    if not messages or not complete:
        msg = f"datagram of {len(data)} bytes is empty or ends within a message"
        raise ProtocolError(msg)
    return messages


def _read_message(fields: Any) -> Heartbeat | CrashReport:  # noqa: ANN401 - checked here
    if isinstance(fields, list) and fields and fields[0] == CRASHES_FORMAT:
        return read_crashes(fields)
    return _read_heartbeat(fields)


def _read_heartbeat(fields: Any) -> Heartbeat:  # noqa: ANN401 - checked here
    if (
        not isinstance(fields, list)
        or len(fields) < _HEARTBEAT_FIELDS
        or fields[0] != _HEARTBEAT_FORMAT
    ):
        msg = f"heartbeat must be a list of format {_HEARTBEAT_FORMAT}, got {fields!r:.80}"
        raise ProtocolError(msg)
    reading, follows, reply_requested = fields[8]
    return Heartbeat(
        name=str(fields[1]),
        place=str(fields[2]),
        incarnation=_read_integer(fields[3]),
        seq=_read_integer(fields[4]),
        caller=_read_address("caller", fields[5]),
        peer=_read_address("peer", fields[6]),
        state=str(fields[7]),
        reading=bool(reading),
        follows=bool(follows),
        in_flight=_read_integer(fields[9]),
        box_counts={str(place): _read_box_count(count) for place, count in fields[11].items()},
        tables={str(n): TableState(*map(_read_integer, state)) for n, state in fields[10].items()},
        reply_requested=bool(reply_requested),
        crash_digest=None if fields[12] is None else int(fields[12]),
        forwarding=_read_forwarding(fields),
    )


def _read_integer(value: Any) -> int:  # noqa: ANN401 - checked here
    number = int(value)
    if abs(number) > _MAX_INTEGER:
        msg = f"heartbeat has the number {value!r:.80}; allowed: up to {_MAX_INTEGER}"
        raise ProtocolError(msg)
    return number


def _read_box_count(value: Any) -> int:  # noqa: ANN401 - checked here
    count = int(value)
    if not 0 <= count <= _MAX_BOXES:
        msg = f"heartbeat has {value!r:.80} boxes in a place; allowed: 0 to {_MAX_BOXES}"
        raise ProtocolError(msg)
    return count


def _read_address(name: str, value: object) -> Address:
    if not isinstance(value, str) or not is_ipv4_address(value):
        msg = (
            f"heartbeat has the {name} address {value!r:.80}; "
            "needed is an IPv4 address with port, as 10.0.0.1:80"
        )
        raise ProtocolError(msg)
    return value


def _read_forwarding(fields: list[Any]) -> ForwardingState | None:
    if len(fields) <= _FORWARDING_FIELD or fields[_FORWARDING_FIELD] is None:
        return None
    port, key, unreached = fields[_FORWARDING_FIELD][:3]
    if not isinstance(port, int) or not 0 < port <= MAX_PORT:
        msg = f"heartbeat has the forwarding port {port!r:.80}; allowed: 1 to {MAX_PORT}"
        raise ProtocolError(msg)
    if not isinstance(key, bytes):
        msg = f"heartbeat has the forwarding key {key!r:.80}; bytes are needed"
        raise ProtocolError(msg)
    return ForwardingState(port, key, tuple(str(name) for name in unreached))


def pack_delta(delta: TableDelta, *, age_ms: int) -> dict[str, Any]:
    """Return a table's changes as a map for msgpack."""
    rows = [[row.key, row.version, row.value] for row in delta.rows]
    fields = {"t": delta.table, "v": delta.version, "w": delta.is_snapshot, "r": rows, "a": age_ms}
    return {**fields, "c": delta.changed, "e": delta.epoch}


def unpack_delta(fields: Any) -> tuple[TableDelta, int]:  # noqa: ANN401 - checked here
    """Return a table's changes and their age in milliseconds.

    Raises
    ------
    ProtocolError
        If the map lacks a field or holds one of a wrong type.
    """
    try:
        rows = tuple(TableRow(str(k), int(v), _value(value)) for k, v, value in fields["r"])
        changed = int(fields["c"])
        epoch = None if fields["e"] is None else int(fields["e"])
        delta = TableDelta(
            str(fields["t"]), int(fields["v"]), bool(fields["w"]), rows, changed, epoch
        )
        return delta, int(fields["a"])
    except (KeyError, ValueError, TypeError, OverflowError) as error:
        msg = f"invalid changes of a table: {error!r}"
        raise ProtocolError(msg) from None


def _value(value: Any) -> bytes | None:  # noqa: ANN401 - checked here
    if value is None or isinstance(value, bytes):
        return value
    msg = f"a row's value must be bytes or None, got {type(value).__name__}"
    raise TypeError(msg)
