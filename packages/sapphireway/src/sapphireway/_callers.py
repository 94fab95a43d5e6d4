"""HTTP interface for callers: turns requests into calls and outcomes into answers."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from sapphireway._identity import (
    Identify,
    KeyProblem,
    KeyRefused,
    Unadmitted,
    compute_weight,
    decode_access_key,
    make_identify,
)
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway_coordination import Call
from sapphireway_protocol import (
    Answered,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from sapphireway_state import (
    CallerLimits,
    Policy,
    RequestKind,
    Route,
    RouteTable,
    RouteView,
    SettingsView,
)
from sapphireway_transport import HttpAnswer, HttpRequest, RejectedRequest

OUTCOME_HEADER = "Sapphireway-Outcome"
REASON_HEADER = "Sapphireway-Reason"
TIMEOUT_HEADER = "Request-Timeout-Ms"
KEY_HEADER = "Idempotency-Key"
TIMEOUT_DIGITS_MAX = 9  # a longer number is above any maximum
KEY_MAX_BYTES = 256
MS_PER_S = 1000
UNMATCHED_BODY_MAX_BYTES = 64 * 1024
CALL_ID_MAX_BYTES = 128
TRACKED_KINDS_MAX = 4096  # kinds whose longest caller timeout is stored
STOPPED_DETAIL = "no answer by the stop of the node"
NO_SETTINGS_RETRY_S = 1.0  # a starting node has settings within this time
NO_ROUTES = RouteView(RouteTable(), 0)

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
NOT_FORWARDED = HOP_BY_HOP | {"content-length", "expect"}


class Arrival(msgspec.Struct, frozen=True):
    """State of the node when the headers of a request arrived.

    Attributes
    ----------
    fences : object
        Result of `get_fences` for a request with a key, else None.
    stopping : bool
        Whether the node had begun to stop; such a request is not run.
    refusal : NotRun or None
        Why the request must not be run; only its claim may still answer it.
    """

    fences: Any
    stopping: bool
    refusal: NotRun | None = None


ExecuteCall = Callable[[Call, Arrival], Awaitable[Outcome]]
"""Executes a call and returns its outcome."""


class CallerDialect(msgspec.Struct, frozen=True):
    """HTTP conventions of a deployment's callers.

    Attributes
    ----------
    render : callable
        ``render(outcome, close)`` returns the answer for an outcome.
    timeout_header : str
        Header with the milliseconds that the caller waits.
    key_header : str
        Header with the idempotency key; "" if callers send none.
    id_header : str
        Header with the caller's request id; "" if the node creates the ids.
    override_headers : tuple of (str, str)
        Headers set on every request in place of the caller's own.
    access_header : str
        Header with the caller's API key; not sent to servers where callers have keys.
    workspace_header : str
        Header that tells servers the caller's workspace, whatever the caller sent.
    """

    render: Callable[[Outcome, bool], HttpAnswer]
    timeout_header: str = TIMEOUT_HEADER
    key_header: str = KEY_HEADER
    id_header: str = ""
    override_headers: tuple[tuple[str, str], ...] = ()
    access_header: str = "Sapphireway-Api-Key"
    workspace_header: str = "Sapphireway-Workspace"


class _MatchedRoute(msgspec.Struct, frozen=True):
    service: str
    kind: str
    policy: Policy
    arrival: Arrival


class CallerApi:
    """Executes callers' HTTP requests as calls and answers with their outcomes.

    Parameters
    ----------
    get_settings : callable
        Returns the `SettingsView` in force.
    domain : str
        Failure domain of this node.
    create_call_id : callable
    get_fences : callable
        Called with service and key when the headers of a request with a key arrive;
        returns the fences that `Claimant.run_claimed` checks.
    execute_call : ExecuteCall
    metrics : Metrics
    log : EventLog
    get_routes : callable
        Returns the `RouteView` in force. Once a table is published, requests are
        matched by it instead of the tree.
    dialect : CallerDialect
    identify : Identify
    expects_keys : bool, default=False
        Whether callers may have API keys although the routing table in force has no
        workspaces. Without this they are identified only while it has some.

    Attributes
    ----------
    stopping : bool
        True once the node refuses new calls. Calls with a key that must not run
        twice are still executed, as the claim records whether the key has run.
    end_s : float
        Loop time at which the node stops waiting for calls in progress; infinite until
        it stops. A call with a later deadline is refused like one to a stopping node.
    stop_refusals : int
        Requests that were refused because the node is stopping.
    """

    __slots__ = (
        "_create_call_id",
        "_dialect",
        "_domain",
        "_ended",
        "_execute_call",
        "_expects_keys",
        "_get_fences",
        "_get_routes",
        "_get_settings",
        "_identify",
        "_log",
        "_longest_timeout_ms",
        "_metrics",
        "_outcomes_if_ended",
        "_overridden_names",
        "end_s",
        "stop_refusals",
        "stopping",
    )

    def __init__(
        self,
        get_settings: Callable[[], SettingsView],
        domain: str,
        create_call_id: Callable[[], str],
        get_fences: Callable[[str, str], Any],
        execute_call: ExecuteCall,
        metrics: Metrics,
        log: EventLog,
        get_routes: Callable[[], RouteView] = lambda: NO_ROUTES,
        dialect: CallerDialect | None = None,
        identify: Identify | None = None,
        expects_keys: bool = False,
    ):
        self._dialect = dialect or CallerDialect(render_outcome)
        self._identify = identify or make_identify(
            get_routes, self._dialect.access_header, self._dialect.workspace_header
        )
        self._overridden_names = frozenset(
            name.lower() for name, _ in self._dialect.override_headers
        )
        self._get_routes = get_routes
        self._longest_timeout_ms = {}
        self._ended = set()
        self._outcomes_if_ended = {}
        self._create_call_id = create_call_id
        self._execute_call = execute_call
        self._expects_keys = expects_keys
        self._domain = domain
        self._get_settings = get_settings
        self._log = log
        self._metrics = metrics
        self._get_fences = get_fences
        self.end_s = math.inf
        self.stop_refusals = 0
        self.stopping = False

    def prepare(self, request: HttpRequest) -> int:
        """Find the request's policy and return its body limit in bytes."""
        matched = self._match(request)
        if matched is None:
            return UNMATCHED_BODY_MAX_BYTES
        service, kind, policy = matched
        key = self._read_key(request)
        fences = None
        if key is not None and is_valid_key(key):
            fences = self._get_fences(service, key)
        # A request whose headers arrived before the stop counts as in flight.
        arrival = Arrival(fences, self.stopping)
        request.route = _MatchedRoute(service, kind, policy, arrival)
        return policy.body_max_bytes

    def _match(self, request):
        """Return service, kind and policy of a request, or None."""
        settings = self._get_settings()
        routes = self._get_routes()
        if not routes.version:
            matched = settings.match(request.method, request.target, request.headers)
            if matched is None:
                return None
            return *matched, settings.resolve(self._domain, *matched)
        route = routes.match(request.get_header("Host") or "", request.target)
        if route is None:
            return None
        service = routes.choose_service(route)
        policy = settings.resolve(self._domain, service, route.name)
        policy = make_route_policy(policy, route, routes.table.limits)
        return service, route.name, policy

    def _read_key(self, request):
        header = self._dialect.key_header
        return request.get_header(header) if header else None

    def reject(self, rejected: RejectedRequest) -> HttpAnswer:
        """Return the answer to a request that was not read completely."""
        if rejected.status == 503:
            return self._refuse_full(rejected)
        return self._refuse(rejected.status, rejected.detail, rejected.remote)

    def _refuse_full(self, rejected):
        self._metrics.count("sapphireway_bad_requests_total", status="503")
        self._log.warning("no_memory", detail=rejected.detail, remote=rejected.remote)
        request = rejected.request
        if request is not None and self._may_have_run(request):
            return self._dialect.render(Unknown(rejected.detail), True)
        not_run = NotRun(
            NotRunReason.OVERLOADED, rejected.retry_after_s, rejected.detail
        )
        return self._dialect.render(not_run, True)

    def _may_have_run(self, request):
        """Return whether an earlier request with the same key may have run."""
        if request.route is None:
            return self._read_key(request) is not None
        return self._is_claimed(request)

    def refuse_unread(self, request: HttpRequest) -> HttpAnswer | None:
        """Refuse a request that can't run any more, although its body is incomplete.

        Returns
        -------
        HttpAnswer or None
            None if the request may still run once it is complete, or if only its
            claim can tell whether an earlier one with its key has run.
        """
        route, now_s = request.route, asyncio.get_running_loop().time()
        is_claimed = self._may_have_run(request)
        if now_s >= self.end_s:
            if not is_claimed:
                return self._refuse_stopping()
            unknown = Unknown("the node stopped before the request was complete")
            return self._dialect.render(unknown, True)
        if route is None or is_claimed:
            return None
        timeout_s = parse_timeout(
            request.get_header(self._dialect.timeout_header), route.policy
        )
        is_late = timeout_s is not None and now_s + timeout_s > self.end_s
        if is_late or route.arrival.stopping:
            return self._refuse_stopping()
        return None

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Execute one request and return its answer."""
        if request.route is None:
            return self._handle_unmatched(request)
        arrival = request.route.arrival
        if arrival.stopping and not self._is_claimed(request):
            return self._refuse_stopping()
        call = self._make_call(request, request.route)
        if isinstance(call, str):
            return self._refuse(400, call, request.remote)
        if call.deadline_s > self.end_s:
            # The body of a request in flight may arrive too late to run the request.
            if not self._is_claimed(request):
                return self._refuse_stopping()
            arrival = msgspec.structs.replace(arrival, stopping=True)
        return await self._handle_until_end(call, request, arrival)

    def end_calls(self) -> int:
        """End the calls in progress with what is certain; return how many there are.

        A call that was not passed on yet ends as not run, any other as unknown.
        """
        tasks = list(self._outcomes_if_ended)
        for task in tasks:
            self._ended.add(task)
            task.cancel()
        return len(tasks)

    async def _handle_until_end(self, call, request, arrival):
        task = asyncio.current_task()
        self._outcomes_if_ended[task] = (
            Unknown(STOPPED_DETAIL)
            if self._is_claimed(request)
            else NotRun(NotRunReason.STOPPING)
        )
        try:
            if self._expects_keys or self._get_routes().table.workspaces:
                return await self._handle_identified(call, request, arrival)
            return await self._execute(call, arrival)
        except asyncio.CancelledError:
            if task not in self._ended:
                raise  # the caller has closed its connection
            task.uncancel()
            return self._dialect.render(self._outcomes_if_ended[task], True)
        finally:
            self._ended.discard(task)
            del self._outcomes_if_ended[task]

    async def _execute(self, call, arrival):
        self._outcomes_if_ended[asyncio.current_task()] = Unknown(STOPPED_DETAIL)
        outcome = await self._execute_call(call, arrival)
        return self._dialect.render(outcome, self.stopping)

    async def _handle_identified(self, call, request, arrival):
        """Execute a call if its API key allows it."""
        key = decode_access_key(request.get_header(self._dialect.access_header))
        identified = await self._identify(call, key, lambda: self._is_open(request))
        if isinstance(identified, KeyRefused):
            return self._refuse_key(identified, request.remote)
        if isinstance(identified, Unadmitted):
            call, refusal = identified.call, identified.refusal
            if not self._is_claimed(request):
                return self._dialect.render(refusal, self.stopping)
            # An earlier request with the same idempotency key may have run.
            if not call.workspace:
                return self._dialect.render(Unknown(refusal.detail), self.stopping)
            arrival = msgspec.structs.replace(arrival, refusal=refusal)
        else:
            call = identified
        return await self._execute(call, arrival)

    def _is_open(self, request):
        """Tell whether a request's route needs no API key by the table in force."""
        routes = self._get_routes()
        if not routes.version:
            return True
        route = routes.match(request.get_header("Host") or "", request.target)
        return route is not None and route.open_access

    def _refuse_stopping(self):
        self.stop_refusals += 1
        return self._dialect.render(NotRun(NotRunReason.STOPPING), True)

    def _is_claimed(self, request):
        """Return whether only the key's claim can tell if the request has run."""
        if request.route.policy.idempotent:
            return False
        return self._read_key(request) is not None

    def _handle_unmatched(self, request):
        if not self._get_routes().version and not self._get_settings().list_services():
            detail = "no settings are in force at this node yet"
            if self._read_key(request) is not None:
                # Without settings the key's claim group can't be determined.
                return self._dialect.render(Unknown(detail), False)
            not_run = NotRun(NotRunReason.NO_SERVER, NO_SETTINGS_RETRY_S, detail)
            return self._dialect.render(not_run, False)
        return self._refuse(404, "no service matches this request", request.remote)

    def _make_call(self, request, route) -> Call | str:
        """Return the call, or a one-line reason why the request is invalid."""
        dialect = self._dialect
        timeout_s = parse_timeout(
            request.get_header(dialect.timeout_header), route.policy
        )
        if timeout_s is None:
            return f"{dialect.timeout_header} is not a positive integer"
        key = self._read_key(request)
        if key is not None and not is_valid_key(key):
            return f"{dialect.key_header} is not 1 to {KEY_MAX_BYTES} bytes long"
        now_s = asyncio.get_running_loop().time()
        return Call(
            call_id=self._choose_call_id(request),
            service=route.service,
            kind=route.kind,
            method=request.method,
            target=request.target,
            headers=self._make_headers(request),
            body=request.body,
            deadline_s=now_s + timeout_s,
            key=key,
            policy=route.policy,
            target_s=self._compute_target_time(route, timeout_s * MS_PER_S, now_s),
        )

    def _compute_target_time(self, route, timeout_ms, now_s):
        """Return the loop time after which an answer is worth less; inf if never.

        The target latency counts from the caller's first try. A retry is known by a
        timeout shorter than the kind's longest, and has that much less time left.
        """
        target_ms = route.policy.target_latency_ms
        if not target_ms:
            return math.inf
        if len(self._longest_timeout_ms) > TRACKED_KINDS_MAX:
            self._longest_timeout_ms.clear()
        longest_ms = max(self._longest_timeout_ms.get(route.kind, 0), timeout_ms)
        self._longest_timeout_ms[route.kind] = longest_ms
        return now_s + (target_ms - (longest_ms - timeout_ms)) / MS_PER_S

    def _choose_call_id(self, request):
        header = self._dialect.id_header
        given = request.get_header(header) if header else None
        if given and len(given) <= CALL_ID_MAX_BYTES:
            return given
        return self._create_call_id()

    def _make_headers(self, request):
        headers = filter_headers(request.headers)
        if not self._overridden_names:
            return headers
        kept = tuple(
            pair for pair in headers if pair[0].lower() not in self._overridden_names
        )
        return kept + self._dialect.override_headers

    def _refuse_key(self, refused, remote):
        header = self._dialect.access_header
        detail = f"this route needs an API key in {header}"
        if refused.reason is KeyProblem.UNKNOWN:
            detail = f"no workspace has the API key in {header}"
        answer = self._refuse(
            401,
            detail,
            remote,
            refused.reason,
            call=refused.call_id,
            key_digest=refused.key_digest,
        )
        return msgspec.structs.replace(
            answer, headers=(*answer.headers, ("WWW-Authenticate", header))
        )

    def _refuse(self, status, detail, remote, reason="bad_request", **fields):
        self._metrics.count("sapphireway_bad_requests_total", status=str(status))
        self._log.warning(
            "bad_request", status=status, detail=detail, remote=remote, **fields
        )
        # Not "not-run": an earlier request with the same key may have run.
        headers = (
            ("Content-Type", "text/plain; charset=utf-8"),
            (OUTCOME_HEADER, "rejected"),
            (REASON_HEADER, reason),
        )
        return HttpAnswer(status, headers, f"{detail}\n".encode())


