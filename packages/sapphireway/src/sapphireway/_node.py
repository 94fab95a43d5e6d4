"""Composition root of the node: builds its components and connects them."""

import asyncio
import collections
import itertools
import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import tornado.httpserver

from sapphireway._callers import CallerApi
from sapphireway._control import ControlHost
from sapphireway._control_hosts import ControlHostManager
from sapphireway._decisions import DecisionLog
from sapphireway._dialects import Dialects
from sapphireway._execution import make_call_executor, make_traced_executor
from sapphireway._exits import EXIT_INVARIANT
from sapphireway._logs import EventLog
from sapphireway._member_view import make_get_members
from sapphireway._metrics import Metrics
from sapphireway._observations import make_observe
from sapphireway._operations import Operations
from sapphireway._operator import OPERATOR_BODY_MAX_BYTES, make_operator_application
from sapphireway._operator_backend import OperatorBackend
from sapphireway._operator_token import make_token_reader
from sapphireway._publisher import Publisher, make_edit_id_generator
from sapphireway._registration import ServerRegistration
from sapphireway._server_api import make_server_routes
from sapphireway_coordination import (
    DEPARTURE_SPREAD_S,
    GROUP_PREFIX,
    RETRY_TOKENS_MAX,
    AppliedState,
    Claimant,
    ClaimHolder,
    ControlClient,
    ControlHostList,
    Dispatcher,
    Gate,
    HolderSettings,
    Membership,
    ReadResult,
    SettingsChannel,
    compute_drain_time,
    compute_serve_time,
    discover_local_server,
    fetch_health,
    make_choose_lowest_cost,
)
from sapphireway_protocol import (
    ClaimGroup,
    NodeEntry,
    Peers,
)
from sapphireway_state import ProcessSettings
from sapphireway_transport import (
    CurlServerClient,
    FileDisk,
    HttpLimits,
    HttpListener,
    ZmqEndpoint,
)

INCARNATION_BYTES = 8
CLAIMS_CHECK_INTERVAL_S = 0.1
CONTROL_READ_TIMEOUT_S = 1.0
CLAIMS_HANDOVER_MAX_S = 3.0
CONTROL_SILENCE_MAX_S = 5.0
SPANS_MAX = 1000
RETRY_TOKENS_MIN = 1.0  # lets a rarely called service retry at all
WORK_TIME_PERCENTILE = 25.0  # low, so that it reflects calls served by a fast host
MS_PER_S = 1000
STATE_FOLDER_NAME = "state"


