"""Builds the path of a call: callers' interface, dispatcher, claims and gate."""

import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec

from sapphireway._callers import CallerApi
from sapphireway._dialects import Dialects
from sapphireway._execution import make_call_executor, make_traced_executor
from sapphireway._identity import Admit, Confirm, admit_all, confirm_all, make_identify
from sapphireway._logs import EventLog
from sapphireway._member_view import make_get_members
from sapphireway._metrics import Metrics
from sapphireway._rollout_reports import (
    count_answer,
    make_report_sender,
    make_version_reporter,
)
from sapphireway._shared_state import SharedState
from sapphireway_coordination import (
    HEALTH_CONNECTIONS_MAX,
    RETRY_TOKENS_MAX,
    Assignment,
    AttemptServed,
    Choose,
    Claimant,
    DepartureClient,
    Dispatcher,
    Gate,
    HealthClient,
    Membership,
    VersionReporter,
    VersionSplit,
    make_choose_lowest_cost,
)
from sapphireway_state import ProcessSettings
from sapphireway_transport import (
    ConnectionLimit,
    CurlServerClient,
    HttpLimits,
    HttpListener,
    MemoryBudget,
    ServerClient,
    make_body_budget,
    read_descriptors,
    read_memory_bytes,
)

# Callers get one part of the descriptors in so many; links to nodes take up to three
# each, connections to the server and files the rest.
CALLERS_SHARE = 2
INTERFACES_SHARE = 8
INTERFACE_CONNECTIONS_MAX = 256  # each holds up to 32 kB of an incomplete head
RETRY_TOKENS_MIN = 1.0  # lets a rarely called service retry at all
WORK_TIME_PERCENTILE = 25.0  # low, so that it reflects calls served by a fast host
MS_PER_S = 1000


class DataPath(msgspec.Struct, frozen=True):
    """Components that carry calls.

    Attributes
    ----------
    dispatcher : Dispatcher
    claimant : Claimant
    client : ServerClient
    health_client : HealthClient
    gate : Gate
    callers : CallerApi
    listener : HttpListener
    versions : VersionSplit
    version_reporter : VersionReporter
    budget : MemoryBudget
    caller_limit : ConnectionLimit
    interface_limit : ConnectionLimit
        Of the servers for operators, local servers and metrics, all together.
        Of all that the process holds for requests and answers.
    """

    dispatcher: Dispatcher
    claimant: Claimant
    client: ServerClient
    health_client: HealthClient
    gate: Gate
    callers: CallerApi
    listener: HttpListener
    versions: VersionSplit
    version_reporter: VersionReporter
    budget: MemoryBudget
    caller_limit: ConnectionLimit
    interface_limit: ConnectionLimit

    def apply_rollouts(self) -> None:
        """Act on the rollouts in force, after they or the server have changed."""
        self.versions.notify()
        self.gate.apply_rollout()
        self.version_reporter.update()


