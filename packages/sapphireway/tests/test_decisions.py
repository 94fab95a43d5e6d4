import itertools
from dataclasses import dataclass

import pytest

from sapphireway._decisions import NOTABLE_EVENTS_MAX, ROUTINE_EVENTS_MAX, DecisionLog


@dataclass(slots=True, frozen=True)
class CallEnded:
    call_id: str
    service: str
    outcome: str


@dataclass(slots=True, frozen=True)
class RelapseSeen:
    server: str


@pytest.fixture
def log():
    times = itertools.count()
    return DecisionLog(lambda: float(next(times)))


def test_events_are_filtered_by_field(log):
    log.record(CallEnded("c1", "ledger", "Answered"))
    log.record(CallEnded("c2", "matching", "Unknown"))
    log.record(RelapseSeen("s1"))
    assert [x["call_id"] for x in log.explain(service="ledger")] == ["c1"]
    assert [x["event"] for x in log.explain(server="s1")] == ["RelapseSeen"]
    assert [x["time"] for x in log.explain()] == [0.0, 1.0, 2.0]


def test_answered_calls_do_not_evict_refusals(log):
    log.record(CallEnded("refused", "ledger", "NotRun"))
    for number in range(ROUTINE_EVENTS_MAX + 1):
        log.record(CallEnded(f"c{number}", "ledger", "Answered"))
    assert log.explain(call="refused")
    assert not log.explain(call="c0")


def test_number_of_events_is_bounded(log):
    for number in range(2 * NOTABLE_EVENTS_MAX):
        log.record(RelapseSeen(f"s{number}"))
    assert len(log._notable) == NOTABLE_EVENTS_MAX


@dataclass(slots=True, frozen=True)
class QuotaRefused:
    workspace: str


def test_refusals_above_quota_do_not_evict_other_decisions(log):
    """Guards against one workspace above its limit that hides everything else."""
    log.record(RelapseSeen("s1"))
    for _ in range(NOTABLE_EVENTS_MAX + 1):
        log.record(QuotaRefused("w"))
    assert log.explain(server="s1")
