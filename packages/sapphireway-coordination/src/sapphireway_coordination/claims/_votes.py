"""What the holders' replies to one round of a claim add up to."""

import enum
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from sapphireway_protocol import (
    ClaimGroup,
    ClaimReply,
    ClaimStatus,
    GroupHolder,
    StoredOutcome,
)

HOLDING = frozenset((ClaimStatus.GRANTED, ClaimStatus.FENCED, ClaimStatus.FULL))
"""Statuses with which the claim holds the key at the holder."""


class Decision(enum.Enum):
    """What a claimant does after a round."""

    RUN = enum.auto()
    REFUSE = enum.auto()
    DONE = enum.auto()
    MISMATCH = enum.auto()
    UNKNOWN = enum.auto()
    RETRY = enum.auto()


@dataclass(slots=True, frozen=True)
class Votes:
    """The replies of one round.

    Attributes
    ----------
    decision : Decision
    is_settled : bool
        True if replies that are still missing can't change the decision for better.
    statuses : frozenset of ClaimStatus
    held_at : frozenset of GroupHolder
        Holders at which the claim may hold the key: they said so, or were silent.
    rivals : frozenset of str
        Other claims that hold the key somewhere.
    outcome : StoredOutcome or None
    detail : str
        One line for people.
    """

    decision: Decision = Decision.RETRY
    is_settled: bool = False
    statuses: frozenset[ClaimStatus] = frozenset()
    held_at: frozenset[GroupHolder] = frozenset()
    rivals: frozenset[str] = frozenset()
    outcome: StoredOutcome | None = None
    detail: str = ""

    @property
    def holds_any(self) -> bool:
        """Whether some holder may keep a vote for the claim."""
        return bool(self.held_at)


def tally_votes(
    group: ClaimGroup, replies: Mapping[GroupHolder, ClaimReply | None]
) -> Votes:
    """Add up one round's replies; None stands for a holder that did not reply."""
    said = [reply for reply in replies.values() if reply is not None]
    statuses = Counter(reply.status for reply in said)
    granted = statuses[ClaimStatus.GRANTED]
    is_all = len(replies) == len(group.holders)
    can_run = granted + len(group.holders) - len(replies) >= group.majority
    done = next((r for r in said if r.status is ClaimStatus.DONE), None)
    decision, detail = _decide(group, said, statuses, done)
    return Votes(
        decision,
        decision in (Decision.RUN, Decision.DONE, Decision.MISMATCH)
        or is_all
        or not can_run,
        frozenset(statuses),
        frozenset(
            holder
            for holder in group.holders
            if replies.get(holder) is None or replies[holder].status in HOLDING
        ),
        frozenset(claim for reply in said for claim in reply.claims),
        done.outcome if done is not None else None,
        detail,
    )


def _decide(group, said, statuses, done):
    if done is not None:
        return (Decision.DONE if done.same_request else Decision.MISMATCH), ""
    if statuses[ClaimStatus.GRANTED] >= group.majority:
        return Decision.RUN, ""
    if sum(statuses[status] for status in HOLDING) >= group.majority:
        return Decision.REFUSE, ""
    if _is_mismatch(group, said):
        return Decision.MISMATCH, ""
    if statuses[ClaimStatus.UNSURE]:
        return Decision.UNKNOWN, "claims of this service may have been lost"
    if statuses[ClaimStatus.EXHAUSTED]:
        return Decision.UNKNOWN, "no room to look into the idempotency key"
    overdue = sum(r.status is ClaimStatus.HELD and r.overdue for r in said)
    if len(group.holders) - overdue < group.majority:
        return Decision.UNKNOWN, "the call that holds the key has not reported its end"
    if statuses[ClaimStatus.HELD]:
        return Decision.RETRY, "the key is claimed by a call that is under way"
    return Decision.RETRY, "too few holders of the idempotency key replied"


def _is_mismatch(group, said):
    """Whether one call with another request holds the key at a majority."""
    others = Counter(
        claim
        for reply in said
        if reply.status is ClaimStatus.HELD and not reply.same_request
        for claim in reply.claims
    )
    return any(count >= group.majority for count in others.values())
