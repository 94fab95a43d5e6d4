"""Opening the data folder of a control host, at the start and after a failure."""

import msgspec

from sapphireway_coordination.quorum._replica import Replica
from sapphireway_state import (
    SNAPSHOT_NAME,
    Journal,
    JournalDamaged,
    VoteRecord,
    check_invariant,
    load_vote,
    merge_votes,
    save_vote,
)
from sapphireway_transport import DiskFailed


async def open_data_folder(replica: Replica) -> None:
    """Read the data folder and durably increment its start count.

    After a failed write, the folder may hold less or more than this process knows to
    be durable. What it lacks is written again, so that no vote and no entry that was
    acknowledged is forgotten.
    """
    async with replica.lock:
        problem = await _load_data_folder(replica)
    if isinstance(problem, DiskFailed):
        replica.fail_disk(problem)
    elif isinstance(problem, JournalDamaged):
        replica.report_damage(problem)
    else:
        replica.clear_disk_failure()


async def _load_data_folder(replica):
    stored = await load_vote(replica.disk)
    if isinstance(stored, DiskFailed | JournalDamaged):
        return stored
    check_invariant(
        not replica.disk_id or _continues(stored, replica.disk_id),
        "the data folder was emptied or exchanged while the process used it",
    )
    if stored is None:
        vote = VoteRecord(generate_id(replica))
    else:
        merged = merge_votes(replica.vote, stored)
        vote = msgspec.structs.replace(merged, start_count=merged.start_count + 1)
    # The journal is read only once the disk takes a small write, so that an attempt
    # on a full disk costs little.
    failure = await _save_vote(replica, vote)
    if failure is None and vote.wiping:
        failure = await finish_wipe(replica)
    if failure is not None:
        return failure
    return await _load_journal(replica)


def _continues(stored, disk_id):
    """Return whether a record is of the identity, or of one that replaces it."""
    return stored is not None and (stored.disk_id == disk_id or stored.wiping)


async def _load_journal(replica):
    journal = Journal(replica.disk, replica.settings.limits)
    problem = await journal.open()
    if problem is None:
        problem = await journal.append_missing(replica.journal)
    if problem is None and not _can_restore(replica, journal.snapshot):
        problem = JournalDamaged(SNAPSHOT_NAME, 0)
    if problem is None:
        replica.replace_journal(journal)
    return problem


def _can_restore(replica, snapshot):
    """Return whether the state machine can use a snapshot, if it needs it."""
    if snapshot.index <= replica.applied_index:
        return True
    return replica.machine.can_restore(snapshot.data)


async def _save_vote(replica, vote):
    failure = await save_vote(replica.disk, vote)
    if failure is None:
        if vote.term > replica.vote.term:
            # The failed write took effect, and the known leader is of an earlier term.
            replica.leader = None
        replica.vote = vote
    return failure


def generate_id(replica: Replica) -> str:
    """Return a new random identity of a data folder or a cluster."""
    return f"{replica.rng.getrandbits(64):016x}"


async def reset_identity(replica: Replica) -> None:
    """Wipe the data folder and continue under a new disk ID.

    Only before an entry is applied: the state machine can't be emptied.
    """
    check_invariant(
        replica.applied_index == 0,
        "other hosts know a newer state of the data folder in use; the process must "
        "be started again",
    )
    async with replica.lock:
        saved = await replica.save_vote(
            disk_id=generate_id(replica), start_count=1, initial=[], wiping=True
        )
        if not saved:
            return
        failure = await finish_wipe(replica)
        if failure is not None:
            replica.fail_disk(failure)
            return
        replica.rebuild_configurations()


async def finish_wipe(replica: Replica) -> DiskFailed | None:
    """Remove the journal of the previous identity."""
    # The entries in memory must not be written again under the new identity, even if
    # a step of the removal fails.
    replica.journal = Journal(replica.disk, replica.settings.limits)
    failure = await replica.journal.remove_all()
    if failure is not None:
        return failure
    vote = msgspec.structs.replace(replica.vote, wiping=False)
    return await _save_vote(replica, vote)
