"""The four possible outcomes of a call."""

import enum

import msgspec

from sapphireway_transport import FINAL_STATUS_MIN, STATUS_MAX, find_field_fault


class NotRunReason(enum.StrEnum):
    """Why a request was not run by any server."""

    NO_SERVER = "no_server"
    OVERLOADED = "overloaded"
    SHED = "shed"  # by the server itself, after it received the request
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
    QUOTA = "quota"
    UNCONFIRMED = "unconfirmed"
    VERSION = "version"


class Answered(msgspec.Struct, frozen=True):
    """The server answered completely.

    Attributes
    ----------
    status : int
        HTTP status of the answer.
    headers : tuple of (str, str)
        End-to-end headers in the order sent by the server.
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class NotRun(msgspec.Struct, frozen=True):
    """No server ran the request, and none will run it later.

    Attributes
    ----------
    reason : NotRunReason
    retry_after_s : float
        Time after which the caller may retry.
    detail : str
        One line for humans.
    """

    reason: NotRunReason
    retry_after_s: float = 1.0
    detail: str = ""


class Failed(msgspec.Struct, frozen=True):
    """An idempotent request got no complete answer from the server that ran it.

    Attributes
    ----------
    detail : str
        One line for humans.
    """

    detail: str


class Unknown(msgspec.Struct, frozen=True):
    """The request may or may not have run; this cannot be determined.

    Attributes
    ----------
    detail : str
        One line for humans.
    """

    detail: str


Outcome = Answered | NotRun | Failed | Unknown


def read_answer(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes
) -> Answered | Unknown:
    """Return an answer that another process passed on or stored.

    An earlier version of the program accepted any status of three digits, and fields
    that are malformed.
    """
    if not FINAL_STATUS_MIN <= status <= STATUS_MAX:
        return Unknown(f"the answer has status {status}, which is none of HTTP")
    for name, value in headers:
        fault = find_field_fault(name, value)
        if fault:
            return Unknown(f"the answer has {fault}")
    return Answered(status, headers, body)
