"""Execution of one call: attempts, retries, hedges and the deadline."""

import asyncio
import math

import msgspec

from sapphireway_coordination.routing._attempts import Attempt, Mailbox
from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._candidates import (
    list_candidates,
    record_attempt_end,
)
from sapphireway_coordination.routing._choice_probing import compute_probe_wait
from sapphireway_coordination.routing._events import (
    AttemptCause,
    AttemptEnded,
    AttemptSent,
    DenyReason,
    RetryDenied,
    RevokeSent,
)
from sapphireway_coordination.routing._outcomes import (
    combine_outcomes,
    is_failure,
    is_stale,
    reached_server,
    refuse,
)
from sapphireway_coordination.routing._placement import has_free_slot, reports_slowness
from sapphireway_coordination.routing._revocation import (
    get_final_revoke_time,
    get_first_revoke_time,
    get_next_revoke_time,
)
from sapphireway_coordination.routing._run_message import compute_digest, create_run
from sapphireway_protocol import (
    Answered,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)
from sapphireway_state import check_invariant

REVOKE_PERCENTILE = 95.0  # of latencies, for policies without a hedge percentile
HEDGE_PROBE_AGE_SHARE = 0.5  # of load_stale_ms; a hedge probes after older reports
SUSPECT_FAILURES_MAX = 2
HEDGE_SPEEDUP_MIN = 2.5  # times faster that another host must be to hedge at once
HEDGE_DEFAULT_SHARE = 0.25  # of the time to the deadline, if latencies are unknown
REFUSALS_MAX = 6  # per call; each costs a round trip between nodes
# A node that refuses a version has newer settings, which take a few round trips.
ROLLOUT_WAIT_S = 0.1
OVERLOAD_REASONS = (
    NotRunReason.OVERLOADED,
    NotRunReason.SHED,
    NotRunReason.DEADLINE,
)


