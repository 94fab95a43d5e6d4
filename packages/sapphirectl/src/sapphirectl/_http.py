"""HTTP requests to the admin address of a node."""

import contextlib
import http.client
import io
import ipaddress
import socket
import threading
from dataclasses import dataclass

from sapphireway_transport import (
    Malformed,
    decode_line,
    read_field_line,
    read_status_line,
)

RESPONSE_MAX_BYTES = 64 * 1024 * 1024
READ_MAX_BYTES = 64 * 1024
# For a whole response, which may be large; the timeout only limits each wait.
RESPONSE_TIMEOUTS_MAX = 6


@dataclass(slots=True, frozen=True)
class Response:
    """Complete response of a node."""

    status: int
    body: bytes


@dataclass(slots=True, frozen=True)
class NoResponse:
    """Request without a complete response.

    Attributes
    ----------
    detail : str
    sent : bool
        Whether the node may have received the request.
    """

    detail: str
    sent: bool


class _HeadReader:
    """Passes on the lines of a response's heads, each only if it is well-formed."""

    __slots__ = ("_file", "_in_head", "_line_count")

    def __init__(self, file):
        self._file = file
        self._in_head = False
        self._line_count = 0

    def readline(self, limit):
        line = self._file.readline(limit)
        self._line_count += 1
        if line.endswith(b"\n"):  # otherwise it is cut or too long
            self._check(decode_line(line))
        return line

    def close(self):
        self._file.close()

    def _check(self, line):
        if self._in_head and not line:
            self._in_head = False
            return
        result = read_field_line(line) if self._in_head else read_status_line(line)
        self._in_head = True
        if isinstance(result, Malformed):
            raise http.client.HTTPException(
                f"malformed response, line {self._line_count}: {result.detail}"
            )


class _CheckedResponse(http.client.HTTPResponse):
    """Rejects malformed lines, of which `http.client` passes over some."""

    def begin(self):
        file = self.fp
        self.fp = _HeadReader(file)
        try:
            super().begin()
        finally:
            if self.fp is not None:  # the response has not ended
                self.fp = file


def send_request(
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    token: str | None,
    timeout_s: float,
) -> Response | NoResponse:
    """Send one request to a node, bypassing any proxy."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()):
        return NoResponse(f"{address}: not host:port", sent=False)
    connection = http.client.HTTPConnection(
        _strip_brackets(host), int(port), timeout=timeout_s
    )
    connection.response_class = _CheckedResponse
    sent = False
    try:
        connection.connect()
        sent = True
        with _limit_time(connection, RESPONSE_TIMEOUTS_MAX * timeout_s) as has_ended:
            connection.request(method, path, body, _make_headers(token))
            response = connection.getresponse()
            has_end = response.chunked or response.length is not None
            content = _read_content(response)
        if has_ended.is_set():
            return NoResponse(f"{address}: the response has no end", sent)
        # `read` with a limit reports no error if the connection ends early.
        if not has_end or response.length or content is None:
            return NoResponse(f"{address}: the response is incomplete", sent)
    except (OSError, ValueError, http.client.HTTPException) as error:
        return NoResponse(f"{address}: {error or type(error).__name__}", sent)
    finally:
        connection.close()
    return Response(response.status, content)


@contextlib.contextmanager
def _limit_time(connection, limit_s):
    """End the connection after a time; yields an event that is set then.

    `http.client` follows interim responses and trailers for as long as they come.
    """
    has_ended = threading.Event()
    open_socket = connection.sock

    def end():
        has_ended.set()
        with contextlib.suppress(OSError):
            open_socket.shutdown(socket.SHUT_RDWR)

    timer = threading.Timer(limit_s, end)
    timer.daemon = True
    timer.start()
    try:
        yield has_ended
    finally:
        timer.cancel()


def _read_content(response):
    """Return the content; None if it is larger than allowed.

    `read` would collect the chunks in a list, in which small ones take many times their
    size. `read1` returns each as it comes, but needs not notice the end of a response
    with a length.
    """
    read = response.read1 if response.chunked else response.read
    content = io.BytesIO()
    while content.tell() <= RESPONSE_MAX_BYTES:
        piece = read(READ_MAX_BYTES)
        if not piece:
            return content.getvalue()
        content.write(piece)
    return None


def _make_headers(token):
    headers = {"Accept": "application/json", "Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    return headers


def _strip_brackets(host):
    try:
        return str(ipaddress.ip_address(host.strip("[]")))
    except ValueError:
        return host
