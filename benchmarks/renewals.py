"""Usage of a real control host by number of nodes: ``python -m benchmarks.renewals``.

Three control hosts run as separate processes. The nodes are simulated in this
process: each has the real membership code, an address and sockets.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import zmq

from benchmarks.capacity import FOLLOWED_SERVICES, SERVERS_PER_SERVICE
from benchmarks.processes import CONTROL_HOSTS, SETTLE_S, Processes, print_usage
from sapphireway_coordination import ControlHostList, Membership
from sapphireway_protocol import NodeEntry, Peers, ServerEntry
from sapphireway_transport import ZmqEndpoint

SIZES = (30, 150, 600)
NODE_HOST_PREFIX = "127.0.78"
NODES_PER_HOST = 200
FIRST_PORT = 7200
DOMAINS = 16
MEASURED_S = 10.0
NODES_SETTLE_S = 8.0
SOCKETS_MAX = 8192


class SharedContext:
    """A ZeroMQ context for all endpoints, as each further one adds two threads."""

    __slots__ = ("_context", "socket")

    def __init__(self):
        self._context = zmq.Context(io_threads=1)
        self._context.max_sockets = SOCKETS_MAX
        self.socket = self._context.socket

    def term(self):
        """Do nothing, as other endpoints still use the context."""

    def close(self):
        """Close the remaining sockets and stop the threads."""
        self._context.destroy(0)


def start_node(context, number, node_count, control_addresses, rng):
    """Start one simulated node; return its peers and its task."""
    host_number, port_number = divmod(number, NODES_PER_HOST)
    endpoint = ZmqEndpoint(
        f"{NODE_HOST_PREFIX}.{host_number + 1}:{FIRST_PORT + port_number}"
    )
    endpoint._context.term()
    endpoint._context = context
    peers = Peers(endpoint, f"{number:016x}")
    domain = f"domain-{number % DOMAINS}"
    entry = NodeEntry(peers.address, domain, "region-0", peers.incarnation, 1.0, 0, [])
    membership = Membership(peers, ControlHostList(control_addresses), entry, rng)
    services = max(1, node_count // SERVERS_PER_SERVICE)
    own_service = number // SERVERS_PER_SERVICE % services
    server = ServerEntry(f"s{number}", f"s{own_service}", peers.incarnation, 6)
    membership.set_servers([server])
    for step in range(min(FOLLOWED_SERVICES, services)):
        membership.get_members(f"s{(own_service + step) % services}")
    peers.start()
    task = asyncio.get_running_loop().create_task(membership.run())
    return peers, task


async def measure(size):
    """Print the usage of the control hosts with `size` nodes."""
    rng = random.Random(1)
    context = SharedContext()
    with tempfile.TemporaryDirectory() as folder:
        processes = Processes(Path(folder), 0)
        try:
            processes.start()
            await asyncio.sleep(SETTLE_S)
            control_addresses = [f"{host}:7100" for host in processes.control_hosts]
            nodes = [
                start_node(context, number, size, control_addresses, rng)
                for number in range(size)
            ]
            await asyncio.sleep(NODES_SETTLE_S)
            before = {host: processes.read_usage(host) for host in processes.hosts}
            await asyncio.sleep(MEASURED_S)
            pairs = [(before[h], processes.read_usage(h)) for h in processes.hosts]
        finally:
            processes.stop()
    print_usage(size / CONTROL_HOSTS, "control host", pairs, MEASURED_S)
    for peers, task in nodes:
        task.cancel()
        peers.close()
    context.close()


def main(sizes=SIZES):
    """Measure each size; a row starts with the number of nodes per control host."""
    for size in sizes:
        asyncio.run(measure(size))


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
