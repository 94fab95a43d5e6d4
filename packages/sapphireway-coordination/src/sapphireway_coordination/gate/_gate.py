"""The gate: admission and at-most-once execution of attempts at one server."""

import asyncio
import contextlib
import enum
import math
import random
import time
from collections.abc import Callable

import msgspec

from sapphireway_coordination.departures import DepartureClient
from sapphireway_coordination.gate._admission import AdmissionQueue
from sapphireway_coordination.gate._announcement import (
    ANY_SERVER,
    Announcement,
    AnnounceRefused,
    AnnounceResult,
    Assignment,
    find_announcement_error,
    find_start_error,
)
from sapphireway_coordination.gate._attempt_job import AttemptJob
from sapphireway_coordination.gate._attempt_memory import (
    RETENTION_S,
    START_HORIZON_S,
    AttemptMemory,
    AttemptState,
)
from sapphireway_coordination.gate._body_memory import BodyMemory
from sapphireway_coordination.gate._completion import CompletionHandler
from sapphireway_coordination.gate._departure import DepartureNotice
from sapphireway_coordination.gate._events import (
    AttemptRepeated,
    DepartureNotified,
    GateChanged,
    ObserveGate,
)
from sapphireway_coordination.gate._exchange import make_refusal
from sapphireway_coordination.gate._health import HealthClient, HealthPoller
from sapphireway_coordination.gate._limit import UpdateLimit, make_additive_update
from sapphireway_coordination.gate._registration import Registration
from sapphireway_coordination.gate._runner import AttemptRunner
from sapphireway_coordination.gate._server_dialect import (
    DEFAULT_SERVER_DIALECT,
    ServerDialect,
)
from sapphireway_coordination.gate._version_guard import VersionGuard
from sapphireway_coordination.routing import GetRollout
from sapphireway_coordination.suspects import GetNodes, SuspectExchange, SuspectTable
from sapphireway_protocol import (
    Cancel,
    LoadReport,
    LoadUpdate,
    NotRunReason,
    Peers,
    Probe,
    ProbeReply,
    Reply,
    Revoke,
    Revoked,
    Run,
    ServerState,
)
from sapphireway_state import Policy, check_invariant
from sapphireway_transport import MemoryBudget, ServerClient, make_body_budget

MS_PER_S = 1000
PERCENT = 100
LIVENESS_TIMEOUT_S = 0.1  # a live process answers on its health endpoint immediately
DEPARTURE_SPREAD_S = 1.0  # until every node in touch has heard that this one leaves
REPLY_TIME_S = 0.05  # for replies to attempts that a stop breaks off
QUIET_S = 0.3  # without new work, after which a stopping node expects no more
SENDER_WINDOW_S = 3.0  # nodes that sent no work for longer get no load updates
CONTACT_WINDOW_S = 300.0  # nodes that were silent for longer get no last message

GetPolicy = Callable[[str, str], Policy]
"""Returns the policy of a service and kind; kind "" is that of the whole service."""


class GateState(enum.StrEnum):
    """Whether the node accepts new work."""

    OPEN = "open"
    OUT = "out"
    DRAINING = "draining"


_CLOSED_REASONS = {
    GateState.OUT: NotRunReason.DOMAIN_OUT,
    GateState.DRAINING: NotRunReason.DRAINING,
}


