"""Claiming an idempotency key before its call is dispatched."""

import asyncio
import enum
import hashlib
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from sapphireway_coordination._call import Call
from sapphireway_coordination._claim_group import name_group
from sapphireway_coordination._claim_votes import Decision, Votes, tally_votes
from sapphireway_protocol import (
    Answered,
    ClaimAck,
    ClaimGroup,
    ClaimGroupNews,
    ClaimRecord,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    Failed,
    GroupHolder,
    NotRun,
    NotRunReason,
    Outcome,
    OutcomeKind,
    Peers,
    StoredOutcome,
    Unknown,
)

KEY_MAX_BYTES = 256
ROUND_TIMEOUT_S = 0.25
RETRY_MIN_S = 0.005
RETRY_MAX_S = 0.1
RELEASE_MARGIN_S = 5.0
DELIVERY_LIMIT_S = 30.0
DELIVERY_TRIES = 3  # to holders beyond the majority
CONFLICT_RETRY_AFTER_S = 0.1
FULL_RETRY_AFTER_S = 5.0

Dispatch = Callable[[Call], Awaitable[Outcome]]
"""Runs a call at most once and returns how it ended."""

Fences = Mapping[GroupHolder, int]
"""The latest fence of each holder of a group that a claimant has heard of."""


class ClaimEnd(enum.StrEnum):
    """How the claim of a call ended."""

    DISPATCHED = "dispatched"
    REPEATED = "repeated"
    REFUSED = "refused"
    MISMATCH = "mismatch"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class ClaimEnded:
    """Event: a call got its key, or an outcome without it.

    Attributes
    ----------
    service, call_id : str
    end : ClaimEnd
    rounds : int
        Times that the holders were asked.
    elapsed_s : float
    detail : str
    """

    service: str
    call_id: str
    end: ClaimEnd
    rounds: int
    elapsed_s: float
    detail: str = ""


@dataclass(slots=True, frozen=True)
class ClaimDelivered:
    """Event: the end of a claimed call was told to its holders.

    Attributes
    ----------
    service, call_id : str
    acknowledged : int
        Holders that confirmed it.
    """

    service: str
    call_id: str
    acknowledged: int


@dataclass(slots=True)
class _Attempt:
    """A call on its way to its key."""

    call: Call
    group_name: str
    digest: str
    started_s: float
    seen: Fences
    round: int = 0
    votes: Votes = field(default_factory=Votes)


