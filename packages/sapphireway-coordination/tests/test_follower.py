import asyncio
import random

import pytest

from sapphireway_coordination import SettingsFollower
from sapphireway_protocol import Peers, Probe
from sapphireway_transport.memory import MemoryNetwork, run_paused


@pytest.fixture
def network():
    return MemoryNetwork(random.Random(1))


class Node:
    def __init__(self, network, address):
        self.applied = []
        self.follower = None
        self.peers = Peers(
            network.open_endpoint(address),
            address,
            lambda: self.follower.version if self.follower else 0,
        )
        self.follower = SettingsFollower(self.peers, self.apply, lambda: 0.0)
        self.peers.observe = self.follower.observe
        self.peers.start()

    def apply(self, version, data):
        if data == b"unreadable":
            raise ValueError("unreadable settings")
        self.applied.append((version, data))


def test_newer_version_spreads_along_any_message(network):
    async def run():
        nodes = [Node(network, f"n{i}") for i in range(5)]
        nodes[0].follower.put_in_force(7, b"seven")
        for i in range(4):
            nodes[i].peers.send(f"n{i + 1}", Probe("s"))
            await asyncio.sleep(0.1)
        return [node.applied for node in nodes]

    assert run_paused(run()) == [[(7, b"seven")]] * 5


def test_older_version_is_never_applied(network):
    async def run():
        node = Node(network, "n0")
        node.follower.put_in_force(7, b"seven")
        return node.follower.put_in_force(6, b"six"), node.applied

    assert run_paused(run()) == (False, [(7, b"seven")])


def test_unreadable_settings_change_nothing(network):
    async def run():
        old, new = Node(network, "old"), Node(network, "new")
        old.follower.put_in_force(3, b"three")
        new.apply = None
        new.follower._apply = lambda version, data: None
        new.follower.put_in_force(9, b"unreadable")
        new.peers.send("old", Probe("s"))
        await asyncio.sleep(0.1)
        return old.follower.version, old.applied

    assert run_paused(run()) == (3, [(3, b"three")])
