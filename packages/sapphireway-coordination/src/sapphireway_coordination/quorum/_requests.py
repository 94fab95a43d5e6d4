"""Requests of nodes to a control host, forwarded to the leader if necessary."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from sapphireway_coordination.quorum._replica import Replica
from sapphireway_coordination.quorum._types import (
    Committed,
    Current,
    NotLeader,
    Unavailable,
)
from sapphireway_protocol import ControlReply, Envelope, Query

QuorumOutcome = Committed | Current | NotLeader | Unavailable


async def handle_change(
    replica: Replica,
    change: Awaitable[QuorumOutcome],
    sender: str,
    envelope: Envelope,
) -> None:
    """Answer with the outcome of a change, or forward the request to the leader."""
    outcome = await _await_outcome(change, envelope)
    if isinstance(outcome, Committed):
        reply = ControlReply(True, outcome.index, replica.peers.address)
        replica.peers.reply(sender, envelope, reply, outcome.result)
    else:
        await _refuse_or_forward(replica, sender, envelope, outcome)


async def handle_query(
    replica: Replica,
    read_barrier: Awaitable[QuorumOutcome],
    query: Callable[[bytes], bytes],
    sender: str,
    envelope: Envelope,
) -> None:
    """Answer a linearizable read here, or forward the request to the leader."""
    outcome = await _await_outcome(read_barrier, envelope)
    if isinstance(outcome, Current):
        data = query(envelope.body)
        reply = ControlReply(True, replica.applied_index, replica.peers.address)
        replica.peers.reply(sender, envelope, reply, data)
    else:
        await _refuse_or_forward(replica, sender, envelope, outcome)


async def _await_outcome(outcome, envelope):
    try:
        async with asyncio.timeout(envelope.message.timeout_s):
            return await outcome
    except TimeoutError:
        return Unavailable("no quorum answered in time", maybe_applied=True)


async def _refuse_or_forward(replica, sender, envelope, outcome):
    request = envelope.message
    if isinstance(outcome, Unavailable):
        reply = ControlReply(
            False, detail=outcome.detail, maybe_applied=outcome.maybe_applied
        )
        replica.peers.reply(sender, envelope, reply)
        return
    if outcome.leader is None or request.forwarded:
        reply = ControlReply(
            False,
            leader=outcome.leader or "",
            detail="this host is not the leader and cannot forward the request",
        )
        replica.peers.reply(sender, envelope, reply)
        return
    forwarded = msgspec.structs.replace(request, forwarded=True)
    leader_reply = await replica.peers.request(
        outcome.leader, forwarded, request.timeout_s, envelope.body
    )
    if leader_reply is not None and isinstance(leader_reply.message, ControlReply):
        replica.peers.reply(sender, envelope, leader_reply.message, leader_reply.body)
        return
    reply = ControlReply(
        False,
        leader=outcome.leader,
        detail="the leader did not answer",
        maybe_applied=not isinstance(request, Query),
    )
    replica.peers.reply(sender, envelope, reply)
