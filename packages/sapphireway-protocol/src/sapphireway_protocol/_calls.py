"""Messages of one call between its entry node and the node beside a server."""

import enum

import msgspec


class ServerState(enum.StrEnum):
    """What the node beside a server says of it."""

    SERVING = "serving"
    COLD = "cold"
    DRAINING = "draining"
    OUT = "out"
    DOWN = "down"


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of one server, counted by the node beside it.

    Attributes
    ----------
    server : str
        Server id.
    in_flight : int
        Requests that the node has handed to the server.
    queued : int
        Requests that wait for a slot.
    limit : int
        Requests that may be in flight now.
    latency_ms : float
        Moving average of the server's response time.
    state : ServerState
    start_id : str
        Changes whenever the server's process starts.
    slowness : float
        How many times longer than usual work takes there now; 0 if it doesn't tell.
    slow_span_s : float
        How long slow times last there; 0 if none was seen.
    starts_per_s : float
        Requests that the node starts in a second while the server is cold; 0 if only
        the limit bounds them.
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


class Run(msgspec.Struct, frozen=True, tag="run", array_like=True):
    """Ask the node beside a server to run one attempt; the body is its own frame.

    Attributes
    ----------
    attempt : str
        Unique id of this attempt; an attempt runs at most once.
    call : str
        Id of the call, the same for all its attempts.
    service, kind : str
    method, target : str
        HTTP request line; the target includes the query.
    headers : list of (str, str)
        End-to-end headers.
    idempotent : bool
    weight : int
        Weight of the request kind, for shedding.
    digest : str
        Names requests that are alike, to recognise one that crashes servers.
    budget_ms : float
        Time left for the attempt when it was sent.
    latest_start_s : float
        Reading of the receiver's clock after which the attempt must not start,
        worked out from the last reading that the sender got; 0 if it has none.
    incarnation : str
        Incarnation of the receiver that the clock reading belongs to.
    target_ms : float or None
        Time left, when it was sent, until an answer is worth less; below 0 if it is
        over, None if there is no such time.
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


class Reply(msgspec.Struct, frozen=True, tag="reply", array_like=True):
    """End of one attempt; an answer's body is its own frame.

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
        Time from the arrival of `Run` to this reply, waiting included; 0 if not
        known. The rest of the entry node's elapsed time is the network's.
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


class Cancel(msgspec.Struct, frozen=True, tag="cancel", array_like=True):
    """The caller no longer needs the attempt's answer."""

    attempt: str


class Revoke(msgspec.Struct, frozen=True, tag="revoke", array_like=True):
    """Ask that an attempt never starts, if it has not started yet.

    Attributes
    ----------
    attempt : str
    latest_start_s : float
        That of its `Run`. The receiver forgets attempts some time after it, and
        then can promise nothing; with 0 it cannot tell that it has forgotten.
    keep_waiting : bool
        Whether an attempt that waits for a slot stays; only one that never arrived is
        then given up.
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
        True if it ended already; its `Reply` was sent again.
    load : LoadReport or None
    """

    attempt: str
    never_runs: bool
    finished: bool
    load: LoadReport | None = None


class Probe(msgspec.Struct, frozen=True, tag="probe", array_like=True):
    """Ask for a load report."""

    server: str


class ProbeReply(msgspec.Struct, frozen=True, tag="probe_reply", array_like=True):
    """Answer to `Probe`; ``load`` is None if the server is not known there."""

    load: LoadReport | None


class LoadUpdate(msgspec.Struct, frozen=True, tag="load_news", array_like=True):
    """Tell callers at once of a change that makes a server faster or slower."""

    load: LoadReport


MESSAGES = (LoadUpdate, Run, Reply, Cancel, Revoke, Revoked, Probe, ProbeReply)
