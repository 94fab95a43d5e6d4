"""Memory for the bodies of requests that other nodes send to this one.

Several nodes may each hold a large body for the same server, and a body that has
arrived takes memory already. So a node asks for memory before it sends a large body.
"""

import asyncio

from sapphireway_protocol import BodyReserved, Peers, ReserveBody, Run
from sapphireway_transport import MemoryBudget

HOLD_MAX_S = 600.0  # the longest timeout of a route


class _Reservation:
    __slots__ = ("size", "timer")

    def __init__(self, size, timer):
        self.size = size
        self.timer = timer


class BodyMemory:
    """Takes memory for bodies from the budget of the process.

    Parameters
    ----------
    peers : Peers
    budget : MemoryBudget
    """

    __slots__ = ("_budget", "_peers", "_reservations")

    def __init__(self, peers: Peers, budget: MemoryBudget):
        self._budget = budget
        self._peers = peers
        self._reservations = {}
        peers.handle(ReserveBody, self._handle_reserve)

    def take(self, sender: str, run: Run, size: int) -> bool:
        """Take memory for a body that has arrived; False if there is none.

        A body that this node sends to itself is counted where it was read.
        """
        if sender == self._peers.address:
            return True
        if self._forget(sender, run.call) >= size:
            self._budget.add(size)
            return True
        return self._budget.reserve(size, size)

    def give_back(self, sender: str, size: int) -> None:
        """Give back the memory of a body."""
        if sender != self._peers.address:
            self._budget.release(size)

    def _handle_reserve(self, sender, envelope):
        message = envelope.message
        self._forget(sender, message.call)
        size = max(0, message.size_bytes)
        granted = self._budget.reserve(size, size)
        if granted:
            timer = asyncio.get_running_loop().call_later(
                min(max(0.0, message.hold_s), HOLD_MAX_S),
                self._forget,
                sender,
                message.call,
            )
            self._reservations[sender, message.call] = _Reservation(size, timer)
        self._peers.reply(sender, envelope, BodyReserved(granted))

    def _forget(self, sender, call):
        """Give back what is reserved for a call; return how much it was."""
        reservation = self._reservations.pop((sender, call), None)
        if reservation is None:
            return 0
        reservation.timer.cancel()
        self._budget.release(reservation.size)
        return reservation.size
