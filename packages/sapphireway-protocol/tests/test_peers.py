import asyncio
import random

import pytest

from sapphireway_protocol import Peers, Probe, ProbeReply
from sapphireway_transport.memory import MemoryNetwork, run_paused


@pytest.fixture
def network():
    return MemoryNetwork(random.Random(1))


def open_peers(network, address):
    peers = Peers(network.open_endpoint(address), incarnation=address)
    peers.start()
    return peers


def test_request_returns_reply(network):
    async def exchange():
        asking, answering = open_peers(network, "a"), open_peers(network, "b")
        answering.handle(
            Probe,
            lambda sender, envelope: answering.reply(
                sender, envelope, ProbeReply(None), b"body"
            ),
        )
        return await asking.request("b", Probe("s"), timeout_s=1.0)

    reply = run_paused(exchange())
    assert reply.message == ProbeReply(None)
    assert reply.body == b"body"
    assert reply.incarnation == "b"


def test_request_times_out_on_cut(network):
    async def exchange():
        asking = open_peers(network, "a")
        open_peers(network, "b")
        network.cut("a", "b")
        return await asking.request("b", Probe("s"), timeout_s=1.0)

    assert run_paused(exchange()) is None


def test_request_to_nobody_fails_at_once(network):
    async def exchange():
        return await open_peers(network, "a").request("b", Probe("s"), timeout_s=1.0)

    assert run_paused(exchange()) is None


def test_restarted_process_takes_no_reply_to_the_one_before(network):
    async def exchange():
        answering = open_peers(network, "b")
        answering.handle(
            Probe,
            lambda sender, envelope: answering.reply(
                sender, envelope, ProbeReply(None), envelope.message.server.encode()
            ),
        )
        before = Peers(network.open_endpoint("a"), incarnation="a/1")
        before.start()
        lost = asyncio.create_task(before.request("b", Probe("old"), timeout_s=1.0))
        await asyncio.sleep(0)
        before.close()
        after = Peers(network.open_endpoint("a"), incarnation="a/2")
        after.start()
        await asyncio.sleep(0.0001)
        reply = await after.request("b", Probe("new"), timeout_s=1.0)
        return await lost, reply

    lost, reply = run_paused(exchange())
    assert lost is None
    assert reply.body == b"new"


def test_malformed_message_is_counted(network):
    async def exchange():
        peers = open_peers(network, "a")
        peers._receive("b", [b"\xc1"])
        return peers.malformed

    assert run_paused(exchange()) == 1