def make_route_policy(policy: Policy, route: Route, limits: CallerLimits) -> Policy:
    """Return the policy from the tree with the route's values in place of its own."""
    timeout_ms = max(1, int(route.timeout_ms))
    return msgspec.structs.replace(
        policy,
        idempotent=route.kind is RequestKind.IDEMPOTENT,
        deadline_ms=timeout_ms,
        deadline_max_ms=timeout_ms,
        target_latency_ms=int(route.target_latency_ms),
        attempts_max=route.attempts_max,
        body_max_bytes=limits.body_max_bytes,
        weight=compute_weight(route.priority),
    )


def is_valid_key(text: str) -> bool:
    """Return whether a header value is a valid idempotency key."""
    return 1 <= len(text.encode()) <= KEY_MAX_BYTES


def parse_timeout(text: str | None, policy: Policy) -> float | None:
    """Return the time allowed for a call in seconds, or None if invalid."""
    if text is None:
        return policy.deadline_ms / MS_PER_S
    digits = text.strip().lstrip("0")
    if not (digits.isascii() and digits.isdigit()):
        return None
    if len(digits) > TIMEOUT_DIGITS_MAX:
        return policy.deadline_max_ms / MS_PER_S
    return min(int(digits), policy.deadline_max_ms) / MS_PER_S


