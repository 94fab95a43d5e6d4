import math

import msgspec
import pytest

from sapphireway_coordination import (
    AttemptCause,
    AttemptEnded,
    AttemptSent,
    CallEnded,
    CallHistory,
    DenyReason,
    Member,
    RetryDenied,
)
from sapphireway_coordination.routing._explanation import (
    CALLS_KEPT,
    describe_availability,
    describe_event,
    explain_servers,
)
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import LoadReport, ServerState

NOW_S = 10.0


@pytest.fixture
def load():
    return ServerLoad(Member("a", "s", "n", "d", "r", "1", "1", 6))


def make_out(load):
    load.member = msgspec.structs.replace(load.member, out=True)


def make_leaving(load):
    load.member = msgspec.structs.replace(load.member, leaving=True)


def make_refusing(load):
    load.record_report(LoadReport("a", 0, 0, 6, 1.0, ServerState.DOWN, "1"), NOW_S)


def make_unresponsive(load):
    load.unresponsive = True


def make_ejected(load):
    load.ejected_until_s = NOW_S + 1.0


def make_trial(load):
    load.ejections = 1


@pytest.mark.parametrize(
    ("change", "availability"),
    [
        (make_out, "out"),
        (make_leaving, "leaving"),
        (make_refusing, "refusing"),
        (make_unresponsive, "silent"),
        (make_ejected, "ejected"),
        (make_trial, "trial"),
        (lambda load: None, "usable"),
    ],
)
def test_availability_names_its_cause(load, change, availability):
    change(load)
    assert describe_availability(load, NOW_S) == availability


def test_servers_are_listed_by_preference(load):
    slow = ServerLoad(Member("b", "s", "n", "d", "r", "1", "1", 6))
    slow.record_latency(0.5, NOW_S)
    load.record_latency(0.01, NOW_S)
    assert [view.server for view in explain_servers([slow, load], NOW_S)] == ["a", "b"]


@pytest.mark.parametrize(
    ("slowness", "age_s", "known_load"),
    [
        (7.0, 0.25, "7.0 times slow, heard 250 ms ago"),
        (0.0, 0.25, "heard 250 ms ago"),
        (0.0, math.inf, "load unknown"),
    ],
)
def test_sent_attempt_shows_known_load_and_its_age(slowness, age_s, known_load):
    sent = AttemptSent(
        "c", "a1", "s", "s1", "d", AttemptCause.FIRST, 0.0, 5, slowness, age_s
    )
    assert describe_event(sent).endswith(f"one of 5, {known_load}")


def test_history_explains_call():
    history = CallHistory()
    history.observe(AttemptSent("c", "a1", "s", "s1", "d", AttemptCause.FIRST, 0.0, 5))
    history.observe(AttemptEnded("c", "a1", "s", "s1", "Unknown", 0.25, "cut"))
    history.observe(RetryDenied("c", "s", AttemptCause.RETRY, DenyReason.BUDGET))
    history.observe(CallEnded("c", "s", "k", "Unknown", 1, 0.25, "cut"))
    assert history.explain("c") == [
        "first attempt a1 sent to s1 in d, one of 5, load unknown",
        "attempt a1 at s1 ended Unknown after 250.0 ms cut",
        "no retry: budget",
        "call ended Unknown after 250.0 ms and 1 attempts cut",
    ]


def test_history_keeps_only_last_calls():
    history = CallHistory()
    for number in range(2 * CALLS_KEPT):
        history.observe(CallEnded(str(number), "s", "k", "Answered", 1, 0.1, ""))
    assert history.explain("0") == []
    assert history.explain(str(2 * CALLS_KEPT - 1)) != []