class Node:
    """Node process with all its roles.

    Parameters
    ----------
    settings : ProcessSettings
    log : EventLog
    dialects : Dialects
        HTTP conventions of the callers and the server of this node.

    Attributes
    ----------
    publisher : Publisher
    """

    __slots__ = (
        "_admin",
        "_callers",
        "_channel",
        "_claimant",
        "_client",
        "_control",
        "_control_client",
        "_control_hosts",
        "_decisions",
        "_dialects",
        "_disk",
        "_dispatcher",
        "_gate",
        "_get_members",
        "_holder",
        "_listener",
        "_log",
        "_membership",
        "_metrics",
        "_observe",
        "_peers",
        "_registration",
        "_settings",
        "_settings_callbacks",
        "_spans",
        "_state",
        "_stopping",
        "_tasks",
        "_tracer",
        "publisher",
    )

    def __init__(
        self, settings: ProcessSettings, log: EventLog, dialects: Dialects | None = None
    ):
        self._dialects = dialects or Dialects()
        self._settings = settings
        self._stopping = False
        self._log = log
        self._tasks = []
        self._settings_callbacks = []
        rng = random.Random(settings.seed)
        self._metrics = Metrics()
        self._decisions = DecisionLog()
        self._observe = make_observe(self._decisions, self._metrics, log)
        self._spans = collections.deque(maxlen=SPANS_MAX)
        self._tracer = self._build_tracer(rng)
        self._build_shared_state(rng)
        self._build_data_path(rng)
        self._control = self._build_control()
        self._listener = HttpListener(
            self._callers.handle,
            self._callers.prepare,
            self._callers.reject,
            self._get_http_limits,
        )
        self._admin = self._build_admin()
        self._register_gauges()

    async def start(self) -> None:
        """Bind the addresses and start all background tasks.

        Raises
        ------
        OSError
            If an address can't be bound.
        """
        await self._channel.load()
        self._peers.start()
        self._spawn(self._membership.run())
        self._spawn(
            self._registration.run(self._membership, self._update_out_of_service)
        )
        if self._control is not None:
            self._spawn(self._control.run())
        if self._settings.server_url:
            self._spawn(self._discover_local_server())
        if self._settings.http_address:
            await self._listener.listen(*_split_address(self._settings.http_address))
        host, port = _split_address(self._settings.admin_address)
        self._admin.listen(port, host)
        self._log.info("started", address=self._settings.address)

    @property
    def gate(self) -> Gate:
        """Gate of this node's local server."""
        return self._gate

    @property
    def ready(self) -> bool:
        """Whether callers may send new requests to this node."""
        return not self._stopping and self._state.routes.version > 0

    @property
    def applied_state(self) -> AppliedState:
        """State in force at this node."""
        return self._state

    def add_settings_callback(self, callback: Callable[[], None]) -> None:
        """Call `callback` without arguments whenever new settings come into force."""
        self._settings_callbacks.append(callback)

    def render_metrics(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()

    async def stop(self) -> bool:
        """Stop gracefully; return whether all requests in flight ended in time."""
        self._log.info("stopping", address=self._settings.address)
        loop = asyncio.get_running_loop()
        drain_s = self._get_policy("", "").drain_timeout_ms / MS_PER_S
        grace_s = self._settings.stop_grace_ms / MS_PER_S
        deadline_s = loop.time() + compute_drain_time(grace_s, drain_s)
        self._stopping = True
        if grace_s:
            # The local server goes on running; other nodes may still use it.
            await self._serve_during_grace(grace_s)
        draining = loop.create_task(self._gate.drain(deadline_s))
        self._callers.stopping = True
        self._listener.stop_accepting()
        drained = await draining
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._listener.finish_requests()
        except TimeoutError:
            drained = False
        await self._listener.close()
        remaining_s = max(0.0, deadline_s - loop.time())
        drained = await self._claimant.drain(remaining_s) and drained
        await self._wait_for_claim_handover()
        await self._gate.wait_until_unused(deadline_s)
        await self._close()
        self._log.info("stopped", drained=drained)
        return drained

    async def _serve_during_grace(self, grace_s):
        self._listener.closing = True
        timeouts_s = [
            route.timeout_ms / MS_PER_S for route in self._state.routes.table.routes
        ]
        serve_s = compute_serve_time(grace_s, timeouts_s)
        notice_s = min(serve_s, DEPARTURE_SPREAD_S)
        await asyncio.sleep(serve_s - notice_s)
        self._gate.announce_departure()
        await asyncio.sleep(notice_s)

    async def _wait_for_claim_handover(self):
        # The control host replaces a leaving holder. If too few other nodes are left,
        # the rest of the group keeps the claims.
        loop = asyncio.get_running_loop()
        end_s = loop.time() + CLAIMS_HANDOVER_MAX_S
        while self._holder.active_group_count and loop.time() < end_s:
            await asyncio.sleep(CLAIMS_CHECK_INTERVAL_S)

    async def _close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._claimant.close()
        await self._holder.close()
        self._gate.close()
        self._client.close()
        self._admin.stop()
        self._peers.close()
        if self._disk is not None:
            self._disk.close()
        if self._tracer is not None:
            self._tracer.close()

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._check_task)
        self._tasks.append(task)

    def _check_task(self, task):
        # Background tasks run until cancelled. An exception is a violated invariant,
        # and the process must not go on without the task.
        if not task.cancelled() and task.exception() is not None:
            self._log.error("task_failed", detail=repr(task.exception()))
            raise SystemExit(EXIT_INVARIANT) from task.exception()

    def _build_shared_state(self, rng):
        settings = self._settings
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        endpoint = ZmqEndpoint(settings.address)
        self._peers = Peers(endpoint, incarnation, lambda: self._state.version)
        self._control_hosts = ControlHostList(settings.control_hosts)
        self._control_client = ControlClient(self._peers, self._control_hosts, rng)
        self.publisher = Publisher(
            self._control_client, make_edit_id_generator(incarnation)
        )
        self._holder = ClaimHolder(
            self._peers,
            self._read_group,
            rng,
            HolderSettings(limit_bytes=settings.claim_memory_max_bytes),
            self._observe,
            self._may_run_unsure,
        )
        self._state = AppliedState(self._holder.apply_group)
        self._disk = None
        if settings.data_folder:
            self._disk = FileDisk(Path(settings.data_folder) / STATE_FOLDER_NAME)
        self._channel = SettingsChannel(
            self._peers,
            self._state,
            self._on_settings_applied,
            time.time,
            self._disk,
            self._log_save_failure,
            lambda peer: self._log.warning("settings_not_fetched", peer=peer),
        )
        self._peers.observe = self._channel.observe
        self._registration = ServerRegistration(lambda: self._channel.in_force_since_s)
        self._membership = Membership(
            self._peers,
            self._control_hosts,
            _make_entry(settings, incarnation),
            rng,
            self._registration.get_report,
            self._channel.fetch_from,
            lambda host: self._log.warning("control_host_silent", host=host),
        )

    def _build_data_path(self, rng):
        self._get_members = make_get_members(self._membership, self._get_view)
        self._dispatcher = Dispatcher(
            self._peers,
            self._get_members,
            rng,
            self._observe,
            self._make_member_chooser(),
            self._get_retry_reserve,
            self._inform_of_suspect,
        )
        self._claimant = Claimant(
            self._peers, self._state.get_group, rng, observe=self._observe
        )
        self._client = self._build_client()
        self._gate = Gate(
            self._peers,
            self._client,
            rng,
            self._get_policy,
            self._observe_gate,
            lambda service: [member.node for member in self._get_members(service)],
            dialect=self._dialects.server,
            cold_reserve_per_s=self._settings.cold_reserve_per_s,
        )
        self._registration.set_gate(self._gate)
        self._callers = CallerApi(
            self._get_view,
            self._settings.domain,
            _make_call_id_generator(self._peers.incarnation),
            self._claimant.get_fences,
            self._build_call_executor(),
            self._metrics,
            self._log,
            lambda: self._state.routes,
            self._dialects.callers,
        )

    def _inform_of_suspect(self, node, service, digest):
        self._gate.inform_of_suspect(node, service, digest)

    def _get_retry_reserve(self):
        if not self._settings.retry_reserve:
            return RETRY_TOKENS_MAX
        share = self._settings.retry_reserve / self._membership.count_nodes()
        return max(share, RETRY_TOKENS_MIN)

    async def _discover_local_server(self):
        found = await discover_local_server(
            self._gate,
            self._settings.server_url,
            self._get_local_service,
            lambda url: fetch_health(self._client, url),
            self._dialects.server,
        )
        announcement = self._gate.announcement
        server = announcement.server if found else ""
        self._log.info("own_server_asked", found=found, server=server)

    def _get_local_service(self):
        service = self._settings.server_service
        spec = self._state.routes.get_service(service)
        return spec if spec.name == service else None

    def _make_member_chooser(self):
        def get_work_s(call):
            state = self._dispatcher.services.get(call.service)
            return state.get_latencies(call.kind).get_percentile(WORK_TIME_PERCENTILE)

        def get_answer_bytes(call):
            state = self._dispatcher.services.get(call.service)
            return state.get_answer_bytes(call.kind)

        return make_choose_lowest_cost(
            self._settings.domain, get_work_s, get_answer_bytes
        )

    def _build_call_executor(self):
        execute_call = make_call_executor(
            self._membership,
            self._dispatcher,
            self._claimant,
            self._metrics,
            self._log,
            self._settings.domain,
        )
        if self._tracer is None:
            return execute_call
        return make_traced_executor(execute_call, self._tracer)

    def _build_client(self):
        client = CurlServerClient()
        if self._tracer is None:
            return client
        from sapphireway._traces import TracedServerClient

        return TracedServerClient(client, self._tracer)

    def _build_tracer(self, rng):
        if self._settings.trace_file is None:
            return None
        # Imported here as a node without traces needn't keep the SDK in memory.
        from sapphireway._traces import CallTracer, JsonLinesExporter

        exporter = JsonLinesExporter(self._settings.trace_file, self._spans.append)
        return CallTracer(self._settings.address, exporter, rng)

    def _build_control(self):
        if not self._settings.control:
            return None
        # The random identities of the quorum must differ after a restart, even with a
        # fixed seed.
        rng = random.Random(self._peers.incarnation)
        return ControlHost(
            self._settings,
            self._peers,
            rng,
            self._channel.save_and_apply,
            self._state,
            self._observe,
            self._log,
            self._control_hosts,
        )

    def _build_admin(self):
        application = make_operator_application(self._build_backend())
        application.add_handlers(".*", make_server_routes(self._gate))
        return tornado.httpserver.HTTPServer(
            application, max_body_size=OPERATOR_BODY_MAX_BYTES
        )

    def _build_backend(self):
        operations = Operations(
            self._peers, self._control_client, self._settings.control_hosts, self._state
        )
        control_host_manager = ControlHostManager(
            self._peers, self._control_client, self._settings.control_hosts
        )
        return OperatorBackend(
            propose=operations.propose,
            read=operations.read,
            get_view=self._get_view,
            list_live=operations.list_live,
            get_status=operations.get_status,
            list_control_hosts=control_host_manager.list_hosts,
            change_control_hosts=control_host_manager.change,
            get_explanations=self._decisions.explain,
            get_traces=self._list_spans,
            render_metrics=self._metrics.render,
            export_histograms=self._metrics.export_histograms,
            get_faults=self._list_faults,
            get_token=make_token_reader(self._settings.token_file, self._log.warning),
            wall_clock=time.time,
            log_event=self._log.info,
        )

    def _list_spans(self, trace, limit):
        spans = [s for s in self._spans if trace is None or s["traceId"] == trace]
        return spans[-limit:]

    def _list_faults(self):
        faults = []
        if self._state.version == 0:
            faults.append("no settings are in force")
        silent_s = asyncio.get_running_loop().time() - self._membership.last_renewed_s
        if silent_s > CONTROL_SILENCE_MAX_S:
            faults.append("no control host answers")
        return faults

    def _observe_gate(self, event):
        self._registration.count(event)
        self._observe(event)

    def _get_http_limits(self):
        routes = self._state.routes
        if not routes.version:
            return HttpLimits(self._settings.header_max_bytes)
        limits = routes.table.limits
        return HttpLimits(
            limits.header_max_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        )

    def _register_gauges(self):
        self._metrics.register_gauge(
            "sapphireway_settings_version", lambda: self._state.version
        )
        self._metrics.register_gauge(
            "sapphireway_peer_messages_sent", lambda: self._peers.messages_sent
        )
        self._metrics.register_gauge(
            "sapphireway_peer_bytes_sent", lambda: self._peers.bytes_sent
        )
        self._metrics.register_gauge(
            "sapphireway_claim_bytes", lambda: self._holder.used_bytes
        )
        self._metrics.register_gauge(
            "sapphireway_server_starts_per_s", self._get_starts_per_s
        )
        self._metrics.register_gauge(
            "sapphireway_settings_updates_rejected",
            lambda: self._channel.rejected_updates,
        )
        self._metrics.register_gauge(
            "sapphireway_peer_messages_unreadable",
            lambda: self._peers.malformed_count,
        )

    def _get_starts_per_s(self):
        load = self._gate.get_load()
        return 0.0 if load is None else load.starts_per_s

    def _may_run_unsure(self, service):
        return self._state.view.resolve("", service, "").claim_run_when_unsure

    def _get_view(self):
        return self._state.view

    def _get_policy(self, service, kind):
        return self._state.view.resolve(self._settings.domain, service, kind)

    def _on_settings_applied(self):
        self._update_out_of_service()
        for callback in self._settings_callbacks:
            callback()
        self._log.info(
            "settings_in_force",
            version=self._state.version,
            tree=self._state.view.version,
            routes=self._state.routes.version,
            table=self._state.routes.table.number,
        )

    def _log_save_failure(self, failed):
        self._log.warning("settings_not_saved", file=failed.name, detail=failed.detail)

    def _update_out_of_service(self):
        announcement = self._gate.announcement
        server = announcement.server if announcement else ""
        self._gate.set_out(self._state.view.is_out(self._settings.domain, server))

    async def _read_group(self, name):
        query = GROUP_PREFIX + name.encode()
        answer = await self._control_client.read(query, CONTROL_READ_TIMEOUT_S)
        if not isinstance(answer, ReadResult):
            return None
        return msgspec.msgpack.decode(answer.data, type=ClaimGroup | None)


def _make_entry(settings, incarnation):
    return NodeEntry(
        settings.address,
        settings.domain,
        settings.region,
        incarnation,
        time.time(),
        0,
        [],
    )


def _make_call_id_generator(incarnation):
    numbers = itertools.count(1)
    return lambda: f"{incarnation}-{next(numbers)}"


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
