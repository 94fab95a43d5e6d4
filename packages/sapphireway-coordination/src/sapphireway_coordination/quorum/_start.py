"""Startup of a control host in a new cluster, as a member or as a learner."""

import asyncio

from sapphireway_coordination.quorum._data_folder import (
    generate_id,
    open_data_folder,
    reset_identity,
)
from sapphireway_coordination.quorum._replica import (
    Configuration,
    Replica,
    is_majority,
)
from sapphireway_coordination.quorum._types import JoinAnswered, Role
from sapphireway_protocol import (
    Bootstrap,
    BootstrapReply,
    Envelope,
    Hello,
    HelloReply,
    Join,
    JoinReply,
    QuorumMember,
)
from sapphireway_state import StartRecord

# A disk that fails again and again is opened less and less often, down to this rate,
# as each time the whole journal may be read and the last segment rewritten.
REOPEN_WAIT_MAX_S = 2.0
# Time in use after which a failure of the disk counts as the first one.
DISK_STABLE_S = 10.0


async def run_startup(replica: Replica) -> None:
    """Start up and keep this host a member, anew after each failure of its disk."""
    wait_s = replica.settings.start_retry_s
    while True:
        began_s = replica.now()
        if not replica.disk_problem:
            await _start_until_disk_fails(replica)
        if replica.now() - began_s > DISK_STABLE_S:
            wait_s = replica.settings.start_retry_s
        await replica.wait_until(lambda: not replica.is_damaged)
        await asyncio.sleep(wait_s * replica.rng.uniform(0.8, 1.2))
        await open_data_folder(replica)
        wait_s = min(2 * wait_s, REOPEN_WAIT_MAX_S)


