"""A connection of a caller, with concurrent requests and answers in order."""

import asyncio
import collections
import io
from collections.abc import Callable
from http import HTTPStatus

import httptools
import msgspec

from sapphireway_transport._connection_limit import ConnectionLimit, ConnectionUse
from sapphireway_transport._http_messages import (
    Handle,
    HttpAnswer,
    HttpLimits,
    HttpRequest,
    Prepare,
    Reject,
    RejectedRequest,
)
from sapphireway_transport._memory_budget import (
    OBJECT_BYTES,
    REQUEST_BYTES,
    MemoryBudget,
    make_body_budget,
)
from sapphireway_transport._read_share import ReadShare

READ_MAX_BYTES = 64 * 1024
# What is parsed before the work and the memory for a connection are looked at again. A
# head of 1 kB may be that of some fifty pipelined requests.
HEAD_SLICE_BYTES = 1024
BODY_SLICE_BYTES = 16 * 1024
REQUEST_PIECES = 16  # to parse and start a request costs as much as so many chunks
FULL_RETRY_S = 1.0
# After this time a body that hasn't arrived no longer keeps memory from others.
RESERVATION_S = 5.0
PIPELINED_MAX = 32  # pending requests on one connection before reading pauses
LINGER_S = 1.0  # time for the caller to read the last answer without a reset
LINGER_MAX_S = 5.0  # while the rest of a refused body still arrives
BODY_TIME_MAX_S = 600.0  # the longest timeout of a route
# Chunks of a single byte have 5 bytes of framing; extensions and trailers come on top,
# up to the limit on headers.
FRAMING_PER_BODY_BYTE = 5
BODILESS_STATUSES = frozenset((204, 304))


class ListenerState(msgspec.Struct):
    """State that the connections of one listener share.

    Attributes
    ----------
    handle, prepare, reject, get_limits : callable
        See `HttpListener`.
    closing : bool
        Whether connections are closed after their last pending answer.
    tasks : set of Task
        Requests that are being handled.
    reading : dict of _Exchange to HttpConnection
        Requests whose headers have arrived, but not yet the complete body.
    connections : set of HttpConnection
    answer_count : int
        Answers that connections have begun to send.
    budget : MemoryBudget
        Of all that is held for requests until they are answered.
    connection_limit : ConnectionLimit
    share : ReadShare
    read_buffer : memoryview
        Into which all connections read, one after the other.
    """

    handle: Handle
    prepare: Prepare
    reject: Reject
    get_limits: Callable[[], HttpLimits]
    connection_limit: ConnectionLimit
    closing: bool = False
    tasks: set[asyncio.Task] = msgspec.field(default_factory=set)
    reading: dict["_Exchange", "HttpConnection"] = msgspec.field(default_factory=dict)
    connections: set["HttpConnection"] = msgspec.field(default_factory=set)
    answer_count: int = 0
    budget: MemoryBudget = msgspec.field(default_factory=make_body_budget)
    share: ReadShare = msgspec.field(default_factory=ReadShare)
    read_buffer: memoryview = msgspec.field(
        default_factory=lambda: memoryview(bytearray(READ_MAX_BYTES))
    )


class _Exchange(msgspec.Struct, eq=False):
    """One request and its answer.

    Attributes
    ----------
    framing_bytes : int
        Chunk sizes, chunk extensions and trailers of the request.
    body_deadline_s : float
        Loop time by which the body must have arrived.
    body : BytesIO or None
        Holds many small chunks in one piece, and `getvalue` doesn't copy. None once the
        request is complete.
    held_bytes : int
        Taken from the budget until the request is answered.
    unfilled_bytes : int
        Those of them that are reserved for the rest of a body of known length.
    began_s : float
        Loop time at which the headers had arrived.
    """

    request: HttpRequest
    body_max_bytes: int = 0
    body_bytes: int = 0
    framing_bytes: int = 0
    body_deadline_s: float = 0.0
    body: io.BytesIO | None = msgspec.field(default_factory=io.BytesIO)
    held_bytes: int = 0
    unfilled_bytes: int = 0
    began_s: float = 0.0
    is_last: bool = False
    task: asyncio.Task | None = None
    answer: HttpAnswer | None = None


