import pytest

from sapphireway_coordination.gate._cold_rate import ColdRate


def start_all(rate, until_s, step_s=0.005):
    """Start a request whenever one may; return when each started."""
    starts = []
    for step in range(int(until_s / step_s)):
        now_s = step * step_s
        while rate.has_room(now_s):
            rate.take(now_s)
            starts.append(now_s)
            if len(starts) > 10_000:
                return starts
    return starts


@pytest.mark.parametrize("per_s", [1.0, 4.5, 17.0])
def test_no_second_has_more_than_the_rate_and_one_burst(per_s):
    rate = ColdRate()
    rate.start(per_s, 3.0, 0.0)
    starts = start_all(rate, 3.0)
    for first_s in starts:
        within = [at_s for at_s in starts if first_s <= at_s < first_s + 1.0]
        assert len(within) <= per_s + max(1.0, per_s * 0.15) + 1e-6
    assert len(starts) >= per_s * 3.0 - 2


def test_news_of_the_same_cold_time_give_no_second_burst():
    rate = ColdRate()
    rate.start(2.0, 3.0, 0.0)
    for step in range(100):
        rate.start(2.0, 3.0, step * 0.01)
    rate.take(1.0)
    assert not rate.has_room(1.0)


def test_warm_server_is_not_bounded():
    rate = ColdRate()
    assert rate.has_room(0.0)
    rate.start(2.0, 1.0, 0.0)
    assert not rate.has_room(0.0)
    assert rate.get_wait_s(0.0) == pytest.approx(0.5)
    assert rate.has_room(1.0)


def test_wait_is_no_longer_than_the_cold_time():
    rate = ColdRate()
    rate.start(0.1, 2.0, 0.0)
    assert rate.get_wait_s(0.0) == pytest.approx(2.0)
