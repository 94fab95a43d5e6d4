"""Public interface of the replicated journal."""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from sapphireway_coordination.quorum._data_folder import open_data_folder
from sapphireway_coordination.quorum._election import handle_vote, run_elections
from sapphireway_coordination.quorum._follower import (
    handle_append,
    handle_chunk,
    handle_heartbeat,
)
from sapphireway_coordination.quorum._leader import confirm_leadership, lead
from sapphireway_coordination.quorum._members import change_members, handle_join
from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._replication import handle_late_reply
from sapphireway_coordination.quorum._requests import handle_change, handle_query
from sapphireway_coordination.quorum._start import (
    handle_bootstrap,
    handle_hello,
    run_startup,
)
from sapphireway_coordination.quorum._types import (
    Committed,
    Current,
    NotLeader,
    QuorumSettings,
    QuorumStatus,
    Role,
    SnapshotNotSaved,
    StateMachine,
    Unavailable,
)
from sapphireway_protocol import (
    Append,
    AppendReply,
    Bootstrap,
    ChangeMembers,
    EntryKind,
    Hello,
    Join,
    Peers,
    Propose,
    Query,
    SnapshotChunk,
    VoteRequest,
)
from sapphireway_state import Snapshot
from sapphireway_transport import Disk

QUEUED_PROPOSALS_MAX = 4_096
CONCURRENT_REQUESTS_MAX = 1_024
INBOX_MESSAGES_MAX = 64
# Each try encodes and writes the whole state, while other writes wait. Short, as a full
# journal accepts no commands until it is compacted.
SNAPSHOT_RETRY_S = 3.0

_HANDLERS = {
    Append: handle_append,
    Bootstrap: handle_bootstrap,
    Hello: handle_hello,
    SnapshotChunk: handle_chunk,
    VoteRequest: handle_vote,
}


