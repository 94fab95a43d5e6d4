"""The four ways in which a call ends."""

import enum
from dataclasses import dataclass


class NotRunReason(enum.StrEnum):
    """Why a request was refused before any server ran it."""

    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    SHED = "shed"  # by the server itself, that is, it was given the request
    DEADLINE = "deadline"
    DRAINING = "draining"
    DOMAIN_OUT = "domain_out"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    REVOKED = "revoked"
    STALE = "stale"
    CLAIM_CONFLICT = "claim_conflict"
    CLAIM_MISMATCH = "claim_mismatch"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CANCELLED = "cancelled"
    STOPPING = "stopping"


@dataclass(slots=True, frozen=True)
class Answered:
    """The server's complete answer.

    Attributes
    ----------
    status : int
        HTTP status of the server.
    headers : tuple of (str, str)
        End-to-end headers in the server's order.
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(slots=True, frozen=True)
class NotRun:
    """No server ran the request, and none will.

    Attributes
    ----------
    reason : NotRunReason
    retry_after_s : float
        When the caller may try again.
    detail : str
        One line for people.
    """

    reason: NotRunReason
    retry_after_s: float = 1.0
    detail: str = ""


@dataclass(slots=True, frozen=True)
class Failed:
    """A server ran the request and gave no complete answer, and it is idempotent.

    Attributes
    ----------
    detail : str
        One line for people.
    """

    detail: str


@dataclass(slots=True, frozen=True)
class Unknown:
    """The request may have run; nobody can tell.

    Attributes
    ----------
    detail : str
        One line for people.
    """

    detail: str


Outcome = Answered | NotRun | Failed | Unknown
