"""The replicated journal of the control hosts."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence

from sapphireway_coordination.quorum._election import answer_vote, run_elections
from sapphireway_coordination.quorum._follower import (
    answer_append,
    answer_chunk,
    answer_heartbeat,
)
from sapphireway_coordination.quorum._leader import confirm_leadership, lead
from sapphireway_coordination.quorum._members import answer_join, change_members
from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._requests import answer_change, answer_query
from sapphireway_coordination.quorum._start import (
    answer_found,
    answer_hello,
    open_disk,
    run_start,
)
from sapphireway_coordination.quorum._types import (
    Committed,
    Current,
    NotLeader,
    QuorumSettings,
    QuorumStatus,
    Role,
    StateMachine,
    Unavailable,
)
from sapphireway_protocol import (
    Append,
    ChangeMembers,
    EntryKind,
    Found,
    Hello,
    Join,
    Peers,
    Propose,
    Query,
    SnapshotChunk,
    Vote,
)
from sapphireway_state import Snapshot
from sapphireway_transport import Disk

PROPOSALS_MAX = 4_096
REQUESTS_MAX = 1_024
INBOX_MESSAGES = 64

_ANSWERS = {
    Append: answer_append,
    Found: answer_found,
    Hello: answer_hello,
    SnapshotChunk: answer_chunk,
    Vote: answer_vote,
}


class Quorum:
    """One control host of the replicated journal.

    Parameters
    ----------
    peers : Peers
        Its address is this host's identity among `control_hosts`.
    disk : Disk
        The data folder, used by nobody else.
    machine : StateMachine
        Gets every committed command in order. Commands may come again after a
        restart, from the latest snapshot on.
    control_hosts : sequence of str
        Addresses of all control hosts, including this one.
    rng : random.Random
    settings : QuorumSettings
    bootstrap : bool, default=False
        Whether a new cluster may be formed if all control hosts are empty.

    Attributes
    ----------
    failure : BaseException or None
        The broken invariant that stopped this host.
    """

    __slots__ = ("_inboxes", "_query", "_replica", "_requests", "_tasks", "failure")

    def __init__(
        self,
        peers: Peers,
        disk: Disk,
        machine: StateMachine,
        control_hosts: Sequence[str],
        rng: random.Random,
        settings: QuorumSettings | None = None,
        bootstrap: bool = False,
    ):
        self._inboxes = {}
        self._query = None
        self._replica = Replica(
            peers,
            disk,
            machine,
            control_hosts,
            rng,
            settings or QuorumSettings(),
            bootstrap,
        )
        self._requests = 0
        self._tasks = set()
        self.failure = None

    async def start(self) -> None:
        """Read the data folder and begin to take part."""
        replica = self._replica
        await open_disk(replica)
        for message_type in _ANSWERS:
            replica.peers.handle(message_type, self._receive)
        replica.peers.handle(Join, self._receive_join)
        for message_type in (ChangeMembers, Propose, Query):
            replica.peers.handle(message_type, self._receive_request)
        self._spawn(run_start(replica))
        self._spawn(run_elections(replica, lead))
        self._spawn(_run_compaction(replica))

    async def stop(self) -> None:
        """Stop to take part; the data folder keeps what was accepted."""
        self._replica.role = Role.STOPPED
        self._replica.notify()
        tasks, self._tasks = self._tasks, set()
        await self._replica.cancel(tasks)
        self._replica.role = Role.STOPPED

    async def propose(self, command: bytes) -> Committed | NotLeader | Unavailable:
        """Commit a command; returns once it is applied here."""
        replica = self._replica
        if replica.role != Role.LEADER:
            return self._refuse()
        if len(command) > replica.settings.limits.command_max_bytes:
            return Unavailable("the command is larger than the limit")
        if replica.proposals.qsize() >= PROPOSALS_MAX:
            return Unavailable("too many commands are waiting")
        future = asyncio.get_running_loop().create_future()
        replica.proposals.put_nowait((EntryKind.COMMAND, command, future))
        return await future

    async def read_barrier(self) -> Current | NotLeader | Unavailable:
        """Return once this host is known to hold all that was committed before."""
        if self._replica.role != Role.LEADER:
            return self._refuse()
        index = await confirm_leadership(self._replica)
        if index is None:
            return Unavailable("this host no longer leads")
        return Current(index)

    async def change_members(
        self, add: Sequence[str] = (), remove: Sequence[str] = ()
    ) -> Committed | NotLeader | Unavailable:
        """Expect further control hosts, and take others out one by one."""
        if self._replica.role != Role.LEADER:
            return self._refuse()
        return await change_members(self._replica, add, remove)

    def serve_queries(self, query: Callable[[bytes], bytes]) -> None:
        """Answer the current reads of `ControlClient` by `query`.

        An exception in `query` is taken for a broken invariant.
        """
        self._query = query

    def get_status(self) -> QuorumStatus:
        """Return what this host knows."""
        replica = self._replica
        role = replica.role
        if role == Role.FOLLOWER and not replica.is_voter:
            role = Role.LEARNER
        # What is only proposed must not tell operators that a repair is done.
        members = replica.configurations[0].members
        return QuorumStatus(
            role,
            replica.disk_id,
            replica.vote.cluster_id,
            replica.term,
            replica.leader.address if replica.leader else None,
            replica.commit_index,
            replica.journal.last_index,
            replica.journal.snapshot.index,
            tuple(member for member in members if member.voter),
            tuple(member for member in members if not member.voter),
            replica.disk_problem or "ok",
            str(self.failure) if self.failure else replica.detail,
            replica.configurations[0].index,
        )

    def _refuse(self):
        replica = self._replica
        if replica.disk_problem:
            return Unavailable(replica.disk_problem)
        if replica.role == Role.STOPPED:
            return Unavailable("this host has stopped")
        leader = replica.leader.address if replica.leader else None
        if not replica.hears_leader():
            leader = None
        return NotLeader(leader)

    def _receive(self, sender, envelope):
        if not self._is_for_us(envelope.message):
            return
        if isinstance(envelope.message, Append) and answer_heartbeat(
            self._replica, sender, envelope
        ):
            return
        inbox = self._inboxes.get(sender)
        if inbox is None:
            inbox = self._inboxes[sender] = deque(maxlen=INBOX_MESSAGES)
            self._spawn(self._serve_peer(sender, inbox))
        inbox.append(envelope)

    def _is_for_us(self, message):
        if self._replica.role == Role.STOPPED:
            return False
        if isinstance(message, Hello | Found):
            return True
        vote = self._replica.vote
        return message.cluster_id == vote.cluster_id and message.target == vote.disk_id

    async def _serve_peer(self, sender, inbox):
        """Answer one peer's messages in their order until none is left."""
        try:
            while inbox:
                envelope = inbox.popleft()
                if self._is_for_us(envelope.message):
                    answer = _ANSWERS[type(envelope.message)]
                    await answer(self._replica, sender, envelope)
        finally:
            del self._inboxes[sender]

    def _receive_join(self, sender, envelope):
        if envelope.message.cluster_id == self._replica.vote.cluster_id:
            answer_join(self._replica, sender, envelope)

    def _receive_request(self, sender, envelope):
        if self._requests < REQUESTS_MAX and self._replica.role != Role.STOPPED:
            self._spawn(self._serve_request(sender, envelope))

    async def _serve_request(self, sender, envelope):
        self._requests += 1
        try:
            await self._answer_request(sender, envelope)
        finally:
            self._requests -= 1

    async def _answer_request(self, sender, envelope):
        replica, message = self._replica, envelope.message
        if isinstance(message, Propose):
            change = self.propose(envelope.body)
            await answer_change(replica, change, sender, envelope)
        elif isinstance(message, ChangeMembers):
            change = self.change_members(message.add, message.remove)
            await answer_change(replica, change, sender, envelope)
        elif self._query is not None:
            read = self.read_barrier()
            await answer_query(replica, read, self._query, sender, envelope)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None or self.failure is not None:
            return
        # A broken invariant: nothing that this host says can be trusted any more.
        self.failure = task.exception()
        self._replica.role = Role.STOPPED
        self._replica.notify()
        for other in self._tasks:
            other.cancel()
        asyncio.get_running_loop().call_exception_handler(
            {
                "message": "a control host stops on a broken invariant",
                "exception": self.failure,
            }
        )


async def _run_compaction(replica):
    """Write a snapshot whenever the journal has grown to its limit."""
    limits = replica.settings.limits
    while True:
        await replica.wait_until(
            lambda: (
                replica.journal.size_bytes >= limits.compact_bytes
                and replica.applied_index > replica.journal.snapshot.index
                and replica.may_act
            )
        )
        async with replica.lock:
            index = replica.applied_index
            term = replica.journal.get_term(index)
            members = list(replica.configurations[0].members)
            snapshot = Snapshot(index, term, members, replica.machine.snapshot())
            failure = await replica.journal.save_snapshot(snapshot)
            if failure is not None:
                replica.fail_disk(failure)