class HttpConnection(asyncio.BufferedProtocol):
    """Parses requests, handles each in a task, and writes the answers in order.

    A connection that brings many small pieces pauses after some of them, so that others
    are served meanwhile.
    """

    __slots__ = (
        "_deadline_s",
        "_exchanges",
        "_header_bytes",
        "_headers",
        "_headers_held_bytes",
        "_ignores_input",
        "_in_headers",
        "_is_unread",
        "_left_bytes",
        "_limits",
        "_linger_end_s",
        "_loop",
        "_parser",
        "_pause",
        "_pieces",
        "_reading",
        "_remote",
        "_state",
        "_target",
        "_timer",
        "_transport",
        "_unparsed",
        "_unsent_bytes",
    )

    def __init__(self, state: ListenerState):
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._exchanges = collections.deque()
        self._reading = None
        self._transport = None
        self._remote = ""
        self._target = b""
        self._headers = []
        self._headers_held_bytes = 0
        self._header_bytes = 0
        self._in_headers = False
        self._ignores_input = False
        self._is_unread = False
        self._linger_end_s = 0.0
        self._pause = None
        self._pieces = 0
        self._timer = None
        self._unparsed = b""
        self._unsent_bytes = 0
        self._left_bytes = 0  # unsent when the connection was to be closed
        self._limits = state.get_limits()
        self._deadline_s = 0.0

    @property
    def is_sending(self) -> bool:
        """Whether bytes of an answer wait for the caller to read."""
        return (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request was read that still needs an answer, or a part of it."""
        return (
            not self._exchanges
            and self._reading is None
            and not self._ignores_input
            and not self._unparsed
            and not self.is_sending
        )

    # Transport callbacks.

    def connection_made(self, transport):
        """Register the connection and start the idle timeout."""
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._remote = peer[0] if peer else ""
        self._state.connections.add(self)
        self._state.connection_limit.add(self)
        self._start_timeout(self._limits.idle_timeout_s)

    def connection_lost(self, exc):
        """Cancel the requests whose answers can no longer be delivered."""
        self._ignores_input = True
        self._state.connections.discard(self)
        self._state.connection_limit.remove(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._end_pause()
        self._drop_unparsed()
        self._release_headers()
        self._state.budget.release(self._unsent_bytes)
        self._unsent_bytes = 0
        if self._reading is not None:
            self._release(self._reading)
            del self._state.reading[self._reading]
            self._reading = None
        for exchange in self._exchanges:
            self._release(exchange)
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()

    def pause_writing(self):
        """Read no more requests while the caller doesn't read its answers."""
        self._is_unread = True
        if not self._ignores_input:
            self._transport.pause_reading()

    def resume_writing(self):
        """Go on with the requests that have arrived meanwhile."""
        self._is_unread = False
        self._count_unsent()
        if not self._ignores_input:
            self._parse_unparsed()

    def get_buffer(self, sizehint):
        """Return the buffer for the next read."""
        return self._state.read_buffer

    def buffer_updated(self, size):
        """Parse received data, or keep it until the connection may go on."""
        if self._ignores_input:
            # Many callers read the answer only once they have sent everything.
            linger_s = min(LINGER_S, self._linger_end_s - self._loop.time())
            if linger_s > 0.0:
                self._start_timeout(linger_s)
            return
        data = self._state.read_buffer[:size]
        if self._unparsed or self._pause is not None:
            self._keep_unparsed(bytes(data))
            return
        self._parse(data)

    def _parse(self, data):
        """Parse data until the connection has to pause."""
        begin, end = 0, len(data)
        self._pieces = 0
        while begin < end and not self._ignores_input:
            in_body = self._reading is not None
            size = BODY_SLICE_BYTES if in_body else HEAD_SLICE_BYTES
            # The parser keeps references to parts of bytes only.
            self._parse_slice(bytes(data[begin : begin + size]))
            begin += size
            if self._ignores_input or not self._must_wait():
                continue
            pause_s = self._state.share.compute_pause(self._pieces)
            if pause_s:
                self._begin_pause(pause_s)
            self._transport.pause_reading()
            if begin < end:
                self._keep_unparsed(bytes(data[begin:]))
            return

    def _must_wait(self):
        is_full = self._is_unread or len(self._exchanges) >= PIPELINED_MAX
        return is_full or self._state.share.compute_pause(self._pieces) > 0.0

    def _keep_unparsed(self, data):
        if self._state.budget.reserve(len(data)):
            self._unparsed += data
        else:
            self._reject_full()

    def _drop_unparsed(self):
        self._state.budget.release(len(self._unparsed))
        self._unparsed = b""

    def _begin_pause(self, pause_s):
        self._state.share.paused += 1
        self._pause = self._loop.call_later(pause_s, self._go_on)

    def _end_pause(self):
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None
            self._state.share.paused -= 1

    def _go_on(self):
        """Parse what was kept, and read on once it is parsed."""
        self._end_pause()
        self._parse_unparsed()

    def _parse_unparsed(self):
        if self._pause is not None or self._transport.is_closing() or self._is_unread:
            return
        if self._unparsed and not self._ignores_input:
            data = self._unparsed
            self._drop_unparsed()
            self._parse(memoryview(data))
        may_read = self._pause is None and not self._unparsed and not self._is_unread
        if may_read and len(self._exchanges) < PIPELINED_MAX:
            self._transport.resume_reading()

    def _parse_slice(self, data):
        if self._in_headers:
            self._header_bytes += len(data)
            # The parser keeps a line until its end.
            if not self._reserve_headers(len(data)):
                self._reject_full()
                return
        elif self._reading is not None:
            self._start_body_timeout()
            self._update_use()
        reading = self._reading
        body_bytes = reading.body_bytes if reading is not None else 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request that asks for the upgrade is complete and handled normally,
            # but the data after it belongs to another protocol.
            self._ignores_input = True
            if self._exchanges:
                self._exchanges[-1].is_last = True
        except httptools.HttpParserError:
            self._reject(400, "the request is not well-formed HTTP/1.1")
            return
        if self._in_headers and self._header_bytes > self._limits.header_max_bytes:
            self._reject_headers()
        elif reading is not None and reading is self._reading:
            self._check_framing(reading, len(data) - (reading.body_bytes - body_bytes))

    def close(self):
        """Close immediately; pending requests are cancelled."""
        if self._transport is not None:
            self._transport.close()

    def abort(self):
        """Close immediately, without what is unsent; pending requests are cancelled."""
        self._transport.abort()

    def refuse_unread(self, answer: HttpAnswer) -> None:
        """Answer the request whose body is being read, and close the connection.

        Requests before it on the connection are answered first.
        """
        self._end_reading(answer)

    # Parser callbacks.

    def on_message_begin(self):
        """Start the header timeout."""
        self._limits = self._state.get_limits()
        self._pieces += REQUEST_PIECES
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._in_headers = True
        self._start_timeout(self._limits.header_timeout_s)

    def on_url(self, url):
        """Collect a part of the request target."""
        self._target += url

    def on_header(self, name, value):
        """Collect one header; trailers are dropped."""
        self._pieces += 1
        if self._ignores_input or self._reading is not None:
            return
        if not self._reserve_headers(len(name) + len(value) + OBJECT_BYTES):
            self._reject_full()
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        """Check the size limits and call `prepare`."""
        self._in_headers = False
        if self._ignores_input:
            return
        request = HttpRequest(
            self._parser.get_method().decode("ascii"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            b"",
            self._remote,
        )
        header_bytes = sum(
            len(name) + len(value) + 4 for name, value in request.headers
        )
        if header_bytes + len(request.target) > self._limits.header_max_bytes:
            self._reject_headers()
            return
        if not self._reserve_headers(REQUEST_BYTES):
            self._reject_full()
            return
        exchange = _Exchange(request, is_last=not self._parser.should_keep_alive())
        exchange.held_bytes, self._headers_held_bytes = self._headers_held_bytes, 0
        self._headers, self._target = [], b""
        exchange.body_max_bytes = min(
            self._state.prepare(request), self._state.budget.body_max_bytes
        )
        self._reading = exchange
        self._state.reading[exchange] = self
        self._update_use()
        exchange.began_s = self._loop.time()
        exchange.body_deadline_s = exchange.began_s + BODY_TIME_MAX_S
        self._start_body_timeout()
        declared = request.get_header("Content-Length") or "0"
        if not (declared.isascii() and declared.isdigit()):
            return
        if int(declared) > exchange.body_max_bytes:
            self._reject_body()
        elif not self._reserve(exchange, int(declared)):
            self._reject_full()
        else:
            exchange.unfilled_bytes = int(declared)

    def on_body(self, body):
        """Collect a part of the body."""
        exchange = self._reading
        if self._ignores_input or exchange is None:
            return
        self._pieces += 1
        exchange.body_bytes += len(body)
        if exchange.body_bytes > exchange.body_max_bytes:
            self._reject_body()
            return
        filled = min(exchange.unfilled_bytes, len(body))
        exchange.unfilled_bytes -= filled
        if not self._reserve(exchange, len(body) - filled):
            self._reject_full()
            return
        exchange.body.write(body)

    def on_message_complete(self):
        """Start a task that handles the request."""
        exchange = self._reading
        if self._ignores_input or exchange is None:
            return
        self._reading = None
        del self._state.reading[exchange]
        exchange.request.body = exchange.body.getvalue()
        exchange.body = None
        self._exchanges.append(exchange)
        self._update_use()
        self._stop_timeout()
        # Data after the last request of a connection is ignored.
        self._ignores_input = exchange.is_last
        task = self._loop.create_task(self._state.handle(exchange.request))
        exchange.task = task
        self._state.tasks.add(task)
        task.add_done_callback(lambda task: self._complete(exchange, task))

    def _update_use(self):
        """Tell the limit on connections what this one is used for."""
        if self._exchanges:
            use = ConnectionUse.BUSY
        elif self._reading is not None or self.is_sending:
            use = ConnectionUse.TRANSFER
        elif self._ignores_input:
            use = ConnectionUse.CLOSING
        else:
            use = ConnectionUse.IDLE
        self._state.connection_limit.set_use(self, use)

    # Memory.

    def _reserve(self, exchange, size):
        """Take memory for a body; return False if there is none left."""
        budget, total = self._state.budget, exchange.held_bytes + size
        if not budget.reserve(size, total):
            self._reclaim_reservations()
            if not budget.reserve(size, total):
                return False
        exchange.held_bytes += size
        return True

    def _reclaim_reservations(self):
        """Take back what is reserved for bodies that arrive slowly."""
        oldest_s = self._loop.time() - RESERVATION_S
        for exchange in self._state.reading:
            if exchange.began_s < oldest_s:
                self._state.budget.release(exchange.unfilled_bytes)
                exchange.held_bytes -= exchange.unfilled_bytes
                exchange.unfilled_bytes = 0

    def _count_unsent(self):
        """Take memory for what the caller hasn't read yet; return its size."""
        unsent_bytes = self._transport.get_write_buffer_size()
        self._state.budget.add(unsent_bytes - self._unsent_bytes)
        self._unsent_bytes = unsent_bytes
        return unsent_bytes

    def _release(self, exchange):
        self._state.budget.release(exchange.held_bytes)
        exchange.held_bytes = exchange.unfilled_bytes = 0

    def _reserve_headers(self, size):
        """Take memory for a part of a head; return False if there is none left."""
        if not self._state.budget.reserve(size):
            return False
        self._headers_held_bytes += size
        return True

    def _release_headers(self):
        self._state.budget.release(self._headers_held_bytes)
        self._headers_held_bytes = 0
        self._headers, self._target = [], b""

    # Answers.

    def _complete(self, exchange, task):
        self._state.tasks.discard(task)
        if task.cancelled():
            return
        if task.exception() is not None:
            # An answer would state whether the request ran, which is not known.
            self.close()
            self._loop.call_exception_handler(
                {
                    "message": "a request handler failed",
                    "exception": task.exception(),
                }
            )
            return
        exchange.answer = task.result()
        # Of answers that wait for those before them.
        answer_bytes = len(exchange.answer.body)
        self._state.budget.add(answer_bytes)
        exchange.held_bytes += answer_bytes
        self._flush()

    def _flush(self):
        while self._exchanges and self._exchanges[0].answer is not None:
            exchange = self._exchanges.popleft()
            self._release(exchange)
            # Later requests may have run, so only the last answer ends the connection.
            close_wanted = (
                self._state.closing or exchange.is_last or _asks_close(exchange)
            )
            closes = close_wanted and not self._exchanges and self._reading is None
            if self._transport.is_closing():
                return
            self._transport.write(_serialize(exchange, closes))
            self._count_unsent()
            self._state.answer_count += 1
            if closes:
                self._close_gracefully()
                return
        if not self._ignores_input and len(self._exchanges) < PIPELINED_MAX:
            self._parse_unparsed()
        if not self._exchanges and self._reading is None and not self._in_headers:
            self._update_use()
            self._start_timeout(self._limits.idle_timeout_s)

    def _reject_full(self):
        detail = "this node has no memory left for the request"
        self._reject(503, detail, FULL_RETRY_S)

    def _reject_headers(self):
        limit = self._limits.header_max_bytes
        self._reject(431, f"headers are larger than {limit} bytes")

    def _reject_body(self):
        limit = self._reading.body_max_bytes
        self._reject(413, f"body is larger than {limit} bytes")

    def _check_framing(self, exchange, received_bytes):
        exchange.framing_bytes += received_bytes
        framing_max = FRAMING_PER_BODY_BYTE * exchange.body_bytes
        if exchange.framing_bytes > framing_max + self._limits.header_max_bytes:
            self._reject(400, "chunk extensions and trailers are too large")

    def _reject(self, status, detail, retry_after_s=0.0):
        """Answer a request that was not read completely and close the connection."""
        if not self._ignores_input:
            request = None if self._reading is None else self._reading.request
            rejected = RejectedRequest(
                status, detail, self._remote, retry_after_s, request
            )
            self._end_reading(self._state.reject(rejected))

    def _end_reading(self, answer):
        """Read no further request; answer the one that is incomplete."""
        self._ignores_input = True
        self._in_headers = False
        self._drop_unparsed()
        self._release_headers()
        if self._reading is not None:
            self._release(self._reading)
            del self._state.reading[self._reading]
            self._reading = None
        # An earlier request may still be at work.
        self._stop_timeout()
        request = HttpRequest("", "", (), b"", self._remote)
        self._exchanges.append(_Exchange(request, is_last=True, answer=answer))
        self._flush()

    def _close_gracefully(self):
        """Close after the last answer, without a reset that could discard it."""
        self._update_use()
        self._ignores_input = True
        self._end_pause()
        self._drop_unparsed()
        # Bytes that are not read would cause a reset.
        self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._linger_end_s = self._loop.time() + LINGER_MAX_S
        self._start_timeout(LINGER_S)

    # Timeouts. Each connection has one timer, rescheduled when it fires too early.

    def _start_timeout(self, time_s):
        self._deadline_s = self._loop.time() + time_s
        if self._timer is None or self._timer.when() > self._deadline_s:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_at(self._deadline_s, self._check_timeout)

    def _start_body_timeout(self):
        remaining_s = self._reading.body_deadline_s - self._loop.time()
        self._start_timeout(min(self._limits.idle_timeout_s, remaining_s))

    def _stop_timeout(self):
        self._deadline_s = float("inf")

    def _check_timeout(self):
        self._timer = None
        if self._deadline_s == float("inf"):
            return
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._check_timeout)
        elif self._in_headers or self._reading is not None:
            self._reject(408, "the request did not arrive in time")
        else:
            self._close_when_read()

    def _close_when_read(self):
        """Close once the caller has read its answers, or has stopped reading."""
        unsent_bytes = self._count_unsent()
        if unsent_bytes and unsent_bytes == self._left_bytes:
            self._transport.abort()
            return
        self._left_bytes = unsent_bytes
        self._transport.close()
        if unsent_bytes:
            self._start_timeout(self._limits.idle_timeout_s)


def _asks_close(exchange):
    return any(
        name.lower() == "connection" and value.lower() == "close"
        for name, value in exchange.answer.headers
    )


def _serialize(exchange, closes):
    answer = exchange.answer
    lines = [f"HTTP/1.1 {answer.status} {_get_reason_phrase(answer.status)}"]
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


def _get_reason_phrase(status):
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
