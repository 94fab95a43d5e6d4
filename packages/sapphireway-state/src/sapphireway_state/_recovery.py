"""Recovery of a journal after the permanent loss of its quorum."""

import random
from collections.abc import Sequence

import msgspec

from sapphireway_protocol import EntryKind, JournalEntry, QuorumMember
from sapphireway_state._journal import (
    Journal,
    JournalDamaged,
    JournalLimits,
    encode_members,
)
from sapphireway_state._vote import load_vote, save_vote
from sapphireway_transport import Disk, DiskFailed


class Recovered(msgspec.Struct, frozen=True):
    """The data folder now belongs to a new cluster with one voter.

    Attributes
    ----------
    cluster_id : str
    last_index : int
        Index of the last entry that was recovered.
    """

    cluster_id: str
    last_index: int


class NothingToRecover(msgspec.Struct, frozen=True):
    """The data folder belongs to no cluster."""


RecoveryOutcome = Recovered | NothingToRecover | JournalDamaged | DiskFailed


async def recover_as_sole_voter(
    disk: Disk,
    address: str,
    expected: Sequence[str],
    rng: random.Random,
    limits: JournalLimits | None = None,
) -> RecoveryOutcome:
    """Make a stopped control host the sole voter of a new cluster.

    Entries that only the lost hosts had are lost. The lost hosts must never be
    started again with their old data folders.

    Parameters
    ----------
    disk : Disk
        Data folder of the surviving host, whose process must be stopped.
    address : str
        Address of the surviving host.
    expected : sequence of str
        Addresses of the future control hosts; all but `address` join as learners,
        with empty disks.
    rng : random.Random
    limits : JournalLimits, optional
    """
    record = await load_vote(disk)
    if isinstance(record, DiskFailed | JournalDamaged):
        return record
    if record is None or not record.cluster_id:
        return NothingToRecover()
    journal = Journal(disk, limits or JournalLimits())
    problem = await journal.open()
    if problem is not None:
        return problem
    record = msgspec.structs.replace(
        record,
        disk_id=f"{rng.getrandbits(64):016x}",
        start_count=1,
        cluster_id=f"{rng.getrandbits(64):016x}",
        initial=[],
        founding=False,
        term=record.term + 1,
        voted_for="",
        known_starts={},
    )
    last_recovered = journal.last_index
    learners = [QuorumMember(a, "", False) for a in expected if a != address]
    members = [QuorumMember(address, record.disk_id, True), *learners]
    entry = JournalEntry(record.term, EntryKind.MEMBERS, encode_members(members))
    # A crash between the two writes is harmless: until the vote record is saved, this
    # host keeps its old cluster and disk ids. The new entry's only voter is a disk id
    # that the old cluster does not know, and recovery can be run again.
    failure = await journal.append(last_recovered + 1, [entry])
    if failure is None:
        failure = await save_vote(disk, record)
    if failure is not None:
        return failure
    return Recovered(record.cluster_id, last_recovered)
