"""Connections that bring small pieces without end, and what they cost a process."""

import asyncio
import contextlib
import subprocess
import sys
import time
from pathlib import Path

TURN_MAX_S = 0.2  # the time in which the fastest kinds of request are to be answered
MEMORY_MAX_MB = 40

# Runs in a process of its own, as it would otherwise hold up the event loop. It opens
# or accepts connections and sends on all of them until each is closed.
FLOOD = """
import select, socket, sys
role, port, count, begin, piece = sys.argv[1:6]
begin, piece = bytes.fromhex(begin), bytes.fromhex(piece)
block = piece * (65536 // len(piece))
def flood(connections):
    while connections:
        for each in select.select([], connections, [], 1.0)[1]:
            try:
                each.send(block)
            except BlockingIOError:
                pass
            except OSError:
                connections.remove(each)
if role == "client":
    opened = []
    for _ in range(int(count)):
        each = socket.create_connection(("127.0.0.1", int(port)))
        each.sendall(begin)
        each.setblocking(False)
        opened.append(each)
    flood(opened)
else:
    server = socket.create_server(("127.0.0.1", 0), backlog=256)
    print(server.getsockname()[1], flush=True)
    opened = []
    for _ in range(int(count)):
        each = server.accept()[0]
        each.recv(65536)
        each.sendall(begin)
        each.setblocking(False)
        opened.append(each)
    flood(opened)
"""


@contextlib.contextmanager
def run_flood(role, port, count, begin, piece):
    arguments = [role, str(port), str(count), begin.hex(), piece.hex()]
    process = subprocess.Popen(
        [sys.executable, "-c", FLOOD, *arguments], stdout=subprocess.PIPE, text=True
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def read_memory_mb():
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 2**20


class Watch:
    """Measures the longest turn of the event loop and the growth of memory.

    A turn is measured in processor time, as others may run during a short one.
    """

    def __init__(self):
        self.longest_turn_s = 0.0
        self.begin_mb = self.peak_mb = read_memory_mb()

    async def run(self):
        while True:
            began_s = time.thread_time()
            await asyncio.sleep(0.001)
            turn_s = time.thread_time() - began_s
            self.longest_turn_s = max(self.longest_turn_s, turn_s)
            self.peak_mb = max(self.peak_mb, read_memory_mb())

    def check(self):
        """Fail if either is above its limit."""
        growth_mb = self.peak_mb - self.begin_mb
        assert growth_mb < MEMORY_MAX_MB, f"{growth_mb:.0f} MB more"
        longest_s = self.longest_turn_s
        assert longest_s < TURN_MAX_S, (
            f"a turn of the event loop took {longest_s:.2f} s"
        )
