"""Endpoint on ZeroMQ sockets."""

import asyncio
import collections
import errno
from collections.abc import Sequence

import zmq

from sapphireway_transport._endpoint import Receiver
from sapphireway_transport._memory_budget import BODIES_MAX_BYTES

FRAME_MAX_BYTES = 2 * BODIES_MAX_BYTES  # nodes and servers take no larger bodies
FRAMES_MAX = 8  # a message has two
QUEUE_MESSAGES_MAX = 2000
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 200  # a healed link recovers within this and a round trip
CONNECT_TIMEOUT_MS = 500  # a host without power neither accepts nor refuses
UNACKNOWLEDGED_MAX_MS = 1000  # then the kernel closes the connection
GENERATED_IDENTITY_PREFIX = b"\0"  # of identities that libzmq generates
PENDING_MAX_S = 0.5  # time that messages wait for the first connection to a peer
DRAIN_BATCH_MESSAGES_MAX = 64
PENDING_MESSAGES_MAX = 64
CLOSE_LINGER_MS = 300
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)


class _Connection:
    """Outgoing connection to one peer."""

    __slots__ = ("connect_timer", "pending", "socket")

    def __init__(self, socket):
        self.socket = socket
        self.pending = collections.deque()
        self.connect_timer = None


class ZmqEndpoint:
    """An endpoint that receives on a ROUTER and sends on one DEALER per peer.

    The event loop drains the sockets when their file descriptors are readable, which
    costs less per message than pyzmq's asyncio wrapper.

    Parameters
    ----------
    address : str
        ``host:port`` to bind, also the identity to which peers reply.
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
        """Bind the address and start passing received messages to `receiver`."""
        self._loop = asyncio.get_running_loop()
        self._receiver = receiver
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.MAXMSGSIZE, FRAME_MAX_BYTES)
        self._router.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES_MAX)
        self._router.bind(f"tcp://{self.address}")
        self._loop.add_reader(self._router.getsockopt(zmq.FD), self._drain)
        self._loop.call_soon(self._drain)

    def connect(self, peer: str) -> None:
        """Open a connection to `peer` in the background."""
        if peer not in self._connections:
            self._open(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to `peer`, if there is one."""
        connection = self._connections.pop(peer, None)
        if connection is not None:
            self._close_connection(connection)

    def send(self, peer: str, frames: Sequence[bytes]) -> bool:
        """Queue `frames` for `peer`; return False if there is no usable connection."""
        if peer == self.address:
            self._loop.call_soon(self._receive, peer, frames)
            return True
        connection = self._connections.get(peer) or self._open(peer)
        if connection is None:
            return False
        if connection.pending:
            return self._defer(connection, frames)
        if self._try_send(connection, frames):
            return True
        if connection.connect_timer is None:
            return False
        return self._defer(connection, frames)

    def close(self) -> None:
        """Close all sockets; wait up to `CLOSE_LINGER_MS` to send queued messages."""
        for connection in self._connections.values():
            self._close_connection(connection, CLOSE_LINGER_MS)
        self._connections.clear()
        if self._router is not None:
            self._loop.remove_reader(self._router.getsockopt(zmq.FD))
            self._router.close(0)
            self._router = None
        self._context.term()

    def _open(self, peer):
        """Return a new connection.

        Returns None if there is no descriptor left for it, or if `peer`, which another
        host may have named, is no address.
        """
        try:
            socket = self._context.socket(zmq.DEALER)
        except zmq.ZMQError as error:
            if error.errno not in NO_DESCRIPTOR_ERRORS:
                raise
            return None
        socket.setsockopt(zmq.IDENTITY, self.address.encode())
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.MAXMSGSIZE, FRAME_MAX_BYTES)
        socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES_MAX)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        # Without this limit, a connection to a host that lost power, or whose address
        # now belongs to another host, accepts messages for minutes and delivers none.
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MAX_MS)
        try:
            socket.connect(f"tcp://{peer}")
        except zmq.ZMQError:
            socket.close(0)
            return None
        connection = _Connection(socket)
        fd = socket.getsockopt(zmq.FD)
        self._loop.add_reader(fd, self._flush, connection)
        connection.connect_timer = self._loop.call_later(
            PENDING_MAX_S, self._drop_pending, connection
        )
        self._connections[peer] = connection
        return connection

    def _close_connection(self, connection, linger_ms=0):
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
        self._loop.remove_reader(connection.socket.getsockopt(zmq.FD))
        connection.socket.close(linger_ms)

    def _defer(self, connection, frames):
        if len(connection.pending) >= PENDING_MESSAGES_MAX:
            return False
        connection.pending.append(frames)
        return True

    def _drop_pending(self, connection):
        # Later sends fail immediately until libzmq has reconnected.
        connection.connect_timer = None
        connection.pending.clear()

    def _flush(self, connection):
        # The descriptor is edge-triggered; reading the events re-arms it.
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
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
            connection.connect_timer = None
        return True

    def _drain(self):
        try:
            for _ in range(DRAIN_BATCH_MESSAGES_MAX):
                # Polling is cheaper than an exception for every drained queue.
                if self._router is None or not self._has_message():
                    return
                frames = self._receive_frames()
                if frames is None:
                    continue
                sender, *frames = frames
                if not sender.startswith(GENERATED_IDENTITY_PREFIX):
                    self._receive(sender.decode(errors="replace"), frames)
        except Exception:
            # The descriptor is edge-triggered: it doesn't tell again of what is queued.
            self._loop.call_soon(self._drain)
            raise
        self._loop.call_soon(self._drain)

    def _receive_frames(self):
        """Return the frames of a message, sender first; None if it has too many."""
        frames = [self._router.recv(zmq.NOBLOCK)]
        is_kept = True
        while self._router.getsockopt(zmq.RCVMORE):
            frame = self._router.recv(zmq.NOBLOCK)
            is_kept = is_kept and len(frames) <= FRAMES_MAX
            if is_kept:
                frames.append(frame)
        return frames if is_kept else None

    def _has_message(self):
        return self._router.getsockopt(zmq.EVENTS) & zmq.POLLIN

    def _receive(self, sender, frames):
        if self._router is not None:
            self._receiver(sender, frames)
