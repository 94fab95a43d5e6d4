"""Departures that control hosts remember for nodes that restart."""

import asyncio
import random

import msgspec
import pytest

from sapphireway_coordination import (
    AnnounceAccepted,
    Announcement,
    AnnounceRefused,
    DepartureClient,
    DepartureStore,
    Gate,
)
from sapphireway_coordination.departures._client import (
    RECORD_TIME_S,
    UNCHECKED_MAX_S,
    WAIT_S,
)
from sapphireway_coordination.departures._table import (
    DEPARTURES_MAX,
    RETENTION_S,
    STARTS_MAX,
    UNKNOWN_START_S,
    DepartureTable,
)
from sapphireway_protocol import Departure, Peers
from sapphireway_state import Policy
from sapphireway_transport.memory import (
    MemoryDisk,
    MemoryNetwork,
    MemoryServer,
    run_paused,
)

HOSTS = ("c0", "c1", "c2")
NODE = "n"
ANNOUNCEMENT = Announcement("s1", "ledger", "http://s1", 6, 200, "start-1")


class Fleet:
    """Control hosts and a node, which a test kills and starts again."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(self.rng)
        self.server = MemoryServer(self.rng, 6)
        self.disks = {host: MemoryDisk(0.001) for host in HOSTS}
        self.hosts = {}
        self.starts = 0
        for host in HOSTS:
            self.start_host(host)
        self.node_peers = None
        self.start_node()

    def _open_peers(self, address):
        self.starts += 1
        return Peers(self.network.open_endpoint(address), f"i{self.starts}")

    def start_host(self, host):
        peers = self._open_peers(host)
        store = DepartureStore(peers, lambda: HOSTS, self.disks[host])
        peers.start()
        self.hosts[host] = peers, asyncio.create_task(store.run())

    def kill_host(self, host):
        peers, task = self.hosts.pop(host)
        task.cancel()
        peers.close()

    def start_node(self):
        self.node_peers = self._open_peers(NODE)
        self.gate = Gate(
            self.node_peers,
            self.server,
            self.rng,
            lambda service, kind: Policy(),
            lambda event: None,
            departures=DepartureClient(self.node_peers, lambda: HOSTS),
        )
        self.node_peers.start()

    def restart_node(self):
        self.gate.close()
        self.node_peers.close()
        self.start_node()

    def cut_off(self, hosts):
        for host in hosts:
            self.network.cut(NODE, host)
            self.network.cut(host, NODE)

    async def announce(self, start_id="start-1"):
        await self.gate.check_departures("s1", start_id)
        announcement = msgspec.structs.replace(ANNOUNCEMENT, start_id=start_id)
        return self.gate.announce(announcement)

    async def leave(self, start_id=""):
        self.gate.leave("s1", start_id)
        return await self.gate.confirm_departure("s1")


def run_script(script):
    async def main():
        fleet = Fleet()
        await asyncio.sleep(0.1)
        await script(fleet)
        fleet.gate.close()

    run_paused(main())


@pytest.mark.parametrize("wait_s", [0.0, 1.5, 15.0, 0.9 * RETENTION_S])
@pytest.mark.parametrize("times", [1, 3])
def test_restarted_node_refuses_a_late_announcement(wait_s, times):
    """A node that was killed after the acknowledgement used its server again."""

    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        for _ in range(times):
            fleet.restart_node()
        await asyncio.sleep(wait_s)
        assert isinstance(await fleet.announce(), AnnounceRefused)
        assert isinstance(await fleet.announce("start-2"), AnnounceAccepted)
        assert isinstance(await fleet.announce(), AnnounceRefused)

    run_script(script)


def test_departure_after_the_restart_names_its_start():
    """The restarted node doesn't know its server when the departure arrives."""

    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        fleet.restart_node()
        assert await fleet.leave("start-1")
        # The next start needn't wait until the time of an unknown start is over.
        assert isinstance(await fleet.announce("start-2"), AnnounceAccepted)
        fleet.restart_node()
        await asyncio.sleep(2 * UNKNOWN_START_S)
        assert isinstance(await fleet.announce(), AnnounceRefused)
        assert isinstance(await fleet.announce("start-2"), AnnounceAccepted)

    run_script(script)


def test_earlier_start_stays_gone_after_the_next_has_fallen_silent():
    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        assert isinstance(await fleet.announce("start-2"), AnnounceAccepted)
        await asyncio.sleep(20.0)
        assert isinstance(await fleet.announce(), AnnounceRefused)

    run_script(script)


def test_departure_outlives_all_processes():
    """All control hosts and the node may be killed at the same moment."""

    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        for host in HOSTS:
            fleet.kill_host(host)
        fleet.restart_node()
        announced = asyncio.create_task(fleet.announce())
        await asyncio.sleep(2 * WAIT_S)
        assert isinstance(await announced, AnnounceRefused)
        for host in HOSTS:
            fleet.start_host(host)
        await asyncio.sleep(0.5)
        assert isinstance(await fleet.announce(), AnnounceRefused)
        assert isinstance(await fleet.announce("start-2"), AnnounceAccepted)

    run_script(script)


@pytest.mark.parametrize("host", HOSTS)
def test_departure_outlives_a_lost_disk(host):
    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        fleet.kill_host(host)
        fleet.disks[host] = MemoryDisk(0.001)
        fleet.start_host(host)
        await asyncio.sleep(1.0)
        # It has copied what the others remember.
        other = next(each for each in HOSTS if each != host)
        fleet.kill_host(other)
        fleet.restart_node()
        assert isinstance(await fleet.announce(), AnnounceRefused)

    run_script(script)


