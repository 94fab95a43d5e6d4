"""The callers' interface: HTTP requests in, outcomes of calls out."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

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
KEY_MAX_BYTES = 256
MS_PER_S = 1000
UNMATCHED_BODY_MAX_BYTES = 64 * 1024
CALL_ID_MAX_BYTES = 128
PATIENCES_KEPT = 4096  # kinds whose callers' longest patience is remembered
UNKNOWN_RETRY_S = 1.0  # a node that starts has its settings within this time
WEIGHT_OF_FIRST_RANK = 100  # the tree's largest weight; each rank below has one less
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


@dataclass(slots=True, frozen=True)
class Arrival:
    """State of the node when the headers of a request arrived.

    Attributes
    ----------
    fences : object
        What `note_arrival` returned for a keyed request, else None.
    stopping : bool
        Whether the node had begun to stop; such a request is not run.
    """

    fences: Any
    stopping: bool


Dispatch = Callable[[Call, Arrival], Awaitable[Outcome]]
"""Conducts a call."""


@dataclass(slots=True, frozen=True)
class CallerDialect:
    """What a deployment's callers expect and say.

    Attributes
    ----------
    render : callable
        ``render(outcome, close)`` returns the answer for an outcome.
    timeout_header : str
        Milliseconds that the caller waits.
    key_header : str
        Idempotency key; "" if callers have none.
    id_header : str
        Id that the caller gives the request; "" if nodes name requests themselves.
    override_headers : tuple of (str, str)
        Set on every request, whatever the caller sent.
    """

    render: Callable[[Outcome, bool], HttpAnswer]
    timeout_header: str = TIMEOUT_HEADER
    key_header: str = KEY_HEADER
    id_header: str = ""
    override_headers: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class _Route:
    service: str
    kind: str
    policy: Policy
    arrival: Arrival


class CallerApi:
    """Turns a caller's HTTP request into a call and its outcome into an answer.

    Parameters
    ----------
    get_settings : callable
        Returns the `SettingsView` in force.
    domain : str
        Failure domain of this node.
    create_call_id : callable
    note_arrival : callable
        Called with service and key when the headers of a keyed request arrived.
    dispatch : Dispatch
    metrics : Metrics
    log : EventLog
    get_routes : callable
        Returns the `RouteView` in force; once a table is published, it decides
        where requests go in place of the tree.
    form : CallerDialect

    Attributes
    ----------
    stopping : bool
        True once the node refuses new calls. Those with a key that must not run
        twice are still dispatched, as the claim tells whether the key has run.
    """

    __slots__ = (
        "_create_call_id",
        "_dispatch",
        "_domain",
        "_dropped",
        "_form",
        "_get_routes",
        "_get_settings",
        "_log",
        "_metrics",
        "_note_arrival",
        "_patience_ms",
        "stopping",
    )

    def __init__(
        self,
        get_settings: Callable[[], SettingsView],
        domain: str,
        create_call_id: Callable[[], str],
        note_arrival: Callable[[str, str], Any],
        dispatch: Dispatch,
        metrics: Metrics,
        log: EventLog,
        get_routes: Callable[[], RouteView] = lambda: NO_ROUTES,
        form: CallerDialect | None = None,
    ):
        self._form = form or CallerDialect(render_outcome)
        self._dropped = frozenset(
            name.lower() for name, _ in self._form.override_headers
        )
        self._get_routes = get_routes
        self._patience_ms = {}
        self._create_call_id = create_call_id
        self._dispatch = dispatch
        self._domain = domain
        self._get_settings = get_settings
        self._log = log
        self._metrics = metrics
        self._note_arrival = note_arrival
        self.stopping = False

    def prepare(self, request: HttpRequest) -> int:
        """Find the request's policy and return its largest body in bytes."""
        matched = self._match(request)
        if matched is None:
            return UNMATCHED_BODY_MAX_BYTES
        service, kind, policy = matched
        key = self._read_key(request)
        fences = None
        if key is not None and is_key(key):
            fences = self._note_arrival(service, key)
        # A request that was under way before the stop is in flight.
        arrival = Arrival(fences, self.stopping)
        request.route = _Route(service, kind, policy, arrival)
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
        header = self._form.key_header
        return request.get_header(header) if header else None

    def reject(self, rejected: RejectedRequest) -> HttpAnswer:
        """Answer a request that was too large to be read."""
        return self._refuse(rejected.status, rejected.detail, rejected.remote)

    async def handle(self, request: HttpRequest) -> HttpAnswer:
        """Conduct one request."""
        if request.route is None:
            return self._handle_unmatched(request)
        if request.route.arrival.stopping and not self._is_claimed(request):
            return self._form.render(NotRun(NotRunReason.STOPPING), True)
        call = self._make_call(request, request.route)
        if isinstance(call, str):
            return self._refuse(400, call, request.remote)
        outcome = await self._dispatch(call, request.route.arrival)
        return self._form.render(outcome, self.stopping)

    def _is_claimed(self, request):
        """Tell whether only the holders of the key know if the request has run."""
        if request.route.policy.idempotent:
            return False
        return self._read_key(request) is not None

    def _handle_unmatched(self, request):
        if not self._get_routes().version and not self._get_settings().list_services():
            detail = "no settings are in force at this node yet"
            if self._read_key(request) is not None:
                # Which claim holds the key can't be found without settings.
                return self._form.render(Unknown(detail), False)
            not_run = NotRun(NotRunReason.NO_SERVER, UNKNOWN_RETRY_S, detail)
            return self._form.render(not_run, False)
        return self._refuse(404, "no service has this path", request.remote)

    def _make_call(self, request, route) -> Call | str:
        """Return the call, or one line that says why it is unreadable."""
        form = self._form
        timeout_s = parse_timeout(request.get_header(form.timeout_header), route.policy)
        if timeout_s is None:
            return f"{form.timeout_header} is not a positive whole number"
        key = self._read_key(request)
        if key is not None and not is_key(key):
            return f"{form.key_header} is not 1 to {KEY_MAX_BYTES} bytes long"
        now_s = asyncio.get_running_loop().time()
        return Call(
            call_id=self._name_call(request),
            service=route.service,
            kind=route.kind,
            method=request.method,
            target=request.target,
            headers=self._make_headers(request),
            body=request.body,
            deadline_s=now_s + timeout_s,
            key=key,
            policy=route.policy,
            target_s=self._find_target(request, route, now_s),
        )

    def _find_target(self, request, route, now_s):
        """Return until when an answer is worth most.

        The time counts from the caller's first try. One that comes back after a
        refusal waits for less than those that come first.
        """
        target_ms = route.policy.target_latency_ms
        if not target_ms:
            return math.inf
        text = request.get_header(self._form.timeout_header)
        patience_ms = int(text) if text is not None else route.policy.deadline_ms
        if len(self._patience_ms) > PATIENCES_KEPT:
            self._patience_ms.clear()
        longest_ms = max(self._patience_ms.get(route.kind, 0), patience_ms)
        self._patience_ms[route.kind] = longest_ms
        return now_s + (target_ms - (longest_ms - patience_ms)) / MS_PER_S

    def _name_call(self, request):
        header = self._form.id_header
        given = request.get_header(header) if header else None
        if given and len(given) <= CALL_ID_MAX_BYTES:
            return given
        return self._create_call_id()

    def _make_headers(self, request):
        headers = filter_headers(request.headers)
        if not self._dropped:
            return headers
        kept = tuple(pair for pair in headers if pair[0].lower() not in self._dropped)
        return kept + self._form.override_headers

    def _refuse(self, status, detail, remote):
        self._metrics.count("sapphireway_bad_requests_total", status=str(status))
        self._log.warning("bad_request", status=status, detail=detail, remote=remote)
        # Not "not-run": an earlier submission with the same key may have run.
        headers = (
            ("Content-Type", "text/plain; charset=utf-8"),
            (OUTCOME_HEADER, "rejected"),
            (REASON_HEADER, "bad_request"),
        )
        return HttpAnswer(status, headers, f"{detail}\n".encode())


