import pytest

from sapphireway_coordination.gate._cold_rate import ColdRate


def start_all(rate, until_s, step_s=0.005):
    """Start requests as soon as the rate allows; return their start times."""
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
def test_starts_per_second_stay_within_rate_and_burst(per_s):
    rate = ColdRate()
    rate.start(per_s, 3.0, 0.0)
    starts = start_all(rate, 3.0)
    for first_s in starts:
        within = [at_s for at_s in starts if first_s <= at_s < first_s + 1.0]
        assert len(within) <= per_s + max(1.0, per_s * 0.15) + 1e-6
    assert len(starts) >= per_s * 3.0 - 2


@pytest.mark.parametrize("per_s", [1.0, 17.0, 100.0])
def test_stall_saves_up_one_burst_at_most(per_s):
    """A node that wakes must not make up for what a cold server did not get."""
    rate = ColdRate()
    rate.start(per_s, 60.0, 0.0)
    starts = 0
    while rate.has_room(30.0):
        rate.take(30.0)
        starts += 1
    assert 1 <= starts <= max(1.0, per_s * 0.15)


def test_repeated_start_while_cold_adds_no_tokens():
    rate = ColdRate()
    rate.start(2.0, 3.0, 0.0)
    for step in range(100):
        rate.start(2.0, 3.0, step * 0.01)
    rate.take(1.0)
    assert not rate.has_room(1.0)


def test_has_room_without_limit_when_warm():
    rate = ColdRate()
    assert rate.has_room(0.0)
    rate.start(2.0, 1.0, 0.0)
    assert not rate.has_room(0.0)
    assert rate.get_wait_s(0.0) == pytest.approx(0.5)
    assert rate.has_room(1.0)


def test_wait_is_bounded_by_cold_time():
    rate = ColdRate()
    rate.start(0.1, 2.0, 0.0)
    assert rate.get_wait_s(0.0) == pytest.approx(2.0)
