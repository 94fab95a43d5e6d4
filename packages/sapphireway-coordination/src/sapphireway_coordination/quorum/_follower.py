"""What a host does with the messages of its leader."""

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
    """Parts of a snapshot that have arrived so far."""

    leader: str
    index: int
    total_bytes: int
    data: bytearray


def answer_heartbeat(replica: Replica, sender: str, envelope: Envelope) -> bool:
    """Answer a message without entries at once, also while the disk is busy.

    Returns
    -------
    bool
        False if the message must wait for the lock.
    """
    message = envelope.message
    if message.entries or message.term != replica.term or not replica.may_act:
        return False
    if replica.leader is None or replica.leader.disk_id != message.leader:
        return False
    replica.leader_contact_s = replica.now()
    _record_acked(replica, message)
    held = _holds(replica, message)
    _reply(replica, sender, envelope, held, message.prev_index)
    if held and not replica.lock.locked():
        _commit(replica, message, message.prev_index)
    return True


async def answer_append(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Make the entries durable, then say so."""
    message = envelope.message
    async with replica.lock:
        if not replica.may_act:
            return
        if message.term < replica.term:
            _reply(replica, sender, envelope, False, message.prev_index)
            return
        if not await _follow(replica, sender, message):
            return
        _record_acked(replica, message)
        if not _holds(replica, message):
            _reply(replica, sender, envelope, False, message.prev_index)
            return
        if not await _store(replica, message):
            return
        last = message.prev_index + len(message.entries)
        _commit(replica, message, last)
        _reply(replica, sender, envelope, True, last)


async def answer_chunk(replica: Replica, sender: str, envelope: Envelope) -> None:
    """Collect the parts of a snapshot and install it once it is whole."""
    message = envelope.message
    async with replica.lock:
        if not replica.may_act:
            return
        if message.term < replica.term:
            reply = SnapshotReply(replica.term, replica.disk_id, 0, False)
            replica.peers.reply(sender, envelope, reply)
            return
        if not await _follow(replica, sender, message):
            return
        if message.total_bytes > replica.settings.limits.snapshot_max_bytes:
            replica.detail = "the leader's snapshot is larger than the limit"
            return
        installed = message.index <= replica.commit_index
        if not installed:
            incoming = _collect(replica, message, envelope.body)
            if len(incoming.data) == message.total_bytes:
                replica.incoming = None
                if not await _install(replica, bytes(incoming.data)):
                    return
                installed = True
        offset = len(replica.incoming.data) if replica.incoming else 0
        reply = SnapshotReply(replica.term, replica.disk_id, offset, installed)
        replica.peers.reply(sender, envelope, reply)


async def _follow(replica, sender, message):
    """Take the sender as the leader of its term; False if the disk fails."""
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


def _record_acked(replica, message):
    for acked in message.acked:
        replica.record_acked(acked.disk_id, acked.term, acked.index)


def _holds(replica, message):
    """Return whether the journal agrees with the leader's at the previous entry."""
    if message.prev_index <= replica.commit_index:
        return True
    return replica.journal.get_term(message.prev_index) == message.prev_term


async def _store(replica, message):
    """Append what is new, replacing entries that contradict the leader's."""
    journal = replica.journal
    for index, entry in enumerate(message.entries, message.prev_index + 1):
        held_term = journal.get_term(index)
        if held_term == entry.term:
            continue
        if index <= replica.commit_index:
            check_invariant(held_term is None, f"committed entry {index} contradicted")
            continue
        new = message.entries[index - message.prev_index - 1 :]
        return await replica.append(index, new)
    return True


def _commit(replica, message: Append, last):
    replica.commit(max(replica.commit_index, min(message.commit_index, last)))


def _reply(replica, sender, envelope, ok, index):
    if not ok:
        # Tell the leader where this journal ends, so that it skips what is missing.
        index = min(index, replica.journal.last_index + 1)
    reply = AppendReply(replica.term, replica.disk_id, ok, index)
    replica.peers.reply(sender, envelope, reply)


def _collect(replica, message, body):
    incoming = replica.incoming
    key = (message.leader, message.index, message.total_bytes)
    if incoming is None or key != (
        incoming.leader,
        incoming.index,
        incoming.total_bytes,
    ):
        incoming = replica.incoming = IncomingSnapshot(*key, bytearray())
    if message.offset == len(incoming.data):
        incoming.data += body
    return incoming


async def _install(replica, data):
    """Make a whole snapshot durable and take its state; False if it cannot be."""
    snapshot = decode_snapshot(data)
    if snapshot is None:
        replica.detail = "a snapshot arrived damaged"
        return False
    failure = await replica.journal.save_snapshot(snapshot)
    if failure is not None:
        replica.fail_disk(failure)
        return False
    replica.restore(snapshot)
    return True
