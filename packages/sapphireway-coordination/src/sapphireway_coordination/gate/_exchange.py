"""Conversion between attempts and HTTP requests and answers of their server."""

from sapphireway_coordination.gate._announcement import Announcement
from sapphireway_coordination.gate._server_dialect import ServerDialect
from sapphireway_protocol import NotRunReason, Reply, Run
from sapphireway_transport import (
    Broken,
    NotSent,
    Responded,
    ServerRequest,
    ServerResult,
)

CANCELLED_DETAIL = "cancelled while it ran"
"""Detail of an attempt whose caller no longer needs its answer."""


def make_request(
    run: Run,
    body: bytes,
    announcement: Announcement,
    remaining_s: float,
    body_max_bytes: int,
    dialect: ServerDialect,
) -> ServerRequest:
    """Return the HTTP request of an attempt.

    Parameters
    ----------
    run : Run
    body : bytes
    announcement : Announcement
        Of the target server.
    remaining_s : float
        Time left until the attempt's deadline.
    body_max_bytes : int
        Maximum size of the answer's body.
    dialect : ServerDialect
    """
    forwarded = [
        pair for pair in run.headers if pair[0].lower() not in dialect.own_headers
    ]
    added = dialect.make_headers(run, announcement.server, remaining_s)
    return ServerRequest(
        announcement.url + run.target,
        run.method,
        (*forwarded, *added),
        body,
        remaining_s,
        body_max_bytes,
        _find_echo((*forwarded, *added), dialect.echo_header),
        dialect.close_delimited_allowed,
        dialect.needs_echo,
    )


def _find_echo(headers, echo_header):
    if not echo_header:
        return None
    lowered = echo_header.lower()
    found = ((n, v.strip(" \t")) for n, v in headers if n.lower() == lowered)
    return next(found, (echo_header, ""))


def validate_result(result: ServerResult, dialect: ServerDialect) -> ServerResult:
    """Return the result, or `Broken` if it is not the server's complete answer."""
    if not isinstance(result, Responded) or dialect.says_not_run(result):
        return result
    fault = dialect.find_fault(result)
    return Broken(fault) if fault else result


def is_not_run(result: ServerResult | None, dialect: ServerDialect) -> bool:
    """Tell whether the server answered that it did not run the request."""
    return isinstance(result, Responded) and dialect.says_not_run(result)


def make_reply(
    run: Run, result: ServerResult | None, retry_after_s: float, dialect: ServerDialect
) -> tuple[Reply, bytes]:
    """Return the reply and its body for a started attempt.

    Parameters
    ----------
    run : Run
    result : ServerResult or None
        None if the exchange was cancelled.
    retry_after_s : float
        Sent to the caller if the server did not run the request.
    dialect : ServerDialect
    """
    if is_not_run(result, dialect):
        return make_refusal(
            run.attempt, NotRunReason.SHED, retry_after_s, "shed by the server"
        ), b""
    match result:
        case Responded(status, headers, body):
            return Reply(run.attempt, "answered", status, list(headers)), body
        case NotSent(detail):
            reason = NotRunReason.UNREACHABLE
            return make_refusal(run.attempt, reason, retry_after_s, detail), b""
        case Broken(detail):
            pass
        case None:
            detail = CANCELLED_DETAIL
    outcome = "failed" if run.idempotent else "unknown"
    return Reply(run.attempt, outcome, detail=detail), b""


def make_refusal(
    attempt: str, reason: NotRunReason, retry_after_s: float, detail: str = ""
) -> Reply:
    """Return the reply to an attempt that will never run."""
    return Reply(
        attempt,
        "not_run",
        reason=reason.value,
        retry_after_s=retry_after_s,
        detail=detail,
    )
