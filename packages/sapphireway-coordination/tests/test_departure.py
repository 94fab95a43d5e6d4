"""Departures of servers, by their answers and by message."""

import asyncio

import pytest
from tests.gate_bench import ReportingBench, with_reports

from sapphireway_coordination import (
    AnnounceAccepted,
    AnnounceRefused,
    SelfReport,
    ServerLeft,
)
from sapphireway_coordination.departures import UNKNOWN_START_S
from sapphireway_protocol import LoadUpdate, NotRunReason
from sapphireway_transport.memory import run_paused

LEAVING = SelfReport(leaving=True)


@with_reports
async def test_server_that_says_it_leaves_gets_no_more_requests(bench):
    bench.report = LEAVING
    assert (await bench.call("a")).outcome == "answered"
    reply = await bench.call("b")
    assert (reply.reason, bench.count_runs("b")) == (NotRunReason.DRAINING, 0)
    assert reply.load.server_leaving
    assert not bench.gate.available
    assert len(bench.list_events(ServerLeft)) == 1


@with_reports
async def test_answer_that_says_so_refuses_queued_requests(bench):
    bench.report = LEAVING
    slots = bench.server.slots
    replies = await asyncio.gather(*(bench.call(f"c{i}") for i in range(slots + 3)))
    refused = [reply.reason for reply in replies if reply.outcome == "not_run"]
    assert refused == [NotRunReason.DRAINING] * 3
    assert len(replies) - len(refused) == slots


@with_reports
async def test_later_answers_do_not_take_the_departure_back(bench):
    bench.send("slow")
    bench.report = LEAVING
    await bench.call("a")
    bench.report = SelfReport()
    assert isinstance(bench.announce(), AnnounceRefused)
    assert (await bench.call("b")).reason == NotRunReason.DRAINING
    assert isinstance(bench.announce(start_id="another"), AnnounceAccepted)
    assert (await bench.call("c")).outcome == "answered"


@with_reports
async def test_departure_is_told_to_recent_senders_at_once(bench):
    told = []
    bench.entry.handle(LoadUpdate, lambda sender, e: told.append(e.message.load))
    bench.report = LEAVING
    bench.gate.leave("s1")
    await asyncio.sleep(0.01)
    assert [load.server_leaving for load in told] == [True]


@with_reports
async def test_drain_of_the_node_is_no_departure_of_its_server(bench):
    await bench.gate.drain(asyncio.get_running_loop().time() + 1.0)
    assert bench.gate.leaving and not bench.gate.get_load().server_leaving


@with_reports
async def test_answer_of_an_earlier_start_does_not_end_the_next(bench):
    bench.server.freeze()
    bench.send("a")
    await asyncio.sleep(0.1)
    bench.announce(start_id="another")
    bench.report = LEAVING
    bench.server.thaw()
    await asyncio.sleep(0.1)
    assert not bench.gate.leaving


@pytest.mark.parametrize("known", [False, True])
def test_late_announcement_does_not_bring_a_server_back(known):
    """A node that restarts does not know the start of its server."""

    async def check():
        bench = ReportingBench(announced=False)
        if known:
            bench.announce(start_id="")
        assert bench.gate.leave("s1") == known
        await asyncio.sleep(0.6 * UNKNOWN_START_S)
        assert isinstance(bench.announce(), AnnounceRefused)
        await asyncio.sleep(0.6 * UNKNOWN_START_S)
        assert isinstance(bench.announce(), AnnounceAccepted)

    run_paused(check())
