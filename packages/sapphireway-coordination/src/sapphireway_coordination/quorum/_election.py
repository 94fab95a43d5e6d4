"""Leader election with pre-vote."""

import asyncio

from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._types import Role
from sapphireway_protocol import Envelope, VoteReply, VoteRequest

DEPARTURE_JITTER_S = 0.2  # spreads the campaigns after a leader has departed


async def run_elections(replica: Replica, lead) -> None:
    """Campaign after each election timeout, and run `lead` after a won election.

    Parameters
    ----------
    replica : Replica
    lead : callable
        Coroutine function that leads in the current term and returns after stepping
        down.
    """
    while True:
        await _wait_for_election_timeout(replica)
        if _can_campaign(replica) and await _campaign(replica):
            await lead(replica)


async def _wait_for_election_timeout(replica):
    settings = replica.settings
    timeout_s = replica.rng.uniform(settings.election_min_s, settings.election_max_s)
    waiting_since_s = replica.now()
    while True:
        last_contact_s = max(replica.leader_contact_s, waiting_since_s)
        left_s = last_contact_s + timeout_s - replica.now()
        if left_s <= 0:
            return
        try:
            async with asyncio.timeout(left_s):
                await replica.leader_departed.wait()
        except TimeoutError:
            continue
        replica.leader_departed.clear()
        await asyncio.sleep(replica.rng.uniform(0.0, DEPARTURE_JITTER_S))
        if not replica.has_recent_leader():
            return


def _can_campaign(replica):
    # An empty journal means that the cluster is being bootstrapped: only the founder
    # may campaign, and only after all initial members have accepted.
    may_start_election = replica.journal.last_index > 0 or (
        replica.disk_id == _get_founder(replica) and not replica.vote.founding
    )
    return replica.can_participate and replica.is_voter and may_start_election


def _get_founder(replica):
    first = min(replica.vote.initial, key=lambda m: m.address, default=None)
    return first.disk_id if first else ""


async def _campaign(replica):
    """Run a pre-vote and an election; return whether this host became the leader."""
    if not await _collect_votes(replica, replica.term + 1, pre_vote=True):
        return False
    async with replica.lock:
        if replica.has_recent_leader() or not _can_campaign(replica):
            return False
        term = replica.term + 1
        if not await replica.adopt_term(term, replica.disk_id):
            return False
        replica.role = Role.CANDIDATE
    won = await _collect_votes(replica, term, pre_vote=False)
    async with replica.lock:
        if replica.role != Role.CANDIDATE or replica.term != term:
            return False
        replica.role = Role.LEADER if won else Role.FOLLOWER
    return won


async def _collect_votes(replica, term, pre_vote):
    """Request votes from all other voters; return whether a quorum granted them.

    Returns True as soon as a quorum is reached, without waiting for the rest.
    """
    granted = {replica.disk_id}
    if replica.is_quorum(granted):
        return True
    other_voters = [m for m in replica.voters if m.disk_id != replica.disk_id]
    tasks = [
        asyncio.create_task(_request_vote(replica, member, term, pre_vote))
        for member in other_voters
    ]
    try:
        for next_reply in asyncio.as_completed(tasks):
            voter = await next_reply
            granted.add(voter)
            if replica.is_quorum(granted):
                return True
    finally:
        await replica.cancel(tasks)
    return False


async def _request_vote(replica, member, term, pre_vote):
    """Return the member's disk ID if it grants its vote, else an empty string."""
    journal = replica.journal
    vote = VoteRequest(
        replica.vote.cluster_id,
        term,
        replica.disk_id,
        member.disk_id,
        journal.last_term,
        journal.last_index,
        pre_vote,
    )
    reply = await replica.peers.request(
        member.address, vote, replica.settings.election_min_s
    )
    if reply is None or not isinstance(reply.message, VoteReply):
        return ""
    if reply.message.disk_id != member.disk_id:
        return ""
    if reply.message.term > replica.term and not reply.message.granted:
        async with replica.lock:
            if reply.message.term > replica.term:
                await replica.adopt_term(reply.message.term)
        return ""
    return member.disk_id if reply.message.granted else ""


async def handle_vote(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Answer a `VoteRequest`; a granted vote is durable before the reply is sent."""
    vote = envelope.message
    async with replica.lock:
        granted = await _decide_vote(replica, vote)
        if granted is not None and replica.can_participate:
            reply = VoteReply(replica.term, granted, replica.disk_id)
            replica.peers.reply(sender, envelope, reply)


async def _decide_vote(replica, vote):
    """Return whether the vote is granted, or None if this host must not answer."""
    if not replica.can_participate:
        return None
    if replica.has_recent_leader() or vote.term < replica.term:
        return False
    journal = replica.journal
    local_position = (journal.last_term, journal.last_index)
    up_to_date = (vote.last_term, vote.last_index) >= local_position
    if vote.pre_vote:
        return up_to_date and vote.term > replica.term
    if vote.term > replica.term:
        voted_for = vote.candidate if up_to_date else ""
        saved = await replica.adopt_term(vote.term, voted_for)
        return up_to_date if saved else None
    if replica.vote.voted_for == vote.candidate:
        return True
    if replica.vote.voted_for or not up_to_date:
        return False
    if not await replica.save_vote(voted_for=vote.candidate):
        return None
    return True
