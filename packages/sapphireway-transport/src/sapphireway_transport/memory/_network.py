"""A network of in-memory endpoints with simulated faults."""

import asyncio
import random
from collections.abc import Callable, Sequence

from sapphireway_transport._endpoint import Receiver

DEFAULT_DELAY_S = 0.0005
FRAMING_BYTES = 60  # of each message on a link with a rate


def _get_default_delay(sender, receiver):
    return DEFAULT_DELAY_S


class MemoryNetwork:
    """Connects `MemoryEndpoint` objects on one event loop.

    Parameters
    ----------
    rng : random.Random
        Source of every random decision.
    delay : callable, default=0.5 ms for all pairs
        ``delay(sender, receiver)`` returns the one-way delay in seconds.

    Attributes
    ----------
    rates : dict of str to float
        Bytes per second in each direction of the link of an address; messages queue
        for it. Links of other addresses have no limit.
    """

    __slots__ = (
        "_cut_links",
        "_delay",
        "_endpoints",
        "_frozen",
        "_held_back",
        "_link_free_s",
        "_rng",
        "bytes_sent",
        "drop_rate",
        "duplicate_rate",
        "jitter_s",
        "messages_sent",
        "rates",
    )

    def __init__(
        self,
        rng: random.Random,
        delay: Callable[[str, str], float] = _get_default_delay,
    ):
        self._rng = rng
        self._delay = delay
        self._endpoints = {}
        self._cut_links = set()
        self._frozen = set()
        self._held_back = {}
        self._link_free_s = {}
        self.drop_rate = 0.0
        self.duplicate_rate = 0.0
        self.jitter_s = 0.0
        self.messages_sent = 0
        self.bytes_sent = 0
        self.rates = {}

    def open_endpoint(self, address: str) -> "MemoryEndpoint":
        """Return an endpoint that replaces any earlier one at `address`."""
        endpoint = MemoryEndpoint(self, address)
        self._endpoints[address] = endpoint
        self._held_back.pop(address, None)
        self._frozen.discard(address)
        return endpoint

    def cut(self, sender: str, receiver: str) -> None:
        """Drop every message from `sender` to `receiver`, in this direction only."""
        self._cut_links.add((sender, receiver))

    def heal(self, sender: str, receiver: str) -> None:
        """Undo `cut` for one direction."""
        self._cut_links.discard((sender, receiver))

    def heal_all(self) -> None:
        """Undo every cut."""
        self._cut_links.clear()

    def freeze(self, address: str) -> None:
        """Hold back messages that arrive at `address` until `thaw`."""
        self._frozen.add(address)

    def thaw(self, address: str) -> None:
        """Deliver the messages held back since `freeze`."""
        self._frozen.discard(address)
        for sender, frames in self._held_back.pop(address, ()):
            self._deliver(sender, address, frames)

    def transmit(self, sender: str, receiver: str, frames: Sequence[bytes]) -> bool:
        """Schedule the delivery of one message, subject to the current faults."""
        if receiver not in self._endpoints:
            return False
        self.messages_sent += 1
        self.bytes_sent += sum(map(len, frames))
        if (sender, receiver) in self._cut_links or self._rng.random() < self.drop_rate:
            return True
        copies = 2 if self._rng.random() < self.duplicate_rate else 1
        for _ in range(copies):
            delay_s = self._delay(sender, receiver)
            delay_s += self._rng.random() * self.jitter_s
            delay_s += self._queue(sender, receiver, frames)
            asyncio.get_running_loop().call_later(
                delay_s, self._deliver, sender, receiver, frames
            )
        return True

    def _queue(self, sender, receiver, frames):
        """Return how long a message takes to pass both links with their queues."""
        now_s = asyncio.get_running_loop().time()
        size = FRAMING_BYTES + sum(map(len, frames))
        passed_s = now_s
        for link in (("out", sender), ("in", receiver)):
            rate = self.rates.get(link[1])
            if rate is not None:
                passed_s = max(passed_s, self._link_free_s.get(link, 0.0)) + size / rate
                self._link_free_s[link] = passed_s
        return passed_s - now_s

    def remove(self, endpoint: "MemoryEndpoint") -> None:
        """Forget a closed endpoint."""
        if self._endpoints.get(endpoint.address) is endpoint:
            del self._endpoints[endpoint.address]

    def _deliver(self, sender, receiver, frames):
        if receiver in self._frozen:
            self._held_back.setdefault(receiver, []).append((sender, frames))
            return
        endpoint = self._endpoints.get(receiver)
        if endpoint is not None and (sender, receiver) not in self._cut_links:
            endpoint.receive(sender, frames)


class MemoryEndpoint:
    """One address on a `MemoryNetwork`."""

    __slots__ = ("_network", "_receiver", "address")

    def __init__(self, network, address):
        self.address = address
        self._network = network
        self._receiver = None

    def start(self, receiver: Receiver) -> None:
        """Start passing received messages to `receiver`."""
        self._receiver = receiver

    def connect(self, peer: str) -> None:
        """Do nothing: in-memory links need no connection."""

    def disconnect(self, peer: str) -> None:
        """Do nothing: in-memory links need no connection."""

    def send(self, peer: str, frames: Sequence[bytes]) -> bool:
        """Send one message; return False if there is no endpoint at `peer`."""
        return self._network.transmit(self.address, peer, tuple(frames))

    def receive(self, sender: str, frames: Sequence[bytes]) -> None:
        """Pass one message to the receiver, if started."""
        if self._receiver is not None:
            self._receiver(sender, frames)

    def close(self) -> None:
        """Stop receiving."""
        self._receiver = None
        self._network.remove(self)
