"""Loss of power on all hosts beside lost disks, right after an acknowledgement."""

import itertools

import msgspec
import pytest

from sapphireway._publisher import Publisher
from sapphireway_coordination import ControlMachine
from sapphireway_state import (
    Publish,
    Published,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
)
from sapphireway_transport.memory import MemoryDisk, run_paused
from tests.quorum_cluster import SETTINGS, Cluster

HOSTS = 5
LOSSES_MAX = 2
SPARE = "c5"  # a host that the tolerated losses don't count
DOMAIN = "bxl-a"


class _Machine(ControlMachine):
    def query(self, query):
        return self.read(query)


class Fleet(Cluster):
    """Control hosts with the machine of the product, and operators."""

    def __init__(self, seed):
        limits = msgspec.structs.replace(SETTINGS.limits, command_max_bytes=10_000)
        settings = msgspec.structs.replace(
            SETTINGS,
            limits=limits,
            admit_unknown_hosts=True,
            silent_voter_timeout_s=3.0,
            losses_max=LOSSES_MAX,
        )
        super().__init__(HOSTS, seed, settings)

    def make_machine(self):
        return _Machine()

    def open_publisher(self):
        ids = (f"edit-{self.client_count}-{number}" for number in itertools.count())
        return Publisher(self.open_client(), ids.__next__, lambda: 0.0)

    def lose_power(self, lost):
        """Cut the power of all hosts at once; `lost` come back with empty disks."""
        for address in list(self.hosts):
            self.crash(address)
        for address in lost:
            self.hosts[address].disk = MemoryDisk(self.sync_delay_s)


async def find_no_staleness(version):
    return None


def make_publish(number):
    route = Route("r", "a", f"/{number}/", RequestKind.ONCE, 800.0, (RouteTarget("s"),))
    table = RouteTable(number, (ServiceSpec("s"),), ("a",), (route,))
    return Publish(b"%d" % number, number - 1, table)


async def give_order(publisher, number, order):
    """Give an order and return once it is acknowledged."""
    if order == "configuration":
        result = await publisher.publish(make_publish(number))
        assert result == Published(number)
    else:
        assert await publisher.set_out(DOMAIN, True, find_no_staleness) is None


@pytest.mark.parametrize("order", ["configuration", "evacuation"])
@pytest.mark.parametrize("lost", list(itertools.combinations(range(HOSTS), 2)), ids=str)
def test_acknowledged_order_survives_lost_disks_beside_a_loss_of_all_power(lost, order):
    async def run():
        fleet = Fleet(seed=sum(lost))
        await fleet.start()
        await fleet.wait_until(fleet.is_healthy)
        await fleet.start(SPARE, bootstrap=False)
        publisher = fleet.open_publisher()
        await give_order(publisher, 1, "configuration")
        await give_order(publisher, 2, order)
        fleet.lose_power([f"c{number}" for number in lost])
        await fleet.start(bootstrap=False)
        await fleet.start(SPARE, bootstrap=False)
        operator = fleet.open_publisher()
        current = await operator.read_table()
        assert current.table.number == (2 if order == "configuration" else 1)
        tree = await operator._read_tree()
        domains = tree.tree.get("domains", {})
        assert domains.get(DOMAIN, {}).get("out", False) == (order == "evacuation")
        await fleet.wait_until(fleet.is_healthy)

    run_paused(run())
