"""The holder's side of claims: replicas of the groups that this node belongs to."""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from sapphireway_coordination.claims._group import get_service
from sapphireway_coordination.claims._takeover import pull_claims
from sapphireway_protocol import (
    ClaimAck,
    ClaimEpochReply,
    ClaimEpochRequest,
    ClaimGroup,
    ClaimGroupUpdate,
    ClaimPage,
    ClaimPull,
    ClaimRecord,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimStatus,
    OutcomeKind,
    Peers,
)
from sapphireway_state import ClaimMemory, ClaimTable

PAGE_BYTES = 128 * 1024
RENEWALS_PER_LEASE = 6
RENEW_RETRY_S = 1.0
RETENTION_S = 600.0  # of retired claims, for holders that take over late

ReadGroup = Callable[[str], Awaitable[ClaimGroup | None]]
"""Reads the group in force from the control quorum; None if it can't be read."""


class HolderState(enum.StrEnum):
    """Whether a node votes on a group's claims."""

    SYNCING = "syncing"
    ACTIVE = "active"
    RETIRED = "retired"


class HolderChanged(msgspec.Struct, frozen=True):
    """Event: the node's state in a claim group has changed."""

    group_name: str
    epoch: int
    state: HolderState
    keys: int


class HolderSettings(msgspec.Struct, frozen=True):
    """Settings of a holder.

    Attributes
    ----------
    limit_bytes : int
        Memory above which new keys are refused.
    reserve_bytes : int
        Memory above the limit, for refused claims and for claims that are copied
        from other holders.
    lease_s : float
        How long the holder votes after it has read its group from the control quorum.
        After a loss, keys stay unsure for at least as long.
    """

    limit_bytes: int = 8 * 1024 * 1024
    reserve_bytes: int = 1024 * 1024
    lease_s: float = 3_600.0


