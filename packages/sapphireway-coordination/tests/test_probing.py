import asyncio
import random

import pytest

from sapphireway_coordination import Member, ProbeSent
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._probing import PROBES_PER_CALL, Prober
from sapphireway_protocol import LoadReport, Peers, ServerState
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork, run_paused


def run_prober(policy, calls, gap_s, report_age_s=None, unresponsive=False):
    """Simulate `calls` calls; return the probes sent and their bytes."""
    events = []

    async def simulate():
        network = MemoryNetwork(random.Random(1))
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        prober = Prober(peers, events.append)
        loads = [ServerLoad(Member(n, "s", n, "d", "r", "1", "1", 6)) for n in "abc"]
        for load in loads:
            load.unresponsive = unresponsive
        loop = asyncio.get_running_loop()
        for _ in range(calls):
            await asyncio.sleep(gap_s)
            if report_age_s is not None:
                report = LoadReport("a", 0, 0, 6, 1.0, ServerState.SERVING, "1")
                for load in loads:
                    load.record_report(report, loop.time() - report_age_s)
            prober.probe_for_call(loads, policy, loop.time())
        return prober.budget.bytes_spent

    return events, run_paused(simulate())


def test_fresh_reports_need_no_probe():
    events, _ = run_prober(Policy(), 100, 0.01, report_age_s=0.1)
    assert events == []


@pytest.mark.parametrize("rate_per_s", [0.0, 2.0, 20.0])
def test_rate_limits_probes(rate_per_s):
    policy = Policy(probe_rate_per_s=rate_per_s, load_stale_ms=1)
    events, bytes_spent = run_prober(policy, 20_000, 0.0005)
    assert len(events) <= 10.0 * rate_per_s + max(1.0, rate_per_s / 4)
    assert all(isinstance(event, ProbeSent) for event in events)
    assert bytes_spent <= 256 * len(events)


def test_share_of_calls_limits_probes():
    policy = Policy(probe_rate_per_s=1000.0, load_stale_ms=1)
    events, _ = run_prober(policy, 1000, 0.01)
    assert 0 < len(events) <= 1000 * PROBES_PER_CALL + 1


def test_unresponsive_servers_of_rarely_called_service_are_probed():
    events, _ = run_prober(Policy(), 10, 1.0, unresponsive=True)
    assert len(events) >= 30
