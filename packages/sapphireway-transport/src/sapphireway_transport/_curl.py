"""HTTP client for the server beside the node, over libcurl's multi interface.

The event loop drives libcurl directly through socket and timer callbacks, and easy
handles are reused. A call costs a fraction of one through tornado's curl client.
"""

import asyncio
import contextlib
import io
import math
import re
import select
import socket
import time
from collections.abc import Callable

import msgspec
import pycurl

from sapphireway_transport._continuations import ContinuationFinder, peek
from sapphireway_transport._head_lines import (
    Malformed,
    decode_line,
    read_field_line,
    read_status_line,
)
from sapphireway_transport._memory_budget import OBJECT_BYTES, MemoryBudget
from sapphireway_transport._read_share import PIECES_MAX, ReadShare
from sapphireway_transport._sent_ids import SENT_IDS_MAX, SentIds
from sapphireway_transport._server import (
    FINAL_STATUS_MIN,
    Broken,
    NotSent,
    Responded,
    ServerRequest,
    ServerResult,
)

CONNECTIONS_MAX = 200
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_MAX_S = 20  # unless the server sends a Keep-Alive timeout
IDLE_CONNECTION_MIN_S = 1
IDLE_CONNECTION_LIMIT_S = 3600  # a server may send any number
COUNT_DIGITS_MAX = 9
LENGTH_DIGITS_MAX = 18  # libcurl ignores lengths beyond 64 bits
# All answers that are being received; the smallest hosts have 200 MB, of which a node
# takes up to 50 MB and a single answer may take 64 MB.
ANSWERS_MAX_BYTES = 64 * 1024 * 1024
# Of all heads of one answer, interim ones and trailers included.
HEAD_LINES_MAX = 512
HEAD_MAX_BYTES = 64 * 1024
# libcurl drops chunk extensions without a callback. It reads up to 160 KB at an event,
# so this ends an endless one after some 40 MB.
FRUITLESS_READS_MAX = 256
SOCKETS_MAX = 1024  # more than any server accepts from one node
IDLE_MARGIN_S = 2  # close an idle connection before the server does
MS_PER_S = 1000
CLOSED_DETAIL = "the client closed"
CHUNKED = "chunked"

