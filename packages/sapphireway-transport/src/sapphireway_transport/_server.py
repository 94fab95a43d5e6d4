"""Interface between a node and the server beside it."""

from collections.abc import Callable
from typing import Protocol

import msgspec

REQUEST_ID_HEADER = "Sapphireway-Request-Id"
ATTEMPT_ID_HEADER = "Sapphireway-Attempt-Id"
DEADLINE_HEADER = "Sapphireway-Deadline-Ms"
NOT_RUN_HEADER = "Sapphireway-Not-Run"
LIMIT_HEADER = "Sapphireway-Limit-Per-S"
LEAVING_HEADER = "Sapphireway-Leaving"
# Statuses of HTTP; any other is no answer.
STATUS_MIN = 100
FINAL_STATUS_MIN = 200  # those below are of interim answers
STATUS_MAX = 599


class Responded(msgspec.Struct, frozen=True):
    """The complete answer of the server arrived."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


NeedsEcho = Callable[[Responded], bool]
"""Tells from an answer without its body whether it must name its request."""


def needs_no_echo(answer: Responded) -> bool:
    """Accept an answer that does not name its request."""
    return False


class ServerRequest(msgspec.Struct, frozen=True):
    """One HTTP request to a server.

    Attributes
    ----------
    url : str
        Absolute URL of the server with path and query.
    method : str
    headers : tuple of (str, str)
    body : bytes
    timeout_s : float
        Time within which the complete answer must arrive.
    body_max_bytes : int
        Largest body of an answer that is accepted.
    echo_header : tuple of (str, str) or None
        Header that the server sends back; an answer with a different value belongs to
        another request. No connection carries a value twice, and a request with an
        empty value gets a new connection and accepts an answer with any value.
    close_delimited_allowed : bool
        Whether an answer without a length, delimited by the end of its connection, is
        accepted as complete.
    needs_echo : callable
        Tells whether an answer without `echo_header` is rejected. The first answer on
        a connection is accepted without.
    """

    url: str
    method: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    body_max_bytes: int
    echo_header: tuple[str, str] | None = None
    close_delimited_allowed: bool = False
    needs_echo: NeedsEcho = needs_no_echo


class NotSent(msgspec.Struct, frozen=True):
    """No part of the request was sent, as when no connection could be established."""

    detail: str


class Broken(msgspec.Struct, frozen=True):
    """The request was sent, at least partly, but no complete answer arrived.

    Attributes
    ----------
    detail : str
        One line for humans.
    timed_out : bool
        True if the answer did not arrive in time.
    disconnected : bool
        True if the server closed the connection, as in a crash.
    """

    detail: str
    timed_out: bool = False
    disconnected: bool = False


ServerResult = Responded | NotSent | Broken


class ServerClient(Protocol):
    """Sends requests to servers, each at most once."""

    async def send(self, request: ServerRequest) -> ServerResult:
        """Send one request; if the task is cancelled, the connection is closed."""

    def set_connections_max(self, connections_max: int) -> None:
        """Change the limit on open connections."""

    def close(self) -> None:
        """Close all connections."""
