"""HTTP to the server beside the node over libcurl's multi interface.

The event loop's socket and timer callbacks drive libcurl directly and easy handles
are kept and used again, which costs a fraction of tornado's curl client a call.
"""

import asyncio

import pycurl

from sapphireway_transport._server import (
    Broken,
    NotSent,
    Responded,
    ServerRequest,
    ServerResult,
)

CONNECTIONS_MAX = 200
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_MAX_S = 20
MS_PER_S = 1000

_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_BODILESS_STATUSES = frozenset({204, 304})
_OWN_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# An empty value removes a header that libcurl would add by itself.
_SUPPRESSED_HEADERS = {
    "accept": b"Accept:",
    "content-type": b"Content-Type:",
    "expect": b"Expect:",
    "user-agent": b"User-Agent:",
}
# The last two are libcurl's attempt to send again after the server closed a kept
# connection: it could not connect any more, or `_permit_send` refused it.
_DISCONNECTED_CODES = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_ABORTED_BY_CALLBACK,
    }
)


class _MalformedRequestError(ValueError):
    """The request cannot be written as HTTP."""


def _format_headers(headers):
    lines = []
    names = set()
    for name, value in headers:
        lowered = name.lower()
        if lowered in _OWN_HEADERS:
            continue
        if any(control in name + value for control in "\r\n\0") or not name:
            raise _MalformedRequestError(f"malformed header {name!r}")
        names.add(lowered)
        line = f"{name}: {value}" if value.strip() else f"{name};"
        lines.append(line.encode("latin-1"))
    for lowered, line in _SUPPRESSED_HEADERS.items():
        if lowered not in names:
            lines.append(line)
    return lines


class _Transfer:
    """One easy handle and the exchange that it carries now."""

    __slots__ = (
        "_body_max_bytes",
        "_bytes_received",
        "_chunks",
        "_framed",
        "_head",
        "_headers",
        "_in_headers",
        "_status",
        "_too_large",
        "easy",
        "future",
        "sends",
    )

    def __init__(self):
        self.easy = easy = pycurl.Curl()
        self.future = None
        self.sends = 0
        easy.setopt(pycurl.NOSIGNAL, 1)
        easy.setopt(pycurl.FOLLOWLOCATION, 0)
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.NOPROXY, "*")
        easy.setopt(pycurl.NETRC, 0)
        easy.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        easy.setopt(pycurl.HTTP_CONTENT_DECODING, 0)
        easy.setopt(pycurl.PATH_AS_IS, 1)
        easy.setopt(pycurl.TCP_NODELAY, 1)
        easy.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_MAX_S)
        easy.setopt(pycurl.PREREQFUNCTION, self._permit_send)
        easy.setopt(pycurl.HEADERFUNCTION, self._take_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._take_body)

    def prepare(self, request: ServerRequest, future) -> None:
        """Set the handle up for `request`."""
        self.future = future
        self.sends = 0
        self._body_max_bytes = request.body_max_bytes
        self._bytes_received = 0
        self._chunks = []
        self._framed = False
        self._head = request.method == "HEAD"
        self._headers = []
        self._in_headers = False
        self._status = 0
        self._too_large = False
        easy = self.easy
        timeout_ms = max(1, int(request.timeout_s * MS_PER_S))
        easy.setopt(pycurl.URL, request.url.encode("latin-1"))
        easy.setopt(pycurl.HTTPHEADER, _format_headers(request.headers))
        easy.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        easy.setopt(
            pycurl.CONNECTTIMEOUT_MS, min(timeout_ms, int(CONNECT_TIMEOUT_S * MS_PER_S))
        )
        # Selecting GET first clears what the last request left in the handle.
        easy.setopt(pycurl.HTTPGET, 1)
        if self._head:
            easy.unsetopt(pycurl.CUSTOMREQUEST)
            easy.setopt(pycurl.NOBODY, 1)
            return
        if request.body or request.method in _METHODS_WITH_BODY:
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDS, request.body)
        easy.setopt(pycurl.CUSTOMREQUEST, request.method)

    def conclude(self, code: int, message: str) -> ServerResult:
        """Return what became of the request when libcurl ended with `code`."""
        if self._too_large:
            return Broken("the answer is larger than allowed")
        if code == pycurl.E_OK and self._status:
            if self._is_whole():
                headers = tuple(self._headers)
                return Responded(self._status, headers, b"".join(self._chunks))
            return Broken("the answer has no length, so its end cannot be told")
        if self.sends == 0:
            return NotSent(message or f"libcurl error {code}")
        timed_out = code == pycurl.E_OPERATION_TIMEDOUT
        disconnected = code in _DISCONNECTED_CODES
        return Broken(message or f"libcurl error {code}", timed_out, disconnected)

    def release(self) -> None:
        """Drop references to the last exchange."""
        self.future = None
        self._chunks = []
        self._headers = []
        # Otherwise the handle would keep the last body alive.
        self.easy.setopt(pycurl.POSTFIELDS, b"")

    def _is_whole(self):
        return self._framed or self._head or self._status in _BODILESS_STATUSES

    def _permit_send(self, *addresses):
        # libcurl sends a request again by itself when a kept connection turns out
        # to be closed before any byte of the answer; the first send may have run.
        self.sends += 1
        if self.sends > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def _take_header(self, line):
        text = line.decode("latin-1").rstrip("\r\n")
        if line.startswith(b"HTTP/"):
            # An interim answer (1xx) is followed by another block of headers.
            self._status = int(text.split(None, 2)[1])
            self._headers = []
            self._framed = False
            self._in_headers = True
        elif not text:
            self._in_headers = False
        elif self._in_headers:
            name, _, value = text.partition(":")
            lowered = name.lower()
            if lowered in ("content-length", "transfer-encoding"):
                self._framed = True
            if lowered not in _OWN_HEADERS or (self._head and lowered[0] == "c"):
                self._headers.append((name, value.strip()))

    def _take_body(self, chunk):
        self._bytes_received += len(chunk)
        if self._bytes_received > self._body_max_bytes:
            self._too_large = True
            return 0
        self._chunks.append(chunk)
        return len(chunk)


