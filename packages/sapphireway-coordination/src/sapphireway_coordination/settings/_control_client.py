"""Client of the replicated journal for any node."""

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination.membership import ControlHostList
from sapphireway_coordination.quorum import Committed, ReadResult, Unavailable
from sapphireway_protocol import ChangeMembers, ControlReply, Peers, Propose, Query

ATTEMPT_TIMEOUT_S = 1.0
# A host that starts drops requests before it can serve them, so one silent host must
# not take most of the time.
ATTEMPT_TIMEOUT_MAX_S = 4.0
RETRY_WAIT_S = 0.1


class ControlClient:
    """Sends commands and reads to the control host that leads.

    Parameters
    ----------
    peers : Peers
    control_hosts : ControlHostList
    rng : random.Random
    on_unanswered : callable
        Called with a host's address, the type of the request, its size in bytes and the
        seconds waited whenever the host has not answered in time.
    """

    __slots__ = ("_control_hosts", "_leader", "_on_unanswered", "_peers", "_rng")

    def __init__(
        self,
        peers: Peers,
        control_hosts: ControlHostList,
        rng: random.Random,
        on_unanswered: Callable[[str, str, int, float], None] = lambda *fields: None,
    ):
        self._control_hosts = control_hosts
        self._leader = None
        self._on_unanswered = on_unanswered
        self._peers = peers
        self._rng = rng

    async def propose(
        self, command: bytes, timeout_s: float, *, resend: bool = True
    ) -> Committed | Unavailable:
        """Commit a command.

        Parameters
        ----------
        command : bytes
            Must be idempotent unless `resend` is False: the state machine has to
            recognise a duplicate.
        timeout_s : float
        resend : bool, default=True
            Whether to send the command again when its outcome is unknown.
        """
        return await self._send_change(Propose(timeout_s), command, timeout_s, resend)

    async def change_members(
        self, add: Sequence[str], remove: Sequence[str], timeout_s: float
    ) -> Committed | Unavailable:
        """Add and remove control hosts; added ones vote once they have caught up."""
        request = ChangeMembers(timeout_s, list(add), list(remove))
        return await self._send_change(request, b"", timeout_s, resend=True)

    async def read(self, query: bytes, timeout_s: float) -> ReadResult | Unavailable:
        """Return a linearizable read: it reflects all that was committed before."""
        reply, body, _ = await self._send_to_leader(
            Query(timeout_s), query, timeout_s, True
        )
        if reply is not None and reply.done:
            return ReadResult(reply.index, body)
        return Unavailable(
            reply.detail if reply is not None else "no control host answered"
        )

    async def _send_change(self, request, body, timeout_s, resend):
        reply, result, maybe_applied = await self._send_to_leader(
            request, body, timeout_s, resend
        )
        if reply is not None and reply.done:
            return Committed(reply.index, result)
        detail = reply.detail if reply is not None else "no control host answered"
        return Unavailable(detail, maybe_applied)

    async def _send_to_leader(self, request, body, timeout_s, resend):
        """Return the last reply, its body, and whether the request may be applied."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        maybe_applied = False
        last = None
        attempt_timeout_max_s = ATTEMPT_TIMEOUT_S
        waited = False
        hosts = self._order_hosts()
        while (remaining_s := deadline_s - loop.time()) > 0:
            host = hosts.pop(0)
            attempt_timeout_s = min(remaining_s, attempt_timeout_max_s)
            attempt = msgspec.structs.replace(request, timeout_s=attempt_timeout_s)
            sent_s = loop.time()
            reply = await self._peers.request(host, attempt, attempt_timeout_s, body)
            waited |= reply is None and loop.time() - sent_s >= attempt_timeout_s
            if reply is not None and isinstance(reply.message, ControlReply):
                last = reply.message
                self._leader = last.leader or None
                if last.done:
                    return last, reply.body, False
                maybe_applied |= last.maybe_applied
            else:
                waited_s = loop.time() - sent_s
                self._on_unanswered(host, type(request).__name__, len(body), waited_s)
                maybe_applied = True
                self._leader = None
            if maybe_applied and not resend:
                break
            if not hosts:
                hosts = self._order_hosts()
                if waited:
                    attempt_timeout_max_s *= 2
                    attempt_timeout_max_s = min(
                        attempt_timeout_max_s, ATTEMPT_TIMEOUT_MAX_S
                    )
                waited = False
                await asyncio.sleep(RETRY_WAIT_S * self._rng.uniform(0.5, 1.5))
        return last, b"", maybe_applied

    def _order_hosts(self):
        hosts = list(self._control_hosts.addresses)
        self._rng.shuffle(hosts)
        if self._leader in hosts:
            hosts.remove(self._leader)
            hosts.insert(0, self._leader)
        return hosts
