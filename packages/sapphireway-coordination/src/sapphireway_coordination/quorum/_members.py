"""Changes of the quorum's members, one voter at a time."""

import asyncio
from collections.abc import Sequence

from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._types import Committed, NotLeader, Unavailable
from sapphireway_protocol import EntryKind, Envelope, JoinReply, QuorumMember
from sapphireway_state import check_invariant, encode_members

VOTERS_MIN = 3  # fewer can lose none


async def maintain_members(replica: Replica, term: int) -> None:
    """Promote learners that have caught up, in place of the disks they replace.

    Where the settings say so, voters that are gone are taken out as well.
    """
    while replica.is_leading(term):
        await asyncio.sleep(replica.settings.heartbeat_s)
        members = _plan_change(replica)
        if members is not None:
            await _propose_members(replica, members)


async def change_members(
    replica: Replica, add: Sequence[str], remove: Sequence[str]
) -> Committed | NotLeader | Unavailable:
    """Expect new hosts as learners, then take out others one by one.

    An added host is promoted later, once it has joined and caught up.
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


def answer_join(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Take a host with another disk as a learner, if its address is known."""
    accepted, detail = _decide_join(replica, sender, envelope.message.disk_id)
    replica.peers.reply(sender, envelope, JoinReply(accepted, detail))


def _decide_join(replica, address, disk_id):
    if not replica.is_leading(replica.term):
        return False, "this host does not lead"
    known = next((m for m in replica.members if m.disk_id == disk_id), None)
    if known is not None and known.address != address:
        return False, f"this disk is a member at {known.address}; start it there"
    if known is not None:
        return True, "the host is a member"
    is_announced = any(member.address == address for member in replica.members)
    if not is_announced and not replica.settings.admit_unknown_hosts:
        return False, f"{address} is no control host; operators add it first"
    if _is_change_pending(replica):
        return False, "another change of the members is under way"
    kept = (m for m in replica.members if m.voter or m.address != address)
    _enqueue(replica, (*kept, QuorumMember(address, disk_id, False)))
    return True, "the host becomes a learner"


def _plan_change(replica):
    """Return the members after the next step that is due, or None."""
    promoted = _plan_promotion(replica)
    return promoted if promoted is not None else _plan_reduction(replica)


def _plan_reduction(replica):
    """Take a silent voter out if their number is even: it helps no majority."""
    silent = _list_silent(replica)
    if not silent or len(replica.voters) % 2 or len(replica.voters) <= VOTERS_MIN:
        return None
    members = tuple(m for m in replica.members if m != silent[0])
    return members if _can_commit(replica, members) else None


def _list_silent(replica):
    """Return the voters that were not heard for so long that they may be gone."""
    silent_s = replica.settings.silent_voter_timeout_s
    if not silent_s:
        return []
    now_s = replica.now()
    return [
        member
        for member in replica.voters
        if member.disk_id in replica.progress
        and now_s - replica.progress[member.disk_id].acked_sent_s > silent_s
    ]


def _plan_promotion(replica):
    """Return the members after the next step towards a promotion, or None."""
    learners = (m for m in replica.members if m.disk_id and not m.voter)
    for learner in learners:
        if not _has_caught_up(replica, learner):
            continue
        rest = tuple(m for m in replica.members if m != learner)
        replaced = [m for m in rest if m.voter and m.address == learner.address]
        replaced = replaced or _list_silent(replica)[:1]
        if replaced:
            members = tuple(m for m in replica.members if m not in replaced)
        else:
            promoted = QuorumMember(learner.address, learner.disk_id, True)
            members = (*rest, promoted)
        if _can_commit(replica, members):
            return members
    return None


def _has_caught_up(replica, member):
    progress = replica.progress.get(member.disk_id)
    return (
        progress is not None
        and progress.match_index >= replica.commit_index
        and _is_fresh(replica, progress)
    )


def _is_fresh(replica, progress):
    age_s = replica.now() - progress.acked_sent_s
    return age_s < replica.settings.election_min_s


def _can_commit(replica, members):
    """Return whether a majority of the voters among `members` answers now."""
    voters = [member.disk_id for member in members if member.voter]
    answering = [
        disk_id
        for disk_id in voters
        if disk_id == replica.disk_id
        or (
            (disk_id in replica.progress)
            and _is_fresh(replica, replica.progress[disk_id])
        )
    ]
    return bool(voters) and len(answering) > len(voters) // 2


def _is_change_pending(replica):
    # A change is safe only after the one before it, and after the first commit of
    # this term has settled what earlier leaders left behind.
    change = replica.members_change
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
    replica.members_change = future
    replica.proposals.put_nowait((EntryKind.MEMBERS, encode_members(members), future))
    return future
