"""Dispatching of calls at the entry node, one task per call."""

import asyncio
import itertools
import math
import random
from collections.abc import Callable

from sapphireway_coordination.membership import GetMembers, Member
from sapphireway_coordination.routing._attempts import AttemptTable
from sapphireway_coordination.routing._budgets import RETRY_TOKENS_MAX
from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._call_run import CallRun
from sapphireway_coordination.routing._choice_probing import ChoiceProber
from sapphireway_coordination.routing._ejection import Ejector
from sapphireway_coordination.routing._events import CallEnded, ObserveCall
from sapphireway_coordination.routing._explanation import ServerView, explain_servers
from sapphireway_coordination.routing._loads import LoadTable, ServerLoad
from sapphireway_coordination.routing._probing import Prober
from sapphireway_coordination.routing._routing import Choose, choose_predicted
from sapphireway_coordination.routing._services import ServiceTable
from sapphireway_coordination.routing._version_split import VersionSplit
from sapphireway_protocol import (
    BodyReserved,
    LoadReport,
    LoadUpdate,
    Outcome,
    Peers,
    ProbeReply,
    ReserveBody,
)
from sapphireway_state import Policy
from sapphireway_transport import LARGE_BODY_BYTES

CLOCK_AGE_MAX_S = 60.0
PROBE_TIMEOUT_MIN_S = 0.01
PROBE_TIMEOUT_ROUND_TRIPS = 3
RESERVE_WAIT_S = 1.0


def _ignore_event(event):
    pass


def _ignore_suspect(node, service, digest):
    pass


class Dispatcher:
    """Sends each call to servers until it has exactly one outcome.

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
        Returns the retry tokens that one service may hold in reserve at this node.
    inform_of_suspect : callable
        Called with node, service and digest before a request is sent to the node.
    versions : VersionSplit, optional
        Chooses between the versions of a service during a rollout.

    Attributes
    ----------
    end_s : float
        Loop time at which every call ends; infinite until `end_calls`.
    """

    __slots__ = (
        "_attempt_ids",
        "_peers",
        "attempts",
        "choice_prober",
        "choose",
        "ejector",
        "end_s",
        "get_members",
        "get_retry_reserve",
        "inform_of_suspect",
        "loads",
        "observe",
        "prober",
        "rng",
        "services",
        "versions",
    )

    def __init__(
        self,
        peers: Peers,
        get_members: GetMembers,
        rng: random.Random,
        observe: ObserveCall = _ignore_event,
        choose: Choose = choose_predicted,
        get_retry_reserve: Callable[[], float] = lambda: RETRY_TOKENS_MAX,
        inform_of_suspect: Callable[[str, str, str], None] = _ignore_suspect,
        versions: VersionSplit | None = None,
    ):
        self.inform_of_suspect = inform_of_suspect
        self.get_retry_reserve = get_retry_reserve
        self._attempt_ids = itertools.count(1)
        self._peers = peers
        self.get_members = get_members
        self.rng = rng
        self.observe = observe
        self.choose = choose
        self.attempts = AttemptTable(peers, self._handle_report)
        self.ejector = Ejector(rng, observe)
        self.loads = LoadTable()
        self.prober = Prober(peers, observe)
        self.end_s = math.inf
        self.choice_prober = ChoiceProber(
            peers, choose, asyncio.get_running_loop().time
        )
        self.services = ServiceTable()
        self.versions = versions or VersionSplit()
        peers.handle(LoadUpdate, self._handle_load_update)
        peers.handle(ProbeReply, self._handle_probe_reply)

    async def dispatch(self, call: Call) -> Outcome:
        """Send one call and return its outcome, at the latest at its deadline.

        Cancelling the task cancels the call's attempts.
        """
        run = CallRun(self, call)
        started_s = asyncio.get_running_loop().time()
        try:
            outcome = await run.execute()
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

    def end_calls(self, end_s: float) -> None:
        """End every call at `end_s`, a loop time, as if it were its deadline.

        Attempts that wait are revoked just before, so that their calls end as not run
        or answered; a call with an attempt that may run ends as unknown.
        """
        self.end_s = end_s
        self.attempts.wake_all()

    def explain(self, service: str) -> list[ServerView]:
        """Return the state of each server of a service as this node knows it."""
        loads = self.loads.list_loads(service, self.get_members(service))
        return explain_servers(loads, asyncio.get_running_loop().time())

    def create_attempt_id(self) -> str:
        """Return an attempt id that is unique among all nodes."""
        return f"{self._peers.incarnation}-{next(self._attempt_ids):x}"

    async def reserve_body(self, node: str, call: Call, deadline_s: float) -> bool:
        """Ask a node for the memory of a large body; False if it has none.

        A node that doesn't answer gets the body: it may run an older version.
        """
        size = len(call.body)
        if size <= LARGE_BODY_BYTES or node == self._peers.address:
            return True
        left_s = deadline_s - asyncio.get_running_loop().time()
        request = ReserveBody(call.call_id, size, left_s)
        reply = await self._peers.request(node, request, min(RESERVE_WAIT_S, left_s))
        if reply is None or not isinstance(reply.message, BodyReserved):
            return True
        return reply.message.granted

    def check_liveness(self, load: ServerLoad, policy: Policy) -> None:
        """Probe a server without recent reports; eject it if it stays silent."""
        loop = asyncio.get_running_loop()
        if load.unresponsive or not self.prober.probe(load, policy, loop.time()):
            return
        wait_s = PROBE_TIMEOUT_MIN_S + PROBE_TIMEOUT_ROUND_TRIPS * load.round_trip_s
        loop.call_later(wait_s, self._eject_if_unresponsive, load, load.probed_s)

    def choose_incarnation(
        self, member: Member, now_s: float
    ) -> tuple[str, float | None]:
        """Return the incarnation of a member's node and a lower bound of its clock.

        The bound is None if no recent clock reading of that incarnation is known.
        """
        clocks = self._peers.clocks
        clock = clocks.get(member.node)
        if clock is None:
            return member.incarnation, None
        superseded = clocks.is_superseded(member.node, member.incarnation)
        if clock.incarnation != member.incarnation and not superseded:
            return member.incarnation, None
        if now_s - clock.received_s > CLOCK_AGE_MAX_S:
            return clock.incarnation, None
        return clock.incarnation, clock.compute_lower_bound(now_s)

    def _handle_report(self, report: LoadReport):
        self.loads.notices.record(report)
        load = self.loads.get(report.server)
        if load is not None:
            now_s = asyncio.get_running_loop().time()
            previous = load.report.slowness if load.report is not None else 0.0
            load.record_report(report, now_s)
            self.choice_prober.record_report(report.server)
            self.ejector.restore_responsive(load, now_s)
            if report.slowness > previous:
                self.attempts.wake(load)

    def _eject_if_unresponsive(self, load, probed_s):
        if load.report_received_s < probed_s:
            self.ejector.eject_unresponsive(load, asyncio.get_running_loop().time())

    def _handle_load_update(self, sender, envelope):
        self._handle_report(envelope.message.load)

    def _handle_probe_reply(self, sender, envelope):
        if envelope.message.load is not None:
            self._handle_report(envelope.message.load)
