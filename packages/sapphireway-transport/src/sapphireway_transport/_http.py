"""HTTP/1.1 server for callers: listening, limits and shutdown.

tornado's server reads a request only after the previous one is answered, so pipelined
requests would run one after another. httptools only parses and leaves the order to
the program; `_http_connection` serves one connection with it.
"""

import asyncio
import socket
from collections.abc import Callable

from sapphireway_transport._connection_limit import ConnectionLimit
from sapphireway_transport._http_connection import HttpConnection, ListenerState
from sapphireway_transport._http_messages import (
    Handle,
    HttpAnswer,
    HttpLimits,
    HttpRequest,
    PendingRequests,
    Prepare,
    Reject,
)
from sapphireway_transport._memory_budget import MemoryBudget, make_body_budget

CONNECTIONS_MAX = 1 << 16  # without a limit of the process
BACKLOG_CONNECTIONS = 1024  # a full queue drops SYNs, which delays callers by seconds
# Accepted in one turn of the event loop, before the limit on connections is applied.
ACCEPT_MAX = 32
FINISH_CHECK_INTERVAL_S = 0.02


class HttpListener:
    """Accepts connections of callers and answers each request through `handle`.

    Parameters
    ----------
    handle : callable
        Coroutine function that returns the answer; cancelled if the caller disconnects.
    prepare : callable
        Called once the headers have arrived; returns the largest body in bytes.
    reject : callable
        Returns the answer to a request that cannot be read.
    get_limits : callable
        Returns the `HttpLimits` in force.
    budget : MemoryBudget, optional
        Of all that the process holds for requests and answers.
    connection_limit : ConnectionLimit, optional
    """

    __slots__ = ("_server", "_state")

    def __init__(
        self,
        handle: Handle,
        prepare: Prepare,
        reject: Reject,
        get_limits: Callable[[], HttpLimits],
        budget: MemoryBudget | None = None,
        connection_limit: ConnectionLimit | None = None,
    ):
        self._state = ListenerState(
            handle,
            prepare,
            reject,
            get_limits,
            budget=budget or make_body_budget(),
            connection_limit=connection_limit or ConnectionLimit(CONNECTIONS_MAX),
        )
        self._server = None

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their last pending answer."""
        return self._state.closing

    @closing.setter
    def closing(self, closing: bool) -> None:
        self._state.closing = closing

    @property
    def answer_count(self) -> int:
        """Number of answers given so far."""
        return self._state.answer_count

    def count_pending(self) -> PendingRequests:
        """Count the requests that a close would leave without a complete answer."""
        state = self._state
        unsent = sum(connection.is_sending for connection in state.connections)
        return PendingRequests(len(state.reading), len(state.tasks), unsent)

    async def listen(self, host: str, port: int) -> None:
        """Bind the address and start accepting connections."""
        loop = asyncio.get_running_loop()
        listening = socket.create_server((host, port))
        self._server = await loop.create_server(
            lambda: HttpConnection(self._state), sock=listening, backlog=ACCEPT_MAX
        )
        # asyncio uses one number for the queue and for what it accepts in one turn.
        listening.listen(BACKLOG_CONNECTIONS)

    def stop_accepting(self) -> None:
        """Stop accepting connections; established ones are still served."""
        if self._server is not None:
            self._server.close()

    async def finish_requests(self) -> None:
        """Wait until every request whose headers have arrived is answered."""
        while self._state.tasks or self._state.reading:
            await asyncio.sleep(FINISH_CHECK_INTERVAL_S)

    def refuse_unread(self, refuse: Callable[[HttpRequest], HttpAnswer | None]) -> None:
        """Answer requests whose body is not complete and close their connections.

        Parameters
        ----------
        refuse : callable
            Returns the answer to a request, or None if its body may still be read.
        """
        for exchange, connection in list(self._state.reading.items()):
            answer = refuse(exchange.request)
            if answer is not None:
                connection.refuse_unread(answer)

    async def close(self, linger_s: float = 0.0) -> None:
        """Close every connection.

        Parameters
        ----------
        linger_s : float, default=0
            How long callers may take to read the answers of their connections, in
            seconds. Connections without a request are closed at once.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + linger_s
        self._close_idle()
        while self._state.connections and (now_s := loop.time()) < end_s:
            await asyncio.sleep(min(FINISH_CHECK_INTERVAL_S, end_s - now_s))
            self._close_idle()
        for connection in list(self._state.connections):
            connection.close()
        await asyncio.sleep(0)

    def _close_idle(self):
        for connection in list(self._state.connections):
            if connection.is_idle:
                connection.close()
