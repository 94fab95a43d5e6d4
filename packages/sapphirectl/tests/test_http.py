import contextlib
import socket
import struct
import threading
import time
from pathlib import Path

import pytest

from sapphirectl._http import NoResponse, Response, send_request

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
ENDLESS_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@contextlib.contextmanager
def serve_bytes(sent, *, resets=False):
    """Yield the address of a server that sends these bytes and closes."""

    def serve():
        connection, _ = listener.accept()
        with connection:
            connection.recv(4096)
            connection.sendall(sent)
            if resets:
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        yield "{}:{}".format(*listener.getsockname())
        thread.join()


def read_memory_mb():
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20


def send_to(address):
    return send_request(address, "GET", "/", None, None, 5.0)


@pytest.mark.parametrize("whole", [SIZED, CHUNKED], ids=["length", "chunks"])
def test_response_cut_at_any_byte_is_no_response(whole):
    # The body is complete once its last chunk, of size 0, has begun.
    end = whole.index(b"0\r\n\r\n") + 1 if whole is CHUNKED else len(whole)
    for count in range(end):
        with serve_bytes(whole[:count]) as address:
            response = send_to(address)
        assert isinstance(response, NoResponse), (whole[:count], response)
        assert response.sent


@pytest.mark.parametrize("whole", [SIZED, CHUNKED], ids=["length", "chunks"])
def test_whole_response_is_returned(whole):
    with serve_bytes(whole) as address:
        assert send_to(address) == Response(200, b"{}")


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_status_that_http_does_not_have_is_no_response(status):
    with serve_bytes(SIZED.replace(b"200", status)) as address:
        response = send_to(address)
    assert isinstance(response, NoResponse) and response.sent


MALFORMED_HEADS = {
    "blank in a name": b"HTTP/1.1 200 OK\r\nX A: 1\r\n",
    "SOH in a name": b"HTTP/1.1 200 OK\r\nX\x01A: 1\r\n",
    "a0 in a name": b"HTTP/1.1 200 OK\r\nX\xa0A: 1\r\n",
    "parenthesis in a name": b"HTTP/1.1 200 OK\r\nX(A): 1\r\n",
    "blank before the colon": b"HTTP/1.1 200 OK\r\nX : 1\r\n",
    "no name": b"HTTP/1.1 200 OK\r\n: 1\r\n",
    "blank first line": b"HTTP/1.1 200 OK\r\n X: 1\r\n",
    "continuation": b"HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n",
    "no colon": b"HTTP/1.1 200 OK\r\nX\r\n",
    "SOH in a value": b"HTTP/1.1 200 OK\r\nX: \x01\r\n",
    "CR in a value": b"HTTP/1.1 200 OK\r\nX: 1\r2\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
    "sign in the status": b"HTTP/1.1 +20 OK\r\n",
    "underscore in the status": b"HTTP/1.1 2_00 OK\r\n",
    "two blanks before the status": b"HTTP/1.1  200 OK\r\n",
    "unknown minor version": b"HTTP/1.2 200 OK\r\n",
    "SOH in the reason": b"HTTP/1.1 200 O\x01\r\n",
}
VALID_HEADS = {
    "token characters": b"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: 1\r\n",
    "letter above 7f in a value": b"HTTP/1.1 200 OK\r\nX: \xe9\t\r\n",
    "no value": b"HTTP/1.1 200 OK\r\nX:\r\n",
    "no reason": b"HTTP/1.1 200\r\n",
    "letter above 7f in the reason": b"HTTP/1.1 200 \xe9\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\n",
    "LF alone": b"HTTP/1.1 200 OK\nX: 1\n",
}
FRAMED = {
    "length": b"Content-Length: 2\r\n\r\n{}",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize("name", MALFORMED_HEADS)
def test_malformed_head_is_no_response(name, framing):
    """Some were taken for a response, others for one that was cut."""
    with serve_bytes(MALFORMED_HEADS[name] + FRAMED[framing]) as address:
        response = send_to(address)
    assert isinstance(response, NoResponse) and response.sent
    assert "malformed response, line " in response.detail


@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize("name", VALID_HEADS)
def test_valid_odd_head_is_a_response(name, framing):
    with serve_bytes(VALID_HEADS[name] + FRAMED[framing]) as address:
        assert send_to(address) == Response(200, b"{}")


@pytest.mark.parametrize("resets", [True, False])
def test_response_without_length_is_no_response(resets):
    sent = b"HTTP/1.1 200 OK\r\n\r\n{}"
    with serve_bytes(sent, resets=resets) as address:
        assert isinstance(send_to(address), NoResponse)


@pytest.mark.parametrize(
    ("begin", "piece"),
    [
        (ENDLESS_CHUNKS, b"1\r\nx\r\n"),
        (ENDLESS_CHUNKS, b"2\r\nxx\r\n"),
        (ENDLESS_CHUNKS + b"0\r\n", b"A: b\r\n"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    ],
    ids=["1 byte", "2 bytes", "trailers", "interim", "headers", "no length"],
)
def test_response_without_end_is_given_up(begin, piece):
    """The command ran until it was ended, or took all memory."""

    def flood(server):
        connection, _ = server.accept()
        with contextlib.suppress(OSError):
            connection.recv(65536)
            connection.sendall(begin)
            while True:
                connection.sendall(piece * 10_000)

    with socket.create_server(("127.0.0.1", 0)) as server:
        threading.Thread(target=flood, args=(server,), daemon=True).start()
        address = f"127.0.0.1:{server.getsockname()[1]}"
        began_mb, began_s = read_memory_mb(), time.monotonic()
        response = send_request(address, "GET", "/", None, None, 0.2)
        assert isinstance(response, NoResponse)
        assert time.monotonic() - began_s < 10.0
        assert read_memory_mb() - began_mb < 100.0
