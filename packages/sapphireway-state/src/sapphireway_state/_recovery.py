"""Recovery of a journal whose quorum is lost for good."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

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


@dataclass(slots=True, frozen=True)
class Recovered:
    """A new cluster of one voter holds what the data folder held.

    Attributes
    ----------
    cluster_id : str
    last_index : int
        Last entry that was taken over.
    """

    cluster_id: str
    last_index: int


@dataclass(slots=True, frozen=True)
class NothingToRecover:
    """The data folder belongs to no cluster."""


RecoveryOutcome = Recovered | NothingToRecover | JournalDamaged | DiskFailed


async def recover_as_sole_voter(
    disk: Disk,
    address: str,
    expected: Sequence[str],
    rng: random.Random,
    limits: JournalLimits | None = None,
) -> RecoveryOutcome:
    """Make a stopped control host the only voter of a new cluster.

    Entries that only the lost hosts held are lost. The lost hosts must never come
    back with their old data folders.

    Parameters
    ----------
    disk : Disk
        Data folder of the survivor, whose process does not run.
    address : str
        Address of the survivor.
    expected : sequence of str
        Other control hosts; with empty disks they join as learners.
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
    taken_over = journal.last_index
    learners = [QuorumMember(a, "", False) for a in expected if a != address]
    members = [QuorumMember(address, record.disk_id, True), *learners]
    entry = JournalEntry(record.term, EntryKind.MEMBERS, encode_members(members))
    # Until the record names the new cluster, the entry belongs to the old one and
    # names a data folder that is unknown there, so a crash in between is harmless:
    # the old identity is no voter of it, and recovery can be run again.
    failure = await journal.append(taken_over + 1, [entry])
    if failure is None:
        failure = await save_vote(disk, record)
    if failure is not None:
        return failure
    return Recovered(record.cluster_id, taken_over)
