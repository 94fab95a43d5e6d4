"""Load probes within their budget, only where what is known is too old."""

from collections.abc import Sequence

from sapphireway_coordination.routing._budgets import RateBudget
from sapphireway_coordination.routing._events import ObserveCall, ProbeSent
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import Peers, Probe
from sapphireway_state import Policy, check_invariant

PROBES_PER_CALL = 0.02
PROBE_CREDIT_MAX = 10.0
SILENT_PAUSE_S = 0.5
PROBE_BYTES_MAX = 256


class Prober:
    """Sends probes for the services that are being called, and none at rest.

    Two limits hold: a rate for the node, from the settings, at all times, and a
    share of the calls, so that measuring never outgrows the traffic that it serves.

    Parameters
    ----------
    peers : Peers
    observe : callable
        Called with `ProbeSent`.

    Attributes
    ----------
    budget : RateBudget
    """

    __slots__ = ("_credit", "_observe", "_peers", "budget")

    def __init__(self, peers: Peers, observe: ObserveCall):
        self._credit = 1.0
        self._observe = observe
        self._peers = peers
        self.budget = RateBudget()

    def take_call(
        self, loads: Sequence[ServerLoad], policy: Policy, now_s: float
    ) -> None:
        """Probe the server of the called service whose report is oldest, if too old.

        A silent server is probed twice a second whatever the share of calls, so
        that a service called seldom sees its return too.
        """
        self._credit = min(self._credit + PROBES_PER_CALL, PROBE_CREDIT_MAX)
        for load in loads:
            if load.silent and now_s - load.probed_s > SILENT_PAUSE_S:
                self._send(load, policy, now_s)
        stale_s = policy.load_stale_ms / 1000.0
        oldest = min(loads, key=lambda load: max(load.heard_s, load.probed_s))
        if now_s - max(oldest.heard_s, oldest.probed_s) > stale_s:
            self.probe(oldest, policy, now_s)

    def probe(self, load: ServerLoad, policy: Policy, now_s: float) -> bool:
        """Send one probe if the rate and the share of calls allow it."""
        if self._credit < 1.0 or not self._send(load, policy, now_s):
            return False
        self._credit -= 1.0
        return True

    def _send(self, load, policy, now_s):
        if not self.budget.withdraw(policy.probe_rate_per_s, now_s):
            return False
        load.probed_s = now_s
        before = self._peers.bytes_sent
        self._peers.send(load.member.node, Probe(load.member.server))
        self.budget.bytes_spent += self._peers.bytes_sent - before
        check_invariant(
            self.budget.bytes_spent <= PROBE_BYTES_MAX * self.budget.spent,
            "probe bytes exceed their budget",
        )
        member = load.member
        self._observe(ProbeSent(member.service, member.server, now_s - load.heard_s))
        return True
