"""The last message of a node that stops gracefully."""

import asyncio
from collections.abc import Iterable

from sapphireway_coordination.gate._attempt_memory import AttemptMemory
from sapphireway_protocol import Departed, DepartedAck, Peers

ACK_WAIT_S = 0.5  # beyond a round trip, only cut links and frozen nodes take longer
RESEND_S = 0.1
COMPLETE_AGE_S = 5.0  # attempts whose latest start is older have passed their deadline


class DepartureNotice:
    """Tells other nodes which of their attempts this incarnation has started.

    Parameters
    ----------
    peers : Peers
    memory : AttemptMemory
    """

    __slots__ = ("_all_acknowledged", "_memory", "_messages", "_peers", "_waiting")

    def __init__(self, peers: Peers, memory: AttemptMemory):
        self._all_acknowledged = asyncio.Event()
        self._memory = memory
        self._messages = None
        self._peers = peers
        self._waiting = set()
        peers.handle(DepartedAck, self._handle_ack)

    async def send(self, nodes: Iterable[str], deadline_s: float) -> int:
        """Send the message to `nodes`, again until each has acknowledged it.

        No attempt may start any more when this is called.

        Parameters
        ----------
        nodes : iterable of str
        deadline_s : float
            Loop time at which to stop waiting; it waits for `ACK_WAIT_S` at most.

        Returns
        -------
        int
            How many nodes acknowledged it.
        """
        loop = asyncio.get_running_loop()
        self._messages = self._make_messages(loop.time())
        self._waiting = set(nodes)
        count = len(self._waiting)
        end_s = min(deadline_s, loop.time() + ACK_WAIT_S)
        while self._waiting:
            for node in self._waiting:
                self._send_to(node)
            if loop.time() >= end_s:
                break
            try:
                async with asyncio.timeout_at(min(end_s, loop.time() + RESEND_S)):
                    await self._all_acknowledged.wait()
            except TimeoutError:
                pass
        return count - len(self._waiting)

    def handle_run(self, sender: str) -> None:
        """Tell a node that sends work after the message was made."""
        if self._messages is not None:
            self._send_to(sender)

    def _make_messages(self, now_s):
        since_s = now_s - COMPLETE_AGE_S
        started = self._memory.list_started(since_s)
        nothing = Departed([], since_s)
        messages = {node: Departed(ids, since_s) for node, ids in started.items()}
        return messages, nothing

    def _send_to(self, node):
        messages, nothing = self._messages
        self._peers.send(node, messages.get(node, nothing))

    def _handle_ack(self, sender, envelope):
        # A late acknowledgement may be for an earlier incarnation at this address.
        if envelope.message.incarnation != self._peers.incarnation:
            return
        self._waiting.discard(sender)
        if not self._waiting:
            self._all_acknowledged.set()
