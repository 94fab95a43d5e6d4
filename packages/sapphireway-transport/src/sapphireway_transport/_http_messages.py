"""Requests of callers, their answers, and what bounds them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any


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
        400 for what is not HTTP, 408 for one that arrives too slowly, 413 for a body
        and 431 for headers that are too large.
    detail : str
        One line for people.
    remote : str
    """

    status: int
    detail: str
    remote: str


@dataclass(slots=True, frozen=True)
class HttpLimits:
    """What a caller may send and how long it may take.

    Attributes
    ----------
    header_max_bytes : int
        Largest request line and headers together.
    header_timeout_s : float
        Time from the first byte of a request to the end of its headers.
    idle_timeout_s : float
        Time without a byte, between requests or within a body.
    """

    header_max_bytes: int = 65_536
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0


Handle = Callable[[HttpRequest], Awaitable[HttpAnswer]]
Prepare = Callable[[HttpRequest], int]
Reject = Callable[[RejectedRequest], HttpAnswer]