_INTERNET_FAMILIES = frozenset({socket.AF_INET, socket.AF_INET6})
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_STATUS_LINE_BEGIN = re.compile(r"HTTP/\d\.\d \d{3}")
_HEAD = re.compile(rb"HTTP/\d\.\d \d{3}[^\r\n]*\r?\n((?:[^\r\n]+\r?\n)*)(\r?\n)?")
_BODILESS_STATUSES = frozenset({204, 304})
_CONNECTION_HEADERS = frozenset(
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
# An empty value removes a header that libcurl adds by default.
_SUPPRESSED_HEADERS = {
    "accept": b"Accept:",
    "content-type": b"Content-Type:",
    "expect": b"Expect:",
    "user-agent": b"User-Agent:",
}
# The last two result from libcurl's attempt to resend: either `_allow_first_send`
# aborts it, or the server no longer accepts connections.
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


class _Interest(msgspec.Struct, frozen=True):
    """Events of one socket that the event loop watches."""

    reads: bool
    writes: bool


_NO_INTEREST = _Interest(False, False)
_INTERESTS_BY_EVENT = {
    pycurl.POLL_NONE: _NO_INTEREST,
    pycurl.POLL_IN: _Interest(True, False),
    pycurl.POLL_OUT: _Interest(False, True),
    pycurl.POLL_INOUT: _Interest(True, True),
    pycurl.POLL_REMOVE: _NO_INTEREST,
}


class _AnswerMemory:
    """Bytes of the answers that a client is receiving.

    Parameters
    ----------
    max_bytes : int
    budget : MemoryBudget
        Of all that the process holds.

    Attributes
    ----------
    transfers : int
        Answers that are being received.
    used_bytes : int
    has_progress : bool
        Whether a part of an answer has arrived since the flag was last reset.
    read_number : int
        Increased whenever the event loop lets a connection read.
    """

    __slots__ = (
        "_budget",
        "_max_bytes",
        "has_progress",
        "read_number",
        "transfers",
        "used_bytes",
    )

    def __init__(self, max_bytes: int, budget: MemoryBudget):
        self._budget = budget
        self._max_bytes = max_bytes
        self.has_progress = False
        self.read_number = 0
        self.transfers = 0
        self.used_bytes = 0

    def add(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.used_bytes += size
        self._budget.add(size)

    def release(self, size: int) -> None:
        """Count bytes that are held no longer."""
        self.used_bytes -= size
        self._budget.release(size)

    def is_exceeded_by(self, answer_bytes: int) -> bool:
        """Return whether an answer of this size takes more than the memory allows.

        If all answers together are too large, those above the average are.
        """
        if self.used_bytes <= self._max_bytes and not self._budget.is_exceeded:
            return False
        return answer_bytes * self.transfers >= self.used_bytes


class _OpenSockets:
    """File descriptors of connections, by their local port."""

    __slots__ = ("_fds",)

    def __init__(self):
        self._fds = {}

    def add(self, port: int, fds: list[int]) -> None:
        """Record the one of `fds` that is bound to a new connection's port."""
        fd = next((fd for fd in fds if _get_local_port(fd) == port), None)
        self._fds.pop(port, None)
        if fd is not None:
            self._fds[port] = fd
        if len(self._fds) > SOCKETS_MAX:
            del self._fds[next(iter(self._fds))]

    def get(self, port: int) -> int | None:
        """Return the descriptor of the connection from a port, if it is known."""
        return self._fds.get(port)

    def has_input(self, port: int) -> bool:
        """Tell whether a connection may have something to read, or be closed."""
        fd = self._fds.get(port)
        if fd is None:
            return True
        poll = select.poll()
        poll.register(fd, select.POLLIN)
        return bool(poll.poll(0))


def _get_local_port(fd):
    """Return the port of a connection; None if its descriptor was closed since.

    libcurl closes the sockets to the other addresses of a host before it sends, and
    their descriptors may be in use again. An exception here would end the request.
    """
    try:
        view = socket.socket(fileno=fd)
    except OSError:  # closed, or no socket
        return None
    try:
        return view.getsockname()[1] if view.family in _INTERNET_FAMILIES else None
    finally:
        view.detach()


class _MalformedRequestError(ValueError):
    """The request cannot be encoded as HTTP."""


def parse_keep_alive_timeout(value: str) -> int | None:
    """Return the timeout in seconds of a Keep-Alive header; None if it has none."""
    for part in value.split(","):
        name, _, number = part.partition("=")
        if name.strip().lower() == "timeout" and _is_count(number):
            return min(int(number.strip()[:COUNT_DIGITS_MAX]), IDLE_CONNECTION_LIMIT_S)
    return None


def _format_headers(headers):
    lines = []
    names = set()
    for name, value in headers:
        lowered = name.lower()
        if lowered in _CONNECTION_HEADERS:
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
    """One easy handle and its current exchange."""

    __slots__ = (
        "_answer_fault",
        "_body",
        "_body_max_bytes",
        "_bytes_received",
        "_close_delimited_allowed",
        "_codings",
        "_continuations",
        "_echoed",
        "_expected_echo",
        "_fd",
        "_has_length",
        "_head_bytes",
        "_head_ended",
        "_head_lines",
        "_headers",
        "_heads_bytes",
        "_held_bytes",
        "_in_head",
        "_is_head_request",
        "_length",
        "_memory",
        "_needs_echo",
        "_on_keep_alive",
        "_on_pause",
        "_on_send",
        "_opened_fds",
        "_pieces",
        "_read_number",
        "_sockets",
        "_status",
        "_too_large",
        "_unread_heads",
        "easy",
        "found_input",
        "future",
        "send_count",
    )

    def __init__(self, on_keep_alive, on_send, on_pause, memory, sockets, unread_heads):
        self._on_keep_alive = on_keep_alive
        self._on_pause = on_pause
        self._on_send = on_send
        self._memory = memory
        self._sockets = sockets
        self._unread_heads = unread_heads
        self._fd = None
        self._bytes_received = 0
        self._held_bytes = 0
        self._pieces = 0
        self._read_number = 0
        self.easy = easy = pycurl.Curl()
        self.future = None
        self.send_count = 0
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
        easy.setopt(pycurl.PREREQFUNCTION, self._allow_first_send)
        easy.setopt(pycurl.SOCKOPTFUNCTION, self._note_new_connection)
        easy.setopt(pycurl.HEADERFUNCTION, self._receive_header)
        easy.setopt(pycurl.WRITEFUNCTION, self._receive_body)

    def prepare(
        self,
        request: ServerRequest,
        timeout_s: float,
        future,
        idle_connection_max_s: int,
        connection_age_max_s: int | None,
    ) -> None:
        """Set up the handle for a request.

        Only connections that were opened at most `connection_age_max_s` ago are used
        again: 0 for none, None for any.
        """
        self.future = future
        self.send_count = 0
        self._body_max_bytes = request.body_max_bytes
        # Holds many small chunks in one piece; `getvalue` doesn't copy.
        self._body = io.BytesIO()
        self._bytes_received = 0
        self._expected_echo = request.echo_header
        self._answer_fault = ""
        self._echoed = False
        self._needs_echo = request.needs_echo
        self._opened_fds = []
        self.found_input = False
        self._has_length = False
        self._codings = []
        self._continuations = ContinuationFinder()
        self._is_head_request = request.method == "HEAD"
        self._head_bytes = 0
        self._head_lines = 0
        self._heads_bytes = 0
        self._headers = []
        self._head_ended = False
        self._in_head = False
        self._length = None
        self._pieces = 0
        self._status = 0
        self._too_large = False
        self._close_delimited_allowed = request.close_delimited_allowed
        easy = self.easy
        timeout_ms = max(1, int(timeout_s * MS_PER_S))
        easy.setopt(pycurl.URL, request.url.encode("latin-1"))
        easy.setopt(pycurl.HTTPHEADER, _format_headers(request.headers))
        easy.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        easy.setopt(pycurl.MAXAGE_CONN, idle_connection_max_s)
        easy.setopt(pycurl.FRESH_CONNECT, connection_age_max_s == 0)
        easy.setopt(pycurl.MAXLIFETIME_CONN, connection_age_max_s or 0)
        easy.setopt(
            pycurl.CONNECTTIMEOUT_MS, min(timeout_ms, int(CONNECT_TIMEOUT_S * MS_PER_S))
        )
        # Selecting GET first resets the method options of the previous request.
        easy.setopt(pycurl.HTTPGET, 1)
        if self._is_head_request:
            easy.unsetopt(pycurl.CUSTOMREQUEST)
            easy.setopt(pycurl.NOBODY, 1)
            return
        if request.body or request.method in _METHODS_WITH_BODY:
            easy.setopt(pycurl.POST, 1)
            easy.setopt(pycurl.POSTFIELDS, request.body)
        easy.setopt(pycurl.CUSTOMREQUEST, request.method)

    def build_result(self, code: int, message: str) -> ServerResult:
        """Return the result of the request after libcurl ended with `code`."""
        if self._too_large:
            return Broken("the answer is larger than allowed")
        if self._answer_fault:
            return Broken(self._answer_fault)
        if code == pycurl.E_OK and self._status:
            if self._is_complete():
                headers = tuple(self._headers)
                return Responded(self._status, headers, self._body.getvalue())
            detail = f"the answer may be incomplete; {self._describe_progress()}"
            return Broken(detail, disconnected=not self._head_ended)
        message = message or f"libcurl error {code}"
        if self.send_count == 0:
            return NotSent(message)
        timed_out = code == pycurl.E_OPERATION_TIMEDOUT
        disconnected = code in _DISCONNECTED_CODES
        detail = f"{message}; {self._describe_progress()}"
        return Broken(detail, timed_out, disconnected)

    def release(self) -> None:
        """Drop references to the last exchange."""
        self.future = None
        self._end_search()
        self._memory.release(self._held_bytes)
        self._held_bytes = 0
        self._bytes_received = 0
        self._body = None
        self._headers = []
        # Otherwise the handle keeps the last body in memory.
        self.easy.setopt(pycurl.POSTFIELDS, b"")

    def _is_complete(self):
        # libcurl reports no error if the connection closes inside the head, or if it
        # can't read the length. It does if the last chunk is missing.
        if not self._head_ended:
            return False
        if self._is_head_request or self._status in _BODILESS_STATUSES:
            return True
        if self._codings[-1:] == [CHUNKED]:
            return True
        if self._has_length:
            return self._bytes_received == self._length
        return self._close_delimited_allowed and not self._holds_extra_answer()

    def _holds_extra_answer(self):
        """Tell whether a body that ends with its connection holds a further answer.

        A server may send an answer twice. Only the id in its head tells that it is
        none of the body.
        """
        if self._expected_echo is None:
            return False
        body = self._body.getvalue()
        name = self._expected_echo[0].lower().encode("latin-1")
        return any(
            _has_field(head[1].lower(), name) or head.end() == len(body)
            for head in _HEAD.finditer(body)
        )

    def _describe_progress(self):
        if not self._status:
            return "no part of an answer was received"
        if not self._head_ended:
            return f"ended in the head of the answer, after {self._head_bytes} bytes"
        of_length = "" if self._length is None else f" of {self._length}"
        return f"ended after {self._bytes_received}{of_length} bytes of the body"

    def _allow_first_send(self, remote_ip, local_ip, remote_port, local_port):
        # libcurl resends a request by itself if a reused connection is closed before
        # the first byte of the answer, although the request may already have run.
        self.send_count += 1
        if self.send_count > 1:
            return pycurl.PREREQFUNC_ABORT
        if self._opened_fds:
            self._sockets.add(local_port, self._opened_fds)
        elif self._sockets.has_input(local_port):
            # libcurl would read it as the start of the answer to this request.
            self.found_input = True
            return pycurl.PREREQFUNC_ABORT
        if self._expected_echo is not None:
            self._on_send(self._expected_echo[1])
        self._fd = self._sockets.get(local_port)
        if self._fd is not None:
            self._unread_heads[self._fd] = self
        return pycurl.PREREQFUNC_OK

    def search_continuations(self, data: memoryview) -> None:
        """Reject the answer if `data`, which is read next, continues a field line."""
        if self._continuations.search(data, self._heads_bytes):
            self._answer_fault = "malformed answer: its head has a continuation line"

    def _end_search(self):
        if self._unread_heads.get(self._fd) is self:
            del self._unread_heads[self._fd]
        self._fd = None

    def _note_new_connection(self, fd, purpose):
        self._opened_fds.append(fd)
        return pycurl.SOCKOPT_OK

    def _receive_header(self, line):
        # Any return value but None makes libcurl close the connection.
        self._memory.has_progress = True
        if self._answer_fault:
            return -1
        self._head_lines += 1
        self._heads_bytes += len(line)
        self._hold(len(line) + OBJECT_BYTES)
        if self._head_lines > HEAD_LINES_MAX or self._heads_bytes > HEAD_MAX_BYTES:
            self._too_large = True
            return -1
        if self._head_ended:
            return None  # a trailer
        text = decode_line(line)
        if self._joins_heads(text):
            self._answer_fault = "the head of another answer was cut before this one"
            return -1
        # libcurl also passes on a line that a close cut.
        if not self._receive_line(text, line.endswith(b"\n")):
            return -1
        self._head_bytes += len(line)
        return None

    def _receive_line(self, text, is_whole):
        """Read a line of a head; return False if this can't be the answer."""
        if not self._in_head:
            return self._begin_head(text, is_whole)
        if not is_whole:
            return True
        return self._receive_field(text) if text else self._finish_head()

    def _begin_head(self, line, is_whole):
        """Begin with a status line; return False if `line` is none."""
        status = read_status_line(line)
        if isinstance(status, Malformed):
            if is_whole:
                self._reject_line(status)
            return False
        self._status = status
        self._head_bytes = 0
        self._headers = []
        self._echoed = False
        self._has_length = False
        self._codings = []
        self._length = None
        self._in_head = True
        return True

    def _finish_head(self):
        """End a head; return False if it can't be that of the answer."""
        self._in_head = False
        if self._status < FINAL_STATUS_MIN:
            return True  # the head of an interim answer is followed by another one
        self._head_ended = True
        self._end_search()
        if self._has_ambiguous_end():
            self._answer_fault = (
                "malformed answer: its head names more than one end of the body"
            )
            return False
        if self._lacks_echo():
            self._answer_fault = "the answer names no request"
            return False
        return True

    def _reject_line(self, malformed):
        # libcurl may read such a line in another way than we do, so neither the content
        # of the answer nor its framing is known.
        self._answer_fault = (
            f"malformed answer, line {self._head_lines} of its head: {malformed.detail}"
        )

    def _joins_heads(self, text):
        """Tell whether a line may begin in an earlier, cut head and end in the next.

        A head that has named this request before is not that of an earlier answer. An
        id in a later line may be that of the second head.
        """
        if self._opened_fds or (self._in_head and self._echoed):
            return False
        return _STATUS_LINE_BEGIN.search(text, 0 if self._in_head else 1) is not None

    def _has_ambiguous_end(self):
        # RFC 9112, sections 6.1 and 6.3: an error. libcurl drops the other line.
        chunked_count = self._codings.count(CHUNKED)
        return chunked_count > 1 or (chunked_count == 1 and self._has_length)

    def _lacks_echo(self):
        """Tell whether the answer may be that of an earlier request."""
        if self._expected_echo is None or self._echoed or self._opened_fds:
            return False
        return self._needs_echo(Responded(self._status, tuple(self._headers), b""))

    def _receive_field(self, text):
        """Record a header field; return False if this can't be the answer."""
        field = read_field_line(text)
        if isinstance(field, Malformed):
            self._reject_line(field)
            return False
        name, value = field
        lowered = name.lower()
        if (
            self._expected_echo is not None
            and lowered == self._expected_echo[0].lower()
        ):
            if not self._is_expected_echo(value):
                # A second, late answer to an earlier request of the connection.
                # Later answers on it could not be attributed either.
                self._answer_fault = "the answer belongs to another request"
                return False
            self._echoed = True
        if lowered == "keep-alive":
            self._on_keep_alive(value)
        elif lowered == "content-length":
            self._has_length = True
            self._length = _parse_length(value)
        elif lowered == "transfer-encoding":
            self._codings += [part.strip(" \t") for part in value.lower().split(",")]
        if lowered not in _CONNECTION_HEADERS or (
            self._is_head_request and lowered[0] == "c"
        ):
            self._headers.append((name, value))
        return True

    def _is_expected_echo(self, value):
        expected = self._expected_echo[1]
        if expected or not self._opened_fds:
            return value == expected
        # A server may make up an id for a request without one, and only this request
        # was sent on its new connection. A copy of the answer bears the same id.
        self._on_send(value)
        return True

    def _receive_body(self, chunk):
        memory = self._memory
        memory.has_progress = True
        if self._read_number != memory.read_number:
            self._read_number = memory.read_number
            self._pieces = 0
        self._pieces += 1
        if self._pieces > PIECES_MAX:
            # While it pauses, libcurl joins the chunks that it has read already.
            self._on_pause(self, self._pieces)
            self._pieces = 0
            return pycurl.WRITEFUNC_PAUSE
        self._hold(len(chunk))
        self._bytes_received += len(chunk)
        if self._bytes_received > self._body_max_bytes or memory.is_exceeded_by(
            self._held_bytes
        ):
            self._too_large = True
            return 0
        self._body.write(chunk)
        return len(chunk)

    def _hold(self, size):
        self._held_bytes += size
        self._memory.add(size)


class CurlServerClient:
    """Sends requests to servers, each at most once.

    Parameters
    ----------
    connections_max : int, default=200
        Limit on open connections, including idle ones.
    answers_max_bytes : int, default=64 MiB
        Limit on the bodies that are being received, all together. Answers of more than
        the average size are given up beyond it.
    sent_ids_max : int, default=8192
        Values of `ServerRequest.echo_header` of which all are remembered. Older
        connections are not used again.
    budget : MemoryBudget, optional
        Of all that the process holds for requests and answers.
    get_time : callable, default=time.monotonic
        Returns the time in seconds, as libcurl measures the ages of connections. By a
        clock that counts suspensions of the host, a connection could be used again
        that is older than the ids remembered.
    """

    __slots__ = (
        "_active_transfers",
        "_fruitless_reads",
        "_get_time",
        "_has_closed",
        "_idle_connection_max_s",
        "_idle_transfers",
        "_interests",
        "_loop",
        "_memory",
        "_multi",
        "_pauses",
        "_peeked",
        "_read_share",
        "_sent_ids",
        "_sockets",
        "_timer",
        "_unread_heads",
    )

    def __init__(
        self,
        connections_max: int = CONNECTIONS_MAX,
        answers_max_bytes: int = ANSWERS_MAX_BYTES,
        sent_ids_max: int = SENT_IDS_MAX,
        get_time: Callable[[], float] = time.monotonic,
        budget: MemoryBudget | None = None,
    ):
        self._active_transfers = {}
        self._fruitless_reads = {}
        self._get_time = get_time
        self._has_closed = False
        budget = budget or MemoryBudget(answers_max_bytes)
        self._memory = _AnswerMemory(answers_max_bytes, budget)
        self._pauses = {}
        self._peeked = bytearray(HEAD_MAX_BYTES)
        self._read_share = ReadShare()
        self._idle_transfers = []
        self._idle_connection_max_s = IDLE_CONNECTION_MAX_S
        self._loop = None
        self._sent_ids = SentIds(get_time(), sent_ids_max)
        self._sockets = _OpenSockets()
        self._timer = None
        self._unread_heads = {}  # transfers by the descriptors of their connections
        self._interests = {}
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_PIPELINING, pycurl.PIPE_NOTHING)
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self.set_connections_max(connections_max)

    def set_connections_max(self, connections_max: int) -> None:
        """Change the limit on open connections."""
        self._multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, connections_max)
        self._multi.setopt(pycurl.M_MAXCONNECTS, connections_max)

    async def send(self, request: ServerRequest) -> ServerResult:
        """Send one request; if the task is cancelled, the connection is closed."""
        if self._loop is None:
            self._loop = asyncio.get_running_loop()
        end_s = self._loop.time() + request.timeout_s
        age_max_s = self._limit_connection_age(request.echo_header)
        result = await self._send(request, request.timeout_s, age_max_s)
        if result is None:
            result = await self._send(request, end_s - self._loop.time(), 0)
        return result

    async def _send(self, request, timeout_s, age_max_s):
        """Send a request; return None if its connection had input before."""
        if self._has_closed:
            return NotSent(CLOSED_DETAIL)
        transfer = (
            self._idle_transfers.pop()
            if self._idle_transfers
            else _Transfer(
                self._handle_keep_alive,
                self._record_id,
                self._pause,
                self._memory,
                self._sockets,
                self._unread_heads,
            )
        )
        future = self._loop.create_future()
        idle_max_s = self._idle_connection_max_s
        try:
            transfer.prepare(request, timeout_s, future, idle_max_s, age_max_s)
        except (pycurl.error, ValueError) as error:
            transfer.release()
            self._idle_transfers.append(transfer)
            return NotSent(f"the request cannot be sent: {error}")
        self._active_transfers[transfer.easy] = transfer
        self._memory.transfers = len(self._active_transfers)
        self._multi.add_handle(transfer.easy)
        self._perform(pycurl.SOCKET_TIMEOUT, 0)
        try:
            return await future
        finally:
            # A finished transfer may already be in use by another request.
            if transfer.future is future:
                self._detach(transfer)

    def close(self) -> None:
        """Close all connections; requests that were sent end as `Broken`."""
        self._has_closed = True
        for transfer in list(self._active_transfers.values()):
            future = transfer.future
            sent = transfer.send_count > 0
            self._detach(transfer)
            if not future.done():
                future.set_result((Broken if sent else NotSent)(CLOSED_DETAIL))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for transfer in self._idle_transfers:
            transfer.easy.close()
        self._idle_transfers.clear()
        self._multi.close()

    def _limit_connection_age(self, echo_header):
        """Return how old a connection may be that never carried this id.

        In whole seconds; 0 for a new connection, None for any.
        """
        if echo_header is None:
            return None
        value = echo_header[1]
        if not value or value in self._sent_ids:
            # A copy of the answer to the earlier request has the same id.
            return 0
        self._record_id(value)
        age_s = self._get_time() - self._sent_ids.complete_since_s
        # libcurl ignores the fraction of a connection's age.
        return None if math.isinf(age_s) else max(0, int(age_s) - 1)

    def _record_id(self, value):
        # Recorded when the request is made, for repeats that are made before it is
        # sent, and when it is sent, as its connection may be as new as that.
        self._sent_ids.add(value, self._get_time())

    def _handle_keep_alive(self, value):
        # A request that is sent while the server closes the connection may or may not
        # have run, so idle connections are closed earlier than the server does.
        timeout_s = parse_keep_alive_timeout(value)
        if timeout_s is not None:
            self._idle_connection_max_s = max(
                IDLE_CONNECTION_MIN_S, timeout_s - IDLE_MARGIN_S
            )

    def _pause(self, transfer, pieces):
        """Let a transfer rest whose answer arrives in many small pieces."""
        pause_s = self._read_share.compute_pause(pieces)
        self._read_share.paused += 1
        self._pauses[transfer] = self._loop.call_later(pause_s, self._resume, transfer)

    def _resume(self, transfer):
        self._end_pause(transfer)
        self._memory.read_number += 1
        # libcurl reports an answer that was rejected meanwhile by its own message.
        with contextlib.suppress(pycurl.error):
            transfer.easy.pause(pycurl.PAUSE_CONT)
        self._perform(pycurl.SOCKET_TIMEOUT, 0)

    def _end_pause(self, transfer):
        timer = self._pauses.pop(transfer, None)
        if timer is not None:
            timer.cancel()
            self._read_share.paused -= 1

    def _detach(self, transfer):
        self._end_pause(transfer)
        # libcurl closes the connection of an unfinished handle that is removed.
        del self._active_transfers[transfer.easy]
        self._memory.transfers = len(self._active_transfers)
        self._multi.remove_handle(transfer.easy)
        transfer.release()
        self._idle_transfers.append(transfer)

    def _watch_socket(self, event, fd, multi, data):
        # Removing a descriptor that the loop does not watch is expensive.
        before = self._interests.get(fd, _NO_INTEREST)
        after = _INTERESTS_BY_EVENT[event]
        if after.reads != before.reads:
            if after.reads:
                self._loop.add_reader(fd, self._read, fd)
            else:
                self._loop.remove_reader(fd)
        if after.writes != before.writes:
            if after.writes:
                self._loop.add_writer(fd, self._write, fd)
            else:
                self._loop.remove_writer(fd)
        if after is _NO_INTEREST:
            self._interests.pop(fd, None)
            self._fruitless_reads.pop(fd, None)
        else:
            self._interests[fd] = after

    def _set_timer(self, delay_ms):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms >= 0:
            self._timer = self._loop.call_later(
                delay_ms / MS_PER_S, self._perform, pycurl.SOCKET_TIMEOUT, 0
            )

    def _read(self, fd):
        self._memory.has_progress = False
        self._memory.read_number += 1
        self._search_continuations(fd)
        self._perform(fd, pycurl.CSELECT_IN)
        if self._memory.has_progress or fd not in self._interests:
            self._fruitless_reads.pop(fd, None)
            return
        reads = self._fruitless_reads.get(fd, 0) + 1
        self._fruitless_reads[fd] = reads
        if reads >= FRUITLESS_READS_MAX:
            self._give_up(fd)

    def _write(self, fd):
        # libcurl reads too, as a server may answer before it has read all of a body.
        self._search_continuations(fd)
        self._perform(fd, pycurl.CSELECT_OUT)

    def _search_continuations(self, fd):
        transfer = self._unread_heads.get(fd)
        if transfer is not None:
            transfer.search_continuations(peek(fd, self._peeked))

    def _give_up(self, fd):
        """End the request whose connection delivers bytes, but no part of an answer."""
        for transfer in list(self._active_transfers.values()):
            if transfer.easy.getinfo(pycurl.ACTIVESOCKET) == fd:
                future = transfer.future
                self._detach(transfer)
                if not future.done():
                    future.set_result(Broken("the server sends no part of an answer"))

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
        transfer = self._active_transfers[easy]
        result = None
        if not transfer.found_input:
            result = transfer.build_result(code, message)
        future = transfer.future
        self._detach(transfer)
        if not future.done():
            future.set_result(result)


def _has_field(fields, name):
    return fields.startswith(name + b":") or b"\n" + name + b":" in fields


def _parse_length(text):
    """Return the number of bytes, or None if it can't be read.

    A list of equal lengths counts as one of them (RFC 9110, section 8.6).
    """
    parts = text.split(",")
    if not all(_is_count(part) for part in parts):
        return None
    lengths = {part.strip().lstrip("0") for part in parts}
    digits = lengths.pop()
    if lengths or len(digits) > LENGTH_DIGITS_MAX:
        return None
    return int(digits or "0")


def _is_count(text):
    """Return whether `text` is a decimal number; `str.isdigit` also accepts "²"."""
    text = text.strip()
    return text.isascii() and text.isdigit()
