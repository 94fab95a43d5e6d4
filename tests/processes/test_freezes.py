"""SIGSTOP and SIGCONT in the middle of calls."""

import asyncio
import signal

import pytest

from tests.processes.harness import CONFIRM, LOOKUP, exercise

FROZEN_S = 3.0
DETECTED_S = 2.0


@pytest.mark.parametrize("victim", ["node", "server"])
def test_frozen_process_holds_up_nobody_and_runs_nothing_stale(fleet, victim):
    frozen = fleet.places[0]
    name = frozen.name if victim == "server" else fleet.name_node(frozen)

    async def run(site):
        others = site.places[1:]
        loop = asyncio.get_running_loop()
        async with site.load({LOOKUP: 40.0, CONFIRM: 40.0}, others):
            await asyncio.sleep(0.5)
            fleet.signal(name, signal.SIGSTOP)
            started_s = loop.time()
            await asyncio.sleep(FROZEN_S)
            ended_s = loop.time()
            fleet.signal(name, signal.SIGCONT)
            await asyncio.sleep(1.0)
        lookups = [r for r in site.results if r.path == LOOKUP]
        failed = [r for r in lookups if r.outcome != "answered"]
        assert not failed, failed
        stale = [
            r
            for r in site.results
            if started_s + DETECTED_S < r.sent_s < ended_s and r.outcome != "answered"
        ]
        assert not stale, stale

    # A server itself can't know how long it was frozen.
    servers = [frozen.name] if victim == "server" else []
    exercise(fleet, run, frozen_servers=servers)
