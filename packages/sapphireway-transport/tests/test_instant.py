import time

from sapphireway_transport import compute_age, read_instant


def test_instant_advances_with_the_monotonic_clock():
    """Guards against another clock, such as one that jumps with the wall clock."""
    started_s, since = time.monotonic(), read_instant()
    time.sleep(0.01)
    age_s = compute_age(since, read_instant())
    assert 0.01 <= age_s <= time.monotonic() - started_s + 0.001
    assert read_instant()[1] >= time.monotonic() - 0.001
