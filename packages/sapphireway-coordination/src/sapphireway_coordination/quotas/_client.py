"""A node's part in quotas: gets tokens from the owner and gives them to requests."""

import asyncio
import collections
import itertools
import math
import random

import msgspec

from sapphireway_coordination.membership import ControlHostList
from sapphireway_coordination.quotas._ages import AgeClock
from sapphireway_coordination.quotas._events import ObserveQuotas, QuotaRefused
from sapphireway_coordination.quotas._stock import TokenStock
from sapphireway_protocol import (
    AskTokens,
    GrantTokens,
    NotRun,
    NotRunReason,
    Peers,
)
from sapphireway_state import Workspace

# A request waits for the owner's answer for a tenth of its time, within bounds.
WAIT_SHARE = 0.1
WAIT_MIN_S = 0.03  # a round trip between failure domains, twice
WAIT_MAX_S = 0.5
ASK_TIMEOUT_S = 0.1
ASKS_IN_FLIGHT_MAX = 4
PAUSE_S = 0.05  # between asks while no owner answers
# A silent host is asked last for this time, doubled each time that it is silent again.
UNREACHABLE_MIN_S = 2.0
UNREACHABLE_MAX_S = 16.0
SWEEP_INTERVAL_S = 0.05
UNCONFIRMED_RETRY_S = 0.5  # if the owner has not said when it will grant


class QuotaCounts(msgspec.Struct):
    """Numbers of this node since its start.

    Attributes
    ----------
    admitted, refused, unconfirmed : int
        Requests of limited workspaces.
    asks : int
    returns : int
        Messages that hand tokens back, which have no answer.
    granted, returned, expired : int
        Tokens.
    """

    admitted: int = 0
    refused: int = 0
    unconfirmed: int = 0
    asks: int = 0
    returns: int = 0
    granted: int = 0
    returned: int = 0
    expired: int = 0


class _Queue(msgspec.Struct):
    """Requests of one workspace that wait for a token, and asks on the way."""

    stock: TokenStock
    waiting: collections.deque = msgspec.field(default_factory=collections.deque)
    asked: int = 0
    ahead_asked: bool = False
    ahead_after_s: float = -math.inf


class _Waiter(msgspec.Struct, eq=False):
    """A waiting request; the result is the expiry of its token, or a `NotRun`."""

    future: asyncio.Future
    limit_s: float


