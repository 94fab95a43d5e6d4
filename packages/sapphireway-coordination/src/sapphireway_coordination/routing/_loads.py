"""What an entry node knows of the load of the servers that it calls."""

import collections
import math
from collections.abc import Sequence

from sapphireway_coordination.membership import Member
from sapphireway_protocol import LoadReport, ServerState

LATENCY_DECAY_S = 0.3
LATENCY_TRUST_S = 0.4
REPORT_TRUST_S = 0.1
ANSWER_TRUST_S = 0.1
STATE_EXPIRES_S = 2.0
ABANDONED_TRUST_S = 0.25
FAILURE_TRUST_S = 5.0
FAILURE_WEIGHT = 0.25
ROUND_TRIP_GAIN = 0.2
SERVICES_KEPT = 64


class ServerLoad:
    """One server as seen from this node.

    Attributes
    ----------
    member : Member
    outstanding : dict of str to float
        Our attempts under way there, oldest first, and when each was sent.
    report : LoadReport or None
        Last report heard.
    heard_s : float
        When the last report arrived; minus infinity before the first.
    own_at_report : int
        Our attempts under way when the last report arrived.
    latency_s : float
        Moving average of the server's part of our attempts' time.
    round_trip_s : float
        Network's part of an attempt's time.
    failure_rate : float
        Moving share of failed attempts.
    failures_in_row : int
    ejected_until_s : float
    ejections : int
        Ejections since the last success.
    silent : bool
        True while the server's node does not answer.
    probed_s : float
        When the server was last probed.
    """

    __slots__ = (
        "_abandoned_sent_s",
        "_abandoned_until_s",
        "_failure_s",
        "_latency_at_s",
        "ejected_until_s",
        "ejections",
        "failure_rate",
        "failures_in_row",
        "heard_s",
        "latency_s",
        "member",
        "outstanding",
        "own_at_report",
        "probed_s",
        "report",
        "round_trip_s",
        "silent",
    )

    def __init__(self, member: Member):
        self.member = member
        self.outstanding = {}
        self._latency_at_s = -math.inf
        self._failure_s = -math.inf
        self.reset()

    def reset(self) -> None:
        """Forget what an earlier start of the server or its node showed."""
        self.report = None
        self.heard_s = -math.inf
        self.own_at_report = 0
        self.latency_s = 0.0
        self.round_trip_s = 0.0
        self.failure_rate = 0.0
        self.failures_in_row = 0
        self.ejected_until_s = -math.inf
        self.ejections = 0
        self._abandoned_sent_s = -math.inf
        self._abandoned_until_s = -math.inf
        self.silent = False
        self.probed_s = -math.inf

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Keep a load report that just arrived."""
        self.report = report
        self.heard_s = now_s
        self.own_at_report = len(self.outstanding)

    def take_round_trip(self, round_trip_s: float) -> None:
        """Learn the network's part of one exchange."""
        if self.round_trip_s == 0.0 or round_trip_s < self.round_trip_s:
            self.round_trip_s = round_trip_s
            return
        self.round_trip_s += ROUND_TRIP_GAIN * (round_trip_s - self.round_trip_s)

    def take_latency(self, latency_s: float, now_s: float) -> None:
        """Learn the time of one attempt; the average weighs recent ones more."""
        gap_s = now_s - self._latency_at_s
        keep = math.exp(-gap_s / LATENCY_DECAY_S)
        keep = min(keep, 0.9)
        if self.latency_s == 0.0:
            keep = 0.0
        self.latency_s = latency_s + keep * (self.latency_s - latency_s)
        self._latency_at_s = now_s

    def take_abandoned(self, sent_s: float, now_s: float) -> None:
        """Keep in mind that an attempt was given up without an answer."""
        if now_s >= self._abandoned_until_s:
            self._abandoned_sent_s = sent_s
        self._abandoned_until_s = now_s + ABANDONED_TRUST_S

    def take_answer(self, sent_s: float) -> None:
        """Note that an attempt sent at `sent_s` was answered."""
        if sent_s >= self._abandoned_sent_s:
            self._abandoned_until_s = -math.inf

    def get_latency_trust(self, now_s: float) -> float:
        """Return how far the average still holds: 1 when fresh, fading to 0."""
        return math.exp((self._latency_at_s - now_s) / LATENCY_TRUST_S)

    def get_answer_trust(self, now_s: float) -> float:
        """Return 1 right after an answer, fading to 0 fast."""
        return math.exp((self._latency_at_s - now_s) / ANSWER_TRUST_S)

    def get_report_trust(self, now_s: float) -> float:
        """Return how far the last report still holds: 1 when fresh, fading to 0."""
        return math.exp((self.heard_s - now_s) / REPORT_TRUST_S)

    def count_others(self) -> int:
        """Return the requests of other nodes when the last report was made."""
        if self.report is None:
            return 0
        reported = self.report.in_flight + self.report.queued
        return max(reported - self.own_at_report, 0)

    def take_success(self, now_s: float) -> None:
        """Count an attempt that the server answered well."""
        self._take_result(0.0, now_s)
        self.failures_in_row = 0
        self.ejections = 0

    def take_failure(self, now_s: float) -> None:
        """Count an attempt that failed."""
        self._take_result(1.0, now_s)
        self.failures_in_row += 1

    def get_failure_rate(self, now_s: float) -> float:
        """Return the failure rate, which fades while nothing is tried."""
        return self.failure_rate * math.exp((self._failure_s - now_s) / FAILURE_TRUST_S)

    def _take_result(self, failed, now_s):
        self.failure_rate = self.get_failure_rate(now_s)
        self.failure_rate += FAILURE_WEIGHT * (failed - self.failure_rate)
        self._failure_s = now_s

    def get_oldest_age(self, now_s: float) -> float:
        """Return how long our oldest unanswered attempt there has been under way.

        One that was given up counts for a while, until a later one is answered.
        """
        oldest_s = now_s
        for sent_s in self.outstanding.values():
            oldest_s = sent_s
            break
        if now_s < self._abandoned_until_s:
            oldest_s = min(oldest_s, self._abandoned_sent_s)
        return now_s - oldest_s

    def is_ejected(self, now_s: float) -> bool:
        """Tell whether the server is left out after failures or silence."""
        return now_s < self.ejected_until_s

    def is_serving(self, now_s: float) -> bool:
        """Tell whether neither membership nor the server's node rules it out."""
        if self.member.leaving or self.member.out:
            return False
        if self.report is None or now_s - self.heard_s > STATE_EXPIRES_S:
            return True
        return self.report.state in (ServerState.SERVING, ServerState.COLD)


