"""HTTP/1.1 from callers, through tornado's server without its application layer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from tornado import httputil
from tornado.httpserver import HTTPServer

HEADER_READ_MAX_BYTES = 1024 * 1024
BODY_READ_MAX_BYTES = 2**40
IDLE_TIMEOUT_S = 120.0
CHUNK_BYTES = 256 * 1024
FINISH_CHECK_INTERVAL_S = 0.02
MALFORMED_ANSWER = b"HTTP/1.1 400 Bad Request\r\n\r\n"


@dataclass(slots=True)
class HttpRequest:
    """One request of a caller, read whole.

    Attributes
    ----------
    method : str
    target : str
        Path and query as sent.
    headers : tuple of (str, str)
    body : bytes
    remote : str
        Address of the caller.
    route : object
        Whatever `prepare` found out from the headers; None if it set nothing.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remote: str
    route: Any = None

    def get_header(self, name: str) -> str | None:
        """Return the first header called `name`, in any case, or None."""
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """What is sent back to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class RejectedRequest:
    """A request that was refused while it was read.

    Attributes
    ----------
    status : int
        400 for what is not HTTP, 413 for a body and 431 for headers that are too
        large.
    detail : str
        One line for people.
    remote : str
    """

    status: int
    detail: str
    remote: str


Handle = Callable[[HttpRequest], Awaitable[HttpAnswer]]
Prepare = Callable[[HttpRequest], int]
Reject = Callable[[RejectedRequest], HttpAnswer]


@dataclass(slots=True)
class _Hooks:
    handle: Handle
    prepare: Prepare
    reject: Reject
    header_max_bytes: int
    tasks: set[asyncio.Task] = field(default_factory=set)
    reading: set["_Exchange"] = field(default_factory=set)


class HttpListener:
    """Listens for callers and answers each request through `handle`.

    Parameters
    ----------
    handle : callable
        Coroutine function from request to answer; cancelled if the caller goes away.
    prepare : callable
        Called when the headers arrived; returns the largest body in bytes.
    reject : callable
        Makes the answer for a request that is too large.
    header_max_bytes : int
        Largest request line and headers together.
    """

    __slots__ = ("_hooks", "_server")

    def __init__(
        self, handle: Handle, prepare: Prepare, reject: Reject, header_max_bytes: int
    ):
        self._hooks = _Hooks(handle, prepare, reject, header_max_bytes)
        self._server = _Server(self._hooks)

    def listen(self, host: str, port: int) -> None:
        """Bind the address and accept connections."""
        self._server.listen(port, host)

    def stop_accepting(self) -> None:
        """Accept no new connections; established ones are still served."""
        self._server.stop()

    async def finish_requests(self) -> None:
        """Wait until every request whose headers arrived is answered."""
        while self._hooks.tasks or self._hooks.reading:
            await asyncio.sleep(FINISH_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Close every connection."""
        await self._server.close_all_connections()


class _Server(HTTPServer):
    # tornado's Configurable hands the constructor's arguments to `initialize`.
    def initialize(self, hooks):
        self._hooks = hooks
        super().initialize(
            lambda request: None,
            max_header_size=HEADER_READ_MAX_BYTES,
            max_body_size=BODY_READ_MAX_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            chunk_size=CHUNK_BYTES,
        )

    def handle_stream(self, stream, address):
        # tornado answers what it can't parse by itself, without a reason and
        # without telling the application.
        write = stream.write

        def write_with_reason(data):
            if data == MALFORMED_ANSWER:
                data = self._reject_malformed(address)
            return write(data)

        stream.write = write_with_reason
        super().handle_stream(stream, address)

    def start_request(self, server_conn, request_conn):
        return _Exchange(self._hooks, request_conn)

    def _reject_malformed(self, address):
        detail = "the request is not well-formed HTTP/1.1"
        rejected = RejectedRequest(HTTPStatus.BAD_REQUEST, detail, address[0])
        answer = self._hooks.reject(rejected)
        lines = [MALFORMED_ANSWER.decode().strip()]
        lines += [f"{name}: {value}" for name, value in answer.headers]
        lines += [f"Content-Length: {len(answer.body)}", "Connection: close"]
        return "\r\n".join([*lines, "", ""]).encode() + answer.body


class _Exchange(httputil.HTTPMessageDelegate):
    """One request and its answer on a connection."""

    __slots__ = (
        "_body",
        "_body_limit",
        "_connection",
        "_finished",
        "_hooks",
        "_request",
        "_size",
        "_task",
    )

    def __init__(self, hooks, connection):
        self._hooks = hooks
        self._connection = connection
        self._request = None
        self._body = []
        self._size = 0
        self._body_limit = 0
        self._finished = False
        self._task = None

    def headers_received(self, start_line, headers):
        self._request = HttpRequest(
            start_line.method,
            start_line.path,
            tuple(headers.get_all()),
            b"",
            str(self._connection.context.remote_ip),
        )
        header_bytes = sum(len(k) + len(v) + 4 for k, v in self._request.headers)
        header_max_bytes = self._hooks.header_max_bytes
        if header_bytes + len(start_line.path) > header_max_bytes:
            self._refuse(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"headers are larger than {header_max_bytes} bytes",
            )
            return
        self._body_limit = self._hooks.prepare(self._request)
        self._hooks.reading.add(self)
        declared = headers.get("Content-Length", "0")
        if declared.isdigit() and int(declared) > self._body_limit:
            self._refuse_body()

    def data_received(self, chunk):
        if self._finished:
            return
        self._size += len(chunk)
        if self._size > self._body_limit:
            self._refuse_body()
            return
        self._body.append(chunk)

    def finish(self):
        self._hooks.reading.discard(self)
        if self._finished:
            return
        self._request.body = b"".join(self._body)
        self._body.clear()
        task = asyncio.get_running_loop().create_task(self._respond())
        self._task = task
        self._hooks.tasks.add(task)
        task.add_done_callback(self._end)
        self._connection.set_close_callback(self._cancel)

    def on_connection_close(self):
        self._hooks.reading.discard(self)
        self._finished = True
        self._cancel()

    def _cancel(self):
        if self._task is not None:
            self._task.cancel()

    def _end(self, task):
        self._hooks.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # The caller sees a broken connection, which promises nothing.
        self._connection.close()
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a request failed", "exception": task.exception()}
        )

    async def _respond(self):
        self._send(await self._hooks.handle(self._request))

    def _refuse_body(self):
        self._refuse(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f"body is larger than {self._body_limit} bytes",
        )

    def _refuse(self, status, detail):
        self._hooks.reading.discard(self)
        self._body.clear()
        rejected = RejectedRequest(status, detail, self._request.remote)
        self._send(self._hooks.reject(rejected))

    def _send(self, answer):
        self._finished = True
        headers = httputil.HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        if "Content-Length" not in headers and answer.status not in (204, 304):
            headers["Content-Length"] = str(len(answer.body))
        line = httputil.ResponseStartLine("", answer.status, _get_reason(answer.status))
        body = b"" if self._request.method == "HEAD" else answer.body
        future = self._connection.write_headers(line, headers, body or None)
        future.add_done_callback(_ignore_closed)
        self._connection.finish()


def _ignore_closed(future):
    # A caller that went away while its answer was written needs no answer.
    future.exception()


def _get_reason(status):
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