class _Replica(msgspec.Struct):
    """The replica of one group's claims at this node."""

    group: ClaimGroup
    table: ClaimTable
    state: HolderState = HolderState.SYNCING
    active_epoch: int = 0  # the newest epoch whose claims are complete here
    sealed: bool = False  # a later epoch has begun to pull the claims
    lease_until_s: float = 0.0
    tasks: set[asyncio.Task] = msgspec.field(default_factory=set)


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
        Tells whether keys of a service may run after a loss although they may have run
        before it.
    """

    __slots__ = (
        "_may_run_unsure",
        "_memory",
        "_observe",
        "_peers",
        "_read_group",
        "_replicas",
        "_rng",
        "_settings",
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
        self._replicas = {}
        self._may_run_unsure = may_run_unsure
        self._observe = observe
        self._peers = peers
        self._read_group = read_group
        self._rng = rng
        self._settings = settings
        self._memory = ClaimMemory(settings.limit_bytes, settings.reserve_bytes)
        peers.handle(ClaimRequest, self._handle_claim)
        peers.handle(ClaimRelease, self._handle_release)
        peers.handle(ClaimRecord, self._handle_record)
        peers.handle(ClaimPull, self._handle_pull)
        peers.handle(ClaimEpochRequest, self._handle_status)
        peers.handle(
            ClaimGroupUpdate,
            lambda sender, envelope: self.apply_group(envelope.message.group),
        )

    @property
    def used_bytes(self) -> int:
        """Memory that the claims of all groups use."""
        return self._memory.used_bytes

    @property
    def active_group_count(self) -> int:
        """Number of groups that need this node; at 0 it can stop without loss."""
        return sum(
            replica.state is HolderState.ACTIVE for replica in self._replicas.values()
        )

    def get_state(self, group_name: str) -> HolderState | None:
        """Return the node's state in a group; None if it was never a member."""
        replica = self._replicas.get(group_name)
        return None if replica is None else replica.state

    def apply_group(self, group: ClaimGroup) -> None:
        """Take over or retire as `group` says; one that is not newer is ignored."""
        replica = self._replicas.get(group.name)
        if replica is None:
            if not self._is_member(group.holders):
                return
            replica = _Replica(group, self._make_table(group.name))
            self._replicas[group.name] = replica
        elif group.epoch <= replica.group.epoch:
            return
        self._stop_tasks(replica)
        replica.group = group
        replica.sealed = True
        if self._is_member(group.holders):
            self._change_state(replica, HolderState.SYNCING)
            self._start_task(replica, self._take_over(replica, group))
            self._start_task(replica, self._renew_lease(replica, group))
        else:
            self._change_state(replica, HolderState.RETIRED)
            self._start_task(replica, self._clear_after_retention(replica))

    async def close(self) -> None:
        """Stop taking over claims and renewing leases."""
        tasks = [task for replica in self._replicas.values() for task in replica.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_claim(self, sender, envelope):
        request = envelope.message
        replica, claim_reply = self._find_active(request)
        if claim_reply is None:
            claim_reply = replica.table.claim(
                self._now(),
                request.key,
                request.digest,
                request.claim,
                request.round,
                budget_s=request.budget_s,
                ttl_s=request.ttl_s,
                seen_fence=request.seen_fence,
            )
        self._peers.reply(sender, envelope, claim_reply)

    def _handle_release(self, sender, envelope):
        request = envelope.message
        replica, refusal = self._find_active(request)
        done = refusal is None and replica.table.release(
            self._now(),
            request.key,
            request.claim,
            request.round,
            keep_s=request.keep_s,
            fence=request.fence,
        )
        self._acknowledge(sender, envelope, done, replica, refusal)

    def _handle_record(self, sender, envelope):
        request = envelope.message
        replica, refusal = self._find_active(request)
        if refusal is None:
            outcome = request.outcome
            is_answer = outcome.kind is OutcomeKind.ANSWERED
            if is_answer and not replica.table.has_room(len(outcome.body)):
                outcome = msgspec.structs.replace(
                    outcome, kind=OutcomeKind.ANSWER_DROPPED, headers=(), body=b""
                )
            replica.table.record(
                self._now(),
                request.key,
                request.digest,
                request.claim,
                outcome,
                request.ttl_s,
            )
        self._acknowledge(sender, envelope, refusal is None, replica, refusal)

    def _acknowledge(self, sender, envelope, done, replica, refusal):
        if not envelope.request_id:
            return
        group = refusal.group if refusal is not None else None
        fence = replica.table.fence if replica is not None else 0
        self._peers.reply(sender, envelope, ClaimAck(done, fence, group))

    def _handle_pull(self, sender, envelope):
        request = envelope.message
        replica = self._replicas.get(request.group_name)
        if request.incarnation != self._peers.incarnation or replica is None:
            self._peers.reply(sender, envelope, ClaimPage(False))
            return
        if replica.active_epoch == request.epoch - 1:
            # A change after the first page would be lost to the next epoch.
            replica.sealed = True
        elif replica.active_epoch != request.epoch:
            self._peers.reply(sender, envelope, ClaimPage(False))
            return
        now_s = self._now()
        entries, last, has_more = replica.table.copy_page(
            now_s, request.after_serial, PAGE_BYTES
        )
        unsure_in_s = max(0.0, replica.table.unsure_until_s - now_s)
        page = ClaimPage(True, tuple(entries), last, has_more, unsure_in_s)
        self._peers.reply(sender, envelope, page)

    def _handle_status(self, sender, envelope):
        group = envelope.message.group
        self.apply_group(group)
        replica = self._replicas.get(group.name)
        active = replica is not None and replica.state is HolderState.ACTIVE
        epoch = replica.active_epoch if active else 0
        self._peers.reply(sender, envelope, ClaimEpochReply(epoch))

    def _find_active(self, request):
        """Return the replica for a request, and a refusal if it may not vote."""
        replica = self._replicas.get(request.group_name)
        if replica is None or request.incarnation != self._peers.incarnation:
            return None, ClaimReply(ClaimStatus.EPOCH)
        fence = replica.table.fence
        if request.epoch < replica.group.epoch:
            reply = ClaimReply(ClaimStatus.EPOCH, fence, group=replica.group)
            return replica, reply
        if request.epoch > replica.group.epoch:
            return replica, ClaimReply(ClaimStatus.EPOCH, fence)
        if (
            replica.state is not HolderState.ACTIVE
            or replica.sealed
            or self._now() >= replica.lease_until_s
        ):
            return replica, ClaimReply(ClaimStatus.SYNCING, fence)
        assert replica.active_epoch == request.epoch, (
            "voted in an epoch whose claims are incomplete"
        )
        assert self._is_member(replica.group.holders), (
            "voted in a group that this node is not a member of"
        )
        return replica, None

    def _make_table(self, group_name):
        service = get_service(group_name)
        return ClaimTable(self._memory, lambda: self._may_run_unsure(service))

    async def _take_over(self, replica, group):
        if replica.active_epoch != group.epoch - 1:
            # This process missed an epoch, so its claims are incomplete.
            self._clear(replica)
        if group.lost:
            replica.table.unsure_until_s = self._now() + group.unsure_s
        elif group.previous:
            await self._pull_majority(replica, group)
        assert replica.group is group, "took over for an epoch that has been superseded"
        replica.active_epoch = group.epoch
        replica.sealed = False
        self._change_state(replica, HolderState.ACTIVE)

    async def _pull_majority(self, replica, group):
        complete = set()
        if replica.active_epoch == group.epoch - 1:
            complete = {holder for holder in group.previous if self._is_self(holder)}
        unsure_until_s = await pull_claims(
            self._peers, group, complete, replica.table, self._rng
        )
        table = replica.table
        table.unsure_until_s = max(table.unsure_until_s, unsure_until_s)

    async def _renew_lease(self, replica, group):
        lease_s = self._settings.lease_s
        while True:
            read_started_s = self._now()
            current = await self._read_group(group.name)
            if current is not None and current.epoch > group.epoch:
                # This cancels the current task.
                self.apply_group(current)
                return
            if current is not None and current.epoch == group.epoch:
                replica.lease_until_s = read_started_s + lease_s
                delay_s = lease_s / RENEWALS_PER_LEASE
            else:
                delay_s = RENEW_RETRY_S
            await asyncio.sleep(delay_s * (1 - self._rng.random() / 4))

    async def _clear_after_retention(self, replica):
        await asyncio.sleep(RETENTION_S)
        self._clear(replica)

    def _clear(self, replica):
        # An empty table must never be served as a complete one.
        replica.active_epoch = 0
        replica.table.clear()

    def _change_state(self, replica, state):
        replica.state = state
        group = replica.group
        self._observe(HolderChanged(group.name, group.epoch, state, len(replica.table)))

    def _start_task(self, replica, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        replica.tasks.add(task)
        task.add_done_callback(replica.tasks.discard)

    def _stop_tasks(self, replica):
        for task in replica.tasks:
            task.cancel()

    def _is_self(self, holder):
        peers = self._peers
        return (holder.node, holder.incarnation) == (peers.address, peers.incarnation)

    def _is_member(self, holders):
        return any(map(self._is_self, holders))

    def _now(self):
        return asyncio.get_running_loop().time()