class CallRun:
    """State of one call while its task executes it.

    Parameters
    ----------
    dispatcher : Dispatcher
    call : Call

    Attributes
    ----------
    attempts_sent : int
        Attempts sent, without resends.
    """

    __slots__ = (
        "_budget",
        "_call",
        "_digest",
        "_dispatcher",
        "_hedged",
        "_latencies",
        "_loop",
        "_mailbox",
        "_open",
        "_outcomes",
        "_resendable",
        "_resent",
        "_rollouts_version",
        "_service",
        "_tried",
        "attempts_sent",
    )

    def __init__(self, dispatcher, call: Call):
        self._service = dispatcher.services.get(call.service)
        self._budget = self._service.budget
        self._call = call
        self._dispatcher = dispatcher
        self._digest = compute_digest(call)
        self._outcomes = []
        self._hedged = False
        self._latencies = self._service.get_latencies(call.kind)
        self._loop = asyncio.get_running_loop()
        self._mailbox = Mailbox()
        self._open = []
        self._resent = []
        self._resendable = []
        self._rollouts_version = 0
        self._tried = []
        self.attempts_sent = 0

    async def execute(self) -> Outcome:
        """Execute the call and return its outcome."""
        self._budget.deposit(
            self._call.policy.retry_budget_percent, self._dispatcher.get_retry_reserve()
        )
        if self._loop.time() >= self._get_deadline():
            return self._refuse(NotRunReason.DEADLINE, "no time left on arrival")
        if not self._admit():
            return self._refuse(NotRunReason.OVERLOADED, "the service is overloaded")
        if not await self._send_attempt(AttemptCause.FIRST):
            return self._conclude_unsent()
        while True:
            attempt = await self._mailbox.take(self._get_next_timer())
            if attempt is None:
                outcome = await self._handle_timer()
            else:
                outcome = await self._handle_change(attempt)
            if outcome is not None:
                return outcome

    def _admit(self):
        weight = self._call.policy.weight
        rng = self._dispatcher.rng
        return self._service.shedder.admit(weight, rng, self._loop.time())

    def _get_deadline(self):
        """Return the loop time at which the call ends, answered or not."""
        return min(self._call.deadline_s, self._dispatcher.end_s)

    def close(self) -> None:
        """Cancel the attempts that are still in progress."""
        now_s = self._loop.time()
        for attempt in self._open:
            attempt.load.record_abandoned(attempt.sent_s, now_s)
            self._dispatcher.attempts.drop(attempt, cancel=True)
        self._open.clear()

    async def _handle_change(self, attempt):
        # An attempt can be queued twice before its end is handled here.
        if attempt.result is None or attempt not in self._open:
            return None
        self._open.remove(attempt)
        self._record_end(attempt)
        result = attempt.result
        if isinstance(result, Answered) and not is_failure(result):
            return result
        if isinstance(result, Answered) and not self._call.policy.idempotent:
            return result
        self._outcomes.append(result)
        if isinstance(result, NotRun) and result.reason is NotRunReason.VERSION:
            await self._wait_for_rollouts()
        if is_stale(result) and self._try_resend(attempt.load):
            return None
        if self._may_repeat(result) and await self._try_retry():
            return None
        if self._open:
            return None
        return self._conclude()

    async def _wait_for_rollouts(self):
        """Wait for the settings without which the call would be refused again."""
        remaining_s = self._get_deadline() - self._loop.time()
        await self._dispatcher.versions.wait_for_change(
            self._rollouts_version, min(ROLLOUT_WAIT_S, max(0.0, remaining_s))
        )

    def _may_repeat(self, result):
        return self._call.policy.idempotent or isinstance(result, NotRun)

    def _try_resend(self, load):
        """Send the call again, as the refusal carried a reading of the node's clock.

        If the refusal also reported the slowness of the host, the call may go to a
        faster server instead.
        """
        now_s = self._loop.time()
        if load in self._resent or not load.is_serving(now_s):
            return False
        self._resendable.append(load)
        candidates = list(
            self._dispatcher.versions.select(
                self._call, list(self._resendable), self._observe
            )
        )
        if not candidates:
            return False
        if (
            reports_slowness(load)
            and self._get_deny_reason(AttemptCause.REDIRECT) is None
        ):
            candidates += list_candidates(
                self._dispatcher, self._call, self._tried, now_s
            )
        chosen = self._choose(candidates, now_s)
        if chosen in self._resendable:
            self._resendable.remove(chosen)
            self._resent.append(chosen)
            return self._send_to(chosen, AttemptCause.RESEND, len(candidates))
        self._tried.append(chosen)
        return self._send_to(chosen, AttemptCause.REDIRECT, len(candidates))

    def _choose(self, candidates, now_s):
        rng = self._dispatcher.rng
        return self._dispatcher.choose(candidates, self._call, rng, now_s)

    async def _try_retry(self):
        cause = (
            AttemptCause.RETRY
            if self._count_servers_reached()
            else AttemptCause.REDIRECT
        )
        return self._check_allowed(cause) and await self._send_attempt(cause)

    def _count_servers_reached(self):
        """Return how many servers the call reached or may have reached."""
        return len(self._open) + sum(map(reached_server, self._outcomes))

    def _check_allowed(self, cause):
        reason = self._get_deny_reason(cause)
        if reason is not None:
            self._deny(cause, reason)
        return reason is None

    def _deny(self, cause, reason):
        self._observe(
            RetryDenied(self._call.call_id, self._call.service, cause, reason)
        )

    def _get_deny_reason(self, cause):
        if self._count_servers_reached() >= self._call.policy.attempts_max:
            return DenyReason.ATTEMPTS
        if (
            len(self._outcomes) - sum(map(reached_server, self._outcomes))
            >= REFUSALS_MAX
        ):
            return DenyReason.ATTEMPTS
        if self._may_crash_servers():
            return DenyReason.SUSPECT
        expected_s = self._latencies.get_percentile(50) or 0.0
        if self._loop.time() + expected_s >= self._get_deadline():
            return DenyReason.DEADLINE
        if cause is not AttemptCause.REDIRECT and not self._budget.can_withdraw():
            return DenyReason.BUDGET
        return None

    def _may_crash_servers(self):
        """Return whether the request may have crashed too many servers to repeat it."""
        failures = sum(isinstance(x, Failed | Unknown) for x in self._outcomes)
        return failures > 0 and failures + len(self._open) >= SUSPECT_FAILURES_MAX

    async def _send_attempt(self, cause):
        """Send an attempt to the best reachable server; False if there is none."""
        while True:
            now_s = self._loop.time()
            candidates = list_candidates(
                self._dispatcher, self._call, self._tried, now_s
            )
            if not candidates:
                return False
            fresh = await self._probe(candidates)
            if cause is not AttemptCause.FIRST and not self._is_still_due(cause):
                return False
            load = self._choose(fresh, self._loop.time())
            self._tried.append(load)
            if not await self._reserve_body(load):
                continue
            if cause is not AttemptCause.FIRST and not self._is_still_due(cause):
                return False
            if self._send_to(load, cause, len(candidates)):
                return True

    async def _reserve_body(self, load):
        """Return whether the node beside a server takes the call's body."""
        granted = await self._dispatcher.reserve_body(
            load.member.node, self._call, self._get_deadline()
        )
        if not granted:
            detail = "no memory for the body"
            self._outcomes.append(NotRun(NotRunReason.OVERLOADED, 0.0, detail))
        return granted

    def _is_still_due(self, cause):
        """Return whether another attempt is still allowed and needed after a wait."""
        answered = cause is AttemptCause.HEDGE and self._mailbox.has_changes
        return not answered and self._get_deny_reason(cause) is None

    async def _probe(self, candidates):
        """Return the candidates to choose from, after probes of some of them."""
        if not self._call.policy.choice_probes or len(candidates) < 2:
            return candidates
        wait_s = compute_probe_wait(self._latencies.get_percentile(50))
        if not wait_s:
            return candidates
        dispatcher = self._dispatcher
        return await dispatcher.choice_prober.probe(
            candidates, self._call, dispatcher.rng, wait_s
        )

    def _send_to(self, load, cause, candidate_count):
        """Send an attempt; return False if it did not leave this process."""
        self._check_repeat()
        now_s = self._loop.time()
        attempt, run = self._create_attempt(load, cause, now_s)
        # The same link keeps the order, so the mark arrives before the request.
        self._dispatcher.inform_of_suspect(attempt.node, run.service, run.digest)
        if self._dispatcher.attempts.send(attempt, run, self._call.body):
            self._rollouts_version = self._dispatcher.versions.rollouts_version
            self._dispatcher.versions.record_sent(self._call.service)
            self._record_sent(attempt, candidate_count)
            return True
        self._dispatcher.ejector.record_failure(load, now_s, "not connected")
        self._outcomes.append(NotRun(NotRunReason.UNREACHABLE, 0.0, "not connected"))
        return False

    def _create_attempt(self, load, cause, now_s):
        dispatcher = self._dispatcher
        incarnation, clock_s = dispatcher.choose_incarnation(load.member, now_s)
        attempt_id = dispatcher.create_attempt_id()
        attempt = Attempt(
            attempt_id, load, cause, incarnation, now_s, self._mailbox.post
        )
        deadline_s = self._get_deadline()
        run = create_run(
            msgspec.structs.replace(self._call, deadline_s=deadline_s)
            if deadline_s < self._call.deadline_s
            else self._call,
            attempt_id,
            self._digest,
            incarnation,
            clock_s,
            now_s,
            load.server_limit_per_s,
        )
        return attempt, run

    def _check_repeat(self):
        if self._call.policy.idempotent:
            return
        check_invariant(not self._open, "a non-idempotent call has two attempts open")
        check_invariant(
            all(isinstance(x, NotRun) for x in self._outcomes),
            "a non-idempotent call is repeated after it may have run",
        )

    def _record_sent(self, attempt, candidate_count):
        if attempt.cause in (AttemptCause.RETRY, AttemptCause.HEDGE):
            withdrawn = self._budget.withdraw()
            check_invariant(
                withdrawn, "a retry or hedge was sent without a budget token"
            )
        if attempt.cause is not AttemptCause.RESEND:
            self.attempts_sent += 1
        self._open.append(attempt)
        load, member = attempt.load, attempt.load.member
        self._observe(
            AttemptSent(
                self._call.call_id,
                attempt.attempt_id,
                self._call.service,
                member.server,
                member.domain,
                attempt.cause,
                load.latency_s,
                candidate_count,
                load.report.slowness if load.report is not None else 0.0,
                attempt.sent_s - load.report_received_s,
            )
        )

    def _record_end(self, attempt):
        now_s = self._loop.time()
        result = attempt.result
        record_attempt_end(attempt, self._dispatcher.ejector, now_s)
        if isinstance(result, Answered) and not is_failure(result):
            self._latencies.add(now_s - attempt.sent_s)
            self._service.record_answer_size(self._call.kind, len(result.body))
        if isinstance(result, NotRun) and result.reason in OVERLOAD_REASONS:
            self._service.shedder.record_overload(now_s)
        self._observe(
            AttemptEnded(
                self._call.call_id,
                attempt.attempt_id,
                self._call.service,
                attempt.load.member.server,
                type(result).__name__,
                now_s - attempt.sent_s,
                _describe_end(result),
            )
        )

    def _get_next_timer(self):
        timer_s = self._get_deadline()
        for attempt in self._open:
            timer_s = min(timer_s, self._get_revoke_time(attempt))
        return min(timer_s, self._get_hedge_time())

    def _get_hedge_time(self):
        """Return when to send a second attempt of an idempotent call."""
        policy = self._call.policy
        if not policy.idempotent or not policy.hedge_percentile or self._hedged:
            return math.inf
        if len(self._open) != 1:
            return math.inf
        if self._has_faster_server():
            return self._open[0].sent_s
        wait_s = self._latencies.get_percentile(policy.hedge_percentile)
        sent_s = self._open[0].sent_s
        if wait_s is None:
            wait_s = HEDGE_DEFAULT_SHARE * (self._get_deadline() - sent_s)
        return sent_s + wait_s

    def _has_faster_server(self):
        """Return whether another free server is much faster than the one in use."""
        load = self._open[0].load
        if not reports_slowness(load):
            return False
        slowness_max = load.report.slowness / HEDGE_SPEEDUP_MIN
        if slowness_max < 1.0:
            return False
        return any(
            reports_slowness(other) and other.report.slowness <= slowness_max
            for other in self._list_hedge_servers()
        )

    def _list_hedge_servers(self):
        """Return the untried servers that would run another request at once.

        A hedge that has to queue takes the place of calls that run nowhere yet.
        """
        loads = self._dispatcher.loads.list_loads(
            self._call.service, self._dispatcher.get_members(self._call.service)
        )
        now_s = self._loop.time()
        loads = self._dispatcher.versions.list_serving(self._call.service, loads)
        return [
            load
            for load in loads
            if (load.report is None or has_free_slot(load))
            and load not in self._tried
            and load.is_serving(now_s)
            and not load.is_ejected(now_s)
        ]

    async def _send_hedge(self, now_s):
        self._hedged = True
        load = self._open[0].load
        report_age_max_s = (
            self._call.policy.load_stale_ms / 1000.0 * HEDGE_PROBE_AGE_SHARE
        )
        if now_s - load.report_received_s > report_age_max_s:
            self._dispatcher.check_liveness(load, self._call.policy)
        if not self._list_hedge_servers():
            self._deny(AttemptCause.HEDGE, DenyReason.LOAD)
        elif self._check_allowed(AttemptCause.HEDGE):
            await self._send_attempt(AttemptCause.HEDGE)

    async def _handle_timer(self):
        now_s = self._loop.time()
        if now_s >= self._get_deadline():
            return self._conclude()
        for attempt in self._open:
            if now_s >= self._get_revoke_time(attempt):
                self._revoke(attempt, now_s)
        if now_s >= self._get_hedge_time():
            await self._send_hedge(now_s)
        return None

    def _get_revoke_time(self, attempt):
        if attempt.revokes:
            return get_next_revoke_time(attempt)
        final_s = get_final_revoke_time(attempt, self._get_deadline())
        if self._get_deny_reason(AttemptCause.RETRY) is not None:
            return final_s
        policy = self._call.policy
        silence_s = self._latencies.get_percentile(
            policy.hedge_percentile or REVOKE_PERCENTILE
        )
        return min(
            get_first_revoke_time(attempt, policy.idempotent, silence_s), final_s
        )

    def _revoke(self, attempt, now_s):
        if attempt.revokes and attempt.load.report_received_s < attempt.revoked_s:
            self._dispatcher.ejector.eject_unresponsive(attempt.load, now_s)
        # A queued attempt keeps its place until the final revoke: one that lost it
        # would start at the end of another queue, and every server might refuse it.
        final_s = get_final_revoke_time(attempt, self._get_deadline())
        self._dispatcher.attempts.send_revoke(attempt, now_s, now_s < final_s)
        self._observe(
            RevokeSent(
                self._call.call_id,
                attempt.attempt_id,
                attempt.load.member.server,
                now_s - attempt.sent_s,
            )
        )

    def _conclude(self):
        if self._open:
            stops = self._dispatcher.end_s <= self._call.deadline_s
            return Unknown(f"no answer by the {'stop' if stops else 'deadline'}")
        return combine_outcomes(self._outcomes, self._call, self._dispatcher.rng)

    def _conclude_unsent(self):
        members = self._dispatcher.get_members(self._call.service)
        if members and all(member.out for member in members):
            return self._refuse(NotRunReason.DOMAIN_OUT, "all servers are out")
        return self._conclude()

    def _refuse(self, reason, detail):
        return refuse(reason, detail, 0.0, self._dispatcher.rng)

    def _observe(self, event):
        self._dispatcher.observe(event)


def _describe_end(result):
    detail = getattr(result, "detail", "")
    if isinstance(result, NotRun):
        return f"{result.reason} {detail}".rstrip()
    return detail
