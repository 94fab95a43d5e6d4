"""Each check turns red on a record that breaks its promise, and only then."""

import pytest

from tests.processes.harness import CONFIRM, LOOKUP, Result, Run
from tests.soak.promises import (
    Edit,
    Harm,
    Outage,
    Read,
    find_cut_requests,
    find_evacuated_runs,
    find_lost_edits,
    find_old_reads,
    find_surplus_attempts,
)

STOP = Harm("node-1", "stop", 100.0, 103.0)
ENTRIES = {"node-1": "h1"}
OUTAGE = Outage("bxl-a", 100.0, 120.0)


def make_result(reason="cut", ended_s=102.0, entry="h1"):
    return Result("k", CONFIRM, entry, "lost", reason, b"", ended_s - 0.5, ended_s)


def make_run(time_s, server="s1", path=CONFIRM, key="k"):
    return Run(key, path, server, 1, time_s, "", "a")


@pytest.mark.parametrize(
    ("result", "ran_s", "harms", "broken"),
    [
        (make_result(), 101.9, [STOP], 1),
        (make_result(), 105.0, [STOP], 0),
        (make_result(reason=""), 101.9, [STOP], 0),
        (make_result(entry="h2"), 101.9, [STOP], 0),
        (make_result(ended_s=104.0), 103.9, [STOP], 0),
        (make_result(), 101.9, [Harm("node-1", "kill", 100.0, 103.0)], 0),
        (make_result(), 101.9, [STOP, Harm("bxl-a", "out", 99.0, 121.0)], 1),
        (make_result(), 101.9, [STOP, Harm("s1", "reset", 98.0, 99.0)], 0),
        (make_result(), 101.9, [STOP, Harm("s1", "reset", 90.0, 91.0)], 1),
    ],
)
def test_request_cut_by_a_planned_stop(result, ran_s, harms, broken):
    runs = [make_run(ran_s)]
    assert len(find_cut_requests([result], runs, harms, ENTRIES)) == broken


@pytest.mark.parametrize(
    ("run", "harms", "broken"),
    [
        (make_run(106.0), [], 1),
        # The evacuation itself is on record too, and explains nothing.
        (make_run(106.0), [Harm("bxl-a", "out", 99.0, 121.0)], 1),
        (make_run(104.0), [], 0),
        (make_run(121.0), [], 0),
        (make_run(106.0, "s2"), [], 0),
        (make_run(106.0), [Harm("s1", "freeze", 99.0, 101.0)], 0),
    ],
)
def test_run_in_a_domain_that_is_out(run, harms, broken):
    domains = {"s1": "bxl-a", "s2": "bxl-b"}
    assert len(find_evacuated_runs([run], [OUTAGE], domains, harms)) == broken


@pytest.mark.parametrize(
    ("read", "broken"),
    [(Read(6, 103.0), 1), (Read(7, 103.0), 0), (Read(6, 101.0), 0)],
)
def test_read_older_than_an_accepted_edit(read, broken):
    assert len(find_old_reads([read], [Edit(7, 1, 100.0)])) == broken


@pytest.mark.parametrize(
    ("version", "value", "broken"), [(6, 1, 1), (7, 2, 1), (7, 1, 0), (8, 5, 0)]
)
def test_accepted_edit_that_is_gone(version, value, broken):
    assert len(find_lost_edits(version, value, [Edit(7, 1, 1.0)])) == broken


@pytest.mark.parametrize(("repeats", "broken"), [(31, 1), (30, 0)])
def test_more_repeats_than_the_budget(repeats, broken):
    runs = [make_run(1.0, path=LOOKUP) for _ in range(repeats + 1)]
    assert len(find_surplus_attempts(runs, calls=100, entry_starts=1)) == broken