class QuotaClient:
    """Admits requests of workspaces that have a limit.

    Parameters
    ----------
    peers : Peers
    control_hosts : ControlHostList
    rng : random.Random
    clock : AgeClock
    observe : callable, optional
        Called with each event.

    Attributes
    ----------
    counts : QuotaCounts
    """

    __slots__ = (
        "_asks_in_flight",
        "_clock",
        "_control_hosts",
        "_due",
        "_failing",
        "_host",
        "_numbers",
        "_observe",
        "_paused_until_s",
        "_peers",
        "_pump_handle",
        "_queues",
        "_rng",
        "_start_s",
        "_sweep_handle",
        "_tasks",
        "_unreachable",
        "counts",
    )

    def __init__(
        self,
        peers: Peers,
        control_hosts: ControlHostList,
        rng: random.Random,
        clock: AgeClock,
        observe: ObserveQuotas = lambda event: None,
    ):
        self._asks_in_flight = 0
        self._clock = clock
        self._control_hosts = control_hosts
        self._due = {}
        self._failing = False
        self._host = ""
        self._numbers = itertools.count(1)
        self._observe = observe
        self._paused_until_s = -math.inf
        self._peers = peers
        self._pump_handle = None
        self._queues = {}
        self._rng = rng
        self._start_s = -math.inf
        self._sweep_handle = None
        self._tasks = set()
        self._unreachable = {}
        self.counts = QuotaCounts()

    async def admit(self, workspace: Workspace, deadline_s: float) -> NotRun | None:
        """Return None once the request has a token, or why it has none.

        Parameters
        ----------
        workspace : Workspace
            Of the table in force; without a limit the request is admitted.
        deadline_s : float
            Loop time by which the caller wants its answer.
        """
        if workspace.rate_per_s <= 0:
            return None
        now_s = asyncio.get_running_loop().time()
        queue = self._get_queue(workspace)
        stock = queue.stock
        stock.count_arrival(now_s)
        if not queue.waiting:
            if stock.take(now_s, self._clock.read()) is not None:
                return self._admit(queue, now_s)
            if stock.is_empty(now_s):
                return self._refuse(queue, now_s)
        wait_s = min(max(WAIT_SHARE * (deadline_s - now_s), WAIT_MIN_S), WAIT_MAX_S)
        if self._start_s > now_s + wait_s:
            return self._make_unconfirmed(workspace, now_s)
        return await self._wait_for_token(queue, now_s + wait_s)

    def close(self) -> None:
        """Stop asking; waiting requests are refused when their time is over."""
        for handle in (self._pump_handle, self._sweep_handle):
            if handle is not None:
                handle.cancel()
        for task in self._tasks:
            task.cancel()

    def _get_queue(self, workspace):
        queue = self._queues.get(workspace.name)
        if queue is None:
            queue = self._queues[workspace.name] = _Queue(TokenStock(workspace))
        queue.stock.workspace = workspace
        return queue

    async def _wait_for_token(self, queue, limit_s):
        loop = asyncio.get_running_loop()
        waiter = _Waiter(loop.create_future(), limit_s)
        queue.waiting.append(waiter)
        self._schedule_asks(queue)
        try:
            async with asyncio.timeout_at(limit_s):
                result = await waiter.future
        except TimeoutError:
            result = None
        finally:
            if waiter in queue.waiting:
                queue.waiting.remove(waiter)
        if isinstance(result, NotRun):
            return result
        # The process may have been frozen since the token was taken.
        if result is None or self._clock.read() >= result:
            return self._make_unconfirmed(queue.stock.workspace, loop.time())
        return self._admit(queue, loop.time())

    def _admit(self, queue, now_s):
        self.counts.admitted += 1
        if not queue.ahead_asked and now_s >= queue.ahead_after_s:
            if queue.stock.is_low(now_s, self._clock.read()):
                self._schedule_asks(queue)
        return None

    def _refuse(self, queue, now_s):
        self.counts.refused += 1
        workspace = queue.stock.workspace
        retry_after_s = queue.stock.refuse(now_s, self._rng.random())
        detail = (
            f"workspace {workspace.name} is above its limit of "
            f"{workspace.rate_per_s:g} requests a second"
        )
        return self._make_refusal(workspace, NotRunReason.QUOTA, retry_after_s, detail)

    def _make_unconfirmed(self, workspace, now_s):
        self.counts.unconfirmed += 1
        retry_after_s = self._start_s - now_s
        if retry_after_s <= 0:
            retry_after_s = UNCONFIRMED_RETRY_S
        detail = f"no control host grants requests of workspace {workspace.name} now"
        return self._make_refusal(
            workspace, NotRunReason.UNCONFIRMED, retry_after_s, detail
        )

    def _make_refusal(self, workspace, reason, retry_after_s, detail):
        self._observe(QuotaRefused(workspace.name, reason, retry_after_s, detail))
        return NotRun(reason, retry_after_s, detail)

    def _schedule_asks(self, queue):
        self._due[queue.stock.workspace.name] = queue
        if self._pump_handle is None:
            # Requests of one iteration of the loop share an ask.
            self._pump_handle = asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self):
        self._pump_handle = None
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if now_s < self._paused_until_s:
            delay_s = self._paused_until_s - now_s
            self._pump_handle = loop.call_later(delay_s, self._pump)
            return
        limit = 1 if self._failing else ASKS_IN_FLIGHT_MAX
        if self._asks_in_flight >= limit:
            return  # the answer schedules the next ask
        due, self._due = self._due, {}
        wants = {}
        for name, queue in due.items():
            want = self._make_want(queue, now_s)
            if want.needed or want.spare:
                wants[name] = want
        if wants:
            self._asks_in_flight += 1
            task = loop.create_task(self._ask(wants))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _make_want(self, queue, now_s):
        needed = max(0, len(queue.waiting) - queue.asked)
        want = queue.stock.make_want(needed, now_s)
        if queue.ahead_asked or now_s < queue.ahead_after_s:
            want = msgspec.structs.replace(want, spare=0)
        if want.spare:
            queue.ahead_asked = True
            queue.ahead_after_s = now_s + queue.stock.ahead_s / 2
        queue.asked += needed
        return want

    async def _ask(self, wants):
        host = self._choose_host()
        number = next(self._numbers)
        asked_age_s = self._clock.read()
        ask = AskTokens(number, self._peers.incarnation, list(wants.values()))
        self.counts.asks += 1
        answer = None
        try:
            reply = await self._peers.request(host, ask, ASK_TIMEOUT_S)
            if reply is not None and isinstance(reply.message, GrantTokens):
                answer = reply.message
        finally:
            self._asks_in_flight -= 1
            for name, want in wants.items():
                queue = self._queues[name]
                queue.asked -= want.needed
                if want.spare:
                    queue.ahead_asked = False
        if answer is not None and answer.granting:
            self._accept(host, number, answer, asked_age_s + answer.valid_s)
        else:
            self._record_failure(host, answer)
        for queue in self._queues.values():
            if len(queue.waiting) > queue.asked:
                self._schedule_asks(queue)
        if self._due and self._pump_handle is None:
            self._pump_handle = asyncio.get_running_loop().call_soon(self._pump)

    def _accept(self, host, number, answer, expires_s):
        now_s = asyncio.get_running_loop().time()
        self._failing = False
        self._unreachable.pop(host, None)
        self._start_s = self._paused_until_s = -math.inf
        self._host = host
        if answer.leader != host and not self._is_unreachable(answer.leader):
            self._host = answer.leader
        for grant in answer.grants:
            queue = self._queues[grant.workspace]
            self.counts.granted += grant.ready + grant.later
            queue.stock.add(number, grant, now_s, expires_s)
            self._serve_waiting(queue, now_s)
        self._schedule_sweep()

    def _serve_waiting(self, queue, now_s):
        while queue.waiting:
            expires_s = queue.stock.take(now_s, self._clock.read())
            if expires_s is None:
                break
            future = queue.waiting.popleft().future
            if not future.done():
                future.set_result(expires_s)
        if not queue.stock.is_empty(now_s):
            return
        while queue.waiting:
            future = queue.waiting.popleft().future
            if not future.done():
                future.set_result(self._refuse(queue, now_s))

    def _record_failure(self, host, answer):
        now_s = asyncio.get_running_loop().time()
        self._failing = True
        self._host = ""
        if answer is None:
            self._mark_unreachable(host, now_s)
        elif answer.leader and not self._is_unreachable(answer.leader):
            self._host = answer.leader
        if answer is not None and answer.start_s:
            self._start_s = now_s + answer.start_s
            self._paused_until_s = self._start_s
            self._refuse_hopeless(now_s)
        elif not self._host and (
            answer is not None or self._is_unreachable(self._choose_host())
        ):
            self._pause(now_s)

    def _pause(self, now_s):
        self._paused_until_s = now_s + PAUSE_S * self._rng.uniform(0.5, 1.5)

    def _mark_unreachable(self, host, now_s):
        _, duration_s = self._unreachable.get(host, (0.0, UNREACHABLE_MIN_S / 2))
        duration_s = min(2 * duration_s, UNREACHABLE_MAX_S)
        self._unreachable[host] = (now_s + duration_s, duration_s)

    def _refuse_hopeless(self, now_s):
        """Refuse the requests that can't wait until the owner grants."""
        for queue in self._queues.values():
            hopeless = [w for w in queue.waiting if w.limit_s < self._start_s]
            for waiter in hopeless:
                queue.waiting.remove(waiter)
                if not waiter.future.done():
                    refusal = self._make_unconfirmed(queue.stock.workspace, now_s)
                    waiter.future.set_result(refusal)

    def _choose_host(self):
        if self._host:
            return self._host
        hosts = list(self._control_hosts.addresses)
        self._rng.shuffle(hosts)
        return min(hosts, key=self._is_unreachable)

    def _is_unreachable(self, host):
        now_s = asyncio.get_running_loop().time()
        return now_s < self._unreachable.get(host, (-math.inf, 0.0))[0]

    def _schedule_sweep(self):
        if self._sweep_handle is None:
            loop = asyncio.get_running_loop()
            self._sweep_handle = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self):
        """Hand back tokens of workspaces whose requests have stopped."""
        self._sweep_handle = None
        now_s = asyncio.get_running_loop().time()
        age_s = self._clock.read()
        returns = []
        left = False
        for queue in self._queues.values():
            if queue.stock.has_tokens(age_s):
                returns += queue.stock.take_unused(now_s, age_s)
                left |= queue.stock.has_tokens(age_s)
            self.counts.expired += queue.stock.expired
            queue.stock.expired = 0
        if returns and self._host:
            self.counts.returns += 1
            self.counts.returned += sum(returned.count for returned in returns)
            number, incarnation = next(self._numbers), self._peers.incarnation
            self._peers.send(self._host, AskTokens(number, incarnation, [], returns))
        if left:
            self._schedule_sweep()