class LoadTable:
    """The loads of the services that this node calls, the least recent dropped."""

    __slots__ = ("_servers", "_services")

    def __init__(self):
        self._services = collections.OrderedDict()
        self._servers = {}

    def list_loads(self, service: str, members: Sequence[Member]) -> list[ServerLoad]:
        """Return the loads of `members`, after taking over what changed of them."""
        known = self._services.get(service)
        if known is None and not members:
            return []
        if known is None:
            known = self._services[service] = {}
            self._drop_oldest()
        self._services.move_to_end(service)
        if len(known) > len(members):
            self._drop_missing(known, members)
        return [self._refresh(known, member) for member in members]

    def get(self, server: str) -> ServerLoad | None:
        """Return the load of one server, or None if it is not kept."""
        return self._servers.get(server)

    def count_servers(self) -> int:
        """Return how many servers are kept."""
        return len(self._servers)

    def _refresh(self, known, member):
        load = known.get(member.server)
        if load is None:
            load = known[member.server] = ServerLoad(member)
            self._servers[member.server] = load
        elif load.member is not member:
            restarted = (
                load.member.incarnation != member.incarnation
                or load.member.start_id != member.start_id
            )
            load.member = member
            if restarted:
                load.reset()
        return load

    def _drop_missing(self, known, members):
        present = {member.server for member in members}
        for server in [server for server in known if server not in present]:
            del known[server]
            self._servers.pop(server, None)

    def _drop_oldest(self):
        while len(self._services) > SERVICES_KEPT:
            _, dropped = self._services.popitem(last=False)
            for server in dropped:
                self._servers.pop(server, None)
