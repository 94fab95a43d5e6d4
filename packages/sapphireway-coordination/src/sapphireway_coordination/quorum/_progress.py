"""The leader's view of the other members."""

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Progress:
    """What the leader knows of one other member.

    Attributes
    ----------
    next_index : int
        First entry to send.
    match_index : int
        Last entry that the member durably holds.
    acked_round : int
        Latest read round that the member confirmed.
    acked_sent_s : float
        When the latest confirmed message was sent.
    acked_version : int
        Version of the table of acked positions that the member has.
    probing : bool
        True while the last message is unanswered; only heartbeats are sent.
    wake : asyncio.Event
        Set when there is something to send.
    """

    next_index: int
    acked_sent_s: float
    match_index: int = 0
    acked_round: int = -1
    acked_version: int = -1
    probing: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)
