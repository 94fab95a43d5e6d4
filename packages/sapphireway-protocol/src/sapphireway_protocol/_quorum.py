"""Messages between control hosts, which replicate the settings journal."""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """Content of a journal entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class JournalEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated journal.

    Attributes
    ----------
    term : int
        Term of the leader that appended the entry.
    kind : EntryKind
    data : bytes
        A command, or the encoded members.
    """

    term: int
    kind: EntryKind
    data: bytes = b""


class QuorumMember(msgspec.Struct, frozen=True, array_like=True):
    """A control host, as recorded in the journal.

    Attributes
    ----------
    address : str
    disk_id : str
        Identity of the host's data folder; empty until the host has joined.
    voter : bool
        False for a learner.
    """

    address: str
    disk_id: str
    voter: bool


class Hello(msgspec.Struct, frozen=True, tag="q_hello", array_like=True):
    """Request of a starting control host for the receiver's view of the cluster.

    Attributes
    ----------
    cluster_id, disk_id : str
    start_count : int
        Number of times that the sender's data folder has been opened.
    start_id : str
        Unique id of this start.
    """

    cluster_id: str
    disk_id: str
    start_count: int
    start_id: str


class HelloReply(msgspec.Struct, frozen=True, tag="q_hello_reply", array_like=True):
    """Answer to `Hello`.

    Attributes
    ----------
    cluster_id, disk_id : str
        Of the replying host; the cluster id is empty if it belongs to no cluster.
    bootstrap : bool
        Whether the host may form a new cluster.
    control_hosts : list of str
        Control hosts configured in its settings.
    initial_members : list of QuorumMember
        Initial members of its cluster, if it was one of them.
    leader : str
        Address of the leader; empty if the host knows none.
    seen_start_count : int
        Highest start count recorded for the data folder of the requesting host.
    seen_start_id : str
    seen_term, seen_index : int
        Highest journal position known to be durable in that data folder.
    members : list of QuorumMember
        Latest members that the replying host knows to be committed.
    members_index : int
        Journal position that set them.
    """

    cluster_id: str
    disk_id: str
    bootstrap: bool
    control_hosts: list[str]
    initial_members: list[QuorumMember]
    leader: str = ""
    seen_start_count: int = 0
    seen_start_id: str = ""
    seen_term: int = 0
    seen_index: int = 0
    members: list[QuorumMember] = []
    members_index: int = 0


class Bootstrap(msgspec.Struct, frozen=True, tag="q_found", array_like=True):
    """Request to an empty host to become an initial member of a new cluster."""

    cluster_id: str
    members: list[QuorumMember]


class BootstrapReply(msgspec.Struct, frozen=True, tag="q_found_reply", array_like=True):
    """Answer to `Bootstrap`: the cluster and identity of the host."""

    cluster_id: str
    disk_id: str


class Join(msgspec.Struct, frozen=True, tag="q_join", array_like=True):
    """Request to the leader to replicate the journal to the sender."""

    cluster_id: str
    disk_id: str


class JoinReply(msgspec.Struct, frozen=True, tag="q_join_reply", array_like=True):
    """Answer to `Join`; the detail is one line for humans."""

    accepted: bool
    detail: str


class VoteRequest(msgspec.Struct, frozen=True, tag="q_vote", array_like=True):
    """Request for a vote.

    Attributes
    ----------
    cluster_id : str
    term : int
        Term of the election.
    candidate, target : str
        Disk ids.
    last_term, last_index : int
        End of the candidate's journal.
    pre_vote : bool
        True for a pre-vote, which does not bind the voter.
    """

    cluster_id: str
    term: int
    candidate: str
    target: str
    last_term: int
    last_index: int
    pre_vote: bool


class VoteReply(msgspec.Struct, frozen=True, tag="q_vote_reply", array_like=True):
    """Answer to `VoteRequest`."""

    term: int
    granted: bool
    disk_id: str


class AckedPosition(msgspec.Struct, frozen=True, array_like=True):
    """Journal position known to be durable in a data folder."""

    disk_id: str
    term: int
    index: int


class Append(msgspec.Struct, frozen=True, tag="q_append", array_like=True):
    """Journal entries from the leader; a heartbeat if there are none.

    Attributes
    ----------
    cluster_id : str
    term : int
    leader, target : str
        Disk ids.
    prev_term, prev_index : int
        Position just before the first entry.
    commit_index : int
    entries : list of JournalEntry
    acked : list of AckedPosition
        Positions acknowledged by the members, if they have changed.
    """

    cluster_id: str
    term: int
    leader: str
    target: str
    prev_term: int
    prev_index: int
    commit_index: int
    entries: list[JournalEntry] = []
    acked: list[AckedPosition] = []


class AppendReply(msgspec.Struct, frozen=True, tag="q_append_reply", array_like=True):
    """Answer to `Append`.

    Attributes
    ----------
    term : int
    disk_id : str
    ok : bool
        True if the entries up to ``index`` match the leader's and are durable.
    index : int
        Last matching index; if not ``ok``, the index that the leader should try next.
    """

    term: int
    disk_id: str
    ok: bool
    index: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag="q_chunk", array_like=True):
    """Part of a snapshot; the data is the body."""

    cluster_id: str
    term: int
    leader: str
    target: str
    index: int
    offset: int
    total_bytes: int


class SnapshotReply(msgspec.Struct, frozen=True, tag="q_chunk_reply", array_like=True):
    """Answer to `SnapshotChunk`; ``installed`` is True once the snapshot is durable."""

    term: int
    disk_id: str
    next_offset: int
    installed: bool


class Propose(msgspec.Struct, frozen=True, tag="q_propose", array_like=True):
    """Request to a control host to commit the command in the body."""

    timeout_s: float
    forwarded: bool = False


class Query(msgspec.Struct, frozen=True, tag="q_query", array_like=True):
    """Request to a control host for a linearizable read; the query is the body."""

    timeout_s: float
    forwarded: bool = False


class ChangeMembers(
    msgspec.Struct, frozen=True, tag="q_change_members", array_like=True
):
    """Request to a control host to add and remove control hosts, by address."""

    timeout_s: float
    add: list[str]
    remove: list[str]
    forwarded: bool = False


class ControlReply(msgspec.Struct, frozen=True, tag="q_control_reply", array_like=True):
    """Answer to `Propose`, `Query` and `ChangeMembers`; the result is the body.

    Attributes
    ----------
    done : bool
    index : int
        Journal index of the command or the read.
    leader : str
        Address of the leader; empty if none is known.
    detail : str
    maybe_applied : bool
        True if the command may have been committed although ``done`` is False.
    """

    done: bool
    index: int = 0
    leader: str = ""
    detail: str = ""
    maybe_applied: bool = False


MESSAGES = (
    Append,
    AppendReply,
    ChangeMembers,
    ControlReply,
    Bootstrap,
    BootstrapReply,
    Hello,
    HelloReply,
    Join,
    JoinReply,
    Propose,
    Query,
    SnapshotChunk,
    SnapshotReply,
    VoteRequest,
    VoteReply,
)
