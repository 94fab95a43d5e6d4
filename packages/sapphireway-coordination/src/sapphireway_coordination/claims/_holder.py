"""Holding idempotency claims for the groups that name this node."""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sapphireway_coordination.claims._group import get_service
from sapphireway_coordination.claims._takeover import pull_claims
from sapphireway_protocol import (
    ClaimAck,
    ClaimGroup,
    ClaimGroupNews,
    ClaimPage,
    ClaimPull,
    ClaimRecord,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    ClaimStatusReply,
    ClaimStatusRequest,
    OutcomeKind,
    Peers,
)
from sapphireway_state import ClaimMemory, ClaimTable

PAGE_BYTES = 128 * 1024
RENEWALS_PER_LEASE = 6
RENEW_RETRY_S = 1.0
RETAIN_S = 600.0  # for holders of the next epoch that are late to take over

ReadGroup = Callable[[str], Awaitable[ClaimGroup | None]]
"""Reads the group in force through the control quorum; None if it can't be read."""


class HolderState(enum.StrEnum):
    """Whether a node votes on a group's claims."""

    SYNCING = "syncing"
    ACTIVE = "active"
    RETIRED = "retired"


@dataclass(slots=True, frozen=True)
class HolderChanged:
    """Event: the node's part in a claim group has changed."""

    group_name: str
    epoch: int
    state: HolderState
    keys: int


@dataclass(slots=True, frozen=True)
class HolderSettings:
    """Settings of a holder.

    Attributes
    ----------
    limit_bytes : int
        Memory above which no new key may run.
    reserve_bytes : int
        Memory beyond the limit for refusals.
    lease_s : float
        How long the holder votes without having read its group from the control
        quorum; a loss is followed by at least as long an unsure time.
    """

    limit_bytes: int = 8 * 1024 * 1024
    reserve_bytes: int = 1024 * 1024
    lease_s: float = 3_600.0


@dataclass(slots=True)
class _Holding:
    """What this node holds for one group."""

    group: ClaimGroup
    table: ClaimTable
    state: HolderState = HolderState.SYNCING
    active_epoch: int = 0  # the newest epoch whose claims are complete here
    sealed: bool = False  # a later epoch has begun to take them over
    lease_until_s: float = 0.0
    tasks: set[asyncio.Task] = field(default_factory=set)


