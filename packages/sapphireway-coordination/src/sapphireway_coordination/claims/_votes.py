"""The tally of the holders' replies to one round of a claim."""

import enum
from collections import Counter
from collections.abc import Mapping

import msgspec

from sapphireway_protocol import (
    ClaimGroup,
    ClaimReply,
    ClaimStatus,
    GroupHolder,
    StoredOutcome,
)

HOLDING_STATUSES = frozenset(
    (ClaimStatus.GRANTED, ClaimStatus.FENCED, ClaimStatus.FULL)
)
"""Statuses that mean that the claim holds the key at the replying holder."""


class Decision(enum.Enum):
    """What a claimant does after a round."""

    RUN = enum.auto()
    REFUSE = enum.auto()
    DONE = enum.auto()
    MISMATCH = enum.auto()
    UNKNOWN = enum.auto()
    RETRY = enum.auto()


class Votes(msgspec.Struct, frozen=True):
    """The replies of one round.

    Attributes
    ----------
    decision : Decision
    is_settled : bool
        True if outstanding replies can't improve the decision.
    statuses : frozenset of ClaimStatus
    held_at : frozenset of GroupHolder
        Holders that replied that the claim holds the key there, or did not reply.
    rivals : frozenset of str
        Other claims that hold the key at some holder.
    outcome : StoredOutcome or None
    detail : str
        One line that explains the decision.
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
        """Whether any holder may have the key recorded for the claim."""
        return bool(self.held_at)


def tally_votes(
    group: ClaimGroup, replies: Mapping[GroupHolder, ClaimReply | None]
) -> Votes:
    """Tally one round's replies; None stands for a holder that did not reply."""
    received = [reply for reply in replies.values() if reply is not None]
    statuses = Counter(reply.status for reply in received)
    granted = statuses[ClaimStatus.GRANTED]
    is_complete = len(replies) == len(group.holders)
    can_run = granted + len(group.holders) - len(replies) >= group.majority
    done = next((r for r in received if r.status is ClaimStatus.DONE), None)
    decision, detail = _decide(group, received, statuses, done)
    return Votes(
        decision,
        decision in (Decision.RUN, Decision.DONE, Decision.MISMATCH)
        or is_complete
        or not can_run,
        frozenset(statuses),
        frozenset(
            holder
            for holder in group.holders
            if replies.get(holder) is None or replies[holder].status in HOLDING_STATUSES
        ),
        frozenset(claim for reply in received for claim in reply.claims),
        done.outcome if done is not None else None,
        detail,
    )


def _decide(group, received, statuses, done):
    if done is not None:
        return (Decision.DONE if done.same_request else Decision.MISMATCH), ""
    if statuses[ClaimStatus.GRANTED] >= group.majority:
        return Decision.RUN, ""
    if sum(statuses[status] for status in HOLDING_STATUSES) >= group.majority:
        return Decision.REFUSE, ""
    if _is_mismatch(group, received):
        return Decision.MISMATCH, ""
    if statuses[ClaimStatus.UNSURE]:
        return Decision.UNKNOWN, "claims of this service may have been lost"
    if statuses[ClaimStatus.EXHAUSTED]:
        return Decision.UNKNOWN, "the memory for idempotency keys is exhausted"
    overdue = sum(r.status is ClaimStatus.HELD and r.overdue for r in received)
    if len(group.holders) - overdue < group.majority:
        return (
            Decision.UNKNOWN,
            "the call that holds the key is past its deadline without an outcome",
        )
    if statuses[ClaimStatus.HELD]:
        return Decision.RETRY, "the key is claimed by a call in progress"
    return Decision.RETRY, "too few holders of the idempotency key replied"


def _is_mismatch(group, received):
    """Whether one call with a different request holds the key at a majority."""
    others = Counter(
        claim
        for reply in received
        if reply.status is ClaimStatus.HELD and not reply.same_request
        for claim in reply.claims
    )
    return any(count >= group.majority for count in others.values())
