import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sapphireway_protocol import ClaimStatus, OutcomeKind, StoredOutcome
from sapphireway_state import ClaimSpace, ClaimTable

TTL_S = 100.0
KEEP_S = 30.0
ANSWER = StoredOutcome(OutcomeKind.ANSWERED, 200, (), b"x" * 50)


def claim(table, claim_id, now_s=0.0, round_=1, seen=10**6, key="k", digest="d"):
    return table.claim(
        now_s, key, digest, claim_id, round_, budget_s=1.0, ttl_s=TTL_S, seen_fence=seen
    )


def end(table, claim_id, now_s=0.0, fence=True, key="k"):
    return table.release(now_s, key, claim_id, 0, keep_s=KEEP_S, fence=fence)


def give_back(table, claim_id, round_, now_s=0.0, key="k"):
    return table.release(now_s, key, claim_id, round_, keep_s=0.0, fence=False)


@pytest.fixture
def table():
    return ClaimTable(ClaimSpace(10_000, 2_000))


def test_claim_is_granted_to_one(table):
    assert claim(table, "a").status is ClaimStatus.GRANTED
    reply = claim(table, "b", digest="other")
    assert (reply.status, reply.claims) == (ClaimStatus.HELD, ("a",))
    assert not reply.same_request


def test_claim_is_overdue_after_its_deadline(table):
    claim(table, "a")
    assert not claim(table, "b", 0.9).overdue
    assert claim(table, "b", 1.1).overdue


def test_late_give_back_keeps_vote_of_next_round(table):
    claim(table, "a", round_=1)
    claim(table, "a", round_=2)
    give_back(table, "a", 1)
    assert claim(table, "b").status is ClaimStatus.HELD


def test_late_repeat_of_ended_claim_takes_no_key(table):
    claim(table, "a")
    end(table, "a")
    assert claim(table, "a").status is ClaimStatus.EXHAUSTED
    assert claim(table, "b").status is ClaimStatus.GRANTED


def test_fence_stops_calls_that_were_open(table):
    seen = claim(table, "a").fence
    end(table, "a")
    reply = claim(table, "b", seen=seen)
    assert reply.status is ClaimStatus.FENCED
    end(table, "b")
    assert claim(table, "c", seen=table.fence).status is ClaimStatus.GRANTED


def test_late_repeat_of_release_fences_nobody_new(table):
    claim(table, "a")
    end(table, "a")
    seen = table.fence
    end(table, "a")
    assert claim(table, "b", seen=seen).status is ClaimStatus.GRANTED


def test_fence_outlives_expiry_of_another_claim(table):
    claim(table, "a", now_s=TTL_S - 1)
    end(table, "a", now_s=TTL_S - 1)
    assert claim(table, "b", TTL_S, seen=0).status is ClaimStatus.FENCED


def test_full_table_refuses_and_evicts_nothing(table):
    index = 0
    while claim(table, "a", key=f"k{index}").status is ClaimStatus.GRANTED:
        table.record(0.0, f"k{index}", "d", "a", ANSWER, TTL_S)
        index += 1
    assert claim(table, "a", key=f"k{index}").status is ClaimStatus.FULL
    for known in range(index):
        assert claim(table, "b", key=f"k{known}").status is ClaimStatus.DONE
    assert claim(table, "b", TTL_S + 1, key="k0").status is ClaimStatus.GRANTED


def test_exhausted_table_acknowledges_no_release():
    table = ClaimTable(ClaimSpace(0, 0))
    assert claim(table, "a").status is ClaimStatus.EXHAUSTED
    assert not end(table, "a")


def test_pages_copy_every_entry(table):
    for index in range(10):
        claim(table, "a", key=f"k{index}")
    other = ClaimTable(ClaimSpace())
    last, more = 0, True
    while more:
        copies, last, more = table.copy_page(0.0, last, 1_000)
        other.merge(0.0, copies)
    assert len(other) == 10
    assert claim(other, "b", key="k9").status is ClaimStatus.HELD


