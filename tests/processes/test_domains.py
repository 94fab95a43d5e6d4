"""Failure domains that are taken out of service and back in."""

import asyncio
import time

from tests.processes.harness import CONFIRM, LOOKUP, run_on_fleet, wait_until

NEW_WORK_STOP_MAX_S = 2.0
FORCE_NEEDED = 5


def test_domain_gets_no_new_work_while_out_and_new_work_after(fleet):
    async def run(harness):
        servers = {p.name for p in harness.places if p.domain == "bxl-a"}

        def list_starts(since_s):
            return [
                run
                for run in harness.read_runs()
                if run.server in servers and run.time_s > since_s
            ]

        async def list_starts_after_return():
            return list_starts(back_s)

        async with harness.load({LOOKUP: 40.0, CONFIRM: 20.0}):
            await asyncio.sleep(0.5)
            status, output = await harness.run_sapphirectl("domain", "out", "bxl-a")
            accepted_s = time.monotonic()
            assert status == 0, output
            await asyncio.sleep(NEW_WORK_STOP_MAX_S + 1.5)
            assert not list_starts(accepted_s + NEW_WORK_STOP_MAX_S)
            status, output = await harness.run_sapphirectl("domain", "in", "bxl-a")
            back_s = time.monotonic()
            assert status == 0, output
            await wait_until(
                list_starts_after_return, "new work in the domain that is back in"
            )
        failed = [r for r in harness.list_first_results() if r.outcome != "answered"]
        assert not failed, failed

    run_on_fleet(fleet, run)


def test_last_healthy_domain_out_needs_force(fleet):
    async def run(harness):
        for domain in ("bxl-a", "bxl-b"):
            status, output = await harness.run_sapphirectl("domain", "out", domain)
            assert status == 0, output
        status, output = await harness.run_sapphirectl("domain", "out", "mech-a")
        assert status == FORCE_NEEDED, output
        assert "matching" in output
        assert (await harness.send(harness.places[0])).outcome == "answered"
        for domain in ("bxl-a", "bxl-b"):
            status, output = await harness.run_sapphirectl("domain", "in", domain)
            assert status == 0, output

    run_on_fleet(fleet, run)
