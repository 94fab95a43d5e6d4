"""Persistent state of a control host besides its journal."""

import msgspec

from sapphireway_protocol import QuorumMember, decode_msgpack
from sapphireway_state._frame import encode_frame, scan_frames
from sapphireway_state._invariants import check_invariant
from sapphireway_state._journal import JournalDamaged
from sapphireway_transport import Disk, DiskFailed

VOTE_NAME = "vote"


class StartRecord(msgspec.Struct, frozen=True, array_like=True):
    """A process start with another data folder, as recorded by this host."""

    start_count: int
    start_id: str


class VoteRecord(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a data folder, and the vote that it gave.

    Attributes
    ----------
    disk_id : str
        Identity of the data folder; never reused after the folder is lost.
    start_count : int
        Number of times that the folder was opened.
    cluster_id : str
        Empty if the host does not belong to a cluster.
    initial : list of QuorumMember
        First members of the cluster, if this host was one of them.
    founding : bool
        True until all first members are known to have accepted.
    term : int
    voted_for : str
        Disk id of the candidate that received the vote in `term`, or empty.
    known_starts : dict of str to StartRecord
        Latest known process start with every other data folder, by disk id.
    wiping : bool
        True while the journal of a previous identity is being removed.
    """

    disk_id: str
    start_count: int = 1
    cluster_id: str = ""
    initial: list[QuorumMember] = []
    founding: bool = False
    term: int = 0
    voted_for: str = ""
    known_starts: dict[str, StartRecord] = {}
    wiping: bool = False


async def load_vote(disk: Disk) -> VoteRecord | JournalDamaged | DiskFailed | None:
    """Return the record, or None if the data folder is empty."""
    names = await disk.list()
    if isinstance(names, DiskFailed):
        return names
    if VOTE_NAME not in names:
        # The record is the first file that is written to a data folder.
        return JournalDamaged(VOTE_NAME, 0) if names else None
    data = await disk.read(VOTE_NAME)
    if isinstance(data, DiskFailed):
        return data
    scan = scan_frames(data)
    if scan.end < len(data) or len(scan.payloads) != 1:
        return JournalDamaged(VOTE_NAME, scan.end)
    record = decode_msgpack(scan.payloads[0], VoteRecord)
    return JournalDamaged(VOTE_NAME, 0) if record is None else record


async def save_vote(disk: Disk, record: VoteRecord) -> DiskFailed | None:
    """Durably replace the record."""
    payload = msgspec.msgpack.encode(record)
    return await disk.replace(VOTE_NAME, encode_frame(payload))


def merge_votes(remembered: VoteRecord, stored: VoteRecord) -> VoteRecord:
    """Return a record that keeps the promises of two records of one data folder.

    After a failed write, the folder may hold the record from before or after it, while
    the process remembers the last one that was written durably. If the stored record
    has another identity than the remembered one, it replaces that identity.
    """
    if remembered.disk_id != stored.disk_id:
        return stored
    check_invariant(
        remembered.term != stored.term
        or len({remembered.voted_for, stored.voted_for} - {""}) <= 1,
        f"the data folder has voted twice in term {stored.term}",
    )
    newer = max(stored, remembered, key=lambda record: (record.term, record.voted_for))
    first = stored if stored.cluster_id else remembered
    return msgspec.structs.replace(
        newer,
        start_count=max(remembered.start_count, stored.start_count),
        cluster_id=first.cluster_id,
        initial=first.initial,
        founding=first.founding,
        known_starts=_merge_starts(remembered.known_starts, stored.known_starts),
        wiping=stored.wiping,
    )


def _merge_starts(remembered, stored):
    merged = dict(stored)
    for disk_id, start in remembered.items():
        known = merged.setdefault(disk_id, start)
        if start.start_count > known.start_count:
            merged[disk_id] = start
    return merged
