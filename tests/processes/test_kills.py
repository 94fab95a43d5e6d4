"""SIGKILL of nodes and servers during calls that must not run twice."""

import asyncio

import pytest

from tests.processes.harness import CONFIRM, UPLOAD, run_on_fleet


@pytest.mark.parametrize("target", ["node", "server"])
def test_killed_process_causes_no_second_run_and_no_false_outcome(fleet, target):
    async def run(harness):
        # Calls also enter at the node beside the server that is killed.
        place, *others = harness.places
        async with harness.load({CONFIRM: 60.0, UPLOAD: 3.0}, [place, *others]):
            for _ in range(2):
                await asyncio.sleep(0.5)
                name = place.name if target == "server" else fleet.name_node(place)
                fleet.kill(name)
                await asyncio.sleep(0.3)
                start = fleet.start_server if target == "server" else fleet.start_node
                start(place)
        answered = [r for r in harness.results if r.outcome == "answered"]
        assert len(answered) > 20, [r.outcome for r in harness.results]

    run_on_fleet(fleet, run)


def test_resend_after_kill_of_the_entry_node_returns_the_first_outcome(fleet):
    async def run(harness):
        entry, server, other, _ = harness.places
        for place in harness.places:
            await harness.set_behaviour(place, latency_ms=700.0)
        calls = [asyncio.create_task(harness.send(entry)) for _ in range(4)]
        await asyncio.sleep(0.3)
        started_keys = {run.key for run in harness.read_runs()}
        fleet.kill(fleet.name_node(entry))
        firsts = await asyncio.gather(*calls)
        for delay_s in (0.0, 1.0):
            await asyncio.sleep(delay_s)
            seconds = await asyncio.gather(
                *(harness.send(p, key=f.key) for f in firsts for p in (server, other))
            )
            for second in seconds:
                if second.key in started_keys:
                    assert second.outcome in ("answered", "unknown"), second
        for place in harness.places:
            await harness.set_behaviour(place, latency_ms=5.0)

    run_on_fleet(fleet, run)
