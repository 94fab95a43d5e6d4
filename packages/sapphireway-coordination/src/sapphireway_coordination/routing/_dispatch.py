"""The entry node's conduct of calls: one task a call, written straight down."""

import asyncio
import itertools
import random
from collections.abc import Callable

from sapphireway_coordination.membership import GetMembers, Member
from sapphireway_coordination.routing._attempts import AttemptTable
from sapphireway_coordination.routing._budgets import RETRY_TOKENS_MAX
from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._call_run import CallRun
from sapphireway_coordination.routing._ejection import Ejector
from sapphireway_coordination.routing._events import CallEnded, ObserveCall
from sapphireway_coordination.routing._explanation import ServerView, explain_servers
from sapphireway_coordination.routing._loads import LoadTable, ServerLoad
from sapphireway_coordination.routing._probing import Prober
from sapphireway_coordination.routing._routing import Choose, choose_predicted
from sapphireway_coordination.routing._services import ServiceTable
from sapphireway_protocol import LoadNews, LoadReport, Outcome, Peers, ProbeReply
from sapphireway_state import Policy

CLOCK_AGE_MAX_S = 60.0
SILENCE_MIN_S = 0.01
SILENCE_ROUND_TRIPS = 3


def _ignore_event(event):
    pass


class Dispatcher:
    """Gives each call to servers until it has exactly one outcome.

    Parameters
    ----------
    peers : Peers
    get_members : callable
        Returns the live members of a service.
    rng : random.Random
    observe : callable
        Called with each `CallEvent`.
    choose : callable
        Chooses the server of an attempt.
    get_retry_reserve : callable
        Returns the retries that one service may keep in reserve at this node.
    """

    __slots__ = (
        "_attempt_ids",
        "_peers",
        "attempts",
        "choose",
        "ejector",
        "get_members",
        "get_retry_reserve",
        "loads",
        "observe",
        "prober",
        "rng",
        "services",
    )

    def __init__(
        self,
        peers: Peers,
        get_members: GetMembers,
        rng: random.Random,
        observe: ObserveCall = _ignore_event,
        choose: Choose = choose_predicted,
        get_retry_reserve: Callable[[], float] = lambda: RETRY_TOKENS_MAX,
    ):
        self.get_retry_reserve = get_retry_reserve
        self._attempt_ids = itertools.count(1)
        self._peers = peers
        self.get_members = get_members
        self.rng = rng
        self.observe = observe
        self.choose = choose
        self.attempts = AttemptTable(peers, self._take_report)
        self.ejector = Ejector(rng, observe)
        self.loads = LoadTable()
        self.prober = Prober(peers, observe)
        self.services = ServiceTable()
        peers.handle(LoadNews, self._take_news)
        peers.handle(ProbeReply, self._take_probe_reply)

    async def dispatch(self, call: Call) -> Outcome:
        """Conduct one call to its outcome, by its deadline.

        Cancelling the task cancels the call's attempts.
        """
        run = CallRun(self, call)
        started_s = asyncio.get_running_loop().time()
        try:
            outcome = await run.conduct()
        finally:
            run.close()
        self.observe(
            CallEnded(
                call.call_id,
                call.service,
                call.kind,
                type(outcome).__name__,
                run.attempts_sent,
                asyncio.get_running_loop().time() - started_s,
                getattr(outcome, "detail", ""),
            )
        )
        return outcome

    def explain(self, service: str) -> list[ServerView]:
        """Return what this node knows of each server of a service."""
        loads = self.loads.list_loads(service, self.get_members(service))
        return explain_servers(loads, asyncio.get_running_loop().time())

    def create_attempt_id(self) -> str:
        """Return an id that no other attempt of any node has."""
        return f"{self._peers.incarnation}-{next(self._attempt_ids):x}"

    def check_alive(self, load: ServerLoad, policy: Policy) -> None:
        """Probe a server that has been silent; eject it if it stays so."""
        loop = asyncio.get_running_loop()
        if load.silent or not self.prober.probe(load, policy, loop.time()):
            return
        wait_s = SILENCE_MIN_S + SILENCE_ROUND_TRIPS * load.round_trip_s
        loop.call_later(wait_s, self._judge_silence, load, load.probed_s)

    def choose_incarnation(
        self, member: Member, now_s: float
    ) -> tuple[str, float | None]:
        """Return the incarnation of a member's node and the least its clock reads.

        The reading is None if none is known of that incarnation, or only an old one.
        """
        clocks = self._peers.clocks
        clock = clocks.get(member.node)
        if clock is None:
            return member.incarnation, None
        superseded = clocks.is_superseded(member.node, member.incarnation)
        if clock.incarnation != member.incarnation and not superseded:
            return member.incarnation, None
        if now_s - clock.heard_s > CLOCK_AGE_MAX_S:
            return clock.incarnation, None
        return clock.incarnation, clock.read_earliest(now_s)

    def _take_report(self, report: LoadReport):
        load = self.loads.get(report.server)
        if load is not None:
            now_s = asyncio.get_running_loop().time()
            before = load.report.slowness if load.report is not None else 0.0
            load.record_report(report, now_s)
            self.ejector.take_sign_of_life(load, now_s)
            if report.slowness > before:
                self.attempts.wake(load)

    def _judge_silence(self, load, probed_s):
        if load.heard_s < probed_s:
            self.ejector.take_silence(load, asyncio.get_running_loop().time())

    def _take_news(self, sender, envelope):
        self._take_report(envelope.message.load)

    def _take_probe_reply(self, sender, envelope):
        if envelope.message.load is not None:
            self._take_report(envelope.message.load)