class Gate:
    """Proxy of one server that runs each attempt there at most once.

    Parameters
    ----------
    peers : Peers
    client : ServerClient
    rng : random.Random
        Adds jitter to the retry-after of refused callers.
    get_policy : callable
    observe : callable
        Receives every event.
    get_nodes : callable
        Returns the addresses of the nodes of a service, to share suspects.
    make_update : callable
        Creates the algorithm that adapts the limit of requests in flight.
    dialect : ServerDialect
        HTTP conventions of the server.
    cold_reserve_per_s : float
        Requests per second that a cold server may get beyond its rate.
    get_rollout : callable
        Returns the last rollout of a service, or None.
    assignment : Assignment
        What the node's settings tell of the server.
    wall_clock : callable
        Returns the Unix time.
    health_client : HealthClient, optional
        Its connections carry no requests. By default, `client` sends health checks
        too, which is meant for clients without connections.
    departures : DepartureClient, optional
        By default, departures are forgotten when the process ends.
    budget : MemoryBudget, optional
        Memory for the bodies that other nodes send.
    """

    __slots__ = (
        "_assignment",
        "_bodies",
        "_client",
        "_cold_reserve_per_s",
        "_completions",
        "_departure_notice",
        "_departure_s",
        "_departures",
        "_draining",
        "_get_policy",
        "_health",
        "_health_client",
        "_last_run_s",
        "_loop",
        "_memory",
        "_observe",
        "_out",
        "_peers",
        "_queue",
        "_registration",
        "_runner",
        "_suspect_exchange",
        "_version_guard",
        "_wall_clock",
    )

    def __init__(
        self,
        peers: Peers,
        client: ServerClient,
        rng: random.Random,
        get_policy: GetPolicy,
        observe: ObserveGate,
        get_nodes: GetNodes = lambda service: (),
        make_update: Callable[[], UpdateLimit] = make_additive_update,
        dialect: ServerDialect = DEFAULT_SERVER_DIALECT,
        cold_reserve_per_s: float = 0.0,
        get_rollout: GetRollout = lambda service: None,
        health_client: HealthClient | None = None,
        assignment: Assignment = ANY_SERVER,
        wall_clock: Callable[[], float] = time.time,
        departures: DepartureClient | None = None,
        budget: MemoryBudget | None = None,
    ):
        self._assignment = assignment
        self._bodies = BodyMemory(peers, budget or make_body_budget())
        self._wall_clock = wall_clock
        self._client = client
        self._cold_reserve_per_s = cold_reserve_per_s
        self._departure_s = math.inf
        self._departures = departures or DepartureClient(peers, lambda: ())
        self._draining = False
        self._get_policy = get_policy
        self._last_run_s = {}
        self._loop = asyncio.get_running_loop()
        self._memory = AttemptMemory()
        self._departure_notice = DepartureNotice(peers, self._memory)
        self._observe = observe
        self._out = False
        self._peers = peers
        self._registration = Registration(
            observe,
            self._departures,
            lambda: self._runner.dispatch(),
            lambda reason: self._runner.refuse_all(reason),
            make_update,
            self._send_load_update,
        )
        self._health_client = health_client or HealthClient(client, dialect.echo_header)
        self._health = HealthPoller(
            self._health_client,
            self._registration,
            dialect,
            lambda service: get_policy(service, "").health_interval_ms / MS_PER_S,
            lambda: self._registration.capacity.last_start_s,
        )
        suspects = SuspectTable(peers.address, self._loop.time, observe)
        self._suspect_exchange = SuspectExchange(peers, suspects, get_nodes)
        self._queue = AdmissionQueue(self._loop.time)
        self._completions = CompletionHandler(
            rng,
            self._registration,
            lambda: len(self._queue),
            self._finish,
            observe,
            dialect,
        )
        self._version_guard = VersionGuard(get_rollout, lambda: self.announcement)
        self._runner = AttemptRunner(
            client,
            self._completions,
            self._queue,
            self._registration,
            suspects,
            self._suspect_exchange,
            self._find_closed_reason,
            observe,
            dialect,
        )
        self._suspect_exchange.get_senders = self._list_senders
        self._suspect_exchange.is_running = self._runner.is_running
        self._suspect_exchange.is_up = self._is_server_up
        peers.handle(Run, self._handle_run)
        peers.handle(Cancel, self._handle_cancel)
        peers.handle(Revoke, self._handle_revoke)
        peers.handle(Probe, self._handle_probe)

    @property
    def state(self) -> GateState:
        """Whether the node accepts new work."""
        if self._draining:
            return GateState.DRAINING
        return GateState.OUT if self._out else GateState.OPEN

    @property
    def announcement(self) -> Announcement | None:
        """The latest announcement of the server, or None if there was none."""
        return self._registration.announcement

    @property
    def available(self) -> bool:
        """True while other nodes may send work here."""
        announced = (
            self.announcement is not None and not self._registration.lease_expired
        )
        departing = self._departure_s < math.inf or self.leaving
        return announced and not departing and self.state is GateState.OPEN

    @property
    def leaving(self) -> bool:
        """True once the server or this node has begun to stop."""
        return self._draining or self._registration.leaving

    def find_announcement_error(self, announcement: Announcement) -> str:
        """Return why an announcement can't be of this node's server; "" if it can."""
        return find_announcement_error(
            announcement, self._assignment, self._wall_clock()
        )

    def find_start_error(self, started_s: float) -> str:
        """Return why a server can't have started at a Unix time; "" if it can."""
        return find_start_error(started_s, self._wall_clock())

    def announce(self, announcement: Announcement) -> AnnounceResult:
        """Register a server, or renew its registration.

        An announcement that is refused changes nothing.
        """
        error = self.find_announcement_error(announcement)
        if error:
            return AnnounceRefused(error)
        previous = self.announcement
        policy = self._get_policy(announcement.service, "")
        rate_per_s = announcement.cold_rate_per_s * policy.cold_rate_percent / PERCENT
        if rate_per_s:
            rate_per_s += self._cold_reserve_per_s
        announcement = msgspec.structs.replace(announcement, cold_rate_per_s=rate_per_s)
        result = self._registration.announce(announcement, policy.cold_limit)
        self._health.start()
        started = previous is None or previous.start_id != announcement.start_id
        if self.announcement is announcement:
            self._client.set_connections_max(announcement.request_connections_max)
        if started and self.announcement is announcement:
            self._suspect_exchange.service = announcement.service
            self._suspect_exchange.fetch_suspects()
        self.apply_rollout()
        return result

    async def check_departures(self, server: str, start_id: str) -> None:
        """Learn whether a start of a server has left before this process started.

        Its announcement is refused until this is known. Returns after `WAIT_S` at most,
        and at once if it is known.
        """
        await self._departures.check(server, start_id)

    def leave(self, server: str, start_id: str = "") -> bool:
        """Stop sending work to the server; False if the server is not known.

        Requests in flight are not aborted.

        Parameters
        ----------
        server : str
        start_id : str, default=""
            The start that leaves, if it is known; otherwise the registered one does.
        """
        return self._registration.leave(server, start_id)

    async def confirm_departure(self, server: str) -> bool:
        """Wait until a departure outlives this process.

        Returns
        -------
        bool
            False if a majority of the control hosts doesn't remember it in time, so
            that the server's request must not be acknowledged yet.
        """
        return await self._departures.wait_until_recorded(server)

    def set_out(self, out: bool) -> None:
        """Stop or resume accepting work for an operator; requests in flight finish."""
        if out == self._out:
            return
        self._out = out
        if out:
            self._runner.refuse_all(NotRunReason.DOMAIN_OUT)
        self._observe(GateChanged(self.state.value, self._count_in_flight()))

    def apply_rollout(self) -> None:
        """Refuse what waits if the rollout in force gives the server no work."""
        refusal = self._version_guard.find_refusal()
        if refusal is not None:
            self._runner.refuse_all(refusal)

    def limit_work(self, end_s: float) -> None:
        """Refuse attempts whose deadline is later than `end_s`, a loop time.

        A stopping node doesn't wait for them, so they may be cut once started.
        """
        self._runner.end_s = end_s

    def announce_departure(self) -> None:
        """Let other nodes know that this one will drain; work is still accepted."""
        self._departure_s = min(self._departure_s, self._loop.time())

    async def wait_until_unused(self, deadline_s: float) -> None:
        """Refuse work until other nodes have stopped sending it, after a drain.

        Without an answer, a node that has not heard of the departure could not know
        that its attempt never ran.

        Parameters
        ----------
        deadline_s : float
            Loop time at which to stop waiting.
        """
        while (now_s := self._loop.time()) < deadline_s:
            last_run_s = max(self._last_run_s.values(), default=-math.inf)
            until_s = max(self._departure_s + DEPARTURE_SPREAD_S, last_run_s + QUIET_S)
            if now_s >= until_s:
                return
            await asyncio.sleep(min(until_s, deadline_s) - now_s)

    async def notify_peers(self, deadline_s: float) -> None:
        """Tell the nodes in touch which attempts have started, after a drain.

        It is the last message of this incarnation: what it does not name never runs,
        so the entry nodes can send it elsewhere at once.

        Parameters
        ----------
        deadline_s : float
            Loop time at which to stop waiting for acknowledgements.
        """
        check_invariant(self._draining, "attempts may start after the last message")
        nodes = self._peers.clocks.list_recent(self._loop.time() - CONTACT_WINDOW_S)
        nodes = [node for node in nodes if node != self._peers.address]
        acknowledged = await self._departure_notice.send(nodes, deadline_s)
        self._observe(DepartureNotified(len(nodes), acknowledged))

    async def drain(self, deadline_s: float) -> bool:
        """Refuse new work permanently and wait for attempts in flight.

        Parameters
        ----------
        deadline_s : float
            Loop time at which to stop waiting.

        Returns
        -------
        bool
            True if all attempts in flight have ended and were answered.
        """
        self.announce_departure()
        if not self._draining:
            self._draining = True
            self._runner.refuse_all(NotRunReason.DRAINING)
            self._observe(GateChanged(self.state.value, self._count_in_flight()))
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._runner.idle.wait()
        except TimeoutError:
            return False
        return True

    async def end_attempts(self) -> None:
        """Break off the attempts that a drain has left and reply to their entry nodes.

        They may have run, so each ends as unknown, or as failed if it is idempotent.
        """
        check_invariant(self._draining, "attempts may start after the last ones ended")
        self._runner.cancel_all()
        # Each attempt replies after its exchange with the server has ended.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPLY_TIME_S):
                await self._runner.idle.wait()

    def count_attempts(self) -> int:
        """Count the attempts that wait or run."""
        return self._runner.count_attempts()

    def inform_of_suspect(self, node: str, service: str, digest: str) -> None:
        """Tell a node, before it is sent a request, if the request is suspect."""
        self._suspect_exchange.inform(node, service, digest)

    def get_load(self) -> LoadReport | None:
        """Return the load of the server, or None if no server announced itself."""
        capacity = self._registration.capacity
        if capacity is None:
            return None
        return LoadReport(
            capacity.announcement.server,
            capacity.in_flight,
            len(self._queue),
            capacity.limit,
            round(capacity.baseline.mean_s * 1000, 3),
            self._get_server_state(capacity),
            capacity.announcement.start_id,
            capacity.slowness,
            round(capacity.slow_span_s, 3),
            round(capacity.starts_per_s, 3),
            capacity.server_limit.reported_per_s,
            self._registration.leaving,
        )

    def close(self) -> None:
        """Stop immediately and cancel the attempts in flight."""
        self._health.close()
        self._runner.close()
        self._suspect_exchange.close()
        self._registration.close()
        self._departures.close()

    def _get_server_state(self, capacity):
        if self.leaving:
            return ServerState.DRAINING
        if self._out:
            return ServerState.OUT
        if capacity.down or self._registration.lease_expired:
            return ServerState.DOWN
        return ServerState.COLD if capacity.cold else ServerState.SERVING

    async def _is_server_up(self):
        announcement = self.announcement
        if announcement is None or not announcement.health_url:
            return False
        return await self._health_client.ask_if_up(
            announcement.health_url, LIVENESS_TIMEOUT_S
        )

    def _find_closed_reason(self):
        closed = _CLOSED_REASONS.get(self.state)
        return self._version_guard.find_refusal() if closed is None else closed

    def _count_in_flight(self):
        capacity = self._registration.capacity
        return 0 if capacity is None else capacity.in_flight

    # Message handlers.

    def _handle_run(self, sender, envelope):
        run = envelope.message
        self._last_run_s[sender] = self._loop.time()
        self._departure_notice.handle_run(sender)
        record = self._memory.get(run.attempt)
        now_s = self._loop.time()
        if record is not None and not _may_be_forgotten(record, run, now_s):
            self._resend_reply(sender, record, "run")
            return
        if run.incarnation != self._peers.incarnation or not run.latest_start_s:
            # It can never start here: its latest start is missing, or a time of the
            # clock of another incarnation of this node.
            self._refuse_stale(sender, run, "no reading of this node's clock")
            return
        if now_s > run.latest_start_s + RETENTION_S:
            # It may have run and its record expired, so its outcome is unknown.
            self._observe(AttemptRepeated(run.attempt, "run", "forgotten"))
            return
        if now_s > run.latest_start_s:
            self._refuse_stale(sender, run, "arrived too late to start")
            return
        record = self._memory.open(run.attempt, run.latest_start_s, now_s, sender)
        if record is not None and run.latest_start_s > now_s + START_HORIZON_S:
            # The record of an earlier `Revoke` would expire before this latest start,
            # so the attempt is refused permanently.
            record.state = AttemptState.REVOKED
            self._refuse_stale(sender, run, "the latest start is too far ahead")
            return
        if record is None:
            # Without a record, a duplicate message could start it after a refusal.
            self._observe(AttemptRepeated(run.attempt, "run", "no memory"))
            return
        outdated = self._version_guard.is_outdated(envelope.settings_version)
        refusal = NotRunReason.VERSION if outdated else None
        self._submit(sender, run, envelope.body, record, now_s, refusal)

    def _submit(self, sender, run, body, record, now_s, refusal):
        capacity = self._registration.capacity
        if run.server_limit_per_s is not None and capacity is not None:
            capacity.adopt_server_limit(run.server_limit_per_s)
        policy = self._get_policy(run.service, run.kind)
        deadline_s = now_s + run.budget_ms / 1000.0
        target_s = math.inf
        if run.target_ms is not None:
            target_s = now_s + run.target_ms / MS_PER_S
        size = len(body)
        if not self._bodies.take(sender, run, size):
            refusal, body, size = NotRunReason.OVERLOADED, b"", 0
        job = AttemptJob(sender, run, body, policy, record, now_s, deadline_s, target_s)
        job.refusal = refusal
        self._runner.submit(job)
        if size:
            job.task.add_done_callback(
                lambda task: self._bodies.give_back(sender, size)
            )

    def _handle_cancel(self, sender, envelope):
        attempt = envelope.message.attempt
        record = self._memory.get(attempt)
        if record is None:
            self._memory.revoke(attempt, self._loop.time())
        elif record.state is AttemptState.WAITING:
            self._runner.refuse(attempt, NotRunReason.CANCELLED)
        elif record.state is AttemptState.RUNNING:
            self._runner.cancel(attempt)

    def _handle_revoke(self, sender, envelope):
        attempt = envelope.message.attempt
        record = self._memory.get(attempt)
        if record is None:
            record = self._revoke_unknown(envelope.message)
        elif record.state is AttemptState.WAITING and not envelope.message.keep_waiting:
            self._runner.refuse(attempt, NotRunReason.REVOKED)
            self._send_revoked(sender, envelope, True, False)
            return
        elif record.state is AttemptState.FINISHED:
            self._resend_reply(sender, record, "revoke")
            refused = record.reply.outcome == "not_run"
            self._send_revoked(sender, envelope, refused, True)
            return
        now_s = self._loop.time()
        never_runs = (
            record is not None
            and record.state is AttemptState.REVOKED
            and not _may_be_forgotten(record, envelope.message, now_s)
        )
        self._send_revoked(sender, envelope, never_runs, False)

    def _revoke_unknown(self, revoke):
        now_s = self._loop.time()
        if revoke.latest_start_s and now_s > revoke.latest_start_s + RETENTION_S:
            # It may have run and its record expired.
            return None
        return self._memory.revoke(revoke.attempt, now_s)

    def _handle_probe(self, sender, envelope):
        load = self.get_load()
        if load is not None and load.server != envelope.message.server:
            load = None
        self._peers.reply(sender, envelope, ProbeReply(load))

    def _send_revoked(self, sender, envelope, never_runs, finished):
        revoked = Revoked(
            envelope.message.attempt, never_runs, finished, self.get_load()
        )
        self._peers.reply(sender, envelope, revoked)

    def _send_load_update(self):
        """Send the server's load to the nodes that recently sent work."""
        load = self.get_load()
        for node in self._list_senders():
            self._peers.send(node, LoadUpdate(load))

    def _list_senders(self):
        """Return the nodes that recently sent work."""
        oldest_s = self._loop.time() - SENDER_WINDOW_S
        self._last_run_s = {
            n: at_s for n, at_s in self._last_run_s.items() if at_s > oldest_s
        }
        return list(self._last_run_s)

    def _refuse_stale(self, sender, run, detail):
        reply = make_refusal(run.attempt, NotRunReason.STALE, 0.0, detail)
        self._send_reply(sender, reply, b"")
        self._completions.report_refusal(run, NotRunReason.STALE, 0.0, detail)

    def _send_reply(self, sender, reply, body):
        reply = msgspec.structs.replace(reply, load=self.get_load())
        self._peers.send(sender, reply, body)

    def _resend_reply(self, sender, record, message):
        self._observe(AttemptRepeated(record.attempt, message, record.state.value))
        if record.state is AttemptState.REVOKED:
            reply = make_refusal(record.attempt, NotRunReason.REVOKED, 0.0)
            self._send_reply(sender, reply, b"")
        elif record.state is AttemptState.FINISHED and record.body is None:
            detail = "ran, but its answer is no longer kept"
            self._send_reply(
                sender, Reply(record.attempt, "unknown", detail=detail), b""
            )
        elif record.state is AttemptState.FINISHED:
            self._send_reply(sender, record.reply, record.body)

    def _finish(self, job, reply, body):
        now_s = self._loop.time()
        elapsed_ms = (now_s - job.arrived_s) * 1000
        reply = msgspec.structs.replace(reply, server_ms=round(elapsed_ms, 3))
        self._memory.finish(job.record, reply, body, now_s)
        self._send_reply(job.sender, reply, body)


def _may_be_forgotten(record, message, now_s):
    """Return whether the attempt may have run before `record` was opened.

    A `Cancel` or `Revoke` can open a record for an attempt whose earlier one expired.
    That takes until `RETENTION_S` after the latest start, which `message` names.
    """
    if record.state is not AttemptState.REVOKED or not message.latest_start_s:
        return False
    return now_s > message.latest_start_s + RETENTION_S
