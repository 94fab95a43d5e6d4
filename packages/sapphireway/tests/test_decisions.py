import itertools
from dataclasses import dataclass

import pytest

from sapphireway._decisions import NOTABLE_KEPT, ORDINARY_KEPT, DecisionLog


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


def test_events_are_found_by_what_they_name(log):
    log.record(CallEnded("c1", "ledger", "Answered"))
    log.record(CallEnded("c2", "matching", "Unknown"))
    log.record(RelapseSeen("s1"))
    assert [x["call_id"] for x in log.explain(service="ledger")] == ["c1"]
    assert [x["event"] for x in log.explain(server="s1")] == ["RelapseSeen"]
    assert [x["time"] for x in log.explain()] == [0.0, 1.0, 2.0]


def test_ordinary_calls_do_not_push_out_refusals(log):
    log.record(CallEnded("refused", "ledger", "NotRun"))
    for number in range(ORDINARY_KEPT + 1):
        log.record(CallEnded(f"c{number}", "ledger", "Answered"))
    assert log.explain(call="refused")
    assert not log.explain(call="c0")


def test_memory_is_bounded(log):
    for number in range(2 * NOTABLE_KEPT):
        log.record(RelapseSeen(f"s{number}"))
    assert len(log._notable) == NOTABLE_KEPT
