"""Events of the gate, for metrics, logs and ``explain``."""

import enum
from collections.abc import Callable

import msgspec

from sapphireway_coordination.suspects import SuspectMarked
from sapphireway_protocol import NotRunReason


class RelapseCause(enum.StrEnum):
    """Evidence that a server is cold."""

    ANNOUNCED = "announced"
    RESTARTED = "restarted"
    REFUSED = "refused"
    CRASHED = "crashed"
    SHEDDING = "shedding"
    LATENCY = "latency"
    STALLED = "stalled"


class AttemptStarted(msgspec.Struct, frozen=True):
    """An attempt was sent to the server.

    Attributes
    ----------
    attempt, call, service, kind, server : str
    waited_s : float
        Time that it spent in the queue.
    in_flight, limit : int
        Requests in flight, including this one, and their limit.
    alone : bool
        True if it runs with no other request because its digest is suspect.
    """

    attempt: str
    call: str
    service: str
    kind: str
    server: str
    waited_s: float
    in_flight: int
    limit: int
    alone: bool


class AttemptServed(msgspec.Struct, frozen=True):
    """A started attempt ended.

    Attributes
    ----------
    attempt, call, service, kind, server : str
    outcome : str
        ``answered``, ``not_run``, ``failed`` or ``unknown``.
    status : int
        HTTP status, or 0.
    elapsed_s : float
        Response time of the server.
    detail : str
    """

    attempt: str
    call: str
    service: str
    kind: str
    server: str
    outcome: str
    status: int
    elapsed_s: float
    detail: str


class AttemptRefused(msgspec.Struct, frozen=True):
    """An attempt was refused before it was sent to the server.

    Attributes
    ----------
    attempt, call, service, kind : str
    reason : NotRunReason
    retry_after_s : float
    detail : str
    in_flight, queued, limit : int
        Load at the time of the refusal.
    starts_per_s : float
        Rate limit of request starts; 0 if there is none.
    weight : int
        Priority of the request's kind.
    digest : str
    """

    attempt: str
    call: str
    service: str
    kind: str
    reason: NotRunReason
    retry_after_s: float
    detail: str
    in_flight: int
    queued: int
    limit: int
    starts_per_s: float
    weight: int
    digest: str


class AttemptRepeated(msgspec.Struct, frozen=True):
    """A message named an attempt that arrived before.

    Attributes
    ----------
    attempt : str
    message : str
        Type of the message.
    state : str
        State of the attempt.
    """

    attempt: str
    message: str
    state: str


class LimitChanged(msgspec.Struct, frozen=True):
    """The limit of requests in flight changed.

    Attributes
    ----------
    server : str
    before, after : int
    cause : str
    """

    server: str
    before: int
    after: int
    cause: str


class RelapseSeen(msgspec.Struct, frozen=True):
    """The server was found to be cold again.

    Attributes
    ----------
    server : str
    cause : RelapseCause
    limit : int
        New limit of requests in flight.
    """

    server: str
    cause: RelapseCause
    limit: int


class ServerCold(msgspec.Struct, frozen=True):
    """A server reported that it is cold; its request rate is limited.

    Attributes
    ----------
    server : str
    cold_s : float
        Time until it has warmed up.
    rate_per_s : float
    """

    server: str
    cold_s: float
    rate_per_s: float


class ServerLimited(msgspec.Struct, frozen=True):
    """A server set, changed or lifted its limit on requests per second.

    Attributes
    ----------
    server : str
    requests_per_s : float or None
        None if it lifted the limit.
    """

    server: str
    requests_per_s: float | None


class ReportUnreadable(msgspec.Struct, frozen=True):
    """A server's answer had malformed values in its report; they were ignored.

    Attributes
    ----------
    server : str
    detail : str
    """

    server: str
    detail: str


class HealthUnreadable(msgspec.Struct, frozen=True):
    """What a server sent to a health check is no answer; it proves nothing.

    Attributes
    ----------
    url : str
    detail : str
    """

    url: str
    detail: str


class ServerWarmed(msgspec.Struct, frozen=True):
    """The server's limit has reached its slots after a cold start."""

    server: str
    limit: int


class ServerAnnounced(msgspec.Struct, frozen=True):
    """A server announced itself for the first time, or after a restart."""

    server: str
    service: str
    start_id: str
    slots: int


class DepartureNotified(msgspec.Struct, frozen=True):
    """The node has told other nodes which of their attempts it started, and closes.

    Attributes
    ----------
    nodes : int
        Nodes that were lately in touch.
    acknowledged : int
        Those that acknowledged the message; the others may have to ask.
    """

    nodes: int
    acknowledged: int


class ServerLeft(msgspec.Struct, frozen=True):
    """A server left, or its lease expired.

    Attributes
    ----------
    server, service : str
    expired : bool
        True if its lease expired without notice.
    """

    server: str
    service: str
    expired: bool


class GateChanged(msgspec.Struct, frozen=True):
    """The node started or stopped refusing new work.

    Attributes
    ----------
    state : str
        ``open``, ``draining`` or ``out``.
    in_flight : int
    """

    state: str
    in_flight: int


GateEvent = (
    AttemptStarted
    | AttemptServed
    | AttemptRefused
    | AttemptRepeated
    | LimitChanged
    | RelapseSeen
    | ServerCold
    | ServerLimited
    | ReportUnreadable
    | HealthUnreadable
    | ServerWarmed
    | ServerAnnounced
    | ServerLeft
    | DepartureNotified
    | GateChanged
    | SuspectMarked
)
"""Any decision or observation of the gate."""

ObserveGate = Callable[[GateEvent], None]
"""Receives every event; must not block."""
