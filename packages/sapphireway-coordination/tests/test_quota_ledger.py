from sapphireway_coordination.quotas import TokenLedger
from sapphireway_coordination.quotas._bucket import START_TOKENS, TokenBucket
from sapphireway_protocol import AskTokens, ReturnedTokens, TokenWant
from sapphireway_state import Workspace

W = Workspace("w", (), 10.0, 20.0)


def ask(ledger, number, needed, now_s, spare=0, refused=0, node="n", returns=()):
    wants = [TokenWant("w", needed, spare, refused)]
    message = AskTokens(number, node, wants, list(returns))
    return ledger.answer("owner", message, now_s, 0.1)


def make_ledger(now_s=0.0):
    """A ledger whose bucket is full."""
    ledger = TokenLedger(now_s - 10.0, ())
    ledger.set_workspaces((W,), now_s)
    return ledger


def test_answer_of_new_owner_says_when_it_starts():
    ledger = TokenLedger(0.0, (W,))
    answer = ask(ledger, 1, 5, 0.2)
    assert not answer.granting
    assert 0.3 <= answer.start_s <= 0.32
    answer = ask(ledger, 2, 5, 0.52)
    assert answer.granting
    assert answer.grants[0].ready == int(START_TOKENS)


def test_answer_to_repeated_ask_takes_no_further_tokens():
    """Guards against a duplicated message that empties the bucket."""
    ledger = make_ledger()
    first = ask(ledger, 1, 15, 0.0)
    assert ask(ledger, 1, 15, 0.01) == first
    assert ask(ledger, 2, 5, 0.02).grants[0].ready == 5


def test_answer_takes_tokens_back_once():
    """Guards against a duplicated return that fills the bucket."""
    ledger = make_ledger()
    ask(ledger, 1, 20, 0.0)
    returns = [ReturnedTokens(1, "w", 8)]
    ask(ledger, 2, 0, 0.0, returns=returns)
    ask(ledger, 2, 0, 0.0, returns=returns)
    assert (
        ask(ledger, 3, 30, 0.0, returns=[ReturnedTokens(1, "w", 0)]).grants[0].ready
        == 8
    )


def test_answer_takes_back_no_more_than_granted():
    ledger = make_ledger()
    ask(ledger, 1, 5, 0.0)
    ask(ledger, 2, 15, 0.0)
    ask(ledger, 3, 0, 0.0, returns=[ReturnedTokens(1, "w", 9)])
    ask(ledger, 4, 0, 0.0, returns=[ReturnedTokens(1, "w", 9)])
    assert ask(ledger, 5, 30, 0.0).grants[0].ready == 5


def test_answer_ignores_late_return():
    """Guards against a return that adds tokens which have expired."""
    ledger = make_ledger()
    ask(ledger, 1, 20, 0.0)
    answer = ask(ledger, 2, 30, 0.6, returns=[ReturnedTokens(1, "w", 20)])
    assert answer.grants[0].ready == 6


def test_answer_for_unlimited_workspace_grants_everything():
    ledger = TokenLedger(-10.0, ())
    assert ask(ledger, 1, 500, 0.0, 20).grants[0].ready == 520


def test_set_workspaces_keeps_level_of_removed_workspace():
    """Guards against a second burst for a workspace that is put back."""
    ledger = make_ledger()
    ask(ledger, 1, 20, 0.0)
    ledger.set_workspaces((), 0.1)
    ledger.set_workspaces((W, Workspace("x")), 0.2)
    assert ask(ledger, 2, 20, 0.2).grants[0].ready == 2


def test_set_workspaces_with_lower_limit_drops_tokens():
    ledger = make_ledger()
    ledger.set_workspaces((Workspace("w", (), 1.0, 5.0),), 0.0)
    assert ask(ledger, 1, 20, 0.0).grants[0].ready == 5


def test_answer_promises_accruing_tokens_in_equal_shares():
    ledger = make_ledger()
    ledger.set_workspaces((Workspace("w", (), 100.0, 20.0),), 0.0)
    ask(ledger, 1, 20, 0.0)
    first = ask(ledger, 2, 0, 0.0, spare=20, node="a").grants[0]
    second = ask(ledger, 3, 0, 0.1, spare=20, node="b").grants[0]
    assert (first.ready, first.later) == (0, 20)
    assert (second.ready, second.later) == (0, 7)
    assert abs(second.first_s - 0.11) < 1e-9


def test_retry_after_counts_refused_requests():
    """Guards against callers that all return for the same token."""
    bucket = TokenBucket(10.0, 20.0, 0.0, 0.0)
    assert abs(bucket.get_retry_s(0.0) - 0.1) < 1e-9
    bucket.add_refusals(19, 0.0)
    assert abs(bucket.get_retry_s(0.0) - 2.0) < 1e-9
    assert abs(bucket.get_retry_s(1.0) - 0.0) < 1e-9
