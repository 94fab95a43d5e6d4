"""The owner of the tokens: answers asks while this host leads the quorum."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from sapphireway_coordination.quorum import (
    Current,
    NotLeader,
    QuorumStatus,
    Role,
    Unavailable,
)
from sapphireway_coordination.quotas._ages import AgeClock
from sapphireway_coordination.quotas._bucket import TOKEN_VALIDITY_S
from sapphireway_coordination.quotas._events import ObserveQuotas, TokenOwnerChanged
from sapphireway_coordination.quotas._ledger import VALID_MIN_S, TokenLedger
from sapphireway_protocol import AskTokens, GrantTokens, Peers
from sapphireway_state import Workspace

# Shorter than the quorum's heartbeats, which the confirmations replace.
CONFIRM_INTERVAL_S = 0.15
# At this interval a host checks whether it leads. What a new table limits before the
# check is taken for limited under an earlier leader, and starts without a burst.
CHECK_INTERVAL_S = 0.2
CONFIRM_TIMEOUT_S = 0.08  # a node waits for 0.1 s
FORWARD_TIMEOUT_S = 0.09
WAITING_ASKS_MAX = 1_024


class QuotaOwner:
    """Answers asks for tokens on a control host.

    Parameters
    ----------
    peers : Peers
    get_status : callable
        Returns the `QuorumStatus`.
    read_barrier : callable
        Confirms that this host leads, as `Quorum.read_barrier`.
    get_workspaces : callable
        Returns the workspaces of the table in this host's journal; the same object
        until they change.
    clock : AgeClock
    observe : callable, optional
        Called with each event.
    """

    __slots__ = (
        "_clock",
        "_confirmation",
        "_confirmed",
        "_elected",
        "_get_status",
        "_get_workspaces",
        "_ledger",
        "_observe",
        "_peers",
        "_read_barrier",
        "_tasks",
        "_term",
    )

    def __init__(
        self,
        peers: Peers,
        get_status: Callable[[], QuorumStatus],
        read_barrier: Callable[[], Awaitable[Current | NotLeader | Unavailable]],
        get_workspaces: Callable[[], Sequence[Workspace]],
        clock: AgeClock,
        observe: ObserveQuotas = lambda event: None,
    ):
        self._clock = clock
        self._confirmation = None
        self._confirmed = None
        self._elected = (0, 0.0)
        self._get_status = get_status
        self._get_workspaces = get_workspaces
        self._ledger = None
        self._observe = observe
        self._peers = peers
        self._read_barrier = read_barrier
        self._tasks = set()
        self._term = 0
        peers.handle(AskTokens, self._receive)

    async def run(self) -> None:
        """Confirm the leadership of this host until cancelled."""
        try:
            while True:
                if self._get_leading_term() is not None and self._has_limits():
                    await self._confirm()
                    await asyncio.sleep(CONFIRM_INTERVAL_S)
                else:
                    await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for task in self._tasks:
                task.cancel()

    def _has_limits(self):
        return any(w.rate_per_s > 0 for w in self._get_workspaces())

    def _get_leading_term(self):
        """Return the term in which this host leads, or None."""
        status = self._get_status()
        if status.role is not Role.LEADER:
            return None
        if self._elected[0] != status.term:
            self._elected = (status.term, asyncio.get_running_loop().time())
        if self._term != status.term and status.settled:
            self._begin(status.term)
        return status.term

    def _begin(self, term):
        self._term = term
        self._confirmed = None
        workspaces = self._get_workspaces()
        self._ledger = TokenLedger(self._elected[1], workspaces)
        if self._has_limits():
            limited = sum(w.rate_per_s > 0 for w in workspaces)
            self._observe(TokenOwnerChanged(term, limited))

    async def _confirm(self):
        """Wait for a confirmation; several callers share one."""
        if self._confirmation is None:
            self._confirmation = self._spawn(self._run_confirmation())
        await asyncio.wait([self._confirmation])

    async def _run_confirmation(self):
        try:
            term = self._get_leading_term()
            if term is None:
                return
            asked_s = self._clock.read()
            result = await self._read_barrier()
            leading_term = self._get_leading_term()
            if isinstance(result, Current) and leading_term == term == self._term:
                self._confirmed = asked_s
        finally:
            self._confirmation = None

    def _receive(self, sender, envelope):
        if self._get_leading_term() is None:
            self._forward(sender, envelope)
        elif self._is_confirmed():
            self._reply(sender, envelope, self._answer(envelope.message))
        elif len(self._tasks) < WAITING_ASKS_MAX:
            self._spawn(self._confirm_and_reply(sender, envelope))

    def _is_confirmed(self):
        if self._get_leading_term() != self._term or self._confirmed is None:
            return False
        age_s = self._clock.read() - self._confirmed
        return age_s <= TOKEN_VALIDITY_S - VALID_MIN_S

    async def _confirm_and_reply(self, sender, envelope):
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await self._confirm()
        except TimeoutError:
            pass
        self._reply(sender, envelope, self._answer(envelope.message))

    def _answer(self, ask):
        if self._get_leading_term() != self._term or self._confirmed is None:
            return GrantTokens(False, "")
        now_s = asyncio.get_running_loop().time()
        age_s = self._clock.read() - self._confirmed
        self._ledger.set_workspaces(self._get_workspaces(), now_s)
        return self._ledger.answer(self._peers.address, ask, now_s, age_s)

    def _forward(self, sender, envelope):
        leader = self._get_status().leader
        if (
            not leader
            or leader == self._peers.address
            or envelope.message.forwarded
            or len(self._tasks) >= WAITING_ASKS_MAX
        ):
            self._reply(sender, envelope, GrantTokens(False, leader or ""))
        else:
            self._spawn(self._forward_to_leader(sender, envelope, leader))

    async def _forward_to_leader(self, sender, envelope, leader):
        ask = msgspec.structs.replace(envelope.message, forwarded=True)
        if not envelope.request_id:
            self._peers.send(leader, ask)
            return
        reply = await self._peers.request(leader, ask, FORWARD_TIMEOUT_S)
        answer = GrantTokens(False, "")
        if reply is not None and isinstance(reply.message, GrantTokens):
            answer = reply.message
        self._reply(sender, envelope, answer)

    def _reply(self, sender, envelope, answer):
        if envelope.request_id:
            self._peers.reply(sender, envelope, answer)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
