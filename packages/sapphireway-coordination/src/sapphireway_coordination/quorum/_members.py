"""Membership changes of the quorum, one voter at a time."""

import asyncio
from collections.abc import Sequence
from functools import partial

import msgspec

from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._types import (
    Committed,
    MembersProposed,
    NotLeader,
    Unavailable,
)
from sapphireway_protocol import EntryKind, Envelope, JoinReply, QuorumMember
from sapphireway_state import check_invariant, encode_members

VOTERS_MIN = 3  # left by automatic removal; fewer tolerate no failure


class _Change(msgspec.Struct, frozen=True):
    """Next step of an automatic change of the members."""

    members: tuple[QuorumMember, ...]
    action: str
    member: QuorumMember
    reason: str


async def maintain_members(replica: Replica, term: int) -> None:
    """Promote learners that have caught up, and remove voters that they replace.

    If `silent_voter_timeout_s` is set, voters that no longer respond are removed as
    well while more voters are left than the tolerated losses need. Each step follows
    from the members alone, so that a new leader goes on where the last one stopped.
    """
    while replica.is_leading(term):
        await asyncio.sleep(replica.settings.heartbeat_s)
        await _propose_members(replica, lambda: _plan_and_report_change(replica))


async def change_members(
    replica: Replica, add: Sequence[str], remove: Sequence[str]
) -> Committed | NotLeader | Unavailable:
    """Add hosts as learners, then remove hosts one by one.

    An added host is promoted once it has joined and caught up.
    """
    outcome = Committed(replica.commit_index, b"")
    if add:
        outcome = await _propose_members(replica, partial(_add_members, replica, add))
    for address in remove:
        if not isinstance(outcome, Committed):
            return outcome
        outcome = await _propose_members(
            replica, partial(_remove_member, replica, address)
        )
        if outcome is None:
            return Unavailable(f"without {address} no quorum would be reachable")
    return outcome


def _add_members(replica, addresses):
    known = {member.address for member in replica.members}
    new = [QuorumMember(a, "", False) for a in addresses if a not in known]
    return (*replica.members, *new)


def _remove_member(replica, address):
    """Return the members without an address, or None if that couldn't be committed."""
    members = tuple(m for m in replica.members if m.address != address)
    return members if _can_commit(replica, members) else None


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
    learner = QuorumMember(address, disk_id, False)
    change = _Change((*remaining, learner), "add", learner, "the host asked to join")
    _report_change(replica, change)
    _enqueue(replica, change.members)
    return True, "the host is being added as a learner"


def _report_change(replica, change):
    voters = sum(member.voter for member in change.members)
    address, disk_id = change.member.address, change.member.disk_id
    replica.observe(
        MembersProposed(change.action, address, disk_id, change.reason, voters)
    )


def _plan_and_report_change(replica):
    change = _plan_change(replica)
    if change is None:
        return None
    _report_change(replica, change)
    return change.members


def _plan_change(replica):
    """Return the next `_Change` that is due, or None."""
    promoted = _plan_promotion(replica)
    return promoted if promoted is not None else _plan_voter_removal(replica)


def _plan_voter_removal(replica):
    """Return the removal of the voter that has been silent for longest, or None.

    Removes only from an even number of voters: an even one tolerates no more failures
    than the next smaller odd one. A learner that still catches up may make the number
    odd, and a voter that is only away is then kept.
    """
    silent = _list_silent_voters(replica)
    voter_count = len(replica.voters)
    if not silent or voter_count % 2 or voter_count <= _get_voters_min(replica):
        return None
    if any(_is_catching_up(replica, member) for member in replica.members):
        return None
    longest = min(silent, key=lambda m: replica.progress[m.disk_id].last_contact_s)
    return _make_removal(replica, longest, "silent; the number of voters is even")


def _get_voters_min(replica):
    """Return how many voters automatic removal leaves.

    The losses that are tolerated leave a majority of them.
    """
    return max(VOTERS_MIN, 2 * replica.settings.losses_max + 1)


def _is_catching_up(replica, member):
    progress = replica.progress.get(member.disk_id)
    return (
        not member.voter and progress is not None and _is_responsive(replica, progress)
    )


def _make_removal(replica, member, reason):
    """Return the removal of a member, or None if it couldn't be committed."""
    members = tuple(m for m in replica.members if m != member)
    if not _can_commit(replica, members):
        return None
    return _Change(members, "remove", member, reason)


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
    """Return the next step towards a promotion, or None.

    A voter with the learner's address, whose disk is gone, is removed first, in a
    change of its own: one host must not have two votes. A voter that is silent is
    removed only after the promotion, as it may come back.
    """
    learners = (m for m in replica.members if m.disk_id and not m.voter)
    for learner in learners:
        if not _has_caught_up(replica, learner):
            continue
        same_address = [v for v in replica.voters if v.address == learner.address]
        if same_address:
            reason = f"disk {learner.disk_id} of {learner.address} takes its place"
            change = _make_removal(replica, same_address[0], reason)
        else:
            change = _make_promotion(replica, learner)
        if change is not None:
            return change
    return None


def _make_promotion(replica, learner):
    """Return the promotion of a learner, or None if it couldn't be committed."""
    promoted = QuorumMember(learner.address, learner.disk_id, True)
    members = (*(m for m in replica.members if m != learner), promoted)
    if not _can_commit(replica, members):
        return None
    return _Change(members, "promote", learner, "caught up")


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


async def _propose_members(replica, plan):
    """Commit the members that `plan` returns, if any, once no change is pending.

    Members that were planned earlier could undo the change that was waited for.
    """
    term = replica.term
    await replica.wait_until(
        lambda: not replica.is_leading(term) or not _is_change_pending(replica)
    )
    if not replica.is_leading(term):
        return NotLeader(replica.leader.address if replica.leader else None)
    members = plan()
    return None if members is None else await _enqueue(replica, members)


def _enqueue(replica, members):
    before = {member.disk_id for member in replica.voters}
    after = {member.disk_id for member in members if member.voter}
    check_invariant(len(before ^ after) <= 1, "more than one voter changed at once")
    future = asyncio.get_running_loop().create_future()
    replica.pending_members_change = future
    replica.proposals.put_nowait((EntryKind.MEMBERS, encode_members(members), future))
    return future
