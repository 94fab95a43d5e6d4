"""SIGSTOP and SIGCONT of nodes and servers under load."""

import asyncio
import signal

import pytest

from tests.processes.harness import CONFIRM, LOOKUP, run_on_fleet

FROZEN_S = 3.0
DETECTION_MAX_S = 2.0


@pytest.mark.parametrize("target", ["node", "server"])
def test_frozen_process_fails_no_other_call_and_runs_none_late(fleet, target):
    frozen = fleet.places[0]
    name = frozen.name if target == "server" else fleet.name_node(frozen)

    async def run(harness):
        others = harness.places[1:]
        loop = asyncio.get_running_loop()
        async with harness.load({LOOKUP: 40.0, CONFIRM: 40.0}, others):
            await asyncio.sleep(0.5)
            fleet.signal(name, signal.SIGSTOP)
            started_s = loop.time()
            await asyncio.sleep(FROZEN_S)
            ended_s = loop.time()
            fleet.signal(name, signal.SIGCONT)
            await asyncio.sleep(1.0)
        lookups = [r for r in harness.results if r.path == LOOKUP]
        failed = [r for r in lookups if r.outcome != "answered"]
        assert not failed, failed
        failed_after_detection = [
            r
            for r in harness.results
            if started_s + DETECTION_MAX_S < r.sent_s < ended_s
            and r.outcome != "answered"
        ]
        assert not failed_after_detection, failed_after_detection

    # A server can't detect that it was frozen, so it may run requests late.
    servers = [frozen.name] if target == "server" else []
    run_on_fleet(fleet, run, frozen_servers=servers)