class CurlServerClient:
    """Sends requests to servers, each at most once on the wire.

    Parameters
    ----------
    connections_max : int, default=200
        Most connections open at once, kept ones included.
    """

    __slots__ = ("_active", "_idle", "_loop", "_multi", "_timer")

    def __init__(self, connections_max: int = CONNECTIONS_MAX):
        self._active = {}
        self._idle = []
        self._loop = None
        self._timer = None
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_PIPELINING, pycurl.PIPE_NOTHING)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self.set_connections_max(connections_max)

    def set_connections_max(self, connections_max: int) -> None:
        """Change how many connections may be open at once."""
        self._multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, connections_max)
        self._multi.setopt(pycurl.M_MAXCONNECTS, connections_max)

    async def send(self, request: ServerRequest) -> ServerResult:
        """Send one request; cancelling the task closes its connection."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        transfer = self._idle.pop() if self._idle else _Transfer()
        future = self._loop.create_future()
        try:
            transfer.prepare(request, future)
        except (pycurl.error, ValueError) as error:
            transfer.release()
            self._idle.append(transfer)
            return NotSent(f"the request cannot be sent: {error}")
        self._active[transfer.easy] = transfer
        self._multi.add_handle(transfer.easy)
        self._perform(pycurl.SOCKET_TIMEOUT, 0)
        try:
            return await future
        finally:
            # After its end the transfer belongs to another request already.
            if transfer.future is future:
                self._detach(transfer)

    def close(self) -> None:
        """Close all connections; what is under way ends as broken."""
        for transfer in list(self._active.values()):
            future = transfer.future
            sent = transfer.sends > 0
            self._detach(transfer)
            if not future.done():
                future.set_result((Broken if sent else NotSent)("the client closed"))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for transfer in self._idle:
            transfer.easy.close()
        self._idle.clear()
        self._multi.close()

    def _detach(self, transfer):
        # Removing an unfinished handle makes libcurl close its connection.
        del self._active[transfer.easy]
        self._multi.remove_handle(transfer.easy)
        transfer.release()
        self._idle.append(transfer)

    def _watch_socket(self, event, fd, multi, data):
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            self._loop.add_reader(fd, self._perform, fd, pycurl.CSELECT_IN)
        else:
            self._loop.remove_reader(fd)
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            self._loop.add_writer(fd, self._perform, fd, pycurl.CSELECT_OUT)
        else:
            self._loop.remove_writer(fd)

    def _set_timer(self, delay_ms):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms >= 0:
            self._timer = self._loop.call_later(
                delay_ms / MS_PER_S, self._perform, pycurl.SOCKET_TIMEOUT, 0
            )

    def _perform(self, fd, events):
        self._multi.socket_action(fd, events)
        while True:
            waiting, finished, failed = self._multi.info_read()
            for easy in finished:
                self._finish(easy, pycurl.E_OK, "")
            for easy, code, message in failed:
                self._finish(easy, code, message)
            if waiting == 0:
                return

    def _finish(self, easy, code, message):
        transfer = self._active[easy]
        result = transfer.conclude(code, message)
        future = transfer.future
        self._detach(transfer)
        if not future.done():
            future.set_result(result)
