import contextlib
import socket
import threading

import pytest

from sapphirectl._http import NoResponse, Response, send_request

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@contextlib.contextmanager
def serve_bytes(sent):
    """Yield the address of a server that sends these bytes and closes."""

    def serve():
        connection, _ = listener.accept()
        with connection:
            connection.recv(4096)
            connection.sendall(sent)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        yield "{}:{}".format(*listener.getsockname())
        thread.join()


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
