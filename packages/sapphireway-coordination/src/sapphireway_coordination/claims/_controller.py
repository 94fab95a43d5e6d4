"""Reconciliation of claim groups with the live nodes of their services."""

import asyncio
import hashlib
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from sapphireway_coordination.claims._group import (
    GROUP_SIZE_MAX,
    GroupChange,
    GroupChangeResult,
    get_service,
    list_group_names,
    list_nodes,
)
from sapphireway_coordination.membership import GetMembers
from sapphireway_protocol import (
    ClaimEpochReply,
    ClaimEpochRequest,
    ClaimGroup,
    GroupHolder,
    Peers,
    decode_msgpack,
)

LOSSES_MAX = 1
STATUS_TIMEOUT_S = 0.5

ProposeCommand = Callable[[bytes], Awaitable[bytes | None]]
"""Commits a command to the journal; None if it is not known to be committed."""


class GroupControllerSettings(msgspec.Struct, frozen=True):
    """Settings of the group controller.

    Attributes
    ----------
    interval_s : float
        Time between checks of the groups.
    replace_after_s : float
        How long a holder must be missing before it is replaced.
    lost_after_s : float
        How long a majority must be missing before the claims are declared lost.
    rebalance_interval_s : float
        Shortest time between changes that only improve the placement.
    """

    interval_s: float = 1.0
    replace_after_s: float = 2.0
    lost_after_s: float = 30.0
    rebalance_interval_s: float = 60.0


class GroupProposed(msgspec.Struct, frozen=True):
    """Event: a change of a claim group was proposed."""

    group_name: str
    epoch: int
    holders: tuple[GroupHolder, ...]
    lost: bool
    accepted: bool


