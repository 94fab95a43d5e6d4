import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sapphireway_protocol import ClaimStatus, OutcomeKind, StoredOutcome
from sapphireway_state import ClaimMemory, ClaimTable

TTL_S = 100.0
KEEP_S = 30.0
ANSWER = StoredOutcome(OutcomeKind.ANSWERED, 200, (), b"x" * 50)


def claim(table, claim_id, now_s=0.0, round_=1, seen=10**6, key="k", digest="d"):
    return table.claim(
        now_s, key, digest, claim_id, round_, budget_s=1.0, ttl_s=TTL_S, seen_fence=seen
    )


def release_ended(table, claim_id, now_s=0.0, fence=True, key="k"):
    return table.release(now_s, key, claim_id, 0, keep_s=KEEP_S, fence=fence)


def withdraw(table, claim_id, round_, now_s=0.0, key="k"):
    return table.release(now_s, key, claim_id, round_, keep_s=0.0, fence=False)


@pytest.fixture
def table():
    return ClaimTable(ClaimMemory(10_000, 2_000))


def test_claim_is_granted_to_one(table):
    assert claim(table, "a").status is ClaimStatus.GRANTED
    reply = claim(table, "b", digest="other")
    assert (reply.status, reply.claims) == (ClaimStatus.HELD, ("a",))
    assert not reply.same_request


def test_claim_is_overdue_after_its_deadline(table):
    claim(table, "a")
    assert not claim(table, "b", 0.9).overdue
    assert claim(table, "b", 1.1).overdue


def test_late_withdrawal_keeps_vote_of_next_round(table):
    claim(table, "a", round_=1)
    claim(table, "a", round_=2)
    withdraw(table, "a", 1)
    assert claim(table, "b").status is ClaimStatus.HELD


def test_duplicate_of_ended_claim_does_not_hold_key(table):
    claim(table, "a")
    release_ended(table, "a")
    assert claim(table, "a").status is ClaimStatus.EXHAUSTED
    assert claim(table, "b").status is ClaimStatus.GRANTED


def test_fence_stops_earlier_calls(table):
    seen = claim(table, "a").fence
    release_ended(table, "a")
    reply = claim(table, "b", seen=seen)
    assert reply.status is ClaimStatus.FENCED
    release_ended(table, "b")
    assert claim(table, "c", seen=table.fence).status is ClaimStatus.GRANTED


def test_duplicate_release_does_not_fence_new_calls(table):
    claim(table, "a")
    release_ended(table, "a")
    seen = table.fence
    release_ended(table, "a")
    assert claim(table, "b", seen=seen).status is ClaimStatus.GRANTED


def test_fence_outlives_expiry_of_another_claim(table):
    claim(table, "a")
    release_ended(table, "b", now_s=TTL_S - 1)
    # The fence keeps the entry alive, and with it the expired claim.
    assert claim(table, "c", TTL_S + 1, seen=0).status is ClaimStatus.HELD


def test_full_table_refuses_new_keys_and_evicts_nothing(table):
    index = 0
    while claim(table, "a", key=f"k{index}").status is ClaimStatus.GRANTED:
        table.record(0.0, f"k{index}", "d", "a", ANSWER, TTL_S)
        index += 1
    assert claim(table, "a", key=f"k{index}").status is ClaimStatus.FULL
    for known in range(index):
        assert claim(table, "b", key=f"k{known}").status is ClaimStatus.DONE
    assert claim(table, "b", TTL_S + 1, key="k0").status is ClaimStatus.GRANTED


def test_exhausted_table_refuses_release():
    table = ClaimTable(ClaimMemory(0, 0))
    assert claim(table, "a").status is ClaimStatus.EXHAUSTED
    assert not release_ended(table, "a")


def test_pages_copy_every_entry(table):
    for index in range(10):
        claim(table, "a", key=f"k{index}")
    other = ClaimTable(ClaimMemory())
    last, more = 0, True
    while more:
        copies, last, more = table.copy_page(0.0, last, 1_000)
        other.merge(0.0, copies)
    assert len(other) == 10
    assert claim(other, "b", key="k9").status is ClaimStatus.HELD


