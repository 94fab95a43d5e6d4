"""Load probes of servers whose last report is stale, within a budget."""

from collections.abc import Sequence

from sapphireway_coordination.routing._budgets import RateBudget
from sapphireway_coordination.routing._events import ObserveCall, ProbeSent
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import Peers, Probe
from sapphireway_state import Policy, check_invariant

PROBES_PER_CALL = 0.02
PROBE_CREDIT_MAX = 10.0
UNRESPONSIVE_PROBE_INTERVAL_S = 0.5
PROBE_BYTES_MAX = 256


class Prober:
    """Sends load probes to the servers of called services; idle services get none.

    Two limits apply: a rate per node, from the settings, and a share of the calls, so
    that probes never outnumber the traffic that they serve. Unresponsive servers are
    exempt from the share.

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

    def probe_for_call(
        self, loads: Sequence[ServerLoad], policy: Policy, now_s: float
    ) -> None:
        """Probe the server with the oldest report if that report is stale.

        Unresponsive servers are probed twice per second regardless of the share of
        calls, so that rarely called services detect their recovery too.
        """
        self._credit = min(self._credit + PROBES_PER_CALL, PROBE_CREDIT_MAX)
        for load in loads:
            if (
                load.unresponsive
                and now_s - load.probed_s > UNRESPONSIVE_PROBE_INTERVAL_S
            ):
                self._send(load, policy, now_s)
        stale_s = policy.load_stale_ms / 1000.0
        oldest = min(loads, key=lambda load: max(load.report_received_s, load.probed_s))
        if now_s - max(oldest.report_received_s, oldest.probed_s) > stale_s:
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
        bytes_before = self._peers.bytes_sent
        self._peers.send(load.member.node, Probe(load.member.server))
        self.budget.bytes_spent += self._peers.bytes_sent - bytes_before
        check_invariant(
            self.budget.bytes_spent <= PROBE_BYTES_MAX * self.budget.spent,
            "probe bytes exceed their budget",
        )
        member = load.member
        self._observe(
            ProbeSent(member.service, member.server, now_s - load.report_received_s)
        )
        return True
