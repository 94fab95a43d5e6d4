import asyncio

import pytest

from sapphireway_coordination import ReportUnreadable
from sapphireway_platform._dialects import make_server_dialect
from sapphireway_transport.memory import run_paused
from tests.gate_bench import Bench

SIGNATURE = ("Response-Signature", "s")
WINDOW_S = 4.0
KNOWN_AFTER_S = 3.0  # contact_window of the platform
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


async def send_steadily(bench, calls_per_s, duration_s):
    for number in range(int(calls_per_s * duration_s)):
        bench.send(f"{asyncio.get_running_loop().time()}-{number}", idempotent=True)
        await asyncio.sleep(1.0 / calls_per_s)


def count_most(times, since_s):
    """Return the largest number of requests in a window that starts after `since_s`."""
    late = [at_s for at_s in times if at_s >= since_s]
    return max(
        sum(first_s <= at_s < first_s + WINDOW_S for at_s in late) for first_s in late
    )


@pytest.mark.parametrize("per_s", [0.2, 1.0, 4.9, 6.9, 20.0])
def test_server_with_a_limit_gets_no_more_requests_than_it_allows(per_s):
    async def check():
        bench = Bench(dialect=make_server_dialect())
        limit = ("Server-Limit", str(per_s))
        bench.server.answer_headers = (SIGNATURE, limit)
        started_s = asyncio.get_running_loop().time()
        await send_steadily(bench, 60.0, 16.0)
        most = count_most(bench.server.arrivals_s, started_s + KNOWN_AFTER_S)
        assert most <= EXCESS_FACTOR * per_s * WINDOW_S + EXCESS_REQUESTS
        assert most >= min(1.0, per_s) * WINDOW_S / 2

    run_paused(check())


@pytest.mark.parametrize("value", ["many", "nan", "-1", "9" * 5000])
def test_malformed_limit_and_departure_change_nothing(value):
    async def check():
        bench = Bench(dialect=make_server_dialect())
        headers = (("Server-Limit", value), ("Server-Leaving", value))
        bench.server.answer_headers = (SIGNATURE, *headers)
        for number in range(20):
            assert (await bench.call(f"c{number}")).outcome == "answered"
        (event,) = bench.list_events(ReportUnreadable)
        assert "Server-Limit" in event.detail and "Server-Leaving" in event.detail

    run_paused(check())


def test_server_that_leaves_gets_no_request_after_its_answer():
    async def check():
        bench = Bench(dialect=make_server_dialect())
        await bench.call("before")
        bench.server.answer_headers = (SIGNATURE, ("Server-Leaving", "1"))
        await bench.call("last")
        await send_steadily(bench, 60.0, 10.0)
        assert len(bench.server.arrivals_s) == 2

    run_paused(check())
