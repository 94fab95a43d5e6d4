"""Membership changes of the quorum, one voter at a time."""

import asyncio
from collections.abc import Sequence

from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._types import Committed, NotLeader, Unavailable
from sapphireway_protocol import EntryKind, Envelope, JoinReply, QuorumMember
from sapphireway_state import check_invariant, encode_members

VOTERS_MIN = 3  # kept by automatic removal; fewer tolerate no failure


async def maintain_members(replica: Replica, term: int) -> None:
    """Promote learners that have caught up, after removing voters they replace.

    If `silent_voter_timeout_s` is set, voters that no longer respond are replaced or
    removed as well.
    """
    while replica.is_leading(term):
        await asyncio.sleep(replica.settings.heartbeat_s)
        members = _plan_change(replica)
        if members is not None:
            await _propose_members(replica, members)


async def change_members(
    replica: Replica, add: Sequence[str], remove: Sequence[str]
) -> Committed | NotLeader | Unavailable:
    """Add hosts as learners, then remove hosts one by one.

    An added host is promoted once it has joined and caught up.
    """
    outcome = Committed(replica.commit_index, b"")
    if add:
        known = {member.address for member in replica.members}
        new = [QuorumMember(a, "", False) for a in add if a not in known]
        outcome = await _propose_members(replica, (*replica.members, *new))
    for address in remove:
        if not isinstance(outcome, Committed):
            return outcome
        members = tuple(m for m in replica.members if m.address != address)
        if not _can_commit(replica, members):
            return Unavailable(f"without {address} no quorum would be reachable")
        outcome = await _propose_members(replica, members)
    return outcome


def handle_join(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Add a host with a new disk as a learner, if its address may join."""
    accepted, detail = _decide_join(replica, sender, envelope.message.disk_id)
    replica.peers.reply(sender, envelope, JoinReply(accepted, detail))


def _decide_join(replica, address, disk_id):
    if not replica.is_leading(replica.term):
        return False, "this host is not the leader"
    known = next((m for m in replica.members if m.disk_id == disk_id), None)
    if known is not None and known.address != address:
        return False, f"this disk is a member at {known.address}; start it there"
    if known is not None:
        return True, "the host is already a member"
    is_known_address = any(member.address == address for member in replica.members)
    if not is_known_address and not replica.settings.admit_unknown_hosts:
        return False, f"{address} is not a control host; an operator must add it first"
    if _is_change_pending(replica):
        return False, "another membership change is in progress"
    remaining = (m for m in replica.members if m.voter or m.address != address)
    _enqueue(replica, (*remaining, QuorumMember(address, disk_id, False)))
    return True, "the host is being added as a learner"


def _plan_change(replica):
    """Return the members after the next pending change, or None."""
    promoted = _plan_promotion(replica)
    return promoted if promoted is not None else _plan_voter_removal(replica)


def _plan_voter_removal(replica):
    """Return the members without one silent voter, or None.

    Removes only from an even number of voters: an even one tolerates no more failures
    than the next smaller odd one.
    """
    silent = _list_silent_voters(replica)
    if not silent or len(replica.voters) % 2 or len(replica.voters) <= VOTERS_MIN:
        return None
    members = tuple(m for m in replica.members if m != silent[0])
    return members if _can_commit(replica, members) else None


def _list_silent_voters(replica):
    """Return the voters that have not responded within the silent voter timeout."""
    timeout_s = replica.settings.silent_voter_timeout_s
    if not timeout_s:
        return []
    now_s = replica.now()
    return [
        member
        for member in replica.voters
        if member.disk_id in replica.progress
        and now_s - replica.progress[member.disk_id].last_contact_s > timeout_s
    ]


def _plan_promotion(replica):
    """Return the members after the next step towards a promotion, or None.

    A voter that the learner replaces is removed first, in a change of its own.
    """
    learners = (m for m in replica.members if m.disk_id and not m.voter)
    for learner in learners:
        if not _has_caught_up(replica, learner):
            continue
        others = tuple(m for m in replica.members if m != learner)
        displaced = [m for m in others if m.voter and m.address == learner.address]
        displaced = displaced or _list_silent_voters(replica)[:1]
        if displaced:
            members = tuple(m for m in replica.members if m not in displaced)
        else:
            promoted = QuorumMember(learner.address, learner.disk_id, True)
            members = (*others, promoted)
        if _can_commit(replica, members):
            return members
    return None


def _has_caught_up(replica, member):
    progress = replica.progress.get(member.disk_id)
    return (
        progress is not None
        and progress.match_index >= replica.commit_index
        and _is_responsive(replica, progress)
    )


def _is_responsive(replica, progress):
    age_s = replica.now() - progress.last_contact_s
    return age_s < replica.settings.election_min_s


def _can_commit(replica, members):
    """Return whether a majority of the voters among `members` currently responds."""
    voters = [member.disk_id for member in members if member.voter]
    responsive = [
        disk_id
        for disk_id in voters
        if disk_id == replica.disk_id
        or (
            (disk_id in replica.progress)
            and _is_responsive(replica, replica.progress[disk_id])
        )
    ]
    return bool(voters) and len(responsive) > len(voters) // 2


def _is_change_pending(replica):
    # A change is safe only once the previous change is committed, and once an entry of
    # this term is committed, which settles uncommitted entries of earlier leaders.
    change = replica.pending_members_change
    return (
        (change is not None and not change.done())
        or replica.configurations[-1].index > replica.commit_index
        or replica.journal.get_term(replica.commit_index) != replica.term
    )


async def _propose_members(replica, members):
    term = replica.term
    await replica.wait_until(
        lambda: not replica.is_leading(term) or not _is_change_pending(replica)
    )
    if not replica.is_leading(term):
        return NotLeader(replica.leader.address if replica.leader else None)
    return await _enqueue(replica, members)


def _enqueue(replica, members):
    before = {member.disk_id for member in replica.voters}
    after = {member.disk_id for member in members if member.voter}
    check_invariant(len(before ^ after) <= 1, "more than one voter changed at once")
    future = asyncio.get_running_loop().create_future()
    replica.pending_members_change = future
    replica.proposals.put_nowait((EntryKind.MEMBERS, encode_members(members), future))
    return future