class ClaimHolder:
    """Votes on claims for all groups that this node belongs to.

    Parameters
    ----------
    peers : Peers
    read_group : ReadGroup
    rng : random.Random
    settings : HolderSettings
    observe : callable
        Called with each event.
    may_run_unsure : callable
        Whether keys of a service may run after a loss although they may have run
        before it.
    """

    __slots__ = (
        "_holdings",
        "_may_run_unsure",
        "_observe",
        "_peers",
        "_read_group",
        "_rng",
        "_settings",
        "_space",
    )

    def __init__(
        self,
        peers: Peers,
        read_group: ReadGroup,
        rng: random.Random,
        settings: HolderSettings,
        observe: Callable[[Any], None] = lambda event: None,
        may_run_unsure: Callable[[str], bool] = lambda service: False,
    ):
        self._holdings = {}
        self._may_run_unsure = may_run_unsure
        self._observe = observe
        self._peers = peers
        self._read_group = read_group
        self._rng = rng
        self._settings = settings
        self._space = ClaimMemory(settings.limit_bytes, settings.reserve_bytes)
        peers.handle(ClaimRequest, self._answer_claim)
        peers.handle(ClaimRelease, self._answer_release)
        peers.handle(ClaimRecord, self._answer_record)
        peers.handle(ClaimPull, self._answer_pull)
        peers.handle(ClaimStatusRequest, self._answer_status)
        peers.handle(
            ClaimGroupNews, lambda sender, envelope: self.follow(envelope.message.group)
        )

    @property
    def used_bytes(self) -> int:
        """Memory that the claims take."""
        return self._space.used_bytes

    @property
    def active_groups(self) -> int:
        """Groups that still need this node; it stops at no cost once there are none."""
        return sum(
            holding.state is HolderState.ACTIVE for holding in self._holdings.values()
        )

    def get_state(self, group_name: str) -> HolderState | None:
        """Return the node's part in a group; None if it has none."""
        holding = self._holdings.get(group_name)
        return None if holding is None else holding.state

    def follow(self, group: ClaimGroup) -> None:
        """Take part in `group` as it says; an older epoch changes nothing."""
        holding = self._holdings.get(group.name)
        if holding is None:
            if not self._is_member(group.holders):
                return
            holding = _Holding(group, self._make_table(group.name))
            self._holdings[group.name] = holding
        elif group.epoch <= holding.group.epoch:
            return
        self._stop_tasks(holding)
        holding.group = group
        holding.sealed = True
        if self._is_member(group.holders):
            self._change_state(holding, HolderState.SYNCING)
            self._start_task(holding, self._take_over(holding, group))
            self._start_task(holding, self._renew_lease(holding, group))
        else:
            self._change_state(holding, HolderState.RETIRED)
            self._start_task(holding, self._forget_later(holding))

    async def close(self) -> None:
        """Stop taking over claims and renewing leases."""
        tasks = [task for h in self._holdings.values() for task in h.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _answer_claim(self, sender, envelope):
        request = envelope.message
        holding, refusal = self._find_active(request)
        if refusal is None:
            refusal = holding.table.claim(
                self._now(),
                request.key,
                request.digest,
                request.claim,
                request.round,
                budget_s=request.budget_s,
                ttl_s=request.ttl_s,
                seen_fence=request.seen_fence,
            )
        self._peers.reply(sender, envelope, refusal)

    def _answer_release(self, sender, envelope):
        request = envelope.message
        holding, refusal = self._find_active(request)
        done = refusal is None and holding.table.release(
            self._now(),
            request.key,
            request.claim,
            request.round,
            keep_s=request.keep_s,
            fence=request.fence,
        )
        self._acknowledge(sender, envelope, done, holding, refusal)

    def _answer_record(self, sender, envelope):
        request = envelope.message
        holding, refusal = self._find_active(request)
        if refusal is None:
            outcome = request.outcome
            is_answer = outcome.kind is OutcomeKind.ANSWERED
            if is_answer and not holding.table.has_room(len(outcome.body)):
                outcome = msgspec.structs.replace(
                    outcome, kind=OutcomeKind.ANSWER_DROPPED, headers=(), body=b""
                )
            holding.table.record(
                self._now(),
                request.key,
                request.digest,
                request.claim,
                outcome,
                request.ttl_s,
            )
        self._acknowledge(sender, envelope, refusal is None, holding, refusal)

    def _acknowledge(self, sender, envelope, done, holding, refusal):
        if not envelope.request_id:
            return
        group = refusal.group if refusal is not None else None
        fence = holding.table.fence if holding is not None else 0
        self._peers.reply(sender, envelope, ClaimAck(done, fence, group))

    def _answer_pull(self, sender, envelope):
        request = envelope.message
        holding = self._holdings.get(request.group_name)
        if request.incarnation != self._peers.incarnation or holding is None:
            self._peers.reply(sender, envelope, ClaimPage(False))
            return
        if holding.active_epoch == request.epoch - 1:
            # From here on nothing changes that the next epoch would not see.
            holding.sealed = True
        elif holding.active_epoch != request.epoch:
            self._peers.reply(sender, envelope, ClaimPage(False))
            return
        now_s = self._now()
        copies, last, more = holding.table.copy_page(now_s, request.after, PAGE_BYTES)
        unsure_in_s = max(0.0, holding.table.unsure_until_s - now_s)
        page = ClaimPage(True, tuple(copies), last, more, unsure_in_s)
        self._peers.reply(sender, envelope, page)

    def _answer_status(self, sender, envelope):
        group = envelope.message.group
        self.follow(group)
        holding = self._holdings.get(group.name)
        active = holding is not None and holding.state is HolderState.ACTIVE
        epoch = holding.active_epoch if active else 0
        self._peers.reply(sender, envelope, ClaimStatusReply(epoch))

    def _find_active(self, request):
        """Return what is held for the request's epoch, or a refusal."""
        holding = self._holdings.get(request.group_name)
        if holding is None or request.incarnation != self._peers.incarnation:
            return None, ClaimReply(ClaimStatus.EPOCH)
        fence = holding.table.fence
        if request.epoch < holding.group.epoch:
            reply = ClaimReply(ClaimStatus.EPOCH, fence, group=holding.group)
            return holding, reply
        if request.epoch > holding.group.epoch:
            return holding, ClaimReply(ClaimStatus.EPOCH, fence)
        if (
            holding.state is not HolderState.ACTIVE
            or holding.sealed
            or self._now() >= holding.lease_until_s
        ):
            return holding, ClaimReply(ClaimStatus.SYNCING, fence)
        assert holding.active_epoch == request.epoch, "votes in an incomplete epoch"
        assert self._is_member(holding.group.holders), "votes outside its group"
        return holding, None

    def _make_table(self, group_name):
        service = get_service(group_name)
        return ClaimTable(self._space, lambda: self._may_run_unsure(service))

    async def _take_over(self, holding, group):
        if holding.active_epoch != group.epoch - 1:
            # This process missed an epoch, so what it has is no longer complete.
            self._forget(holding)
        if group.lost:
            holding.table.unsure_until_s = self._now() + group.unsure_s
        elif group.previous:
            await self._pull_majority(holding, group)
        assert holding.group is group, "took over for an epoch that has passed"
        holding.active_epoch = group.epoch
        holding.sealed = False
        self._change_state(holding, HolderState.ACTIVE)

    async def _pull_majority(self, holding, group):
        complete = set()
        if holding.active_epoch == group.epoch - 1:
            complete = {holder for holder in group.previous if self._is_self(holder)}
        unsure_until_s = await pull_claims(
            self._peers, group, complete, holding.table, self._rng
        )
        table = holding.table
        table.unsure_until_s = max(table.unsure_until_s, unsure_until_s)

    async def _renew_lease(self, holding, group):
        lease_s = self._settings.lease_s
        while True:
            asked_s = self._now()
            current = await self._read_group(group.name)
            if current is not None and current.epoch > group.epoch:
                # Cancels this task.
                self.follow(current)
                return
            if current is not None and current.epoch == group.epoch:
                holding.lease_until_s = asked_s + lease_s
                delay_s = lease_s / RENEWALS_PER_LEASE
            else:
                delay_s = RENEW_RETRY_S
            await asyncio.sleep(delay_s * (1 - self._rng.random() / 4))

    async def _forget_later(self, holding):
        await asyncio.sleep(RETAIN_S)
        self._forget(holding)

    def _forget(self, holding):
        # An empty table must never be handed out as a complete one.
        holding.active_epoch = 0
        holding.table.clear()

    def _change_state(self, holding, state):
        holding.state = state
        group = holding.group
        self._observe(HolderChanged(group.name, group.epoch, state, len(holding.table)))

    def _start_task(self, holding, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        holding.tasks.add(task)
        task.add_done_callback(holding.tasks.discard)

    def _stop_tasks(self, holding):
        for task in holding.tasks:
            task.cancel()

    def _is_self(self, holder):
        peers = self._peers
        return (holder.node, holder.incarnation) == (peers.address, peers.incarnation)

    def _is_member(self, holders):
        return any(map(self._is_self, holders))

    def _now(self):
        return asyncio.get_running_loop().time()
