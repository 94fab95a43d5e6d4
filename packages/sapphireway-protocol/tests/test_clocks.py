import pytest

from sapphireway_protocol import Envelope, PeerClocks


@pytest.fixture
def clocks():
    return PeerClocks()


def receive(clocks, incarnation, started_s, clock_s, now_s):
    envelope = Envelope(
        None, incarnation=incarnation, started_s=started_s, clock_s=clock_s
    )
    clocks.record("peer", envelope, now_s)
    return clocks.get("peer")


def test_lower_bound_is_never_ahead(clocks):
    # The peer's clock is 100 s ahead, and the message took 5 ms.
    clock = receive(clocks, "1", 90.0, 110.0, 10.005)
    assert 119.9 < clock.compute_lower_bound(20.0) < 120.0


def test_reordered_reading_is_ignored(clocks):
    receive(clocks, "1", 0.0, 5.0, 5.0)
    assert receive(clocks, "1", 0.0, 4.0, 5.1).clock_s == 5.0


def test_restart_supersedes_incarnation_and_is_reported(clocks):
    reported = []
    clocks.add_restart_listener(
        lambda peer, clock: reported.append((peer, clock.incarnation))
    )
    receive(clocks, "1", 0.0, 5.0, 5.0)
    receive(clocks, "2", 6.0, 7.0, 7.0)
    late = receive(clocks, "1", 0.0, 5.5, 7.1)
    assert late.incarnation == "2"
    assert reported == [("peer", "2")]
    assert clocks.is_superseded("peer", "1")


def test_late_message_of_unknown_incarnation_is_no_restart(clocks):
    receive(clocks, "2", 6.0, 7.0, 7.0)
    assert receive(clocks, "1", 0.0, 5.5, 7.1).incarnation == "2"


def test_clock_of_rebooted_host_is_accepted(clocks):
    receive(clocks, "1", 1000.0, 2000.0, 10.0)
    assert receive(clocks, "2", 20.0, 21.0, 100.0).incarnation == "2"


@pytest.mark.parametrize(("at_s", "certain"), [(6.5, True), (5.5, False)])
def test_was_running_only_when_certain(clocks, at_s, certain):
    clock = receive(clocks, "2", 6.0, 7.0, 7.0)
    assert clock.was_running(at_s) is certain