def make_route_policy(policy: Policy, route: Route, limits: CallerLimits) -> Policy:
    """Return the settings of the tree with what a route says in their place."""
    timeout_ms = max(1, int(route.timeout_ms))
    return replace(
        policy,
        idempotent=route.kind is RequestKind.IDEMPOTENT,
        deadline_ms=timeout_ms,
        deadline_max_ms=timeout_ms,
        target_latency_ms=int(route.target_latency_ms),
        attempts_max=route.attempts_max,
        body_max_bytes=limits.body_max_bytes,
        weight=max(1, WEIGHT_OF_FIRST_RANK - route.priority),
    )


def is_key(text: str) -> bool:
    """Tell whether a header is a valid idempotency key."""
    return 1 <= len(text.encode()) <= KEY_MAX_BYTES


def parse_timeout(text: str | None, policy: Policy) -> float | None:
    """Return the time allowed for a call in seconds, or None if unreadable."""
    if text is None:
        return policy.deadline_ms / MS_PER_S
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or int(text) == 0:
        return None
    return min(int(text), policy.deadline_max_ms) / MS_PER_S


def filter_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, without the body's length."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = NOT_FORWARDED | named
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)


def render_outcome(outcome: Outcome, close: bool = False) -> HttpAnswer:
    """Return the HTTP answer that tells the four outcomes apart.

    Parameters
    ----------
    outcome : Outcome
    close : bool, default=False
        Whether the connection is to be closed after the answer.
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
    # Another try can't help, so that no time to retry is told.
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
    return _render_text(503, "not-run", detail, extra)


def _render_text(status, outcome, detail, extra=()):
    headers = (
        ("Content-Type", "text/plain; charset=utf-8"),
        (OUTCOME_HEADER, outcome),
        *extra,
    )
    return HttpAnswer(status, headers, f"{detail}\n".encode())
