"""Translation between an attempt and the HTTP exchange with its server."""

from sapphireway_protocol import NotRunReason, Reply, Run
from sapphireway_transport import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Broken,
    NotSent,
    Responded,
    ServerRequest,
    ServerResult,
)

NOT_RUN_STATUS = 503

_SET_HERE = frozenset(
    name.lower() for name in (REQUEST_ID_HEADER, ATTEMPT_ID_HEADER, DEADLINE_HEADER)
)


def make_request(
    run: Run, body: bytes, base_url: str, remaining_s: float, body_max_bytes: int
) -> ServerRequest:
    """Return the HTTP request of an attempt.

    Parameters
    ----------
    run : Run
    body : bytes
    base_url : str
        URL of the server without a path.
    remaining_s : float
        Time left until the attempt's deadline.
    body_max_bytes : int
        Largest answer that is accepted.
    """
    passed = [pair for pair in run.headers if pair[0].lower() not in _SET_HERE]
    added = [
        (REQUEST_ID_HEADER, run.call),
        (ATTEMPT_ID_HEADER, run.attempt),
        (DEADLINE_HEADER, str(max(1, int(remaining_s * 1000)))),
    ]
    return ServerRequest(
        base_url + run.target,
        run.method,
        tuple((name, value) for name, value in passed + added),
        body,
        remaining_s,
        body_max_bytes,
    )


def says_not_run(result: ServerResult | None) -> bool:
    """Tell whether the server itself says that it did not run the request."""
    if not isinstance(result, Responded) or result.status != NOT_RUN_STATUS:
        return False
    return any(name.lower() == NOT_RUN_HEADER.lower() for name, _ in result.headers)


def make_reply(
    run: Run, result: ServerResult | None, retry_after_s: float
) -> tuple[Reply, bytes]:
    """Return the reply and its body for what became of an attempt that started.

    Parameters
    ----------
    run : Run
    result : ServerResult or None
        None if the exchange was cancelled.
    retry_after_s : float
        Told to the caller if the server did not run the request.
    """
    if says_not_run(result):
        return make_refusal(
            run.attempt, NotRunReason.OVERLOADED, retry_after_s, "shed by the server"
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
            detail = "cancelled while it ran"
    outcome = "failed" if run.idempotent else "unknown"
    return Reply(run.attempt, outcome, detail=detail), b""


def make_refusal(
    attempt: str, reason: NotRunReason, retry_after_s: float, detail: str = ""
) -> Reply:
    """Return the reply to an attempt that no server has run or will run."""
    return Reply(
        attempt,
        "not_run",
        reason=reason.value,
        retry_after_s=retry_after_s,
        detail=detail,
    )
