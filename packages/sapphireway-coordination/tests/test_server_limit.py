import asyncio
import math

import pytest
from tests.gate_bench import with_reports

from sapphireway_coordination import (
    ReportUnreadable,
    SelfReport,
    ServerLimited,
)
from sapphireway_coordination.gate._server_limit import (
    TRIAL_PER_S,
    ReportSource,
    ServerLimit,
)
from sapphireway_protocol import NotRunReason

ANSWER, HEALTH = ReportSource.ANSWER, ReportSource.HEALTH
NO_LIMIT = SelfReport()


@pytest.fixture
def limit():
    return ServerLimit()


def test_limit_is_set_changed_and_lifted(limit):
    assert limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.0, 0.1)
    assert not limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.1, 0.2)
    assert limit.update(SelfReport(requests_per_s=2.5), ANSWER, 0.2, 0.3)
    assert limit.per_s == 2.5
    assert limit.update(NO_LIMIT, ANSWER, 0.4, 0.5)
    assert limit.per_s is None


def test_answer_to_an_earlier_request_lifts_no_limit(limit):
    limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.0, 1.0)
    assert not limit.update(NO_LIMIT, ANSWER, 0.9, 1.1)
    assert limit.per_s == 5.0


def test_malformed_limit_lifts_no_limit(limit):
    limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.0, 1.0)
    assert not limit.update(SelfReport(unreadable=("x",)), ANSWER, 2.0, 2.1)
    assert limit.per_s == 5.0


@pytest.mark.parametrize(("setter", "other"), [(ANSWER, HEALTH), (HEALTH, ANSWER)])
def test_source_that_never_set_a_limit_lifts_none(limit, setter, other):
    limit.update(SelfReport(requests_per_s=5.0), setter, 0.0, 1.0)
    assert not limit.update(NO_LIMIT, other, 2.0, 2.1)
    assert limit.per_s == 5.0
    limit.update(SelfReport(requests_per_s=5.0), other, 3.0, 3.1)
    assert limit.update(NO_LIMIT, other, 4.0, 4.1)


def test_limit_is_known_after_an_answer_to_a_request(limit):
    limit.update(NO_LIMIT, HEALTH, 0.0, 0.1)
    assert not limit.known
    limit.update(NO_LIMIT, ANSWER, 0.0, 0.1)
    assert limit.known


@pytest.mark.parametrize("per_s", [0.0, 0.2, 5.0])
def test_starts_are_spread_at_the_limit(limit, per_s):
    limit.update(SelfReport(requests_per_s=per_s), ANSWER, 0.0, 0.0)
    starts, now_s = [], 0.0
    while now_s < 20.0:
        now_s += limit.get_wait_s(now_s)
        limit.take(now_s)
        starts.append(now_s)
    rate = max(per_s, TRIAL_PER_S)
    assert len(starts) == pytest.approx(20.0 * rate, abs=2)
    assert limit.get_wait_s(now_s, 3) == pytest.approx(4.0 / rate)


@pytest.mark.parametrize("per_s", [0.2, 5.0, 100.0])
def test_stall_saves_up_one_burst_at_most(limit, per_s):
    """A node that wakes must not exceed the limit by what it did not use meanwhile."""
    limit.update(SelfReport(requests_per_s=per_s), ANSWER, 0.0, 0.0)
    starts = 0
    while not limit.get_wait_s(30.0):
        limit.take(30.0)
        starts += 1
    assert 1 <= starts <= max(1.0, per_s * 0.15)


def test_lifted_limit_bounds_nothing(limit):
    limit.update(SelfReport(requests_per_s=1.0), ANSWER, 0.0, 0.0)
    assert limit.get_wait_s(0.0) == pytest.approx(1.0)
    limit.update(NO_LIMIT, ANSWER, 0.1, 0.2)
    assert limit.get_wait_s(0.2, 100) == limit.starts_per_s == 0.0


async def call(bench, attempt, budget_s=1.0):
    """Send a request that may start during its whole budget; return the reply."""
    return await bench.call(
        attempt,
        idempotent=True,
        budget_ms=budget_s * 1000.0,
        latest_start_s=asyncio.get_running_loop().time() + budget_s,
    )


