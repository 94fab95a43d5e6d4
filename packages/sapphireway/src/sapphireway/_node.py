"""Composition root of the node: builds its components and runs them."""

import asyncio
import collections
import math
import random
from collections.abc import Callable

from sapphireway._admin import build_admin
from sapphireway._data_path import build_data_path
from sapphireway._decisions import DecisionLog
from sapphireway._dialects import Dialects
from sapphireway._exits import EXIT_INVARIANT
from sapphireway._gauges import register_gauges
from sapphireway._identity import confirm_all
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway._observations import make_observe
from sapphireway._publisher import Publisher
from sapphireway._rollout_orders import RolloutOrders
from sapphireway._shared_state import build_shared_state
from sapphireway._stalls import StallWatch
from sapphireway_coordination import (
    ANSWER_TIME_S,
    DEPARTURE_SPREAD_S,
    AppliedState,
    Confirmation,
    Gate,
    compute_drain_time,
    compute_serve_time,
    discover_local_server,
)
from sapphireway_state import ProcessSettings
from sapphireway_transport import ConnectionLimit, MemoryBudget, read_instant

CLAIMS_CHECK_INTERVAL_S = 0.1
UNREAD_CHECK_INTERVAL_S = 0.02
END_WAIT_S = 0.03  # for calls to end by themselves at the end of a stop
CLAIMS_HANDOVER_MAX_S = 3.0
SPANS_MAX = 1000
UNKNOWN_KEY_PROOF_MS = 5000  # kept so long without a bound on removed keys
MS_PER_S = 1000
# Callers may have sent requests before the signal that a busy process reads only later.
# The gate refuses work of other nodes for as long before its links close.
UNREAD_REQUESTS_S = DEPARTURE_SPREAD_S


