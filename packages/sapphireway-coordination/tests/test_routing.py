import collections
import random

import pytest

from sapphireway_coordination import (
    Call,
    Member,
    choose_least_in_flight,
    choose_power_of_two,
    choose_predicted,
    choose_random,
    make_choose_round_robin,
)
from sapphireway_coordination.routing._loads import LoadTable, ServerLoad
from sapphireway_protocol import LoadReport, ServerState
from sapphireway_state import Policy

NOW_S = 10.0


def make_member(name, **changes):
    return Member(name, "s", f"node-{name}", "d", "r", "1", "1", 6, **changes)


def make_call(idempotent=True):
    policy = Policy(idempotent=idempotent)
    return Call("c", "s", "k", "GET", "/", (), b"", 99.0, None, policy)


def make_load(name, latency_s=0.02):
    load = ServerLoad(make_member(name))
    load.record_latency(latency_s, NOW_S)
    load.record_report(make_report(name), NOW_S)
    return load


def make_report(name, in_flight=1, limit=6, state=ServerState.SERVING):
    return LoadReport(name, in_flight, 0, limit, 20.0, state, "1")


def count_choices(loads, call=None, choose=choose_predicted):
    rng = random.Random(5)
    chosen = [choose(loads, call or make_call(), rng, NOW_S) for _ in range(1000)]
    return collections.Counter(load.member.server for load in chosen)


@pytest.fixture
def loads():
    return [make_load(name) for name in "abcde"]


@pytest.mark.parametrize(
    "choose",
    [
        choose_random,
        make_choose_round_robin(),
        choose_least_in_flight,
        choose_power_of_two,
        choose_predicted,
    ],
)
def test_equal_servers_share_equally(loads, choose):
    counts = count_choices(loads, choose=choose)
    assert all(150 < counts[name] < 250 for name in "abcde")


def make_slow(load):
    load.record_latency(0.5, NOW_S)


def make_unanswered(load):
    load.outstanding["x"] = NOW_S - 0.2


def make_abandoned(load):
    load.record_abandoned(NOW_S - 0.1, NOW_S)


def make_busy(load):
    load.record_report(make_report("a", in_flight=6), NOW_S)


def make_cold(load):
    load.record_report(make_report("a", limit=1, state=ServerState.COLD), NOW_S)


def make_failing(load):
    # Fast failures must not make a server look idle and fast.
    load.record_failure(NOW_S)


def make_far(load):
    load.record_round_trip(0.08)


@pytest.mark.parametrize(
    "degrade",
    [
        make_slow,
        make_unanswered,
        make_abandoned,
        make_busy,
        make_cold,
        make_failing,
        make_far,
    ],
)
def test_degraded_server_is_avoided(loads, degrade):
    degrade(loads[0])
    assert count_choices(loads)["a"] == 0


def test_less_loaded_report_attracts_no_herd(loads):
    for load in loads[1:]:
        load.record_report(make_report(load.member.server, in_flight=3), NOW_S)
    loads[0].record_report(make_report("a", in_flight=0), NOW_S)
    assert count_choices(loads)["a"] < 250


def test_old_latency_loses_weight(loads):
    make_slow(loads[0])
    later_s = NOW_S + 5.0
    rng = random.Random(1)
    chosen = [choose_predicted(loads, make_call(), rng, later_s) for _ in range(500)]
    assert 50 < sum(load is loads[0] for load in chosen) < 150


def test_non_idempotent_call_prefers_recently_answering_server(loads):
    loads[0].record_latency(0.02, NOW_S + 0.2)
    rng = random.Random(1)
    call = make_call(idempotent=False)
    chosen = {
        choose_predicted(loads, call, rng, NOW_S + 0.2).member.server for _ in range(99)
    }
    assert chosen == {"a"}


def test_near_servers_are_preferred_among_many():
    loads = [make_load(str(number)) for number in range(100)]
    for load in loads[20:]:
        load.record_round_trip(0.04)
    counts = count_choices(loads)
    assert sum(counts[str(number)] for number in range(20)) > 950


def test_restart_of_member_resets_its_load():
    table = LoadTable()
    (load,) = table.list_loads("s", [make_member("a")])
    load.record_latency(0.5, NOW_S)
    restarted = Member("a", "s", "node-a", "d", "r", "2", "1", 6)
    (again,) = table.list_loads("s", [restarted])
    assert again is load
    assert load.latency_s == 0.0


def test_load_table_keeps_only_members_of_recent_services():
    table = LoadTable()
    for number in range(200):
        table.list_loads(f"s{number}", [make_member(f"{number}-{i}") for i in range(9)])
    assert table.count_servers() == 64 * 9
    table.list_loads("s199", [make_member("199-0")])
    assert table.count_servers() == 64 * 9 - 8
