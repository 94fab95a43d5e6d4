"""One caller's connection: requests run side by side, answers keep their order."""

import asyncio
import collections
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from sapphireway_transport._http_messages import (
    Handle,
    HttpAnswer,
    HttpLimits,
    HttpRequest,
    Prepare,
    Reject,
    RejectedRequest,
)

PIPELINED_MAX = 32  # requests under way on one connection before reading pauses
LINGER_S = 1.0  # time in which a closed connection's last bytes are read, not reset
BODILESS_STATUSES = frozenset((204, 304))


@dataclass(slots=True)
class Hooks:
    """What the connections of one listener share.

    Attributes
    ----------
    handle, prepare, reject, get_limits : callable
        See `HttpListener`.
    closing : bool
        Whether answers end their connections.
    tasks : set of Task
        Requests that are being handled.
    reading : set of _Exchange
        Requests whose headers arrived and whose body has not.
    connections : set of HttpConnection
    """

    handle: Handle
    prepare: Prepare
    reject: Reject
    get_limits: Callable[[], HttpLimits]
    closing: bool = False
    tasks: set[asyncio.Task] = field(default_factory=set)
    reading: set["_Exchange"] = field(default_factory=set)
    connections: set["HttpConnection"] = field(default_factory=set)


@dataclass(slots=True, eq=False)
class _Exchange:
    """One request and its answer."""

    request: HttpRequest
    body_limit: int = 0
    size: int = 0
    chunks: list[bytes] = field(default_factory=list)
    last: bool = False
    task: asyncio.Task | None = None
    answer: HttpAnswer | None = None


