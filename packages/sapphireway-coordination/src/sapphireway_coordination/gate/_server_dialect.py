"""HTTP conventions for requests to a server and for its answers."""

from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination.gate._report_headers import (
    ReportHeaders,
    parse_count,
    parse_decimal,
)
from sapphireway_coordination.gate._self_report import SelfReport
from sapphireway_protocol import Run
from sapphireway_transport import (
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    LEAVING_HEADER,
    LIMIT_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    NeedsEcho,
    Responded,
    needs_no_echo,
)

MS_PER_S = 1000
NOT_RUN_STATUS = 503
NO_REPORT = SelfReport()


class ServerDialect(msgspec.Struct, frozen=True):
    """HTTP conventions of a deployment's servers.

    Attributes
    ----------
    own_headers : frozenset of str
        Lower-case names that only nodes may set; a caller's are removed.
    make_headers : callable
        ``make_headers(run, server, remaining_s)`` returns the headers that the node
        adds to the request of one attempt.
    says_not_run : callable
        Tells whether an answer says that the request did not run.
    find_fault : callable
        Returns why an answer is not the server's complete answer, or "".
    read_report : callable
        Returns the `SelfReport` in an answer.
    echo_header : str
        Request header that the server echoes; "" if it echoes none. An answer with
        another value belongs to another request.
    needs_echo : callable
        Tells whether an answer without `echo_header`, on a connection that carried an
        earlier request, is rejected.
    close_delimited_allowed : bool
        Whether answers without a length may be delimited by connection close.
    """

    own_headers: frozenset[str]
    make_headers: Callable[[Run, str, float], Sequence[tuple[str, str]]]
    says_not_run: Callable[[Responded], bool]
    find_fault: Callable[[Responded], str] = lambda answer: ""
    read_report: Callable[[Responded], SelfReport] = lambda answer: NO_REPORT
    echo_header: str = ""
    close_delimited_allowed: bool = False
    needs_echo: NeedsEcho = needs_no_echo


def make_own_headers(
    run: Run, server: str, remaining_s: float
) -> Sequence[tuple[str, str]]:
    """Return the request headers of the default dialect."""
    return (
        (REQUEST_ID_HEADER, run.call),
        (ATTEMPT_ID_HEADER, run.attempt),
        (DEADLINE_HEADER, str(max(1, int(remaining_s * MS_PER_S)))),
    )


def says_not_run(answer: Responded) -> bool:
    """Tell whether an answer in the default dialect says that nothing ran."""
    if answer.status != NOT_RUN_STATUS:
        return False
    return any(name.lower() == NOT_RUN_HEADER.lower() for name, _ in answer.headers)


def read_own_report(answer: Responded) -> SelfReport:
    """Return what an answer in the default dialect reports of its server."""
    headers = ReportHeaders(answer.headers)
    return SelfReport(
        requests_per_s=headers.read(LIMIT_HEADER, parse_decimal),
        leaving=bool(headers.read(LEAVING_HEADER, parse_count)),
        unreadable=tuple(headers.unreadable),
    )


DEFAULT_SERVER_DIALECT = ServerDialect(
    frozenset(
        h.lower() for h in (REQUEST_ID_HEADER, ATTEMPT_ID_HEADER, DEADLINE_HEADER)
    ),
    make_own_headers,
    says_not_run,
    read_report=read_own_report,
    echo_header=ATTEMPT_ID_HEADER,
    # The echo is optional, but a refusal of another attempt must not be passed on.
    needs_echo=says_not_run,
)
