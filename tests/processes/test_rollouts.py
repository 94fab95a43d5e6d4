"""Rollouts on real processes, by the operator's command line."""

import asyncio
import json
import signal

import pytest
from demo._fleet import Place

from tests.processes.harness import (
    CONFIRM,
    LOOKUP,
    TREE,
    RecordedFleet,
    choose_network_prefix,
    run_on_fleet,
    wait_until,
)

DURATION_S = 20.0
SERVERS = 3
DOMAINS = ("bxl-a", "bxl-b", "mech-a")


def make_places(network, version, first):
    return [
        Place(
            f"matching-{version}-{i}",
            f"{network}.{first + i}",
            DOMAINS[i],
            "matching",
            version=version,
        )
        for i in range(SERVERS)
    ]


@pytest.fixture
def versioned_fleet(tmp_path):
    """A fleet of its own, as a rollout outlasts its test."""
    network = choose_network_prefix(150)
    places = make_places(network, "v1", 10)
    fleet = RecordedFleet(tmp_path, places, network, TREE)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        fleet.start()
        yield fleet, make_places(network, "v2", 30)
    finally:
        fleet.kill_all()


async def read_rollout(harness):
    status, output = await harness.run_sapphirectl(
        "rollout", "status", "matching", "--output=json"
    )
    return json.loads(output) if status == 0 else None


async def roll_out(harness, new_places, behaviour):
    fleet = harness.fleet
    status, output = await harness.run_sapphirectl(
        "rollout",
        "start",
        "matching",
        "v2",
        f"--duration-s={DURATION_S}",
        f"--token-file={fleet.folder / 'operator.token'}",
    )
    assert status == 0, output
    entries = list(fleet.places)
    await wait_for_claims(harness)
    async with harness.load({LOOKUP: 60.0, CONFIRM: 30.0}, entries):
        await asyncio.sleep(2.0)
        for place in new_places:
            fleet.start_node(place)
            fleet.start_server(place)
        for place in new_places:
            await set_behaviour(harness, place, behaviour)

        async def find_end():
            rollout = await read_rollout(harness)
            return rollout if rollout and rollout["state"] != "running" else None

        # tests/test_rollouts.py checks the deadline, on a clock without load.
        rollout = await wait_until(find_end, "end of the rollout")
        await asyncio.sleep(1.0)
        ended_s = asyncio.get_running_loop().time()
        await asyncio.sleep(2.0)
    late = {run.server for run in harness.read_runs() if run.time_s > ended_s}
    return rollout, late


async def wait_for_claims(harness):
    """Wait until confirmations are answered, as no entry may know the claims yet."""

    async def confirm():
        results = [await harness.send(place) for place in harness.places]
        return all(result.outcome == "answered" for result in results)

    await wait_until(confirm, "claim groups")
    harness.warm_up_result_count = len(harness.results)


async def set_behaviour(harness, place, behaviour):
    async def change():
        try:
            return await harness.set_behaviour(place, **behaviour)
        except OSError:
            return None

    await wait_until(change, "server")


def test_good_version_is_completed_and_carries_all_requests(versioned_fleet):
    fleet, new_places = versioned_fleet

    async def run(harness):
        rollout, late = await roll_out(harness, new_places, {"latency_ms": 5.0})
        assert rollout["state"] == "completed", rollout
        new = {place.name for place in new_places}
        assert late and late <= new, late
        # Not each of them within the last two seconds: two may leave the third idle.
        assert new <= {run.server for run in harness.read_runs()}
        failed = [r for r in harness.list_first_results() if r.outcome != "answered"]
        assert not failed, failed

    run_on_fleet(fleet, run)


def test_slow_version_is_rolled_back_and_gets_nothing_more(versioned_fleet):
    fleet, new_places = versioned_fleet

    async def run(harness):
        rollout, late = await roll_out(harness, new_places, {"latency_ms": 60.0})
        assert rollout["state"] == "rolled_back", rollout
        assert late and not late & {place.name for place in new_places}
        failed = [r for r in harness.list_first_results() if r.outcome != "answered"]
        assert not failed, failed

    run_on_fleet(fleet, run)
