"""The seam over which nodes exchange messages."""

from collections.abc import Callable, Sequence
from typing import Protocol

Receiver = Callable[[str, Sequence[bytes]], None]
"""Called with the sender's address and the frames of one message."""


class Endpoint(Protocol):
    """A process's address on the network of nodes.

    Delivery is unreliable: a message may be lost, delayed, repeated or overtaken.
    """

    address: str

    def start(self, receiver: Receiver) -> None:
        """Begin to pass every arriving message to `receiver`."""

    def connect(self, peer: str) -> None:
        """Prepare a connection, so that a later `send` finds it established."""

    def disconnect(self, peer: str) -> None:
        """Drop the connection to a peer that left."""

    def send(self, peer: str, frames: Sequence[bytes]) -> bool:
        """Queue one message without blocking.

        Returns
        -------
        bool
            False if the message was certainly not sent.
        """

    def close(self) -> None:
        """Release all connections; queued messages are dropped."""
