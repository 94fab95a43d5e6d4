"""Completion of attempts: the reply, its retry-after and the event."""

import random
from collections.abc import Callable

from sapphireway_coordination.gate._admission import (
    RETRY_AFTER_MAX_S,
    RETRY_AFTER_MIN_S,
)
from sapphireway_coordination.gate._attempt_job import AttemptJob, FinishJob
from sapphireway_coordination.gate._events import (
    AttemptRefused,
    AttemptServed,
    ObserveGate,
)
from sapphireway_coordination.gate._exchange import make_refusal, make_reply
from sapphireway_coordination.gate._registration import Registration
from sapphireway_coordination.gate._server_dialect import ServerDialect
from sapphireway_protocol import NotRunReason, Run
from sapphireway_transport import ServerResult


class CompletionHandler:
    """Replies to finished or refused attempts and reports their outcome.

    Parameters
    ----------
    rng : random.Random
        Adds jitter to the retry-after of refused callers.
    registration : Registration
    get_queued : callable
        Returns how many attempts wait for a slot.
    finish : callable
        Receives the reply of each attempt.
    observe : callable
    dialect : ServerDialect
    """

    __slots__ = (
        "_dialect",
        "_finish",
        "_get_queued",
        "_observe",
        "_registration",
        "_rng",
    )

    def __init__(
        self,
        rng: random.Random,
        registration: Registration,
        get_queued: Callable[[], int],
        finish: FinishJob,
        observe: ObserveGate,
        dialect: ServerDialect,
    ):
        self._finish = finish
        self._dialect = dialect
        self._get_queued = get_queued
        self._observe = observe
        self._registration = registration
        self._rng = rng

    def finish_served(
        self, job: AttemptJob, result: ServerResult | None, elapsed_s: float
    ) -> None:
        """Reply to a started attempt; no result means that it was cancelled."""
        run = job.run
        reply, body = make_reply(run, result, self.draw_retry_after(), self._dialect)
        self._finish(job, reply, body)
        self._observe(
            AttemptServed(
                run.attempt,
                run.call,
                run.service,
                run.kind,
                job.capacity.announcement.server,
                reply.outcome,
                reply.status,
                elapsed_s,
                reply.detail,
            )
        )

    def finish_refused(self, job: AttemptJob, reason: NotRunReason) -> None:
        """Reply to an attempt that will never start."""
        run, retry_after_s = job.run, self.draw_retry_after()
        reply = make_refusal(run.attempt, reason, retry_after_s)
        self._finish(job, reply, b"")
        self.report_refusal(run, reason, retry_after_s, "")

    def report_refusal(
        self, run: Run, reason: NotRunReason, retry_after_s: float, detail: str
    ) -> None:
        """Emit the event of a refusal."""
        capacity = self._registration.capacity
        self._observe(
            AttemptRefused(
                run.attempt,
                run.call,
                run.service,
                run.kind,
                reason,
                retry_after_s,
                detail,
                0 if capacity is None else capacity.in_flight,
                self._get_queued(),
                0 if capacity is None else capacity.limit,
                0.0 if capacity is None else capacity.starts_per_s,
                run.weight,
                run.digest,
            )
        )

    def draw_retry_after(self) -> float:
        """Return the retry-after of a refused caller, in seconds.

        Its jitter keeps refused callers from retrying at the same time.
        """
        capacity = self._registration.capacity
        backlog_s = RETRY_AFTER_MIN_S
        if capacity is not None:
            queued = self._get_queued()
            ahead = capacity.in_flight + queued
            busy_s = capacity.baseline.mean_s * ahead / max(1, capacity.limit)
            backlog_s += max(busy_s, capacity.estimate_rate_wait_s(queued))
        base_s = min(backlog_s, RETRY_AFTER_MAX_S)
        return round(base_s * (1.0 + self._rng.random()), 3)