def test_departure_is_not_confirmed_without_a_majority():
    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        fleet.cut_off(HOSTS[:2])
        assert not await fleet.leave()
        assert fleet.gate.leaving  # work stops all the same
        fleet.network.heal_all()
        await asyncio.sleep(1.0)
        assert await fleet.leave()

    run_script(script)


@pytest.mark.parametrize("cut", [HOSTS[:2], HOSTS])
def test_departure_is_confirmed_after_a_long_outage(cut):
    """A host that was away for longer than the tries was never told again."""

    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        fleet.cut_off(cut)
        assert not await fleet.leave()
        await asyncio.sleep(2 * RECORD_TIME_S)
        fleet.network.heal_all()
        assert await fleet.leave()
        fleet.restart_node()
        assert isinstance(await fleet.announce(), AnnounceRefused)

    run_script(script)


def test_departure_that_failed_does_not_hold_up_that_of_the_next_start():
    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        fleet.cut_off(HOSTS)
        assert not await fleet.leave()
        await asyncio.sleep(2 * RECORD_TIME_S)
        fleet.network.heal_all()
        assert isinstance(await fleet.announce("start-2"), AnnounceAccepted)
        assert await fleet.leave()

    run_script(script)


def test_each_departure_of_an_unknown_start_is_recorded():
    async def script(fleet):
        assert await fleet.leave()
        await asyncio.sleep(6 * UNKNOWN_START_S)
        assert await fleet.leave()
        fleet.restart_node()
        assert isinstance(await fleet.announce(), AnnounceRefused)
        await asyncio.sleep(UNKNOWN_START_S)
        assert isinstance(await fleet.announce(), AnnounceAccepted)

    run_script(script)


def test_discovered_server_stops_once_its_departure_is_known():
    """The start of a server that was discovered is not known."""

    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        fleet.cut_off(HOSTS)
        fleet.restart_node()
        assert isinstance(await fleet.announce(""), AnnounceRefused)
        await asyncio.sleep(UNCHECKED_MAX_S)
        assert isinstance(await fleet.announce(""), AnnounceAccepted)
        fleet.network.heal_all()
        assert isinstance(await fleet.announce(), AnnounceRefused)
        assert fleet.gate.leaving

    run_script(script)


@pytest.mark.parametrize("fault", ["full", "hangs"])
def test_faulty_disks_delay_no_departure(fault):
    async def script(fleet):
        for disk in fleet.disks.values():
            disk.capacity_bytes = 0 if fault == "full" else None
            disk.sync_delay_s = 100.0 if fault == "hangs" else 0.0
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        fleet.restart_node()
        assert isinstance(await fleet.announce(), AnnounceRefused)

    run_script(script)


def test_server_is_registered_after_a_long_outage_of_the_control_hosts():
    """A server would get no work for as long as most control hosts are away."""

    async def script(fleet):
        fleet.cut_off(HOSTS[:2])
        assert isinstance(await fleet.announce(), AnnounceRefused)
        await asyncio.sleep(UNCHECKED_MAX_S)
        assert isinstance(await fleet.announce(), AnnounceAccepted)

    run_script(script)


def test_server_registered_in_an_outage_stops_once_its_departure_is_known():
    async def script(fleet):
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        fleet.cut_off(HOSTS)
        fleet.restart_node()
        assert isinstance(await fleet.announce(), AnnounceRefused)
        await asyncio.sleep(UNCHECKED_MAX_S)
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        fleet.network.heal_all()
        assert isinstance(await fleet.announce(), AnnounceRefused)
        assert fleet.gate.leaving

    run_script(script)


def test_table_keeps_the_latest_departures():
    table = DepartureTable(lambda: 0.0)
    for number in range(DEPARTURES_MAX + 10):
        table.record(Departure(f"s{number}", "a"))
    assert len(table.list_departures()) == DEPARTURES_MAX
    assert not table.has_left("s0", "a")
    assert table.has_left(f"s{DEPARTURES_MAX + 9}", "a")


def test_concurrent_checks_of_one_start_agree():
    async def script(fleet):
        results = await asyncio.gather(*(fleet.announce() for _ in range(3)))
        assert [type(result) for result in results] == [AnnounceAccepted] * 3

    run_script(script)


def test_departure_is_saved_once_a_full_disk_has_room():
    async def script(fleet):
        for disk in fleet.disks.values():
            disk.capacity_bytes = 0
        assert isinstance(await fleet.announce(), AnnounceAccepted)
        assert await fleet.leave()
        for disk in fleet.disks.values():
            disk.capacity_bytes = None
        await asyncio.sleep(5.0)
        for host in HOSTS:
            fleet.kill_host(host)
            fleet.start_host(host)
        await asyncio.sleep(1.0)
        fleet.restart_node()
        assert isinstance(await fleet.announce(), AnnounceRefused)

    run_script(script)


@pytest.mark.parametrize(
    "departure",
    [Departure("", "a"), Departure("s" * 401, "a"), Departure("s", "a" * 401)],
)
def test_departure_of_an_odd_name_is_not_recorded(departure):
    table = DepartureTable(lambda: 0.0)
    table.record(departure)
    assert table.list_departures() == []


def test_table_keeps_the_latest_starts_of_a_server():
    table = DepartureTable(lambda: 0.0)
    for number in range(STARTS_MAX + 1):
        table.record(Departure("s", str(number)))
    assert not table.has_left("s", "0") and table.has_left("s", "1")


@pytest.mark.parametrize("age_s", [float("nan"), float("inf"), RETENTION_S])
def test_departure_of_an_odd_age_is_not_recorded(age_s):
    table = DepartureTable(lambda: 0.0)
    table.record(Departure("s", "a", age_s))
    assert table.list_departures() == []
