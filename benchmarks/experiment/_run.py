"""One run of a fleet of real nodes, modelled servers and modelled clients."""

import asyncio
import functools
import itertools
import random
from dataclasses import dataclass

from benchmarks.experiment._scenario import Kind, Scenario
from benchmarks.experiment._server import HEALTH_PATH, MODEL_DIALECT, ModelServer
from sapphireway_coordination import (
    Announcement,
    Call,
    Dispatcher,
    Gate,
    Member,
    choose_least_in_flight,
    choose_power_of_two,
    choose_random,
    make_choose_lowest_cost,
    make_choose_round_robin,
)
from sapphireway_protocol import Answered, NotRun, Outcome, Peers
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork, run_paused

LOCAL_DELAY_S = 0.0001  # one way, within a failure domain
HEARTBEAT_S = 1.0
STARTUP_S = 1.0  # for nodes and servers to come up before clients send
CONNECTIONS_MAX = 200
QUEUE_LIMIT = 64
HEALTH_INTERVAL_MS = 50
STATUS_FAILURE_MIN = 500
WORK_PERCENTILE = 50  # as real nodes estimate the usual service time of a kind
WEIGHT_PER_WORTH = 10
MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class Record:
    """The result of one client request.

    Attributes
    ----------
    kind : str
    arrived_s : float
        Since clients started to send.
    took_s : float
        From the client's first try until the end of its last one.
    outcome : str
        ``answered``, ``late`` (answered after the target), ``failed`` (answered with an
        error status) or the last outcome's class name in lower case.
    """

    kind: str
    arrived_s: float
    took_s: float
    outcome: str


@dataclass(slots=True, frozen=True)
class RunResult:
    """Requests and costs of one run.

    Attributes
    ----------
    records : list of Record
    runs, falls : int
        Requests that servers ran, and crashes of cold servers.
    repeats : int
        Attempts that spent a token of a retry budget.
    messages : int
        Sent between nodes.
    """

    records: list[Record]
    runs: int
    falls: int
    repeats: int
    messages: int


def _make_lowest_cost_choice(domain, get_dispatcher):
    def get_work_s(call):
        state = get_dispatcher().services.get(call.service)
        return state.get_latencies(call.kind).get_percentile(WORK_PERCENTILE)

    def get_answer_bytes(call):
        return get_dispatcher().services.get(call.service).get_answer_bytes(call.kind)

    return make_choose_lowest_cost(domain, get_work_s, get_answer_bytes)


VARIANTS = {
    "placed": _make_lowest_cost_choice,
    "least_in_flight": lambda domain, get_dispatcher: choose_least_in_flight,
    "two_choices": lambda domain, get_dispatcher: choose_power_of_two,
    "round_robin": lambda domain, get_dispatcher: make_choose_round_robin(),
    "random": lambda domain, get_dispatcher: choose_random,
}
"""Factories of the rules that choose a server, by name; nodes use `placed`."""


def run_scenario(scenario: Scenario, variant: str, seed: int) -> RunResult:
    """Run a scenario once on the paused clock."""

    async def run():
        return await _Fleet(scenario, VARIANTS[variant], seed).run_scenario()

    return run_paused(run())


def find_retry_wait(outcome: Outcome, idempotent: bool) -> float | None:
    """Return how long a client waits before it tries again; None if it does not."""
    if isinstance(outcome, NotRun):
        return outcome.retry_after_s
    if isinstance(outcome, Answered) and outcome.status < STATUS_FAILURE_MIN:
        return None
    return 0.0 if idempotent else None


