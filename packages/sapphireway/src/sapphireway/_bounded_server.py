"""HTTP servers of operators and local servers, which hold a bounded size of bodies."""

import tornado.httpserver
import tornado.httputil
import tornado.web

from sapphireway_transport import MemoryBudget

# tornado collects a body, copies it for the handler, and the handler decodes it.
COPIES = 3
RETRY_AFTER_S = 1


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
    )

    def __init__(self, delegate, connection, budget, requests):
        self._budget = budget
        self._connection = connection
        self._delegate = delegate
        self._is_refused = False
        self._requests = requests
        self._held_bytes = 0

    def headers_received(self, start_line, headers):
        self._requests[self._connection] = self
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

    __slots__ = ("_application", "_budget", "_requests")

    def __init__(self, application, budget):
        self._application = application
        self._budget = budget
        self._requests = {}

    def start_request(self, server_conn, request_conn):
        delegate = self._application.start_request(server_conn, request_conn)
        return _BoundedRequest(delegate, request_conn, self._budget, self._requests)

    def on_close(self, server_conn):
        self._application.on_close(server_conn)

    def end_request(self, handler: tornado.web.RequestHandler) -> None:
        request = self._requests.get(handler.request.connection)
        if request is not None:
            request.release()


def make_bounded_server(
    application: tornado.web.Application, body_max_bytes: int, budget: MemoryBudget
) -> tornado.httpserver.HTTPServer:
    """Return an HTTP server whose bodies together stay within a budget.

    Requests beyond it get 503.

    Parameters
    ----------
    application : tornado.web.Application
    body_max_bytes : int
        Of one request.
    budget : MemoryBudget
    """
    bounded = _BoundedServer(application, budget)
    log_request = application.log_request

    def end_request(handler):
        bounded.end_request(handler)
        log_request(handler)

    # tornado calls it when a handler has finished, also after an error.
    application.log_request = end_request
    return tornado.httpserver.HTTPServer(bounded, max_body_size=body_max_bytes)
