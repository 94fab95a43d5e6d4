import random

import pytest

from sapphireway_coordination import Call, Member, MemberEjected, MemberRestored
from sapphireway_coordination.routing._ejection import (
    UNRESPONSIVE_EJECTION_S,
    Ejector,
    list_usable,
)
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_state import Policy


def make_call(idempotent=True, panic_percent=50.0):
    policy = Policy(idempotent=idempotent, panic_percent=panic_percent)
    return Call("c", "s", "k", "GET", "/", (), b"", 99.0, None, policy)


@pytest.fixture
def events():
    return []


@pytest.fixture
def ejector(events):
    return Ejector(random.Random(1), events.append)


@pytest.fixture
def loads():
    return [ServerLoad(Member(n, "s", n, "d", "r", "1", "1", 6)) for n in "abcd"]


def fail(ejector, load, now_s, times=2):
    for _ in range(times):
        ejector.record_failure(load, now_s, "refused")


def test_single_failure_does_not_eject(ejector, loads):
    fail(ejector, loads[0], 0.0, times=1)
    assert list_usable(loads, make_call(), 0.0) == loads


def test_consecutive_failures_eject_for_longer_each_time(ejector, events, loads):
    now_s = 0.0
    for _ in range(4):
        fail(ejector, loads[0], now_s)
        assert loads[0] not in list_usable(loads, make_call(), now_s)
        now_s = loads[0].ejected_until_s
    durations = [e.duration_s for e in events if isinstance(e, MemberEjected)]
    assert durations == sorted(durations)
    assert durations[-1] > 4 * durations[0]


def test_server_on_trial_gets_only_idempotent_calls(ejector, loads):
    fail(ejector, loads[0], 0.0)
    now_s = loads[0].ejected_until_s
    assert loads[0] in list_usable(loads, make_call(), now_s)
    assert loads[0] not in list_usable(loads, make_call(idempotent=False), now_s)


def test_success_restores_server(ejector, events, loads):
    fail(ejector, loads[0], 0.0)
    ejector.record_success(loads[0], 0.1)
    assert list_usable(loads, make_call(idempotent=False), 0.1) == loads
    assert isinstance(events[-1], MemberRestored)


def test_unresponsive_server_is_ejected_until_next_report(ejector, loads):
    ejector.eject_unresponsive(loads[0], 0.0)
    assert loads[0] not in list_usable(
        loads, make_call(), UNRESPONSIVE_EJECTION_S - 0.1
    )
    ejector.restore_responsive(loads[0], 0.5)
    assert loads[0] in list_usable(loads, make_call(), 0.5)


@pytest.mark.parametrize(("failed", "usable"), [(1, 3), (2, 2), (3, 4), (4, 4)])
def test_panic_mode_uses_ejected_servers(ejector, loads, failed, usable):
    for load in loads[:failed]:
        fail(ejector, load, 0.0)
    assert len(list_usable(loads, make_call(), 0.0)) == usable
