"""A control host as a process of its own.

Usage: ``python -m tests.control_process ADDRESS FOLDER CONTROL_HOST...``

Its state machine is a list of commands. A query returns the list, the address of the
host that answers, and the disk ids of the voters.
"""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

import msgspec

from sapphireway_coordination import Quorum, QuorumSettings
from sapphireway_protocol import Peers
from sapphireway_state import JournalLimits
from sapphireway_transport import FileDisk, ZmqEndpoint
from tests.quorum_cluster import ListMachine

STATUS_INTERVAL_S = 0.02
SETTINGS = QuorumSettings(
    heartbeat_s=0.12,
    election_min_s=0.5,
    election_max_s=1.0,
    start_retry_s=0.25,
    limits=JournalLimits(segment_bytes=4_096, compact_bytes=12_288),
)


async def run(address, folder, hosts):
    peers = Peers(ZmqEndpoint(address), address)
    peers.start()
    disk = FileDisk(Path(folder))
    machine = ListMachine({}, 0)
    rng = random.Random(f"{address}{random.SystemRandom().random()}")
    quorum = Quorum(peers, disk, machine, hosts, rng, SETTINGS, bootstrap=True)

    def query(_):
        status = quorum.get_status()
        voters = [voter.disk_id for voter in status.voters]
        return msgspec.msgpack.encode((machine.commands, address, voters))

    quorum.serve_queries(query)
    logging = asyncio.create_task(log_status(quorum))
    await quorum.start()
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    logging.cancel()
    await quorum.stop()
    peers.close()
    disk.close()


async def log_status(quorum):
    """Print the status whenever it changes, on the clock of the test's timeline."""
    previous = None
    while True:
        status = quorum.get_status()
        line = (
            f"{status.role} term={status.term} leader={status.leader} "
            f"commit={status.commit_index} last={status.last_index} "
            f"voters={[voter.address for voter in status.voters]} "
            f"disk={status.disk} {status.detail}"
        )
        if line != previous:
            print(f"{time.monotonic():.3f} {line}", flush=True)
        previous = line
        await asyncio.sleep(STATUS_INTERVAL_S)


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], sys.argv[2], sys.argv[3:]))