class Quorum:
    """One control host's replica of the journal.

    Parameters
    ----------
    peers : Peers
        Its address identifies this host among `control_hosts`.
    disk : Disk
        The data folder, exclusively used by this quorum.
    machine : StateMachine
        Receives every committed command in order. After a restart, commands since the
        latest snapshot are applied again.
    control_hosts : sequence of str
        Addresses of all control hosts, including this one.
    rng : random.Random
    settings : QuorumSettings
    bootstrap : bool, default=False
        Whether a new cluster may be formed if the data folders of all control hosts
        are empty.
    observe : callable
        Called with each `EntriesUnanswered`, `DiskFailureSeen`, `DiskReopened`,
        `SnapshotNotSaved`, `MembersProposed` and `JoinAnswered`.
    compute_read_delay : callable
        Returns how many seconds ago a message that is read now can have arrived.

    Attributes
    ----------
    failure : BaseException or None
        Exception that stopped this host, such as a broken invariant.
    """

    __slots__ = (
        "_active_requests",
        "_compute_read_delay",
        "_inboxes",
        "_query_handler",
        "_replica",
        "_tasks",
        "failure",
    )

    def __init__(
        self,
        peers: Peers,
        disk: Disk,
        machine: StateMachine,
        control_hosts: Sequence[str],
        rng: random.Random,
        settings: QuorumSettings | None = None,
        bootstrap: bool = False,
        observe: Callable[[Any], None] = lambda event: None,
        compute_read_delay: Callable[[], float] = lambda: 0.0,
    ):
        self._compute_read_delay = compute_read_delay
        self._inboxes = {}
        self._query_handler = None
        self._replica = Replica(
            peers,
            disk,
            machine,
            control_hosts,
            rng,
            settings or QuorumSettings(),
            bootstrap,
            observe,
        )
        self._active_requests = 0
        self._tasks = set()
        self.failure = None

    async def start(self) -> None:
        """Read the data folder and start participating in the quorum."""
        replica = self._replica
        await open_data_folder(replica)
        for message_type in _HANDLERS:
            replica.peers.handle(message_type, self._receive)
        replica.peers.handle_late_reply(
            AppendReply, partial(handle_late_reply, replica)
        )
        replica.peers.handle(Join, self._receive_join)
        replica.peers.add_departure_listener(
            lambda sender, envelope: replica.handle_departure(sender)
        )
        for message_type in (ChangeMembers, Propose, Query):
            replica.peers.handle(message_type, self._receive_request)
        self._spawn(run_startup(replica))
        self._spawn(run_elections(replica, lead))
        self._spawn(_run_compaction(replica))

    async def stop(self) -> None:
        """Stop participating; entries that were accepted stay in the data folder."""
        self._replica.role = Role.STOPPED
        self._replica.notify()
        tasks, self._tasks = self._tasks, set()
        await self._replica.cancel(tasks)
        self._replica.role = Role.STOPPED

    async def propose(self, command: bytes) -> Committed | NotLeader | Unavailable:
        """Commit a command and wait until it is applied locally.

        A copy of a command that is not committed yet shares its outcome: clients send a
        command again while a slow link still carries it to the members.
        """
        replica = self._replica
        if replica.role != Role.LEADER:
            return self._make_refusal()
        if len(command) > replica.settings.limits.command_max_bytes:
            return Unavailable(
                f"the command has {len(command)} bytes; the limit is "
                f"{replica.settings.limits.command_max_bytes}"
            )
        if replica.proposals.qsize() >= QUEUED_PROPOSALS_MAX:
            return Unavailable("too many commands are queued at the leader; try again")
        future = replica.open_commands.get(command)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            replica.open_commands[command] = future
            future.add_done_callback(lambda _: replica.open_commands.pop(command))
            replica.proposals.put_nowait((EntryKind.COMMAND, command, future))
        # The caller's timeout must not cancel the outcome for the others.
        return await asyncio.shield(future)

    async def read_barrier(self) -> Current | NotLeader | Unavailable:
        """Wait until the local state includes everything committed before the call."""
        if self._replica.role != Role.LEADER:
            return self._make_refusal()
        index = await confirm_leadership(self._replica)
        if index is None:
            return Unavailable("this host is no longer the leader")
        return Current(index)

    async def change_members(
        self, add: Sequence[str] = (), remove: Sequence[str] = ()
    ) -> Committed | NotLeader | Unavailable:
        """Add control hosts as learners, then remove others one by one."""
        if self._replica.role != Role.LEADER:
            return self._make_refusal()
        return await change_members(self._replica, add, remove)

    def serve_queries(self, query: Callable[[bytes], bytes]) -> None:
        """Answer linearizable reads of `ControlClient` with `query`.

        An exception in `query` counts as a broken invariant and stops this host.
        """
        self._query_handler = query

    def get_status(self) -> QuorumStatus:
        """Return the state of the quorum as this host knows it."""
        replica = self._replica
        role = replica.role
        if role == Role.FOLLOWER and not replica.is_voter:
            role = Role.LEARNER
        # Only committed members are reported: an uncommitted promotion must not suggest
        # to operators that a repair is complete.
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
            replica.describe_disk(),
            str(self.failure) if self.failure else replica.detail,
            replica.configurations[0].index,
            replica.journal.get_term(replica.commit_index) == replica.term,
        )

    def find_leader(self) -> str | None:
        """Return the address of a leader that made contact recently, or None."""
        return self._replica.find_leader()

    def has_lost_quorum(self) -> bool:
        """Whether this voter has had no leader for longer than an election takes.

        False right after a stall, while the leader's messages are still to be read.
        """
        replica = self._replica
        stalled = self._compute_read_delay() > replica.settings.heartbeat_s
        return replica.has_lost_quorum() and not stalled

    def _make_refusal(self):
        replica = self._replica
        if replica.disk_problem:
            return Unavailable(replica.describe_disk())
        if replica.role == Role.STOPPED:
            return Unavailable("this host has stopped")
        return NotLeader(replica.find_leader())

    def _receive(self, sender, envelope):
        if not self._is_addressed_to_us(envelope.message):
            return
        if isinstance(envelope.message, Append) and handle_heartbeat(
            self._replica, sender, envelope
        ):
            return
        inbox = self._inboxes.get(sender)
        if inbox is None:
            inbox = self._inboxes[sender] = deque(maxlen=INBOX_MESSAGES_MAX)
            self._spawn(self._process_inbox(sender, inbox))
        inbox.append(envelope)

    def _is_addressed_to_us(self, message):
        if self._replica.role == Role.STOPPED:
            return False
        if isinstance(message, Hello | Bootstrap):
            return True
        vote = self._replica.vote
        return message.cluster_id == vote.cluster_id and message.target == vote.disk_id

    async def _process_inbox(self, sender, inbox):
        """Handle the messages of one peer in order until its inbox is empty."""
        try:
            while inbox:
                envelope = inbox.popleft()
                if self._is_addressed_to_us(envelope.message):
                    handler = _HANDLERS[type(envelope.message)]
                    await handler(self._replica, sender, envelope)
        finally:
            del self._inboxes[sender]

    def _receive_join(self, sender, envelope):
        if envelope.message.cluster_id == self._replica.vote.cluster_id:
            handle_join(self._replica, sender, envelope)

    def _receive_request(self, sender, envelope):
        if (
            self._active_requests < CONCURRENT_REQUESTS_MAX
            and self._replica.role != Role.STOPPED
        ):
            self._spawn(self._serve_request(sender, envelope))

    async def _serve_request(self, sender, envelope):
        self._active_requests += 1
        try:
            await self._handle_request(sender, envelope)
        finally:
            self._active_requests -= 1

    async def _handle_request(self, sender, envelope):
        replica, message = self._replica, envelope.message
        if isinstance(message, Propose):
            change = self.propose(envelope.body)
            await handle_change(replica, change, sender, envelope)
        elif isinstance(message, ChangeMembers):
            change = self._make_members_change(message)
            await handle_change(replica, change, sender, envelope)
        elif self._query_handler is not None:
            read = self.read_barrier()
            await handle_query(replica, read, self._query_handler, sender, envelope)

    async def _make_members_change(self, message):
        # Unlike a command, it names no state that it builds on.
        delay_s = self._compute_read_delay()
        if delay_s >= message.timeout_s:
            return Unavailable(
                f"this host stalled; the change may be {delay_s:.1f} s old"
            )
        return await self.change_members(message.add, message.remove)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task):
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None or self.failure is not None:
            return
        # After a broken invariant, no answer of this host can be trusted.
        self.failure = task.exception()
        self._replica.role = Role.STOPPED
        self._replica.notify()
        for other in self._tasks:
            other.cancel()
        asyncio.get_running_loop().call_exception_handler(
            {
                "message": "control host stopped by a broken invariant",
                "exception": self.failure,
            }
        )


async def _run_compaction(replica):
    """Write a snapshot whenever the journal reaches its compaction size."""
    limits = replica.settings.limits
    while True:
        await replica.wait_until(
            lambda: (
                replica.journal.size_bytes >= limits.compact_bytes
                and replica.applied_index > replica.journal.snapshot.index
                and replica.can_participate
            )
        )
        async with replica.lock:
            if not replica.can_participate:
                continue
            index = replica.applied_index
            term = replica.journal.get_term(index)
            members = list(replica.configurations[0].members)
            snapshot = Snapshot(index, term, members, replica.machine.snapshot())
            failure = await replica.journal.save_snapshot(snapshot)
            if replica.journal.failure is not None:
                replica.fail_disk(replica.journal.failure)
            elif failure is not None:
                replica.observe(SnapshotNotSaved(len(snapshot.data), failure.detail))
        if failure is not None:
            await asyncio.sleep(SNAPSHOT_RETRY_S)
