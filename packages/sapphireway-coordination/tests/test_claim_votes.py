import pytest

from sapphireway_coordination.claims._outcomes import load_outcome
from sapphireway_coordination.claims._votes import Decision, tally_votes
from sapphireway_protocol import (
    Answered,
    ClaimGroup,
    ClaimReply,
    ClaimStatus,
    GroupHolder,
    OutcomeKind,
    StoredOutcome,
    Unknown,
)

GROUP = ClaimGroup("s", 1, tuple(GroupHolder(n, n, n) for n in "abc"))
DONE = ClaimReply(ClaimStatus.DONE, outcome=StoredOutcome(OutcomeKind.UNKNOWN))
GRANTED, FENCED, FULL, UNSURE, EXHAUSTED, SYNCING = (
    ClaimReply(ClaimStatus(status))
    for status in ("granted", "fenced", "full", "unsure", "exhausted", "syncing")
)
HELD = ClaimReply(ClaimStatus.HELD, claims=("x",))
OVERDUE = ClaimReply(ClaimStatus.HELD, claims=("x",), overdue=True)
OTHER = ClaimReply(ClaimStatus.HELD, claims=("x",), same_request=False)
OTHER_2 = ClaimReply(ClaimStatus.HELD, claims=("y",), same_request=False)


@pytest.mark.parametrize(
    ("replies", "decision", "is_settled"),
    [
        ([GRANTED, GRANTED], Decision.RUN, True),
        ([GRANTED], Decision.RETRY, False),
        ([GRANTED, None], Decision.RETRY, False),
        ([GRANTED, None, None], Decision.RETRY, True),
        ([GRANTED, FENCED], Decision.REFUSE, False),
        ([GRANTED, FENCED, GRANTED], Decision.RUN, True),
        ([FENCED, FULL], Decision.REFUSE, True),
        ([HELD, FENCED, FULL], Decision.REFUSE, True),
        ([FENCED, HELD, None], Decision.RETRY, True),
        ([GRANTED, DONE], Decision.DONE, True),
        ([HELD, HELD], Decision.RETRY, True),
        ([OTHER, OTHER], Decision.MISMATCH, True),
        ([OTHER, OTHER_2, None], Decision.RETRY, True),
        ([OTHER, None, None], Decision.RETRY, True),
        ([UNSURE, None, None], Decision.UNKNOWN, True),
        ([EXHAUSTED, HELD], Decision.UNKNOWN, True),
        ([OVERDUE, OVERDUE], Decision.UNKNOWN, True),
        ([OVERDUE, GRANTED, GRANTED], Decision.RUN, True),
        ([OVERDUE, None, None], Decision.RETRY, True),
        ([SYNCING, SYNCING, SYNCING], Decision.RETRY, True),
    ],
)
def test_tally_votes_decision(replies, decision, is_settled):
    votes = tally_votes(GROUP, dict(zip(GROUP.holders, replies, strict=False)))
    assert (votes.decision, votes.is_settled) == (decision, is_settled)


@pytest.mark.parametrize("status", [0, 99, 600, 999])
def test_stored_answer_of_a_status_that_http_does_not_have_is_unknown(status):
    stored = StoredOutcome(OutcomeKind.ANSWERED, status)
    assert isinstance(load_outcome(stored), Unknown)


@pytest.mark.parametrize(
    "field", [("X A", "1"), ("X-A ", "1"), ("", "1"), ("X\x01", "1"), ("X", "\x7f")]
)
def test_stored_answer_with_a_malformed_field_is_unknown(field):
    """Holders of an earlier version kept such fields, and callers got them."""
    stored = StoredOutcome(OutcomeKind.ANSWERED, 200, (("X", "1"), field), b"ok")
    assert isinstance(load_outcome(stored), Unknown)


def test_stored_answer_with_valid_odd_fields_is_returned():
    fields = (("!#$%&'*+-.^_`|~0aZ", "1"), ("X", "\xe9\t"), ("X", ""))
    stored = StoredOutcome(OutcomeKind.ANSWERED, 200, fields, b"ok")
    assert load_outcome(stored) == Answered(200, fields, b"ok")
