"""Replication progress of the other members, as tracked by the leader."""

import asyncio

import msgspec


class Progress(msgspec.Struct):
    """Replication progress of one other member.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Index of the last entry that is durable on the member.
    acked_round : int
        Latest read round that the member confirmed.
    last_contact_s : float
        Send time of the latest message that the member answered.
    acked_version : int
        Version of the leader's `acked` positions that the member has received.
    probing : bool
        True if the last message was not answered; then only heartbeats are sent.
    wake : asyncio.Event
        Set when there is something to send to the member.
    """

    next_index: int
    last_contact_s: float
    match_index: int = 0
    acked_round: int = -1
    acked_version: int = -1
    probing: bool = False
    wake: asyncio.Event = msgspec.field(default_factory=asyncio.Event)
