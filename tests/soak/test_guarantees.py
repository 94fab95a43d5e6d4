"""Each check fails on records that violate its guarantee, and only on those."""

import pytest

from tests.processes.harness import CONFIRM, LOOKUP, Result, Run
from tests.soak.guarantees import (
    Departure,
    Edit,
    Evacuation,
    InjectedFault,
    Limit,
    Read,
    find_cut_requests,
    find_excess_retries,
    find_lost_edits,
    find_runs_above_limits,
    find_runs_after_departures,
    find_runs_in_evacuated_domains,
    find_stale_reads,
)

STOP = InjectedFault("node-1", "stop", 100.0, 103.0)
ENTRIES = {"node-1": "h1"}
EVACUATION = Evacuation("bxl-a", 100.0, 120.0)


def make_result(reason="cut", ended_s=102.0, entry="h1"):
    return Result("k", CONFIRM, entry, "lost", reason, b"", ended_s - 0.5, ended_s)


def make_run(time_s, server="s1", path=CONFIRM, key="k"):
    return Run(key, path, server, 1, time_s, "", "a")


@pytest.mark.parametrize(
    ("result", "ran_s", "faults", "violations"),
    [
        (make_result(), 101.9, [STOP], 1),
        (make_result(), 105.0, [STOP], 0),
        (make_result(reason=""), 101.9, [STOP], 0),
        (make_result(entry="h2"), 101.9, [STOP], 0),
        (make_result(ended_s=104.0), 103.9, [STOP], 0),
        (make_result(), 101.9, [InjectedFault("node-1", "kill", 100.0, 103.0)], 0),
        (make_result(), 101.9, [STOP, InjectedFault("bxl-a", "out", 99.0, 121.0)], 1),
        (make_result(), 101.9, [STOP, InjectedFault("s1", "reset", 98.0, 99.0)], 0),
        (make_result(), 101.9, [STOP, InjectedFault("s1", "reset", 90.0, 91.0)], 1),
    ],
)
def test_find_cut_requests_after_graceful_stop(result, ran_s, faults, violations):
    runs = [make_run(ran_s)]
    assert len(find_cut_requests([result], runs, faults, ENTRIES)) == violations


@pytest.mark.parametrize(
    ("run", "faults", "violations"),
    [
        (make_run(106.0), [], 1),
        # The evacuation itself is recorded as a fault too, but excuses no run.
        (make_run(106.0), [InjectedFault("bxl-a", "out", 99.0, 121.0)], 1),
        (make_run(104.0), [], 0),
        (make_run(121.0), [], 0),
        (make_run(106.0, "s2"), [], 0),
        (make_run(106.0), [InjectedFault("s1", "freeze", 99.0, 101.0)], 0),
    ],
)
def test_find_runs_in_evacuated_domains(run, faults, violations):
    domains = {"s1": "bxl-a", "s2": "bxl-b"}
    assert (
        len(find_runs_in_evacuated_domains([run], [EVACUATION], domains, faults))
        == violations
    )


@pytest.mark.parametrize(
    ("read", "violations"),
    [(Read(6, 103.0), 1), (Read(7, 103.0), 0), (Read(6, 101.0), 0)],
)
def test_find_stale_reads_after_accepted_edit(read, violations):
    assert len(find_stale_reads([read], [Edit(7, 1, 100.0)])) == violations


@pytest.mark.parametrize(
    ("version", "value", "violations"), [(6, 1, 1), (7, 2, 1), (7, 1, 0), (8, 5, 0)]
)
def test_find_lost_edits_at_the_end(version, value, violations):
    assert len(find_lost_edits(version, value, [Edit(7, 1, 1.0)])) == violations


@pytest.mark.parametrize(("retries", "violations"), [(31, 1), (30, 0)])
def test_find_excess_retries_above_the_budget(retries, violations):
    runs = [make_run(1.0, path=LOOKUP) for _ in range(retries + 1)]
    assert len(find_excess_retries(runs, calls=100, node_starts=1)) == violations


NODES = {"s1": "node-1", "s2": "node-2"}
LIMIT = Limit("s1", 1.0, 100.0, 108.0)


@pytest.mark.parametrize(
    ("count", "first_s", "faults", "violations"),
    [
        (12, 103.0, [], 1),
        (11, 103.0, [], 0),
        (12, 101.0, [], 0),
        (12, 103.0, [InjectedFault("node-1", "kill", 104.0, 105.0)], 0),
        (12, 103.0, [InjectedFault("node-2", "kill", 104.0, 105.0)], 1),
        (12, 103.0, [InjectedFault("s1", "limit", 100.0, 108.0)], 1),
    ],
)
def test_find_runs_above_limits(count, first_s, faults, violations):
    runs = [make_run(first_s + number * 0.1) for number in range(count)]
    found = find_runs_above_limits(runs, [LIMIT], faults, NODES)
    assert len(found) == violations


@pytest.mark.parametrize(
    ("times_s", "faults", "violations"),
    [
        ([100.5, 102.6], [], 1),
        ([100.5, 102.4], [], 0),
        ([102.6], [], 0),
        ([100.5, 106.1], [], 0),
        ([100.5, 102.6], [InjectedFault("node-2", "kill", 101.0, 102.0)], 0),
        ([100.5, 102.6], [InjectedFault("s1", "leave", 100.0, 106.0)], 1),
    ],
)
def test_find_runs_after_departures(times_s, faults, violations):
    runs = [make_run(at_s) for at_s in times_s]
    departures = [Departure("s1", 100.0, 106.0)]
    found = find_runs_after_departures(runs, departures, faults, NODES)
    assert len(found) == violations
