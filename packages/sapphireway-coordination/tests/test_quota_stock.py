import pytest

from sapphireway_coordination.quotas import AgeClock, TokenStock
from sapphireway_protocol import ReturnedTokens, TokenGrant, TokenWant
from sapphireway_state import Workspace

W = Workspace("w", (), 50.0, 50.0)


def test_take_uses_ready_tokens_until_they_expire():
    stock = TokenStock(W)
    stock.add(1, TokenGrant("w", 3), 0.0, 0.4)
    assert stock.take(0.0, 0.0) is not None
    assert stock.take(0.3, 0.399) is not None
    assert stock.take(0.3, 0.4) is None
    assert stock.expired == 1


def test_take_uses_later_tokens_when_they_have_accrued():
    """Guards against use before accrual, which breaks the bound."""
    stock = TokenStock(W)
    stock.add(1, TokenGrant("w", 0, 2, 0.1, 0.02), 1.0, 9.0)
    assert stock.take(1.09, 1.09) is None
    assert stock.take(1.1001, 1.1) is not None
    assert stock.take(1.11, 1.11) is None
    assert stock.take(1.1201, 1.12) is not None
    assert not stock.has_tokens(1.2)


def test_make_want_fetches_ahead_for_steady_demand():
    stock = TokenStock(W)
    for i in range(100):
        stock.count_arrival(i * 0.02)
    assert stock.is_low(1.98, 1.98)
    assert 13 <= stock.make_want(0, 1.98).spare <= 15
    stock.add(1, TokenGrant("w", 9), 1.98, 9.0)
    assert not stock.is_low(1.98, 1.98)


def test_make_want_fetches_nothing_ahead_for_few_requests():
    """Guards against tokens that lie unused at many nodes."""
    stock = TokenStock(W)
    for i in range(20):
        stock.count_arrival(i * 0.2)
    assert not stock.is_low(3.8, 3.8)
    assert stock.make_want(1, 3.8) == TokenWant("w", 1, 0)


def test_make_want_reports_refusals_once():
    stock = TokenStock(W)
    stock.add(1, TokenGrant("w", 0, empty_s=0.1, retry_s=0.5), 0.0, 9.0)
    assert stock.refuse(0.0, 0.0) == pytest.approx(0.5)
    assert stock.refuse(0.1, 0.5) == pytest.approx(0.4 + 1.5 / 50)
    assert stock.make_want(0, 0.1).refused == 2
    assert stock.make_want(0, 0.1).refused == 0


def test_is_empty_grows_for_repeated_answers():
    stock = TokenStock(W)
    ends_s = []
    for _ in range(6):
        stock.add(1, TokenGrant("w", 0, empty_s=0.001), 0.0, 9.0)
        ends_s.append(max(i for i in range(300) if stock.is_empty(i / 1000)))
    assert ends_s == [39, 79, 159, 199, 199, 199]
    stock.add(2, TokenGrant("w", 1), 0.0, 9.0)
    assert not stock.is_empty(0.0)


def test_take_unused_returns_tokens_of_each_grant():
    stock = TokenStock(W)
    for i in range(100):
        stock.count_arrival(i * 0.02)
    stock.add(1, TokenGrant("w", 2, 3, 0.1, 0.02), 1.98, 9.0)
    assert stock.take_unused(2.03, 2.03) == []
    assert stock.take_unused(2.05, 2.05) == [ReturnedTokens(1, "w", 5)]
    assert stock.take(2.05, 2.05) is None


def test_take_unused_keeps_tokens_of_infrequent_requests():
    """Guards against tokens that go back and forth between two requests."""
    stock = TokenStock(W)
    for i in range(100):
        stock.count_arrival(i * 0.1)
    stock.add(1, TokenGrant("w", 2), 9.9, 19.0)
    assert stock.take_unused(10.1, 10.1) == []


@pytest.mark.parametrize("gains", [(1.0, 3.0), (3.0, 1.0)])
def test_age_clock_follows_faster_clock(gains):
    """Guards against a clock that stands still while the host is suspended."""
    readings = [10.0, 50.0]
    clock = AgeClock(lambda: tuple(readings))
    started_s = clock.read()
    readings[0] += gains[0]
    readings[1] += gains[1]
    assert clock.read() - started_s == 3.0
    readings[1] -= 20.0
    assert clock.read() - started_s == 3.0


def test_take_unused_returns_tokens_that_would_expire():
    """Guards against tokens that few requests waste."""
    stock = TokenStock(W)
    for i in range(102):
        stock.count_arrival(i * 0.1)
    stock.add(1, TokenGrant("w", 2), 9.9, 10.3)
    stock.add(2, TokenGrant("w", 1), 10.0, 10.5)
    assert stock.take_unused(10.21, 10.21) == []
    assert stock.take_unused(10.23, 10.23) == [ReturnedTokens(1, "w", 2)]
    assert stock.take(10.23, 10.23) is not None
    assert stock.take(10.23, 10.23) is None


def test_take_returns_expiry_of_the_token():
    """Guards against a waiting request that is given the validity of another token."""
    stock = TokenStock(W)
    stock.add(1, TokenGrant("w", 0, 1, 0.1, 0.02), 0.0, 0.4)
    stock.add(2, TokenGrant("w", 1), 0.1, 0.5)
    assert stock.take(0.2, 0.2) == 0.4
    assert stock.take(0.2, 0.2) == 0.5
