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
        requester, responder = open_peers(network, "a"), open_peers(network, "b")
        responder.handle(
            Probe,
            lambda sender, envelope: responder.reply(
                sender, envelope, ProbeReply(None), b"body"
            ),
        )
        return await requester.request("b", Probe("s"), timeout_s=1.0)

    reply = run_paused(exchange())
    assert reply.message == ProbeReply(None)
    assert reply.body == b"body"
    assert reply.incarnation == "b"


def test_request_times_out_on_cut_link(network):
    async def exchange():
        requester = open_peers(network, "a")
        open_peers(network, "b")
        network.cut("a", "b")
        return await requester.request("b", Probe("s"), timeout_s=1.0)

    assert run_paused(exchange()) is None


def test_request_to_unknown_address_fails_at_once(network):
    async def exchange():
        return await open_peers(network, "a").request("b", Probe("s"), timeout_s=1.0)

    assert run_paused(exchange()) is None


def test_restarted_process_ignores_reply_to_its_predecessor(network):
    async def exchange():
        responder = open_peers(network, "b")
        responder.handle(
            Probe,
            lambda sender, envelope: responder.reply(
                sender, envelope, ProbeReply(None), envelope.message.server.encode()
            ),
        )
        predecessor = Peers(network.open_endpoint("a"), incarnation="a/1")
        predecessor.start()
        pending = asyncio.create_task(
            predecessor.request("b", Probe("old"), timeout_s=1.0)
        )
        await asyncio.sleep(0)
        predecessor.close()
        successor = Peers(network.open_endpoint("a"), incarnation="a/2")
        successor.start()
        await asyncio.sleep(0.0001)
        reply = await successor.request("b", Probe("new"), timeout_s=1.0)
        return await pending, reply

    lost_reply, reply = run_paused(exchange())
    assert lost_reply is None
    assert reply.body == b"new"


def test_malformed_message_is_counted(network):
    async def exchange():
        peers = open_peers(network, "a")
        peers._receive("b", [b"\xc1"])
        return peers.malformed_count

    assert run_paused(exchange()) == 1


def test_late_reply_reaches_its_handler(network):
    async def exchange():
        requester, responder = open_peers(network, "a"), open_peers(network, "b")
        late = []
        requester.handle_late_reply(ProbeReply, lambda *reply: late.append(reply))
        responder.handle(
            Probe,
            lambda sender, envelope: asyncio.get_running_loop().call_later(
                0.5, responder.reply, sender, envelope, ProbeReply(None), b"body"
            ),
        )
        reply = await requester.request("b", Probe("s"), timeout_s=0.1)
        await asyncio.sleep(1.0)
        return reply, [(sender, envelope.body) for sender, envelope in late]

    assert run_paused(exchange()) == (None, [("b", b"body")])
