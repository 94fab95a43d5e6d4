"""The seam between a node and the server beside it."""

from dataclasses import dataclass
from typing import Protocol

REQUEST_ID_HEADER = "Sapphireway-Request-Id"
ATTEMPT_ID_HEADER = "Sapphireway-Attempt-Id"
DEADLINE_HEADER = "Sapphireway-Deadline-Ms"
NOT_RUN_HEADER = "Sapphireway-Not-Run"


@dataclass(slots=True, frozen=True)
class ServerRequest:
    """One HTTP request to the server.

    Attributes
    ----------
    url : str
        Absolute URL of the server with path and query.
    method : str
    headers : tuple of (str, str)
    body : bytes
    timeout_s : float
        Longest time until the whole answer must have arrived.
    body_max_bytes : int
        Largest answer that is accepted.
    echo : tuple of (str, str) or None
        Header that the server sends back; an answer with another value of it belongs
        to another request.
    close_delimited_allowed : bool
        Whether an answer without a length that ends with its connection is whole.
    """

    url: str
    method: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    body_max_bytes: int
    echo: tuple[str, str] | None = None
    close_delimited_allowed: bool = False


@dataclass(slots=True, frozen=True)
class Responded:
    """The server's whole answer arrived."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class NotSent:
    """Nothing of the request was sent: no connection could be made."""

    detail: str


@dataclass(slots=True, frozen=True)
class Broken:
    """The request was sent, wholly or in part, and no whole answer arrived.

    Attributes
    ----------
    detail : str
        One line for people.
    timed_out : bool
        True if the answer was not there in time.
    disconnected : bool
        True if the server closed the connection, as it does when it crashes.
    """

    detail: str
    timed_out: bool = False
    disconnected: bool = False


ServerResult = Responded | NotSent | Broken


class ServerClient(Protocol):
    """Sends requests to servers; each at most once on the wire."""

    async def send(self, request: ServerRequest) -> ServerResult:
        """Send one request; cancelling the task closes its connection."""

    def set_connections_max(self, connections_max: int) -> None:
        """Hold at most that many connections from now on."""

    def close(self) -> None:
        """Close all connections."""
