"""Links between boxes: msgpack objects on a TCP stream, one thread for each link.

The end that connected sends a :class:`~dunlinnotch.protocol.peers.Sync` at
each heartbeat, or at once when something changed; the other end answers with
one of its own.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import threading
from typing import TYPE_CHECKING, Any

import msgpack
from tenacity import RetryCallState, wait_exponential_jitter

from dunlinnotch import _codec
from dunlinnotch._addresses import split_address
from dunlinnotch._logs import event
from dunlinnotch.errors import DunlinnotchError, ProtocolError
from dunlinnotch.protocol.peers import LinkState, Sync

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dunlinnotch.protocol.peers import PeerExchange
    from dunlinnotch.types import Address, Seconds

#: Largest message taken from a peer, in bytes.
MESSAGE_BYTES = 16 * 1024 * 1024
#: Seconds without a word after which a link is closed.
SILENT_S = 2.0
_READ = 64 * 1024
_FIRST_WAIT_S = 0.1
_LONGEST_WAIT_S = 2.0

_log = logging.getLogger(__name__)


class _Stream:
    """Messages on one socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.settimeout(SILENT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._unpacker = msgpack.Unpacker(max_buffer_size=MESSAGE_BYTES)

    def send(self, sync: Sync) -> int:
        """Send a message; return its size in bytes."""
        data = _codec.pack(sync)
        self._sock.sendall(data)
        return len(data)

    def receive(self) -> Sync | None:
        """Return the next message, or None at the end of the stream."""
        while True:
            plain = self._next()
            if plain is not None:
                return _codec.from_plain(Sync, plain)
            data = self._sock.recv(_READ)
            if not data:
                return None
            self._unpacker.feed(data)

    def _next(self) -> Any | None:  # noqa: ANN401 - plain data, checked by the caller
        try:
            return next(self._unpacker)
        except StopIteration:
            return None
        except (ValueError, msgpack.UnpackException) as error:
            msg = f"not a msgpack stream: {error}"
            raise ProtocolError(msg) from None


class PeerServer:
    """Answer the links that other boxes open to this one.

    Parameters
    ----------
    bind : (str, int)
    membership : PeerExchange
    """

    def __init__(self, bind: tuple[str, int], membership: PeerExchange) -> None:
        self._membership = membership
        self._listener = socket.create_server(bind, backlog=128)
        self._stopped = threading.Event()
        self.sent_bytes = 0
        self._socks: set[socket.socket] = set()

    @property
    def port(self) -> int:
        """The port bound."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Accept links on a thread of this process."""
        threading.Thread(target=self._accept, name="peer-accept", daemon=True).start()

    def close(self) -> None:
        """Stop accepting and close all links."""
        self._stopped.set()
        for sock in [self._listener, *self._socks]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), name="peer-in", daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        self._socks.add(sock)
        link = LinkState()
        try:
            stream = _Stream(sock)
            while (sync := stream.receive()) is not None:
                self._membership.apply(sync, link)
                self.sent_bytes += stream.send(self._membership.next_sync(link))
        except OSError as error:
            event(_log, "link-ended", level=logging.DEBUG, detail=str(error))
        except DunlinnotchError as error:
            event(_log, "link-refused", level=logging.ERROR, code=error.code, detail=str(error))
        finally:
            self._socks.discard(sock)
            sock.close()


class PeerLinks:
    """Keep this box's own links open.

    Parameters
    ----------
    membership : PeerExchange
    seeds : iterable of str
        Addresses tried while no peer is known.
    count : int
        Most links opened.
    heartbeat_s : float
        Seconds between two turns of a link.
    on_traffic : callable, optional
        Told the bytes of each turn sent.
    """

    def __init__(
        self,
        membership: PeerExchange,
        *,
        seeds: Iterable[Address],
        count: int,
        heartbeat_s: Seconds,
        on_traffic: Callable[[int], None] | None = None,
    ) -> None:
        self._membership = membership
        self._seeds = tuple(seeds)
        self._count = count
        self._heartbeat_s = heartbeat_s
        self._on_traffic = on_traffic
        self._links: dict[str, _Link] = {}
        self.sent_bytes = 0
        self._stopped = threading.Event()

    def start(self) -> None:
        """Choose and keep links on threads of this process."""
        threading.Thread(target=self._keep, name="peer-links", daemon=True).start()

    def close(self) -> None:
        """Close all links."""
        self._stopped.set()
        for link in self._links.values():
            link.close()

    def wake(self) -> None:
        """Have each link take a turn at once."""
        for link in list(self._links.values()):
            link.due.set()

    def names(self) -> list[str]:
        """Return the peers linked to."""
        return sorted(self._links)

    def _keep(self) -> None:
        while not self._stopped.is_set():
            wanted = self._membership.select_links(self._count, self._seeds)
            for name in [n for n in self._links if n not in wanted]:
                self._links.pop(name).close()
            for name, address in wanted.items():
                known = self._links.get(name)
                if known is not None and known.address == address:
                    continue
                if known is not None:
                    known.close()
                self._links[name] = link = _Link(address, self)
                threading.Thread(target=link.run, name="peer-out", daemon=True).start()
            self._stopped.wait(self._heartbeat_s)

    def take_turn(self, stream: _Stream, state: LinkState) -> bool:
        """Send and receive once; return whether the peer is still there."""
        size = stream.send(self._membership.next_sync(state))
        self.sent_bytes += size
        if self._on_traffic is not None:
            self._on_traffic(size)
        answer = stream.receive()
        if answer is None:
            return False
        self._membership.apply(answer, state)
        return True

    @property
    def heartbeat_s(self) -> Seconds:
        """Seconds between two turns of a link."""
        return self._heartbeat_s


class _Link:
    """One link opened by this box, on a thread of its own."""

    def __init__(self, address: Address, links: PeerLinks) -> None:
        self.address = address
        self.due = threading.Event()
        self._links = links
        self._closed = threading.Event()
        self._sock: socket.socket | None = None

    def close(self) -> None:
        self._closed.set()
        self.due.set()
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        """Connect, take turns until the link breaks, wait, and connect again."""
        wait = wait_exponential_jitter(
            multiplier=_FIRST_WAIT_S, max=_LONGEST_WAIT_S, jitter=_FIRST_WAIT_S
        )
        failures = 0
        while not self._closed.is_set():
            failures = 0 if self._connected() else failures + 1
            self._closed.wait(wait(_retry_state(max(1, failures))))

    def _connected(self) -> bool:
        """Run one connection to its end; return whether any turn was taken."""
        turns = 0
        try:
            with socket.create_connection(split_address(self.address), SILENT_S) as sock:
                self._sock = sock
                stream = _Stream(sock)
                state = LinkState()
                while not self._closed.is_set() and self._links.take_turn(stream, state):
                    turns += 1
                    self.due.wait(self._links.heartbeat_s)
                    self.due.clear()
        except OSError as error:
            event(_log, "link-broken", level=logging.DEBUG, peer=self.address, detail=str(error))
        except DunlinnotchError as error:
            event(
                _log,
                "link-refused",
                level=logging.ERROR,
                peer=self.address,
                code=error.code,
                detail=str(error),
            )
        return turns > 0


def _retry_state(attempt: int) -> RetryCallState:
    """Return the state from which the library computes the wait before try ``attempt``."""
    state = RetryCallState(retry_object=None, fn=None, args=(), kwargs={})  # type: ignore[arg-type]
    state.attempt_number = attempt
    return state
