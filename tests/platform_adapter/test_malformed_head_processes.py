"""Heads with a malformed line at real nodes: no such line or answer reaches callers.

Requests go to the node beside the server and to another one, on connections that the
server keeps open.
"""

import asyncio
import collections
import contextlib
import socketserver

import pytest

from tests.platform_adapter.test_key_processes import run_system
from tests.platform_adapter.test_stop_processes import StoppedSystem

TIMEOUT_S = 2.0
BODY = b"some text of a server"
CHUNKS = b"9\r\nsome text\r\nc\r\n of a server\r\n0\r\n\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
CODING = b"Transfer-Encoding: chunked\r\n"
SIGNED = b"<signed>"  # stands for the lines by which an answer counts
OK = b"HTTP/1.1 200 OK\r\n" + SIGNED
FULL = b"HTTP/1.1 503 Full\r\n" + SIGNED + b"Request-Not-Executed: 1\r\n"
FAILED = b"HTTP/1.1 500 Failed\r\n" + SIGNED
HINTS = b"HTTP/1.1 103 Early Hints\r\n"
UPLOAD_SIZES = (3_000, 300_000)

MALFORMED = {
    "blank": OK + b"X A: 1\r\n" + LENGTH,
    "tab": OK + b"X\tA: 1\r\n" + LENGTH,
    "control": OK + b"X\x01A: 1\r\n" + LENGTH,
    "escape": OK + b"X\x1bA: 1\r\n" + LENGTH,
    "delete": OK + b"X\x7fA: 1\r\n" + LENGTH,
    "a0": OK + b"X\xa0A: 1\r\n" + LENGTH,
    "blank-end": OK + b"X-A : 1\r\n" + LENGTH,
    "blank-begin": b"HTTP/1.1 200 OK\r\n X-A: 1\r\n" + SIGNED + LENGTH,
    "no-name": OK + b": 1\r\n" + LENGTH,
    "length": OK + b"Content-Length : 5\r\n" + LENGTH,
    "id": OK + b"Request-Id : other\r\n" + LENGTH,
    "value": OK + b"X-A: 1\x01\r\n" + LENGTH,
    "coding": OK + b"Transfer-Encoding : chunked\r\n",
    "coding-tab": OK + b"Transfer-Encoding\t: chunked\r\n",
    "coding-blank": OK + b"Transfer Encoding: chunked\r\n",
    "failed": FAILED + b"X A: 1\r\n" + LENGTH,
    "full": FULL + b"X A: 1\r\n" + LENGTH,
    "interim": HINTS + b"X A: 1\r\n\r\n" + OK + LENGTH,
    "four-digits": OK.replace(b"200", b"2000") + LENGTH,
    "no-blank": OK.replace(b"200 ", b"200") + LENGTH,
    "version": OK.replace(b"1.1", b"2.0") + LENGTH,
    "reason": OK.replace(b"OK", b"O\x01K") + LENGTH,
    "chunks-and-length": OK + CODING + LENGTH,
    "chunks-twice": OK + CODING * 2,
}
CONTINUED = {
    "continued": OK + b"X-A: 1\r\n X-B: 2\r\n" + LENGTH,
    "continued-id": OK + LENGTH + b"\tX-A: 1\r\n",
    "coding-continued": b"HTTP/1.1 200 OK\r\nX-A: 1\r\n " + CODING + SIGNED,
}
VALID = {
    "no-reason": OK.replace(b" OK", b"") + LENGTH,
    "high-reason": OK.replace(b"OK", b"\xe9") + LENGTH,
    "old": OK.replace(b"1.1", b"1.0") + LENGTH,
    "token": OK + b"!#$%&'*+-.^_`|~0aZ: 1\r\n" + LENGTH,
    "high": OK + b"X-A: \xe9\t\r\n" + LENGTH,
    "empty": OK + b"X-A:\r\n" + LENGTH,
    "lf": (OK + b"X-A: 1\r\n" + LENGTH).replace(b"\r\n", b"\n"),
    "hints": HINTS + b"Link: a\r\n\r\n" + OK + LENGTH,
    "chunks": OK + CODING,
    "failure": FAILED + LENGTH,
}
ANSWERS = MALFORMED | CONTINUED | VALID


