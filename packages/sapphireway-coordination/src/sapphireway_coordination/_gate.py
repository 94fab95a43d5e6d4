"""The node beside one server: what it runs, refuses, and answers for."""

import asyncio
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from sapphireway_coordination._admission import (
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
    AdmissionQueue,
    Waiter,
)
from sapphireway_coordination._announcement import Announcement, AnnounceResult
from sapphireway_coordination._attempt_memory import (
    RETENTION_S,
    AttemptMemory,
    AttemptRecord,
    AttemptState,
)
from sapphireway_coordination._capacity import Running, ServerCapacity
from sapphireway_coordination._exchange import (
    make_refusal,
    make_reply,
    make_request,
    says_not_run,
)
from sapphireway_coordination._gate_events import (
    AttemptRefused,
    AttemptRepeated,
    AttemptServed,
    AttemptStarted,
    GateChanged,
    ObserveGate,
)
from sapphireway_coordination._invariant import require
from sapphireway_coordination._registration import Registration
from sapphireway_coordination._suspect_exchange import GetNodes, SuspectExchange
from sapphireway_coordination._suspects import SuspectTable, Verdict
from sapphireway_protocol import (
    Cancel,
    Envelope,
    LoadReport,
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
from sapphireway_state import Policy
from sapphireway_transport import Broken, Responded, ServerClient

GetPolicy = Callable[[str, str], Policy]
"""Returns the policy of a service and kind; the kind "" asks for the service's."""


class GateState(enum.StrEnum):
    """Whether the node takes new work."""

    OPEN = "open"
    OUT = "out"
    DRAINING = "draining"


_CLOSED_REASONS = {
    GateState.OUT: NotRunReason.DOMAIN_OUT,
    GateState.DRAINING: NotRunReason.DRAINING,
}


@dataclass(slots=True)
class _Order:
    """An attempt on its way through the node."""

    sender: str
    run: Run
    body: bytes
    policy: Policy
    record: AttemptRecord
    arrived_s: float
    deadline_s: float
    task: asyncio.Task | None = None
    waiter: Waiter | None = None
    refusal: NotRunReason | None = None
    capacity: ServerCapacity | None = None
    running: Running | None = None
    sending: bool = False


class Gate:
    """Admits attempts to the server beside this node and runs each at most once.

    Parameters
    ----------
    peers : Peers
    client : ServerClient
    rng : random.Random
        Spreads the times after which refused callers come back.
    get_policy : callable
    observe : callable
        Takes every event.
    get_nodes : callable
        Returns the addresses of the nodes of a service, to share suspects.
    """

    __slots__ = (
        "_alone",
        "_client",
        "_draining",
        "_exchange",
        "_get_policy",
        "_idle",
        "_loop",
        "_memory",
        "_observe",
        "_orders",
        "_out",
        "_peers",
        "_queue",
        "_registration",
        "_rng",
        "_suspects",
    )

    def __init__(
        self,
        peers: Peers,
        client: ServerClient,
        rng: random.Random,
        get_policy: GetPolicy,
        observe: ObserveGate,
        get_nodes: GetNodes = lambda service: (),
    ):
        self._loop = asyncio.get_running_loop()
        self._alone = None
        self._client = client
        self._draining = False
        self._get_policy = get_policy
        self._idle = asyncio.Event()
        self._idle.set()
        self._memory = AttemptMemory()
        self._observe = observe
        self._orders = {}
        self._out = False
        self._peers = peers
        self._queue = AdmissionQueue(self._loop.time)
        self._registration = Registration(
            observe, self._dispatch, self._refuse_all_waiting
        )
        self._rng = rng
        self._suspects = SuspectTable(peers.address, self._loop.time, observe)
        self._exchange = SuspectExchange(peers, self._suspects, get_nodes)
        peers.handle(Run, self._take_run)
        peers.handle(Cancel, self._take_cancel)
        peers.handle(Revoke, self._take_revoke)
        peers.handle(Probe, self._take_probe)

    @property
    def state(self) -> GateState:
        """Whether the node takes new work."""
        if self._draining:
            return GateState.DRAINING
        return GateState.OUT if self._out else GateState.OPEN

    @property
    def announcement(self) -> Announcement | None:
        """The last announcement of the server, or None if there was none."""
        return self._registration.announcement

    @property
    def available(self) -> bool:
        """True while other nodes may send work here."""
        there = self.announcement is not None and not self._registration.lapsed
        return there and not self.leaving and self.state is GateState.OPEN

    @property
    def leaving(self) -> bool:
        """True once the server or this node has begun to stop."""
        return self._draining or self._registration.leaving

    def announce(self, announcement: Announcement) -> AnnounceResult:
        """Take a server's first announcement, or a renewal of it."""
        first = self._exchange.service != announcement.service
        cold_limit = self._get_policy(announcement.service, "").cold_limit
        result = self._registration.announce(announcement, cold_limit)
        if first and self.announcement is announcement:
            self._exchange.service = announcement.service
            self._exchange.learn_all()
        return result

    def leave(self, server: str) -> bool:
        """Give the server no new work; False if it is not known.

        What it runs ends undisturbed.
        """
        return self._registration.leave(server)

    def set_out(self, out: bool) -> None:
        """Stop or resume new work, as operators say; calls in flight end."""
        if out == self._out:
            return
        self._out = out
        if out:
            self._refuse_all_waiting(NotRunReason.DOMAIN_OUT)
        self._observe(GateChanged(self.state.value, self._count_in_flight()))

    async def drain(self, deadline_s: float) -> bool:
        """Refuse new work for good and wait for what is in flight.

        Parameters
        ----------
        deadline_s : float
            Reading of the loop's clock at which to stop waiting.

        Returns
        -------
        bool
            True if everything in flight has ended and was answered.
        """
        if not self._draining:
            self._draining = True
            self._refuse_all_waiting(NotRunReason.DRAINING)
            self._observe(GateChanged(self.state.value, self._count_in_flight()))
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def get_load(self) -> LoadReport | None:
        """Return the load of the server, or None if none was ever announced."""
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
        )

    def close(self) -> None:
        """Stop at once; what is in flight is cancelled."""
        for order in list(self._orders.values()):
            order.task.cancel()
        self._exchange.close()
        self._registration.close()

    def _get_server_state(self, capacity):
        if self.leaving:
            return ServerState.DRAINING
        if self._out:
            return ServerState.OUT
        if capacity.down or self._registration.lapsed:
            return ServerState.DOWN
        return ServerState.COLD if capacity.cold else ServerState.SERVING

    def _count_in_flight(self):
        capacity = self._registration.capacity
        return 0 if capacity is None else capacity.in_flight

    # Messages.

    def _take_run(self, sender, envelope: Envelope):
        run = envelope.message
        record = self._memory.get(run.attempt)
        if record is not None:
            self._repeat(sender, record, "run")
            return
        now_s = self._loop.time()
        if run.incarnation != self._peers.incarnation or not run.latest_start_s:
            # It can never start here: it names another start of this process, or
            # no reading of this clock.
            self._send_stale(sender, run, "no reading of this node's clock")
            return
        if now_s > run.latest_start_s + RETENTION_S:
            # It may have run and been forgotten, so nothing true can be said.
            self._observe(AttemptRepeated(run.attempt, "run", "forgotten"))
            return
        if now_s > run.latest_start_s:
            self._send_stale(sender, run, "arrived too late to start")
            return
        record = self._memory.open(run.attempt, run.latest_start_s, now_s)
        if record is None:
            # Without a record a repeated message could start it after a refusal.
            self._observe(AttemptRepeated(run.attempt, "run", "no memory"))
            return
        self._open_order(sender, run, envelope.body, record, now_s)

    def _open_order(self, sender, run, body, record, now_s):
        policy = self._get_policy(run.service, run.kind)
        deadline_s = now_s + run.budget_ms / 1000.0
        order = _Order(sender, run, body, policy, record, now_s, deadline_s)
        self._orders[run.attempt] = order
        self._idle.clear()
        order.task = self._loop.create_task(self._process(order))
        order.task.add_done_callback(lambda task: self._close_order(order, task))

    def _close_order(self, order, task):
        del self._orders[order.run.attempt]
        if not self._orders:
            self._idle.set()
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler(
                {"message": "attempt failed", "exception": task.exception()}
            )

    def _take_cancel(self, sender, envelope):
        attempt = envelope.message.attempt
        record = self._memory.get(attempt)
        if record is None:
            self._memory.revoke(attempt, self._loop.time())
        elif record.state is AttemptState.WAITING:
            self._refuse_waiting(attempt, NotRunReason.CANCELLED)
        elif record.state is AttemptState.RUNNING:
            order = self._orders[attempt]
            if order.sending:
                order.task.cancel()

    def _take_revoke(self, sender, envelope):
        attempt = envelope.message.attempt
        record = self._memory.get(attempt)
        if record is None:
            record = self._memory.revoke(attempt, self._loop.time())
        elif record.state is AttemptState.WAITING:
            self._refuse_waiting(attempt, NotRunReason.REVOKED)
            self._send_revoked(sender, envelope, True, False)
            return
        elif record.state is AttemptState.FINISHED:
            self._repeat(sender, record, "revoke")
            refused = record.reply.outcome == "not_run"
            self._send_revoked(sender, envelope, refused, True)
            return
        never_runs = record is not None and record.state is AttemptState.REVOKED
        self._send_revoked(sender, envelope, never_runs, False)

    def _take_probe(self, sender, envelope):
        load = self.get_load()
        if load is not None and load.server != envelope.message.server:
            load = None
        self._peers.reply(sender, envelope, ProbeReply(load))

    def _refuse_waiting(self, attempt, reason):
        order = self._orders[attempt]
        order.refusal = reason
        if order is self._alone:
            order.waiter.decide(reason)
        elif order.waiter is not None:
            self._queue.refuse(order.waiter, reason)

    def _refuse_all_waiting(self, reason):
        self._queue.refuse_all(reason)
        if self._alone is not None:
            self._alone.waiter.decide(reason)

    def _send_revoked(self, sender, envelope, never_runs, finished):
        revoked = Revoked(
            envelope.message.attempt, never_runs, finished, self.get_load()
        )
        self._peers.reply(sender, envelope, revoked)

    def _send_stale(self, sender, run, detail):
        reply = make_refusal(run.attempt, NotRunReason.STALE, 0.0, detail)
        self._send_reply(sender, reply, b"")
        self._report_refusal(run, NotRunReason.STALE, 0.0, detail)

    def _send_reply(self, sender, reply, body):
        reply = msgspec.structs.replace(reply, load=self.get_load())
        self._peers.send(sender, reply, body)

    def _repeat(self, sender, record, message):
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

    # One attempt, from its arrival to its reply.

    async def _process(self, order):
        refusal = await self._admit(order)
        if refusal is not None:
            self._finish_refused(order, refusal)
            return
        result = None
        try:
            result = await self._send(order)
        except asyncio.CancelledError:
            # The entry node asked for it: there is still a reply to send.
            pass
        finally:
            self._end(order, result)
        elapsed_s = self._loop.time() - order.running.started_s
        await self._judge_digest(order, result)
        self._finish_served(order, result, elapsed_s)

    async def _admit(self, order):
        """Take a slot for the attempt, or return why it gets none."""
        refusal = self._refuse_at_once(order)
        if refusal is not None:
            return refusal
        if self._suspects.judge(order.run.digest) is Verdict.ALONE:
            return await self._admit_alone(order)
        capacity = self._registration.capacity
        if capacity.has_room() and not self._queue:
            self._start(order, alone=False)
            return None
        waiter = self._make_waiter(order)
        refusal = self._queue.push(
            waiter, order.policy.queue_limit, capacity.limit, capacity.expect_slot_s()
        )
        if refusal is not None:
            return refusal
        order.waiter = waiter
        self._dispatch()
        return await self._wait(order, self._queue.refuse)

    async def _admit_alone(self, order):
        digest = order.run.digest
        if self._alone is not None or not await self._exchange.ask(digest):
            return NotRunReason.SUSPECT
        refusal = self._refuse_at_once(order)
        if refusal is None and self._alone is not None:
            refusal = NotRunReason.SUSPECT
        if refusal is None:
            order.waiter = self._make_waiter(order)
            self._alone = order
            self._registration.capacity.reserved = order.run.attempt
            self._dispatch()
            refusal = await self._wait(order, lambda waiter, why: waiter.decide(why))
        if refusal is not None:
            self._exchange.give_back(digest)
            self._release_alone(order)
        return refusal

    async def _wait(self, order, refuse):
        waiter = order.waiter
        timer = self._loop.call_at(
            waiter.start_by_s, refuse, waiter, NotRunReason.DEADLINE
        )
        try:
            return await waiter.decided
        finally:
            timer.cancel()

    def _make_waiter(self, order):
        capacity = self._registration.capacity
        return Waiter(
            order.run.attempt,
            order.run.weight,
            order.deadline_s,
            order.run.latest_start_s,
            capacity.baseline.get(order.run.kind),
            self._loop.create_future(),
        )

    def _refuse_at_once(self, order):
        run = order.run
        if order.refusal is not None:
            return order.refusal
        if self.state is not GateState.OPEN:
            return _CLOSED_REASONS[self.state]
        if order.policy.out:
            return NotRunReason.DOMAIN_OUT
        unavailable = self._registration.judge(run.service)
        if unavailable is not None:
            return unavailable
        if self._suspects.judge(run.digest) is Verdict.REFUSED:
            self._exchange.renew(run.digest)
            return NotRunReason.SUSPECT
        if self._loop.time() > min(order.deadline_s, run.latest_start_s):
            return NotRunReason.DEADLINE
        return None

    def _dispatch(self):
        capacity = self._registration.capacity
        if capacity is None:
            return
        if self._alone is not None and self._alone.running is None:
            self._dispatch_alone(capacity)
        while capacity.has_room() and not capacity.paused:
            waiter = self._queue.pop()
            if waiter is None:
                return
            order = self._orders[waiter.attempt]
            if self._suspects.judge(order.run.digest) is not Verdict.FREE:
                waiter.decide(NotRunReason.SUSPECT)
                continue
            self._start(order, alone=False)
            waiter.decide(None)

    def _dispatch_alone(self, capacity):
        order = self._alone
        if order.waiter.decided.done() or not capacity.has_room_alone():
            return
        if self._suspects.judge(order.run.digest) is Verdict.REFUSED:
            order.waiter.decide(NotRunReason.SUSPECT)
            return
        self._start(order, alone=True)
        order.waiter.decide(None)

    def _release_alone(self, order):
        if self._alone is order:
            self._alone = None
            self._registration.capacity.reserved = None
            self._dispatch()

    def _start(self, order, *, alone):
        run, record, now_s = order.run, order.record, self._loop.time()
        require(record.state is AttemptState.WAITING, "an attempt starts twice")
        require(now_s <= run.latest_start_s, "an attempt starts too late")
        record.state = AttemptState.RUNNING
        capacity = self._registration.capacity
        order.capacity = capacity
        order.running = Running(run.attempt, run.kind, run.digest, now_s, False, alone)
        capacity.start(order.running)
        self._observe(
            AttemptStarted(
                run.attempt,
                run.call,
                run.service,
                run.kind,
                capacity.announcement.server,
                now_s - order.arrived_s,
                capacity.in_flight,
                capacity.limit,
                alone,
            )
        )

    async def _send(self, order):
        remaining_s = max(order.deadline_s - self._loop.time(), 0.001)
        request = make_request(
            order.run,
            order.body,
            order.capacity.announcement.url,
            remaining_s,
            order.policy.body_max_bytes,
        )
        order.sending = True
        return await self._client.send(request)

    def _end(self, order, result):
        order.sending = False
        if isinstance(result, Responded):
            self._registration.note_answer()
        order.capacity.end(order.run.attempt, result)

    async def _judge_digest(self, order, result):
        digest, ttl_s = order.run.digest, float(order.policy.suspect_ttl_s)
        disconnected = isinstance(result, Broken) and result.disconnected
        answered = isinstance(result, Responded) and not says_not_run(result)
        if order is self._alone:
            if disconnected:
                await self._exchange.condemn(digest, ttl_s)
            elif answered:
                self._exchange.acquit(digest)
            else:
                self._exchange.give_back(digest)
            self._release_alone(order)
        elif disconnected and digest:
            await self._exchange.report_broken(digest, ttl_s)
        elif answered:
            self._suspects.note_success(digest)

    def _finish_served(self, order, result, elapsed_s):
        run = order.run
        reply, body = make_reply(run, result, self._draw_retry_after())
        self._finish(order, reply, body)
        self._observe(
            AttemptServed(
                run.attempt,
                run.call,
                run.service,
                run.kind,
                order.capacity.announcement.server,
                reply.outcome,
                reply.status,
                elapsed_s,
                reply.detail,
            )
        )

    def _finish_refused(self, order, reason):
        retry_after_s = self._draw_retry_after()
        reply = make_refusal(order.run.attempt, reason, retry_after_s)
        self._finish(order, reply, b"")
        self._report_refusal(order.run, reason, retry_after_s, "")

    def _finish(self, order, reply, body):
        now_s = self._loop.time()
        elapsed_ms = (now_s - order.arrived_s) * 1000
        reply = msgspec.structs.replace(reply, server_ms=round(elapsed_ms, 3))
        self._memory.finish(order.record, reply, body, now_s)
        self._send_reply(order.sender, reply, body)

    def _report_refusal(self, run, reason, retry_after_s, detail):
        load = self.get_load()
        self._observe(
            AttemptRefused(
                run.attempt,
                run.call,
                run.service,
                run.kind,
                reason,
                retry_after_s,
                detail,
                0 if load is None else load.in_flight,
                0 if load is None else load.queued,
                0 if load is None else load.limit,
            )
        )

    def _draw_retry_after(self):
        # The spread keeps refused callers from coming back together.
        capacity = self._registration.capacity
        backlog_s = RETRY_AFTER_MIN_S
        if capacity is not None:
            ahead = capacity.in_flight + len(self._queue)
            backlog_s += capacity.baseline.mean_s * ahead / max(1, capacity.limit)
        base_s = min(backlog_s, RETRY_AFTER_MAX_S)
        return round(base_s * (1.0 + self._rng.random()), 3)