def build_data_path(
    settings: ProcessSettings,
    shared: SharedState,
    dialects: Dialects,
    metrics: Metrics,
    log: EventLog,
    observe: Callable[[Any], None],
    rng: random.Random,
    tracer: Any,
    confirm: Confirm = confirm_all,
    admit: Admit = admit_all,
) -> DataPath:
    """Build the components and connect them.

    Parameters
    ----------
    settings : ProcessSettings
    shared : SharedState
    dialects : Dialects
    metrics : Metrics
    log : EventLog
    observe : callable
        Called with each event.
    rng : random.Random
    tracer : CallTracer or None
    confirm : Confirm
        Confirms the routing table in force before an API key is looked up in it.
    admit : Admit
        Called for each request of a workspace before it is executed.
    """
    applied, peers = shared.applied, shared.peers
    get_members = make_get_members(shared.membership, lambda: applied.view)
    versions = VersionSplit(applied.get_rollout, lambda: applied.rollouts_version)
    dispatcher = Dispatcher(
        peers,
        get_members,
        rng,
        observe,
        _make_member_chooser(settings.domain, lambda: dispatcher),
        _make_retry_reserve(settings, shared.membership),
        lambda node, service, digest: gate.inform_of_suspect(node, service, digest),
        versions,
    )
    claimant = Claimant(peers, applied.get_group, rng, observe=observe)
    budget = make_body_budget(settings.memory_bytes or read_memory_bytes())
    descriptors = read_descriptors(settings.descriptors_max)
    caller_limit = ConnectionLimit(descriptors // CALLERS_SHARE)
    client = _build_client(tracer, budget)
    health_client = HealthClient(
        CurlServerClient(HEALTH_CONNECTIONS_MAX, budget=budget),
        dialects.server.echo_header,
        observe,
    )
    gate = Gate(
        peers,
        client,
        rng,
        lambda service, kind: applied.view.resolve(settings.domain, service, kind),
        _make_gate_observer(
            shared.registration, observe, lambda event: count_answer(reporter, event)
        ),
        lambda service: [member.node for member in get_members(service)],
        dialect=dialects.server,
        cold_reserve_per_s=settings.cold_reserve_per_s,
        get_rollout=applied.get_rollout,
        health_client=health_client,
        assignment=Assignment(settings.server_service, settings.server_url),
        departures=DepartureClient(peers, lambda: shared.control_hosts.addresses),
        budget=budget,
    )
    reporter = make_version_reporter(
        gate, applied.get_rollout, make_report_sender(peers, shared.control_hosts)
    )
    shared.registration.set_gate(gate)
    execute_call = make_call_executor(
        shared.membership, dispatcher, claimant, metrics, log, settings.domain
    )
    if tracer is not None:
        execute_call = make_traced_executor(execute_call, tracer)
    callers = CallerApi(
        lambda: applied.view,
        settings.domain,
        _make_call_id_generator(peers.incarnation),
        claimant.get_fences,
        execute_call,
        metrics,
        log,
        lambda: applied.routes,
        dialects.callers,
        make_identify(
            lambda: applied.routes,
            dialects.callers.access_header,
            dialects.callers.workspace_header,
            confirm,
            admit,
            observe,
        ),
        settings.expects_keys or settings.key_revocation_ms > 0,
    )
    listener = HttpListener(
        callers.handle,
        callers.prepare,
        callers.reject,
        _make_http_limits(settings, applied),
        budget,
        caller_limit,
    )
    return DataPath(
        dispatcher,
        claimant,
        client,
        health_client,
        gate,
        callers,
        listener,
        versions,
        reporter,
        budget,
        caller_limit,
        ConnectionLimit(
            min(INTERFACE_CONNECTIONS_MAX, descriptors // INTERFACES_SHARE)
        ),
    )


def _make_member_chooser(
    domain: str, get_dispatcher: Callable[[], Dispatcher]
) -> Choose:
    def get_service(call):
        return get_dispatcher().services.get(call.service)

    def get_work_s(call):
        latencies = get_service(call).get_latencies(call.kind)
        return latencies.get_percentile(WORK_TIME_PERCENTILE)

    def get_answer_bytes(call):
        return get_service(call).get_answer_bytes(call.kind)

    return make_choose_lowest_cost(domain, get_work_s, get_answer_bytes)


def _make_retry_reserve(settings: ProcessSettings, membership: Membership):
    def get_retry_reserve():
        if not settings.retry_reserve:
            return RETRY_TOKENS_MAX
        share = settings.retry_reserve / membership.count_nodes()
        return max(share, RETRY_TOKENS_MIN)

    return get_retry_reserve


def _make_gate_observer(registration, observe, count_answer):
    def observe_gate(event):
        registration.count(event)
        if isinstance(event, AttemptServed):
            count_answer(event)
        observe(event)

    return observe_gate


def _build_client(tracer, budget):
    client = CurlServerClient(budget=budget)
    if tracer is None:
        return client
    from sapphireway._traces import TracedServerClient

    return TracedServerClient(client, tracer)


def _make_call_id_generator(incarnation):
    numbers = itertools.count(1)
    return lambda: f"{incarnation}-{next(numbers)}"


def _make_http_limits(settings, applied):
    def get_http_limits():
        routes = applied.routes
        if not routes.version:
            return HttpLimits(settings.header_max_bytes)
        limits = routes.table.limits
        return HttpLimits(
            limits.header_max_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        )

    return get_http_limits