def filter_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers without Content-Length and Expect."""
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = NOT_FORWARDED | connection_options
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)


def render_outcome(outcome: Outcome, close: bool = False) -> HttpAnswer:
    """Return the HTTP answer for an outcome; each type has its own header value.

    Parameters
    ----------
    outcome : Outcome
    close : bool, default=False
        Whether to ask the caller to close the connection.
    """
    extra = (("Connection", "close"),) if close else ()
    match outcome:
        case Answered(status, headers, body):
            kept = filter_headers(headers)
            headers = (*kept, (OUTCOME_HEADER, "answered"), *extra)
            return HttpAnswer(status, headers, body)
        case NotRun(reason=NotRunReason.CLAIM_MISMATCH):
            return _render_mismatch(outcome, extra)
        case NotRun():
            return _render_not_run(outcome, close)
        case Failed(detail):
            return _render_text(502, "failed", detail, extra)
        case Unknown(detail):
            return _render_text(504, "unknown", detail, extra)


def _render_mismatch(outcome, extra):
    # A retry would fail again, so no Retry-After is sent.
    reason = (REASON_HEADER, str(outcome.reason))
    return _render_text(422, "not-run", outcome.detail, [reason, *extra])


def _render_not_run(outcome, close=False):
    extra = [
        (REASON_HEADER, str(outcome.reason)),
        ("Retry-After", str(max(1, math.ceil(outcome.retry_after_s)))),
        ("Retry-After-Ms", str(math.ceil(outcome.retry_after_s * MS_PER_S))),
    ]
    if close:
        extra.append(("Connection", "close"))
    detail = outcome.detail or f"not run: {outcome.reason}"
    status = 429 if outcome.reason is NotRunReason.QUOTA else 503
    return _render_text(status, "not-run", detail, extra)


def _render_text(status, outcome, detail, extra=()):
    headers = (
        ("Content-Type", "text/plain; charset=utf-8"),
        (OUTCOME_HEADER, outcome),
        *extra,
    )
    return HttpAnswer(status, headers, f"{detail}\n".encode())
