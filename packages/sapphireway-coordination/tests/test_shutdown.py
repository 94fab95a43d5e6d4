import asyncio

import pytest
from tests.gate_bench import Bench

from sapphireway_coordination import (
    DEPARTURE_SPREAD_S,
    compute_drain_time,
    compute_serve_time,
)
from sapphireway_protocol import NotRunReason
from sapphireway_transport.memory import run_paused


@pytest.mark.parametrize(
    ("grace_s", "timeouts_s", "serve_s"),
    [
        (6.0, (0.8, 2.5), 3.0),
        (6.0, (4.2,), 1.5),
        (6.0, (30.0,), 0.0),
        (0.0, (0.8,), 0.0),
        (6.0, (), 3.0),
    ],
)
def test_serve_time_leaves_room_for_last_request(grace_s, timeouts_s, serve_s):
    assert compute_serve_time(grace_s, timeouts_s) == pytest.approx(serve_s)


@pytest.mark.parametrize(
    ("grace_s", "drain_timeout_s", "drain_s"),
    [(0.0, 30.0, 30.0), (10.0, 30.0, 9.7), (10.0, 5.7, 9.7), (0.2, 5.7, 0.0)],
)
def test_drain_ends_shortly_before_the_kill(grace_s, drain_timeout_s, drain_s):
    assert compute_drain_time(grace_s, drain_timeout_s) == pytest.approx(drain_s)


async def stop(bench):
    """Stop the node like the process does; return when it closes."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + 5.0
    await bench.gate.drain(deadline_s)
    await bench.gate.wait_until_unused(deadline_s)
    bench.gate.close()
    bench.peers.close()
    return loop.time()


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("busy_s", [0.0, 0.4])
def test_work_that_arrives_during_a_stop_is_answered(idempotent, busy_s):
    """A node that has not heard of the stop sends work until its view is renewed."""

    async def main():
        bench = Bench()
        await bench.warm()
        loop = asyncio.get_running_loop()
        if busy_s:
            bench.server.slow_factor = busy_s / 0.005
            bench.send("running", budget_ms=2000.0)
            await asyncio.sleep(0.01)
        started_s = loop.time()
        stopping = asyncio.create_task(stop(bench))
        count = 0
        while loop.time() < started_s + 0.95 * DEPARTURE_SPREAD_S:
            bench.send(f"a{count}", idempotent=idempotent)
            count += 1
            await asyncio.sleep(0.02)
        ended_s = await stopping
        answered = [f"a{number}" in bench.replies for number in range(count)]
        assert all(answered)
        assert DEPARTURE_SPREAD_S <= ended_s - started_s < DEPARTURE_SPREAD_S + 1.0

    run_paused(main())


def test_announced_departure_takes_work_but_no_new_members():
    async def main():
        bench = Bench()
        await bench.warm()
        assert bench.gate.available
        bench.gate.announce_departure()
        assert not bench.gate.available
        assert (await bench.call("a")).outcome == "answered"
        await asyncio.sleep(DEPARTURE_SPREAD_S)
        started_s = asyncio.get_running_loop().time()
        assert await stop(bench) - started_s < 0.5

    run_paused(main())


def test_wait_for_unused_node_ends_at_the_deadline():
    async def main():
        bench = Bench()
        loop = asyncio.get_running_loop()
        await bench.gate.drain(loop.time())
        await bench.gate.wait_until_unused(loop.time() + 0.2)
        return loop.time()

    assert run_paused(main()) < 0.3


@pytest.mark.parametrize("waits", [False, True])
def test_stopping_gate_starts_no_attempt_that_outlasts_it(waits):
    """Such an attempt was cut when the process ended."""

    async def main():
        bench = Bench(slots=1)
        await bench.warm()
        bench.server.slow_factor = 20.0
        if waits:
            bench.send("first", budget_ms=1000.0)
            bench.send("long", budget_ms=3000.0)
            await asyncio.sleep(0.01)
        bench.gate.limit_work(asyncio.get_running_loop().time() + 2.0)
        if not waits:
            bench.send("long", budget_ms=3000.0)
        short = await bench.call("short", budget_ms=1500.0)
        return bench.replies["long"][0], short

    long, short = run_paused(main())
    assert (long.outcome, long.reason) == ("not_run", NotRunReason.DRAINING)
    assert short.outcome == "answered"


@pytest.mark.parametrize("idempotent", [False, True])
def test_attempt_at_work_when_a_stop_ends_gets_a_reply(idempotent):
    """Without one its entry node asked a node that was gone, until the deadline."""

    async def main():
        bench = Bench()
        await bench.warm()
        bench.server.slow_factor = 1000.0
        bench.send("long", budget_ms=8000.0, idempotent=idempotent)
        await asyncio.sleep(0.01)
        drained = await bench.gate.drain(asyncio.get_running_loop().time() + 1.0)
        before = "long" in bench.replies
        await bench.gate.end_attempts()
        await asyncio.sleep(0.01)
        return drained, before, bench.replies["long"][0], bench.gate.count_attempts()

    drained, before, reply, left = run_paused(main())
    assert (drained, before, left) == (False, False, 0)
    assert reply.outcome == ("failed" if idempotent else "unknown")
