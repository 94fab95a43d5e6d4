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
# While the quorum of this host has no leader, the others hardly know one either, and
# operators go on to another host after a second.
SEARCH_TIMEOUT_S = 0.25
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

    __slots__ = (
        "_attempt_timeout_s",
        "_control_hosts",
        "_find_leader",
        "_has_lost_quorum",
        "_leader",
        "_on_unanswered",
        "_peers",
        "_rng",
    )

    def __init__(
        self,
        peers: Peers,
        control_hosts: ControlHostList,
        rng: random.Random,
        on_unanswered: Callable[[str, str, int, float], None] = lambda *fields: None,
    ):
        self._attempt_timeout_s = ATTEMPT_TIMEOUT_S
        self._control_hosts = control_hosts
        self._find_leader = lambda: self._leader
        self._has_lost_quorum = lambda: False
        self._leader = None
        self._on_unanswered = on_unanswered
        self._peers = peers
        self._rng = rng

    def use_local_quorum(
        self,
        find_leader: Callable[[], str | None],
        has_lost_quorum: Callable[[], bool],
    ) -> None:
        """Send to the leader that this control host hears.

        The host that answered last may be silent, and the quorum knows its successor.

        Parameters
        ----------
        find_leader : callable
            Returns the leader's address, or None.
        has_lost_quorum : callable
            Returns whether to refuse requests at once, as no leader is to be expected.
        """
        self._attempt_timeout_s = SEARCH_TIMEOUT_S
        self._find_leader = find_leader
        self._has_lost_quorum = has_lost_quorum

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
        answer = await self._send_to_leader(Query(timeout_s), query, timeout_s, True)
        if isinstance(answer, Unavailable):
            return msgspec.structs.replace(answer, maybe_applied=False)
        return ReadResult(answer.message.index, answer.body)

    async def _send_change(self, request, body, timeout_s, resend):
        answer = await self._send_to_leader(request, body, timeout_s, resend)
        if isinstance(answer, Unavailable):
            return answer
        return Committed(answer.message.index, answer.body)

    async def _send_to_leader(self, request, body, timeout_s, resend):
        """Return the envelope with the leader's reply, or `Unavailable`."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        maybe_applied = False
        detail = "no control host answered"
        attempt_timeout_max_s = self._attempt_timeout_s
        waited = False
        hosts, asked = self._shuffle_hosts(), set()
        while (remaining_s := deadline_s - loop.time()) > 0:
            if self._has_lost_quorum():
                detail = "this control host hears no leader; send it to another one"
                return Unavailable(detail, maybe_applied, lost_quorum=True)
            host, wait_s = self._choose_host(hosts, asked, attempt_timeout_max_s)
            asked.add(host)
            attempt_timeout_s = min(remaining_s, wait_s)
            attempt = msgspec.structs.replace(request, timeout_s=attempt_timeout_s)
            sent_s = loop.time()
            reply = await self._peers.request(host, attempt, attempt_timeout_s, body)
            waited |= reply is None and loop.time() - sent_s >= attempt_timeout_s
            if reply is not None and isinstance(reply.message, ControlReply):
                self._leader = reply.message.leader or None
                if reply.message.done:
                    return reply
                detail = reply.message.detail
                maybe_applied |= reply.message.maybe_applied
            else:
                waited_s = loop.time() - sent_s
                self._on_unanswered(host, type(request).__name__, len(body), waited_s)
                maybe_applied = True
                self._leader = None
            if maybe_applied and not resend:
                break
            if asked.issuperset(hosts):
                hosts, asked = self._shuffle_hosts(), set()
                if waited:
                    attempt_timeout_max_s *= 2
                    attempt_timeout_max_s = min(
                        attempt_timeout_max_s, ATTEMPT_TIMEOUT_MAX_S
                    )
                waited = False
                await asyncio.sleep(RETRY_WAIT_S * self._rng.uniform(0.5, 1.5))
        return Unavailable(detail, maybe_applied)

    def _choose_host(self, hosts, asked, wait_s):
        """Return the next host to ask in this round, and for how long to wait."""
        leader = self._find_leader()
        if leader is not None and leader not in asked:
            return leader, max(wait_s, ATTEMPT_TIMEOUT_S)
        return next(host for host in hosts if host not in asked), wait_s

    def _shuffle_hosts(self):
        hosts = list(self._control_hosts.addresses)
        self._rng.shuffle(hosts)
        return hosts
