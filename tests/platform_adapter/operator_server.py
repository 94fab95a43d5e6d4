"""A server of the operator's interface for tests."""

import tornado.httpserver
import tornado.web

from sapphireway._logs import EventLog
from sapphireway_platform._main import _make_operator_routes


def listen(node):
    """Return a server of the operator's interface and its port."""
    routes = _make_operator_routes(node, EventLog(lambda: 0.0))
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(routes, log_function=lambda handler: None)
    )
    server.listen(0, "127.0.0.1")
    return server, next(iter(server._sockets.values())).getsockname()[1]
