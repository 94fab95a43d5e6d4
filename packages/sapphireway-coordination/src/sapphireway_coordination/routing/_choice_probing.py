"""Fresh load reports of a few servers, right before one of them is chosen.

Made for large fleets whose requests run for a tenth of a second or longer. There each
entry node sends so few requests per second that it has no recent report of most
servers, while hosts become slow or busy several times per second. A probe takes a few
milliseconds, and the number of probes per call does not depend on the fleet's size.
"""

import asyncio
from collections.abc import Callable, Sequence

from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._routing import Choose
from sapphireway_protocol import Peers, Probe

REPORT_FRESH_S = 0.02  # younger reports need no probe
WAIT_MAX_S = 0.015
WAIT_MIN_S = 0.003  # below it, replies from other failure domains would be too late
WAIT_SHARE_MAX = 0.25  # of the usual latency of the call's kind
FIRST_REPLY_WAITS = 6  # without any reply; a new link takes several round trips


def compute_probe_wait(latency_s: float | None) -> float:
    """Return how long to wait for the replies to probes; 0 to send none.

    Parameters
    ----------
    latency_s : float or None
        Usual latency of the call's kind; None if unknown.
    """
    if latency_s is None:
        return WAIT_MAX_S
    wait_s = min(WAIT_MAX_S, WAIT_SHARE_MAX * latency_s)
    return wait_s if wait_s >= WAIT_MIN_S else 0.0


class ProbeRound:
    """Servers that were probed for one choice.

    Attributes
    ----------
    first_replied, all_replied : Event
    """

    __slots__ = ("_pending", "all_replied", "first_replied")

    def __init__(self, servers: Sequence[str]):
        self._pending = set(servers)
        self.all_replied = asyncio.Event()
        self.first_replied = asyncio.Event()

    def record_reply(self, server: str) -> None:
        """Record that a report of `server` arrived."""
        self._pending.discard(server)
        self.first_replied.set()
        if not self._pending:
            self.all_replied.set()


class ChoiceProber:
    """Probes the most promising servers of a choice.

    Parameters
    ----------
    peers : Peers
    choose : callable
        Ranks the candidates by what is known of them.

    Attributes
    ----------
    sent : int
        Probes sent.
    """

    __slots__ = ("_choose", "_get_time", "_peers", "_rounds", "sent")

    def __init__(self, peers: Peers, choose: Choose, get_time: Callable[[], float]):
        self._choose = choose
        self._get_time = get_time
        self._peers = peers
        self._rounds = {}
        self.sent = 0

    async def probe(
        self, candidates: Sequence[ServerLoad], call: Call, rng, wait_s: float
    ) -> Sequence[ServerLoad]:
        """Return the candidates with fresh reports; all of them if none replies.

        Waits `wait_s` for all replies, and longer for a first one: a request to a
        server without a recent report would be a guess, and be refused if the link to
        its node is new.
        """
        now_s = self._get_time()
        probed = self._select(candidates, call, rng, now_s)
        stale = [x for x in probed if now_s - x.report_received_s > REPORT_FRESH_S]
        if stale:
            await self._wait_for_replies(stale, wait_s)
        oldest_s = now_s - REPORT_FRESH_S
        fresh = [load for load in probed if load.report_received_s >= oldest_s]
        return [x for x in fresh if x.is_serving(self._get_time())] or candidates

    def record_report(self, server: str) -> None:
        """Record that a report of a server arrived."""
        for probe_round in self._rounds.get(server, ()):
            probe_round.record_reply(server)

    def _select(self, candidates, call, rng, now_s):
        count = call.policy.choice_probes
        if len(candidates) <= count:
            return list(candidates)
        remaining, selected = list(candidates), []
        while len(selected) < count:
            load = self._choose(remaining, call, rng, now_s)
            remaining.remove(load)
            selected.append(load)
        return selected

    async def _wait_for_replies(self, loads, wait_s):
        servers = [load.member.server for load in loads]
        probe_round = ProbeRound(servers)
        for load in loads:
            self._rounds.setdefault(load.member.server, []).append(probe_round)
            self._peers.send(load.member.node, Probe(load.member.server))
        self.sent += len(loads)
        try:
            if not await _wait(probe_round.all_replied, wait_s):
                first_wait_s = (FIRST_REPLY_WAITS - 1) * wait_s
                await _wait(probe_round.first_replied, first_wait_s)
        finally:
            for server in servers:
                self._remove(server, probe_round)

    def _remove(self, server, probe_round):
        rounds = self._rounds[server]
        rounds.remove(probe_round)
        if not rounds:
            del self._rounds[server]


async def _wait(event, timeout_s):
    """Wait for an event; return False on timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
