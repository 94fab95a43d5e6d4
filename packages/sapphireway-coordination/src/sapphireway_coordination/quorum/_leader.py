"""The leader: appends proposals, advances the commit index, checks its quorum."""

import asyncio

from sapphireway_coordination.quorum._members import maintain_members
from sapphireway_coordination.quorum._progress import Progress
from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._replication import replicate
from sapphireway_coordination.quorum._types import NotLeader, Unavailable
from sapphireway_protocol import EntryKind, JournalEntry, QuorumMember
from sapphireway_state import check_invariant, encode_members

BATCH_PROPOSALS_MAX = 256


async def lead(replica: Replica) -> None:
    """Lead in the current term until this host steps down."""
    term = replica.term
    check_invariant(
        replica.vote.voted_for == replica.disk_id, "leader did not vote for itself"
    )
    check_invariant(replica.is_voter, "leader is not a voter")
    replica.leader = QuorumMember(replica.peers.address, replica.disk_id, True)
    replica.progress = {}
    replica.notify()
    tasks = [
        asyncio.create_task(_write_proposals(replica, term)),
        asyncio.create_task(_check_quorum(replica, term)),
        asyncio.create_task(_replicate_to_all(replica, term)),
        asyncio.create_task(_advance_commit_index(replica, term)),
        asyncio.create_task(maintain_members(replica, term)),
    ]
    stepped_down = asyncio.create_task(
        replica.wait_until(lambda: not replica.is_leading(term))
    )
    try:
        # Each task ends only when this host stops leading, or with an exception.
        await asyncio.wait([*tasks, stepped_down], return_when=asyncio.FIRST_COMPLETED)
    finally:
        replica.step_down()
        await replica.cancel([*tasks, stepped_down])
        _fail_pending(replica)


def _fail_pending(replica):
    outcome_unknown = Unavailable(
        "this host is no longer the leader", maybe_applied=True
    )
    for _, future in replica.pending_commits.values():
        if not future.done():
            future.set_result(outcome_unknown)
    replica.pending_commits.clear()
    while not replica.proposals.empty():
        _, _, future = replica.proposals.get_nowait()
        if not future.done():
            future.set_result(NotLeader(None))


async def _write_proposals(replica, term):
    # Entries of earlier terms can be committed only along with one of this term. The
    # first entry of the journal also records the initial members for later learners.
    if replica.journal.last_index == 0:
        first = JournalEntry(term, EntryKind.MEMBERS, encode_members(replica.members))
    else:
        first = JournalEntry(term, EntryKind.NOOP)
    await _append_batch(replica, term, [first], [None])
    while replica.is_leading(term):
        batch = [await replica.proposals.get()]
        while len(batch) < BATCH_PROPOSALS_MAX and not replica.proposals.empty():
            batch.append(replica.proposals.get_nowait())
        entries = [JournalEntry(term, kind, data) for kind, data, _ in batch]
        await _append_batch(replica, term, entries, [future for _, _, future in batch])


async def _append_batch(replica, term, entries, futures):
    """Append a batch to the local journal; its entries share one fsync."""
    async with replica.lock:
        first = replica.journal.last_index + 1
        pending = [future for future in futures if future is not None]
        if not replica.is_leading(term):
            _resolve(pending, NotLeader(None))
            return
        for index, future in enumerate(futures, first):
            if future is not None:
                replica.pending_commits[index] = (term, future)
        if not await replica.append(first, entries):
            for index in range(first, first + len(entries)):
                replica.pending_commits.pop(index, None)
            maybe_applied = replica.journal.failure is not None
            _resolve(
                pending, Unavailable("the journal could not be written", maybe_applied)
            )
            replica.notify()
            return
        index = replica.journal.last_index
        replica.record_ack(replica.disk_id, term, index)
    wake_replication(replica)


def _resolve(futures, outcome):
    for future in futures:
        if not future.done():
            future.set_result(outcome)


def wake_replication(replica: Replica) -> None:
    """Let the replication task of every member send without delay."""
    for progress in replica.progress.values():
        progress.wake.set()


async def _replicate_to_all(replica, term):
    """Run one replication task for each other member of the latest configuration."""
    tasks = {}
    try:
        while replica.is_leading(term):
            others = {
                m.disk_id: m
                for m in replica.members
                if m.disk_id and m.disk_id != replica.disk_id
            }
            for disk_id in [d for d in tasks if d not in others]:
                await replica.cancel([tasks.pop(disk_id)])
                del replica.progress[disk_id]
            for disk_id in [d for d in others if d not in tasks]:
                progress = Progress(replica.journal.last_index + 1, replica.now())
                replica.progress[disk_id] = progress
                task = asyncio.create_task(
                    replicate(replica, others[disk_id], progress, term)
                )
                task.add_done_callback(lambda _: replica.notify())
                tasks[disk_id] = task
            members = replica.members
            await replica.wait_until(
                lambda members=members: (
                    replica.members is not members
                    or any(task.done() for task in tasks.values())
                )
            )
            for task in tasks.values():
                if task.done():
                    task.result()
    finally:
        await replica.cancel(tasks.values())


async def _advance_commit_index(replica, term):
    """Commit entries of the current term that are durable on a quorum.

    This also commits all earlier entries.
    """
    while replica.is_leading(term):
        index = _find_quorum_index(replica)
        if index > replica.commit_index and replica.journal.get_term(index) == term:
            replica.commit(index)
            wake_replication(replica)
            if not replica.is_voter and replica.configurations[-1].index <= index:
                replica.step_down()
                return
        before = (index, replica.members)
        await replica.wait_until(
            lambda before=before: (
                (_find_quorum_index(replica), replica.members) != before
            )
        )


def _find_quorum_index(replica):
    match_indexes = sorted(
        _get_match_index(replica, member) for member in replica.voters
    )
    if not match_indexes:
        return 0
    return match_indexes[(len(match_indexes) - 1) // 2]


def _get_match_index(replica, member):
    if member.disk_id == replica.disk_id:
        return replica.journal.last_index
    progress = replica.progress.get(member.disk_id)
    return progress.match_index if progress else 0


async def _check_quorum(replica, term):
    """Step down once no quorum has answered for the minimum election timeout."""
    while replica.is_leading(term):
        await asyncio.sleep(replica.settings.heartbeat_s)
        since_s = replica.now() - replica.settings.election_min_s
        responsive = [
            disk_id
            for disk_id, progress in replica.progress.items()
            if progress.last_contact_s > since_s
        ]
        if not replica.is_quorum([*responsive, replica.disk_id]):
            replica.step_down()


async def confirm_leadership(replica: Replica) -> int | None:
    """Return an index that covers all earlier commits, or None if no longer leading.

    A quorum confirms, after the call, that no later term has begun.
    """
    term = replica.term
    await replica.wait_until(
        lambda: (
            not replica.is_leading(term)
            or replica.journal.get_term(replica.commit_index) == term
        )
    )
    if not replica.is_leading(term):
        return None
    index = replica.commit_index
    replica.read_round += 1
    required_round = replica.read_round
    wake_replication(replica)
    await replica.wait_until(
        lambda: not replica.is_leading(term) or _is_confirmed(replica, required_round)
    )
    return index if replica.is_leading(term) else None


def _is_confirmed(replica, required_round):
    confirmed = [
        disk_id
        for disk_id, progress in replica.progress.items()
        if progress.acked_round >= required_round
    ]
    return replica.is_quorum([*confirmed, replica.disk_id])
