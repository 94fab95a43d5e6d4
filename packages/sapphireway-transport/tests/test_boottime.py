import time

from sapphireway_transport import get_boottime_s


def test_boottime_advances_with_the_monotonic_clock():
    """Guards against another clock, such as one that jumps with the wall clock."""
    started_s, boottime_s = time.monotonic(), get_boottime_s()
    time.sleep(0.01)
    elapsed_s = get_boottime_s() - boottime_s
    assert 0.01 <= elapsed_s <= time.monotonic() - started_s + 0.001
    assert get_boottime_s() >= time.monotonic() - 0.001
