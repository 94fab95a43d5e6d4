"""HTTP to the server beside the node over libcurl's multi interface.

The event loop's socket and timer callbacks drive libcurl directly and easy handles
are kept and used again, which costs a fraction of tornado's curl client a call.
"""

import asyncio
from dataclasses import dataclass

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
IDLE_CONNECTION_MIN_S = 1
IDLE_MARGIN_S = 2  # a kept connection is given up before the server closes it
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
# The last two come of libcurl's attempt to send again: it is refused by
# `_permit_send`, or there is nobody to connect to any more.
_DISCONNECTED_CODES = frozenset(
    {
        pycurl.E_GOT_NOTHING,
        pycurl.E_PARTIAL_FILE,
        pycurl.E_RECV_ERROR,
        pycurl.E_SEND_ERROR,
        pycurl.E_ABORTED_BY_CALLBACK,
        pycurl.E_COULDNT_CONNECT,
    }
)


@dataclass(slots=True, frozen=True)
class _Watch:
    """What the event loop watches of one socket."""

    reads: bool
    writes: bool


_WATCH_NOTHING = _Watch(False, False)
_WATCHED_EVENTS = {
    pycurl.POLL_NONE: _WATCH_NOTHING,
    pycurl.POLL_IN: _Watch(True, False),
    pycurl.POLL_OUT: _Watch(False, True),
    pycurl.POLL_INOUT: _Watch(True, True),
    pycurl.POLL_REMOVE: _WATCH_NOTHING,
}


class _MalformedRequestError(ValueError):
    """The request cannot be written as HTTP."""


def read_keep_alive(value: str) -> int | None:
    """Return the idle timeout in seconds of a Keep-Alive header, if it names one."""
    for part in value.split(","):
        name, _, number = part.partition("=")
        if name.strip().lower() == "timeout" and number.strip().isdigit():
            return int(number)
    return None


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
        "_echo",
        "_foreign",
        "_framed",
        "_head",
        "_headers",
        "_in_headers",
        "_note_keep_alive",
        "_status",
        "_too_large",
        "_unframed_allowed",
        "easy",
        "future",
        "sends",
    )

    def __init__(self, note_keep_alive):
        self._note_keep_alive = note_keep_alive
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
        easy.setopt(pycurl.PREREQFUNCTION, self._permit_send)
        easy.setopt(pycurl.HEADERFUNCTION, self._take_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._take_body)

    def prepare(self, request: ServerRequest, future, idle_max_s: int) -> None:
        """Set the handle up for `request`."""
        self.future = future
        self.sends = 0
        self._body_max_bytes = request.body_max_bytes
        self._bytes_received = 0
        self._chunks = []
        self._echo = request.echo
        self._foreign = False
        self._framed = False
        self._head = request.method == "HEAD"
        self._headers = []
        self._in_headers = False
        self._status = 0
        self._too_large = False
        self._unframed_allowed = request.close_delimited_allowed
        easy = self.easy
        timeout_ms = max(1, int(request.timeout_s * MS_PER_S))
        easy.setopt(pycurl.URL, request.url.encode("latin-1"))
        easy.setopt(pycurl.HTTPHEADER, _format_headers(request.headers))
        easy.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        easy.setopt(pycurl.MAXAGE_CONN, idle_max_s)
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
        if self._foreign:
            return Broken("the answer belongs to another request")
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
        if self._framed or self._head or self._status in _BODILESS_STATUSES:
            return True
        return self._unframed_allowed

    def _permit_send(self, *addresses):
        # libcurl sends a request again by itself when a kept connection turns out
        # to be closed before any byte of the answer; the first send may have run.
        self.sends += 1
        if self.sends > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def _take_header(self, line):
        # Anything but None makes libcurl give the connection up.
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
            if self._echo is not None and lowered == self._echo[0].lower():
                if value.strip() != self._echo[1]:
                    # A late second answer to an earlier request of the connection:
                    # whatever follows on it can't be told apart either.
                    self._foreign = True
                    return -1
            if lowered == "keep-alive":
                self._note_keep_alive(value)
            if lowered in ("content-length", "transfer-encoding"):
                self._framed = True
            if lowered not in _OWN_HEADERS or (self._head and lowered[0] == "c"):
                self._headers.append((name, value.strip()))
        return None

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

    __slots__ = (
        "_active",
        "_idle",
        "_idle_max_s",
        "_loop",
        "_multi",
        "_timer",
        "_watched",
    )

    def __init__(self, connections_max: int = CONNECTIONS_MAX):
        self._active = {}
        self._idle = []
        self._idle_max_s = IDLE_CONNECTION_MAX_S
        self._loop = None
        self._timer = None
        self._watched = {}
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
        transfer = self._idle.pop() if self._idle else _Transfer(self._take_keep_alive)
        future = self._loop.create_future()
        try:
            transfer.prepare(request, future, self._idle_max_s)
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

    def _take_keep_alive(self, value):
        # A request that crosses the server's close may or may not have run.
        timeout_s = read_keep_alive(value)
        if timeout_s is not None:
            self._idle_max_s = max(IDLE_CONNECTION_MIN_S, timeout_s - IDLE_MARGIN_S)

    def _detach(self, transfer):
        # Removing an unfinished handle makes libcurl close its connection.
        del self._active[transfer.easy]
        self._multi.remove_handle(transfer.easy)
        transfer.release()
        self._idle.append(transfer)

    def _watch_socket(self, event, fd, multi, data):
        # Asking the loop to remove what it does not watch is dear.
        before = self._watched.get(fd, _WATCH_NOTHING)
        after = _WATCHED_EVENTS[event]
        if after.reads != before.reads:
            if after.reads:
                self._loop.add_reader(fd, self._perform, fd, pycurl.CSELECT_IN)
            else:
                self._loop.remove_reader(fd)
        if after.writes != before.writes:
            if after.writes:
                self._loop.add_writer(fd, self._perform, fd, pycurl.CSELECT_OUT)
            else:
                self._loop.remove_writer(fd)
        if after is _WATCH_NOTHING:
            self._watched.pop(fd, None)
        else:
            self._watched[fd] = after

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
