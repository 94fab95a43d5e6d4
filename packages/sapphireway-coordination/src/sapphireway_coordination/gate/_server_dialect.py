"""How requests to a server, and its answers, are written in HTTP."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sapphireway_coordination.gate._self_report import SelfReport
from sapphireway_protocol import Run
from sapphireway_transport import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Responded,
)

MS_PER_S = 1000
NOT_RUN_STATUS = 503
NO_REPORT = SelfReport()


@dataclass(slots=True, frozen=True)
class ServerDialect:
    """What a deployment's servers expect and say.

    Attributes
    ----------
    own_headers : frozenset of str
        Names in lower case that only nodes set; a caller's are dropped.
    make_headers : callable
        ``make_headers(run, server, remaining_s)`` returns the headers that the node
        adds for one attempt.
    says_not_run : callable
        Tells whether an answer states that the request did not run.
    find_fault : callable
        Returns why an answer can't be the server's whole answer, or "".
    read_report : callable
        Returns the `SelfReport` in an answer.
    echo_header : str
        Header of the request that the server repeats; "" if it repeats none.
    unframed_allowed : bool
        Whether answers without a length may end with their connection.
    """

    own_headers: frozenset[str]
    make_headers: Callable[[Run, str, float], Sequence[tuple[str, str]]]
    says_not_run: Callable[[Responded], bool]
    find_fault: Callable[[Responded], str] = lambda answer: ""
    read_report: Callable[[Responded], SelfReport] = lambda answer: NO_REPORT
    echo_header: str = ""
    unframed_allowed: bool = False


def make_own_headers(
    run: Run, server: str, remaining_s: float
) -> Sequence[tuple[str, str]]:
    """Return the headers of sapphireway's own interface to servers."""
    return (
        (REQUEST_ID_HEADER, run.call),
        (ATTEMPT_ID_HEADER, run.attempt),
        (DEADLINE_HEADER, str(max(1, int(remaining_s * MS_PER_S)))),
    )


def says_not_run(answer: Responded) -> bool:
    """Tell whether a server says in sapphireway's own form that it ran nothing."""
    if answer.status != NOT_RUN_STATUS:
        return False
    return any(name.lower() == NOT_RUN_HEADER.lower() for name, _ in answer.headers)


DEFAULT_SERVER_DIALECT = ServerDialect(
    frozenset(
        h.lower() for h in (REQUEST_ID_HEADER, ATTEMPT_ID_HEADER, DEADLINE_HEADER)
    ),
    make_own_headers,
    says_not_run,
)