def get_starts_per_s(bench):
    return bench.gate.get_load().starts_per_s


@with_reports
async def test_load_report_tells_the_limit_until_it_is_lifted(bench):
    bench.report = SelfReport(requests_per_s=5.0)
    await call(bench, "a")
    assert get_starts_per_s(bench) == 5.0
    bench.report = NO_LIMIT
    await call(bench, "b")
    assert get_starts_per_s(bench) == 0.0
    limits = [e.requests_per_s for e in bench.list_events(ServerLimited)]
    assert limits == [5.0, None]


@with_reports
async def test_request_that_the_limit_makes_late_is_refused_at_once(bench):
    bench.report = SelfReport(requests_per_s=0.5)
    await call(bench, "a")
    started_s = asyncio.get_running_loop().time()
    reply = await call(bench, "b")
    assert asyncio.get_running_loop().time() - started_s < 0.05
    assert (reply.outcome, reply.reason) == ("not_run", NotRunReason.DEADLINE)
    assert reply.retry_after_s > 1.0


@with_reports
async def test_queued_requests_that_a_new_limit_makes_late_are_refused(bench):
    slots = bench.server.slots
    bench.report = SelfReport(requests_per_s=0.5)
    started_s = asyncio.get_running_loop().time()
    replies = await asyncio.gather(*(call(bench, f"c{i}") for i in range(slots + 4)))
    assert asyncio.get_running_loop().time() - started_s < 0.05
    refused = [reply.reason for reply in replies if reply.outcome == "not_run"]
    assert refused == [NotRunReason.DEADLINE] * 4


@with_reports
async def test_lifted_limit_starts_queued_requests_at_once(bench):
    bench.report = SelfReport(requests_per_s=2.0)
    await call(bench, "first")
    bench.report = NO_LIMIT
    replies = await asyncio.gather(*(call(bench, f"c{i}", 9.0) for i in range(5)))
    assert {reply.outcome for reply in replies} == {"answered"}
    arrivals = bench.server.arrivals_s[-5:]
    assert arrivals[0] - bench.server.arrivals_s[-6] > 0.4
    assert arrivals[4] - arrivals[0] < 0.1


@with_reports
async def test_limit_ends_with_the_start_that_set_it(bench):
    bench.report = SelfReport(requests_per_s=2.0)
    await call(bench, "a")
    bench.announce(start_id="another")
    assert get_starts_per_s(bench) == 0.0


@with_reports
async def test_malformed_report_is_logged_once_and_changes_nothing(bench):
    bench.report = SelfReport(requests_per_s=20.0)
    await call(bench, "a")
    bench.report = SelfReport(unreadable=("limit: 'many'",))
    await call(bench, "b")
    await call(bench, "c")
    assert get_starts_per_s(bench) == 20.0
    (event,) = bench.list_events(ReportUnreadable)
    assert event.detail == "limit: 'many'"


@with_reports
async def test_report_of_another_server_is_ignored(bench):
    bench.report = SelfReport(server="", requests_per_s=5.0, leaving=True)
    await call(bench, "a")
    assert (get_starts_per_s(bench), bench.gate.leaving) == (0.0, False)


@with_reports
async def test_restarted_node_keeps_to_the_limit_that_its_peers_know(bench):
    bench.gate.close()
    bench.peers.close()
    bench.open_gate("second")
    bench.announce()
    bench.send("a", server_limit_per_s=0.5)
    await asyncio.sleep(0.001)
    assert bench.gate.get_load().starts_per_s == 0.5
    bench.report = SelfReport(requests_per_s=20.0)
    await asyncio.sleep(3.0)
    assert bench.count_runs("a") == 0
    await call(bench, "b", 9.0)
    bench.send("c", server_limit_per_s=0.5)
    await asyncio.sleep(0.001)
    assert bench.gate.get_load().starts_per_s == 20.0


def test_limit_of_a_peer_does_not_replace_the_servers_own_word(limit):
    assert limit.reported_per_s is None
    assert limit.adopt(3.0, 0.0) and limit.starts_per_s == 3.0
    limit.update(NO_LIMIT, ANSWER, 0.1, 0.2)
    assert limit.reported_per_s == math.inf
    assert not limit.adopt(3.0, 0.3) and limit.per_s is None
