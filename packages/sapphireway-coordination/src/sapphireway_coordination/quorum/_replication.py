"""Replication from the leader to one member."""

import asyncio

from sapphireway_coordination.quorum._progress import Progress
from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._types import EntriesUnanswered
from sapphireway_protocol import (
    AckedPosition,
    Append,
    AppendReply,
    Envelope,
    QuorumMember,
    SnapshotChunk,
    SnapshotReply,
)
from sapphireway_state import check_invariant, encode_snapshot


async def replicate(
    replica: Replica, member: QuorumMember, progress: Progress, term: int
) -> None:
    """Send entries, snapshots and heartbeats to one member, one message at a time."""
    while replica.is_leading(term):
        progress.wake.clear()
        began_s = replica.now()
        if replica.journal.get_term(progress.next_index - 1) is None:
            answered = await _send_snapshot(replica, member, progress, term)
        else:
            answered = await _send_append(replica, member, progress, term)
        progress.probing = not answered
        if not replica.is_leading(term):
            return
        if not answered:
            left_s = began_s + replica.settings.heartbeat_s - replica.now()
            await asyncio.sleep(max(0.0, left_s))
        elif progress.next_index > replica.journal.last_index:
            await _wait_for_work(replica, progress, began_s)


async def _wait_for_work(replica, progress, began_s):
    left_s = began_s + replica.settings.heartbeat_s - replica.now()
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            await progress.wake.wait()
    except TimeoutError:
        pass


async def _send_append(replica, member, progress, term):
    """Send one `Append`; return whether the member answered."""
    journal = replica.journal
    first = progress.next_index
    entries = []
    if not progress.probing:
        entries = journal.list_entries(first, replica.settings.append_max_bytes)
    read_round = replica.read_round
    version = replica.acked_version
    message = Append(
        replica.vote.cluster_id,
        term,
        replica.disk_id,
        member.disk_id,
        journal.get_term(first - 1),
        first - 1,
        replica.commit_index,
        entries,
        _list_acked(replica) if version > progress.acked_version else [],
    )
    sent_s = replica.now()
    reply = await _request(replica, member, message, AppendReply, term)
    if reply is None:
        if entries:
            size_bytes = sum(len(entry.data) for entry in entries)
            replica.observe(
                EntriesUnanswered(member.address, first, len(entries), size_bytes)
            )
        return False
    progress.last_contact_s = sent_s
    progress.acked_round = max(progress.acked_round, read_round)
    progress.acked_version = version
    _record_reply(replica, member, progress, reply)
    replica.notify()
    return True


def handle_late_reply(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Count entries that a member has confirmed later than the leader waited for it.

    Otherwise entries that take longer than that on a link are sent again without end.
    """
    reply = envelope.message
    progress = replica.progress.get(reply.disk_id)
    if progress is None or not reply.ok or not replica.is_leading(reply.term):
        return
    _record_confirmed(replica, reply.disk_id, progress, reply.index)
    replica.notify()
    progress.wake.set()


def _list_acked(replica):
    return [
        AckedPosition(member.disk_id, *replica.acked[member.disk_id])
        for member in replica.members
        if member.disk_id in replica.acked
    ]


def _record_reply(replica, member, progress, reply):
    if not reply.ok:
        progress.next_index = max(1, min(reply.index, progress.next_index - 1))
        return
    _record_confirmed(replica, member.disk_id, progress, reply.index)


def _record_confirmed(replica, disk_id, progress, index):
    last_index = replica.journal.last_index
    check_invariant(
        index <= last_index,
        f"disk {disk_id} acknowledged entry {index} beyond the journal's end",
    )
    progress.match_index = max(progress.match_index, index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    local_term = replica.journal.get_term(progress.match_index)
    if local_term is not None:
        replica.record_ack(disk_id, local_term, progress.match_index)


async def _send_snapshot(replica, member, progress, term):
    """Send the latest snapshot in parts; return whether the member installed it."""
    snapshot = replica.journal.snapshot
    data = encode_snapshot(snapshot)
    offset = 0
    while replica.is_leading(term):
        chunk = SnapshotChunk(
            replica.vote.cluster_id,
            term,
            replica.disk_id,
            member.disk_id,
            snapshot.index,
            offset,
            len(data),
        )
        body = data[offset : offset + replica.settings.chunk_bytes]
        sent_s = replica.now()
        reply = await _request(replica, member, chunk, SnapshotReply, term, body)
        if reply is None:
            return False
        progress.last_contact_s = sent_s
        if reply.installed:
            progress.match_index = max(progress.match_index, snapshot.index)
            progress.next_index = snapshot.index + 1
            replica.notify()
            return True
        offset = min(reply.next_offset, len(data) - 1)
    return False


async def _request(replica, member, message, reply_type, term, body=b""):
    """Return the member's reply, or None if there is none in this term."""
    timeout_s = replica.settings.heartbeat_s
    if body:
        # Installing a snapshot takes several fsyncs of a larger file than an append.
        timeout_s = 4 * replica.settings.heartbeat_s
    envelope = await replica.peers.request(member.address, message, timeout_s, body)
    if envelope is None or not isinstance(envelope.message, reply_type):
        return None
    reply = envelope.message
    if reply.disk_id != member.disk_id or not replica.is_leading(term):
        return None
    if reply.term > term:
        async with replica.lock:
            if reply.term > replica.term:
                await replica.adopt_term(reply.term)
        return None
    return reply
