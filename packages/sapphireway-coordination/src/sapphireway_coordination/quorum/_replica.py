"""State of one control host that its tasks share."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from sapphireway_coordination.quorum._types import (
    Committed,
    DiskFailureSeen,
    DiskReopened,
    QuorumSettings,
    Role,
    StateMachine,
)
from sapphireway_protocol import EntryKind, JournalEntry, Peers, QuorumMember
from sapphireway_state import (
    Journal,
    JournalDamaged,
    Snapshot,
    VoteRecord,
    check_invariant,
    decode_members,
    save_vote,
)
from sapphireway_transport import Disk, DiskFailed

VOTE_HEARTBEATS = 2  # for a pre-vote and a vote


class Configuration(msgspec.Struct, frozen=True):
    """Members of the quorum as of a journal index."""

    index: int
    members: tuple[QuorumMember, ...]


class Replica:
    """Shared state of one control host.

    `lock` must be held to change the journal, the term or the vote.

    Attributes
    ----------
    leaderless_since_s : float
        Loop time from which this host may expect an election, unless a leader has made
        contact later.
    """

    __slots__ = (
        "_changed",
        "acked",
        "acked_version",
        "applied_index",
        "bootstrap",
        "commit_index",
        "configurations",
        "control_hosts",
        "detail",
        "disk",
        "disk_failed_s",
        "disk_problem",
        "disk_verified",
        "incoming_snapshot",
        "join_answer",
        "journal",
        "leader",
        "leader_contact_s",
        "leader_departed",
        "leaderless_since_s",
        "lock",
        "machine",
        "observe",
        "open_commands",
        "peers",
        "pending_commits",
        "pending_members_change",
        "progress",
        "proposals",
        "read_round",
        "rng",
        "role",
        "settings",
        "start_id",
        "vote",
    )

    def __init__(
        self,
        peers: Peers,
        disk: Disk,
        machine: StateMachine,
        control_hosts: Sequence[str],
        rng: random.Random,
        settings: QuorumSettings,
        bootstrap: bool,
        observe: Callable[[Any], None] = lambda event: None,
    ):
        self._changed = asyncio.Event()
        self.acked = {}
        self.acked_version = 0
        self.applied_index = 0
        self.bootstrap = bootstrap
        self.disk_verified = False
        self.commit_index = 0
        self.configurations = [Configuration(0, ())]
        self.control_hosts = tuple(control_hosts)
        self.detail = ""
        self.disk = disk
        self.disk_failed_s = None
        self.disk_problem = ""
        self.incoming_snapshot = None
        self.join_answer = None
        self.journal = Journal(disk, settings.limits)
        self.leader = None
        self.leader_contact_s = float("-inf")
        self.leader_departed = asyncio.Event()
        self.leaderless_since_s = asyncio.get_running_loop().time()
        self.lock = asyncio.Lock()
        self.machine = machine
        self.observe = observe
        self.open_commands = {}
        self.pending_members_change = None
        self.peers = peers
        self.progress = {}
        self.proposals = asyncio.Queue()
        self.read_round = 0
        self.rng = rng
        self.role = Role.STARTING
        self.settings = settings
        self.start_id = f"{rng.getrandbits(64):016x}"
        self.vote = VoteRecord("")
        self.pending_commits = {}

    @property
    def term(self) -> int:
        """Current election term."""
        return self.vote.term

    @property
    def disk_id(self) -> str:
        """Identity of this host's data folder."""
        return self.vote.disk_id

    @property
    def members(self) -> tuple[QuorumMember, ...]:
        """Members as of the latest membership entry, committed or not."""
        return self.configurations[-1].members

    @property
    def voters(self) -> tuple[QuorumMember, ...]:
        """Members with a vote."""
        return tuple(member for member in self.members if member.voter)

    @property
    def is_voter(self) -> bool:
        """Whether this host's data folder has a vote."""
        return any(member.disk_id == self.disk_id for member in self.voters)

    @property
    def can_participate(self) -> bool:
        """Whether this host may vote, store entries and campaign.

        This requires a working data folder that was verified to be up to date.
        """
        return (
            self.disk_verified and not self.disk_problem and self.role != Role.STOPPED
        )

    @property
    def is_damaged(self) -> bool:
        """Whether the data folder needs an operator, so that it isn't opened again."""
        return bool(self.disk_problem) and self.disk_failed_s is None

    def now(self) -> float:
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def notify(self) -> None:
        """Let every `wait_until` re-evaluate its predicate."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_until(self, predicate: Callable[[], bool]) -> None:
        """Wait until `predicate` returns True."""
        while not predicate():
            await self._changed.wait()

    def is_leading(self, term: int) -> bool:
        """Whether this host is the leader in `term`."""
        return self.role == Role.LEADER and self.term == term

    def has_recent_leader(self) -> bool:
        """Whether a leader made contact within the minimum election timeout.

        Always true on the leader itself.
        """
        if self.role == Role.LEADER:
            return True
        return self.now() - self.leader_contact_s < self.settings.election_min_s

    def find_leader(self) -> str | None:
        """Return the address of a leader that made contact recently, or None."""
        if self.leader is None or not self.has_recent_leader():
            return None
        return self.leader.address

    def has_lost_quorum(self) -> bool:
        """Whether this voter has had no leader for longer than an election takes.

        False while it starts, and while its disk fails: it then knows of no leader
        though there may be one.
        """
        if not (self.can_participate and self.is_voter) or self.has_recent_leader():
            return False
        settings = self.settings
        since_s = max(self.leader_contact_s, self.leaderless_since_s)
        election_s = settings.election_max_s + VOTE_HEARTBEATS * settings.heartbeat_s
        return self.now() - since_s > election_s

    def handle_departure(self, peer: str) -> None:
        """Let an election begin if `peer` led and has stopped gracefully.

        A late message of an earlier incarnation changes nothing.
        """
        led = self.leader is not None and self.leader.address == peer
        if led and self.peers.clocks.has_departed(peer):
            self.leader = None
            self.leader_contact_s = float("-inf")
            self.leaderless_since_s = self.now()
            self.leader_departed.set()

    def is_quorum(self, disk_ids) -> bool:
        """Whether the disk IDs include a majority of the voters."""
        return is_majority(disk_ids, self.members)

    async def cancel(self, tasks) -> None:
        """Cancel tasks, but none during a change under the lock; raise their errors."""
        tasks = list(tasks)
        async with self.lock:
            for task in tasks:
                task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def save_vote(self, **changes) -> bool:
        """Update the vote record durably; return False if the disk fails."""
        if self.disk_problem:
            return False
        record = msgspec.structs.replace(self.vote, **changes)
        check_invariant(
            record.term >= self.vote.term,
            f"term would decrease from {self.vote.term} to {record.term}",
        )
        failure = await save_vote(self.disk, record)
        if failure is not None:
            self.fail_disk(failure)
            return False
        self.vote = record
        return True

    async def adopt_term(self, term: int, voted_for: str = "") -> bool:
        """Enter a later term as a follower; return False if the disk fails."""
        if not await self.save_vote(term=term, voted_for=voted_for):
            return False
        self.step_down()
        self.leader = None
        return True

    def step_down(self) -> None:
        """Return from leader or candidate to follower."""
        if self.role in (Role.LEADER, Role.CANDIDATE):
            if self.role == Role.LEADER:
                self.leader = None
                # Without contact for the time after which a leader steps down.
                self.leaderless_since_s = self.now() - self.settings.election_min_s
            self.role = Role.FOLLOWER
        self.notify()

    def fail_disk(self, failure: DiskFailed) -> None:
        """Stop participating until the data folder was opened and verified again."""
        name = f" {failure.name}" if failure.name else ""
        problem = f"{failure.operation}{name}: {failure.detail}"
        if self.disk_failed_s is None:
            self.disk_failed_s = self.now()
        self._stop_participating(
            problem, failure.operation, failure.name, failure.detail
        )

    def report_damage(self, damage: JournalDamaged) -> None:
        """Stop participating until an operator has mended the data folder."""
        detail = f"is damaged at byte {damage.offset}: {damage.detail}"
        self.disk_failed_s = None
        self._stop_participating(f"{damage.name} {detail}", "read", damage.name, detail)

    def _stop_participating(self, problem, operation, name, detail):
        if problem != self.disk_problem:
            self.disk_problem = problem
            self.observe(DiskFailureSeen(operation, name, detail, self.role))
        self.disk_verified = False
        self.step_down()
        if self.role != Role.STOPPED:
            self.role = Role.STARTING

    def clear_disk_failure(self) -> None:
        """Note that the data folder was opened; it is still to be verified."""
        if self.disk_failed_s is not None:
            self.observe(DiskReopened(self.now() - self.disk_failed_s))
        self.disk_failed_s = None
        self.disk_problem = ""

    def describe_disk(self) -> str:
        """Return ``ok``, or what is wrong with the data folder and since when."""
        if self.disk_failed_s is None:
            return self.disk_problem or "ok"
        failed_s = self.now() - self.disk_failed_s
        return f"{self.disk_problem}; for {failed_s:.0f} s, opening it is retried"

    async def append(self, first: int, entries: Sequence[JournalEntry]) -> bool:
        """Durably replace the entries from `first` on; return False on failure."""
        check_invariant(
            first > self.commit_index, f"committed entry {first} would be replaced"
        )
        failure = await self.journal.append(first, entries)
        if failure is not None:
            if self.journal.failure is not None:
                self.fail_disk(failure)
            return False
        kept = [c for c in self.configurations if c.index < first]
        self.configurations = kept
        for index, entry in enumerate(entries, first):
            if entry.kind == EntryKind.MEMBERS:
                members = decode_members(entry.data)
                self.configurations.append(Configuration(index, members))
        self.notify()
        return True

    def commit(self, index: int) -> None:
        """Advance the commit index and apply the newly committed entries."""
        check_invariant(
            index <= self.journal.last_index,
            f"commit index {index} is beyond the journal's end",
        )
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.applied_index < index:
            self._apply(self.applied_index + 1)
        self._drop_replaced_configurations()
        self.notify()

    def _drop_replaced_configurations(self):
        later = self.configurations[1:]
        for configuration in later:
            if configuration.index <= self.commit_index:
                del self.configurations[0]

    def _apply(self, index):
        entry = self.journal.get_entry(index)
        result = b""
        if entry.kind == EntryKind.COMMAND:
            result = self.machine.apply(index, entry.data)
        self.applied_index = index
        term, future = self.pending_commits.pop(index, (0, None))
        if future is not None and term == entry.term and not future.done():
            future.set_result(Committed(index, result))

    def record_ack(self, disk_id: str, term: int, index: int) -> None:
        """Record the last entry known to be durable in a data folder."""
        if (term, index) > self.acked.get(disk_id, (0, 0)):
            self.acked[disk_id] = (term, index)
            self.acked_version += 1

    def restore(self, snapshot: Snapshot) -> None:
        """Restore the state machine and the members from a durable snapshot."""
        self.machine.restore(snapshot.data)
        self.applied_index = snapshot.index
        self.commit_index = max(self.commit_index, snapshot.index)
        self.rebuild_configurations()
        self.notify()

    def replace_journal(self, journal: Journal) -> None:
        """Continue with a journal that was read again from the data folder."""
        check_invariant(
            all(
                self.journal.get_term(index) in (None, journal.get_term(index))
                for index in range(journal.snapshot.index + 1, self.commit_index + 1)
            ),
            "the data folder lacks committed entries",
        )
        self.journal = journal
        self.incoming_snapshot = None
        self.rebuild_configurations()

    def rebuild_configurations(self) -> None:
        """Derive the configurations from the vote record, snapshot and journal."""
        snapshot = self.journal.snapshot
        base = snapshot.members if snapshot.index else self.vote.initial
        self.configurations = [Configuration(snapshot.index, tuple(base))]
        for index in range(snapshot.index + 1, self.journal.last_index + 1):
            entry = self.journal.get_entry(index)
            if entry.kind == EntryKind.MEMBERS:
                members = decode_members(entry.data)
                self.configurations.append(Configuration(index, members))
        self._drop_replaced_configurations()


def is_majority(disk_ids: Iterable[str], members: Iterable[QuorumMember]) -> bool:
    """Whether the disk IDs include a majority of the voters among `members`."""
    voters = {member.disk_id for member in members if member.voter}
    return len(voters.intersection(disk_ids)) > len(voters) // 2
