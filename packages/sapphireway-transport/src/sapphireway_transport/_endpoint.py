"""Interface through which nodes exchange messages."""

from collections.abc import Callable, Sequence
from typing import Protocol

Receiver = Callable[[str, Sequence[bytes]], None]
"""Called with the sender's address and the frames of one message."""


class Endpoint(Protocol):
    """A process's address on the network of nodes.

    Delivery is unreliable: messages may be lost, delayed, duplicated or reordered.
    """

    address: str

    def start(self, receiver: Receiver) -> None:
        """Start passing every received message to `receiver`."""

    def connect(self, peer: str) -> None:
        """Start connecting, so that the connection exists for a later `send`."""

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer that has left."""

    def send(self, peer: str, frames: Sequence[bytes]) -> bool:
        """Queue one message without blocking.

        Returns
        -------
        bool
            False if the message was certainly not sent.
        """

    def close(self) -> None:
        """Close all connections; queued messages may be dropped."""
