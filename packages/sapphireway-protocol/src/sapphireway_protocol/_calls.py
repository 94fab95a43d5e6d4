"""Messages of a call between its entry node and the node beside a server."""

import enum

import msgspec


class ServerState(enum.StrEnum):
    """State of a server, as reported by the node beside it."""

    SERVING = "serving"
    COLD = "cold"
    DRAINING = "draining"
    OUT = "out"
    DOWN = "down"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one server, as measured by the node beside it.

    Attributes
    ----------
    server : str
        Server id.
    in_flight : int
        Requests sent to the server and not yet finished.
    queued : int
        Requests waiting for a slot.
    limit : int
        Current concurrency limit.
    latency_ms : float
        Moving average of the server's response time.
    state : ServerState
    start_id : str
        Changes whenever the server's process starts.
    slowness : float
        Factor by which work on the server's host takes longer than usual; 0 if the
        server does not report it.
    slow_span_s : float
        Average length of slow periods; 0 before the first has ended.
    starts_per_s : float
        Rate limit on request starts, as the server is cold or has set one; 0 if only
        the concurrency limit applies.
    server_limit_per_s : float or None
        Rate limit that the server has set; infinite if it set none, None if its
        answers have not told yet.
    server_leaving : bool
        The server, and not only its node, is about to stop.
    """

    server: str
    in_flight: int
    queued: int
    limit: int
    latency_ms: float
    state: ServerState
    start_id: str
    slowness: float = 0.0
    slow_span_s: float = 0.0
    starts_per_s: float = 0.0
    server_limit_per_s: float | None = None
    server_leaving: bool = False


class Run(msgspec.Struct, frozen=True, tag="run", array_like=True):
    """Request to run one attempt; the HTTP body is a separate frame.

    Attributes
    ----------
    attempt : str
        Unique attempt id; an attempt runs at most once.
    call : str
        Call id, shared by all attempts of the call.
    service, kind : str
    method, target : str
        From the HTTP request line; the target includes the query.
    headers : list of (str, str)
        End-to-end headers.
    idempotent : bool
    weight : int
        Weight of the request kind for load shedding.
    digest : str
        Digest shared by similar requests, which identifies those that crash servers.
    budget_ms : float
        Time left for the attempt at the time of sending.
    latest_start_s : float
        Time on the receiver's clock after which the attempt must not start, derived
        from the receiver's last known clock reading; 0 if none is known.
    incarnation : str
        Incarnation of the receiver to which ``latest_start_s`` applies.
    target_ms : float or None
        Time left, at the time of sending, until the target latency is exceeded and
        an answer loses value; negative if exceeded, None if there is no target.
    server_limit_per_s : float or None
        Rate limit that the server has set, as far as the sender knows, for a receiver
        that has restarted since; None if none is known.
    """

    attempt: str
    call: str
    service: str
    kind: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    idempotent: bool
    weight: int
    digest: str
    budget_ms: float
    latest_start_s: float = 0.0
    incarnation: str = ""
    target_ms: float | None = None
    server_limit_per_s: float | None = None


class Reply(msgspec.Struct, frozen=True, tag="reply", array_like=True):
    """Result of one attempt; the body of an answer is a separate frame.

    Attributes
    ----------
    attempt : str
    outcome : str
        ``answered``, ``not_run``, ``failed`` or ``unknown``.
    status : int
        HTTP status, if answered.
    headers : list of (str, str)
        Headers, if answered.
    reason : str
        A `NotRunReason`, if not run.
    retry_after_s : float
    detail : str
    load : LoadReport or None
    server_ms : float
        Time from the arrival of `Run` to this reply, including queueing; 0 if not
        known. The rest of the time measured by the entry node is network time.
    """

    attempt: str
    outcome: str
    status: int = 0
    headers: list[tuple[str, str]] = []
    reason: str = ""
    retry_after_s: float = 0.0
    detail: str = ""
    load: LoadReport | None = None
    server_ms: float = 0.0


class ReserveBody(msgspec.Struct, frozen=True, tag="reserve_body", array_like=True):
    """Request for the memory of a large body before it is sent.

    Attributes
    ----------
    call : str
    size_bytes : int
    hold_s : float
        Time after which the body won't come any more.
    """

    call: str
    size_bytes: int
    hold_s: float


class BodyReserved(msgspec.Struct, frozen=True, tag="body_reserved", array_like=True):
    """Answer to `ReserveBody`; the body must not be sent if it isn't granted."""

    granted: bool


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """Notice that the caller no longer needs the answer of an attempt."""

    attempt: str


class Revoke(msgspec.Struct, frozen=True, tag="revoke", array_like=True):
    """Request to prevent an attempt from starting if it has not started yet.

    Attributes
    ----------
    attempt : str
    latest_start_s : float
        As in the attempt's `Run`. Some time after it the receiver discards its
        record of the attempt and can guarantee nothing; with 0 it cannot detect that
        the record has been discarded.
    keep_waiting : bool
        True to revoke the attempt only if it has not arrived; an attempt that waits
        for a slot keeps waiting.
    """

    attempt: str
    latest_start_s: float = 0.0
    keep_waiting: bool = False


class Revoked(msgspec.Struct, frozen=True, tag="revoked", array_like=True):
    """Answer to `Revoke`.

    Attributes
    ----------
    attempt : str
    never_runs : bool
        True if the attempt has not started and never will.
    finished : bool
        True if the attempt has already ended; its `Reply` was resent.
    load : LoadReport or None
    """

    attempt: str
    never_runs: bool
    finished: bool
    load: LoadReport | None = None


class Probe(msgspec.Struct, frozen=True, tag="probe", array_like=True):
    """Request for the load report of a server."""

    server: str


class ProbeReply(msgspec.Struct, frozen=True, tag="probe_reply", array_like=True):
    """Answer to `Probe`; ``load`` is None if the receiver does not know the server."""

    load: LoadReport | None


class LoadUpdate(msgspec.Struct, frozen=True, tag="load_news", array_like=True):
    """Load report sent at once after a change that makes a server faster or slower."""

    load: LoadReport


class Departed(msgspec.Struct, frozen=True, tag="departed", array_like=True):
    """Last message of a process that stops gracefully, to a peer that was in touch.

    No attempt starts at the sender's incarnation after this message was made, and
    requests that it has not answered get no reply.

    Attributes
    ----------
    started : list of str
        The receiver's attempts that have started, of those with a latest start of at
        least ``complete_since_s``.
    complete_since_s : float
        Reading of the sender's clock. Attempts with an earlier latest start may have
        started without being named.
    """

    started: list[str]
    complete_since_s: float


class DepartedAck(msgspec.Struct, frozen=True, tag="departed_ack", array_like=True):
    """Acknowledgement of `Departed` by the incarnation that it came from."""

    incarnation: str


MESSAGES = (
    LoadUpdate,
    Run,
    Reply,
    Cancel,
    Revoke,
    Revoked,
    Probe,
    ProbeReply,
    Departed,
    DepartedAck,
    ReserveBody,
    BodyReserved,
)