class HttpConnection(asyncio.Protocol):
    """Parses requests, has each handled in a task and writes answers in order."""

    __slots__ = (
        "_deadline_s",
        "_exchanges",
        "_head_bytes",
        "_headers",
        "_hooks",
        "_in_head",
        "_limits",
        "_loop",
        "_parser",
        "_reading",
        "_remote",
        "_target",
        "_timer",
        "_transport",
        "_unread",
    )

    def __init__(self, hooks: Hooks):
        self._hooks = hooks
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges = collections.deque()
        self._reading = None
        self._transport = None
        self._remote = ""
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._in_head = False
        self._unread = False
        self._timer = None
        self._limits = hooks.get_limits()
        self._deadline_s = 0.0

    # Events of the transport.

    def connection_made(self, transport):
        """Take a new connection."""
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._remote = peer[0] if peer else ""
        self._hooks.connections.add(self)
        self._await_bytes(self._limits.idle_timeout_s)

    def connection_lost(self, exc):
        """Cancel what the caller no longer waits for."""
        self._unread = True
        self._hooks.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._reading is not None:
            self._hooks.reading.discard(self._reading)
            self._reading = None
        for exchange in self._exchanges:
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def data_received(self, data):
        """Parse what arrived."""
        if self._unread:
            return
        if self._in_head:
            self._head_bytes += len(data)
        elif self._reading is not None:
            self._await_bytes(self._limits.idle_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request that asked for it is complete and is handled as any other,
            # but what follows it is of another protocol.
            self._unread = True
            if self._exchanges:
                self._exchanges[-1].last = True
        except httptools.HttpParserError:
            self._reject(400, "the request is not well-formed HTTP/1.1")
            return
        if self._in_head and self._head_bytes > self._limits.header_max_bytes:
            self._reject_head()
        if len(self._exchanges) >= PIPELINED_MAX and not self._unread:
            self._transport.pause_reading()

    def close(self):
        """Close at once; requests under way are cancelled."""
        if self._transport is not None:
            self._transport.close()

    # Events of the parser.

    def on_message_begin(self):
        """Start the time that the headers may take."""
        self._limits = self._hooks.get_limits()
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._in_head = True
        self._await_bytes(self._limits.header_timeout_s)

    def on_url(self, url):
        """Collect the request's target."""
        self._target += url

    def on_header(self, name, value):
        """Collect one header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Find out how large the body may be."""
        self._in_head = False
        if self._unread:
            return
        request = HttpRequest(
            self._parser.get_method().decode("ascii"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            b"",
            self._remote,
        )
        size = sum(len(name) + len(value) + 4 for name, value in request.headers)
        if size + len(request.target) > self._limits.header_max_bytes:
            self._reject_head()
            return
        exchange = _Exchange(request, last=not self._parser.should_keep_alive())
        exchange.body_limit = self._hooks.prepare(request)
        self._reading = exchange
        self._hooks.reading.add(exchange)
        self._await_bytes(self._limits.idle_timeout_s)
        declared = request.get_header("Content-Length") or "0"
        if declared.isdigit() and int(declared) > exchange.body_limit:
            self._reject_body()

    def on_body(self, body):
        """Collect a part of the body."""
        exchange = self._reading
        if self._unread or exchange is None:
            return
        exchange.size += len(body)
        if exchange.size > exchange.body_limit:
            self._reject_body()
            return
        exchange.chunks.append(body)

    def on_message_complete(self):
        """Have the request handled."""
        exchange = self._reading
        if self._unread or exchange is None:
            return
        self._reading = None
        self._hooks.reading.discard(exchange)
        exchange.request.body = b"".join(exchange.chunks)
        exchange.chunks.clear()
        self._exchanges.append(exchange)
        self._stop_waiting()
        # What follows a last request is not read.
        self._unread = exchange.last
        task = self._loop.create_task(self._hooks.handle(exchange.request))
        exchange.task = task
        self._hooks.tasks.add(task)
        task.add_done_callback(lambda task: self._end(exchange, task))

    # Answers.

    def _end(self, exchange, task):
        self._hooks.tasks.discard(task)
        if task.cancelled():
            return
        if task.exception() is not None:
            # The caller sees a broken connection, which promises nothing.
            self.close()
            self._loop.call_exception_handler(
                {"message": "a request failed", "exception": task.exception()}
            )
            return
        exchange.answer = task.result()
        self._flush()

    def _flush(self):
        while self._exchanges and self._exchanges[0].answer is not None:
            exchange = self._exchanges.popleft()
            # Requests behind this one may have run, so the last answer closes.
            wanted = self._hooks.closing or exchange.last or _asks_close(exchange)
            closes = wanted and not self._exchanges and self._reading is None
            if self._transport.is_closing():
                return
            self._transport.write(_render(exchange, closes))
            if closes:
                self._finish()
                return
        if not self._unread and len(self._exchanges) < PIPELINED_MAX:
            self._transport.resume_reading()
        if not self._exchanges and self._reading is None and not self._in_head:
            self._await_bytes(self._limits.idle_timeout_s)

    def _reject_head(self):
        limit = self._limits.header_max_bytes
        self._reject(431, f"headers are larger than {limit} bytes")

    def _reject_body(self):
        limit = self._reading.body_limit
        self._reject(413, f"body is larger than {limit} bytes")

    def _reject(self, status, detail):
        """Answer a request that is not read to its end; the connection ends with it."""
        if self._unread:
            return
        self._unread = True
        self._in_head = False
        if self._reading is not None:
            self._hooks.reading.discard(self._reading)
            self._reading = None
        request = HttpRequest("", "", (), b"", self._remote)
        answer = self._hooks.reject(RejectedRequest(status, detail, self._remote))
        self._exchanges.append(_Exchange(request, last=True, answer=answer))
        self._flush()

    def _finish(self):
        """Close after the last answer, without a reset that could destroy it."""
        self._unread = True
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._await_bytes(LINGER_S)

    # Times. One timer a connection; it is moved only when it goes off too early.

    def _await_bytes(self, time_s):
        self._deadline_s = self._loop.time() + time_s
        if self._timer is None or self._timer.when() > self._deadline_s:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_at(self._deadline_s, self._check_time)

    def _stop_waiting(self):
        self._deadline_s = float("inf")

    def _check_time(self):
        self._timer = None
        if self._deadline_s == float("inf"):
            return
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._check_time)
        elif self._in_head or self._reading is not None:
            self._reject(408, "the request did not arrive in time")
        else:
            self._transport.close()


def _asks_close(exchange):
    return any(
        name.lower() == "connection" and value.lower() == "close"
        for name, value in exchange.answer.headers
    )


def _render(exchange, closes):
    answer = exchange.answer
    lines = [f"HTTP/1.1 {answer.status} {_get_reason(answer.status)}"]
    names = set()
    for name, value in answer.headers:
        lowered = name.lower()
        if lowered != "connection":
            names.add(lowered)
            lines.append(f"{name}: {value}")
    if "content-length" not in names and answer.status not in BODILESS_STATUSES:
        lines.append(f"Content-Length: {len(answer.body)}")
    if closes:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if exchange.request.method == "HEAD" else head + answer.body


def _get_reason(status):
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
