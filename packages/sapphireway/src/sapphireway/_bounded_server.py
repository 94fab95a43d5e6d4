"""HTTP servers of operators and local servers, which hold a bounded size of input."""

import functools

import tornado.httpserver
import tornado.httputil
import tornado.web

from sapphireway_transport import ConnectionLimit, ConnectionUse, MemoryBudget

# tornado collects a body, copies it for the handler, and the handler decodes it.
COPIES = 3
RETRY_AFTER_S = 1
# Operators and servers send far fewer headers. By default, tornado keeps four times as
# much for each connection, and waits an hour for the rest.
HEADERS_MAX_BYTES = 16 * 1024
READ_BYTES = 16 * 1024  # at once; what tornado holds of a connection beside its body
IDLE_TIMEOUT_S = 60.0  # also until a head is complete
BODY_TIMEOUT_S = 60.0
CONNECTIONS_MAX = 256  # of all servers of a process that share no other limit


class _LimitedConnection:
    """A connection of tornado's, as the limit on connections sees it.

    Attributes
    ----------
    is_used : bool
        Whether tornado has begun to read from it.
    """

    __slots__ = ("_stream", "is_used")

    def __init__(self, stream):
        self._stream = stream
        self.is_used = False

    def abort(self):
        self._stream.close()


class _BoundedRequest(tornado.httputil.HTTPMessageDelegate):
    """Passes one request on while the budget has room for its body.

    From its headers until nothing is held for it, it is in ``requests``, by connection.
    """

    __slots__ = (
        "_budget",
        "_connection",
        "_delegate",
        "_held_bytes",
        "_is_refused",
        "_requests",
        "_set_use",
    )

    def __init__(self, delegate, connection, budget, requests, set_use):
        self._budget = budget
        self._connection = connection
        self._delegate = delegate
        self._is_refused = False
        self._requests = requests
        self._held_bytes = 0
        self._set_use = set_use

    def headers_received(self, start_line, headers):
        self._requests[self._connection] = self
        self._set_use(ConnectionUse.TRANSFER)
        declared = headers.get("Content-Length", "0")
        size = int(declared) if declared.isascii() and declared.isdigit() else 0
        # Not taken yet, as it may never arrive.
        if not self._budget.reserve(COPIES * size):
            self._refuse()
            return None
        self._budget.release(COPIES * size)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        if self._is_refused:
            return None
        size = COPIES * len(chunk)
        if not self._budget.reserve(size):
            self._refuse()
            return None
        self._held_bytes += size
        return self._delegate.data_received(chunk)

    def finish(self):
        if not self._is_refused:
            self._set_use(ConnectionUse.BUSY)
            self._delegate.finish()

    def on_connection_close(self):
        self.release()
        self._delegate.on_connection_close()

    def release(self):
        """Give back what is held for the request."""
        self._budget.release(self._held_bytes)
        self._held_bytes = 0
        self._requests.pop(self._connection, None)

    def _refuse(self):
        self._is_refused = True
        self.release()
        line = tornado.httputil.ResponseStartLine("HTTP/1.1", 503, "")
        headers = tornado.httputil.HTTPHeaders(
            {
                "Connection": "close",
                "Content-Length": "0",
                "Retry-After": str(RETRY_AFTER_S),
            }
        )
        self._connection.write_headers(line, headers)
        self._connection.finish()


class _BoundedServer(tornado.httputil.HTTPServerConnectionDelegate):
    """Wraps the requests of an application."""

    __slots__ = ("_application", "_budget", "_connections", "_limit", "_requests")

    def __init__(self, application, budget, limit):
        self._application = application
        self._budget = budget
        self._connections = {}
        self._limit = limit
        self._requests = {}

    def accept(self, stream):
        """Count a new connection; return False if there is no room for it."""
        connection = self._connections[stream] = _LimitedConnection(stream)
        self._limit.add(connection)
        if stream.closed():
            del self._connections[stream]
            return False
        return True

    def start_request(self, server_conn, request_conn):
        connection = self._connections[server_conn.stream]
        if connection.is_used:
            self._limit.set_use(connection, ConnectionUse.IDLE)
        connection.is_used = True
        delegate = self._application.start_request(server_conn, request_conn)
        return _BoundedRequest(
            delegate,
            request_conn,
            self._budget,
            self._requests,
            functools.partial(self._limit.set_use, connection),
        )

    def on_close(self, server_conn):
        self._limit.remove(self._connections.pop(server_conn.stream))
        self._application.on_close(server_conn)
        # Reference cycles would keep what was read until the next full collection.
        if server_conn.stream.error is not None:
            server_conn.stream.error.__traceback__ = None
        server_conn.stream = None

    def end_request(self, handler: tornado.web.RequestHandler) -> None:
        request = self._requests.get(handler.request.connection)
        if request is not None:
            request.release()


class _Server(tornado.httpserver.HTTPServer):
    """Also tells the wrapped delegate of new and closed connections."""

    def handle_stream(self, stream, address):
        # Before tornado accepts the next one, so that descriptors never run out.
        if self.request_callback.accept(stream):
            super().handle_stream(stream, address)

    def on_close(self, server_conn):
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


def make_bounded_server(
    application: tornado.web.Application,
    body_max_bytes: int,
    budget: MemoryBudget,
    connection_limit: ConnectionLimit | None = None,
) -> tornado.httpserver.HTTPServer:
    """Return an HTTP server whose bodies together stay within a budget.

    Requests beyond it get 503.

    Parameters
    ----------
    application : tornado.web.Application
    body_max_bytes : int
        Of one request.
    budget : MemoryBudget
    connection_limit : ConnectionLimit, optional
    """
    limit = connection_limit or ConnectionLimit(CONNECTIONS_MAX)
    bounded = _BoundedServer(application, budget, limit)
    log_request = application.log_request

    def end_request(handler):
        bounded.end_request(handler)
        log_request(handler)

    # tornado calls it when a handler has finished, also after an error.
    application.log_request = end_request
    return _Server(
        bounded,
        chunk_size=READ_BYTES,
        max_header_size=HEADERS_MAX_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
        max_body_size=body_max_bytes,
    )
