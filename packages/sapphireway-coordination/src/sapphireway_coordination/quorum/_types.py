"""Outcomes, settings and status of the replicated journal."""

import enum
from typing import Protocol

import msgspec

from sapphireway_protocol import QuorumMember
from sapphireway_state import JournalLimits


class StateMachine(Protocol):
    """Deterministic state machine that the journal's commands are applied to.

    For a command that cannot be applied, `apply` returns a result that says so. An
    exception counts as a broken invariant and stops the control host.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at a journal index and return its result."""

    def snapshot(self) -> bytes:
        """Serialize the complete state."""

    def can_restore(self, data: bytes) -> bool:
        """Return whether `data` is a snapshot; the state doesn't change."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state with a snapshot."""


class Role(enum.StrEnum):
    """Current role of a control host."""

    STARTING = "starting"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


class Committed(msgspec.Struct, frozen=True):
    """The command is committed and will never be undone.

    Attributes
    ----------
    index : int
    result : bytes
        Return value of the state machine.
    """

    index: int
    result: bytes


class Current(msgspec.Struct, frozen=True):
    """The local state includes everything that was committed before the request."""

    index: int


class NotLeader(msgspec.Struct, frozen=True):
    """The host is not the leader; the request had no effect.

    Attributes
    ----------
    leader : str or None
        The current leader's address, if known.
    """

    leader: str | None


class Unavailable(msgspec.Struct, frozen=True):
    """The request was not completed, for example because no quorum answered in time.

    Attributes
    ----------
    detail : str
        One-line explanation for operators.
    maybe_applied : bool
        True if the command may have been committed, or may still be.
    lost_quorum : bool
        True if only another host may complete the request soon.
    """

    detail: str
    maybe_applied: bool = False
    lost_quorum: bool = False


class ReadResult(msgspec.Struct, frozen=True):
    """Result of a linearizable read.

    Attributes
    ----------
    index : int
        Journal index of the state that was read.
    data : bytes
    """

    index: int
    data: bytes


class EntriesUnanswered(msgspec.Struct, frozen=True):
    """Event: a member has not answered new entries in time.

    Attributes
    ----------
    member : str
    first : int
        Journal index of the first of these entries.
    entries : int
    size_bytes : int
    """

    member: str
    first: int
    entries: int
    size_bytes: int


class DiskFailureSeen(msgspec.Struct, frozen=True):
    """Event: the data folder refused an operation or is damaged.

    The host stops participating. The event is repeated only for another reason.

    Attributes
    ----------
    operation, name, detail : str
        As in `DiskFailed`.
    role : Role
        Role before the failure.
    """

    operation: str
    name: str
    detail: str
    role: Role


class DiskReopened(msgspec.Struct, frozen=True):
    """Event: the data folder was opened again after a failure of the disk.

    Attributes
    ----------
    failed_s : float
        Seconds since the failure.
    """

    failed_s: float


class SnapshotNotSaved(msgspec.Struct, frozen=True):
    """Event: the disk refused the snapshot that would have compacted the journal.

    The host goes on, and tries again until the disk has room for it.

    Attributes
    ----------
    size_bytes : int
        Size of the state in the snapshot.
    detail : str
    """

    size_bytes: int
    detail: str


class MembersProposed(msgspec.Struct, frozen=True):
    """Event: the leader proposes a change of the members that nobody ordered.

    Attributes
    ----------
    action : str
        ``add``, ``promote`` or ``remove``.
    member, disk_id : str
        Address and disk of the member that is added, promoted or removed.
    reason : str
    voters : int
        Number of voters after the change.
    """

    action: str
    member: str
    disk_id: str
    reason: str
    voters: int


class JoinAnswered(msgspec.Struct, frozen=True):
    """Event: a leader's answer to this host's request to join has changed.

    Attributes
    ----------
    leader : str
    accepted : bool
    detail : str
        One-line explanation for operators.
    """

    leader: str
    accepted: bool
    detail: str


class QuorumSettings(msgspec.Struct, frozen=True):
    """Timeouts and size limits of the quorum.

    Attributes
    ----------
    heartbeat_s : float
        Interval of the leader's heartbeats to a member.
    election_min_s, election_max_s : float
        Bounds of the randomized election timeout. A leader without responses from a
        quorum steps down after the lower bound.
    start_retry_s : float
        Interval between attempts of a host to start or to join, and timeout of the
        requests of each attempt.
    append_max_bytes : int
        Maximum size of the entries in one message.
    chunk_bytes : int
        Maximum size of the snapshot part in one message.
    limits : JournalLimits
    admit_unknown_hosts : bool
        Whether a host that no operator has added may join as a learner.
    silent_voter_timeout_s : float
        Time without a response after which a voter is removed if the number of voters
        is even and above ``2 * losses_max + 1``; 0 if only operators remove voters.
    losses_max : int
        Number of voters whose simultaneous loss, that of their disks too, is tolerated.
    """

    heartbeat_s: float = 0.25
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    start_retry_s: float = 0.5
    append_max_bytes: int = 256 * 1024
    chunk_bytes: int = 64 * 1024
    limits: JournalLimits = msgspec.field(default_factory=JournalLimits)
    admit_unknown_hosts: bool = False
    silent_voter_timeout_s: float = 0.0
    losses_max: int = 1


class QuorumStatus(msgspec.Struct, frozen=True):
    """State of the quorum as one control host knows it.

    Attributes
    ----------
    role : Role
    disk_id, cluster_id : str
    term : int
    leader : str or None
        Address of the leader.
    commit_index, last_index, snapshot_index : int
    voters, learners : tuple of QuorumMember
        As of the latest membership change that this host knows to be committed.
    disk : str
        ``ok``, or a description of the failure, since when, and whether it is retried.
    detail : str
        What keeps the host from participating fully, apart from its disk; empty if
        nothing does.
    members_index : int
        Journal index of the entry that set the members.
    settled : bool
        Whether an entry of the current term is committed, so that the state machine of
        the leader includes everything that earlier leaders committed.
    """

    role: Role
    disk_id: str
    cluster_id: str
    term: int
    leader: str | None
    commit_index: int
    last_index: int
    snapshot_index: int
    voters: tuple[QuorumMember, ...]
    learners: tuple[QuorumMember, ...]
    disk: str
    detail: str
    members_index: int = 0
    settled: bool = False
