"""Answers of a server in trouble at real nodes: callers get whole answers or none."""

import asyncio
import socket
import socketserver
import struct

import pytest

from tests.platform_adapter.test_key_processes import run_system
from tests.platform_adapter.test_stop_processes import StoppedSystem

TIMEOUT_S = 2.0
EARLY_PATH = "early"
CLOSED_PATH = "closed"
SIZES = (3_000, 3_000_000)
PIECE_BYTES = 50_000


class _Handler(socketserver.StreamRequestHandler):
    """Answers with the status that the path names, or early and in part."""

    def handle(self):
        while head := self._read_head():
            path = head[0].split()[1]
            fields = dict(line.lower().split(": ", 1) for line in head[1:])
            last = path.rpartition("/")[2]
            echo = fields.get("request-id", "")
            lines = f"Response-Signature: s\r\nRequest-Id: {echo}\r\n"
            if last == EARLY_PATH:
                self.wfile.write(f"HTTP/1.1 200 OK\r\n{lines}\r\npart".encode())
                self._reset()
                return
            self.rfile.read(int(fields.get("content-length", 0)))
            if last == CLOSED_PATH:
                self.wfile.write(f"HTTP/1.1 200 OK\r\n{lines}\r\nwhole".encode())
                return
            status = last if last.isdigit() and len(last) == 3 else "200"
            answer = f"HTTP/1.1 {status} x\r\n{lines}Content-Length: 2\r\n\r\nok"
            self.wfile.write(answer.encode())

    def _read_head(self):
        lines = []
        while line := self.rfile.readline().decode().rstrip("\r\n"):
            lines.append(line)
        return lines

    def _reset(self):
        linger = struct.pack("ii", 1, 0)
        self.request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.request.close()


def make_system(folder):
    system = StoppedSystem(folder)
    system.server.RequestHandlerClass = _Handler
    return system


@pytest.fixture
def system(tmp_path, request):
    with run_system(tmp_path, request, "answers", make_system) as system:
        yield system


async def call(system, name, path, size=0, version="1.1", chunked=False):
    """Return the status that a caller gets, and what follows the head."""
    host, _, port = system.entry.partition(":")
    reader, writer = await asyncio.open_connection(host, port)
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
    head = (
        f"{'POST' if size else 'GET'} {path} HTTP/{version}\r\nHost: a.example\r\n"
        f"Request-Id: {name}\r\nConnection: close\r\n{framing}\r\n\r\n"
    )
    writer.write(head.encode())
    for sent in range(0, size, PIECE_BYTES):
        piece = b"x" * min(PIECE_BYTES, size - sent)
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked else piece)
        await writer.drain()
    writer.write(b"0\r\n\r\n" if chunked else b"")
    answer = await asyncio.wait_for(reader.read(), 2 * TIMEOUT_S)
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


def test_early_answer_that_is_reset_during_an_upload_reaches_no_caller(system):
    system.serve({"upload": TIMEOUT_S})
    cases = [
        (size, version, chunked)
        for size in SIZES
        for version, chunked in (("1.0", False), ("1.1", False), ("1.1", True))
    ]
    for number, case in enumerate(cases):
        path = f"/upload/{EARLY_PATH}"
        status, _ = asyncio.run(call(system, f"u{number}", path, *case))
        assert status in (502, 504), case
    # An answer without a length that ends with a close is complete.
    answer = asyncio.run(call(system, "closed", f"/upload/{CLOSED_PATH}", SIZES[0]))
    assert answer == (200, b"whole")


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_status_that_http_does_not_have_reaches_no_caller(system, kind):
    system.serve({kind: TIMEOUT_S})
    for status in ("000", "099", "600", "999"):
        path = f"/{kind}/{status}"
        got, body = asyncio.run(call(system, f"s{status}", path))
        assert got in (502, 504), (status, got, body)
    assert asyncio.run(call(system, "last", f"/{kind}/404"))[0] == 404
