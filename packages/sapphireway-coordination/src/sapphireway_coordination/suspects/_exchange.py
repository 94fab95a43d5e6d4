"""Sharing of suspect digests between the nodes of a service."""

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
ASK_TIMEOUT_S = 0.1
SETTLING = "settling"
LIST_TIMEOUT_S = 1.0

GetNodes = Callable[[str], Sequence[str]]
"""Returns the addresses of the nodes of a service."""


class SuspectExchange:
    """Marks, grants and clears suspects together with the service's other nodes.

    Parameters
    ----------
    peers : Peers
    table : SuspectTable
    get_nodes : callable
        Returns the addresses of the nodes of a service.

    Attributes
    ----------
    is_running : callable
        Tells whether the server beside this node runs a digest now.
    is_up : callable
        Asks that server whether it is up; False also if it can't be asked.
    service : str
        Service of the server beside this node; empty if there is none.
    """

    __slots__ = (
        "_broken",
        "_get_nodes",
        "_peers",
        "_settling",
        "_table",
        "_tasks",
        "_ttl_s",
        "is_running",
        "is_up",
        "service",
    )

    def __init__(self, peers: Peers, table: SuspectTable, get_nodes: GetNodes):
        self._broken = set()
        self._get_nodes = get_nodes
        self._peers = peers
        self._settling = None
        self._table = table
        self._tasks = set()
        self._ttl_s = 0.0
        self.is_running = lambda digest: False
        self.is_up = _deny
        self.service = ""
        peers.handle(MarkSuspect, self._take_mark)
        peers.handle(ClearSuspect, self._take_clear)
        peers.handle(AskRerun, self._take_ask)
        peers.handle(ReturnRerun, self._take_return)
        peers.handle(ListSuspects, self._take_list)

    def close(self) -> None:
        """End all background work."""
        for task in list(self._tasks):
            task.cancel()

    async def report_disconnect(self, digest: str, ttl_s: float) -> None:
        """Note that the server closed the connection of a request unanswered.

        Requests that break within `CRASH_WINDOW_S` are taken to be of one crash, unless
        the server is up after it: then only connections were lost.
        Returns once the other nodes know, or after `ACK_WAIT_S`: a retry that is
        sent on the strength of the reply must not overtake the mark.
        """
        self._broken.add(digest)
        self._ttl_s = ttl_s
        if self._settling is None:
            self._settling = self._spawn(self._settle())
        await asyncio.shield(self._settling)

    async def condemn(self, digest: str, ttl_s: float) -> None:
        """Note that a request that ran alone took the server down."""
        if await self.is_up():
            self.return_grant(digest)
            return
        suspect = self._table.mark(digest, ttl_s)
        self._clear_siblings(suspect)
        await self._share([suspect])

    def report_answered(self, digest: str) -> None:
        """Note that a request that ran alone was answered."""
        self._table.record_success(digest)
        if self._table.clear(digest):
            self._tell_all(ClearSuspect(self.service, digest))

    async def request_grant(self, digest: str) -> bool:
        """Ask for leave to run a request of a suspect digest alone."""
        suspect = self._table.get(digest)
        if suspect is None or suspect.condemned:
            return False
        if suspect.origin == self._peers.address:
            return self._table.grant(digest, self._peers.address)
        reply = await self._peers.request(
            suspect.origin, AskRerun(self.service, digest), ASK_TIMEOUT_S
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
        """Return a grant that brought no verdict."""
        suspect = self._table.get(digest)
        if suspect is None:
            return
        if suspect.origin == self._peers.address:
            self._table.take_back(digest, self._peers.address)
        else:
            self._peers.send(suspect.origin, ReturnRerun(self.service, digest))

    def renew(self, digest: str) -> None:
        """Keep a condemned digest known everywhere while it is being sent."""
        suspect = self._table.renew(digest)
        if suspect is not None:
            self._spawn(self._share([suspect]))

    def fetch_suspects(self) -> None:
        """Ask the service's other nodes for their suspects, after a start."""
        for node in self._list_others():
            self._spawn(self._fetch(node))

    async def _settle(self):
        await asyncio.sleep(CRASH_WINDOW_S)
        up = await self.is_up()
        digests = () if up else self._table.pick_suspects(self._broken)
        self._broken.clear()
        self._settling = None
        suspects = []
        for digest in digests:
            siblings = [other for other in digests if other != digest]
            suspect = self._table.mark(digest, self._ttl_s, siblings)
            suspects.append(suspect)
            if suspect.condemned:
                self._clear_siblings(suspect)
            # No rerun before the others have said whether they run it now.
            self._table.hold(digest, SETTLING)
        await self._share(suspects)
        for digest in digests:
            self._table.take_back(digest, SETTLING)

    async def _share(self, suspects: Sequence[Suspect]):
        sends = [
            self._spawn(self._deliver(node, self._make_mark(suspect)))
            for suspect in suspects
            for node in self._list_others()
        ]
        if sends:
            await asyncio.wait(sends, timeout=ACK_WAIT_S)

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
                self._table.learn(mark)

    def _make_mark(self, suspect):
        return MarkSuspect(
            self.service,
            suspect.digest,
            suspect.origin,
            suspect.condemned,
            suspect.ttl_s,
        )

    def _clear_siblings(self, suspect):
        siblings, suspect.siblings = suspect.siblings, ()
        for digest in siblings:
            if self._table.clear(digest):
                self._tell_all(ClearSuspect(self.service, digest))

    def _tell_all(self, message):
        for node in self._list_others():
            self._peers.send(node, message)

    def _list_others(self):
        own = self._peers.address
        return [node for node in self._get_nodes(self.service) if node != own]

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _take_mark(self, sender, envelope):
        mark = envelope.message
        running = False
        if mark.service == self.service:
            suspect = self._table.learn(mark)
            running = self.is_running(mark.digest)
            if suspect.condemned:
                self._clear_siblings(suspect)
        self._peers.reply(sender, envelope, SuspectAck(mark.digest, running))

    def _take_clear(self, sender, envelope):
        digest = envelope.message.digest
        if envelope.message.service == self.service and self._table.clear(digest):
            self._table.record_success(digest)

    def _take_ask(self, sender, envelope):
        ask = envelope.message
        ours = ask.service == self.service
        granted = ours and self._table.grant(ask.digest, sender)
        cleared = ours and self._table.is_cleared(ask.digest)
        self._peers.reply(sender, envelope, GrantRerun(ask.digest, granted, cleared))

    def _take_return(self, sender, envelope):
        if envelope.message.service == self.service:
            self._table.take_back(envelope.message.digest, sender)

    def _take_list(self, sender, envelope):
        marks = []
        if envelope.message.service == self.service:
            marks = [self._make_mark(suspect) for suspect in self._table.list_all()]
        self._peers.reply(sender, envelope, SuspectList(marks))


async def _deny():
    return False
