"""Departures of servers, by their answers and by message."""

import asyncio
import dataclasses

import pytest
from tests.gate_bench import Bench

from sapphireway_coordination import (
    DEFAULT_SERVER_DIALECT,
    AnnounceAccepted,
    AnnounceRefused,
    SelfReport,
    ServerLeft,
)
from sapphireway_coordination.gate._registration import UNKNOWN_DEPARTURE_S
from sapphireway_protocol import LoadUpdate, NotRunReason
from sapphireway_transport.memory import run_paused

LEAVING = SelfReport(leaving=True)


class Server:
    """A gate whose server reports what a test sets."""

    def __init__(self, announced=True):
        self.report = SelfReport()
        dialect = dataclasses.replace(
            DEFAULT_SERVER_DIALECT, read_report=lambda answer: self.report
        )
        self.bench = Bench(dialect=dialect, announced=announced)


def with_server(test=None, **options):
    """Run a test with a new server on the paused clock."""
    if test is None:
        return lambda test: with_server(test, **options)

    def run():
        async def main():
            await test(Server(**options))

        run_paused(main())

    run.__name__ = test.__name__
    return run


@with_server
async def test_server_that_says_it_leaves_gets_no_more_requests(server):
    bench = server.bench
    await bench.warm()
    server.report = LEAVING
    assert (await bench.call("a")).outcome == "answered"
    reply = await bench.call("b")
    assert (reply.reason, bench.count_runs("b")) == (NotRunReason.DRAINING, 0)
    assert reply.load.server_leaving
    assert not bench.gate.available
    assert len(bench.list_events(ServerLeft)) == 1


@with_server
async def test_answer_that_says_so_refuses_queued_requests(server):
    bench = server.bench
    await bench.warm()
    server.report = LEAVING
    slots = bench.server.slots
    replies = await asyncio.gather(*(bench.call(f"c{i}") for i in range(slots + 3)))
    refused = [reply.reason for reply in replies if reply.outcome == "not_run"]
    assert refused == [NotRunReason.DRAINING] * 3
    assert len(replies) - len(refused) == slots


@with_server
async def test_later_answers_do_not_take_the_departure_back(server):
    bench = server.bench
    await bench.warm()
    bench.send("slow")
    server.report = LEAVING
    await bench.call("a")
    server.report = SelfReport()
    assert isinstance(bench.announce(), AnnounceRefused)
    assert (await bench.call("b")).reason == NotRunReason.DRAINING
    assert isinstance(bench.announce(start_id="another"), AnnounceAccepted)
    assert (await bench.call("c")).outcome == "answered"


@with_server
async def test_departure_is_told_to_recent_senders_at_once(server):
    bench = server.bench
    await bench.warm()
    told = []
    bench.entry.handle(LoadUpdate, lambda sender, e: told.append(e.message.load))
    server.report = LEAVING
    bench.gate.leave("s1")
    await asyncio.sleep(0.01)
    assert [load.server_leaving for load in told] == [True]


@with_server
async def test_drain_of_the_node_is_no_departure_of_its_server(server):
    bench = server.bench
    await bench.gate.drain(asyncio.get_running_loop().time() + 1.0)
    assert bench.gate.leaving and not bench.gate.get_load().server_leaving


@with_server
async def test_answer_of_an_earlier_start_does_not_end_the_next(server):
    bench = server.bench
    await bench.warm()
    bench.server.freeze()
    bench.send("a")
    await asyncio.sleep(0.1)
    bench.announce(start_id="another")
    server.report = LEAVING
    bench.server.thaw()
    await asyncio.sleep(0.1)
    assert not bench.gate.leaving


@pytest.mark.parametrize("known", [False, True])
def test_late_announcement_does_not_bring_a_server_back(known):
    """A node that restarts does not know the start of its server."""

    @with_server(announced=False)
    async def check(server):
        bench = server.bench
        if known:
            bench.announce(start_id="")
            assert bench.gate.leave("s1")
        else:
            assert not bench.gate.leave("s1")
        await asyncio.sleep(0.6 * UNKNOWN_DEPARTURE_S)
        assert isinstance(bench.announce(), AnnounceRefused)
        await asyncio.sleep(0.6 * UNKNOWN_DEPARTURE_S)
        assert isinstance(bench.announce(), AnnounceAccepted)

    check()