class Node:
    """Node process with all its roles.

    Parameters
    ----------
    settings : ProcessSettings
    log : EventLog
    dialects : Dialects
        HTTP conventions of the callers and the server of this node.
    """

    __slots__ = (
        "_admin",
        "_confirmation",
        "_control",
        "_data_path",
        "_dialects",
        "_log",
        "_metrics",
        "_settings",
        "_settings_callbacks",
        "_shared",
        "_spans",
        "_stall_watch",
        "_stopping",
        "_tasks",
        "_tracer",
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
        decisions = DecisionLog()
        observe = make_observe(decisions, self._metrics, log)
        self._stall_watch = StallWatch(read_instant, observe)
        self._spans = collections.deque(maxlen=SPANS_MAX)
        self._tracer = self._build_tracer(rng)
        self._shared = build_shared_state(
            settings, log, observe, rng, self._on_settings_applied
        )
        self._confirmation = self._build_confirmation(observe, rng)
        self._data_path = build_data_path(
            settings,
            self._shared,
            self._dialects,
            self._metrics,
            log,
            observe,
            rng,
            self._tracer,
            self._make_confirm(),
            self._shared.quotas.admit,
        )
        self.add_settings_callback(self._data_path.apply_rollouts)
        self._control = self._build_control(observe)
        self._admin = build_admin(
            settings,
            self._shared,
            self.gate,
            decisions,
            self._metrics,
            log,
            self._list_spans,
            self._stall_watch,
            self.body_budget,
            self.interface_limit,
        )
        register_gauges(
            self._metrics, self._shared, self._data_path, self._confirmation
        )

    async def start(self) -> None:
        """Bind the addresses and start all background tasks.

        Raises
        ------
        OSError
            If an address can't be bound.
        """
        shared = self._shared
        await shared.channel.load()
        shared.peers.start()
        self._spawn(self._stall_watch.run())
        self._spawn(shared.membership.run())
        self._spawn(shared.registration.run(shared.membership, self._on_server_changed))
        if self._control is not None:
            self._spawn(self._control.run())
        if self._confirmation is not None:
            self._spawn(self._confirmation.run())
        if self._settings.server_url:
            self._spawn(self._discover_local_server())
        if self._settings.http_address:
            address = _split_address(self._settings.http_address)
            await self._data_path.listener.listen(*address)
        host, port = _split_address(self._settings.admin_address)
        self._admin.listen(port, host)
        self._log.info("started", address=self._settings.address)

    @property
    def gate(self) -> Gate:
        """Gate of this node's local server."""
        return self._data_path.gate

    @property
    def ready(self) -> bool:
        """Whether callers may send new requests to this node."""
        return not self._stopping and self.applied_state.routes.version > 0

    @property
    def applied_state(self) -> AppliedState:
        """State in force at this node."""
        return self._shared.applied

    @property
    def publisher(self) -> Publisher:
        """Publishes routing tables and failure-domain settings."""
        return self._shared.publisher

    @property
    def rollout_orders(self) -> RolloutOrders:
        """Orders rollouts of services and reads their state."""
        return self._shared.rollout_orders

    @property
    def body_budget(self) -> MemoryBudget:
        """Memory of all that the process holds for requests and answers."""
        return self._data_path.budget

    @property
    def interface_limit(self) -> ConnectionLimit:
        """Limit on the connections of all servers but that of callers."""
        return self._data_path.interface_limit

    @property
    def stall_watch(self) -> StallWatch:
        """Measures how old requests can be that this process has just read."""
        return self._stall_watch

    def add_settings_callback(self, callback: Callable[[], None]) -> None:
        """Call `callback` without arguments whenever new settings come into force."""
        self._settings_callbacks.append(callback)

    def render_metrics(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return self._metrics.render()

    def find_earliest_signal_time(self) -> float:
        """Return the earliest loop time at which a signal handled now can have come.

        A frozen process handles it only after the freeze.
        """
        earliest = self._stall_watch.find_earliest_arrival()
        age_s = self._stall_watch.compute_age(earliest)
        return asyncio.get_running_loop().time() - age_s

    async def stop(self, signalled_s: float | None = None) -> bool:
        """Stop gracefully; return whether all requests in flight ended in time.

        Parameters
        ----------
        signalled_s : float, default=now
            Loop time of the signal, from which the grace period counts.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        signalled_s = now_s if signalled_s is None else signalled_s
        self._log.info(
            "stopping",
            address=self._settings.address,
            signal_age_ms=round((now_s - signalled_s) * MS_PER_S),
        )
        drain_s = self._get_policy().drain_timeout_ms / MS_PER_S
        grace_s = self._settings.stop_grace_ms / MS_PER_S
        begin_s = signalled_s if grace_s else now_s
        deadline_s = begin_s + compute_drain_time(grace_s, drain_s)
        self._stopping = True
        self._data_path.callers.end_s = deadline_s
        self._data_path.dispatcher.end_calls(deadline_s)
        self.gate.limit_work(deadline_s)
        answers_before = self._data_path.listener.answer_count
        self._spawn(self._refuse_unread_requests())
        if grace_s:
            # The local server goes on running; other nodes may still use it.
            await self._serve_during_grace(grace_s, signalled_s)
        draining = loop.create_task(self.gate.drain(deadline_s))
        if not grace_s:
            await self._serve_unread_requests(deadline_s)
        self._data_path.callers.stopping = True
        self._data_path.listener.stop_accepting()
        drained = await draining
        drained = await self._finish_requests(deadline_s) and drained
        # What is left ends now, and callers can read the answers, also if the deadline
        # passed while the process was frozen.
        close_s = max(deadline_s, loop.time()) + ANSWER_TIME_S
        await self._finish_requests(min(close_s, loop.time() + END_WAIT_S))
        ended = self._data_path.callers.end_calls()
        cut_attempts = self.gate.count_attempts()
        await self.gate.end_attempts()
        await self._finish_requests(close_s)
        report = self._make_stop_report(answers_before)
        report |= {"ended": ended, "cut_attempts": cut_attempts}
        await self._data_path.listener.close(max(0.0, close_s - loop.time()))
        remaining_s = max(0.0, close_s - loop.time())
        drained = await self._data_path.claimant.drain(remaining_s) and drained
        await self._wait_for_claim_handover(close_s if grace_s else math.inf)
        await self.gate.wait_until_unused(deadline_s)
        await self._end_tasks()
        await self.gate.notify_peers(close_s)
        await self._close()
        self._log.info("stopped", drained=drained, **report)
        return drained

    def _make_stop_report(self, answers_before):
        """Return how many requests the stop answered, refused, and is about to cut."""
        listener = self._data_path.listener
        pending = listener.count_pending()
        return {
            "answered": listener.answer_count - answers_before,
            "refused": self._data_path.callers.stop_refusals,
            "cut_reading": pending.reading,
            "cut_running": pending.running,
            "cut_unsent": pending.unsent,
        }

    async def _finish_requests(self, deadline_s):
        """Wait for callers' requests; return whether all were answered in time."""
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._data_path.listener.finish_requests()
        except TimeoutError:
            return False
        return True

    async def _refuse_unread_requests(self):
        """Refuse requests as soon as they arrive too slowly to end before the stop."""
        while True:
            refuse = self._data_path.callers.refuse_unread
            self._data_path.listener.refuse_unread(refuse)
            await asyncio.sleep(UNREAD_CHECK_INTERVAL_S)

    async def _serve_during_grace(self, grace_s, signalled_s):
        self._data_path.listener.closing = True
        timeouts_s = [
            route.timeout_ms / MS_PER_S
            for route in self.applied_state.routes.table.routes
        ]
        spent_s = asyncio.get_running_loop().time() - signalled_s
        serve_s = max(0.0, compute_serve_time(grace_s, timeouts_s) - spent_s)
        notice_s = min(serve_s, DEPARTURE_SPREAD_S)
        await asyncio.sleep(serve_s - notice_s)
        self.gate.announce_departure()
        await asyncio.sleep(notice_s)

    async def _serve_unread_requests(self, deadline_s):
        """Go on sending callers' requests to the servers of other nodes."""
        self._data_path.listener.closing = True
        remaining_s = deadline_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(UNREAD_REQUESTS_S, remaining_s)))

    async def _wait_for_claim_handover(self, close_s):
        # The control host replaces a leaving holder. If too few other nodes are left,
        # the rest of the group keeps the claims.
        loop = asyncio.get_running_loop()
        end_s = min(loop.time() + CLAIMS_HANDOVER_MAX_S, close_s)
        while self._shared.holder.active_group_count and (now_s := loop.time()) < end_s:
            await asyncio.sleep(min(CLAIMS_CHECK_INTERVAL_S, end_s - now_s))

    async def _end_tasks(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._data_path.claimant.close()
        await self._shared.holder.close()
        self._shared.quotas.close()

    async def _close(self):
        await self._end_tasks()
        self._data_path.version_reporter.close()
        self.gate.close()
        self._data_path.client.close()
        self._data_path.health_client.close()
        self._admin.stop()
        self._shared.peers.close()
        self._shared.channel.close()
        if self._shared.disk is not None:
            self._shared.disk.close()
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

    def _build_tracer(self, rng):
        if self._settings.trace_file is None:
            return None
        # Imported here as a node without traces needn't keep the SDK in memory.
        from sapphireway._traces import CallTracer, JsonLinesExporter

        exporter = JsonLinesExporter(self._settings.trace_file, self._spans.append)
        return CallTracer(self._settings.address, exporter, rng)

    def _make_confirm(self):
        """Return what confirms the routing table before an API key is judged."""
        if self._confirmation is None:
            return confirm_all
        confirm = self._confirmation.confirm
        if self._settings.key_revocation_ms:
            return confirm

        async def confirm_unknown(deadline_s, recent):
            # A known key is served also if it may have been removed.
            return await confirm(deadline_s, recent) if recent else None

        return confirm_unknown

    def _build_confirmation(self, observe, rng):
        bound_ms = self._settings.key_revocation_ms
        if not bound_ms:
            if not self._settings.expects_keys:
                return None
            bound_ms = UNKNOWN_KEY_PROOF_MS
        shared = self._shared
        return Confirmation(
            shared.peers,
            shared.control_hosts,
            lambda: shared.applied.routes.version,
            bound_ms / MS_PER_S,
            rng,
            read_instant,
            observe,
        )

    def _build_control(self, observe):
        if not self._settings.control:
            return None
        # Imported here as only control hosts need the quorum.
        from sapphireway._control import ControlHost

        shared = self._shared
        # The random identities of the quorum must differ after a restart, even with a
        # fixed seed.
        rng = random.Random(shared.peers.incarnation)
        control = ControlHost(
            self._settings,
            shared.peers,
            rng,
            shared.channel.save_and_apply,
            shared.applied,
            observe,
            self._log,
            shared.control_hosts,
            self._stall_watch,
            shared.disk,
        )
        shared.control_client.use_local_quorum(
            control.find_leader, control.has_lost_quorum
        )
        return control

    async def _discover_local_server(self):
        found = await discover_local_server(
            self.gate,
            self._settings.server_url,
            self._get_local_service,
            self._data_path.health_client.fetch,
            self._dialects.server,
        )
        announcement = self.gate.announcement
        server = announcement.server if found else ""
        self._log.info("own_server_asked", found=found, server=server)

    def _get_local_service(self):
        service = self._settings.server_service
        spec = self.applied_state.routes.get_service(service)
        return spec if spec.name == service else None

    def _list_spans(self, trace, limit):
        spans = [s for s in self._spans if trace is None or s["traceId"] == trace]
        return spans[-limit:]

    def _get_policy(self):
        return self.applied_state.view.resolve(self._settings.domain, "", "")

    def _on_settings_applied(self):
        self._update_out_of_service()
        if self._confirmation is not None:
            self._confirmation.notify()
        for callback in self._settings_callbacks:
            callback()
        applied = self.applied_state
        self._log.info(
            "settings_in_force",
            version=applied.version,
            tree=applied.view.version,
            routes=applied.routes.version,
            table=applied.routes.table.number,
        )

    def _on_server_changed(self):
        self._update_out_of_service()
        self._data_path.apply_rollouts()

    def _update_out_of_service(self):
        announcement = self.gate.announcement
        server = announcement.server if announcement else ""
        is_out = self.applied_state.view.is_out(self._settings.domain, server)
        self.gate.set_out(is_out)


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
