"""Outcomes of calls with idempotency keys."""

import hashlib

from sapphireway_coordination.claims._votes import Votes
from sapphireway_coordination.routing import Call
from sapphireway_protocol import (
    Answered,
    ClaimStatus,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    StoredOutcome,
    Unknown,
)

CONFLICT_RETRY_AFTER_S = 0.1
FULL_RETRY_AFTER_S = 5.0


def digest_request(call: Call) -> str:
    """Name the request, so that a key can't stand for two different ones."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.kind, call.method, call.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()


def explain_refusal(votes: Votes) -> NotRun:
    """Tell why a call that holds its key must not run."""
    if ClaimStatus.FULL in votes.statuses:
        return NotRun(
            NotRunReason.CLAIMS_UNAVAILABLE,
            FULL_RETRY_AFTER_S,
            "no room to keep the idempotency key",
        )
    return NotRun(
        NotRunReason.CLAIM_CONFLICT,
        CONFLICT_RETRY_AFTER_S,
        "the key was released while this request was under way",
    )


def describe_mismatch() -> NotRun:
    """Refuse a request whose key stands for another one."""
    return NotRun(
        NotRunReason.CLAIM_MISMATCH, 0.0, "the key was used for another request"
    )


def load_outcome(stored: StoredOutcome) -> Outcome:
    """Return the outcome that a resend gets."""
    match stored.kind:
        case OutcomeKind.ANSWERED:
            outcome = Answered(stored.status, stored.headers, stored.body)
        case OutcomeKind.FAILED:
            outcome = Failed(stored.detail)
        case OutcomeKind.ANSWER_DROPPED:
            outcome = Unknown("the request ran; its answer was too large to keep")
        case OutcomeKind.UNKNOWN:
            outcome = Unknown(stored.detail)
    return outcome


def store_outcome(outcome: Outcome, answer_max_bytes: int) -> StoredOutcome:
    """Return what holders keep; an answer that is too large is only noted."""
    match outcome:
        case Answered(status, headers, body):
            if len(body) > answer_max_bytes:
                return StoredOutcome(OutcomeKind.ANSWER_DROPPED, status)
            return StoredOutcome(OutcomeKind.ANSWERED, status, tuple(headers), body)
        case Failed(detail):
            return StoredOutcome(OutcomeKind.FAILED, detail=detail)
        case Unknown(detail):
            return StoredOutcome(OutcomeKind.UNKNOWN, detail=detail)
    raise AssertionError(f"{outcome} is not an outcome to keep")
