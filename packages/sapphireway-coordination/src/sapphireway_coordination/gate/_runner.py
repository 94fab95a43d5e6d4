"""Execution of attempts, from their arrival at the gate to their completion."""

import asyncio
import math
from collections.abc import Callable

from sapphireway_coordination.gate._admission import AdmissionQueue, Waiter
from sapphireway_coordination.gate._attempt_job import AttemptJob
from sapphireway_coordination.gate._attempt_memory import AttemptState
from sapphireway_coordination.gate._capacity import RunningRequest
from sapphireway_coordination.gate._completion import CompletionHandler
from sapphireway_coordination.gate._events import AttemptStarted, ObserveGate
from sapphireway_coordination.gate._exchange import (
    is_not_run,
    make_request,
    validate_result,
)
from sapphireway_coordination.gate._overtaking import StartedWork
from sapphireway_coordination.gate._registration import Registration
from sapphireway_coordination.gate._server_dialect import ServerDialect
from sapphireway_coordination.gate._server_limit import ReportSource
from sapphireway_coordination.suspects import (
    RunPermission,
    SuspectExchange,
    SuspectTable,
)
from sapphireway_protocol import NotRunReason
from sapphireway_state import check_invariant
from sapphireway_transport import Broken, Responded, ServerClient


class AttemptRunner:
    """Admits attempts to the server and runs each at most once.

    Parameters
    ----------
    client : ServerClient
    completions : CompletionHandler
        Replies to each attempt.
    queue : AdmissionQueue
    registration : Registration
    suspects : SuspectTable
    suspect_exchange : SuspectExchange
    get_closed_reason : callable
        Returns why the node accepts no new work, or None.
    observe : callable
    dialect : ServerDialect

    Attributes
    ----------
    end_s : float
        Loop time by which attempts must end; no attempt with a later deadline starts.
    idle : Event
        Set while there is no attempt.
    """

    __slots__ = (
        "_alone_job",
        "_client",
        "_closing",
        "_completions",
        "_dialect",
        "_get_closed_reason",
        "_jobs",
        "_loop",
        "_observe",
        "_queue",
        "_registration",
        "_started_work",
        "_suspect_exchange",
        "_suspects",
        "end_s",
        "idle",
    )

    def __init__(
        self,
        client: ServerClient,
        completions: CompletionHandler,
        queue: AdmissionQueue,
        registration: Registration,
        suspects: SuspectTable,
        suspect_exchange: SuspectExchange,
        get_closed_reason: Callable[[], NotRunReason | None],
        observe: ObserveGate,
        dialect: ServerDialect,
    ):
        self._dialect = dialect
        self._alone_job = None
        self._client = client
        self._closing = False
        self._completions = completions
        self._suspect_exchange = suspect_exchange
        self._get_closed_reason = get_closed_reason
        self._loop = asyncio.get_running_loop()
        self._observe = observe
        self._jobs = {}
        self._queue = queue
        self._registration = registration
        self._started_work = StartedWork(self._loop.time)
        self._suspects = suspects
        self.end_s = math.inf
        self.idle = asyncio.Event()
        self.idle.set()

    def submit(self, job: AttemptJob) -> None:
        """Process an attempt in its own task."""
        self._jobs[job.run.attempt] = job
        self.idle.clear()
        job.task = self._loop.create_task(self._process(job))
        job.task.add_done_callback(lambda task: self._on_task_done(job, task))

    def cancel(self, attempt: str) -> None:
        """Abort the request of a running attempt."""
        job = self._jobs[attempt]
        if job.sending:
            job.task.cancel()

    def cancel_all(self) -> None:
        """Abort the requests of all running attempts."""
        for attempt in list(self._jobs):
            self.cancel(attempt)

    def refuse(self, attempt: str, reason: NotRunReason) -> None:
        """Refuse an attempt that has not started."""
        job = self._jobs[attempt]
        job.refusal = reason
        if job is self._alone_job:
            job.waiter.decide(reason)
        elif job.waiter is not None:
            self._queue.refuse(job.waiter, reason)

    def count_attempts(self) -> int:
        """Count the attempts that have not ended."""
        return len(self._jobs)

    def is_running(self, digest: str) -> bool:
        """Tell whether a request of `digest` has started here and is not completed."""
        return self._count_running(digest) > 0

    def refuse_all(self, reason: NotRunReason) -> None:
        """Refuse every attempt that waits for a slot."""
        self._queue.refuse_all(reason)
        if self._alone_job is not None:
            self._alone_job.waiter.decide(reason)

    def dispatch(self) -> None:
        """Start queued attempts while there are free slots."""
        capacity = self._registration.capacity
        if capacity is None:
            return
        if self._alone_job is not None and self._alone_job.running is None:
            self._dispatch_alone(capacity)
        while capacity.has_room() and not capacity.paused:
            waiter = self._queue.pop()
            if waiter is None:
                return
            job = self._jobs[waiter.attempt]
            if self._suspects.get_permission(job.run.digest) is not RunPermission.FREE:
                waiter.decide(NotRunReason.SUSPECT)
                continue
            waiter.decide(self._start(job, alone=False))
        if self._queue:
            self._queue.refuse_hopeless(self._estimate_wait)

    def close(self) -> None:
        """Cancel all attempts."""
        self._closing = True
        for job in list(self._jobs.values()):
            job.task.cancel()

    def _on_task_done(self, job, task):
        del self._jobs[job.run.attempt]
        if not self._jobs:
            self.idle.set()
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler(
                {
                    "message": "unhandled exception in an attempt",
                    "exception": task.exception(),
                }
            )

    async def _process(self, job):
        refusal = await self._admit(job)
        if refusal is not None:
            self._completions.finish_refused(job, refusal)
            return
        result = None
        try:
            result = await self._send(job)
        except asyncio.CancelledError:
            if self._closing:
                raise
            # The entry node cancelled the attempt, and still expects a reply.
            job.task.uncancel()
        finally:
            self._end_request(job, result)
        elapsed_s = self._loop.time() - job.running.started_s
        await self._update_suspicion(job, result)
        self._completions.finish_served(job, result, elapsed_s)

    async def _admit(self, job):
        """Take a slot for the attempt, or return why it is refused."""
        refusal = self._find_refusal(job)
        if refusal is not None:
            return refusal
        if self._suspects.get_permission(job.run.digest) is RunPermission.ALONE:
            return await self._admit_alone(job)
        capacity = self._registration.capacity
        if capacity.has_room() and not self._queue:
            return self._start(job, alone=False)
        waiter = self._make_waiter(job)
        wait_s = self._estimate_wait(waiter, *self._queue.sum_ahead(waiter))
        refusal = self._queue.push(waiter, job.policy.queue_limit, wait_s)
        if refusal is not None:
            return refusal
        job.waiter = waiter
        self.dispatch()
        return await self._wait(job, self._queue.refuse)

    async def _admit_alone(self, job):
        digest = job.run.digest
        if (
            self._alone_job is not None
            or not await self._suspect_exchange.request_grant(digest)
        ):
            return NotRunReason.SUSPECT
        refusal = self._find_refusal(job)
        if refusal is None and self._alone_job is not None:
            refusal = NotRunReason.SUSPECT
        if refusal is None:
            job.waiter = self._make_waiter(job)
            self._alone_job = job
            self._registration.capacity.reserved = job.run.attempt
            self.dispatch()
            refusal = await self._wait(job, lambda waiter, why: waiter.decide(why))
        if refusal is not None:
            self._suspect_exchange.return_grant(digest)
            self._release_alone(job)
        return refusal

    async def _wait(self, job, refuse):
        waiter = job.waiter
        timer = self._loop.call_at(
            waiter.start_by_s, refuse, waiter, NotRunReason.DEADLINE
        )
        try:
            return await waiter.decision
        finally:
            timer.cancel()

    def _make_waiter(self, job):
        capacity = self._registration.capacity
        return Waiter(
            job.run.attempt,
            job.run.weight,
            job.deadline_s,
            job.run.latest_start_s,
            capacity.estimate_run_s(job.run.kind),
            self._loop.create_future(),
            job.target_s,
            job.arrived_s,
        )

    def _estimate_wait(self, waiter, ahead, ahead_s):
        capacity = self._registration.capacity
        wait_s = capacity.estimate_wait_s(ahead, ahead_s)
        above = None if waiter.is_late(self._loop.time()) else waiter.weight
        return self._started_work.stretch_wait(wait_s, above, capacity.limit)

    def _find_refusal(self, job):
        run = job.run
        if job.refusal is not None:
            return job.refusal
        closed = self._get_closed_reason()
        if closed is not None:
            return closed
        if job.deadline_s > self.end_s:
            return NotRunReason.DRAINING
        if job.policy.out:
            return NotRunReason.DOMAIN_OUT
        unavailable = self._registration.find_unavailability(run.service)
        if unavailable is not None:
            return unavailable
        if self._suspects.get_permission(run.digest) is RunPermission.REFUSED:
            self._suspect_exchange.renew(run.digest)
            return NotRunReason.SUSPECT
        if self._loop.time() > min(job.deadline_s, run.latest_start_s):
            return NotRunReason.DEADLINE
        return None

    def _dispatch_alone(self, capacity):
        job = self._alone_job
        if job.waiter.decision.done() or not capacity.has_room_alone():
            return
        if self._suspects.get_permission(job.run.digest) is RunPermission.REFUSED:
            job.waiter.decide(NotRunReason.SUSPECT)
            return
        job.waiter.decide(self._start(job, alone=True))

    def _release_alone(self, job):
        if self._alone_job is job:
            self._alone_job = None
            self._registration.capacity.reserved = None
            self.dispatch()

    def _start(self, job, *, alone):
        """Take a slot for the attempt, or return why it can no longer start."""
        run, record, now_s = job.run, job.record, self._loop.time()
        check_invariant(
            record.state is AttemptState.WAITING, "an attempt was started twice"
        )
        # After a stall, the loop reads answers before it runs expired timers, and time
        # may have passed since the last check. This check enforces the latest start.
        if now_s > run.latest_start_s:
            return NotRunReason.DEADLINE
        if job.deadline_s > self.end_s:
            return NotRunReason.DRAINING
        record.state = AttemptState.RUNNING
        capacity = self._registration.capacity
        job.capacity = capacity
        job.running = RunningRequest(
            run.attempt, run.kind, run.digest, now_s, False, alone
        )
        capacity.start(job.running)
        service_s = capacity.estimate_run_s(run.kind)
        if now_s + service_s <= job.target_s:
            self._started_work.record(run.weight, service_s)
        self._observe(
            AttemptStarted(
                run.attempt,
                run.call,
                run.service,
                run.kind,
                capacity.announcement.server,
                now_s - job.arrived_s,
                capacity.in_flight,
                capacity.limit,
                alone,
            )
        )
        return None

    async def _send(self, job):
        remaining_s = max(job.deadline_s - self._loop.time(), 0.001)
        request = make_request(
            job.run,
            job.body,
            job.capacity.announcement,
            remaining_s,
            job.policy.body_max_bytes,
            self._dialect,
        )
        job.sending = True
        sent_s, announcement = self._loop.time(), job.capacity.announcement
        result = validate_result(await self._client.send(request), self._dialect)
        answered = isinstance(result, Responded)
        if answered and self._registration.is_registered(announcement):
            report = self._dialect.read_report(result)
            self._registration.apply_report(report, ReportSource.ANSWER, sent_s)
        return result

    def _end_request(self, job, result):
        job.sending = False
        if isinstance(result, Responded):
            self._registration.extend_lease()
        job.capacity.end(job.run.attempt, result)

    async def _update_suspicion(self, job, result):
        digest, ttl_s = job.run.digest, float(job.policy.suspect_ttl_s)
        disconnected = isinstance(result, Broken) and result.disconnected
        answered = isinstance(result, Responded) and not is_not_run(
            result, self._dialect
        )
        # A digest may have become suspect while it ran here with other requests.
        suspect = self._suspects.get_permission(digest) is RunPermission.ALONE
        if job is self._alone_job and disconnected:
            await self._suspect_exchange.condemn(digest, ttl_s)
        elif disconnected and digest:
            await self._suspect_exchange.report_disconnect(digest, ttl_s)
        elif answered and suspect:
            self._suspect_exchange.report_answered(digest)
        elif answered:
            self._suspects.record_answered(digest)
        elif suspect and self._count_running(digest) == 1:
            self._suspect_exchange.return_grant(digest)
        self._release_alone(job)

    def _count_running(self, digest):
        return sum(
            job.run.digest == digest and job.record.state is AttemptState.RUNNING
            for job in self._jobs.values()
        )
