"""SIGKILL in the middle of calls that must not run twice."""

import asyncio

import pytest

from tests.processes.harness import CONFIRM, UPLOAD, exercise


@pytest.mark.parametrize("victim", ["node", "server"])
def test_killed_process_neither_doubles_nor_belies_a_call(fleet, victim):
    async def run(site):
        # Half of the calls enter at the node beside the server that is hit.
        place, *others = site.places
        async with site.load({CONFIRM: 60.0, UPLOAD: 3.0}, [place, *others]):
            for _ in range(2):
                await asyncio.sleep(0.5)
                name = place.name if victim == "server" else fleet.name_node(place)
                fleet.kill(name)
                await asyncio.sleep(0.3)
                start = fleet.start_server if victim == "server" else fleet.start_node
                start(place)
        answered = [r for r in site.results if r.outcome == "answered"]
        assert len(answered) > 20, [r.outcome for r in site.results]

    exercise(fleet, run)


def test_resend_after_the_entry_node_died_tells_the_first_outcome(fleet):
    async def run(site):
        entry, server, other, _ = site.places
        for place in site.places:
            await site.set_behaviour(place, latency_ms=700.0)
        calls = [asyncio.create_task(site.send(entry)) for _ in range(4)]
        await asyncio.sleep(0.3)
        keys = {run.key for run in site.read_runs()}
        fleet.kill(fleet.name_node(entry))
        firsts = await asyncio.gather(*calls)
        for later_s in (0.0, 1.0):
            await asyncio.sleep(later_s)
            seconds = await asyncio.gather(
                *(site.send(p, key=f.key) for f in firsts for p in (server, other))
            )
            for second in seconds:
                if second.key in keys:
                    assert second.outcome in ("answered", "unknown"), second
        for place in site.places:
            await site.set_behaviour(place, latency_ms=5.0)

    exercise(fleet, run)
