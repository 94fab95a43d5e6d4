"""Number of connections that the listeners of a process may hold together.

Without it, connections that send nothing use up the descriptors, and nobody else can
connect, nor can the process open connections to its peers and its server.
"""

import enum
from typing import Protocol


class ConnectionUse(enum.IntEnum):
    """What a connection is used for; the lowest is closed first to make room."""

    CLOSING = 0  # lingers after its last answer
    NEW = 1  # has not sent the head of a request yet
    IDLE = 2
    TRANSFER = 3  # a body arrives, or an answer is sent
    BUSY = 4  # a request is handled; never closed


class Abortable(Protocol):
    """A connection that frees its descriptor at once."""

    def abort(self) -> None:
        """Close the connection without waiting for what is unsent."""


class ConnectionLimit:
    """Closes the connection that is needed least when there are too many.

    Among those of one use, the one with the longest time since its last change goes
    first. If all are busy, a new connection is closed.

    Parameters
    ----------
    connections_max : int

    Attributes
    ----------
    closed_count : int
        Connections that were closed to make room.
    """

    __slots__ = ("_by_use", "_max", "_uses", "closed_count")

    def __init__(self, connections_max: int):
        self._by_use = {use: {} for use in ConnectionUse}
        self._max = connections_max
        self._uses = {}
        self.closed_count = 0

    def add(self, connection: Abortable) -> None:
        """Count a new connection."""
        self._uses[connection] = ConnectionUse.NEW
        self._by_use[ConnectionUse.NEW][connection] = None
        if len(self._uses) > self._max:
            self._close_one(connection)

    def set_use(self, connection: Abortable, use: ConnectionUse) -> None:
        """Note what a connection is used for from now on."""
        before = self._uses.get(connection)
        if before is not None:
            del self._by_use[before][connection]
            self._by_use[use][connection] = None
            self._uses[connection] = use

    def remove(self, connection: Abortable) -> None:
        """Forget a closed connection."""
        use = self._uses.pop(connection, None)
        if use is not None:
            del self._by_use[use][connection]

    def _close_one(self, added):
        others = (
            connection
            for use in ConnectionUse
            if use is not ConnectionUse.BUSY
            for connection in self._by_use[use]
            if connection is not added
        )
        closed = next(others, added)
        self.remove(closed)
        self.closed_count += 1
        closed.abort()
