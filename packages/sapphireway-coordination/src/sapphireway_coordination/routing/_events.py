"""Events of calls at the entry node, for metrics, logs and ``explain``."""

import enum
import math
from collections.abc import Callable

import msgspec


class AttemptCause(enum.StrEnum):
    """Why an attempt was sent.

    A resend goes to the same server after its node refused an attempt that named an
    earlier incarnation of the node or carried no reading of its clock. No server did
    any work for it, so it costs no budget. Each call is resent at most once per server.

    A redirect follows refusals by the servers' nodes only. The call reached no server,
    so a redirect costs neither budget nor one of the call's attempts.
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
    LOAD = "load"


class AttemptSent(msgspec.Struct, frozen=True):
    """An attempt was sent to a server's node.

    Attributes
    ----------
    call_id, attempt, service, server, domain : str
    cause : AttemptCause
    predicted_s : float
        Moving average of the server's part of the latency of earlier attempts.
    candidates : int
        Number of servers to choose from.
    slowness : float
        Slowness of the server's host in the last report; 0 if not reported.
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


class VersionChosen(msgspec.Struct, frozen=True):
    """A running rollout decided which versions an attempt may go to.

    Attributes
    ----------
    call_id, service : str
    role : str
        ``new`` or ``old``.
    version : str
        The new version.
    share : float
        Its share of the attempts.
    """

    call_id: str
    service: str
    role: str
    version: str
    share: float


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt ended, or its outcome can no longer be learned.

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


class RevokeSent(msgspec.Struct, frozen=True):
    """The server's node was asked never to start an unanswered attempt.

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


class RetryDenied(msgspec.Struct, frozen=True):
    """A further attempt was needed but not allowed.

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


class MemberEjected(msgspec.Struct, frozen=True):
    """A server was ejected and gets no calls from this node for a while.

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


class MemberRestored(msgspec.Struct, frozen=True):
    """An ejected server gets calls again.

    Attributes
    ----------
    service, server : str
    """

    service: str
    server: str


class ProbeSent(msgspec.Struct, frozen=True):
    """A load probe was sent.

    Attributes
    ----------
    service, server : str
    age_s : float
        Age of the last report.
    """

    service: str
    server: str
    age_s: float


class CallEnded(msgspec.Struct, frozen=True):
    """A call got its outcome.

    Attributes
    ----------
    call_id, service, kind : str
    outcome : str
        Name of the outcome's class.
    attempts : int
    elapsed_s : float
    detail : str
        Reason for the outcome, in one line.
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
    | VersionChosen
    | CallEnded
)

ObserveCall = Callable[[CallEvent], None]
"""Called with each event; must not block."""
