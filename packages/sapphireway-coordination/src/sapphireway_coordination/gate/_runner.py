"""One attempt after the other, from its arrival beside the server to its end."""

import asyncio
from collections.abc import Callable

from sapphireway_coordination.gate._admission import AdmissionQueue, Waiter
from sapphireway_coordination.gate._attempt_job import Order
from sapphireway_coordination.gate._attempt_memory import AttemptState
from sapphireway_coordination.gate._capacity import Running
from sapphireway_coordination.gate._completion import OrderEnds
from sapphireway_coordination.gate._events import AttemptStarted, ObserveGate
from sapphireway_coordination.gate._exchange import (
    is_not_run,
    make_request,
    read_result,
)
from sapphireway_coordination.gate._registration import Registration
from sapphireway_coordination.gate._server_dialect import ServerDialect
from sapphireway_coordination.suspects import SuspectExchange, SuspectTable, Verdict
from sapphireway_protocol import NotRunReason
from sapphireway_state import check_invariant
from sapphireway_transport import Broken, Responded, ServerClient


class AttemptRunner:
    """Admits orders to the server and runs each once.

    Parameters
    ----------
    client : ServerClient
    ends : OrderEnds
        Takes the end of each order.
    queue : AdmissionQueue
    registration : Registration
    suspects : SuspectTable
    exchange : SuspectExchange
    get_closed_reason : callable
        Returns why the node takes no new work at all, or None.
    observe : callable
    dialect : ServerDialect

    Attributes
    ----------
    idle : Event
        Set while there is no order.
    """

    __slots__ = (
        "_alone",
        "_client",
        "_closing",
        "_ends",
        "_exchange",
        "_form",
        "_get_closed_reason",
        "_loop",
        "_observe",
        "_orders",
        "_queue",
        "_registration",
        "_suspects",
        "idle",
    )

    def __init__(
        self,
        client: ServerClient,
        ends: OrderEnds,
        queue: AdmissionQueue,
        registration: Registration,
        suspects: SuspectTable,
        exchange: SuspectExchange,
        get_closed_reason: Callable[[], NotRunReason | None],
        observe: ObserveGate,
        dialect: ServerDialect,
    ):
        self._form = dialect
        self._alone = None
        self._client = client
        self._closing = False
        self._ends = ends
        self._exchange = exchange
        self._get_closed_reason = get_closed_reason
        self._loop = asyncio.get_running_loop()
        self._observe = observe
        self._orders = {}
        self._queue = queue
        self._registration = registration
        self._suspects = suspects
        self.idle = asyncio.Event()
        self.idle.set()

    def submit(self, order: Order) -> None:
        """Begin to process an order in a task of its own."""
        self._orders[order.run.attempt] = order
        self.idle.clear()
        order.task = self._loop.create_task(self._process(order))
        order.task.add_done_callback(lambda task: self._close(order, task))

    def cancel(self, attempt: str) -> None:
        """Close the connection of an attempt that runs."""
        order = self._orders[attempt]
        if order.sending:
            order.task.cancel()

    def refuse(self, attempt: str, reason: NotRunReason) -> None:
        """Refuse an attempt that has not started."""
        order = self._orders[attempt]
        order.refusal = reason
        if order is self._alone:
            order.waiter.decide(reason)
        elif order.waiter is not None:
            self._queue.refuse(order.waiter, reason)

    def is_running(self, digest: str) -> bool:
        """Tell whether the server runs a request of `digest`, or just did."""
        return self._count_running(digest) > 0

    def refuse_all(self, reason: NotRunReason) -> None:
        """Refuse every attempt that waits for a slot."""
        self._queue.refuse_all(reason)
        if self._alone is not None:
            self._alone.waiter.decide(reason)

    def dispatch(self) -> None:
        """Start what waits, as far as there are slots."""
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
            waiter.decide(self._start(order, alone=False))

    def close(self) -> None:
        """Cancel everything."""
        self._closing = True
        for order in list(self._orders.values()):
            order.task.cancel()

    def _close(self, order, task):
        del self._orders[order.run.attempt]
        if not self._orders:
            self.idle.set()
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler(
                {"message": "an attempt failed", "exception": task.exception()}
            )

    async def _process(self, order):
        refusal = await self._admit(order)
        if refusal is not None:
            self._ends.finish_refused(order, refusal)
            return
        result = None
        try:
            result = await self._send(order)
        except asyncio.CancelledError:
            if self._closing:
                raise
            # The entry node asked for it: there is still a reply to send.
            order.task.uncancel()
        finally:
            self._end(order, result)
        elapsed_s = self._loop.time() - order.running.started_s
        await self._judge_digest(order, result)
        self._ends.finish_served(order, result, elapsed_s)

    async def _admit(self, order):
        """Take a slot for the attempt, or return why it gets none."""
        refusal = self._refuse_at_once(order)
        if refusal is not None:
            return refusal
        if self._suspects.judge(order.run.digest) is Verdict.ALONE:
            return await self._admit_alone(order)
        capacity = self._registration.capacity
        if capacity.has_room() and not self._queue:
            return self._start(order, alone=False)
        waiter = self._make_waiter(order)
        wait_s = capacity.expect_wait_s(*self._queue.sum_ahead(waiter))
        refusal = self._queue.push(waiter, order.policy.queue_limit, wait_s)
        if refusal is not None:
            return refusal
        order.waiter = waiter
        self.dispatch()
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
            self.dispatch()
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
            capacity.expect_run_s(order.run.kind),
            self._loop.create_future(),
            order.target_s,
            order.arrived_s,
        )

    def _refuse_at_once(self, order):
        run = order.run
        if order.refusal is not None:
            return order.refusal
        closed = self._get_closed_reason()
        if closed is not None:
            return closed
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

    def _dispatch_alone(self, capacity):
        order = self._alone
        if order.waiter.decided.done() or not capacity.has_room_alone():
            return
        if self._suspects.judge(order.run.digest) is Verdict.REFUSED:
            order.waiter.decide(NotRunReason.SUSPECT)
            return
        order.waiter.decide(self._start(order, alone=True))

    def _release_alone(self, order):
        if self._alone is order:
            self._alone = None
            self._registration.capacity.reserved = None
            self.dispatch()

    def _start(self, order, *, alone):
        """Take a slot for the attempt, or return why it is too late for that."""
        run, record, now_s = order.run, order.record, self._loop.time()
        check_invariant(record.state is AttemptState.WAITING, "an attempt starts twice")
        # A process that was held up reads answers before it runs its timers, and time
        # may have passed since the last check. The promise not to start is kept here.
        if now_s > run.latest_start_s:
            return NotRunReason.DEADLINE
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
        return None

    async def _send(self, order):
        remaining_s = max(order.deadline_s - self._loop.time(), 0.001)
        request = make_request(
            order.run,
            order.body,
            order.capacity.announcement,
            remaining_s,
            order.policy.body_max_bytes,
            self._form,
        )
        order.sending = True
        result = await self._client.send(request)
        if isinstance(result, Responded):
            self._registration.take_report(self._form.read_report(result))
        return read_result(result, self._form)

    def _end(self, order, result):
        order.sending = False
        if isinstance(result, Responded):
            self._registration.note_answer()
        order.capacity.end(order.run.attempt, result)

    async def _judge_digest(self, order, result):
        digest, ttl_s = order.run.digest, float(order.policy.suspect_ttl_s)
        disconnected = isinstance(result, Broken) and result.disconnected
        answered = isinstance(result, Responded) and not is_not_run(result, self._form)
        # A digest may have become suspect while it ran here beside others.
        suspect = self._suspects.judge(digest) is Verdict.ALONE
        if order is self._alone and disconnected:
            await self._exchange.condemn(digest, ttl_s)
        elif disconnected and digest:
            await self._exchange.report_broken(digest, ttl_s)
        elif answered and suspect:
            self._exchange.acquit(digest)
        elif answered:
            self._suspects.note_success(digest)
        elif suspect and self._count_running(digest) == 1:
            self._exchange.give_back(digest)
        self._release_alone(order)

    def _count_running(self, digest):
        return sum(
            order.run.digest == digest and order.record.state is AttemptState.RUNNING
            for order in self._orders.values()
        )