class Claimant:
    """Runs calls with idempotency keys so that each key runs at most once.

    Only a call that holds its key at a majority of the holders is dispatched, and
    only such a call is answered `NotRun`. Everyone else gets the outcome of the call
    that held the key, or `Unknown`.

    Parameters
    ----------
    peers : Peers
    get_group : callable
        Returns the claim group of a name that this node has heard of, or None.
    rng : random.Random
    shards : int
        Groups of each service, the same on all nodes; it must never change, as the
        groups of a key before and after would not know of each other.
    observe : callable
        Called with each event.
    """

    __slots__ = (
        "_fences",
        "_get_group",
        "_learned",
        "_observe",
        "_peers",
        "_rng",
        "_shards",
        "_tasks",
    )

    def __init__(
        self,
        peers: Peers,
        get_group: Callable[[str], ClaimGroup | None],
        rng: random.Random,
        shards: int = 1,
        observe: Callable[[Any], None] = lambda event: None,
    ):
        self._fences = {}
        self._get_group = get_group
        self._learned = {}
        self._observe = observe
        self._peers = peers
        self._rng = rng
        self._shards = shards
        self._tasks = set()

    def get_fences(self, service: str, key: str) -> Fences:
        """Return the fences to pass to `run_claimed` for a call that arrives now."""
        name = name_group(service, key, self._shards)
        return dict(self._fences.get(name, {}))

    async def run_claimed(
        self, call: Call, dispatch: Dispatch, seen: Fences | None = None
    ) -> Outcome:
        """Dispatch the call if its key was not used, else return what became of it.

        A dispatched call is not cancelled when its caller goes away, so that a
        resend gets its outcome.

        Parameters
        ----------
        call : Call
        dispatch : Dispatch
        seen : Fences, default=the present ones
            Result of `get_fences` when the first byte of the request arrived.
        """
        if call.key is None or call.policy.idempotent:
            return await dispatch(call)
        assert len(call.key.encode()) <= KEY_MAX_BYTES, "the entry checks keys"
        if seen is None:
            seen = self.get_fences(call.service, call.key)
        name = name_group(call.service, call.key, self._shards)
        attempt = _Attempt(call, name, _digest(call), self._now(), seen)
        try:
            end, outcome = await self._acquire(attempt)
        except asyncio.CancelledError:
            self._spawn(self._deliver(attempt, self._build_final_release(attempt)))
            raise
        if end is ClaimEnd.DISPATCHED:
            self._report_end(attempt, end, "")
            running = self._spawn(self._dispatch(attempt, dispatch))
            return await asyncio.shield(running)
        if end is ClaimEnd.REFUSED:
            outcome = self._refuse(attempt, outcome)
        elif end is not ClaimEnd.REPEATED or attempt.votes.holds_any:
            self._spawn(self._deliver(attempt, self._build_final_release(attempt)))
        self._report_end(attempt, end, getattr(outcome, "detail", ""))
        return outcome

    async def drain(self, timeout_s: float) -> bool:
        """Wait for dispatched calls and deliveries; False if some are left."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)
        return not self._tasks

    async def close(self) -> None:
        """Cancel whatever is under way."""
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _acquire(self, attempt):
        """Ask the holders until the key is held or another outcome is certain."""
        call = attempt.call
        delay_s = RETRY_MIN_S
        detail = "no claim group is known"
        while (left_s := call.deadline_s - self._now()) > 0:
            group = self._find_group(attempt.group_name)
            if group is None:
                return ClaimEnd.UNKNOWN, Unknown(detail)
            attempt.round += 1
            replies = await self._ask(
                group,
                group.holders,
                lambda holder, group=group: self._build_claim(attempt, group, holder),
                min(ROUND_TIMEOUT_S, left_s),
                lambda replies, group=group: tally_votes(group, replies).is_settled,
            )
            attempt.votes = votes = tally_votes(group, replies)
            match votes.decision:
                case Decision.RUN:
                    if self._now() < call.deadline_s:
                        return ClaimEnd.DISPATCHED, None
                    late = NotRun(NotRunReason.DEADLINE, detail="claimed too late")
                    return ClaimEnd.REFUSED, late
                case Decision.REFUSE:
                    return ClaimEnd.REFUSED, _explain_refusal(votes)
                case Decision.DONE:
                    return _repeat(votes)
                case Decision.MISMATCH:
                    return ClaimEnd.MISMATCH, _describe_mismatch()
                case Decision.UNKNOWN:
                    return ClaimEnd.UNKNOWN, Unknown(votes.detail)
            detail = votes.detail
            self._yield_votes(attempt, group)
            left_s = call.deadline_s - self._now()
            pause_s = delay_s * (1 + self._rng.random())
            await asyncio.sleep(max(0.0, min(pause_s, left_s)))
            delay_s = min(2 * delay_s, RETRY_MAX_S)
        return ClaimEnd.UNKNOWN, Unknown(f"deadline passed: {detail}")

    def _yield_votes(self, attempt, group):
        """Give votes back if another claim that seems to be under way goes first."""
        rivals = attempt.votes.rivals
        if not rivals or min(rivals) > attempt.call.call_id:
            return
        for holder in group.holders:
            if holder in attempt.votes.held_at:
                # The round is named, because the release may arrive after the next
                # round's request, and must not undo a vote that is counted there.
                self._peers.send(
                    holder.node, self._build_release(attempt, group, holder)
                )

    async def _dispatch(self, attempt, dispatch):
        outcome = Unknown("the call was interrupted")
        try:
            outcome = await dispatch(attempt.call)
        finally:
            if not isinstance(outcome, NotRun):
                self._spawn(self._record(attempt, outcome))
        if isinstance(outcome, NotRun):
            return self._refuse(attempt, outcome)
        return outcome

    def _refuse(self, attempt, outcome):
        """Release the key that is held here, and say that the call did not run.

        The caller need not wait for the release: until it arrives the holders refuse
        everyone else, and from then on they fence off every call that was open.
        """
        held_s = self._now() - attempt.started_s
        if held_s > attempt.call.policy.claim_ttl_s / 2:
            return Unknown("the claim may have expired before its release")
        self._spawn(self._deliver(attempt, self._build_final_release(attempt, True)))
        return outcome

    async def _record(self, attempt, outcome):
        call = attempt.call
        policy = call.policy
        stored = _store_outcome(outcome, policy.claim_answer_max_bytes)

        def build(group, holder):
            return ClaimRecord(
                group.name,
                group.epoch,
                holder.incarnation,
                call.key,
                attempt.digest,
                call.call_id,
                float(policy.claim_ttl_s),
                stored,
            )

        await self._deliver(attempt, build)

    async def _deliver(self, attempt, build):
        """Repeat a message until every holder of one epoch has confirmed it."""
        call = attempt.call
        end_s = self._now() + DELIVERY_LIMIT_S
        delay_s = RETRY_MIN_S
        epoch = 0
        confirmed = set()
        tries = 0
        while self._now() < end_s:
            group = self._find_group(attempt.group_name)
            if group is None:
                break
            if group.epoch != epoch:
                epoch = group.epoch
                confirmed = set()

            replies = await self._ask(
                group,
                [h for h in group.holders if h not in confirmed],
                lambda holder, group=group: build(group, holder),
                ROUND_TIMEOUT_S,
                lambda replies: False,
            )
            confirmed.update(h for h, reply in replies.items() if _is_done(reply))
            tries += 1
            is_kept = len(confirmed) >= group.majority and tries >= DELIVERY_TRIES
            if is_kept or len(confirmed) == len(group.holders):
                break
            await asyncio.sleep(delay_s * (1 + self._rng.random()))
            delay_s = min(2 * delay_s, 1.0)
        self._observe(ClaimDelivered(call.service, call.call_id, len(confirmed)))

    async def _ask(self, group, holders, build, timeout_s, is_settled):
        """Send to all holders at once; return their replies once settled."""
        replies = {}
        settled = asyncio.Event()

        async def ask_one(holder):
            request = build(holder)
            reply = await self._peers.request(holder.node, request, timeout_s)
            replies[holder] = self._check_reply(group, holder, reply)
            if is_settled(replies) or len(replies) == len(holders):
                settled.set()

        for holder in holders:
            self._spawn(ask_one(holder))
        await settled.wait()
        return dict(replies)

    def _check_reply(self, group, holder, envelope):
        """Return the message if the holder itself sent it, and learn from it."""
        if envelope is None or not isinstance(envelope.message, ClaimReply | ClaimAck):
            return None
        message = envelope.message
        if message.group is not None:
            self._learn(message.group)
        if envelope.incarnation != holder.incarnation:
            return None
        known = self._fences.setdefault(group.name, {})
        known[holder] = max(known.get(holder, 0), message.fence)
        is_behind = (
            isinstance(message, ClaimReply) and message.status is ClaimStatus.EPOCH
        )
        if is_behind and message.group is None:
            self._peers.send(holder.node, ClaimGroupNews(group))
        return message

    def _find_group(self, name):
        group = self._get_group(name)
        if group is not None:
            self._learn(group)
        return self._learned.get(name)

    def _learn(self, group):
        known = self._learned.get(group.name)
        if known is not None and known.epoch >= group.epoch:
            return
        self._learned[group.name] = group
        fences = self._fences.get(group.name, {})
        self._fences[group.name] = {
            holder: fences[holder] for holder in group.holders if holder in fences
        }

    def _build_claim(self, attempt, group, holder):
        call = attempt.call
        return ClaimRequest(
            group.name,
            group.epoch,
            holder.incarnation,
            call.key,
            attempt.digest,
            call.call_id,
            attempt.round,
            max(0.0, call.deadline_s - self._now()),
            float(call.policy.claim_ttl_s),
            attempt.seen.get(holder, 0),
        )

    def _build_release(self, attempt, group, holder, keep_s=0.0, fence=False):
        call = attempt.call
        return ClaimRelease(
            group.name,
            group.epoch,
            holder.incarnation,
            call.key,
            call.call_id,
            attempt.round,
            keep_s,
            fence,
        )

    def _build_final_release(self, attempt, fence=False):
        # No call that has arrived by now is dispatched after its own deadline.
        keep_s = attempt.call.policy.deadline_max_ms / 1000 + RELEASE_MARGIN_S

        def build_release(group, holder):
            return self._build_release(attempt, group, holder, keep_s, fence)

        return build_release

    def _report_end(self, attempt, end, detail):
        call = attempt.call
        elapsed_s = self._now() - attempt.started_s
        self._observe(
            ClaimEnded(
                call.service, call.call_id, end, attempt.round, elapsed_s, detail
            )
        )

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _now(self):
        return asyncio.get_running_loop().time()


def _digest(call):
    """Name the request, so that a key can't stand for two different ones."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (call.kind, call.method, call.target):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.body)
    return digest.hexdigest()


