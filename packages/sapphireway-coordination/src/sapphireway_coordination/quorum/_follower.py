"""Handling of the leader's messages by a follower or learner."""

import msgspec

from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._types import Role
from sapphireway_protocol import (
    Append,
    AppendReply,
    Envelope,
    QuorumMember,
    SnapshotReply,
)
from sapphireway_state import check_invariant, decode_snapshot


class IncomingSnapshot(msgspec.Struct):
    """Snapshot that is being received in parts."""

    leader: str
    index: int
    total_bytes: int
    data: bytearray


def handle_heartbeat(replica: Replica, sender: str, envelope: Envelope) -> bool:
    """Answer an `Append` without entries at once, even while the disk is busy.

    Returns
    -------
    bool
        False if the message was not answered and must be handled under the lock.
    """
    message = envelope.message
    if message.entries or message.term != replica.term or not replica.can_participate:
        return False
    if replica.leader is None or replica.leader.disk_id != message.leader:
        return False
    replica.leader_contact_s = replica.now()
    _record_acks(replica, message)
    matches = _matches_previous_entry(replica, message)
    _send_append_reply(replica, sender, envelope, matches, message.prev_index)
    if matches and not replica.lock.locked():
        _apply_commit_index(replica, message, message.prev_index)
    return True


async def handle_append(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Make the entries of an `Append` durable before acknowledging them."""
    message = envelope.message
    async with replica.lock:
        if not replica.can_participate:
            return
        if message.term < replica.term:
            _send_append_reply(replica, sender, envelope, False, message.prev_index)
            return
        if not await _follow_leader(replica, sender, message):
            return
        _record_acks(replica, message)
        if not _matches_previous_entry(replica, message):
            _send_append_reply(replica, sender, envelope, False, message.prev_index)
            return
        if not await _append_new_entries(replica, message):
            return
        last = message.prev_index + len(message.entries)
        _apply_commit_index(replica, message, last)
        _send_append_reply(replica, sender, envelope, True, last)


async def handle_chunk(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Collect the parts of a snapshot and install it once it is complete."""
    message = envelope.message
    async with replica.lock:
        if not replica.can_participate:
            return
        if message.term < replica.term:
            reply = SnapshotReply(replica.term, replica.disk_id, 0, False)
            replica.peers.reply(sender, envelope, reply)
            return
        if not await _follow_leader(replica, sender, message):
            return
        if message.total_bytes > replica.settings.limits.snapshot_max_bytes:
            replica.detail = (
                f"the leader's snapshot has {message.total_bytes} bytes; the limit is "
                f"{replica.settings.limits.snapshot_max_bytes}"
            )
            return
        installed = message.index <= replica.commit_index
        if not installed:
            incoming = _collect_chunk(replica, message, envelope.body)
            if len(incoming.data) == message.total_bytes:
                replica.incoming_snapshot = None
                if not await _install_snapshot(
                    replica, message.index, bytes(incoming.data)
                ):
                    return
                installed = True
        offset = len(replica.incoming_snapshot.data) if replica.incoming_snapshot else 0
        reply = SnapshotReply(replica.term, replica.disk_id, offset, installed)
        replica.peers.reply(sender, envelope, reply)


async def _follow_leader(replica, sender, message):
    """Follow the sender as the leader of its term; return False if the disk fails."""
    if message.term > replica.term and not await replica.adopt_term(message.term):
        return False
    check_invariant(
        replica.role != Role.LEADER
        and (replica.leader is None or replica.leader.disk_id == message.leader),
        f"two leaders in term {message.term}",
    )
    if replica.leader is None:
        replica.leader = QuorumMember(sender, message.leader, True)
    replica.role = Role.FOLLOWER
    replica.leader_contact_s = replica.now()
    replica.notify()
    return True


def _record_acks(replica, message):
    for acked in message.acked:
        replica.record_ack(acked.disk_id, acked.term, acked.index)


def _matches_previous_entry(replica, message):
    """Return whether the journal matches the leader's at the previous entry."""
    if message.prev_index <= replica.commit_index:
        return True
    return replica.journal.get_term(message.prev_index) == message.prev_term


async def _append_new_entries(replica, message):
    """Append new entries, replacing those that conflict with the leader's.

    Returns False if the disk fails.
    """
    journal = replica.journal
    for index, entry in enumerate(message.entries, message.prev_index + 1):
        local_term = journal.get_term(index)
        if local_term == entry.term:
            continue
        if index <= replica.commit_index:
            check_invariant(
                local_term is None,
                f"committed entry {index} conflicts with the leader's",
            )
            continue
        new = message.entries[index - message.prev_index - 1 :]
        return await replica.append(index, new)
    return True


def _apply_commit_index(replica, message: Append, last):
    replica.commit(max(replica.commit_index, min(message.commit_index, last)))


def _send_append_reply(replica, sender, envelope, ok, index):
    if not ok:
        # Tells the leader where this journal ends, so that it need not probe indexes
        # that are missing here.
        index = min(index, replica.journal.last_index + 1)
    reply = AppendReply(replica.term, replica.disk_id, ok, index)
    replica.peers.reply(sender, envelope, reply)


def _collect_chunk(replica, message, body):
    incoming = replica.incoming_snapshot
    snapshot_key = (message.leader, message.index, message.total_bytes)
    if incoming is None or snapshot_key != (
        incoming.leader,
        incoming.index,
        incoming.total_bytes,
    ):
        incoming = replica.incoming_snapshot = IncomingSnapshot(
            *snapshot_key, bytearray()
        )
    if message.offset == len(incoming.data):
        incoming.data += body
    return incoming


async def _install_snapshot(replica, index, data):
    """Save and restore a complete snapshot; return False if that fails."""
    snapshot = decode_snapshot(data)
    if (
        snapshot is None
        or snapshot.index != index
        or not replica.machine.can_restore(snapshot.data)
    ):
        replica.detail = "the snapshot received from the leader is damaged"
        return False
    failure = await replica.journal.save_snapshot(snapshot)
    if failure is not None:
        replica.fail_disk(failure)
        return False
    replica.restore(snapshot)
    replica.detail = ""
    return True
