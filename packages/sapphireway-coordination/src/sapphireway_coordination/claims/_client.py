"""Requests from a node to the holders of claim groups."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

from sapphireway_protocol import (
    ClaimAck,
    ClaimGroup,
    ClaimGroupUpdate,
    ClaimReply,
    ClaimStatus,
    GroupHolder,
    Peers,
)

ROUND_TIMEOUT_S = 0.25
RETRY_MIN_S = 0.005
RETRY_MAX_S = 1.0
DELIVERY_TIMEOUT_S = 30.0
DELIVERY_ROUNDS_MIN = 3  # to reach the holders beyond the majority too

Fences = Mapping[GroupHolder, int]
"""The highest fence that each holder of a group has reported to this node."""

Replies = Mapping[GroupHolder, ClaimReply | ClaimAck | None]
"""The reply of each holder; None if none came, or from another incarnation."""


class HolderClient:
    """Sends requests to holders, and tracks claim groups and fences.

    Parameters
    ----------
    peers : Peers
    get_group : callable
        Returns the claim group of a name as this node knows it, or None.
    rng : random.Random
    """

    __slots__ = ("_fences", "_get_group", "_groups", "_peers", "_rng", "_tasks")

    def __init__(
        self,
        peers: Peers,
        get_group: Callable[[str], ClaimGroup | None],
        rng: random.Random,
    ):
        self._fences = {}
        self._get_group = get_group
        self._groups = {}
        self._peers = peers
        self._rng = rng
        self._tasks = set()

    def get_fences(self, name: str) -> Fences:
        """Return a copy of the fences of a group's holders."""
        return dict(self._fences.get(name, {}))

    def find_group(self, name: str) -> ClaimGroup | None:
        """Return the newest group of a name that this node or a holder knows."""
        group = self._get_group(name)
        if group is not None:
            self._update_group(group)
        return self._groups.get(name)

    def send(self, holder: GroupHolder, message: Any) -> None:
        """Send a message that needs no reply."""
        self._peers.send(holder.node, message)

    async def ask(
        self,
        group: ClaimGroup,
        holders: Sequence[GroupHolder],
        build: Callable[[GroupHolder], Any],
        timeout_s: float,
        is_settled: Callable[[Replies], bool],
    ) -> Replies:
        """Send to all holders concurrently; return the replies once settled."""
        replies = {}
        settled = asyncio.Event()

        async def ask_holder(holder):
            request = build(holder)
            reply = await self._peers.request(holder.node, request, timeout_s)
            replies[holder] = self._check_reply(group, holder, reply)
            if is_settled(replies) or len(replies) == len(holders):
                settled.set()

        for holder in holders:
            self.spawn(ask_holder(holder))
        await settled.wait()
        return dict(replies)

    async def deliver(
        self, name: str, build: Callable[[ClaimGroup, GroupHolder], Any]
    ) -> int:
        """Resend a message until the holders of one epoch have confirmed it.

        After `DELIVERY_ROUNDS_MIN` rounds, a majority of the holders suffices. Without
        one, rounds go on until `DELIVERY_TIMEOUT_S`.

        Returns
        -------
        int
            Number of holders that confirmed it.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + DELIVERY_TIMEOUT_S
        delay_s = RETRY_MIN_S
        rounds = epoch = 0
        confirmed = set()
        while loop.time() < end_s and (group := self.find_group(name)) is not None:
            if group.epoch != epoch:
                epoch = group.epoch
                confirmed = set()
            replies = await self.ask(
                group,
                [holder for holder in group.holders if holder not in confirmed],
                lambda holder, group=group: build(group, holder),
                ROUND_TIMEOUT_S,
                lambda replies: False,
            )
            confirmed.update(h for h, reply in replies.items() if _is_confirmed(reply))
            rounds += 1
            is_delivered = (
                len(confirmed) >= group.majority and rounds >= DELIVERY_ROUNDS_MIN
            )
            if is_delivered or len(confirmed) == len(group.holders):
                break
            await asyncio.sleep(delay_s * (1 + self._rng.random()))
            delay_s = min(2 * delay_s, RETRY_MAX_S)
        return len(confirmed)

    def spawn(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine in the background until `drain` or `close`."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def drain(self, timeout_s: float) -> bool:
        """Wait for background tasks; False if some are left."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)
        return not self._tasks

    async def close(self) -> None:
        """Cancel all background tasks."""
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _check_reply(self, group, holder, envelope):
        """Return a reply from the holder's incarnation; record its group and fence."""
        if envelope is None or not isinstance(envelope.message, ClaimReply | ClaimAck):
            return None
        message = envelope.message
        if message.group is not None:
            self._update_group(message.group)
        if envelope.incarnation != holder.incarnation:
            return None
        known = self._fences.setdefault(group.name, {})
        known[holder] = max(known.get(holder, 0), message.fence)
        is_behind = (
            isinstance(message, ClaimReply) and message.status is ClaimStatus.EPOCH
        )
        if is_behind and message.group is None:
            self._peers.send(holder.node, ClaimGroupUpdate(group))
        return message

    def _update_group(self, group):
        known = self._groups.get(group.name)
        if known is not None and known.epoch >= group.epoch:
            return
        self._groups[group.name] = group
        fences = self._fences.get(group.name, {})
        self._fences[group.name] = {
            holder: fences[holder] for holder in group.holders if holder in fences
        }


def _is_confirmed(reply):
    return isinstance(reply, ClaimAck) and reply.done
