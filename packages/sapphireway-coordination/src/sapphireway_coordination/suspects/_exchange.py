"""Exchange of suspect digests between the nodes of a service."""

import asyncio
from collections.abc import Callable, Sequence

from sapphireway_coordination.suspects._table import (
    RunPermission,
    Suspect,
    SuspectTable,
)
from sapphireway_protocol import (
    AskRerun,
    ClearSuspect,
    GrantRerun,
    ListSuspects,
    MarkSuspect,
    Peers,
    ReturnRerun,
    SuspectAck,
    SuspectList,
)

CRASH_WINDOW_S = 0.01
ACK_TIMEOUTS_S = (0.05, 0.2, 1.0, 5.0)
ACK_WAIT_S = 0.05
GRANT_TIMEOUT_S = 0.1
AWAITING_ACKS = "settling"  # in Suspect.holders until the other nodes acknowledge
LIST_TIMEOUT_S = 1.0

GetNodes = Callable[[str], Sequence[str]]
"""Returns the addresses of the nodes of a service."""


class SuspectExchange:
    """Keeps the suspect tables of a service's nodes in sync and grants reruns.

    Parameters
    ----------
    peers : Peers
    table : SuspectTable
    get_nodes : callable
        Returns the addresses of the nodes of a service.

    Attributes
    ----------
    is_running : callable
        Tells whether this node's server is running a digest.
    get_senders : callable
        Returns the addresses of the nodes that lately sent requests to that server.
        The membership may not list them yet.
    is_up : callable
        Asks that server whether it is up; returns False also if it can't be asked.
    service : str
        Service of this node's server; empty if there is none.
    """

    __slots__ = (
        "_disconnected_digests",
        "_get_nodes",
        "_marking_task",
        "_peers",
        "_table",
        "_tasks",
        "_ttl_s",
        "get_senders",
        "is_running",
        "is_up",
        "service",
    )

    def __init__(self, peers: Peers, table: SuspectTable, get_nodes: GetNodes):
        self._disconnected_digests = set()
        self._get_nodes = get_nodes
        self._peers = peers
        self._marking_task = None
        self._table = table
        self._tasks = set()
        self._ttl_s = 0.0
        self.get_senders = lambda: ()
        self.is_running = lambda digest: False
        self.is_up = _report_down
        self.service = ""
        peers.handle(MarkSuspect, self._handle_mark)
        peers.handle(ClearSuspect, self._handle_clear)
        peers.handle(AskRerun, self._handle_grant_request)
        peers.handle(ReturnRerun, self._handle_return)
        peers.handle(ListSuspects, self._handle_list)

    def close(self) -> None:
        """Cancel all background tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def report_disconnect(self, digest: str, ttl_s: float) -> None:
        """Report that the server closed a request's connection without an answer.

        Disconnects within `CRASH_WINDOW_S` count as one crash, unless the server is up
        after it: then only connections were lost.
        Returns once the other nodes have acknowledged the mark, or after `ACK_WAIT_S`:
        a retry that the reply causes must not arrive before the mark.
        """
        self._disconnected_digests.add(digest)
        self._ttl_s = ttl_s
        if self._marking_task is None:
            self._marking_task = self._spawn(self._mark_suspects())
        await asyncio.shield(self._marking_task)

    async def condemn(self, digest: str, ttl_s: float) -> None:
        """Report that a request that ran alone crashed the server."""
        if await self.is_up():
            self.return_grant(digest)
            return
        suspect = self._table.mark(digest, ttl_s)
        self._clear_co_suspects(suspect)
        await self._share([suspect])

    def report_answered(self, digest: str) -> None:
        """Report that a request of a suspect digest was answered."""
        self._table.record_answered(digest)
        if self._table.clear(digest):
            self._broadcast(ClearSuspect(self.service, digest))

    async def request_grant(self, digest: str) -> bool:
        """Request a grant to run a suspect digest alone."""
        suspect = self._table.get(digest)
        if suspect is None or suspect.condemned:
            return False
        if suspect.origin == self._peers.address:
            return self._table.grant(digest, self._peers.address)
        reply = await self._peers.request(
            suspect.origin, AskRerun(self.service, digest), GRANT_TIMEOUT_S
        )
        if reply is None or not isinstance(reply.message, GrantRerun):
            return False
        if reply.message.cleared:
            self._table.clear(digest)
        return (
            reply.message.granted
            and self._table.get_permission(digest) is RunPermission.ALONE
        )

    def return_grant(self, digest: str) -> None:
        """Return the grant of an inconclusive rerun."""
        suspect = self._table.get(digest)
        if suspect is None:
            return
        if suspect.origin == self._peers.address:
            self._table.release_hold(digest, self._peers.address)
        else:
            self._peers.send(suspect.origin, ReturnRerun(self.service, digest))

    def inform(self, node: str, service: str, digest: str) -> None:
        """Send what is known of a digest to a node that is about to get a request.

        The node may have joined after the digest was marked.
        """
        suspect = self._table.get(digest) if service == self.service else None
        if suspect is not None:
            self._peers.send(node, self._make_mark(suspect))

    def renew(self, digest: str) -> None:
        """Extend a condemned digest on all nodes while requests for it arrive."""
        suspect = self._table.renew(digest)
        if suspect is not None:
            self._spawn(self._share([suspect]))

    def fetch_suspects(self) -> None:
        """Fetch the suspects of the service's other nodes, after a start."""
        for node in self._list_other_nodes():
            self._spawn(self._fetch(node))

    async def _mark_suspects(self):
        await asyncio.sleep(CRASH_WINDOW_S)
        up = await self.is_up()
        digests = () if up else self._table.pick_suspects(self._disconnected_digests)
        self._disconnected_digests.clear()
        self._marking_task = None
        suspects = []
        for digest in digests:
            co_suspects = [other for other in digests if other != digest]
            suspect = self._table.mark(digest, self._ttl_s, co_suspects)
            suspects.append(suspect)
            if suspect.condemned:
                self._clear_co_suspects(suspect)
            # No rerun before the other nodes have replied whether they run it.
            self._table.hold(digest, AWAITING_ACKS)
        await self._share(suspects)
        for digest in digests:
            self._table.release_hold(digest, AWAITING_ACKS)

    async def _share(self, suspects: Sequence[Suspect]):
        sends = [
            self._spawn(self._deliver(node, self._make_mark(suspect)))
            for suspect in suspects
            for node in self._list_other_nodes()
        ]
        self._share_with_newcomers(suspects)
        if sends:
            await asyncio.wait(sends, timeout=ACK_WAIT_S)

    def _share_with_newcomers(self, suspects):
        """Send marks to senders that are no members here, without waiting for them."""
        known = {self._peers.address, *self._get_nodes(self.service)}
        newcomers = [node for node in self.get_senders() if node not in known]
        for node in newcomers:
            for suspect in suspects:
                self._spawn(self._deliver(node, self._make_mark(suspect)))

    async def _deliver(self, node, mark):
        for timeout_s in ACK_TIMEOUTS_S:
            reply = await self._peers.request(node, mark, timeout_s)
            if reply is not None and isinstance(reply.message, SuspectAck):
                if reply.message.running:
                    self._table.hold(mark.digest, node)
                return
            await asyncio.sleep(timeout_s)

    async def _fetch(self, node):
        reply = await self._peers.request(
            node, ListSuspects(self.service), LIST_TIMEOUT_S
        )
        if reply is not None and isinstance(reply.message, SuspectList):
            for mark in reply.message.marks:
                self._table.merge(mark)

    def _make_mark(self, suspect):
        return MarkSuspect(
            self.service,
            suspect.digest,
            suspect.origin,
            suspect.condemned,
            suspect.ttl_s,
        )

    def _clear_co_suspects(self, suspect):
        co_suspects, suspect.co_suspects = suspect.co_suspects, ()
        for digest in co_suspects:
            if self._table.clear(digest):
                self._broadcast(ClearSuspect(self.service, digest))

    def _broadcast(self, message):
        for node in self._list_other_nodes():
            self._peers.send(node, message)

    def _list_other_nodes(self):
        own = self._peers.address
        return [node for node in self._get_nodes(self.service) if node != own]

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _handle_mark(self, sender, envelope):
        mark = envelope.message
        running = False
        if mark.service == self.service:
            suspect = self._table.merge(mark)
            running = self.is_running(mark.digest)
            if suspect.condemned:
                self._clear_co_suspects(suspect)
        self._peers.reply(sender, envelope, SuspectAck(mark.digest, running))

    def _handle_clear(self, sender, envelope):
        digest = envelope.message.digest
        if envelope.message.service == self.service and self._table.clear(digest):
            self._table.record_answered(digest)

    def _handle_grant_request(self, sender, envelope):
        grant_request = envelope.message
        is_own_service = grant_request.service == self.service
        granted = is_own_service and self._table.grant(grant_request.digest, sender)
        cleared = is_own_service and self._table.is_cleared(grant_request.digest)
        self._peers.reply(
            sender, envelope, GrantRerun(grant_request.digest, granted, cleared)
        )

    def _handle_return(self, sender, envelope):
        if envelope.message.service == self.service:
            self._table.release_hold(envelope.message.digest, sender)

    def _handle_list(self, sender, envelope):
        marks = []
        if envelope.message.service == self.service:
            marks = [self._make_mark(suspect) for suspect in self._table.list_all()]
        self._peers.reply(sender, envelope, SuspectList(marks))


async def _report_down():
    return False