async def _start_until_disk_fails(replica):
    tasks = [
        asyncio.create_task(_start(replica)),
        asyncio.create_task(replica.wait_until(lambda: replica.disk_problem)),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        await replica.cancel(tasks)


async def _start(replica):
    """Start up until this host can participate, then join whenever no leader is heard.

    The leader adds this host only if it is not a member.
    """
    while not replica.vote.cluster_id and not await _try_form_cluster(replica):
        await _wait_before_retry(replica)
    if not replica.members and replica.vote.start_count > 1:
        # The folder names no members that could tell whether it is up to date. It
        # holds no entries, so a new identity loses nothing.
        await reset_identity(replica)
        if replica.disk_problem:
            return
    while replica.members and not await _try_verify_disk(replica):
        await _wait_before_retry(replica)
    if replica.journal.snapshot.index > replica.applied_index:
        replica.restore(replica.journal.snapshot)
    replica.disk_verified = True
    replica.leaderless_since_s = replica.now()
    replica.role = Role.FOLLOWER
    replica.notify()
    while replica.vote.founding and not await _try_finish_bootstrap(replica):
        await _wait_before_retry(replica)
    while True:
        await _wait_before_retry(replica)
        # A host that was removed while it was away still finds itself in its own
        # journal's members, and no leader sends to it. Only a leader can tell.
        if not replica.can_participate:
            continue
        if replica.has_recent_leader():
            replica.detail = ""  # why a leader refused to let it join
        else:
            await _try_join(replica)


async def _wait_before_retry(replica):
    factor = replica.rng.uniform(0.8, 1.2)
    await asyncio.sleep(replica.settings.start_retry_s * factor)


async def _exchange_hellos(replica, addresses):
    """Send `Hello` to all addresses but this host's; return the replies."""
    hello = Hello(
        replica.vote.cluster_id,
        replica.disk_id,
        replica.vote.start_count,
        replica.start_id,
    )
    others = sorted({*addresses} - {replica.peers.address})
    timeout_s = replica.settings.start_retry_s
    requests = (replica.peers.request(o, hello, timeout_s) for o in others)
    envelopes = await asyncio.gather(*requests)
    return {
        address: envelope.message
        for address, envelope in zip(others, envelopes, strict=True)
        if envelope is not None and isinstance(envelope.message, HelloReply)
    }


async def _try_form_cluster(replica):
    """Adopt the ID of an existing cluster or bootstrap one; return False if neither."""
    replies = await _exchange_hellos(replica, replica.control_hosts)
    clusters = {reply.cluster_id for reply in replies.values()} - {""}
    if len(clusters) > 1:
        replica.detail = (
            "the control hosts belong to different clusters: "
            f"{', '.join(sorted(clusters))}"
        )
        return False
    if clusters:
        known = next(reply for reply in replies.values() if reply.cluster_id)
        return await _enter_cluster(replica, known.cluster_id, known.initial_members)
    if not _can_bootstrap(replica, replies):
        return False
    members = [QuorumMember(a, r.disk_id, True) for a, r in replies.items()]
    members.append(QuorumMember(replica.peers.address, replica.disk_id, True))
    async with replica.lock:
        if replica.vote.cluster_id:
            return True
        saved = await replica.save_vote(
            cluster_id=generate_id(replica), initial=members, founding=True
        )
        replica.rebuild_configurations()
        return saved


def _can_bootstrap(replica, replies):
    hosts = sorted(replica.control_hosts)
    others = set(hosts) - {replica.peers.address}
    if not replica.bootstrap:
        replica.detail = "the data folder is empty and bootstrap is disabled"
        return False
    if set(replies) != others:
        missing = ", ".join(sorted(others - set(replies)))
        replica.detail = f"bootstrap is waiting for {missing}"
        return False
    if any(
        not r.bootstrap or sorted(r.control_hosts) != hosts for r in replies.values()
    ):
        replica.detail = (
            "bootstrap must be enabled on every control host, with the same list of "
            "control hosts"
        )
        return False
    replica.detail = f"bootstrap is waiting for the founder {hosts[0]}"
    return replica.peers.address == hosts[0]


async def _enter_cluster(replica, cluster_id, initial):
    """Durably adopt the cluster ID.

    Returns False if this host belongs to another cluster or the disk fails.
    """
    async with replica.lock:
        if replica.vote.cluster_id:
            return replica.vote.cluster_id == cluster_id
        is_initial_member = any(m.disk_id == replica.disk_id for m in initial)
        saved = await replica.save_vote(
            cluster_id=cluster_id, initial=list(initial) if is_initial_member else []
        )
        replica.rebuild_configurations()
        replica.detail = ""
        return saved


async def _try_finish_bootstrap(replica):
    """Ask all initial members to accept; return True once every one has."""
    bootstrap_request = Bootstrap(replica.vote.cluster_id, replica.vote.initial)
    others = [m for m in replica.vote.initial if m.disk_id != replica.disk_id]
    timeout_s = replica.settings.start_retry_s
    requests = (
        replica.peers.request(m.address, bootstrap_request, timeout_s) for m in others
    )
    envelopes = await asyncio.gather(*requests)
    for member, envelope in zip(others, envelopes, strict=True):
        accepted = BootstrapReply(replica.vote.cluster_id, member.disk_id)
        if envelope is None or envelope.message != accepted:
            replica.detail = f"bootstrap is waiting for {member.address}"
            return False
    replica.detail = ""
    async with replica.lock:
        return await replica.save_vote(founding=False)


async def _try_verify_disk(replica):
    """Verify with the other members that this data folder is up to date.

    A data folder that lags behind what another member has seen of it gets a new
    identity. If another host knows later members than this journal, a majority of
    these is asked: the disks that this journal names may all have been replaced.
    """
    asked = _list_known_addresses(replica)
    replies = await _exchange_hellos(replica, asked)
    members = _find_latest_members(replica, replies)
    unasked = {member.address for member in members} - asked
    replies |= await _exchange_hellos(replica, unasked)
    if replica.disk_problem:
        return False
    if any(_has_seen_newer_state(replica, reply) for reply in replies.values()):
        await reset_identity(replica)
        return not replica.disk_problem
    answered = {reply.disk_id for reply in replies.values()}
    if is_majority({*answered, replica.disk_id}, members):
        replica.detail = ""
        return True
    replica.detail = "too few members answer to verify that the disk is up to date"
    return False


def _list_known_addresses(replica):
    return {*replica.control_hosts, *(member.address for member in replica.members)}


def _find_latest_members(replica, replies):
    """Return the latest members that this journal or a reply in this cluster names."""
    latest = replica.configurations[-1]
    for reply in replies.values():
        same_cluster = reply.cluster_id == replica.vote.cluster_id
        if same_cluster and reply.members_index > latest.index:
            latest = Configuration(reply.members_index, tuple(reply.members))
    return latest.members


def _has_seen_newer_state(replica, reply):
    if reply.cluster_id != replica.vote.cluster_id:
        return False
    vote = replica.vote
    if reply.seen_start_count > vote.start_count:
        return True
    if reply.seen_start_count == vote.start_count:
        if reply.seen_start_id != replica.start_id:
            return True
    local_position = (replica.journal.last_term, replica.journal.last_index)
    return (reply.seen_term, reply.seen_index) > local_position


async def _try_join(replica):
    """Ask every host that is reported as the leader to add this host as a learner."""
    replies = await _exchange_hellos(replica, _list_known_addresses(replica))
    leaders = {r.leader for r in replies.values()} - {"", replica.peers.address}
    join = Join(replica.vote.cluster_id, replica.disk_id)
    for leader in sorted(leaders):
        reply = await replica.peers.request(
            leader, join, replica.settings.start_retry_s
        )
        if reply is not None and isinstance(reply.message, JoinReply):
            _record_join_reply(replica, leader, reply.message)


def _record_join_reply(replica, leader, reply):
    replica.detail = "" if reply.accepted else reply.detail
    answer = JoinAnswered(leader, reply.accepted, reply.detail)
    if answer != replica.join_answer:
        replica.join_answer = answer
        replica.observe(answer)


async def handle_hello(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Answer a `Hello` after durably recording the start of a known sender."""
    hello = envelope.message
    if replica.disk_problem or not replica.disk_id:
        return
    seen = replica.vote.known_starts.get(hello.disk_id, StartRecord(0, ""))
    if _needs_recording(replica, hello, seen):
        async with replica.lock:
            if not await _record_start(replica, hello):
                return
    acked_term, acked_index = replica.acked.get(hello.disk_id, (0, 0))
    leader = replica.leader
    reply = HelloReply(
        replica.vote.cluster_id,
        replica.disk_id,
        replica.bootstrap,
        list(replica.control_hosts),
        replica.vote.initial,
        leader.address if leader and replica.has_recent_leader() else "",
        seen.start_count,
        seen.start_id,
        acked_term,
        acked_index,
        list(replica.configurations[0].members),
        replica.configurations[0].index,
    )
    replica.peers.reply(sender, envelope, reply)


def _needs_recording(replica, hello, seen):
    is_known = any(m.disk_id == hello.disk_id for m in replica.members)
    return is_known and hello.start_count > seen.start_count


async def _record_start(replica, hello):
    known = {member.disk_id for member in replica.members}
    known_starts = {
        disk_id: start
        for disk_id, start in replica.vote.known_starts.items()
        if disk_id in known
    }
    known_starts[hello.disk_id] = StartRecord(hello.start_count, hello.start_id)
    return await replica.save_vote(known_starts=known_starts)


async def handle_bootstrap(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Accept initial membership, unless this host already belongs to a cluster."""
    bootstrap_request = envelope.message
    if replica.disk_problem or not replica.disk_id:
        return
    if any(member.disk_id == replica.disk_id for member in bootstrap_request.members):
        await _enter_cluster(
            replica, bootstrap_request.cluster_id, bootstrap_request.members
        )
    reply = BootstrapReply(replica.vote.cluster_id, replica.disk_id)
    replica.peers.reply(sender, envelope, reply)
