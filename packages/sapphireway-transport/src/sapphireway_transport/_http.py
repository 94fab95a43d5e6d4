"""HTTP/1.1 from callers: listening, limits and shutdown.

tornado's server reads a request only once the one before it is answered, so that
requests that a caller pipelines would wait for each other. httptools is the nearest
kin that leaves the order to the program; `_http_connection` has one connection.
"""

import asyncio
import socket
from collections.abc import Callable

from sapphireway_transport._http_connection import Hooks, HttpConnection
from sapphireway_transport._http_messages import (
    Handle,
    HttpLimits,
    Prepare,
    Reject,
)

BACKLOG_CONNECTIONS = 1024  # a full queue drops the opening packet for seconds
FINISH_CHECK_INTERVAL_S = 0.02


class HttpListener:
    """Listens for callers and answers each request through `handle`.

    Parameters
    ----------
    handle : callable
        Coroutine function from request to answer; cancelled if the caller goes away.
    prepare : callable
        Called when the headers arrived; returns the largest body in bytes.
    reject : callable
        Makes the answer for a request that can't be read.
    get_limits : callable
        Returns the `HttpLimits` in force.

    Attributes
    ----------
    closing : bool
        True if answers end their connections as soon as nothing else is under way
        on them.
    """

    __slots__ = ("_hooks", "_server")

    def __init__(
        self,
        handle: Handle,
        prepare: Prepare,
        reject: Reject,
        get_limits: Callable[[], HttpLimits],
    ):
        self._hooks = Hooks(handle, prepare, reject, get_limits)
        self._server = None

    @property
    def closing(self) -> bool:
        """True if answers end their connections."""
        return self._hooks.closing

    @closing.setter
    def closing(self, closing: bool) -> None:
        self._hooks.closing = closing

    async def listen(self, host: str, port: int) -> None:
        """Bind the address and accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpConnection(self._hooks),
            host,
            port,
            family=socket.AF_INET,
            backlog=BACKLOG_CONNECTIONS,
        )

    def stop_accepting(self) -> None:
        """Accept no new connections; established ones are still served."""
        if self._server is not None:
            self._server.close()

    async def finish_requests(self) -> None:
        """Wait until every request whose headers arrived is answered."""
        while self._hooks.tasks or self._hooks.reading:
            await asyncio.sleep(FINISH_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Close every connection."""
        for connection in list(self._hooks.connections):
            connection.close()
        await asyncio.sleep(0)
