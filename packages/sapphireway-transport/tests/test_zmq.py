import asyncio
import resource
import socket
import subprocess
import sys

import pytest
import zmq
from tests.flood import Watch

from sapphireway_transport import ZmqEndpoint
from sapphireway_transport._zmq import PENDING_MAX_S

STANDARD_DESCRIPTORS = 3
# A peer of protocol ZMTP 3.0 without security, byte by byte: one message, and then
# frames of one that has no end.
ENDLESS_PEER = """
import socket, sys, time
peer = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
signature, mechanism = b"\\xff" + bytes(7) + b"\\x01\\x7f", b"NULL".ljust(20, b"\\0")
peer.sendall(signature + b"\\x03\\x00" + mechanism + bytes(32))
time.sleep(0.2)
peer.sendall(
    b"\\x04\\x2d\\x05READY\\x0bSocket-Type\\x00\\x00\\x00\\x06DEALER"
    b"\\x08Identity\\x00\\x00\\x00\\x04peer"
)
time.sleep(0.2)
peer.sendall(b"\\x00\\x05hello")
for _ in range(128):
    peer.sendall(b"\\x01\\x02xx" * 16_384)
time.sleep(10.0)
"""
RECOVERY_MAX_MS = 3000  # a host must be reachable again within a lease time


def test_connection_to_silent_host_is_closed_and_reopened():
    """The kernel closes a connection without acknowledgements; libzmq reconnects.

    A host without power can't be simulated on loopback, so the test checks the
    socket options that make the kernel and libzmq do so.
    """

    async def run():
        endpoint = ZmqEndpoint("127.0.0.1:0")
        endpoint._loop = asyncio.get_running_loop()
        endpoint.connect("127.0.0.1:9")
        peer_socket = endpoint._connections["127.0.0.1:9"].socket
        options = (zmq.TCP_MAXRT, zmq.CONNECT_TIMEOUT, zmq.RECONNECT_IVL_MAX)
        times_ms = [peer_socket.getsockopt(option) for option in options]
        endpoint.close()
        return times_ms

    times_ms = asyncio.run(run())
    assert all(time_ms > 0 for time_ms in times_ms)
    assert sum(times_ms) < RECOVERY_MAX_MS


@pytest.mark.parametrize("sender_identity", [None, b"\xff\xfe"])
def test_messages_without_valid_sender_do_not_block_others(sender_identity):
    """A peer without an identity gets one from libzmq that begins with a zero byte."""

    async def run():
        address = f"127.0.0.1:{find_free_port()}"
        endpoint = ZmqEndpoint(address)
        received, failures = [], []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))
        endpoint.start(lambda sender, frames: received.append((sender, frames)))
        context = zmq.Context()
        try:
            for identity, count in ((sender_identity, 3), (b"peer", 1)):
                dealer = context.socket(zmq.DEALER)
                if identity is not None:
                    dealer.setsockopt(zmq.IDENTITY, identity)
                dealer.connect(f"tcp://{address}")
                for _ in range(count):
                    dealer.send_multipart([b"hello"])
                await asyncio.sleep(0.1)
            async with asyncio.timeout(5.0):
                while ("peer", [b"hello"]) not in received:
                    await asyncio.sleep(0.01)
        finally:
            context.destroy(linger=0)
            endpoint.close()
        return received, failures

    received, failures = asyncio.run(run())
    assert not failures
    assert all(sender == "peer" or not sender.isascii() for sender, _ in received)


def test_send_without_free_descriptors_fails_until_there_are_some():
    """An exception here would end the background task that sends, and the process."""

    async def run():
        address = f"127.0.0.1:{find_free_port()}"
        receiver, sender = ZmqEndpoint(address), ZmqEndpoint("127.0.0.1:0")
        received = []
        receiver.start(lambda _, frames: received.append(frames))
        sender._loop = asyncio.get_running_loop()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        try:
            sender.connect("127.0.0.1:9")
            resource.setrlimit(resource.RLIMIT_NOFILE, (STANDARD_DESCRIPTORS, hard))
            sender.connect(address)
            refused = [sender.send(address, [b"lost"]) for _ in range(3)]
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            assert sender.send(address, [b"hello"])
            async with asyncio.timeout(5.0):
                while [b"hello"] not in received:
                    await asyncio.sleep(0.01)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            sender.close()
            receiver.close()
        return refused

    assert asyncio.run(run()) == [False] * 3


def test_messages_are_read_on_after_a_receiver_raised():
    """The descriptor is edge-triggered: nothing would wake the reader again."""

    async def run():
        address = f"127.0.0.1:{find_free_port()}"
        endpoint, peer = ZmqEndpoint(address), ZmqEndpoint("127.0.0.1:9")
        received, failures = [], []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))

        def receive(sender, frames):
            received.append(frames)
            if frames == [b"bad"]:
                raise ValueError("bad")

        endpoint.start(receive)
        peer._loop = loop
        try:
            for content in (b"bad", *[b"good"] * 5):
                peer.send(address, [content])
            await asyncio.sleep(1.0)
        finally:
            peer.close()
            endpoint.close()
        return received, failures

    received, failures = asyncio.run(run())
    assert received == [[b"bad"], *[[b"good"]] * 5]
    assert len(failures) == 1


def find_free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@pytest.mark.parametrize("peer", ["", "a", "10.0.0.1:99999", "\0", "[::1"])
def test_message_to_a_peer_without_a_valid_address_is_dropped(peer):
    """Another host's list names the peers; the error ended the task that read it."""

    async def run():
        endpoint = ZmqEndpoint("127.0.0.1:0")
        endpoint._loop = asyncio.get_running_loop()
        endpoint.connect(peer)
        endpoint.send(peer, [b"hello"])
        await asyncio.sleep(PENDING_MAX_S + 0.1)
        pending = [each.pending for each in endpoint._connections.values()]
        endpoint.close()
        return pending

    assert not any(asyncio.run(run()))


def test_message_of_many_frames_is_dropped_and_others_are_received():
    async def run():
        address = f"127.0.0.1:{find_free_port()}"
        endpoint = ZmqEndpoint(address)
        received = []
        endpoint.start(lambda sender, frames: received.append(frames))
        context = zmq.Context()
        try:
            dealer = context.socket(zmq.DEALER)
            dealer.setsockopt(zmq.IDENTITY, b"peer")
            dealer.connect(f"tcp://{address}")
            dealer.send_multipart([b"xx"] * 20_000)
            dealer.send_multipart([b"head", b"body"])
            async with asyncio.timeout(5.0):
                while not received:
                    await asyncio.sleep(0.01)
        finally:
            context.destroy(linger=0)
            endpoint.close()
        return received

    assert asyncio.run(run()) == [[b"head", b"body"]]


def test_message_without_end_takes_a_bounded_share_of_memory():
    """Libzmq collects all frames of a message before it hands over the first."""

    async def run():
        address = f"127.0.0.1:{find_free_port()}"
        endpoint = ZmqEndpoint(address)
        received = []
        endpoint.start(lambda sender, frames: received.append(frames))
        watch = Watch()
        watching = asyncio.create_task(watch.run())
        port = address.rpartition(":")[2]
        process = subprocess.Popen([sys.executable, "-c", ENDLESS_PEER, port])
        await asyncio.sleep(3.0)
        process.kill()
        process.wait()
        watching.cancel()
        endpoint.close()
        assert received == [[b"hello"]]
        watch.check()

    asyncio.run(run())
