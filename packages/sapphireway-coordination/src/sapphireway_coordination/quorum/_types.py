"""Outcomes, settings and status of the replicated journal."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

from sapphireway_protocol import QuorumMember
from sapphireway_state import JournalLimits


class StateMachine(Protocol):
    """What the journal's commands act on; it must be deterministic.

    A command that cannot be applied is answered by a result that says so. An
    exception is taken for a broken invariant and stops the control host.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at a journal index and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot."""


class Role(enum.StrEnum):
    """What a control host does now."""

    STARTING = "starting"
    LEARNER = "learner"
    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    STOPPED = "stopped"


@dataclass(slots=True, frozen=True)
class Committed:
    """The command is committed; it will never be undone.

    Attributes
    ----------
    index : int
    result : bytes
        What the state machine returned.
    """

    index: int
    result: bytes


@dataclass(slots=True, frozen=True)
class Current:
    """The state machine holds everything that was committed before the question."""

    index: int


@dataclass(slots=True, frozen=True)
class NotLeader:
    """Another host leads, or none; nothing was done.

    Attributes
    ----------
    leader : str or None
        Its address, if known.
    """

    leader: str | None


@dataclass(slots=True, frozen=True)
class Unavailable:
    """No quorum answered in time.

    Attributes
    ----------
    detail : str
        One line for people.
    maybe_applied : bool
        True if the command may be committed all the same.
    """

    detail: str
    maybe_applied: bool = False


@dataclass(slots=True, frozen=True)
class ReadResult:
    """Result of a current read.

    Attributes
    ----------
    index : int
        Journal index that the read reflects.
    data : bytes
    """

    index: int
    data: bytes


@dataclass(slots=True, frozen=True)
class QuorumSettings:
    """Times and sizes of the quorum.

    Attributes
    ----------
    heartbeat_s : float
        Time between two messages of the leader to a member.
    election_min_s, election_max_s : float
        Bounds of the time without a leader after which a host asks for votes. The
        leader steps down after the lower bound without a quorum.
    start_retry_s : float
        Time between two rounds of questions of a host that starts or joins.
    append_max_bytes : int
        Entries in one message.
    chunk_bytes : int
        Part of a snapshot in one message.
    limits : JournalLimits
    admit_unknown_hosts : bool
        Whether a host that nobody announced may join as a learner.
    silent_voter_timeout_s : float
        Silence after which a voter gives way to a learner that has caught up, or
        leaves an even number of voters; 0 if only operators take voters out.
    """

    heartbeat_s: float = 0.25
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    start_retry_s: float = 0.5
    append_max_bytes: int = 256 * 1024
    chunk_bytes: int = 64 * 1024
    limits: JournalLimits = field(default_factory=JournalLimits)
    admit_unknown_hosts: bool = False
    silent_voter_timeout_s: float = 0.0


@dataclass(slots=True, frozen=True)
class QuorumStatus:
    """What a control host knows of the quorum.

    Attributes
    ----------
    role : Role
    disk_id, cluster_id : str
    term : int
    leader : str or None
        Address of the leader.
    commit_index, last_index, snapshot_index : int
    voters, learners : tuple of QuorumMember
        By the latest committed change that this host knows.
    disk : str
        ``ok``, or what is wrong with it.
    detail : str
        Why the host does not take part, if it does not.
    members_index : int
        Journal index that set the members.
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
