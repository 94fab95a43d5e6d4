"""Refusals of calls with idempotency keys, and outcomes as holders store them."""

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
    read_answer,
)

CONFLICT_RETRY_AFTER_S = 0.1
FULL_RETRY_AFTER_S = 5.0


def digest_request(call: Call) -> str:
    """Return a digest of the request, to detect a key reused for another one."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.kind, call.method, call.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    if call.workspace:
        # Another workspace must not get the answer to this request.
        digest.update(b"\0")
        digest.update(call.workspace.encode())
    return digest.hexdigest()


def make_refusal(votes: Votes) -> NotRun:
    """Return the refusal of a call that holds its key but must not run."""
    if ClaimStatus.FULL in votes.statuses:
        return NotRun(
            NotRunReason.CLAIMS_UNAVAILABLE,
            FULL_RETRY_AFTER_S,
            "the memory for idempotency keys is full",
        )
    return NotRun(
        NotRunReason.CLAIM_CONFLICT,
        CONFLICT_RETRY_AFTER_S,
        "the key was released while this request was in progress",
    )


def make_mismatch_refusal() -> NotRun:
    """Return the refusal of a request whose key was used for another one."""
    return NotRun(
        NotRunReason.CLAIM_MISMATCH, 0.0, "the key was used for another request"
    )


def load_outcome(stored: StoredOutcome) -> Outcome:
    """Convert a stored outcome to the one that a resend gets."""
    match stored.kind:
        case OutcomeKind.ANSWERED:
            outcome = read_answer(stored.status, stored.headers, stored.body)
        case OutcomeKind.FAILED:
            outcome = Failed(stored.detail)
        case OutcomeKind.ANSWER_DROPPED:
            outcome = Unknown("the request ran, but its answer was not stored")
        case OutcomeKind.UNKNOWN:
            outcome = Unknown(stored.detail)
    return outcome


def store_outcome(outcome: Outcome, answer_max_bytes: int) -> StoredOutcome:
    """Convert an outcome to its stored form; a body above the limit is dropped."""
    match outcome:
        case Answered(status, headers, body):
            if len(body) > answer_max_bytes:
                return StoredOutcome(OutcomeKind.ANSWER_DROPPED, status)
            return StoredOutcome(OutcomeKind.ANSWERED, status, tuple(headers), body)
        case Failed(detail):
            return StoredOutcome(OutcomeKind.FAILED, detail=detail)
        case Unknown(detail):
            return StoredOutcome(OutcomeKind.UNKNOWN, detail=detail)
    raise AssertionError(f"{outcome} has no stored form")
