import asyncio

from tests.gate_bench import ReportingBench

from sapphireway_coordination import SelfReport
from sapphireway_state import Policy
from sapphireway_transport.memory import run_paused


def make_polled_bench():
    return ReportingBench(policy=Policy(health_interval_ms=50), announced=False)


def test_restarted_node_uses_idle_server_after_first_poll():
    async def main():
        bench = make_polled_bench()
        bench.report = SelfReport(cold_s=0.0, in_flight=0)
        bench.announce(in_flight=None, cold_s=0.0, health_path="/health")
        assert bench.gate.get_load().limit == 0
        await asyncio.sleep(0.02)
        assert bench.gate.get_load().limit == bench.server.slots

    run_paused(main())


def test_restarted_node_subtracts_requests_still_running():
    async def main():
        bench = make_polled_bench()
        bench.report = SelfReport(cold_s=0.0, in_flight=4)
        bench.announce(in_flight=None, cold_s=0.0, health_path="/health")
        await asyncio.sleep(0.02)
        assert bench.gate.get_load().limit == bench.server.slots - 4
        bench.report = SelfReport(cold_s=0.0, in_flight=1)
        await asyncio.sleep(0.6)
        assert bench.gate.get_load().limit == bench.server.slots - 1

    run_paused(main())


def test_server_with_a_limit_is_polled_for_a_share_of_it():
    async def main():
        bench = make_polled_bench()
        arrivals = bench.server.arrivals_s
        bench.report = SelfReport(requests_per_s=4.0, cold_s=0.0)
        bench.announce(cold_s=0.0, health_path="/health")
        started_s = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < started_s + 20.0:
            bench.send(f"a{asyncio.get_running_loop().time()}")
            await asyncio.sleep(0.02)
        assert len(arrivals) <= 20.0 * 4.0 * 1.25 + 2
        bench.report = SelfReport(cold_s=0.0)
        await asyncio.sleep(2.0)
        assert bench.gate.get_load().starts_per_s == 0.0

    run_paused(main())
