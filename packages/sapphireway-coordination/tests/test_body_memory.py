import asyncio
import random

from sapphireway_coordination.gate._body_memory import BodyMemory
from sapphireway_protocol import Peers, ReserveBody, Run
from sapphireway_transport import MemoryBudget
from sapphireway_transport.memory import MemoryNetwork, run_paused

NODE = "node"
ROOM_BYTES = 1_000_000
BODY_BYTES = 600_000


def make_run(call):
    return Run("a", call, "s", "k", "POST", "/", [], False, 10, "", 1000.0, 1.0, "1")


class Bench:
    """A node with memory for one body, and two nodes that send to it."""

    def __init__(self):
        network = MemoryNetwork(random.Random(1))
        peers = {
            name: Peers(network.open_endpoint(name), name) for name in (NODE, *"ab")
        }
        for each in peers.values():
            each.start()
        self.senders = peers
        self.budget = MemoryBudget(ROOM_BYTES)
        self.memory = BodyMemory(peers[NODE], self.budget)

    async def reserve(self, sender, call="c", size=BODY_BYTES, hold_s=5.0):
        request = ReserveBody(call, size, hold_s)
        return (await self.senders[sender].request(NODE, request, 1.0)).message.granted


def test_body_is_refused_while_another_node_sends_one():
    async def run():
        bench = Bench()
        assert await bench.reserve("a")
        assert not await bench.reserve("b")
        assert bench.memory.take("a", make_run("c"), BODY_BYTES)
        assert not await bench.reserve("b")
        bench.memory.give_back("a", BODY_BYTES)
        assert await bench.reserve("b")

    run_paused(run())


def test_memory_of_a_body_that_does_not_come_is_given_back():
    async def run():
        bench = Bench()
        assert await bench.reserve("a", hold_s=5.0)
        await asyncio.sleep(4.9)
        assert not await bench.reserve("b")
        await asyncio.sleep(0.2)
        assert await bench.reserve("b")

    run_paused(run())


def test_repeated_reservation_counts_once():
    async def run():
        bench = Bench()
        assert await bench.reserve("a") and await bench.reserve("a")
        assert bench.budget.used_bytes == BODY_BYTES

    run_paused(run())


def test_body_that_came_unasked_is_refused_without_memory():
    async def run():
        bench = Bench()
        assert bench.memory.take("a", make_run("c"), BODY_BYTES)
        assert not bench.memory.take("b", make_run("d"), BODY_BYTES)
        assert bench.memory.take(NODE, make_run("e"), BODY_BYTES)
        assert bench.budget.used_bytes == BODY_BYTES

    run_paused(run())