def test_merge_of_two_claims_blocks_both(table):
    other = ClaimTable(ClaimMemory())
    claim(table, "a")
    claim(other, "b")
    table.merge(0.0, other.copy_page(0.0, 0, 10**6)[0])
    assert claim(table, "a").status is ClaimStatus.HELD
    release_ended(table, "b", fence=False)
    assert claim(table, "a").status is ClaimStatus.GRANTED


class ClaimTableMachine(RuleBasedStateMachine):
    """Compares a table, also after transfers to an empty one, with a simple model."""

    @initialize()
    def open(self):
        self.memory = ClaimMemory(6_000, 2_000)
        self.table = ClaimTable(self.memory)
        self.now_s = 0.0
        self.calls = 0
        self.rounds = 0
        self.open_calls = {}  # claim -> fence seen when the call arrived
        self.votes = {}  # claim -> (round, expiry)
        self.outcome = None
        self.done_until_s = 0.0
        self.fence = 0
        self.fenced_until_s = 0.0

    def pick(self, claims, index):
        claims = sorted(claims)
        return claims[index % len(claims)]

    def list_voted(self):
        return [c for c, (_, until_s) in self.votes.items() if until_s > self.now_s]

    @rule()
    @precondition(lambda self: len(self.open_calls) < 4)
    def open_call(self):
        self.calls += 1
        self.open_calls[f"c{self.calls}"] = self.table.fence

    @rule(index=st.integers(0, 3))
    @precondition(lambda self: self.open_calls)
    def claim(self, index):
        claim_id = self.pick(self.open_calls, index)
        seen = self.open_calls[claim_id]
        self.rounds += 1
        reply = claim(self.table, claim_id, self.now_s, self.rounds, seen)
        if self.done_until_s > self.now_s:
            assert (reply.status, reply.outcome) == (ClaimStatus.DONE, self.outcome)
            return
        if self.list_voted() not in ([], [claim_id]):
            assert reply.status is ClaimStatus.HELD
            return
        is_fenced = seen < self.fence and self.now_s < self.fenced_until_s
        if is_fenced or reply.status is not ClaimStatus.GRANTED:
            assert reply.status is ClaimStatus.FENCED
        self.votes[claim_id] = (self.rounds, self.now_s + TTL_S)

    @rule(index=st.integers(0, 3), back=st.integers(0, 3))
    @precondition(lambda self: self.votes)
    def withdraw(self, index, back):
        claim_id = self.pick(self.votes, index)
        round_ = self.rounds - back
        withdraw(self.table, claim_id, round_, self.now_s)
        if self.votes[claim_id][0] <= round_:
            del self.votes[claim_id]

    @rule(index=st.integers(0, 3))
    @precondition(lambda self: self.list_voted())
    def release_claim(self, index):
        claim_id = self.pick(self.list_voted(), index)
        assert release_ended(self.table, claim_id, self.now_s)
        del self.votes[claim_id], self.open_calls[claim_id]
        self.fence = self.table.fence
        self.fenced_until_s = self.now_s + KEEP_S

    @rule(index=st.integers(0, 3))
    @precondition(lambda self: self.list_voted())
    def finish(self, index):
        claim_id = self.pick(self.list_voted(), index)
        self.outcome = StoredOutcome(OutcomeKind.UNKNOWN, detail=claim_id)
        self.table.record(self.now_s, "k", "d", claim_id, self.outcome, TTL_S)
        self.done_until_s = self.now_s + TTL_S
        self.votes.clear()
        del self.open_calls[claim_id]

    @rule(seconds=st.sampled_from((0.5, 20.0, 0.9 * TTL_S, TTL_S)))
    def wait(self, seconds):
        self.now_s += seconds

    @rule()
    def transfer(self):
        copies, _, _ = self.table.copy_page(self.now_s, 0, 10**9)
        self.table.clear()
        self.table.merge(self.now_s, copies)
        self.fence = self.table.fence

    @invariant()
    def memory_is_counted(self):
        entries = self.table._entries.values()
        assert self.memory.used_bytes == sum(entry.size_bytes for entry in entries)


TestClaimTable = ClaimTableMachine.TestCase
TestClaimTable.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
