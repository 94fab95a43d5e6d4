"""Graceful stops of nodes and servers during uploads."""

import asyncio
import signal

import pytest

from tests.processes.harness import UPLOAD, run_on_fleet

NEW_WORK_STOP_MAX_S = 2.0


@pytest.mark.parametrize(
    "targets",
    [("node",), ("server",), ("node", "server"), ("server", "node")],
    ids="-then-".join,
)
def test_graceful_stop_interrupts_no_upload(fleet, targets):
    place, *others = fleet.places
    names = {"node": fleet.name_node(place), "server": place.name}

    async def run(harness):
        for each in harness.places:
            await harness.set_behaviour(each, latency_ms=300.0)
        loop = asyncio.get_running_loop()
        uploads = []
        async with harness.load({UPLOAD: 5.0}, others):
            for _ in range(6):
                uploads.append(asyncio.create_task(harness.send(place, UPLOAD)))
                await asyncio.sleep(0.1)
            for target in targets:
                fleet.signal(names[target], signal.SIGTERM)
                await asyncio.sleep(0.1)
            stopped_s = loop.time()
            for target in targets:
                assert await harness.wait_for_exit(names[target]) == 0
            results = await asyncio.gather(*uploads)
            await asyncio.sleep(max(0.0, stopped_s + 2.5 - loop.time()))
        assert {r.outcome for r in results} == {"answered"}, results
        late = [
            run
            for run in harness.read_runs()
            if run.server == place.name and run.time_s > stopped_s + NEW_WORK_STOP_MAX_S
        ]
        assert not late, late
        failed = [r for r in harness.list_first_results() if r.outcome != "answered"]
        assert not failed, failed
        for each in others:
            await harness.set_behaviour(each, latency_ms=5.0)

    run_on_fleet(fleet, run)


def test_stopping_node_does_not_report_not_run_for_a_call_that_ran(fleet):
    async def run(harness):
        place, other, *_ = harness.places
        for each in harness.places:
            await harness.set_behaviour(each, latency_ms=1000.0)
        ran = await harness.send(other)
        assert ran.outcome == "answered"
        # The upload delays the exit of the node, and the connection stays open.
        upload = asyncio.create_task(harness.send(place, UPLOAD))
        await harness.send(place)
        fleet.signal(fleet.name_node(place), signal.SIGTERM)
        again = await harness.send(place, key=ran.key)
        assert again.outcome in ("answered", "unknown", "lost"), again
        await upload
        assert await harness.wait_for_exit(fleet.name_node(place)) == 0
        for each in harness.places:
            await harness.set_behaviour(each, latency_ms=5.0)

    run_on_fleet(fleet, run)


def test_nodes_that_stop_in_sequence_lose_no_claims(fleet):
    async def run(harness):
        first, second, third, fourth = harness.places
        ran = await harness.send(third)
        assert ran.outcome == "answered"
        for place in (first, second):
            fleet.signal(fleet.name_node(place), signal.SIGTERM)
            assert await harness.wait_for_exit(fleet.name_node(place)) == 0
        again = await harness.send(fourth, key=ran.key)
        assert again.outcome == "answered", again
        new = await harness.send(third)
        assert new.outcome == "answered", new

    run_on_fleet(fleet, run)