def test_merge_of_two_claims_blocks_both(table):
    other = ClaimTable(ClaimSpace())
    claim(table, "a")
    claim(other, "b")
    table.merge(0.0, other.copy_page(0.0, 0, 10**6)[0])
    assert claim(table, "a").status is ClaimStatus.HELD
    end(table, "b", fence=False)
    assert claim(table, "a").status is ClaimStatus.GRANTED


class TableMachine(RuleBasedStateMachine):
    """Compares a table, taken over again and again, with what it promised."""

    keys = st.sampled_from("xyz")
    claims = st.sampled_from("abcd")

    @initialize()
    def open(self):
        self.space = ClaimSpace(6_000, 2_000)
        self.table = ClaimTable(self.space)
        self.now_s = 0.0
        self.votes = {}  # (key, claim) -> (round, expiry)
        self.done = {}  # key -> (outcome, expiry)
        self.fences = {}  # key -> (fence, expiry)
        self.ended = set()
        self.started = {}  # (key, claim) -> fence seen
        self.rounds = 0

    def is_voted(self, key, claim_id):
        return self.votes.get((key, claim_id), (0, 0.0))[1] > self.now_s

    @rule(key=keys, claim_id=claims)
    def claim(self, key, claim_id):
        if (key, claim_id) in self.ended:
            return
        self.rounds += 1
        seen = self.started.setdefault((key, claim_id), self.table.fence)
        reply = claim(self.table, claim_id, self.now_s, self.rounds, seen, key)
        rivals = [c for c in "abcd" if c != claim_id and self.is_voted(key, c)]
        outcome, until_s = self.done.get(key, (None, 0.0))
        if until_s > self.now_s:
            assert (reply.status, reply.outcome) == (ClaimStatus.DONE, outcome)
            return
        if reply.status is ClaimStatus.GRANTED:
            assert not rivals
            fence, until_s = self.fences.get(key, (0, 0.0))
            assert seen >= fence or until_s <= self.now_s
        if reply.status in (ClaimStatus.GRANTED, ClaimStatus.FENCED, ClaimStatus.FULL):
            self.votes[key, claim_id] = (self.rounds, self.now_s + TTL_S)

    @rule(key=keys, claim_id=claims, back=st.integers(0, 3))
    def give_back(self, key, claim_id, back):
        round_ = self.rounds - back
        give_back(self.table, claim_id, round_, self.now_s, key)
        if self.votes.get((key, claim_id), (round_ + 1, 0.0))[0] <= round_:
            self.votes.pop((key, claim_id), None)

    @rule(key=keys, claim_id=claims)
    def refuse(self, key, claim_id):
        if not self.is_voted(key, claim_id):
            return
        assert end(self.table, claim_id, self.now_s, key=key)
        del self.votes[key, claim_id]
        self.ended.add((key, claim_id))
        self.fences[key] = (self.table.fence, self.now_s + KEEP_S)

    @rule(key=keys, claim_id=claims)
    def finish(self, key, claim_id):
        if not self.is_voted(key, claim_id):
            return
        self.table.record(self.now_s, key, "d", claim_id, ANSWER, TTL_S)
        for known in [vote for vote in self.votes if vote[0] == key]:
            del self.votes[known]
        if self.done.get(key, (None, 0.0))[1] <= self.now_s:
            self.done[key] = (ANSWER, self.now_s + TTL_S)
        self.ended.add((key, claim_id))

    @rule(seconds=st.sampled_from((0.5, 20.0, TTL_S)))
    def wait(self, seconds):
        self.now_s += seconds
        self.ended = {e for e in self.ended if seconds < TTL_S}
        self.started = {} if seconds >= KEEP_S else self.started

    @rule()
    def take_over(self):
        copies, _, _ = self.table.copy_page(self.now_s, 0, 10**9)
        self.table.clear()
        self.table.merge(self.now_s, copies)
        self.fences = {
            key: (self.table.fence, until_s)
            for key, (_, until_s) in self.fences.items()
        }

    @invariant()
    def space_is_counted(self):
        entries = self.table._entries.values()
        assert self.space.used_bytes == sum(entry.size_bytes for entry in entries)


TestTable = TableMachine.TestCase
TestTable.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
