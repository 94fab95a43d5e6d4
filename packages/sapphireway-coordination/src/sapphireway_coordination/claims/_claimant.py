"""Claims of idempotency keys by the node that a call enters at."""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from sapphireway_coordination.claims._client import (
    ROUND_TIMEOUT_S,
    Fences,
    HolderClient,
)
from sapphireway_coordination.claims._group import name_group
from sapphireway_coordination.claims._outcomes import (
    digest_request,
    load_outcome,
    make_mismatch_refusal,
    make_refusal,
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
"""Runs a call at most once and returns its outcome."""


class ClaimEnd(enum.StrEnum):
    """How the claim of a call ended."""

    DISPATCHED = "dispatched"
    REPEATED = "repeated"
    REFUSED = "refused"
    MISMATCH = "mismatch"
    UNKNOWN = "unknown"


class ClaimEnded(msgspec.Struct, frozen=True):
    """Event: a call acquired its key, or got an outcome without it.

    Attributes
    ----------
    service, call_id : str
    end : ClaimEnd
    rounds : int
        Rounds of requests to the holders.
    elapsed_s : float
    detail : str
    """

    service: str
    call_id: str
    end: ClaimEnd
    rounds: int
    elapsed_s: float
    detail: str = ""


class ClaimDelivered(msgspec.Struct, frozen=True):
    """Event: the outcome or release of a claimed call was sent to its holders.

    Attributes
    ----------
    service, call_id : str
    acknowledged : int
        Holders that confirmed it.
    """

    service: str
    call_id: str
    acknowledged: int


class _PendingClaim(msgspec.Struct):
    """A call whose key is being claimed, or is held."""

    call: Call
    group_name: str
    digest: str
    started_s: float
    seen_fences: Fences
    round: int = 0
    votes: Votes = msgspec.field(default_factory=Votes)


class Claimant:
    """Runs calls with idempotency keys, each key at most once.

    Only a call that holds its key at a majority of the holders is dispatched, and
    only such a call is answered `NotRun`. Any other call with the key gets the outcome
    of the call that held it, or `Unknown`.

    Parameters
    ----------
    peers : Peers
    get_group : callable
        Returns the claim group of a name as this node knows it, or None.
    rng : random.Random
    shards : int
        Groups of each service, the same on all nodes. It must never change: a key would
        map to another group, which does not know the claims of the one before.
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
        self, call: Call, dispatch: Dispatch, seen_fences: Fences | None = None
    ) -> Outcome:
        """Dispatch the call if its key is unused, else return the key's outcome.

        A dispatched call is not cancelled when its caller disconnects, so that a resend
        gets its outcome.

        Parameters
        ----------
        call : Call
        dispatch : Dispatch
        seen_fences : Fences, default=the current ones
            Result of `get_fences` when the first byte of the request arrived.
        """
        if call.key is None or call.policy.idempotent:
            return await dispatch(call)
        assert len(call.key.encode()) <= KEY_MAX_BYTES, (
            f"key longer than {KEY_MAX_BYTES} bytes; the entry node must refuse it"
        )
        if seen_fences is None:
            seen_fences = self.get_fences(call.service, call.key)
        name = name_group(call.service, call.key, self._shards)
        claim = _PendingClaim(
            call, name, digest_request(call), self._now(), seen_fences
        )
        try:
            end, outcome = await self._acquire(claim)
        except asyncio.CancelledError:
            self._client.spawn(self._deliver(claim, self._build_final_release(claim)))
            raise
        if end is ClaimEnd.DISPATCHED:
            self._report_end(claim, end, "")
            dispatching = self._client.spawn(self._dispatch(claim, dispatch))
            return await asyncio.shield(dispatching)
        if end is ClaimEnd.REFUSED:
            outcome = self._refuse(claim, outcome)
        elif end is not ClaimEnd.REPEATED or claim.votes.holds_any:
            self._client.spawn(self._deliver(claim, self._build_final_release(claim)))
        self._report_end(claim, end, getattr(outcome, "detail", ""))
        return outcome

    async def drain(self, timeout_s: float) -> bool:
        """Wait for dispatched calls and deliveries; False if some are left."""
        return await self._client.drain(timeout_s)

    async def close(self) -> None:
        """Cancel all background tasks."""
        await self._client.close()

    async def _acquire(self, claim):
        """Run rounds until the claim holds the key or another outcome is certain."""
        call = claim.call
        delay_s = RETRY_MIN_S
        detail = "no claim group is known"
        while (left_s := call.deadline_s - self._now()) > 0:
            group = self._client.find_group(claim.group_name)
            if group is None:
                return ClaimEnd.UNKNOWN, Unknown(detail)
            claim.round += 1
            replies = await self._client.ask(
                group,
                group.holders,
                lambda holder, group=group: self._build_claim(claim, group, holder),
                min(ROUND_TIMEOUT_S, left_s),
                lambda replies, group=group: tally_votes(group, replies).is_settled,
            )
            claim.votes = votes = tally_votes(group, replies)
            match votes.decision:
                case Decision.RUN:
                    return ClaimEnd.DISPATCHED, None
                case Decision.REFUSE:
                    return ClaimEnd.REFUSED, make_refusal(votes)
                case Decision.DONE:
                    return ClaimEnd.REPEATED, load_outcome(votes.outcome)
                case Decision.MISMATCH:
                    return ClaimEnd.MISMATCH, make_mismatch_refusal()
                case Decision.UNKNOWN:
                    return ClaimEnd.UNKNOWN, Unknown(votes.detail)
            detail = votes.detail
            self._yield_to_rival(claim, group)
            left_s = call.deadline_s - self._now()
            backoff_s = delay_s * (1 + self._rng.random())
            await asyncio.sleep(max(0.0, min(backoff_s, left_s)))
            delay_s = min(2 * delay_s, RETRY_MAX_S)
        return ClaimEnd.UNKNOWN, Unknown(f"deadline passed: {detail}")

    def _yield_to_rival(self, claim, group):
        """Release the votes if a rival that seems in progress has a smaller call id."""
        rivals = claim.votes.rivals
        if not rivals or min(rivals) > claim.call.call_id:
            return
        for holder in group.holders:
            if holder in claim.votes.held_at:
                # The release carries its round: it may arrive after the next round's
                # request, and must not undo a vote that is counted in that round.
                release = self._build_release(claim, group, holder)
                self._client.send(holder, release)

    async def _dispatch(self, claim, dispatch):
        # The process may have been suspended since the votes arrived.
        if self._now() >= claim.call.deadline_s:
            refusal = NotRun(
                NotRunReason.DEADLINE, detail="the deadline passed before the dispatch"
            )
            return self._refuse(claim, refusal)
        outcome = Unknown("the call was cancelled or raised an error")
        try:
            outcome = await dispatch(claim.call)
        finally:
            if not isinstance(outcome, NotRun):
                self._client.spawn(self._record(claim, outcome))
        if isinstance(outcome, NotRun):
            return self._refuse(claim, outcome)
        return outcome

    def _refuse(self, claim, outcome):
        """Release the key that the claim holds, and return the refusal.

        Returns `Unknown` instead if the claim may have expired.
        The caller need not wait for the release: until it arrives, the holders refuse
        all other claims, and from then on they fence off every call that was open.
        """
        held_s = self._now() - claim.started_s
        if held_s > claim.call.policy.claim_ttl_s / 2:
            return Unknown("the claim may have expired before its release")
        self._client.spawn(self._deliver(claim, self._build_final_release(claim, True)))
        return outcome

    async def _record(self, claim, outcome):
        call = claim.call
        policy = call.policy
        stored = store_outcome(outcome, policy.claim_answer_max_bytes)

        def build(group, holder):
            return ClaimRecord(
                group.name,
                group.epoch,
                holder.incarnation,
                call.key,
                claim.digest,
                call.call_id,
                float(policy.claim_ttl_s),
                stored,
            )

        await self._deliver(claim, build)

    async def _deliver(self, claim, build):
        acknowledged = await self._client.deliver(claim.group_name, build)
        call = claim.call
        self._observe(ClaimDelivered(call.service, call.call_id, acknowledged))

    def _build_claim(self, claim, group, holder):
        call = claim.call
        return ClaimRequest(
            group.name,
            group.epoch,
            holder.incarnation,
            call.key,
            claim.digest,
            call.call_id,
            claim.round,
            max(0.0, call.deadline_s - self._now()),
            float(call.policy.claim_ttl_s),
            claim.seen_fences.get(holder, 0),
        )

    def _build_release(self, claim, group, holder, keep_s=0.0, fence=False):
        call = claim.call
        return ClaimRelease(
            group.name,
            group.epoch,
            holder.incarnation,
            call.key,
            call.call_id,
            claim.round,
            keep_s,
            fence,
        )

    def _build_final_release(self, claim, fence=False):
        # A call that has arrived by now is not dispatched after its own deadline.
        keep_s = claim.call.policy.deadline_max_ms / 1000 + RELEASE_MARGIN_S

        def build_release(group, holder):
            return self._build_release(claim, group, holder, keep_s, fence)

        return build_release

    def _report_end(self, claim, end, detail):
        call = claim.call
        elapsed_s = self._now() - claim.started_s
        self._observe(
            ClaimEnded(call.service, call.call_id, end, claim.round, elapsed_s, detail)
        )

    def _now(self):
        return asyncio.get_running_loop().time()
