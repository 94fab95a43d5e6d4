"""A process that keeps many rude connections open: python -m tests.crowds.crowd.

Arguments: host, port, connections, seconds, and how often a connection repeats what it
sends. Standard input has a line with what it begins with and one with what it repeats,
both in hexadecimal. A connection that is closed is opened again.
"""

import contextlib
import selectors
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parents[2]
BLOCK_BYTES = 64 * 1024


class Connection:
    """What one connection still has to send."""

    def __init__(self, address, begin, block, size):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.socket.connect(address)
        self.unsent, self.block, self.left = begin, block, size

    def send(self):
        """Send what the peer takes; return whether anything is left."""
        while self.unsent or self.left:
            if not self.unsent:
                self.unsent = self.block[: self.left]
                self.left -= len(self.unsent)
            try:
                sent = self.socket.send(self.unsent)
            except BlockingIOError:
                return True
            self.unsent = self.unsent[sent:]
        return False

    def is_closed(self):
        """Read what the peer has sent."""
        try:
            return not self.socket.recv(BLOCK_BYTES)
        except BlockingIOError:
            return False


def crowd(address, count, seconds, begin, piece, repeats):
    """Keep `count` connections open for some seconds."""
    selector = selectors.DefaultSelector()
    both = selectors.EVENT_READ | selectors.EVENT_WRITE
    block = piece * max(1, BLOCK_BYTES // max(1, len(piece)))

    def open_connection():
        opened = Connection(address, begin, block, len(piece) * repeats)
        selector.register(opened.socket, both, opened)

    for _ in range(count):
        open_connection()
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for key, events in selector.select(0.1):
            connection = key.data
            try:
                closed = events & selectors.EVENT_READ and connection.is_closed()
                if not closed and events & selectors.EVENT_WRITE:
                    if not connection.send():
                        selector.modify(key.fileobj, selectors.EVENT_READ, connection)
            except OSError:
                closed = True
            if closed:
                selector.unregister(key.fileobj)
                key.fileobj.close()
                open_connection()


@contextlib.contextmanager
def run_crowd(address, count, seconds, begin, piece, repeats):
    """Run a crowd at ``host:port`` in a process of its own."""
    host, _, port = address.rpartition(":")
    arguments = [host, port, count, seconds, repeats]
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.crowds.crowd", *map(str, arguments)],
        cwd=ROOT,
        stdin=subprocess.PIPE,
    )
    process.stdin.write(f"{begin.hex()}\n{piece.hex()}\n".encode())
    process.stdin.close()
    try:
        yield process
    finally:
        process.kill()
        process.wait()


if __name__ == "__main__":
    host, port, count, seconds, repeats = sys.argv[1:]
    begin, piece = (bytes.fromhex(line) for line in sys.stdin)
    address = (host, int(port))
    crowd(address, int(count), float(seconds), begin, piece, int(repeats))