class _Handler(socketserver.StreamRequestHandler):
    """Sends the head that the last part of the path names, and keeps the connection."""

    runs = None

    def handle(self):
        with contextlib.suppress(OSError):
            while head := self._read_head():
                path = head[0].split()[1]
                fields = dict(line.lower().split(": ", 1) for line in head[1:])
                self.rfile.read(int(fields.get("content-length", 0)))
                name = path.rpartition("/")[2]
                request_id = fields.get("request-id", "")
                self.runs[request_id] += not path.startswith("/health")
                signed = f"Response-Signature: s\r\nRequest-Id: {request_id}\r\n"
                head = ANSWERS.get(name, OK + LENGTH).replace(SIGNED, signed.encode())
                body = CHUNKS if name.startswith(("coding", "chunks")) else BODY
                self.wfile.write(head + b"\r\n" + body)
                if name.startswith("coding"):
                    return  # no length is left to tell where the body ends

    def _read_head(self):
        lines = []
        while line := self.rfile.readline().decode().rstrip("\r\n"):
            lines.append(line)
        return lines


def make_system(folder):
    system = StoppedSystem(folder)
    system.runs = collections.Counter()
    system.server.RequestHandlerClass = type("Handler", (_Handler,), {})
    system.server.RequestHandlerClass.runs = system.runs
    return system


@pytest.fixture
def system(tmp_path, request):
    with run_system(tmp_path, request, "malformed-heads", make_system) as system:
        yield system


async def call(address, name, path, size=0):
    """Return status, head and body that a caller gets."""
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, port)
    head = (
        f"{'POST' if size else 'GET'} {path} HTTP/1.1\r\nHost: a.example\r\n"
        f"Request-Id: {name}\r\nConnection: close\r\nContent-Length: {size}\r\n\r\n"
    )
    writer.write(head.encode() + bytes(size))
    answer = await asyncio.wait_for(reader.read(), 2 * TIMEOUT_S)
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), head, body


def list_entries(system):
    return (system.entry, f"{system.server_host}:8147")


def list_faults(system, kind, size, names):
    """Return the requests that got an answer with a malformed line, or harmed others.

    The request after each gets its own answer, on another connection.
    """
    faults = []
    for number, name in enumerate(names):
        for entry in list_entries(system):
            request_id = f"{kind}-{size}-{number}-{entry}"
            path = f"/{kind}/{name}"
            status, head, body = asyncio.run(call(entry, request_id, path, size))
            after = asyncio.run(call(entry, f"{request_id}-after", f"/{kind}/0"))
            is_signed = b"Response-Signature" in head
            runs = system.runs[request_id]
            if status not in (502, 504) or is_signed or runs != 1:
                faults.append((name, status, runs, body))
            if after[0] != 200 or after[2] != BODY:
                faults.append((f"after {name}", after))
    return faults


KINDS = [("idempotent", 0), ("non_idempotent", 0)]
KINDS += [("non_idempotent", size) for size in UPLOAD_SIZES]
KINDS += [("upload", size) for size in UPLOAD_SIZES]


@pytest.mark.parametrize(("kind", "size"), KINDS)
def test_malformed_head_reaches_no_caller(system, kind, size):
    """Callers got the line, raw chunks as the body, or an unproved refusal."""
    system.serve({kind: TIMEOUT_S})
    assert not list_faults(system, kind, size, MALFORMED)
    log = (system.folder / "beside.log").read_text()
    assert log.count("malformed answer") >= 2 * len(MALFORMED)


@pytest.mark.parametrize(("kind", "size"), KINDS)
def test_continuation_line_reaches_no_caller(system, kind, size):
    """Callers got a field that holds the next one, or raw chunks as the body."""
    system.serve({kind: TIMEOUT_S})
    assert not list_faults(system, kind, size, CONTINUED)
    log = (system.folder / "beside.log").read_text()
    assert log.count("malformed answer") >= 2 * len(CONTINUED)


def test_valid_odd_head_reaches_its_caller(system):
    system.serve({"non_idempotent": TIMEOUT_S})
    for name, begin in VALID.items():
        for entry in list_entries(system):
            path = f"/non_idempotent/{name}"
            status, head, body = asyncio.run(call(entry, f"{name}-{entry}", path, 1))
            assert status == int(begin.rpartition(b"HTTP/1.")[2][2:5]), (name, head)
            assert b"Response-Signature: s" in head and body == BODY, (name, head)
