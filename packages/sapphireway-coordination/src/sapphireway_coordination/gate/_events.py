"""Events of the node beside a server, for metrics, logs and ``explain``."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from sapphireway_coordination.suspects import SuspectMarked
from sapphireway_protocol import NotRunReason


class RelapseCause(enum.StrEnum):
    """Evidence that a server is in a cold start."""

    ANNOUNCED = "announced"
    RESTARTED = "restarted"
    REFUSED = "refused"
    CRASHED = "crashed"
    SHEDDING = "shedding"
    LATENCY = "latency"
    STALLED = "stalled"


@dataclass(slots=True, frozen=True)
class AttemptStarted:
    """An attempt was handed to the server.

    Attributes
    ----------
    attempt, call, service, kind, server : str
    waited_s : float
        Time that it spent in the queue.
    in_flight, limit : int
        Requests in flight, this one included, and how many may be.
    alone : bool
        True if it runs alone because its digest is suspect.
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


@dataclass(slots=True, frozen=True)
class AttemptServed:
    """An attempt that had started has ended.

    Attributes
    ----------
    attempt, call, service, kind, server : str
    outcome : str
        ``answered``, ``not_run``, ``failed`` or ``unknown``.
    status : int
        HTTP status, or 0.
    elapsed_s : float
        Time that the server took.
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


@dataclass(slots=True, frozen=True)
class AttemptRefused:
    """An attempt was refused before the server got it.

    Attributes
    ----------
    attempt, call, service, kind : str
    reason : NotRunReason
    retry_after_s : float
    detail : str
    in_flight, queued, limit : int
        State of the node when it refused.
    starts_per_s : float
        Requests that may be started in a second at a cold server; 0 at a warm one.
    weight : int
        Of the request's kind.
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


@dataclass(slots=True, frozen=True)
class AttemptRepeated:
    """A message named an attempt that had come before.

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


@dataclass(slots=True, frozen=True)
class LimitChanged:
    """The limit of requests in flight moved by at least one.

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


@dataclass(slots=True, frozen=True)
class RelapseSeen:
    """The server is taken to be in a cold start from now on.

    Attributes
    ----------
    server : str
    cause : RelapseCause
    limit : int
        Requests that may be in flight from now on.
    """

    server: str
    cause: RelapseCause
    limit: int


@dataclass(slots=True, frozen=True)
class ServerCold:
    """A server says that it is cold; the rate of its requests is bounded.

    Attributes
    ----------
    server : str
    cold_s : float
        How much longer it is cold.
    rate_per_s : float
    """

    server: str
    cold_s: float
    rate_per_s: float


@dataclass(slots=True, frozen=True)
class ServerWarmed:
    """The server has shown that it bears its slots."""

    server: str
    limit: int


@dataclass(slots=True, frozen=True)
class ServerAnnounced:
    """A server announced itself for the first time, or after a restart."""

    server: str
    service: str
    start_id: str
    slots: int


@dataclass(slots=True, frozen=True)
class ServerLeft:
    """A server left, or its announcement ran out.

    Attributes
    ----------
    server, service : str
    expired : bool
        True if it did not say so itself.
    """

    server: str
    service: str
    expired: bool


@dataclass(slots=True, frozen=True)
class GateChanged:
    """The node began or ended to refuse new work.

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
    | ServerWarmed
    | ServerAnnounced
    | ServerLeft
    | GateChanged
    | SuspectMarked
)
"""Anything that the node beside a server decides or sees."""

ObserveGate = Callable[[GateEvent], None]
"""Takes every event; must not block."""
