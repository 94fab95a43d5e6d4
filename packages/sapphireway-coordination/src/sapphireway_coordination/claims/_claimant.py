"""Claiming an idempotency key before its call is dispatched."""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from sapphireway_coordination.claims._client import (
    ROUND_TIMEOUT_S,
    Fences,
    HolderClient,
)
from sapphireway_coordination.claims._group import name_group
from sapphireway_coordination.claims._outcomes import (
    describe_mismatch,
    digest_request,
    explain_refusal,
    load_outcome,
    store_outcome,
)
from sapphireway_coordination.claims._votes import Decision, Votes, tally_votes
from sapphireway_coordination.routing import Call
from sapphireway_protocol import (
    ClaimGroup,
    ClaimRecord,
    ClaimRelease,
    ClaimRequest,
    NotRun,
    NotRunReason,
    Outcome,
    Peers,
    Unknown,
)

KEY_MAX_BYTES = 256
RETRY_MIN_S = 0.005
RETRY_MAX_S = 0.1
RELEASE_MARGIN_S = 5.0

Dispatch = Callable[[Call], Awaitable[Outcome]]
"""Runs a call at most once and returns how it ended."""


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

    __slots__ = ("_client", "_observe", "_rng", "_shards")

    def __init__(
        self,
        peers: Peers,
        get_group: Callable[[str], ClaimGroup | None],
        rng: random.Random,
        shards: int = 1,
        observe: Callable[[Any], None] = lambda event: None,
    ):
        self._client = HolderClient(peers, get_group, rng)
        self._observe = observe
        self._rng = rng
        self._shards = shards

    def get_fences(self, service: str, key: str) -> Fences:
        """Return the fences to pass to `run_claimed` for a call that arrives now."""
        name = name_group(service, key, self._shards)
        return self._client.get_fences(name)

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
        attempt = _Attempt(call, name, digest_request(call), self._now(), seen)
        try:
            end, outcome = await self._acquire(attempt)
        except asyncio.CancelledError:
            self._client.spawn(
                self._deliver(attempt, self._build_final_release(attempt))
            )
            raise
        if end is ClaimEnd.DISPATCHED:
            self._report_end(attempt, end, "")
            running = self._client.spawn(self._dispatch(attempt, dispatch))
            return await asyncio.shield(running)
        if end is ClaimEnd.REFUSED:
            outcome = self._refuse(attempt, outcome)
        elif end is not ClaimEnd.REPEATED or attempt.votes.holds_any:
            self._client.spawn(
                self._deliver(attempt, self._build_final_release(attempt))
            )
        self._report_end(attempt, end, getattr(outcome, "detail", ""))
        return outcome

    async def drain(self, timeout_s: float) -> bool:
        """Wait for dispatched calls and deliveries; False if some are left."""
        return await self._client.drain(timeout_s)

    async def close(self) -> None:
        """Cancel whatever is under way."""
        await self._client.close()

    async def _acquire(self, attempt):
        """Ask the holders until the key is held or another outcome is certain."""
        call = attempt.call
        delay_s = RETRY_MIN_S
        detail = "no claim group is known"
        while (left_s := call.deadline_s - self._now()) > 0:
            group = self._client.find_group(attempt.group_name)
            if group is None:
                return ClaimEnd.UNKNOWN, Unknown(detail)
            attempt.round += 1
            replies = await self._client.ask(
                group,
                group.holders,
                lambda holder, group=group: self._build_claim(attempt, group, holder),
                min(ROUND_TIMEOUT_S, left_s),
                lambda replies, group=group: tally_votes(group, replies).is_settled,
            )
            attempt.votes = votes = tally_votes(group, replies)
            match votes.decision:
                case Decision.RUN:
                    return ClaimEnd.DISPATCHED, None
                case Decision.REFUSE:
                    return ClaimEnd.REFUSED, explain_refusal(votes)
                case Decision.DONE:
                    return ClaimEnd.REPEATED, load_outcome(votes.outcome)
                case Decision.MISMATCH:
                    return ClaimEnd.MISMATCH, describe_mismatch()
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
                release = self._build_release(attempt, group, holder)
                self._client.send(holder, release)

    async def _dispatch(self, attempt, dispatch):
        # This process may have been stopped since the votes came in.
        if self._now() >= attempt.call.deadline_s:
            late = NotRun(NotRunReason.DEADLINE, detail="claimed too late")
            return self._refuse(attempt, late)
        outcome = Unknown("the call was interrupted")
        try:
            outcome = await dispatch(attempt.call)
        finally:
            if not isinstance(outcome, NotRun):
                self._client.spawn(self._record(attempt, outcome))
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
        self._client.spawn(
            self._deliver(attempt, self._build_final_release(attempt, True))
        )
        return outcome

    async def _record(self, attempt, outcome):
        call = attempt.call
        policy = call.policy
        stored = store_outcome(outcome, policy.claim_answer_max_bytes)

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
        acknowledged = await self._client.deliver(attempt.group_name, build)
        call = attempt.call
        self._observe(ClaimDelivered(call.service, call.call_id, acknowledged))

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

    def _now(self):
        return asyncio.get_running_loop().time()
