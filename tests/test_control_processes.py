"""Control hosts as processes that are killed, frozen or lose their data folder."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys

import msgspec
import pytest

from sapphireway_coordination import (
    Committed,
    ControlClient,
    ControlHostList,
    ReadResult,
)
from sapphireway_protocol import Peers
from sapphireway_transport import ZmqEndpoint
from tests.evidence import Timeline, keep_evidence

TIMEOUT_S = 20.0


def find_free_addresses(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for opened in sockets:
        opened.close()
    return addresses


class ControlHostProcesses:
    def __init__(self, folder):
        self.folder = folder
        *self.hosts, self.client_address = find_free_addresses(4)
        self.running = {}
        self.timeline = Timeline()

    def start(self, host):
        arguments = [host, str(self.get_folder(host)), *self.hosts]
        command = [sys.executable, "-m", "tests.control_process", *arguments]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self.timeline.record("start", process=host)
        with (self.folder / f"{host.rsplit(':')[-1]}.log").open("ab") as log:
            self.running[host] = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )

    def get_folder(self, host):
        return self.folder / host.rsplit(":")[-1]

    def kill(self, host):
        self.timeline.record("kill", process=host)
        process = self.running.pop(host)
        process.kill()
        process.wait()

    def signal(self, host, number):
        self.timeline.record("signal", process=host, signal=int(number))
        self.running[host].send_signal(number)


@pytest.fixture
def processes(tmp_path):
    processes = ControlHostProcesses(tmp_path)
    for host in processes.hosts:
        processes.start(host)
    yield processes
    for host in list(processes.running):
        processes.kill(host)


async def propose(client, *commands):
    for command in commands:
        outcome = await client.propose(command, TIMEOUT_S)
        assert isinstance(outcome, Committed), outcome
    return list(commands)


async def read(client):
    answer = await client.read(b"", TIMEOUT_S)
    assert isinstance(answer, ReadResult), answer
    return msgspec.msgpack.decode(answer.data, type=tuple[list[bytes], str, list[str]])


async def run_with_client(processes, run):
    peers = Peers(ZmqEndpoint(processes.client_address), "client")
    peers.start()
    try:
        await run(
            ControlClient(peers, ControlHostList(processes.hosts), random.Random(1))
        )
    except BaseException:
        processes.timeline.record("failed")
        kept = keep_evidence(processes.folder, "control-hosts", processes.timeline)
        print(f"evidence: {kept}")
        raise
    finally:
        peers.close()


def test_committed_commands_survive_kill_freeze_and_loss_of_data_folders(processes):
    async def run(client):
        commands = await propose(client, *(b"a%d" % i for i in range(200)))

        leader = (await read(client))[1]
        processes.signal(leader, signal.SIGSTOP)
        commands += await propose(client, b"while frozen")
        leader_client = ControlClient(
            client._peers, ControlHostList([leader]), random.Random(2)
        )
        reading = asyncio.create_task(read(leader_client))
        await asyncio.sleep(0.1)
        processes.signal(leader, signal.SIGCONT)
        assert (await reading)[0] == commands

        for host in processes.hosts:
            processes.kill(host)
        for host in processes.hosts:
            processes.start(host)
        assert (await read(client))[0] == commands

        _, leader, voters = await read(client)
        wiped, other = [host for host in processes.hosts if host != leader]
        processes.kill(wiped)
        shutil.rmtree(processes.get_folder(wiped))
        commands += await propose(client, b"while lost")
        processes.start(wiped)
        await wait_for_new_voter(client, voters)
        processes.kill(other)
        shutil.rmtree(processes.get_folder(other))
        assert (await read(client))[0] == commands
        await propose(client, b"after the second loss")

    async def wait_for_new_voter(client, voters_before):
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                voters = (await read(client))[2]
                if len(voters) == 3 and set(voters) != set(voters_before):
                    return
                await asyncio.sleep(0.05)

    asyncio.run(run_with_client(processes, run))