class ClaimGroupController:
    """Proposes group changes; runs on the leader of the control quorum.

    Two controllers may run concurrently, as during a change of leader: each change
    names the epoch that it is based on, so only one of two conflicting ones applies.

    Parameters
    ----------
    peers : Peers
    list_services : callable
        Returns the names of the services.
    get_members : GetMembers
    get_group : callable
        Returns the current group in the journal, or None.
    get_unsure_s : callable
        Returns how long after a loss a missing key of a service is not proof that it
        was never claimed: at least the longest TTL of keys plus the holders' lease.
    propose : ProposeCommand
    is_leader : callable
    shards : int
        Groups of each service; see `Claimant`.
    settings : GroupControllerSettings
    observe : callable
        Called with each event.
    get_losses_max : callable
        Returns how many lost holders a group of a service must tolerate.
    """

    __slots__ = (
        "_changed_s",
        "_get_group",
        "_get_losses_max",
        "_get_members",
        "_get_unsure_s",
        "_is_leader",
        "_list_services",
        "_missing_since_s",
        "_observe",
        "_peers",
        "_propose",
        "_settings",
        "_shards",
    )

    def __init__(
        self,
        peers: Peers,
        list_services: Callable[[], Iterable[str]],
        get_members: GetMembers,
        get_group: Callable[[str], ClaimGroup | None],
        get_unsure_s: Callable[[str], float],
        propose: ProposeCommand,
        is_leader: Callable[[], bool],
        settings: GroupControllerSettings,
        shards: int = 1,
        observe: Callable[[Any], None] = lambda event: None,
        get_losses_max: Callable[[str], int] = lambda service: LOSSES_MAX,
    ):
        self._changed_s = {}
        self._get_group = get_group
        self._get_losses_max = get_losses_max
        self._get_members = get_members
        self._get_unsure_s = get_unsure_s
        self._missing_since_s = {}
        self._is_leader = is_leader
        self._list_services = list_services
        self._observe = observe
        self._peers = peers
        self._propose = propose
        self._settings = settings
        self._shards = shards

    async def run(self) -> None:
        """Check all services periodically while this host is the leader."""
        while True:
            if self._is_leader():
                # Unreachable holders of one service must not delay the others.
                checks = map(self._check_service, list(self._list_services()))
                await asyncio.gather(*(check for check in checks if check is not None))
            else:
                self._missing_since_s.clear()
            await asyncio.sleep(self._settings.interval_s)

    def _check_service(self, service):
        """Return a coroutine that changes the service's groups, or None."""
        members = self._get_members(service)
        live = {
            GroupHolder(member.node, member.incarnation, member.domain): None
            for member in members
            if not member.leaving and not member.out
        }
        names = [
            name
            for name in list_group_names(service, self._shards)
            if self._needs_change(self._get_group(name), live)
        ]
        if not names:
            return None
        leaving = {member.node for member in members if member.leaving or member.out}
        return self._change_groups(service, names, live, leaving)

    async def _change_groups(self, service, names, live, leaving):
        for name in names:
            group = self._get_group(name)
            if group is None:
                await self._form_group(service, name, live)
            else:
                await self._repair_group(service, group, live, leaving)

    def _needs_change(self, group, live):
        """Update a group's missing holders; return whether it may need a change."""
        if group is None:
            return bool(live)
        missing = [holder for holder in group.holders if holder not in live]
        if not missing:
            self._missing_since_s.pop(group.name, None)
            domains = {holder.domain for holder in group.holders}
            size = _limit_size(self._get_size(group.name), len(live))
            return len(group.holders) != size or len(domains) < size
        now_s = self._now()
        known = self._missing_since_s.get(group.name, {})
        self._missing_since_s[group.name] = {h: known.get(h, now_s) for h in missing}
        return True

    async def _form_group(self, service, name, live, lost_epoch=0):
        size = _limit_size(self._get_size(name), len(live))
        if not size:
            return
        load = self._count_groups(service)
        holders = choose_holders(name, live, size, load=load)
        lost = lost_epoch > 0
        unsure_s = self._get_unsure_s(service) if lost else 0.0
        await self._propose_change(
            GroupChange(name, lost_epoch, holders, lost, unsure_s)
        )

    async def _repair_group(self, service, group, live, leaving):
        load = self._count_groups(service)
        holders = self._plan_change(group, live, leaving, load)
        if holders is not None and await self._is_active(group):
            await self._propose_change(GroupChange(group.name, group.epoch, holders))
        elif self._is_lost(group, live) and not await self._is_active(group):
            await self._form_group(service, group.name, live, group.epoch)

    def _get_size(self, group_name):
        # An even size tolerates no more losses than the next smaller odd one.
        size = 2 * self._get_losses_max(get_service(group_name)) + 1
        assert 1 <= size <= GROUP_SIZE_MAX, "group size out of bounds"
        return size

    def _count_groups(self, service):
        """Count the groups of the service per node."""
        groups = map(self._get_group, list_group_names(service, self._shards))
        return Counter(
            node
            for group in groups
            if group is not None
            for node in list_nodes(group.holders)
        )

    def _plan_change(self, group, live, leaving, load):
        """Return the holders after the next change to make, or None."""
        now_s = self._now()
        size = self._get_size(group.name)
        missing = self._missing_since_s.get(group.name, {})
        kept = [holder for holder in group.holders if holder not in missing]
        for holder, since_s in missing.items():
            if (
                now_s - since_s >= self._settings.replace_after_s
                or holder.node in leaving
            ):
                return self._replace_holder(group, live, holder, load)
        if missing:
            return None
        if len(kept) > size:
            return tuple(kept[:-1])
        if len(kept) < _limit_size(size, len(live)):
            return choose_holders(group.name, live, len(kept) + 1, kept, load)
        if now_s - self._changed_s.get(group.name, now_s) < (
            self._settings.rebalance_interval_s
        ):
            self._changed_s.setdefault(group.name, now_s)
            return None
        return self._rebalance(group, live, load)

    def _replace_holder(self, group, live, removed, load):
        kept = [holder for holder in group.holders if holder != removed]
        holders = choose_holders(group.name, live, len(group.holders), kept, load)
        # Without a substitute, the old group tolerates more losses than a smaller one.
        return holders if len(holders) == len(group.holders) else None

    def _rebalance(self, group, live, load):
        """Move a holder out of a domain with several, if another domain has none."""
        domains = Counter(holder.domain for holder in group.holders)
        spare = [holder for holder in live if holder.domain not in domains]
        movable = [h for h in group.holders if domains[h.domain] > 1]
        if not spare or not movable:
            return None
        return self._replace_holder(group, spare, movable[-1], load)

    def _is_lost(self, group, live):
        missing = self._missing_since_s.get(group.name, {})
        limit_s = self._now() - self._settings.lost_after_s
        long_missing = sum(since_s <= limit_s for since_s in missing.values())
        return bool(live) and len(group.holders) - long_missing < group.majority

    async def _is_active(self, group):
        """Whether a majority has completed the takeover of earlier epochs' claims."""
        request = ClaimEpochRequest(group)
        replies = await asyncio.gather(
            *(
                self._peers.request(holder.node, request, STATUS_TIMEOUT_S)
                for holder in group.holders
            )
        )
        active = sum(
            reply is not None
            and reply.incarnation == holder.incarnation
            and reply.message == ClaimEpochReply(group.epoch)
            for holder, reply in zip(group.holders, replies, strict=True)
        )
        return active >= group.majority

    async def _propose_change(self, change):
        command = msgspec.msgpack.encode(change)
        encoded = await self._propose(command)
        accepted = False
        if encoded is not None:
            result = decode_msgpack(encoded, GroupChangeResult)
            accepted = result is not None and result.accepted
        if accepted:
            self._changed_s[change.group_name] = self._now()
        self._observe(
            GroupProposed(
                change.group_name,
                change.expected_epoch + 1,
                change.holders,
                change.lost,
                accepted,
            )
        )

    def _now(self):
        return asyncio.get_running_loop().time()


def choose_holders(
    name: str,
    live: Iterable[GroupHolder],
    size: int,
    kept: Sequence[GroupHolder] = (),
    load: Mapping[str, int] | None = None,
) -> tuple[GroupHolder, ...]:
    """Add nodes to `kept` up to `size`, spread over failure domains.

    Domains with the fewest holders come first, then nodes with the fewest groups.

    Parameters
    ----------
    name : str
        Name of the group; hashed with the node's address to break ties.
    live : iterable of GroupHolder
        Nodes that may become holders.
    size : int
    kept : sequence of GroupHolder
    load : mapping of str to int, optional
        Number of the service's groups per node.

    Returns
    -------
    tuple of GroupHolder
        Fewer than `size` if nodes are missing.
    """
    load = load or {}
    holders = list(kept)
    while len(holders) < size:
        nodes = list_nodes(holders)
        candidates = [holder for holder in live if holder.node not in nodes]
        if not candidates:
            break
        domains = Counter(holder.domain for holder in holders)
        holders.append(
            min(
                candidates,
                key=lambda holder, domains=domains: (
                    domains[holder.domain],
                    load.get(holder.node, 0),
                    _hash_placement(name, holder.node),
                ),
            )
        )
    return tuple(holders)


def _hash_placement(name, node):
    return hashlib.blake2b(f"{name} {node}".encode(), digest_size=8).digest()


def _limit_size(size, available):
    """Return the largest odd size that the available nodes allow."""
    largest = min(size, available)
    return largest if largest % 2 else max(0, largest - 1)
