import pytest

from sapphireway_coordination import compute_drain_time, compute_serve_time


@pytest.mark.parametrize(
    ("grace_s", "timeouts_s", "serve_s"),
    [
        (6.0, (0.8, 2.5), 3.0),
        (6.0, (4.2,), 1.5),
        (6.0, (30.0,), 0.0),
        (0.0, (0.8,), 0.0),
        (6.0, (), 3.0),
    ],
)
def test_serve_time_leaves_room_for_last_request(grace_s, timeouts_s, serve_s):
    assert compute_serve_time(grace_s, timeouts_s) == pytest.approx(serve_s)


@pytest.mark.parametrize(
    ("grace_s", "drain_timeout_s", "drain_s"),
    [(0.0, 30.0, 30.0), (10.0, 30.0, 9.7), (10.0, 5.7, 9.7), (0.2, 5.7, 0.0)],
)
def test_drain_ends_shortly_before_the_kill(grace_s, drain_timeout_s, drain_s):
    assert compute_drain_time(grace_s, drain_timeout_s) == pytest.approx(drain_s)
