"""Events of a call at its entry node, for metrics, logs and ``explain``."""

import enum
import math
from collections.abc import Callable
from dataclasses import dataclass


class AttemptCause(enum.StrEnum):
    """Why an attempt was sent.

    A resend goes to the same server, whose node refused the attempt before as it
    named an earlier start of it or no reading of its clock. No server worked for
    that, so it costs no budget; there is one a server and call.

    A redirect follows refusals by the servers' nodes only. No server was given the
    call, so it costs neither budget nor one of the call's attempts.
    """

    FIRST = "first"
    RETRY = "retry"
    REDIRECT = "redirect"
    HEDGE = "hedge"
    RESEND = "resend"


class DenyReason(enum.StrEnum):
    """Why no further attempt was sent."""

    BUDGET = "budget"
    ATTEMPTS = "attempts"
    DEADLINE = "deadline"
    SUSPECT = "suspect"


@dataclass(slots=True, frozen=True)
class AttemptSent:
    """An attempt left for a server's node.

    Attributes
    ----------
    call_id, attempt, service, server, domain : str
    cause : AttemptCause
    predicted_s : float
        Response time that the routing expected of the chosen server.
    candidates : int
        Servers that the routing could choose from.
    slowness : float
        Of the server's host by the last report; 0 if it was not told.
    report_age_s : float
        Infinite before the first report.
    """

    call_id: str
    attempt: str
    service: str
    server: str
    domain: str
    cause: AttemptCause
    predicted_s: float
    candidates: int
    slowness: float = 0.0
    report_age_s: float = math.inf


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended, or its end was given up on.

    Attributes
    ----------
    call_id, attempt, service, server : str
    outcome : str
        Name of the outcome's class.
    elapsed_s : float
    detail : str
    """

    call_id: str
    attempt: str
    service: str
    server: str
    outcome: str
    elapsed_s: float
    detail: str


@dataclass(slots=True, frozen=True)
class RevokeSent:
    """A silent attempt was asked never to start.

    Attributes
    ----------
    call_id, attempt, server : str
    waited_s : float
        Time since the attempt was sent.
    """

    call_id: str
    attempt: str
    server: str
    waited_s: float


@dataclass(slots=True, frozen=True)
class RetryDenied:
    """A retry or hedge was wanted and not sent.

    Attributes
    ----------
    call_id, service : str
    cause : AttemptCause
    reason : DenyReason
    """

    call_id: str
    service: str
    cause: AttemptCause
    reason: DenyReason


@dataclass(slots=True, frozen=True)
class MemberEjected:
    """A server gets no calls from this node for a while.

    Attributes
    ----------
    service, server : str
    duration_s : float
    detail : str
    """

    service: str
    server: str
    duration_s: float
    detail: str


@dataclass(slots=True, frozen=True)
class MemberRestored:
    """An ejected server gets calls again.

    Attributes
    ----------
    service, server : str
    """

    service: str
    server: str


@dataclass(slots=True, frozen=True)
class ProbeSent:
    """A load report was asked for.

    Attributes
    ----------
    service, server : str
    age_s : float
        Age of the last report.
    """

    service: str
    server: str
    age_s: float


@dataclass(slots=True, frozen=True)
class CallEnded:
    """A call got its outcome.

    Attributes
    ----------
    call_id, service, kind : str
    outcome : str
        Name of the outcome's class.
    attempts : int
    elapsed_s : float
    detail : str
        Why the call ended so, in one line.
    """

    call_id: str
    service: str
    kind: str
    outcome: str
    attempts: int
    elapsed_s: float
    detail: str


CallEvent = (
    AttemptSent
    | AttemptEnded
    | RevokeSent
    | RetryDenied
    | MemberEjected
    | MemberRestored
    | ProbeSent
    | CallEnded
)

ObserveCall = Callable[[CallEvent], None]
"""Called with each event; must not block."""