class _Fleet:
    """All nodes, servers and clients of one run."""

    def __init__(self, scenario, make_choose, seed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.domains = {}
        self.network = MemoryNetwork(random.Random(seed), self._get_delay)
        self.nodes = []
        self.call_numbers = itertools.count()
        self.records = []
        self.load_factor = 1.0
        for service in scenario.services:
            for index in range(scenario.services[service].servers):
                domain = scenario.domains[index % len(scenario.domains)]
                node = _Node(self, service, index, domain, make_choose)
                self.nodes.append(node)

    def _get_delay(self, sender, receiver):
        same_domain = self.domains[sender] == self.domains[receiver]
        return LOCAL_DELAY_S if same_domain else self.scenario.crossing_ms / MS_PER_S

    def get_members(self, service):
        return [node.member for node in self.nodes if node.service == service]

    def make_policy(self, service, kind_name):
        scenario = self.scenario
        kind = scenario.kinds.get(kind_name, Kind(service, 1.0, 1.0, 1.0))
        timeout_ms = int(kind.timeout_ms or kind.deadline_ms)
        return Policy(
            idempotent=kind.idempotent,
            deadline_ms=timeout_ms,
            deadline_max_ms=timeout_ms,
            target_latency_ms=int(kind.target_ms),
            weight=kind.weight or max(1, min(100, int(kind.worth * WEIGHT_PER_WORTH))),
            hedge_percentile=scenario.hedge_percentile,
            retry_budget_percent=scenario.retry_budget_percent,
            crossing_ms_per_kb=scenario.crossing_ms_per_kb,
            cold_rate_percent=scenario.cold_rate_percent,
            queue_limit=QUEUE_LIMIT,
            health_interval_ms=HEALTH_INTERVAL_MS,
        )

    async def run_scenario(self):
        scenario = self.scenario
        await asyncio.sleep(STARTUP_S)
        self.start_s = self.loop.time()
        tasks = [asyncio.ensure_future(self._apply_event(x)) for x in scenario.events]
        tasks += [
            asyncio.ensure_future(self._send_kind(name, kind))
            for name, kind in scenario.kinds.items()
            if kind.per_s
        ]
        await asyncio.gather(*tasks)
        for node in self.nodes:
            node.close()
        return RunResult(
            sorted(self.records, key=lambda record: record.arrived_s),
            sum(node.server.runs for node in self.nodes),
            sum(node.server.falls for node in self.nodes),
            sum(node.count_spent_tokens() for node in self.nodes),
            self.network.messages_sent,
        )

    async def _apply_event(self, event):
        await asyncio.sleep(event.at_s)
        nodes = [n for n in self.nodes if event.service in ("", n.service)]
        chosen = self.rng.sample(nodes, round(event.share * len(nodes)))
        if event.kind == "burst":
            self.load_factor = event.times
            await asyncio.sleep(event.for_s)
            self.load_factor = 1.0
        elif event.kind == "shed":
            for node in nodes:
                node.server.shed(event.share, event.for_s)
        elif event.kind == "restart":
            for node in chosen:
                node.restart(event.for_s)
        else:
            for node in chosen:
                node.server.slow_down(event.times, event.for_s)

    async def _send_kind(self, name, kind):
        calls = set()
        while self.loop.time() < self.start_s + self.scenario.seconds:
            await asyncio.sleep(self.rng.expovariate(kind.per_s * self.load_factor))
            node = self.rng.choice(self.nodes)
            calls.add(asyncio.ensure_future(self._run_client(node, name, kind)))
        await asyncio.gather(*calls)

    async def _run_client(self, node, name, kind):
        arrived_s = self.loop.time()
        deadline_s = arrived_s + kind.deadline_ms / MS_PER_S
        target_s = arrived_s + kind.target_ms / MS_PER_S
        for retries_left in range(kind.retries, -1, -1):
            outcome = await node.dispatch(name, deadline_s, target_s)
            wait_s = find_retry_wait(outcome, kind.idempotent)
            left_s = deadline_s - self.loop.time()
            if not retries_left or wait_s is None or wait_s >= left_s:
                break
            # Clients wait a third of their time at most, whatever they are told.
            await asyncio.sleep(min(wait_s, left_s / 3))
        now_s = self.loop.time()
        outcome_name = type(outcome).__name__.lower()
        if isinstance(outcome, Answered):
            outcome_name = "answered" if now_s <= target_s else "late"
            outcome_name = outcome_name if outcome.status < 400 else "failed"
        self.records.append(
            Record(name, arrived_s - self.start_s, now_s - arrived_s, outcome_name)
        )


class _Node:
    """The gate and dispatcher of one node, and its modelled server."""

    def __init__(self, fleet, service, index, domain, make_choose):
        self.fleet, self.service, self.domain = fleet, service, domain
        self.name = f"{service}-{index}"
        scenario = fleet.scenario
        draw_seed = functools.partial(fleet.rng.randrange, 2**32)
        fleet.domains[self.name] = domain
        self.server = ModelServer(
            scenario.services[service],
            scenario.noise,
            scenario.cold,
            random.Random(draw_seed()),
            scenario.kinds,
            self._call_for_server,
        )
        peers = Peers(fleet.network.open_endpoint(self.name), f"{self.name}-1")
        self.gate = Gate(
            peers,
            self.server,
            random.Random(draw_seed()),
            fleet.make_policy,
            lambda event: None,
            dialect=MODEL_DIALECT,
        )
        self.dispatcher = Dispatcher(
            peers,
            fleet.get_members,
            random.Random(draw_seed()),
            choose=make_choose(domain, lambda: self.dispatcher),
            get_retry_reserve=lambda: max(
                1.0, scenario.retry_reserve / len(fleet.nodes)
            ),
        )
        peers.start()
        self.heartbeat = asyncio.ensure_future(self._announce())

    @property
    def member(self):
        slots = self.fleet.scenario.services[self.service].slots
        incarnation = f"{self.name}-1"
        start_id = str(self.server.start_id)
        return Member(
            self.name,
            self.service,
            self.name,
            self.domain,
            "region",
            incarnation,
            start_id,
            slots,
        )

    async def dispatch(self, kind_name, deadline_s, target_s):
        """Dispatch one try of a client or one call of a server."""
        kind = self.fleet.scenario.kinds[kind_name]
        policy = self.fleet.make_policy(kind.service, kind_name)
        now_s = self.fleet.loop.time()
        call = Call(
            f"c{next(self.fleet.call_numbers)}",
            kind.service,
            kind_name,
            "GET",
            f"/{kind_name}",
            (),
            bytes(kind.request_bytes),
            min(deadline_s, now_s + policy.deadline_ms / MS_PER_S),
            None,
            policy,
            target_s,
        )
        return await self.dispatcher.dispatch(call)

    def restart(self, down_s):
        """Restart the server; its node runs on and learns of it when it is back."""
        self.server.restart(down_s)

    def count_spent_tokens(self):
        """Return how many retry budget tokens this node has spent."""
        states = self.dispatcher.services.list_states()
        return sum(state.budget.spent for _, state in states)

    def close(self):
        """Stop the heartbeats and the gate."""
        self.heartbeat.cancel()
        self.gate.close()

    async def _call_for_server(self, kind_name, deadline_s):
        kind = self.fleet.scenario.kinds[kind_name]
        now_s = self.fleet.loop.time()
        deadline_s = min(deadline_s, now_s + kind.deadline_ms / MS_PER_S)
        target_s = now_s + kind.target_ms / MS_PER_S
        outcome = await self.dispatch(kind_name, deadline_s, target_s)
        return isinstance(outcome, Answered) and outcome.status < 400

    async def _announce(self):
        scenario = self.fleet.scenario
        while True:
            now_s = self.fleet.loop.time()
            if now_s >= self.server.down_until_s:
                self.gate.announce(
                    Announcement(
                        self.name,
                        self.service,
                        f"http://{self.name}",
                        scenario.services[self.service].slots,
                        CONNECTIONS_MAX,
                        str(self.server.start_id),
                        in_flight=0,
                        cold_s=self.server.get_cold_s(),
                        cold_rate_per_s=scenario.cold.starts_per_s,
                        health_path=HEALTH_PATH,
                    )
                )
            until_up_s = self.server.down_until_s - now_s
            await asyncio.sleep(until_up_s if until_up_s > 0.0 else HEARTBEAT_S)
