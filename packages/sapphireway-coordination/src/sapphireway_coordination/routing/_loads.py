"""Load, latency and failures of the servers that an entry node calls."""

import collections
import math
from collections.abc import Sequence

from sapphireway_coordination.membership import Member
from sapphireway_coordination.routing._notices import NoticeTable
from sapphireway_protocol import LoadReport, ServerState

LATENCY_DECAY_S = 0.3
LATENCY_CONFIDENCE_S = 0.4
REPORT_CONFIDENCE_S = 0.1
ANSWER_CONFIDENCE_S = 0.1
STATE_AGE_MAX_S = 2.0
ABANDONED_HOLD_S = 0.25
FAILURE_DECAY_S = 5.0
FAILURE_SMOOTHING = 0.25
ROUND_TRIP_SMOOTHING = 0.2
SERVICES_KEPT = 64


class ServerLoad:
    """Load, latency and failures of one server as observed by this node.

    Attributes
    ----------
    member : Member
    outstanding : dict of str to float
        When each attempt of this node in progress at the server was sent, by
        attempt id, oldest first.
    report : LoadReport or None
        Last load report received.
    report_received_s : float
        When the last report arrived; minus infinity before the first.
    outstanding_at_report : int
        Attempts of this node in progress when the last report arrived.
    latency_s : float
        Moving average of the server's part of the latency of this node's attempts.
    round_trip_s : float
        Network's part of the latency of an attempt.
    failure_rate : float
        Moving average of the share of failed attempts.
    consecutive_failures : int
    ejected_until_s : float
    ejections : int
        Ejections since the last success.
    unresponsive : bool
        True while the server's node does not answer.
    probed_s : float
        When the server was last probed.

    Parameters
    ----------
    member : Member
    notices : NoticeTable or None
    """

    __slots__ = (
        "_abandoned_sent_s",
        "_abandoned_until_s",
        "_failure_rate_updated_s",
        "_latency_updated_s",
        "_notices",
        "consecutive_failures",
        "ejected_until_s",
        "ejections",
        "failure_rate",
        "latency_s",
        "member",
        "outstanding",
        "outstanding_at_report",
        "probed_s",
        "report",
        "report_received_s",
        "round_trip_s",
        "unresponsive",
    )

    def __init__(self, member: Member, notices: NoticeTable | None = None):
        self.member = member
        self._notices = NoticeTable() if notices is None else notices
        self.outstanding = {}
        self._latency_updated_s = -math.inf
        self._failure_rate_updated_s = -math.inf
        self.reset()

    def reset(self) -> None:
        """Discard the state of an earlier incarnation of the server or its node."""
        self.report = None
        self.report_received_s = -math.inf
        self.outstanding_at_report = 0
        self.latency_s = 0.0
        self.round_trip_s = 0.0
        self.failure_rate = 0.0
        self.consecutive_failures = 0
        self.ejected_until_s = -math.inf
        self.ejections = 0
        self._abandoned_sent_s = -math.inf
        self._abandoned_until_s = -math.inf
        self.unresponsive = False
        self.probed_s = -math.inf

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Store a load report that just arrived."""
        self.report = report
        self.report_received_s = now_s
        self.outstanding_at_report = len(self.outstanding)

    def record_round_trip(self, round_trip_s: float) -> None:
        """Add the network's part of one round trip."""
        if self.round_trip_s == 0.0 or round_trip_s < self.round_trip_s:
            self.round_trip_s = round_trip_s
            return
        self.round_trip_s += ROUND_TRIP_SMOOTHING * (round_trip_s - self.round_trip_s)

    def record_latency(self, latency_s: float, now_s: float) -> None:
        """Add the latency of one attempt to the exponentially weighted average."""
        gap_s = now_s - self._latency_updated_s
        decay = math.exp(-gap_s / LATENCY_DECAY_S)
        decay = min(decay, 0.9)
        if self.latency_s == 0.0:
            decay = 0.0
        self.latency_s = latency_s + decay * (self.latency_s - latency_s)
        self._latency_updated_s = now_s

    def record_abandoned(self, sent_s: float, now_s: float) -> None:
        """Record that an attempt was abandoned without an answer."""
        if now_s >= self._abandoned_until_s:
            self._abandoned_sent_s = sent_s
        self._abandoned_until_s = now_s + ABANDONED_HOLD_S

    def record_answer(self, sent_s: float) -> None:
        """Record that an attempt sent at `sent_s` was answered."""
        if sent_s >= self._abandoned_sent_s:
            self._abandoned_until_s = -math.inf

    def get_latency_confidence(self, now_s: float) -> float:
        """Return the confidence in the average latency, which decays from 1 to 0."""
        return math.exp((self._latency_updated_s - now_s) / LATENCY_CONFIDENCE_S)

    def get_answer_confidence(self, now_s: float) -> float:
        """Return 1 right after an answer; this decays to 0 in tenths of a second."""
        return math.exp((self._latency_updated_s - now_s) / ANSWER_CONFIDENCE_S)

    def get_report_confidence(self, now_s: float) -> float:
        """Return the confidence in the last report, which decays from 1 to 0."""
        return math.exp((self.report_received_s - now_s) / REPORT_CONFIDENCE_S)

    def count_other_requests(self) -> int:
        """Return the number of requests of other nodes in the last report."""
        if self.report is None:
            return 0
        reported = self.report.in_flight + self.report.queued
        return max(reported - self.outstanding_at_report, 0)

    def record_success(self, now_s: float) -> None:
        """Record an attempt that the server answered successfully."""
        self._record_result(0.0, now_s)
        self.consecutive_failures = 0
        self.ejections = 0

    def record_failure(self, now_s: float) -> None:
        """Record a failed attempt."""
        self._record_result(1.0, now_s)
        self.consecutive_failures += 1

    def get_failure_rate(self, now_s: float) -> float:
        """Return the failure rate, which decays while no attempts end."""
        return self.failure_rate * math.exp(
            (self._failure_rate_updated_s - now_s) / FAILURE_DECAY_S
        )

    def _record_result(self, failed, now_s):
        self.failure_rate = self.get_failure_rate(now_s)
        self.failure_rate += FAILURE_SMOOTHING * (failed - self.failure_rate)
        self._failure_rate_updated_s = now_s

    def get_oldest_age(self, now_s: float) -> float:
        """Return the age of this node's oldest unanswered attempt at the server.

        An abandoned attempt counts for `ABANDONED_HOLD_S`, or until an attempt sent
        later is answered.
        """
        oldest_s = now_s
        for sent_s in self.outstanding.values():
            oldest_s = sent_s
            break
        if now_s < self._abandoned_until_s:
            oldest_s = min(oldest_s, self._abandoned_sent_s)
        return now_s - oldest_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the server is ejected for failures or as unresponsive."""
        return now_s < self.ejected_until_s

    @property
    def leaving(self) -> bool:
        """Whether the server, or the node beside it, is about to stop."""
        return self.member.leaving or self._notices.is_leaving(self.member)

    @property
    def server_limit_per_s(self) -> float | None:
        """Rate limit that the server has set; None if none is known."""
        return self._notices.get_limit(self.member)

    def is_serving(self, now_s: float) -> bool:
        """Return whether membership and the last reports allow calls to the server."""
        if self.leaving or self.member.out:
            return False
        if self.report is None or now_s - self.report_received_s > STATE_AGE_MAX_S:
            return True
        return self.report.state in (ServerState.SERVING, ServerState.COLD)


class LoadTable:
    """Loads of the servers of the most recently called services.

    Attributes
    ----------
    notices : NoticeTable
    """

    __slots__ = ("_servers", "_services", "notices")

    def __init__(self):
        self.notices = NoticeTable()
        self._services = collections.OrderedDict()
        self._servers = {}

    def list_loads(self, service: str, members: Sequence[Member]) -> list[ServerLoad]:
        """Return the loads of `members`, updated from the current membership."""
        load_by_server = self._services.get(service)
        if load_by_server is None and not members:
            return []
        if load_by_server is None:
            load_by_server = self._services[service] = {}
            self._drop_oldest()
        self._services.move_to_end(service)
        if len(load_by_server) > len(members):
            self._drop_missing(load_by_server, members)
        return [self._refresh(load_by_server, member) for member in members]

    def get(self, server: str) -> ServerLoad | None:
        """Return the load of one server, or None if it is unknown."""
        return self._servers.get(server)

    def count_servers(self) -> int:
        """Return the number of servers in the table."""
        return len(self._servers)

    def _refresh(self, load_by_server, member):
        load = load_by_server.get(member.server)
        if load is None:
            load = load_by_server[member.server] = ServerLoad(member, self.notices)
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

    def _drop_missing(self, load_by_server, members):
        servers = {member.server for member in members}
        for server in [server for server in load_by_server if server not in servers]:
            del load_by_server[server]
            self._servers.pop(server, None)

    def _drop_oldest(self):
        while len(self._services) > SERVICES_KEPT:
            _, dropped = self._services.popitem(last=False)
            for server in dropped:
                self._servers.pop(server, None)
