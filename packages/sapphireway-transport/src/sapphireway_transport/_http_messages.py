"""HTTP requests of callers, their answers and limits."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec


class HttpRequest(msgspec.Struct):
    """One complete request of a caller.

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
        Value that `prepare` may derive from the headers and store; None by default.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remote: str
    route: Any = None

    def get_header(self, name: str) -> str | None:
        """Return the first header with a name, case-insensitively, or None."""
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


class HttpAnswer(msgspec.Struct, frozen=True):
    """The answer to a caller's request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class RejectedRequest(msgspec.Struct, frozen=True):
    """A request that was rejected while being read.

    Attributes
    ----------
    status : int
        400 for malformed HTTP, 408 for a request that arrives too slowly, 413 for a
        body and 431 for headers that are too large, 503 if there is no memory for it.
    detail : str
        One line for humans.
    remote : str
    retry_after_s : float, default=0
        When the caller may come back, for 503.
    request : HttpRequest or None
        Without its body; None if its headers are not complete.
    """

    status: int
    detail: str
    remote: str
    retry_after_s: float = 0.0
    request: HttpRequest | None = None


class HttpLimits(msgspec.Struct, frozen=True):
    """Size and time limits for requests of callers.

    Attributes
    ----------
    header_max_bytes : int
        Largest total size of request line and headers.
    header_timeout_s : float
        Time from the first byte of a request to the end of its headers.
    idle_timeout_s : float
        Longest time without receiving a byte, between requests or within a body.
    """

    header_max_bytes: int = 65_536
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0


class PendingRequests(msgspec.Struct, frozen=True):
    """How many requests of a listener have no complete answer yet.

    Attributes
    ----------
    reading : int
        Requests whose headers have arrived, but not yet the complete body.
    running : int
        Requests that are being handled.
    unsent : int
        Connections that still have bytes of an answer to send.
    """

    reading: int
    running: int
    unsent: int


Handle = Callable[[HttpRequest], Awaitable[HttpAnswer]]
Prepare = Callable[[HttpRequest], int]
Reject = Callable[[RejectedRequest], HttpAnswer]
