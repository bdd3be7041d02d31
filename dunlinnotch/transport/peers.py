"""Links between boxes: msgpack messages on a TCP stream, one thread for each link.

A link runs sync rounds: the box that opened it sends a
:class:`~dunlinnotch.protocol.peers.Sync` at regular intervals, or at once if
its state changed, and the other box answers with one of its own.
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

#: Maximum size of a message from a peer, in bytes.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
#: Timeout for connecting to a peer and for each message, after which a link is closed, in seconds.
SILENCE_TIMEOUT_S = 2.0
_READ_BYTES = 64 * 1024
_MIN_RECONNECT_DELAY_S = 0.1
_MAX_RECONNECT_DELAY_S = 2.0

_log = logging.getLogger(__name__)


class _Stream:
    """A stream of messages on a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        sock.settimeout(SILENCE_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

    def send(self, sync: Sync) -> int:
        """Send a message and return its size in bytes."""
        data = _codec.pack(sync)
        self._sock.sendall(data)
        return len(data)

    def receive(self) -> Sync | None:
        """Return the next message, or ``None`` at the end of the stream.

        Raises
        ------
        ProtocolError
            If the data is not msgpack or not a valid message.
        """
        while True:
            message = self._next()
            if message is not None:
                return _codec.from_plain(Sync, message)
            data = self._sock.recv(_READ_BYTES)
            if not data:
                return None
            self._unpacker.feed(data)

    def _next(self) -> Any | None:  # noqa: ANN401 - unpacked data, validated by the caller
        try:
            return next(self._unpacker)
        except StopIteration:
            return None
        except (ValueError, msgpack.UnpackException) as error:
            msg = f"invalid msgpack data from a peer: {error}"
            raise ProtocolError(msg) from None


class PeerServer:
    """Serve the links that other boxes open to this one.

    Parameters
    ----------
    bind : (str, int)
        Host and port.
    membership : PeerExchange

    Attributes
    ----------
    sent_bytes : int
        Bytes sent on all links since the start.
    """

    def __init__(self, bind: tuple[str, int], membership: PeerExchange) -> None:
        self._membership = membership
        self._listener = socket.create_server(bind, backlog=128)
        self._stopped = threading.Event()
        self.sent_bytes = 0
        self._sockets: set[socket.socket] = set()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._listener.getsockname()[1])

    def start(self) -> None:
        """Accept links on a background thread."""
        threading.Thread(target=self._accept, name="peer-accept", daemon=True).start()

    def close(self) -> None:
        """Stop accepting links and close all open ones."""
        self._stopped.set()
        for sock in [self._listener, *self._sockets]:
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
        self._sockets.add(sock)
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
            self._sockets.discard(sock)
            sock.close()


class PeerLinks:
    """Open links to other boxes and keep them open.

    Parameters
    ----------
    membership : PeerExchange
    seeds : iterable of str
        Addresses of boxes to connect to while no peer is known.
    max_links : int
        Maximum number of links to open.
    sync_interval_s : float
        Seconds between two sync rounds of a link.
    on_traffic : callable, optional
        Called with the number of bytes of each message sent.

    Attributes
    ----------
    sent_bytes : int
        Bytes sent on all links since the start.
    """

    def __init__(
        self,
        membership: PeerExchange,
        *,
        seeds: Iterable[Address],
        max_links: int,
        sync_interval_s: Seconds,
        on_traffic: Callable[[int], None] | None = None,
    ) -> None:
        self._membership = membership
        self._seeds = tuple(seeds)
        self._max_links = max_links
        self._sync_interval_s = sync_interval_s
        self._on_traffic = on_traffic
        self._links: dict[str, _Link] = {}
        self.sent_bytes = 0
        self._stopped = threading.Event()

    def start(self) -> None:
        """Open and maintain links on background threads."""
        threading.Thread(target=self._maintain_links, name="peer-links", daemon=True).start()

    def close(self) -> None:
        """Close all links."""
        self._stopped.set()
        for link in self._links.values():
            link.close()

    def sync_now(self) -> None:
        """Start a sync round on each link without waiting for the interval."""
        for link in list(self._links.values()):
            link.sync_due.set()

    def peer_names(self) -> list[str]:
        """Return the sorted names of the peers that this box opens links to."""
        return sorted(self._links)

    def _maintain_links(self) -> None:
        while not self._stopped.is_set():
            peers = self._membership.select_links(self._max_links, self._seeds)
            for name in [n for n in self._links if n not in peers]:
                self._links.pop(name).close()
            for name, address in peers.items():
                existing = self._links.get(name)
                if existing is not None and existing.address == address:
                    continue
                if existing is not None:
                    existing.close()
                self._links[name] = link = _Link(address, self)
                threading.Thread(target=link.run, name="peer-out", daemon=True).start()
            self._stopped.wait(self._sync_interval_s)

    def run_sync_round(self, stream: _Stream, state: LinkState) -> bool:
        """Send a message and apply the answer; return False if the peer closed the link."""
        message_bytes = stream.send(self._membership.next_sync(state))
        self.sent_bytes += message_bytes
        if self._on_traffic is not None:
            self._on_traffic(message_bytes)
        answer = stream.receive()
        if answer is None:
            return False
        self._membership.apply(answer, state)
        return True

    @property
    def sync_interval_s(self) -> Seconds:
        """Seconds between two sync rounds of a link."""
        return self._sync_interval_s


class _Link:
    """A link opened by this box, run on a thread of its own."""

    def __init__(self, address: Address, links: PeerLinks) -> None:
        self.address = address
        self.sync_due = threading.Event()
        self._links = links
        self._closed = threading.Event()
        self._sock: socket.socket | None = None

    def close(self) -> None:
        self._closed.set()
        self.sync_due.set()
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        """Connect, run sync rounds until the link fails, and reconnect after a delay."""
        delay = wait_exponential_jitter(
            multiplier=_MIN_RECONNECT_DELAY_S,
            max=_MAX_RECONNECT_DELAY_S,
            jitter=_MIN_RECONNECT_DELAY_S,
        )
        failures = 0
        while not self._closed.is_set():
            failures = 0 if self._run_connection() else failures + 1
            self._closed.wait(delay(_retry_state(max(1, failures))))

    def _run_connection(self) -> bool:
        """Run one connection until it ends; return whether a sync round was completed."""
        rounds = 0
        try:
            with socket.create_connection(split_address(self.address), SILENCE_TIMEOUT_S) as sock:
                self._sock = sock
                stream = _Stream(sock)
                state = LinkState()
                while not self._closed.is_set() and self._links.run_sync_round(stream, state):
                    rounds += 1
                    self.sync_due.wait(self._links.sync_interval_s)
                    self.sync_due.clear()
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
        return rounds > 0


def _retry_state(attempt: int) -> RetryCallState:
    """Return the state from which tenacity computes the delay before ``attempt``."""
    state = RetryCallState(retry_object=None, fn=None, args=(), kwargs={})  # type: ignore[arg-type]
    state.attempt_number = attempt
    return state