def _is_done(reply):
    return isinstance(reply, ClaimAck) and reply.done


def _explain_refusal(votes):
    if ClaimStatus.FULL in votes.statuses:
        return NotRun(
            NotRunReason.CLAIMS_UNAVAILABLE,
            FULL_RETRY_AFTER_S,
            "no room to keep the idempotency key",
        )
    return NotRun(
        NotRunReason.CLAIM_CONFLICT,
        CONFLICT_RETRY_AFTER_S,
        "the key was released while this request was under way",
    )


def _describe_mismatch():
    return NotRun(
        NotRunReason.CLAIM_MISMATCH, 0.0, "the key was used for another request"
    )


def _repeat(votes):
    """Return the outcome that a resend gets."""
    if not votes.same_request:
        return ClaimEnd.MISMATCH, _describe_mismatch()
    stored = votes.outcome
    match stored.kind:
        case OutcomeKind.ANSWERED:
            outcome = Answered(stored.status, stored.headers, stored.body)
        case OutcomeKind.FAILED:
            outcome = Failed(stored.detail)
        case OutcomeKind.ANSWER_DROPPED:
            outcome = Unknown("the request ran; its answer was too large to keep")
        case OutcomeKind.UNKNOWN:
            outcome = Unknown(stored.detail)
    return ClaimEnd.REPEATED, outcome


def _store_outcome(outcome, answer_max_bytes):
    """Return what holders keep; an answer that is too large is only noted."""
    match outcome:
        case Answered(status, headers, body):
            if len(body) > answer_max_bytes:
                return StoredOutcome(OutcomeKind.ANSWER_DROPPED, status)
            return StoredOutcome(OutcomeKind.ANSWERED, status, tuple(headers), body)
        case Failed(detail):
            return StoredOutcome(OutcomeKind.FAILED, detail=detail)
        case Unknown(detail):
            return StoredOutcome(OutcomeKind.UNKNOWN, detail=detail)
    raise AssertionError(f"{outcome} is not an outcome to keep")
