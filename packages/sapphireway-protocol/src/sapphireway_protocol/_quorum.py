"""Messages between control hosts that replicate the settings journal."""

import enum

import msgspec


class EntryKind(enum.IntEnum):
    """What a journal entry holds."""

    NOOP = 0
    COMMAND = 1
    MEMBERS = 2


class JournalEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated journal.

    Attributes
    ----------
    term : int
        Term of the leader that appended it.
    kind : EntryKind
    data : bytes
        A command, or the encoded members.
    """

    term: int
    kind: EntryKind
    data: bytes = b""


class QuorumMember(msgspec.Struct, frozen=True, array_like=True):
    """A control host as the journal knows it.

    Attributes
    ----------
    address : str
    disk_id : str
        Identity of the host's data folder; empty while the host is only expected.
    voter : bool
        False for a learner.
    """

    address: str
    disk_id: str
    voter: bool


class Hello(msgspec.Struct, frozen=True, tag="q_hello", array_like=True):
    """A control host that starts asks what the receiver knows.

    Attributes
    ----------
    cluster_id, disk_id : str
    start_count : int
        How often the sender's data folder was opened.
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
        Of the replying host; an empty cluster id says that it is in no cluster.
    bootstrap : bool
        Whether the host may form a new cluster.
    control_hosts : list of str
        Control hosts in its settings.
    initial : list of QuorumMember
        First members of its cluster, if it was one of them.
    leader : str
        Address of the leader that it knows, or empty.
    seen_start_count : int
        Highest start of the asking data folder that it has recorded.
    seen_start_id : str
    seen_term, seen_index : int
        Highest journal position that it knows the asking data folder to hold.
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


class Bootstrap(msgspec.Struct, frozen=True, tag="q_found", array_like=True):
    """Ask an empty host to become one of the first members of a cluster."""

    cluster_id: str
    members: list[QuorumMember]


class BootstrapReply(msgspec.Struct, frozen=True, tag="q_found_reply", array_like=True):
    """Answer to `Found`: the cluster and identity that the host now has."""

    cluster_id: str
    disk_id: str


class Join(msgspec.Struct, frozen=True, tag="q_join", array_like=True):
    """Ask the leader to replicate the journal to this host."""

    cluster_id: str
    disk_id: str


class JoinReply(msgspec.Struct, frozen=True, tag="q_join_reply", array_like=True):
    """Answer to `Join`; the detail is one line for people."""

    accepted: bool
    detail: str


class VoteRequest(msgspec.Struct, frozen=True, tag="q_vote", array_like=True):
    """Ask for a vote.

    Attributes
    ----------
    cluster_id : str
    term : int
        Term that the candidate wants to lead.
    candidate, target : str
        Disk ids.
    last_term, last_index : int
        End of the candidate's journal.
    pre : bool
        True if nothing is promised yet.
    """

    cluster_id: str
    term: int
    candidate: str
    target: str
    last_term: int
    last_index: int
    pre_vote: bool


class VoteReply(msgspec.Struct, frozen=True, tag="q_vote_reply", array_like=True):
    """Answer to `Vote`."""

    term: int
    granted: bool
    disk_id: str


class AckedPosition(msgspec.Struct, frozen=True, array_like=True):
    """Journal position that a data folder is known to hold durably."""

    disk_id: str
    term: int
    index: int


class Append(msgspec.Struct, frozen=True, tag="q_append", array_like=True):
    """Entries from the leader, or a heartbeat if there are none.

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
    acked : list of Acked
        What the others hold, if that has changed.
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
        Whether the journals agree up to `index`, durably.
    index : int
        Where they agree, or if not where the leader should try next.
    """

    term: int
    disk_id: str
    ok: bool
    index: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag="q_chunk", array_like=True):
    """A part of a snapshot; its bytes are the body."""

    cluster_id: str
    term: int
    leader: str
    target: str
    index: int
    offset: int
    total_bytes: int


class SnapshotReply(msgspec.Struct, frozen=True, tag="q_chunk_reply", array_like=True):
    """Answer to `SnapshotChunk`; ``installed`` once the snapshot is durable."""

    term: int
    disk_id: str
    next_offset: int
    installed: bool


class Propose(msgspec.Struct, frozen=True, tag="q_propose", array_like=True):
    """Ask a control host to commit the command in the body."""

    timeout_s: float
    forwarded: bool = False


class Query(msgspec.Struct, frozen=True, tag="q_query", array_like=True):
    """Ask a control host for a current read; the query is the body."""

    timeout_s: float
    forwarded: bool = False


class ChangeMembers(
    msgspec.Struct, frozen=True, tag="q_change_members", array_like=True
):
    """Ask a control host to add and remove control hosts, given by address."""

    timeout_s: float
    add: list[str]
    remove: list[str]
    forwarded: bool = False


class ControlReply(msgspec.Struct, frozen=True, tag="q_control_reply", array_like=True):
    """Answer to `Propose`, `Query` and `ChangeMembers`; a result is the body.

    Attributes
    ----------
    done : bool
    index : int
        Journal index of the command or read.
    leader : str
        Address of the leader, or empty if none is known.
    detail : str
    maybe_applied : bool
        True if the command may be committed all the same.
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
