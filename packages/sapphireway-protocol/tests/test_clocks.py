import pytest

from sapphireway_protocol import Envelope, PeerClocks


@pytest.fixture
def clocks():
    return PeerClocks()


def record(clocks, incarnation, started_s, clock_s, now_s):
    envelope = Envelope(
        None, incarnation=incarnation, started_s=started_s, clock_s=clock_s
    )
    clocks.record("peer", envelope, now_s)
    return clocks.get("peer")


def test_earliest_reading_is_never_ahead(clocks):
    # The peer's clock is 100 s ahead and the message took 5 ms.
    clock = record(clocks, "1", 90.0, 110.0, 10.005)
    assert 119.9 < clock.compute_lower_bound(20.0) < 120.0


def test_overtaken_reading_is_ignored(clocks):
    record(clocks, "1", 0.0, 5.0, 5.0)
    assert record(clocks, "1", 0.0, 4.0, 5.1).clock_s == 5.0


def test_restart_supersedes_and_is_told(clocks):
    told = []
    clocks.add_restart_listener(
        lambda peer, clock: told.append((peer, clock.incarnation))
    )
    record(clocks, "1", 0.0, 5.0, 5.0)
    record(clocks, "2", 6.0, 7.0, 7.0)
    late = record(clocks, "1", 0.0, 5.5, 7.1)
    assert late.incarnation == "2"
    assert told == [("peer", "2")]
    assert clocks.is_superseded("peer", "1")


def test_late_message_of_unheard_start_is_no_restart(clocks):
    record(clocks, "2", 6.0, 7.0, 7.0)
    assert record(clocks, "1", 0.0, 5.5, 7.1).incarnation == "2"


def test_rebooted_host_begins_its_clock_anew(clocks):
    record(clocks, "1", 1000.0, 2000.0, 10.0)
    assert record(clocks, "2", 20.0, 21.0, 100.0).incarnation == "2"


@pytest.mark.parametrize(("at_s", "certain"), [(6.5, True), (5.5, False)])
def test_running_before_is_told_only_when_certain(clocks, at_s, certain):
    clock = record(clocks, "2", 6.0, 7.0, 7.0)
    assert clock.was_running(at_s) is certain
