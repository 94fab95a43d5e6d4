"""Messages between nodes over pyzmq."""

import asyncio
import collections
from collections.abc import Sequence

import zmq

from sapphireway_transport._endpoint import Receiver

SEND_QUEUE_MESSAGES = 2000
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 200  # a healed link carries again within this and a round trip
CONNECT_TIMEOUT_MS = 500  # a host without power does not refuse, it is silent
UNACKNOWLEDGED_MAX_MS = 1000  # data that the other host's kernel does not acknowledge
UNNAMED_PREFIX = b"\0"  # of the names that the library gives to links without one
CONNECT_WAIT_S = 0.5
DRAIN_BATCH_MESSAGES = 64
PENDING_MESSAGES = 64
CLOSE_LINGER_MS = 300


class _Connection:
    """The sending half of a link to one peer."""

    __slots__ = ("pending", "socket", "waiting")

    def __init__(self, socket):
        self.socket = socket
        self.pending = collections.deque()
        self.waiting = None


class ZmqEndpoint:
    """An endpoint that listens on a ROUTER and sends on one DEALER a peer.

    Sockets are drained by the event loop when their file descriptor is readable,
    which costs less per message than the library's asyncio wrapper.

    Parameters
    ----------
    address : str
        ``host:port`` to bind, and the identity that peers reply to.
    """

    __slots__ = ("_connections", "_context", "_loop", "_receiver", "_router", "address")

    def __init__(self, address):
        self.address = address
        self._connections = {}
        self._context = zmq.Context(io_threads=1)
        self._loop = None
        self._receiver = None
        self._router = None

    def start(self, receiver: Receiver) -> None:
        """Bind the address and pass arriving messages to `receiver`."""
        self._loop = asyncio.get_running_loop()
        self._receiver = receiver
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.RCVHWM, SEND_QUEUE_MESSAGES)
        self._router.bind(f"tcp://{self.address}")
        self._loop.add_reader(self._router.getsockopt(zmq.FD), self._drain)
        self._loop.call_soon(self._drain)

    def connect(self, peer: str) -> None:
        """Open a connection to `peer` in the background."""
        if peer not in self._connections:
            self._connections[peer] = self._open(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to `peer`, if there is one."""
        connection = self._connections.pop(peer, None)
        if connection is not None:
            self._close_connection(connection)

    def send(self, peer: str, frames: Sequence[bytes]) -> bool:
        """Queue `frames` for `peer`; False if no connection can take them."""
        if peer == self.address:
            self._loop.call_soon(self._receive, peer, frames)
            return True
        connection = self._connections.get(peer)
        if connection is None:
            connection = self._connections[peer] = self._open(peer)
        if connection.pending:
            return self._defer(connection, frames)
        if self._try_send(connection, frames):
            return True
        if connection.waiting is None:
            return False
        return self._defer(connection, frames)

    def close(self) -> None:
        """Close all sockets; waits up to `CLOSE_LINGER_MS` for queued messages."""
        for connection in self._connections.values():
            self._close_connection(connection, CLOSE_LINGER_MS)
        self._connections.clear()
        if self._router is not None:
            self._loop.remove_reader(self._router.getsockopt(zmq.FD))
            self._router.close(0)
            self._router = None
        self._context.term()

    def _open(self, peer):
        socket = self._context.socket(zmq.DEALER)
        socket.setsockopt(zmq.IDENTITY, self.address.encode())
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # Without it a link to a host that lost power, or whose address another host
        # has now, would take messages for minutes and carry none.
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MAX_MS)
        socket.connect(f"tcp://{peer}")
        connection = _Connection(socket)
        fd = socket.getsockopt(zmq.FD)
        self._loop.add_reader(fd, self._flush, connection)
        connection.waiting = self._loop.call_later(
            CONNECT_WAIT_S, self._give_up, connection
        )
        return connection

    def _close_connection(self, connection, linger_ms=0):
        if connection.waiting is not None:
            connection.waiting.cancel()
        self._loop.remove_reader(connection.socket.getsockopt(zmq.FD))
        connection.socket.close(linger_ms)

    def _defer(self, connection, frames):
        if len(connection.pending) >= PENDING_MESSAGES:
            return False
        connection.pending.append(frames)
        return True

    def _give_up(self, connection):
        # Later sends fail at once until the library has reconnected.
        connection.waiting = None
        connection.pending.clear()

    def _flush(self, connection):
        # Reading the events clears the descriptor's edge.
        connection.socket.getsockopt(zmq.EVENTS)
        while connection.pending:
            if not self._try_send(connection, connection.pending[0]):
                return
            connection.pending.popleft()

    def _try_send(self, connection, frames):
        try:
            connection.socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.Again:
            return False
        if connection.waiting is not None:
            connection.waiting.cancel()
            connection.waiting = None
        return True

    def _drain(self):
        for _ in range(DRAIN_BATCH_MESSAGES):
            # Asking is cheaper than an exception for every drained queue.
            if self._router is None or not self._has_message():
                return
            sender, *frames = self._router.recv_multipart(zmq.NOBLOCK)
            # An error here would leave the rest of the queue unread, as the
            # descriptor is edge-triggered.
            if not sender.startswith(UNNAMED_PREFIX):
                self._receive(sender.decode(errors="replace"), frames)
        self._loop.call_soon(self._drain)

    def _has_message(self):
        return self._router.getsockopt(zmq.EVENTS) & zmq.POLLIN

    def _receive(self, sender, frames):
        if self._router is not None:
            self._receiver(sender, frames)
